/** HTTP client with which the command line calls an instance. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {request} from "undici"
import {CallFailed, describeError} from "../core/errors.js"
import {isConnectError} from "../platform/http.js"

export interface ApiReply {
  readonly status: number
  readonly body: Readonly<Record<string, unknown>>
}

export interface ApiClient {
  readonly call: (
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
    key?: string,
  ) => Promise<Result<ApiReply, CallFailed>>
}

const CALL_TIMEOUT_MS = 10_000

/** Creates a client for one address. An operator key that is not empty is sent with every call. */
export function apiClient(address: string, operatorKey: string): ApiClient {
  return {
    async call(method, path, body, key) {
      const headers: Record<string, string> = {accept: "application/json"}
      if (operatorKey !== "") headers.authorization = `Bearer ${operatorKey}`
      if (body !== undefined) headers["content-type"] = "application/json"
      if (key !== undefined) headers["idempotency-key"] = key
      const base = address.includes("://") ? address : `http://${address}`
      try {
        const reply = await request(base + path, {
          method,
          headers,
          body: body === undefined ? null : JSON.stringify(body),
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        })
        return ok({
          status: reply.statusCode,
          body: (await reply.body.json()) as Readonly<Record<string, unknown>>,
        })
      } catch (error) {
        return err(
          new CallFailed(
            address,
            describeError(error),
            isConnectError(error) || method === "GET" ? "not-run" : "unknown",
          ),
        )
      }
    },
  }
}
