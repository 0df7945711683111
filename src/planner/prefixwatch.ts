/**
 * Watches all keys of the store under a prefix: lists them once and then watches for changes. They are listed again
 * whenever the store no longer has the history that the watch needs.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {KeyChange, KeyValueStore, StoredItem} from "../pipelines/ports.js"

export interface PrefixListener {
  /** `sentAt` is when the call was sent; its answer may be read much later. */
  readonly onList: (items: readonly StoredItem[], sentAt: Milliseconds) => void
  /** Called after each watch call, even if nothing has changed. */
  readonly onChanges: (changes: readonly KeyChange[], sentAt: Milliseconds) => void
}

export interface WatchTiming {
  /** How long the store may hold a watch call open without changes. */
  readonly wait: Milliseconds
  /** Pause between watch calls, so that one call returns several changes; each call has a cost. */
  readonly pause: Milliseconds
}

const RETRY_MS: Milliseconds = 200

/** Watches until `stopped` returns true. With `from`, the keys have been listed already, as of that revision. */
export async function watchPrefix(
  store: KeyValueStore,
  prefix: string,
  timing: WatchTiming,
  clock: Clock,
  listener: PrefixListener,
  stopped: () => boolean,
  from?: number,
): Promise<void> {
  let after = from
  while (!stopped()) {
    const sentAt = clock.now()
    if (after === undefined) {
      const listed = await store.list(prefix)
      if (stopped()) return
      if (listed.isOk()) {
        listener.onList(listed.value.items, sentAt)
        after = listed.value.revision
      }
      await sleep(clock, listed.isOk() ? timing.pause : RETRY_MS)
      continue
    }
    const watched = await store.watch(prefix, after, timing.wait)
    if (stopped()) return
    if (watched.isErr()) {
      await sleep(clock, RETRY_MS)
      continue
    }
    if (watched.value.type === "history-lost") {
      after = undefined
      continue
    }
    after = Math.max(after, watched.value.revision)
    listener.onChanges(watched.value.changes, sentAt)
    await sleep(clock, timing.pause)
  }
}
