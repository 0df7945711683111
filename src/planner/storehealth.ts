/**
 * Watches the calls to the store and tells whether it answers this instance. While it does not, nothing new is
 * written: a caller that is refused before any write can be told truthfully that its job never runs.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {KeyValueStore} from "../pipelines/ports.js"
import type {Result} from "neverthrow"

export interface StoreHealth {
  /** The same store, with its calls watched. */
  readonly store: KeyValueStore
  /** For how long the store has not answered as it should; 0 while it does. */
  readonly failingFor: () => Milliseconds
}

/** A slow store answers within 0.35 s; an answer that takes longer than this is in doubt. */
const LATE_MS: Milliseconds = 600

export function watchStoreHealth(inner: KeyValueStore, clock: Clock): StoreHealth {
  let failedSince: Milliseconds | undefined
  /** For each call in hand, the instant from which its answer is late. */
  const lateFrom = new Map<number, Milliseconds>()
  let calls = 0

  async function watched<T, E>(call: Promise<Result<T, E>>, wait: Milliseconds): Promise<Result<T, E>> {
    calls += 1
    const number = calls
    const begun = clock.now()
    lateFrom.set(number, begun + wait + LATE_MS)
    const result = await call
    lateFrom.delete(number)
    if (result.isErr()) failedSince ??= begun
    else if (begun >= (failedSince ?? begun)) failedSince = undefined
    return result
  }

  function failingFor(): Milliseconds {
    const now = clock.now()
    let since = failedSince ?? Infinity
    for (const late of lateFrom.values()) if (late <= now) since = Math.min(since, late - LATE_MS)
    return since === Infinity ? 0 : Math.max(1, now - since)
  }

  return {
    store: {
      read: key => watched(inner.read(key), 0),
      list: prefix => watched(inner.list(prefix), 0),
      watch: (prefix, after, wait) => watched(inner.watch(prefix, after, wait), wait),
      commit: transaction => watched(inner.commit(transaction), 0),
    },
    failingFor,
  }
}
