/** Time constants of ownership. Safety depends on the relations between them that the comments state. */
import type {Milliseconds} from "../core/clock.js"

/** Largest relative difference between the rates of any two clocks. */
export const MAX_CLOCK_DRIFT = 0.01

/** Time for which a successor promises not to fence a holder. */
export const PROMISE_TERM_MS: Milliseconds = 2000

/** Interval at which a holder asks its successors for new promises. */
export const PROMISE_INTERVAL_MS: Milliseconds = 400

/** Interval at which a holder renews its record in the store. */
export const RENEWAL_INTERVAL_MS: Milliseconds = 5000

/**
 * A holder stops acting this long after its last renewal in the store, whatever its successors promise. An instance
 * that is not a successor may fence it only after it has seen no change of the record for longer than this.
 */
export const GRACE_PERIOD_MS: Milliseconds = 15 * 60_000

/** A holder stops acting this long before its lease would end. */
export const SAFETY_MARGIN_MS: Milliseconds = 100

/** Time for which a worker keeps a task running, counted from the instant on which the last lease renewal is based. */
export const TASK_LEASE_MS: Milliseconds = 8000

/** The longest time that can pass on another clock while `span` passes on one. Both clocks may drift. */
export function allowForDrift(span: Milliseconds): Milliseconds {
  return span * (1 + 2 * MAX_CLOCK_DRIFT)
}
