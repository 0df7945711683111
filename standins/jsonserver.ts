/** A small HTTP server on loopback that takes and gives JSON, for the stand-ins of the platform. */
import {createServer} from "node:http"
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Socket} from "node:net"
import {listen} from "../src/platform/listen.js"

/** Answers one call. Undefined drops the connection without an answer, as if the reply was lost. */
export type JsonHandler = (
  path: string,
  body: unknown,
) => Promise<JsonResult | undefined> | JsonResult | undefined

export interface JsonResult {
  readonly status: number
  readonly body: unknown
}

export interface JsonServer {
  readonly address: string
  readonly close: () => Promise<void>
}

async function readBody(incoming: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = []
  for await (const part of incoming) parts.push(part as Buffer)
  const text = Buffer.concat(parts).toString("utf8")
  return text === "" ? undefined : (JSON.parse(text) as unknown)
}

async function answer(
  handler: JsonHandler,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const result = await handler(incoming.url ?? "/", await readBody(incoming))
  if (!result) {
    outgoing.destroy()
    return
  }
  const text = JSON.stringify(result.body)
  outgoing.writeHead(result.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  })
  outgoing.end(text)
}

/** Starts the server; port 0 takes a free one. */
export async function serveJson(handler: JsonHandler, port = 0): Promise<JsonServer> {
  const sockets = new Set<Socket>()
  const server = createServer({keepAliveTimeout: 60_000}, (incoming, outgoing) => {
    answer(handler, incoming, outgoing).catch(() => outgoing.destroy())
  })
  server.on("connection", (socket: Socket) => {
    sockets.add(socket)
    socket.on("close", () => sockets.delete(socket))
  })
  const address = await listen(server, `127.0.0.1:${port}`)
  const close = (): Promise<void> =>
    new Promise(done => {
      server.close(() => done())
      for (const socket of sockets) socket.destroy()
    })
  return {address, close}
}
