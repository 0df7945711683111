/**
 * HTTP client for backend servers. It uses one connection for each slot, so that a server never has more connections
 * than slots that were lent. Response bodies are streamed; a truncated body is reported as an error of the stream.
 */
import type {Readable} from "node:stream"
import {Client} from "undici"
import type {Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import {isConnectError} from "../platform/http.js"
import type {Slot} from "./slotborrower.js"

export interface BackendRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Buffer
  readonly signal: AbortSignal
}

export interface BackendAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Readable
}

export type BackendOutcome =
  | {readonly type: "answered"; readonly answer: BackendAnswer}
  /** `sent` is false when no byte of the request can have reached the server. */
  | {readonly type: "failed"; readonly sent: boolean; readonly detail: string}

export interface BackendClient {
  readonly send: (slot: Slot, request: BackendRequest) => Promise<BackendOutcome>
  /** Marks the slot's connection as idle: the answer was read to its end, or reading was given up. */
  readonly markIdle: (slot: Slot) => void
  /** Closes the connection of a slot. */
  readonly dropConnection: (slot: Slot) => void
  /** Closes every idle connection. When one connection has stopped responding, the same cause may affect others. */
  readonly dropIdle: () => void
  readonly connectionCount: () => number
  readonly close: () => Promise<void>
}

const CONNECT_TIMEOUT_MS: Milliseconds = 1000
const KEEP_ALIVE_MS: Milliseconds = 4000

interface SlotConnection {
  readonly client: Client
  busy: boolean
}

/** Creates the client of one entry instance. */
export function backendClient(): BackendClient {
  const connections = new Map<string, SlotConnection>()

  function connectionFor(slot: Slot): SlotConnection {
    const existing = connections.get(slot.id)
    if (existing && !existing.client.destroyed && !existing.client.closed) return existing
    const client = new Client(`http://${slot.address}`, {
      connect: {timeout: CONNECT_TIMEOUT_MS},
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    const created = {client, busy: false}
    connections.set(slot.id, created)
    return created
  }

  function dropConnection(slot: Slot): void {
    const existing = connections.get(slot.id)
    connections.delete(slot.id)
    if (existing) void existing.client.destroy().catch(() => undefined)
  }

  return {
    async send(slot, request) {
      let sent = false
      try {
        const {method, path, headers, body, signal} = request
        const connection = connectionFor(slot)
        connection.busy = true
        sent = true
        const reply = await connection.client.request({
          method: method,
          path,
          headers: headers as Record<string, string>,
          body: body.length > 0 ? body : null,
          signal,
        })
        return {
          type: "answered",
          answer: {status: reply.statusCode, headers: reply.headers, body: reply.body},
        }
      } catch (error) {
        dropConnection(slot)
        return {type: "failed", sent: sent && !isConnectError(error), detail: describeError(error)}
      }
    },
    markIdle(slot) {
      const existing = connections.get(slot.id)
      if (existing) existing.busy = false
    },
    dropConnection,
    dropIdle() {
      for (const [id, connection] of connections) {
        if (connection.busy) continue
        connections.delete(id)
        void connection.client.destroy().catch(() => undefined)
      }
    },
    connectionCount: () => connections.size,
    async close() {
      const open = [...connections.values()]
      connections.clear()
      await Promise.allSettled(open.map(connection => connection.client.destroy()))
    },
  }
}
