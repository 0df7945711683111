/**
 * Bounds what is read from clients in one turn of the event loop, so that timers, peers, the store and the closing of
 * connections, which frees their memory, come in between. Once the units of a turn are used up, all connections are
 * held, and go on a few in each turn, in the order of `readingorder.ts`. What a connection has read already is parsed to
 * its end, so a turn exceeds its units by one read, which is 64 KiB at the most.
 */
import type {Socket} from "node:net"
import {chooseToRead, TURN_UNITS} from "./readingorder.js"

export interface ReadingTurns {
  /** Lets the connection take part from its beginning on. */
  readonly add: (socket: Socket) => void
  /** Counts what was taken from the connection. */
  readonly charge: (socket: Socket, units: number) => void
  /** A request of the connection has been answered. */
  readonly answered: (socket: Socket) => void
  /** Number of turns at whose end connections were held. */
  readonly crowdedTurns: () => number
}

interface Reading {
  readonly socket: Socket
  readonly number: number
  taken: number
  held: boolean
}

/** Connections that go on together. Most of those that are held have sent nothing. */
const RELEASED_TOGETHER = 16
/** More turns than the closing of a connection takes. */
const MAX_CLOSING_TURNS = 100

export function createReadingTurns(): ReadingTurns {
  const readings = new Map<Socket, Reading>()
  let lastNumber = 0
  let spent = 0
  let endsTurn = false
  let isCrowded = false
  /** The units of this turn are used up, and all connections are held. */
  let isTurnOver = false
  let newestFirst = false
  let crowdedTurns = 0
  /** Turns for which connections have been waited for that are being closed. */
  let closingTurns = 0

  function hold(reading: Reading): void {
    if (reading.held) return
    reading.held = true
    reading.socket.pause()
  }

  function release(reading: Reading): void {
    reading.held = false
    reading.socket.resume()
  }

  function add(socket: Socket): Reading {
    lastNumber += 1
    const reading: Reading = {socket, number: lastNumber, taken: 0, held: false}
    readings.set(socket, reading)
    socket.once("close", () => readings.delete(socket))
    // The server resumes the socket with each piece of a body that is taken, and when it begins to read it. A pause that
    // came before the event does not stop the reading, so the socket is resumed once more in that case.
    socket.on("resume", () => {
      if (!reading.held) return
      if (socket.readableFlowing === true) socket.pause()
      else socket.resume()
    })
    if (isCrowded) hold(reading)
    return reading
  }

  function scheduleEnd(): void {
    if (endsTurn) return
    endsTurn = true
    setImmediate(endTurn)
  }

  function endTurn(): void {
    endsTurn = false
    isTurnOver = false
    spent = 0
    if (!isCrowded) return
    crowdedTurns += 1
    const all = [...readings.values()]
    // What was read of a destroyed connection stays in memory until it is closed, by TLS some turns later.
    if (closingTurns < MAX_CLOSING_TURNS && all.some(({socket}) => socket.destroyed)) {
      closingTurns += 1
      scheduleEnd()
      return
    }
    closingTurns = 0
    const waiting = all.filter(({held}) => held)
    for (const reading of chooseToRead(waiting, RELEASED_TOGETHER, newestFirst)) release(reading)
    newestFirst = !newestFirst
    isCrowded = waiting.length > RELEASED_TOGETHER
    if (isCrowded) scheduleEnd()
  }

  return {
    add: socket => void add(socket),
    charge(socket, units) {
      spent += units
      // The parser goes on to the end of what it has read, also after the connection is closed.
      const reading = readings.get(socket) ?? (socket.destroyed ? undefined : add(socket))
      if (reading) reading.taken += units
      scheduleEnd()
      if (spent < TURN_UNITS || isTurnOver) return
      isTurnOver = true
      isCrowded = true
      for (const other of readings.values()) hold(other)
    },
    answered(socket) {
      const reading = readings.get(socket)
      if (reading) reading.taken = 0
    },
    crowdedTurns: () => crowdedTurns,
  }
}
