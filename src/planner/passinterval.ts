/**
 * The pause between scheduling passes. Passes without a pause would keep the leader from reading reports and answering
 * pings while the queue is long.
 */
import type {Milliseconds} from "../core/clock.js"

/** Changes are collected for at least this long, so that a burst of events costs one pass. */
const MINIMUM_PAUSE_MS: Milliseconds = 3
/** Limits passes to a third of the leader's time. */
const PAUSE_FACTOR = 2
/** Applies after a pass during which the process was suspended. */
const MAXIMUM_PAUSE_MS: Milliseconds = 1000

/** The pause before the next pass, given the duration of the last one. */
export function pauseBeforePass(lastDuration: Milliseconds): Milliseconds {
  return Math.min(MAXIMUM_PAUSE_MS, Math.max(MINIMUM_PAUSE_MS, PAUSE_FACTOR * lastDuration))
}
