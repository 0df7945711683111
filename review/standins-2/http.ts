/** JSON over HTTP on loopback, for the stand-ins and for the clients of the cases. */
import {Agent, createServer, request as httpRequest} from "node:http"
import type {IncomingMessage, Server} from "node:http"
import {createServer as createTcpServer} from "node:net"

export interface Reply {
  readonly status: number
  readonly body?: unknown
}

export type Body = Readonly<Record<string, unknown>>

export interface Call {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly body: Body
  readonly expectedInstance: string
}

/** "none" leaves the call without an answer; "reset" ends its connection. */
export type Handler = (call: Call) => Reply | "none" | "reset" | Promise<Reply | "none" | "reset">

export interface Listener {
  readonly address: string
  /** Ends all connections and accepts no further ones. */
  readonly close: () => void
}

export function asObject(value: unknown): Body {
  return typeof value === "object" && value !== null && !Array.isArray(value) ? (value as Body) : {}
}

export function asArray(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as unknown[]) : []
}

export function asText(value: unknown): string {
  return typeof value === "string" ? value : ""
}

async function readText(stream: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of stream) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString("utf8")
}

async function handle(request: IncomingMessage, handler: Handler): Promise<Reply | "none" | "reset"> {
  const url = new URL(request.url ?? "/", "http://standin")
  const text = await readText(request)
  const expected = request.headers["x-lacewingstream-expect-instance"]
  return handler({
    method: request.method ?? "",
    path: url.pathname,
    query: url.searchParams,
    body: text === "" ? {} : asObject(JSON.parse(text)),
    expectedInstance: typeof expected === "string" ? expected : "",
  })
}

/** Serves the handler on the given loopback host; port 0 selects a free port. */
export async function serve(host: string, port: number, handler: Handler): Promise<Listener> {
  const server: Server = createServer((request, response) => {
    handle(request, handler)
      .then(reply => {
        if (reply === "none") return
        if (reply === "reset") {
          request.socket.resetAndDestroy()
          return
        }
        response.writeHead(reply.status, {"Content-Type": "application/json"})
        response.end(reply.body === undefined ? "" : JSON.stringify(reply.body))
      })
      .catch(() => request.socket.destroy())
  })
  server.keepAliveTimeout = 120_000
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address()
  const boundPort = typeof bound === "object" && bound !== null ? bound.port : port
  return {
    address: `${host}:${boundPort}`,
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}

/** A port that is free on the host at present. */
export function findFreePort(host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const probe = createTcpServer()
    probe.once("error", reject)
    probe.listen(0, host, () => {
      const bound = probe.address()
      const port = typeof bound === "object" && bound !== null ? bound.port : 0
      probe.close(() => {
        resolve(port)
      })
    })
  })
}

const agent = new Agent({keepAlive: true})

/** Sends one request. Undefined when there was no complete answer in time. */
export function send(
  method: string,
  address: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body: unknown,
  timeout: number,
): Promise<Reply | undefined> {
  const [host = "", port = ""] = address.split(":")
  const content = body === undefined ? "" : JSON.stringify(body)
  return new Promise(resolve => {
    const request = httpRequest({
      agent,
      host,
      port: Number(port),
      method,
      path,
      headers: {...headers, "content-type": "application/json", "content-length": Buffer.byteLength(content)},
    })
    const timer = setTimeout(() => {
      request.destroy(new Error("no answer in time"))
    }, timeout)
    request.once("error", () => {
      clearTimeout(timer)
      resolve(undefined)
    })
    request.once("response", response => {
      readText(response)
        .then(text => {
          clearTimeout(timer)
          const parsed: unknown = text === "" ? undefined : JSON.parse(text)
          resolve({status: response.statusCode ?? 0, body: parsed})
        })
        .catch(() => {
          clearTimeout(timer)
          resolve(undefined)
        })
    })
    request.end(content)
  })
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds)
  })
}
