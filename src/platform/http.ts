/**
 * HTTP client for JSON calls to the platform, with a timeout for each call. It uses `node:http`, because a client
 * library takes 15 MB more memory in each instance and adds 50 ms to each restart.
 */
import {Agent, request as httpRequest} from "node:http"
import type {IncomingMessage, RequestOptions} from "node:http"
import type {Socket} from "node:net"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {CallFailed, describeError} from "../core/errors.js"
import type {Milliseconds} from "../core/clock.js"

export interface JsonReply {
  readonly status: number
  readonly body: unknown
}

/** Identifies a connection. It leads to the same process of the server as long as it lives. */
export type Connection = Socket

/** The content of a request; undefined sends none. */
type Content = string | undefined
type ContentFor = (connection: Connection) => Content | Promise<Content>

export interface JsonClient {
  /**
   * Sends a JSON body and reads a JSON reply. The certainty of a failure is `not-run` when it occurred before the
   * request could be sent, and `unknown` otherwise.
   */
  readonly call: (
    method: "GET" | "POST" | "DELETE",
    address: string,
    path: string,
    body: unknown,
    timeout: Milliseconds,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<Result<JsonReply, CallFailed>>
  /**
   * Sends a JSON body that is chosen when the connection that carries it is established. With the body `undefined`,
   * nothing is sent and the call fails as `not-run`.
   */
  readonly post: (
    address: string,
    path: string,
    bodyFor: (connection: Connection) => unknown,
    timeout: Milliseconds,
    headers: Readonly<Record<string, string>>,
  ) => Promise<Result<JsonReply, CallFailed>>
  readonly close: () => Promise<void>
}

const MAX_CONNECTIONS_PER_ADDRESS = 8
const SOCKET_TIMEOUT_MS: Milliseconds = 30_000
/**
 * A timer that runs later than this shows that the process was busy. It may then have sent the request late and has read
 * nothing meanwhile.
 */
const BUSY_DELAY_MS: Milliseconds = 20
/** Limit on the time that a call is given for delays of the process, as a multiple of its timeout. */
const MAXIMUM_EXTENSION = 1

/** Error codes of connections that were never established, so that no byte of the request reached the server. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
])

/** Returns true if the connection could not be established, which proves that the request was not sent. */
export function isConnectError(error: unknown): boolean {
  const code = (error as {readonly code?: unknown} | undefined)?.code
  return typeof code === "string" && CONNECT_ERROR_CODES.has(code)
}

function parseBody(text: string): unknown {
  return text === "" ? undefined : (JSON.parse(text) as unknown)
}

async function readText(response: IncomingMessage): Promise<string> {
  // An async iterator creates several objects and listeners for each response.
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    response.on("data", (chunk: Buffer) => chunks.push(chunk))
    response.on("error", reject)
    response.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")))
  })
}

/** Creates a client with its own connection pool. */
export function jsonClient(connections = MAX_CONNECTIONS_PER_ADDRESS): JsonClient {
  const agent = new Agent({keepAlive: true, maxSockets: connections, timeout: SOCKET_TIMEOUT_MS})

  /**
   * Closes the idle connections to the address. When a call gets no response, a device on the network path may have
   * dropped the state of its connection, and then other connections to the address are likely to be dead too.
   */
  function closeIdleConnections(options: RequestOptions): void {
    for (const socket of agent.freeSockets[agent.getName(options)] ?? []) socket.destroy()
  }

  /** Content that depends on the connection is written when the connection is established, or later. */
  function send(
    options: RequestOptions,
    content: string | ContentFor,
    timeout: Milliseconds,
  ): Promise<JsonReply> {
    return new Promise((resolve, reject) => {
      let isSent = false
      let settled = false
      const request = httpRequest(options)
      const failOnTimeout = (): void => {
        if (settled) return
        closeIdleConnections(options)
        request.destroy(new Error("no response before the timeout"))
      }
      let extension = timeout * MAXIMUM_EXTENSION
      let dueAt = performance.now() + timeout
      // The time for which the process was busy does not count, up to a limit. Node.js runs expired timers before it
      // reads sockets; the extra turn of the event loop lets it read a response that arrived meanwhile.
      const expire = (): void => {
        const delay = performance.now() - dueAt
        if (delay <= BUSY_DELAY_MS || extension <= 0) {
          setImmediate(failOnTimeout)
          return
        }
        const added = Math.min(delay, extension)
        extension -= added
        dueAt = performance.now() + added
        timer = setTimeout(expire, added)
      }
      let timer = setTimeout(expire, timeout)
      const fail = (error: unknown): void => {
        settled = true
        clearTimeout(timer)
        reject(
          new CallFailed(
            `${options.host}:${options.port}`,
            describeError(error),
            isSent ? "unknown" : "not-run",
          ),
        )
      }
      request.once("socket", socket => {
        const write = (chosen: Content): void => {
          if (request.destroyed) return
          if (chosen === undefined) {
            request.destroy(new Error("the connection is not suitable for the request"))
            return
          }
          isSent = true
          request.end(chosen)
        }
        const proceed = (): void => {
          if (typeof content === "string") {
            isSent = true
            return
          }
          const chosen = content(socket)
          if (chosen instanceof Promise)
            chosen.then(write, (error: unknown) => request.destroy(new Error(describeError(error))))
          else write(chosen)
        }
        if (socket.connecting) socket.once("connect", proceed)
        else proceed()
      })
      request.once("error", fail)
      request.once("response", response => {
        readText(response)
          .then(text => {
            settled = true
            clearTimeout(timer)
            resolve({status: response.statusCode ?? 0, body: parseBody(text)})
          })
          .catch(fail)
      })
      if (typeof content === "string") request.end(content)
    })
  }

  async function trySend(
    address: string,
    request: Pick<RequestOptions, "method" | "path" | "headers">,
    content: string | ContentFor,
    timeout: Milliseconds,
  ): Promise<Result<JsonReply, CallFailed>> {
    const separator = address.lastIndexOf(":")
    const [host, port] = [address.slice(0, separator), Number(address.slice(separator + 1))]
    try {
      return ok(await send({agent, host, port, ...request}, content, timeout))
    } catch (error) {
      return err(
        error instanceof CallFailed ? error : new CallFailed(address, describeError(error), "unknown"),
      )
    }
  }

  return {
    call(method, address, path, body, timeout, headers = {}) {
      const content = body === undefined ? "" : JSON.stringify(body)
      const contentHeaders =
        body === undefined
          ? {}
          : {"content-type": "application/json", "content-length": Buffer.byteLength(content)}
      return trySend(address, {method, path, headers: {...headers, ...contentHeaders}}, content, timeout)
    },
    post(address, path, bodyFor, timeout, headers) {
      const contentHeaders = {...headers, "content-type": "application/json"}
      const encode = (body: unknown): Content => (body === undefined ? undefined : JSON.stringify(body))
      const content: ContentFor = connection => {
        const body = bodyFor(connection)
        return body instanceof Promise ? body.then(encode) : encode(body)
      }
      return trySend(address, {method: "POST", path, headers: contentHeaders}, content, timeout)
    },
    close() {
      agent.destroy()
      return Promise.resolve()
    },
  }
}
