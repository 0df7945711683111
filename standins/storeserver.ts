/** The store's stand-in as an HTTP service on loopback. */
import {sleep} from "../src/core/clock.js"
import type {Clock} from "../src/core/clock.js"
import {serveJson} from "./jsonserver.js"
import type {JsonResult, JsonServer} from "./jsonserver.js"
import {storeCore} from "./storecore.js"
import type {StoreCore, WriteOutcome} from "./storecore.js"
import {noStoreFaults} from "./storefaults.js"
import type {StoreFaults} from "./storefaults.js"

export interface StoreServer extends JsonServer {
  readonly core: StoreCore
  readonly faults: StoreFaults
  readonly calls: () => number
}

interface StoreBody {
  readonly key: string
  readonly prefix: string
  readonly value: string
  readonly expectedVersion: number
  readonly after: number
  readonly wait: number
  readonly lease?: number
  readonly term: number
}

const UNAVAILABLE: JsonResult = {status: 503, body: {error: "the store does not answer"}}

/** Starts the service; port 0 takes a free one. */
export async function serveStore(clock: Clock, port = 0): Promise<StoreServer> {
  const core = storeCore(clock)
  const faults = noStoreFaults()
  let calls = 0

  function write(outcome: WriteOutcome): JsonResult | undefined {
    if ("actual" in outcome) return {status: 409, body: outcome}
    if (faults.lostReplies > 0) {
      faults.lostReplies -= 1
      return undefined
    }
    return {status: 200, body: outcome}
  }

  async function handle(path: string, given: unknown): Promise<JsonResult | undefined> {
    const body = given as StoreBody
    calls += 1
    if (faults.latency > 0) await sleep(clock, faults.latency)
    if (faults.down) return UNAVAILABLE
    switch (path) {
      case "/get":
        return {status: 200, body: {item: core.get(body.key)}}
      case "/list":
        return {status: 200, body: {items: core.list(body.prefix)}}
      case "/compare-and-swap":
        return write(core.compareAndSwap(body.key, body.expectedVersion, body.value, body.lease))
      case "/remove":
        return write(core.remove(body.key, body.expectedVersion))
      case "/watch": {
        const result = await core.watch(body.prefix, body.after, body.wait)
        return (faults.down as boolean) ? UNAVAILABLE : {status: 200, body: result}
      }
      case "/lease/grant":
        return {status: 200, body: {lease: core.grantLease(body.term)}}
      case "/lease/keep":
        return {status: 200, body: {kept: core.keepLease(body.lease ?? 0)}}
      default:
        return {status: 404, body: {}}
    }
  }

  const server = await serveJson(handle, port)
  return {...server, core, faults, calls: () => calls}
}
