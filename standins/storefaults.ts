/** Faults that can be set on a stand-in of the store, for all callers or for some. */
import type {Clock, Milliseconds} from "../src/core/clock.js"
import {sleep} from "../src/core/clock.js"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {StoreUnavailable, VersionConflict} from "../src/core/errors.js"
import type {Store} from "../src/platform/ports.js"
import type {StoreCore, WriteOutcome} from "./storecore.js"

export interface StoreFaults {
  down: boolean
  /** Added to each call. */
  latency: Milliseconds
  /** Writes that take effect and whose reply is lost, still to come. */
  lostReplies: number
  /** Instances that cannot reach the store. */
  readonly cutOff: Set<string>
}

export function noStoreFaults(): StoreFaults {
  return {down: false, latency: 0, lostReplies: 0, cutOff: new Set()}
}

const NOTICED_AFTER_MS: Milliseconds = 50

/** The store port straight over the stand-in's state, under any clock, as one instance sees it. */
export function directStore(
  core: StoreCore,
  faults: StoreFaults,
  clock: Clock,
  instance: string,
  onCall: () => void,
): Store {
  function unreachable(): boolean {
    return faults.down || faults.cutOff.has(instance)
  }

  async function run<T>(call: () => T): Promise<Result<T, StoreUnavailable>> {
    onCall()
    if (faults.latency > 0) await sleep(clock, faults.latency)
    if (unreachable()) {
      await sleep(clock, NOTICED_AFTER_MS)
      return err(new StoreUnavailable("it does not answer", "unknown"))
    }
    return ok(call())
  }

  async function write(
    key: string,
    call: () => WriteOutcome,
  ): Promise<Result<number, StoreUnavailable | VersionConflict>> {
    const outcome = await run(call)
    if (outcome.isErr()) return err(outcome.error)
    if ("actual" in outcome.value) return err(new VersionConflict(key, outcome.value.actual))
    if (faults.lostReplies > 0) {
      faults.lostReplies -= 1
      return err(new StoreUnavailable("the reply was lost", "unknown"))
    }
    return ok(outcome.value.version)
  }

  return {
    get: key => run(() => core.get(key)),
    list: prefix => run(() => core.list(prefix)),
    compareAndSwap: (key, expectedVersion, value) =>
      write(key, () => core.compareAndSwap(key, expectedVersion, value)),
    async remove(key, expectedVersion) {
      return (await write(key, () => core.remove(key, expectedVersion))).map(() => undefined)
    },
    async watch(prefix, after, wait) {
      const pending = await run(() => core.watch(prefix, after, wait))
      if (pending.isErr()) return err(pending.error)
      const result = await pending.value
      return unreachable() ? err(new StoreUnavailable("it does not answer", "unknown")) : ok(result)
    },
  }
}
