/**
 * The stand-in of the platform's balancer: takes callers' connections and passes each on, byte by byte, to an entry
 * instance that its health checks found ready. It knows of a dead instance only after a check.
 */
import {createServer, connect} from "node:net"
import type {Socket} from "node:net"
import {request} from "undici"
import type {Clock, Milliseconds} from "../src/core/clock.js"
import {listen} from "../src/platform/listen.js"

export interface Balancer {
  readonly address: string
  readonly setTargets: (addresses: readonly string[]) => void
  readonly healthy: () => readonly string[]
  readonly close: () => Promise<void>
}

const CHECK_INTERVAL_MS: Milliseconds = 300
const CHECK_TIMEOUT_MS: Milliseconds = 500

/** Starts the balancer; port 0 takes a free one. */
export async function serveBalancer(clock: Clock, port = 0): Promise<Balancer> {
  const sockets = new Set<Socket>()
  let targets: readonly string[] = []
  let healthy: readonly string[] = []
  let next = 0
  let closed = false

  async function isHealthy(address: string): Promise<boolean> {
    try {
      const reply = await request(`http://${address}/.well-known/health`, {
        signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
      })
      await reply.body.dump()
      return reply.statusCode === 200
    } catch {
      return false
    }
  }

  async function check(): Promise<void> {
    const results = await Promise.all(targets.map(isHealthy))
    healthy = targets.filter((_, index) => results[index])
    if (!closed) clock.after(CHECK_INTERVAL_MS, () => void check())
  }

  function choose(): string | undefined {
    next += 1
    return healthy[next % Math.max(1, healthy.length)]
  }

  function pass(caller: Socket): void {
    sockets.add(caller)
    caller.on("close", () => sockets.delete(caller))
    caller.on("error", () => caller.destroy())
    const target = choose()
    if (target === undefined) {
      caller.destroy()
      return
    }
    const separator = target.lastIndexOf(":")
    const entry = connect(Number(target.slice(separator + 1)), target.slice(0, separator))
    entry.on("error", () => caller.destroy())
    entry.on("close", () => caller.destroy())
    caller.on("close", () => entry.destroy())
    entry.setNoDelay(true)
    caller.setNoDelay(true)
    caller.pipe(entry)
    entry.pipe(caller)
  }

  const server = createServer(pass)
  void check()

  const address = await listen(server, `127.0.0.1:${port}`)
  return {
    address,
    setTargets(addresses) {
      targets = addresses
    },
    healthy: () => healthy,
    close() {
      closed = true
      return new Promise(done => {
        server.close(() => done())
        for (const socket of sockets) socket.destroy()
      })
    },
  }
}
