/** Implements `Store` over the HTTP interface of the platform's key-value service. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {StoreUnavailable, VersionConflict} from "../core/errors.js"
import type {Milliseconds} from "../core/clock.js"
import type {JsonClient, JsonReply} from "./http.js"
import type {Store, StoredValue, WatchResult} from "./ports.js"

const CALL_TIMEOUT_MS = 2000
const WATCH_SLACK_MS = 2000

interface WriteReply {
  readonly version?: number
  readonly actual?: number
}

/** Creates a store client. After a failed call, the next call goes to the next address. */
export function httpStore(client: JsonClient, addresses: readonly string[]): Store {
  let addressIndex = 0

  async function call(
    path: string,
    body: unknown,
    timeout: Milliseconds = CALL_TIMEOUT_MS,
  ): Promise<Result<JsonReply, StoreUnavailable>> {
    const address = addresses[addressIndex % addresses.length] ?? ""
    const reply = await client.call("POST", address, path, body, timeout)
    if (reply.isOk() && reply.value.status < 500) return ok(reply.value)
    addressIndex += 1
    if (reply.isErr()) return err(new StoreUnavailable(reply.error.message, reply.error.certainty))
    return err(new StoreUnavailable(`status ${reply.value.status}`, "unknown"))
  }

  function readWriteReply(key: string, reply: JsonReply): Result<number, VersionConflict> {
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
      return reply.andThen(answer => readWriteReply(key, answer))
    },
    async remove(key, expectedVersion) {
      const reply = await call("/remove", {key, expectedVersion})
      return reply.andThen(answer => readWriteReply(key, answer)).map(() => undefined)
    },
    async watch(prefix, after, wait) {
      const reply = await call("/watch", {prefix, after, wait}, wait + WATCH_SLACK_MS)
      return reply.map(({body}) => body as WatchResult)
    },
  }
}
