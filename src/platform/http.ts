/** JSON calls over HTTP to the platform, with a deadline for each call. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {Agent, request} from "undici"
import {CallFailed, describeError} from "../core/errors.js"
import type {Milliseconds} from "../core/clock.js"

export interface JsonReply {
  readonly status: number
  readonly body: unknown
}

export interface JsonCaller {
  /** Sends a JSON body and reads a JSON reply. A failure before the request could be sent is `not-run`. */
  readonly call: (
    method: "GET" | "POST" | "DELETE",
    address: string,
    path: string,
    body: unknown,
    timeout: Milliseconds,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<Result<JsonReply, CallFailed>>
  readonly close: () => Promise<void>
}

const CONNECT_TIMEOUT_MS = 1000
const CONNECTIONS_PER_ADDRESS = 8
const KEEP_ALIVE_MS = 30_000

/** Error codes that show that no byte of the request reached the other side. */
const NEVER_SENT = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"])

/** True when the error proves that the request was not sent. */
export function neverSent(error: unknown): boolean {
  const code = (error as {readonly code?: unknown} | undefined)?.code
  return typeof code === "string" && NEVER_SENT.has(code)
}

/** Creates a caller with a pool of connections of its own. */
export function jsonCaller(connections = CONNECTIONS_PER_ADDRESS): JsonCaller {
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    connections,
    keepAliveTimeout: KEEP_ALIVE_MS,
    pipelining: 1,
  })
  return {
    async call(method, address, path, body, timeout, headers = {}) {
      try {
        const reply = await request(`http://${address}${path}`, {
          method,
          dispatcher: agent,
          signal: AbortSignal.timeout(timeout),
          headers: body === undefined ? headers : {...headers, "content-type": "application/json"},
          body: body === undefined ? null : JSON.stringify(body),
        })
        const content = await reply.body.text()
        return ok({
          status: reply.statusCode,
          body: content === "" ? undefined : (JSON.parse(content) as unknown),
        })
      } catch (error) {
        return err(new CallFailed(address, describeError(error), neverSent(error) ? "not-run" : "unknown"))
      }
    },
    close: () => agent.destroy(),
  }
}
