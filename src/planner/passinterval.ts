/**
 * The pause between scheduling passes. With a long queue a pass takes long, since it looks at every waiting step and
 * every worker; passes without a pause kept the leader from reading reports and answering pings.
 */
import type {Milliseconds} from "../core/clock.js"

/** Changes are collected for at least this long, so that a burst of events costs one pass. */
const MINIMUM_PAUSE_MS: Milliseconds = 3
/** Limits passes to a third of the leader's time, up to the maximum pause. */
const PAUSE_FACTOR = 2
/** The longest that urgent work waits for a pass; little compared with its latency objective of one second. */
const MAXIMUM_PAUSE_MS: Milliseconds = 100

/** The pause before the next pass, given the duration of the last one. */
export function pauseBeforePass(lastDuration: Milliseconds): Milliseconds {
  return Math.min(MAXIMUM_PAUSE_MS, Math.max(MINIMUM_PAUSE_MS, PAUSE_FACTOR * lastDuration))
}
