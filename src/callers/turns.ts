/**
 * Lets one connection after another go on reading, one in each turn of the event loop. Very small chunks and requests sent
 * ahead take far more processor time and memory than other bytes; timers, ordinary callers and the closing of
 * connections, which frees their memory, come in between.
 */
import type {Socket} from "node:net"

export type WaitForTurn = (socket: Socket, goOn: () => void) => void

export function createTurns(): WaitForTurn {
  const waiting: (() => void)[] = []

  function next(): void {
    waiting.shift()?.()
    if (waiting.length > 0) schedule()
  }

  /** Connections are closed at the end of a turn, after the first of the two callbacks. */
  function schedule(): void {
    setImmediate(() => setImmediate(next))
  }

  return (socket, goOn) => {
    // With each piece of a body that is taken, its request resumes the socket.
    const hold = (): void => void socket.pause()
    socket.on("resume", hold)
    socket.pause()
    waiting.push(() => {
      socket.off("resume", hold)
      goOn()
      socket.resume()
    })
    if (waiting.length === 1) schedule()
  }
}
