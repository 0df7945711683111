/**
 * Implements `KeyValueStore` over the HTTP interface of the platform's key-value service, which encodes values in
 * base64.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep, systemClock} from "../core/clock.js"
import {StoreUnavailable} from "../core/errors.js"
import type {
  KeyChange,
  KeyList,
  KeyValueStore,
  StoredItem,
  Transaction,
  TransactionResult,
  WatchAnswer,
} from "../pipelines/ports.js"
import type {JsonClient, JsonReply} from "./http.js"
import {asBoolean, asArray, asNumber, asObject, asString} from "./wire.js"

/** Above the slowest answer of a slow store (0.3 s) and below the default client timeout (3 s). */
const CALL_TIMEOUT_MS: Milliseconds = 1200
/** Tries of one page of a list before the list fails. The pages before it are not read again. */
const MAXIMUM_PAGE_TRIES = 3
/** Pause before a page that the store refused is read again. */
const PAGE_RETRY_MS: Milliseconds = 100
/**
 * How much longer than a usual call a page may take that got no answer at first: 1 MB takes 1.2 s on a link of 7 Mbit/s
 * that nothing else uses.
 */
const PAGE_TIMEOUT_FACTOR = 2.5
/** How much longer than its wait a watch may take before its connection is considered dead. */
const WATCH_SLACK_MS: Milliseconds = 800

const STATUS_OK = 200
const STATUS_BAD_REQUEST = 400
const STATUS_NOT_FOUND = 404
const STATUS_REQUEST_TIMEOUT = 408
const STATUS_GONE = 410
const STATUS_PRECONDITION_FAILED = 412
const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_INTERNAL_ERROR = 500
const STATUS_UNAVAILABLE = 503

function encodeBase64(value: string): string {
  return Buffer.from(value, "utf8").toString("base64")
}

function decodeBase64(value: unknown): string {
  return Buffer.from(asString(value), "base64").toString("utf8")
}

function readItem(value: unknown): StoredItem {
  const fields = asObject(value)
  return {key: asString(fields.Key), value: decodeBase64(fields.Value), revision: asNumber(fields.Revision)}
}

function readChange(value: unknown): KeyChange {
  const fields = asObject(value)
  const removed = asBoolean(fields.Tombstone)
  return {
    key: asString(fields.Key),
    revision: asNumber(fields.Revision),
    value: removed ? undefined : decodeBase64(fields.Value),
  }
}

function readConflict(body: unknown): TransactionResult {
  const items = asArray(asObject(body).items)
    .map(readItem)
    .filter(item => item.revision > 0)
  return {type: "conflict", items}
}

/** The error for an unexpected status. Only a refusal (429 or 503) proves that the store did nothing. */
function unexpectedStatus(reply: JsonReply): StoreUnavailable {
  const refused = reply.status === STATUS_TOO_MANY_REQUESTS || reply.status === STATUS_UNAVAILABLE
  return new StoreUnavailable(`status ${reply.status}`, refused ? "not-run" : "unknown")
}

/** True for a status that blames the request itself, so that sending it again would be answered in the same way. */
function isRejection(status: number): boolean {
  if (status === STATUS_REQUEST_TIMEOUT || status === STATUS_TOO_MANY_REQUESTS) return false
  return status >= STATUS_BAD_REQUEST && status < STATUS_INTERNAL_ERROR
}

/** Creates a store client for the given address. */
export function keyValueStore(
  client: Pick<JsonClient, "call">,
  address: string,
  callTimeout = CALL_TIMEOUT_MS,
  clock: Clock = systemClock(),
): KeyValueStore {
  async function call(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    timeout: Milliseconds,
  ): Promise<Result<JsonReply, StoreUnavailable>> {
    const reply = await client.call(method, address, path, body, timeout)
    return reply.mapErr(failure => new StoreUnavailable(failure.message, failure.certainty))
  }

  async function readPage(
    prefix: string,
    after: string,
    timeout: Milliseconds,
  ): Promise<Result<JsonReply, StoreUnavailable>> {
    const query = new URLSearchParams({Prefix: prefix})
    if (after !== "") query.set("After", after)
    const reply = await call("GET", `/api/kv-range?${query.toString()}`, undefined, timeout)
    return reply.andThen(answer => (answer.status === STATUS_OK ? ok(answer) : err(unexpectedStatus(answer))))
  }

  async function list(
    prefix: string,
    onPage?: (items: number) => void,
  ): Promise<Result<KeyList, StoreUnavailable>> {
    const items: StoredItem[] = []
    let revision = 0
    let tries = 0
    let timeout = callTimeout
    for (let after = "", hasMore = true; hasMore;) {
      const reply = await readPage(prefix, after, timeout)
      if (reply.isErr()) {
        tries += 1
        if (tries >= MAXIMUM_PAGE_TRIES) return err(reply.error)
        if (reply.error.certainty === "unknown") timeout = callTimeout * PAGE_TIMEOUT_FACTOR
        else await sleep(clock, PAGE_RETRY_MS)
        continue
      }
      tries = 0
      const fields = asObject(reply.value.body)
      for (const item of asArray(fields.items)) items.push(readItem(item))
      if (revision === 0) revision = asNumber(fields.AsOf)
      const last = items.at(-1)?.key ?? ""
      hasMore = asBoolean(fields.HasMore) && last !== after
      after = last
      if (hasMore) onPage?.(items.length)
    }
    return ok({items, revision})
  }

  async function watch(
    prefix: string,
    after: number,
    wait: Milliseconds,
  ): Promise<Result<WatchAnswer, StoreUnavailable>> {
    const query = new URLSearchParams({Prefix: prefix, After: String(after), WaitMs: String(wait)})
    const timeout = wait + WATCH_SLACK_MS
    const reply = await call("GET", `/api/kv-watch?${query.toString()}`, undefined, timeout)
    if (reply.isErr()) return err(reply.error)
    if (reply.value.status === STATUS_GONE) return ok({type: "history-lost"})
    if (reply.value.status !== STATUS_OK) return err(unexpectedStatus(reply.value))
    const fields = asObject(reply.value.body)
    const changes = asArray(fields.events).map(readChange)
    return ok({type: "changes", changes, revision: asNumber(fields.AsOf, after)})
  }

  async function commit(transaction: Transaction): Promise<Result<TransactionResult, StoreUnavailable>> {
    const body = {
      Expected: transaction.conditions.map(({key, revision}) => ({Key: key, Revision: revision})),
      Writes: transaction.writes.map(({key, value}) => ({Key: key, Value: encodeBase64(value)})),
      Remove: transaction.removals,
    }
    const reply = await call("POST", "/api/kv-txn", body, callTimeout)
    if (reply.isErr()) return err(reply.error)
    if (reply.value.status === STATUS_PRECONDITION_FAILED) return ok(readConflict(reply.value.body))
    if (isRejection(reply.value.status)) return ok({type: "rejected", reason: `status ${reply.value.status}`})
    if (reply.value.status !== STATUS_OK) return err(unexpectedStatus(reply.value))
    return ok({type: "committed", revision: asNumber(asObject(reply.value.body).Revision)})
  }

  return {
    async read(key) {
      const query = new URLSearchParams({Key: key})
      const reply = await call("GET", `/api/kv-key?${query.toString()}`, undefined, callTimeout)
      if (reply.isErr()) return err(reply.error)
      if (reply.value.status === STATUS_NOT_FOUND) return ok(undefined)
      return reply.value.status === STATUS_OK
        ? ok(readItem(reply.value.body))
        : err(unexpectedStatus(reply.value))
    },
    list,
    watch,
    commit,
  }
}
