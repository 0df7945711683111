/**
 * Stand-in of the platform's store: linearizable keys with revisions, ranges in pages, watches with a history, and
 * transactions of up to 32 entries. It refuses a value that is longer than its limit, and then nothing is done.
 */
import {asArray, asObject, asText, pause, serve} from "./http.js"
import type {Body, Call, Listener, Reply} from "./http.js"

const MAX_ENTRIES = 32
const MAX_VALUE_BYTES = 1_048_576
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const ANSWER_MS = 4
const WATCH_POLL_MS = 5
const HISTORY_MS = 20_000

interface Item {
  readonly key: string
  readonly value: Buffer
  readonly revision: number
  readonly created: number
}

interface Change {
  readonly key: string
  readonly revision: number
  readonly at: number
  readonly item: Item | undefined
}

export type Outage = "none" | "busy" | "silent"

export interface Store {
  readonly address: string
  /** Writes a key as a worker or the operator does. */
  readonly put: (key: string, value: Buffer | string) => void
  readonly remove: (key: string) => void
  readonly read: (key: string) => string | undefined
  /** "busy": calls are refused with 503. "silent": calls that come get no answer. In both, nothing is done. */
  readonly setOutage: (outage: Outage) => void
  /** When a transaction came that has written the key; undefined if none has. */
  readonly writtenBy: (key: string) => number | undefined
  /** Counts the transactions of the system by the status that they were answered with. */
  readonly transactions: () => Readonly<Record<string, number>>
  readonly close: () => void
}

function describe({key, value, revision, created}: Item): Body {
  return {Key: key, Value: value.toString("base64"), Revision: revision, Created: created, Lease: 0}
}

export async function startStore(host: string): Promise<Store> {
  const items = new Map<string, Item>()
  let history: Change[] = []
  let revision = 100
  /** The latest change that the history no longer has. */
  let discardedRevision = 0
  let outage: Outage = "none"
  /** When the transaction came that last wrote a key. */
  const writtenBy = new Map<string, number>()
  const transactions: Record<string, number> = {}

  function record(key: string, item: Item | undefined): void {
    const now = performance.now()
    history.push({key, revision, at: now, item})
    if ((history[0]?.at ?? now) > now - 2 * HISTORY_MS) return
    const kept = history.filter(({at}) => at > now - HISTORY_MS)
    discardedRevision = history[history.length - kept.length - 1]?.revision ?? discardedRevision
    history = kept
  }

  function write(key: string, value: Buffer): void {
    const item = {key, value, revision, created: items.get(key)?.created ?? revision}
    items.set(key, item)
    record(key, item)
  }

  function erase(key: string): void {
    if (items.delete(key)) record(key, undefined)
  }

  function readRange(query: URLSearchParams): Reply {
    const prefix = query.get("Prefix") ?? ""
    const after = query.get("After") ?? ""
    const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const page: Body[] = []
    let bytes = 0
    for (const key of keys) {
      const item = items.get(key)
      if (!item) continue
      if (page.length === PAGE_ITEMS || (page.length > 0 && bytes + item.value.length > PAGE_BYTES)) break
      page.push(describe(item))
      bytes += item.value.length
    }
    return {status: 200, body: {items: page, HasMore: page.length < keys.length, AsOf: revision}}
  }

  /** A watch that waits is cut when an outage begins. */
  async function watch(query: URLSearchParams): Promise<Reply | "none"> {
    const prefix = query.get("Prefix") ?? ""
    const after = Number(query.get("After"))
    const until = performance.now() + Number(query.get("WaitMs"))
    if (after < discardedRevision) return {status: 410}
    for (;;) {
      const events = history.filter(change => change.revision > after && change.key.startsWith(prefix))
      if (events.length > 0 || performance.now() >= until)
        return {
          status: 200,
          body: {
            events: events.map(({key, revision: changed, item}) =>
              item ? describe(item) : {Key: key, Revision: changed, Tombstone: true},
            ),
            AsOf: revision,
          },
        }
      await pause(WATCH_POLL_MS)
      if (outage === "busy") return {status: 503}
      if (outage === "silent") return "none"
    }
  }

  function commit(body: Body, receivedAt: number): Reply {
    const expected = asArray(body.Expected).map(asObject)
    const writes = asArray(body.Writes).map(asObject)
    const removed = asArray(body.Remove).map(asText)
    if (expected.length + writes.length + removed.length > MAX_ENTRIES) return {status: 400}
    const values = writes.map(({Value}) => Buffer.from(asText(Value), "base64"))
    if (values.some(value => value.length > MAX_VALUE_BYTES)) return {status: 413}
    const holds = expected.every(({Key, Revision}) => (items.get(asText(Key))?.revision ?? 0) === Revision)
    if (!holds) {
      const current = expected.map(({Key}) => items.get(asText(Key))).filter(item => item !== undefined)
      return {status: 412, body: {items: current.map(describe)}}
    }
    revision += 1
    writes.forEach(({Key}, index) => {
      write(asText(Key), values[index] ?? Buffer.alloc(0))
      writtenBy.set(asText(Key), receivedAt)
    })
    for (const key of removed) erase(key)
    return {status: 200, body: {Revision: revision}}
  }

  async function answer({method, path, query, body}: Call): Promise<Reply | "none"> {
    if (outage === "busy") return {status: 503}
    if (outage === "silent") return "none"
    const receivedAt = performance.now()
    await pause(ANSWER_MS)
    if (path === "/api/kv-key") {
      const item = items.get(query.get("Key") ?? "")
      return item ? {status: 200, body: {...describe(item), AsOf: revision}} : {status: 404}
    }
    if (path === "/api/kv-range") return readRange(query)
    if (path === "/api/kv-watch") return watch(query)
    if (method === "POST" && path === "/api/kv-txn") {
      const reply = commit(body, receivedAt)
      transactions[reply.status] = (transactions[reply.status] ?? 0) + 1
      return reply
    }
    return {status: 404}
  }

  const listener: Listener = await serve(host, 0, answer)
  return {
    address: listener.address,
    put(key, value) {
      revision += 1
      write(key, Buffer.from(value))
    },
    remove(key) {
      revision += 1
      erase(key)
    },
    read: key => items.get(key)?.value.toString("utf8"),
    setOutage(next) {
      outage = next
    },
    writtenBy: key => writtenBy.get(key),
    transactions: () => transactions,
    close: listener.close,
  }
}
