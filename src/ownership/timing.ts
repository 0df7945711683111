/** The time constants of ownership, with the relations between them that safety needs. */
import type {Milliseconds} from "../core/clock.js"

/** Largest relative difference between the rates of any two clocks. */
export const CLOCK_DRIFT = 0.01

/** Span for which a successor promises not to fence a holder. */
export const PROMISE_TERM_MS: Milliseconds = 2000

/** Interval at which a holder asks its successors for new promises. */
export const PROMISE_INTERVAL_MS: Milliseconds = 400

/** Interval at which a holder renews its record in the store. */
export const RENEWAL_INTERVAL_MS: Milliseconds = 5000

/**
 * A holder acts no longer than this after its last renewal in the store, whatever its successors promise, and
 * an instance that is no successor may fence it only after it has watched the record stand still for longer.
 */
export const GRACE_MS: Milliseconds = 15 * 60_000

/** A holder stops acting this long before its right ends. */
export const SAFETY_MARGIN_MS: Milliseconds = 100

/** Span for which a worker keeps a task running after the instant that a renewal is based on. */
export const TASK_LEASE_MS: Milliseconds = 8000

/** The longest that a span measured on one clock can last on another. */
export function stretched(span: Milliseconds): Milliseconds {
  return span * (1 + 2 * CLOCK_DRIFT)
}
