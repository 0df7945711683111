/**
 * Sends requests to backend servers, one connection for each slot, so that a server never sees more connections
 * than slots that were lent. The answer's body is streamed; a body that is cut short is reported as such.
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
  /** The answer on the slot was read to its end, or given up. */
  readonly finished: (slot: Slot) => void
  /** Ends the connection of a slot. */
  readonly drop: (slot: Slot) => void
  /** Ends every connection that carries no request: what silenced one may have silenced others. */
  readonly dropIdle: () => void
  readonly connections: () => number
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
  const clients = new Map<string, SlotConnection>()

  function connectionFor(slot: Slot): SlotConnection {
    const known = clients.get(slot.id)
    if (known && !known.client.destroyed && !known.client.closed) return known
    const client = new Client(`http://${slot.address}`, {
      connect: {timeout: CONNECT_TIMEOUT_MS},
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    const fresh = {client, busy: false}
    clients.set(slot.id, fresh)
    return fresh
  }

  function drop(slot: Slot): void {
    const known = clients.get(slot.id)
    clients.delete(slot.id)
    if (known) void known.client.destroy().catch(() => undefined)
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
        drop(slot)
        return {type: "failed", sent: sent && !isConnectError(error), detail: describeError(error)}
      }
    },
    finished(slot) {
      const known = clients.get(slot.id)
      if (known) known.busy = false
    },
    drop,
    dropIdle() {
      for (const [id, connection] of clients) {
        if (connection.busy) continue
        clients.delete(id)
        void connection.client.destroy().catch(() => undefined)
      }
    },
    connections: () => clients.size,
    async close() {
      const open = [...clients.values()]
      clients.clear()
      await Promise.allSettled(open.map(connection => connection.client.destroy()))
    },
  }
}
