/** The platform's metadata store, as PROTOCOL.md tells it, in memory. */
import type {Json, Listener, Reply} from "./http.js"
import {asJson, asList, asNumber, asText, serveJson} from "./http.js"

interface Item {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly created: number
}

interface Change {
  readonly key: string
  readonly revision: number
  readonly item: Item | undefined
}

/** Limits of the pages: entries of a transaction, bytes of a value, items and bytes of a page of a range. */
const MAX_ENTRIES = 32
const VALUE_BYTES = 1_048_576
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const ANSWER_MS = 4
const RETENTION_MS = 20_000

export interface Store {
  /** The operator's or a worker's write. */
  readonly put: (key: string, value: unknown) => void
  readonly remove: (key: string) => void
  readonly get: (key: string) => string | undefined
  readonly keys: (prefix: string) => readonly string[]
  /** Number of transactions that were refused since a value was too long. */
  readonly tooLong: () => number
  /** Serves the store at an address of its own. While `isUp` is false, its calls get 503. */
  readonly serve: (host: string, isUp?: () => boolean) => Promise<Listener>
}

function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

function toWire({key, value, revision, created}: Item): Json {
  return {
    Key: key,
    Value: Buffer.from(value, "utf8").toString("base64"),
    Revision: revision,
    Created: created,
    Lease: 0,
  }
}

export function createStore(): Store {
  const items = new Map<string, Item>()
  let history: {readonly change: Change; readonly at: number}[] = []
  let revision = 1
  let oldest = 1
  let tooLong = 0
  const waiting = new Set<() => void>()

  function record(key: string, item: Item | undefined): void {
    const now = performance.now()
    history.push({change: {key, revision, item}, at: now})
    if (history.length % 1000 !== 0) return
    const kept = history.filter(({at}) => now - at < RETENTION_MS)
    if (kept.length < history.length) oldest = kept[0]?.change.revision ?? revision
    history = kept
  }

  function write(key: string, value: string): void {
    const item = {key, value, revision, created: items.get(key)?.created ?? revision}
    items.set(key, item)
    record(key, item)
  }

  function erase(key: string): void {
    if (items.delete(key)) record(key, undefined)
  }

  function wake(): void {
    for (const wakeOne of [...waiting]) wakeOne()
  }

  function commit(body: Json): Reply {
    const expected = asList(body.Expected).map(asJson)
    const writes = asList(body.Writes).map(asJson)
    const removals = asList(body.Remove).map(asText)
    if (expected.length + writes.length + removals.length > MAX_ENTRIES) return {status: 400}
    const values = writes.map(one => Buffer.from(asText(one.Value), "base64"))
    if (values.some(value => value.length > VALUE_BYTES)) {
      tooLong += 1
      return {status: 400}
    }
    const holds = expected.every(
      one => (items.get(asText(one.Key))?.revision ?? 0) === asNumber(one.Revision),
    )
    if (!holds) {
      const current = expected.map(one => items.get(asText(one.Key))).filter(item => item !== undefined)
      return {status: 412, body: {items: current.map(toWire)}}
    }
    revision += 1
    writes.forEach((one, index) => write(asText(one.Key), values[index]?.toString("utf8") ?? ""))
    for (const key of removals) erase(key)
    wake()
    return {status: 200, body: {Revision: revision}}
  }

  function range(query: URLSearchParams): Reply {
    const prefix = query.get("Prefix") ?? ""
    const after = query.get("After") ?? ""
    const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const page: Json[] = []
    let bytes = 0
    for (const key of keys) {
      const item = items.get(key)
      if (!item || page.length >= PAGE_ITEMS || (bytes > 0 && bytes + item.value.length > PAGE_BYTES)) break
      page.push(toWire(item))
      bytes += item.value.length
    }
    return {status: 200, body: {items: page, HasMore: page.length < keys.length, AsOf: revision}}
  }

  async function watch(query: URLSearchParams): Promise<Reply> {
    const prefix = query.get("Prefix") ?? ""
    const after = Number(query.get("After"))
    const until = performance.now() + Number(query.get("WaitMs") ?? 0)
    for (;;) {
      if (after < oldest) return {status: 410}
      const events = history
        .filter(({change}) => change.revision > after && change.key.startsWith(prefix))
        .map(({change}) =>
          change.item ? toWire(change.item) : {Key: change.key, Revision: change.revision, Tombstone: true},
        )
      const left = until - performance.now()
      if (events.length > 0 || left <= 0) return {status: 200, body: {events, AsOf: revision}}
      await new Promise<void>(resolve => {
        const finish = (): void => {
          waiting.delete(finish)
          clearTimeout(timer)
          resolve()
        }
        const timer = setTimeout(finish, left)
        waiting.add(finish)
      })
    }
  }

  function read(query: URLSearchParams): Reply {
    const item = items.get(query.get("Key") ?? "")
    return item ? {status: 200, body: toWire(item)} : {status: 404}
  }

  return {
    put(key, value) {
      revision += 1
      write(key, JSON.stringify(value))
      wake()
    },
    remove(key) {
      revision += 1
      erase(key)
      wake()
    },
    get: key => items.get(key)?.value,
    keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
    tooLong: () => tooLong,
    serve: (host, isUp = () => true) =>
      serveJson(host, async ({path, query, body}) => {
        await delay(ANSWER_MS)
        if (!isUp()) return {status: 503}
        if (path === "/api/kv-key") return read(query)
        if (path === "/api/kv-range") return range(query)
        if (path === "/api/kv-watch") return watch(query)
        if (path === "/api/kv-txn") return commit(body)
        return {status: 404}
      }),
  }
}
