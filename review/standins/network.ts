/** HTTP servers on loopback, a proxy that cuts a link without closing it, and free loopback addresses. */
import {createServer} from "node:http"
import type {IncomingMessage, Server, ServerResponse} from "node:http"
import {connect, createServer as createTcpServer} from "node:net"
import type {Server as TcpServer, Socket} from "node:net"

export type Fields = Readonly<Record<string, unknown>>

export interface Reply {
  readonly status: number
  readonly body?: Fields
}

export interface Call {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly body: Fields
  readonly headers: IncomingMessage["headers"]
}

/** Answers a call; undefined leaves it without an answer. */
export type Handler = (call: Call) => Reply | undefined | Promise<Reply | undefined>

export function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value)
}

export function parseFields(text: string): Fields {
  try {
    const value: unknown = JSON.parse(text)
    return isFields(value) ? value : {}
  } catch {
    return {}
  }
}

export function numberOf(value: unknown): number {
  return typeof value === "number" ? value : 0
}

export function textOf(value: unknown): string {
  return typeof value === "string" ? value : ""
}

export function rowsOf(value: unknown): readonly Fields[] {
  return Array.isArray(value) ? value.filter(isFields) : []
}

export function wait(span: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span))
}

async function readBody(request: IncomingMessage): Promise<Fields> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return parseFields(Buffer.concat(chunks).toString("utf8"))
}

async function answer(handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? "/", "http://stand-in")
  const reply = await handler({
    method: request.method ?? "",
    path: url.pathname,
    query: url.searchParams,
    body: await readBody(request),
    headers: request.headers,
  })
  if (!reply) return
  response.writeHead(reply.status, {"Content-Type": "application/json"})
  response.end(reply.body === undefined ? "" : JSON.stringify(reply.body))
}

function listen(server: Server | TcpServer, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(port, host, () => {
      const bound = server.address()
      resolve(typeof bound === "object" && bound !== null ? bound.port : 0)
    })
  })
}

export interface HttpServer {
  readonly address: string
  /** Ends the listener and all connections, as the end of a process does. */
  readonly close: () => void
}

export async function serve(host: string, handler: Handler, port = 0): Promise<HttpServer> {
  const server = createServer((request, response) => {
    answer(handler, request, response).catch(() => request.socket.destroy())
  })
  server.keepAliveTimeout = 0
  const bound = await listen(server, host, port)
  return {
    address: `${host}:${bound}`,
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}

export interface Link {
  readonly address: string
  /**
   * While cut, the link carries nothing in either direction and closes no connection. What was sent on open connections
   * arrives after the cut, if their sender has not given up; connections that were begun meanwhile hang for good.
   */
  readonly setCut: (cut: boolean) => void
  readonly close: () => void
}

/** A TCP proxy in front of the target, whose address is asked for with each connection. */
export async function openLink(host: string, target: () => string): Promise<Link> {
  const sockets = new Set<Socket>()
  const held: (() => void)[] = []
  let isCut = false

  function pass(act: () => void): void {
    if (isCut) held.push(act)
    else act()
  }

  function carry(from: Socket, to: Socket): void {
    sockets.add(from)
    // What a sender that has given up meanwhile had sent is lost.
    from.on("data", (chunk: Buffer) =>
      pass(() => {
        if (!from.destroyed) to.write(chunk)
      }),
    )
    from.on("error", () => undefined)
    from.on("close", () => {
      sockets.delete(from)
      pass(() => to.destroy())
    })
  }

  const server = createTcpServer(near => {
    near.on("error", () => undefined)
    sockets.add(near)
    if (isCut) {
      near.resume()
      return
    }
    const [targetHost = "", port = ""] = target().split(":")
    const far = connect(Number(port), targetHost)
    carry(near, far)
    carry(far, near)
  })
  const port = await listen(server, host, 0)
  return {
    address: `${host}:${port}`,
    setCut(cut) {
      isCut = cut
      if (!cut) for (const act of held.splice(0)) act()
    },
    close() {
      for (const socket of sockets) socket.destroy()
      server.close()
    },
  }
}

/** The first three numbers of a block of loopback addresses that is probably unused. */
export function pickLoopbackBlock(): string {
  const draw = (): number => 1 + Math.floor(Math.random() * 250)
  return `127.${draw()}.${draw()}`
}
