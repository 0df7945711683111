/** The store port over the HTTP interface of the platform's key-value service. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {StoreUnavailable, VersionConflict} from "../core/errors.js"
import type {Milliseconds} from "../core/clock.js"
import type {JsonCaller, JsonReply} from "./http.js"
import type {Store, StoredValue, WatchResult} from "./ports.js"

const CALL_TIMEOUT_MS = 2000
const WATCH_SLACK_MS = 2000

interface WriteReply {
  readonly version?: number
  readonly actual?: number
}

/** Creates the port. Addresses are tried in turn: after a failure the next call goes to the next one. */
export function httpStore(caller: JsonCaller, addresses: readonly string[]): Store {
  let index = 0

  async function call(
    path: string,
    body: unknown,
    timeout: Milliseconds = CALL_TIMEOUT_MS,
  ): Promise<Result<JsonReply, StoreUnavailable>> {
    const address = addresses[index % addresses.length] ?? ""
    const reply = await caller.call("POST", address, path, body, timeout)
    if (reply.isOk() && reply.value.status < 500) return ok(reply.value)
    index += 1
    if (reply.isErr()) return err(new StoreUnavailable(reply.error.message, reply.error.certainty))
    return err(new StoreUnavailable(`status ${reply.value.status}`, "unknown"))
  }

  function readWrite(key: string, reply: JsonReply): Result<number, VersionConflict> {
    const body = reply.body as WriteReply
    if (reply.status === 409) return err(new VersionConflict(key, body.actual ?? 0))
    return ok(body.version ?? 0)
  }

  return {
    async get(key) {
      const reply = await call("/get", {key})
      return reply.map(({body}) => (body as {readonly item?: StoredValue}).item)
    },
    async list(prefix) {
      const reply = await call("/list", {prefix})
      return reply.map(({body}) => (body as {readonly items: readonly StoredValue[]}).items)
    },
    async compareAndSwap(key, expectedVersion, value) {
      const reply = await call("/compare-and-swap", {key, expectedVersion, value})
      return reply.andThen(answer => readWrite(key, answer))
    },
    async remove(key, expectedVersion) {
      const reply = await call("/remove", {key, expectedVersion})
      return reply.andThen(answer => readWrite(key, answer)).map(() => undefined)
    },
    async watch(prefix, after, wait) {
      const reply = await call("/watch", {prefix, after, wait}, wait + WATCH_SLACK_MS)
      return reply.map(({body}) => body as WatchResult)
    },
  }
}
