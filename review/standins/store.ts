/** The platform's key-value store, as PROTOCOL.md describes it, without leases and without limits on the rate of calls. */
import {numberOf, rowsOf, serve, textOf, wait} from "./network.js"
import type {Call, Fields, HttpServer, Reply} from "./network.js"

interface Item {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly created: number
}

interface Change {
  readonly key: string
  readonly revision: number
  /** Undefined for a removal. */
  readonly item: Item | undefined
}

export interface Store {
  readonly address: string
  readonly put: (key: string, value: string) => void
  readonly remove: (key: string) => void
  readonly get: (key: string) => string | undefined
  /** When the key was last created; undefined if it never was. */
  readonly createdAt: (key: string) => number | undefined
  /** While down, calls do nothing, and get no answer or, where it is busy, 503. */
  readonly setDown: (down: boolean, how?: "silent" | "busy") => void
  readonly isDown: () => boolean
  /** This share of the transactions gets no answer, and is carried out 1 to 6 s later if its conditions still hold. */
  readonly setLateShare: (share: number) => void
  readonly close: () => void
}

const ANSWER_MS = 4
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const VALUE_BYTES = 1_048_576
const MOST_ENTRIES = 32
const WATCH_STEP_MS = 10
const LEAST_LATE_MS = 1000
const LATE_RANGE_MS = 5000

function encode(value: string): string {
  return Buffer.from(value, "utf8").toString("base64")
}

function show(item: Item): Fields {
  return {
    Key: item.key,
    Value: encode(item.value),
    Revision: item.revision,
    Created: item.created,
    Lease: 0,
  }
}

export async function createStore(host: string): Promise<Store> {
  const items = new Map<string, Item>()
  const history: Change[] = []
  const createdAt = new Map<string, number>()
  let revision = 10
  let isDown = false
  let downReply: Reply | undefined
  let lateShare = 0

  function write(key: string, value: string | undefined): void {
    const created = items.get(key)?.created ?? revision
    if (!items.has(key)) createdAt.set(key, performance.now())
    const item = value === undefined ? undefined : {key, value, revision, created}
    if (item) items.set(key, item)
    else items.delete(key)
    history.push({key, revision, item})
  }

  function readRange(query: URLSearchParams): Reply {
    const prefix = query.get("Prefix") ?? ""
    const after = query.get("After") ?? ""
    const found = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((one, other) => (one.key < other.key ? -1 : 1))
    const page: Fields[] = []
    let bytes = 0
    for (const item of found) {
      if (page.length >= PAGE_ITEMS || bytes >= PAGE_BYTES) break
      page.push(show(item))
      bytes += item.value.length
    }
    return {status: 200, body: {items: page, HasMore: page.length < found.length, AsOf: revision}}
  }

  async function watch(query: URLSearchParams): Promise<Reply | undefined> {
    const prefix = query.get("Prefix") ?? ""
    const after = Number(query.get("After"))
    const until = performance.now() + Number(query.get("WaitMs"))
    for (;;) {
      if (isDown) return downReply
      const changes = history.filter(change => change.revision > after && change.key.startsWith(prefix))
      if (changes.length > 0 || performance.now() >= until) {
        const events = changes.map(change =>
          change.item ? show(change.item) : {Key: change.key, Revision: change.revision, Tombstone: true},
        )
        return {status: 200, body: {events, AsOf: revision}}
      }
      await wait(WATCH_STEP_MS)
    }
  }

  function commit(body: Fields): Reply {
    const expected = rowsOf(body.Expected)
    const writes = rowsOf(body.Writes)
    const removals = Array.isArray(body.Remove) ? body.Remove.map(textOf) : []
    if (expected.length + writes.length + removals.length > MOST_ENTRIES) return {status: 400}
    const values = writes.map(row => Buffer.from(textOf(row.Value), "base64"))
    if (values.some(value => value.length > VALUE_BYTES)) return {status: 400}
    const holds = expected.every(
      row => (items.get(textOf(row.Key))?.revision ?? 0) === numberOf(row.Revision),
    )
    if (!holds) {
      const current = expected.map(row => {
        const item = items.get(textOf(row.Key))
        return item ? show(item) : {Key: textOf(row.Key), Revision: 0}
      })
      return {status: 412, body: {items: current}}
    }
    revision += 1
    writes.forEach((row, index) => write(textOf(row.Key), values[index]?.toString("utf8") ?? ""))
    for (const key of removals) if (items.has(key)) write(key, undefined)
    return {status: 200, body: {Revision: revision}}
  }

  async function handle(call: Call): Promise<Reply | undefined> {
    await wait(ANSWER_MS / 2)
    if (isDown) return downReply
    if (call.path === "/api/kv-watch") return watch(call.query)
    if (call.path === "/api/kv-range") return readRange(call.query)
    if (call.path === "/api/kv-txn" && Math.random() < lateShare) {
      setTimeout(() => commit(call.body), LEAST_LATE_MS + Math.random() * LATE_RANGE_MS)
      return undefined
    }
    if (call.path === "/api/kv-txn") return commit(call.body)
    if (call.path !== "/api/kv-key") return {status: 404}
    const item = items.get(call.query.get("Key") ?? "")
    return item ? {status: 200, body: {...show(item), AsOf: revision}} : {status: 404}
  }

  const server: HttpServer = await serve(host, handle)
  return {
    address: server.address,
    put(key, value) {
      revision += 1
      write(key, value)
    },
    remove(key) {
      revision += 1
      write(key, undefined)
    },
    get: key => items.get(key)?.value,
    createdAt: key => createdAt.get(key),
    setDown(down, how = "silent") {
      isDown = down
      downReply = how === "busy" ? {status: 503} : undefined
    },
    isDown: () => isDown,
    setLateShare(share) {
      lateShare = share
    },
    close: server.close,
  }
}
