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
  readonly get: (key: string) => string | undefined
  /** While down, the store is busy: calls get 503 and do nothing. */
  readonly setDown: (down: boolean) => void
  readonly isDown: () => boolean
  readonly close: () => void
}

const BUSY: Reply = {status: 503}
const ANSWER_MS = 4
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const VALUE_BYTES = 1_048_576
const MOST_ENTRIES = 32
const WATCH_STEP_MS = 10

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
  let revision = 10
  let isDown = false

  function write(key: string, value: string | undefined): void {
    const created = items.get(key)?.created ?? revision
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

  async function watch(query: URLSearchParams): Promise<Reply> {
    const prefix = query.get("Prefix") ?? ""
    const after = Number(query.get("After"))
    const until = performance.now() + Number(query.get("WaitMs"))
    for (;;) {
      if (isDown) return BUSY
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

  async function handle(call: Call): Promise<Reply> {
    await wait(ANSWER_MS / 2)
    if (isDown) return BUSY
    if (call.path === "/api/kv-watch") return watch(call.query)
    if (call.path === "/api/kv-range") return readRange(call.query)
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
    get: key => items.get(key)?.value,
    setDown(down) {
      isDown = down
    },
    isDown: () => isDown,
    close: server.close,
  }
}
