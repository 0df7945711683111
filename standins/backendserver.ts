/**
 * The stand-in of a backend server on loopback: 8 slots, 64 connections, a health resource, and faults. The query
 * tells what a request does: `work` is its time in milliseconds, `size` the bytes of its answer.
 */
import {createServer} from "node:http"
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Socket} from "node:net"
import {sleep} from "../src/core/clock.js"
import type {Clock, Milliseconds} from "../src/core/clock.js"
import {listen} from "../src/platform/listen.js"
import type {Truth} from "./truth.js"

export interface BackendFaults {
  /** Accepts requests and answers nothing, on connections that are open when it is set. */
  silentConnections: boolean
  /** Cuts the connection in the middle of the answer's body. */
  resetMidBody: boolean
  /** Closes the connection after the work, before the answer. */
  dieBeforeAnswer: boolean
  /** Every request fails with status 500. */
  failing: boolean
  /** Added to the work of each request. */
  slowness: Milliseconds
}

export interface BackendServer {
  readonly address: string
  readonly inHand: () => number
  readonly served: () => number
  readonly connections: () => number
  readonly faults: BackendFaults
  readonly setLeaving: (leaving: boolean) => void
  /** Makes the connections that are open now go silent for good. */
  readonly silenceOpenConnections: () => void
  readonly close: () => Promise<void>
}

export interface BackendDefinition {
  readonly name: string
  readonly slots: number
  readonly connections: number
}

const HEALTH_PATH = "/.well-known/health"
const SMALLEST_ANSWER = 64

/** Starts the server; port 0 takes a free one. */
export async function serveBackend(
  definition: BackendDefinition,
  clock: Clock,
  truth: Truth,
  port = 0,
): Promise<BackendServer> {
  const sockets = new Set<Socket>()
  const silent = new WeakSet<Socket>()
  const faults: BackendFaults = {
    silentConnections: false,
    resetMidBody: false,
    dieBeforeAnswer: false,
    failing: false,
    slowness: 0,
  }
  let inHand = 0
  let served = 0
  let leaving = false

  async function drainBody(incoming: IncomingMessage): Promise<number> {
    let size = 0
    for await (const part of incoming) size += (part as Buffer).length
    return size
  }

  function refuse(outgoing: ServerResponse): void {
    outgoing.writeHead(503, {"content-length": 0, "lacewing-execution": "not-run", "retry-after": "1"})
    outgoing.end()
  }

  async function work(incoming: IncomingMessage, outgoing: ServerResponse, url: URL): Promise<void> {
    const request = String(incoming.headers["request-id"] ?? "")
    const key = String(incoming.headers["idempotency-key"] ?? "")
    truth.requestStarted({request, key, server: definition.name, startedAt: clock.now()})
    const received = await drainBody(incoming)
    await sleep(clock, Number(url.searchParams.get("work") ?? 5) + faults.slowness)
    const socket = incoming.socket
    if (faults.dieBeforeAnswer) {
      socket.destroy()
      return
    }
    if (silent.has(socket)) return
    const size = Math.max(SMALLEST_ANSWER, Number(url.searchParams.get("size") ?? SMALLEST_ANSWER))
    const head = JSON.stringify({request, server: definition.name, received})
    const body = Buffer.alloc(size, 32)
    body.write(head)
    outgoing.writeHead(faults.failing ? 500 : 200, {
      "content-type": "application/json",
      "content-length": size,
    })
    if (faults.resetMidBody) {
      outgoing.write(body.subarray(0, size / 2))
      await sleep(clock, 10)
      socket.destroy()
      return
    }
    outgoing.end(body)
  }

  async function serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const url = new URL(incoming.url ?? "/", "http://backend")
    if (url.pathname === HEALTH_PATH) {
      const text = JSON.stringify({inHand, leaving})
      outgoing.writeHead(200, {"content-type": "application/json", "content-length": text.length})
      outgoing.end(text)
      return
    }
    if (inHand >= definition.slots) {
      truth.slotsUsed(definition.name, inHand + 1, definition.slots)
      refuse(outgoing)
      return
    }
    inHand += 1
    try {
      await work(incoming, outgoing, url)
      served += 1
    } finally {
      inHand -= 1
    }
  }

  const server = createServer({keepAliveTimeout: 30_000}, (incoming, outgoing) => {
    serve(incoming, outgoing).catch(() => outgoing.destroy())
  })
  server.on("connection", (socket: Socket) => {
    sockets.add(socket)
    truth.connectionsUsed(definition.name, sockets.size, definition.connections)
    socket.on("error", () => socket.destroy())
    socket.on("close", () => sockets.delete(socket))
  })

  const address = await listen(server, `127.0.0.1:${port}`)
  return {
    address,
    inHand: () => inHand,
    served: () => served,
    connections: () => sockets.size,
    faults,
    setLeaving(value) {
      leaving = value
    },
    silenceOpenConnections() {
      for (const socket of sockets) {
        silent.add(socket)
        socket.pause()
      }
    },
    close: () =>
      new Promise(done => {
        server.close(() => done())
        for (const socket of sockets) socket.destroy()
      }),
  }
}
