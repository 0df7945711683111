/**
 * Clients that keep to no limit, as many at once as a test asks for. They write to plain sockets, never read, and stay
 * connected until they are told to leave.
 */
import {connect} from "node:net"
import type {Socket} from "node:net"
import {connect as connectSecurely} from "node:tls"
import type {Milliseconds} from "../../src/core/clock.js"

/** What one client sends: a head, and then the same part again and again. */
export interface Script {
  readonly head: string
  readonly part: Buffer
  /** How often the part is sent; the body of the last request is left without its end. */
  readonly parts: number
}

/** How clients behave beside what they send. */
export interface Manner {
  readonly tls?: boolean
  /** Reads one byte of the answers at a time, with a pause after each. */
  readonly readsSlowly?: boolean
}

export interface Crowd {
  /** Resolves when no client can send any more: all is sent, the connection has ended, or the server does not read. */
  readonly settled: () => Promise<void>
  readonly leave: () => void
}

const POLL_MS: Milliseconds = 100
/** Clients that sent nothing while the server answered this many others, one after another, are taken to be blocked. */
const PROBES = 5
const PROBE_INTERVAL_MS: Milliseconds = 500
/** Connections are opened in groups, so that none is lost to a full queue of the listener. */
const OPENED_TOGETHER = 50
/** The clients come from many addresses, none of which the ordinary caller has. */
const CLIENT_NETWORK = "127.81.1"
const ADDRESSES = 200
const PIPELINE_PART_REQUESTS = 1000
/** Near the size of one packet of a loopback connection. */
const PART_BYTES = 65_536

function pause(span: Milliseconds): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span))
}

/** Reads a byte at each interval. The kernel still takes what its buffer holds. */
function readSlowly(socket: Socket): void {
  const timer = setInterval(() => void socket.read(1), POLL_MS)
  socket.once("close", () => clearInterval(timer))
}

function startClient(
  host: string,
  port: number,
  localAddress: string,
  script: Script,
  {tls = false, readsSlowly = false}: Manner,
): Socket {
  const target = {host, port, localAddress}
  const socket = tls ? connectSecurely({...target, rejectUnauthorized: false}) : connect(target)
  let sent = 0
  const send = (): void => {
    while (sent < script.parts && !socket.destroyed) {
      sent += 1
      if (!socket.write(script.part)) return
    }
  }
  socket.once(tls ? "secureConnect" : "connect", () => {
    socket.write(script.head)
    send()
  })
  socket.on("drain", send)
  socket.on("error", () => undefined)
  socket.pause()
  if (readsSlowly) readSlowly(socket)
  return socket
}

/**
 * Resolves when the server has answered or closed a new connection, or does not accept any. It has accepted all earlier
 * connections by then, however busy it is.
 */
function probe(host: string, port: number): Promise<void> {
  return new Promise(resolve => {
    const socket = connect(port, host)
    socket.write("GET / HTTP/1.0\r\n\r\n")
    socket.on("data", () => socket.destroy())
    socket.on("error", () => undefined)
    socket.once("close", () => resolve())
  })
}

export async function gather(
  address: string,
  size: number,
  script: Script,
  manner: Manner = {},
): Promise<Crowd> {
  const [host = "", port = "0"] = address.split(":")
  const sockets: Socket[] = []
  while (sockets.length < size) {
    for (let index = 0; index < OPENED_TOGETHER && sockets.length < size; index += 1)
      sockets.push(
        startClient(
          host,
          Number(port),
          `${CLIENT_NETWORK}.${1 + (sockets.length % ADDRESSES)}`,
          script,
          manner,
        ),
      )
    await pause(POLL_MS)
  }
  const total = Buffer.byteLength(script.head) + script.part.length * script.parts
  const sentBy = (socket: Socket): number => socket.bytesWritten - socket.writableLength

  return {
    async settled() {
      let before = -1
      for (let still = 0; still < PROBES; still += 1) {
        await probe(host, Number(port))
        const open = sockets.filter(socket => !socket.destroyed)
        if (open.every(socket => sentBy(socket) >= total)) return
        const now = open.reduce((sum, socket) => sum + sentBy(socket), open.length)
        if (now !== before) still = -1
        before = now
        await pause(PROBE_INTERVAL_MS)
      }
    },
    leave() {
      for (const socket of sockets) socket.destroy()
    },
  }
}

/**
 * Clients that send what the script says and leave at once, a number of them together, until so many have come in all.
 * Resolves when the last one has left.
 */
export async function passBy(
  address: string,
  {total, together}: {readonly total: number; readonly together: number},
  script: Script,
): Promise<void> {
  const [host = "", port = "0"] = address.split(":")
  const everything = Buffer.concat([
    Buffer.from(script.head),
    ...Array.from({length: script.parts}, () => script.part),
  ])
  let come = 0
  const visit = (): Promise<void> =>
    new Promise(resolve => {
      const localAddress = `${CLIENT_NETWORK}.${1 + (come % ADDRESSES)}`
      const socket = connect({host, port: Number(port), localAddress})
      socket.on("error", () => undefined)
      socket.once("close", () => resolve())
      socket.write(everything, () => socket.destroy())
    })
  const visitor = async (): Promise<void> => {
    while (come < total) {
      come += 1
      await visit()
    }
  }
  await Promise.all(Array.from({length: together}, visitor))
}

/** Requests sent ahead on one connection, with no more than the headers that HTTP needs. */
export function pipelined(path: string, host: string | undefined, bytes: number): Script {
  const hostLine = host === undefined ? "" : `Host:${host}\r\n`
  const request = `GET ${path} HTTP/1.1\r\n${hostLine}\r\n`
  const part = Buffer.from(request.repeat(PIPELINE_PART_REQUESTS))
  return {head: "", part, parts: Math.ceil(bytes / part.length)}
}

function chunkedHead(path: string, host: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nTransfer-Encoding: chunked\r\n\r\n`
}

/** A chunked body of the given length whose last chunk never comes. */
export function chunked(path: string, host: string, length: number, chunkLength: number): Script {
  const chunk = Buffer.from(`${chunkLength.toString(16)}\r\n${" ".repeat(chunkLength)}\r\n`)
  const chunks = Math.ceil(length / chunkLength)
  const together = Math.min(chunks, Math.max(1, Math.floor(PART_BYTES / chunk.length)))
  const part = Buffer.concat(Array.from({length: together}, () => chunk))
  return {head: chunkedHead(path, host), part, parts: Math.floor(chunks / together)}
}

/** A body of an announced length, of which only the first bytes are sent. */
export function announced(path: string, host: string, length: number, sent: number): Script {
  const head = `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nContent-Length: ${length}\r\n\r\n`
  return {head, part: Buffer.alloc(PART_BYTES, " "), parts: Math.ceil(sent / PART_BYTES)}
}

/** The beginning of a head. */
export function unfinishedHead(path: string): Script {
  return {head: `GET ${path} HTTP/1.1\r\n`, part: Buffer.alloc(0), parts: 0}
}

/** A request with a complete body. */
export function complete(path: string, host: string, body: string): Script {
  const head = `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n`
  return {head, part: Buffer.from(body), parts: 1}
}

/** A few requests sent ahead, each with many short header lines. */
export function manyHeaders(path: string, host: string, lines: number, requests: number): Script {
  const headers = Array.from({length: lines}, (_, index) => `h${index}:\r\n`).join("")
  const request = `GET ${path} HTTP/1.1\r\nHost: ${host}\r\n${headers}\r\n`
  return {head: request.repeat(requests), part: Buffer.alloc(0), parts: 0}
}

/** A chunked body of chunks of one byte, each with an extension. */
export function extendedChunks(path: string, host: string, chunks: number, extension: number): Script {
  const chunk = Buffer.from(`1;${"e".repeat(extension)}\r\nx\r\n`)
  return {head: chunkedHead(path, host), part: chunk, parts: chunks}
}

/** A connection on which nothing is sent. */
export const SILENCE: Script = {head: "", part: Buffer.alloc(0), parts: 0}
