/**
 * The heartbeat of the leader in the store. An instance that reaches no other one cannot tell whether all others are lost,
 * with the leader among them, or whether it is cut off itself from a fleet that goes on without it. The heartbeat tells: in
 * the first case it has ended, and the instance claims the lead without waiting any longer.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {KeyValueStore} from "../pipelines/ports.js"
import type {Ledger} from "./ledger.js"
import {HEARTBEAT_KEY} from "./records.js"

/** How often the leader writes. */
const INTERVAL_MS: Milliseconds = 1000
/** A heartbeat that is missing for this long has ended. A slow but working store answers a write within 0.35 s. */
const ENDED_AFTER_MS: Milliseconds = 2000

export interface Heartbeat {
  /** Writes to the store when it is time. Called at short intervals. */
  readonly beat: () => void
}

/** Creates the heartbeat of the leader of the given term. */
export function createHeartbeat(clock: Clock, ledger: Ledger, term: number): Heartbeat {
  let writtenAt = -Infinity
  return {
    beat() {
      if (clock.now() - writtenAt < INTERVAL_MS) return
      writtenAt = clock.now()
      ledger.writeRecord(HEARTBEAT_KEY, String(term), () => undefined)
    },
  }
}

/**
 * Waits for a heartbeat of the leader of the given term. False if it has ended; true as well if the store does not tell, or
 * the leader is one of an earlier version and writes none.
 */
export async function mayBeAlive(clock: Clock, store: KeyValueStore, term: number): Promise<boolean> {
  const first = await store.read(HEARTBEAT_KEY)
  if (first.isErr() || first.value?.value !== String(term)) return true
  await sleep(clock, ENDED_AFTER_MS)
  const second = await store.read(HEARTBEAT_KEY)
  return second.isErr() || second.value?.revision !== first.value.revision
}
