/** Follows all keys under a prefix: a list first, then changes; a new list whenever the history is lost. */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {KeyChange, KeyValueStore, StoredItem} from "../pipelines/ports.js"

export interface Follower {
  readonly onList: (items: readonly StoredItem[]) => void
  /** Called after each watch, also when nothing has changed. */
  readonly onChanges: (changes: readonly KeyChange[]) => void
}

export interface FollowTiming {
  /** How long the store may hold a watch without changes. */
  readonly wait: Milliseconds
  /** Pause between watches, in which changes gather, since each call has its price. */
  readonly pause: Milliseconds
}

/** Pause after a call that failed. */
const RETRY_MS: Milliseconds = 200

/** Follows until `stopped` gives true. */
export async function followPrefix(
  store: KeyValueStore,
  prefix: string,
  timing: FollowTiming,
  clock: Clock,
  follower: Follower,
  stopped: () => boolean,
): Promise<void> {
  let after: number | undefined
  while (!stopped()) {
    if (after === undefined) {
      const listed = await store.list(prefix)
      if (stopped()) return
      if (listed.isOk()) {
        follower.onList(listed.value.items)
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
    follower.onChanges(watched.value.changes)
    await sleep(clock, timing.pause)
  }
}
