/** Small HTTP helpers of the stand-ins: JSON servers on loopback, and calls to them. */
import {createServer, request as httpRequest} from "node:http"
import type {IncomingMessage, Server, ServerResponse} from "node:http"

export type Json = Readonly<Record<string, unknown>>

export interface Reply {
  readonly status: number
  readonly body?: unknown
}

/** Answers one call. `undefined` leaves it without an answer. */
export type Handler = (call: {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly body: Json
  readonly expected: string
}) => Promise<Reply | undefined> | Reply | undefined

export interface Listener {
  readonly address: string
  readonly close: () => void
}

export function asJson(value: unknown): Json {
  return typeof value === "object" && value !== null ? (value as Json) : {}
}

export function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as readonly unknown[]) : []
}

export function asText(value: unknown): string {
  return typeof value === "string" ? value : ""
}

export function asNumber(value: unknown): number {
  return typeof value === "number" ? value : 0
}

async function readText(stream: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of stream) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString("utf8")
}

function parse(text: string): Json {
  return text === "" ? {} : asJson(JSON.parse(text))
}

async function serveCall(
  handler: Handler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://stand-in")
  const reply = await handler({
    method: request.method ?? "",
    path: url.pathname,
    query: url.searchParams,
    body: parse(await readText(request)),
    expected: asText(request.headers["x-lacewingstream-expect-instance"]),
  })
  if (!reply) return
  const content = reply.body === undefined ? "" : JSON.stringify(reply.body)
  response.writeHead(reply.status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(content),
  })
  response.end(content)
}

export function listenOn(server: Server, host: string, port = 0): Promise<Listener> {
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(port, host, () => {
      const bound = server.address()
      resolve({
        address: `${host}:${typeof bound === "object" && bound ? bound.port : port}`,
        close() {
          server.close()
          server.closeAllConnections()
        },
      })
    })
  })
}

/** Serves JSON calls on a free port. */
export function serveJson(host: string, handler: Handler): Promise<Listener> {
  const server = createServer((request, response) => {
    serveCall(handler, request, response).catch(() => request.socket.destroy())
  })
  server.keepAliveTimeout = 120_000
  return listenOn(server, host)
}

/** Makes one call on a connection of its own. Status 0 stands for no answer. */
export function call(
  address: string,
  method: string,
  path: string,
  options: {
    readonly host?: string
    readonly body?: unknown
    readonly timeout: number
    readonly headers?: Readonly<Record<string, string>>
  },
): Promise<{readonly status: number; readonly body: Json}> {
  const [hostname, port] = address.split(":")
  return new Promise(resolve => {
    const content = options.body === undefined ? undefined : JSON.stringify(options.body)
    const request = httpRequest({
      hostname,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...(options.host === undefined ? {} : {Host: options.host}),
        ...(content === undefined
          ? {}
          : {"Content-Type": "application/json", "Content-Length": Buffer.byteLength(content)}),
        ...options.headers,
      },
    })
    const timer = setTimeout(() => request.destroy(new Error("timeout")), options.timeout)
    const finish = (status: number, body: Json): void => {
      clearTimeout(timer)
      resolve({status, body})
    }
    request.once("error", () => finish(0, {}))
    request.once("response", response => {
      readText(response)
        .then(text => finish(response.statusCode ?? 0, parse(text)))
        .catch(() => finish(0, {}))
    })
    request.end(content)
  })
}
