/**
 * Computes how many processors of a service to keep free for its most urgent queue. Urgent tasks are short and arrive
 * in bursts, while tasks of other queues run for seconds and can wait. Without headroom a burst would find every worker
 * occupied by lower-priority work.
 */
import type {Milliseconds} from "../core/clock.js"

/** Span of the sliding window over which the peak of urgent usage is taken. */
const WINDOW_MS: Milliseconds = 10_000
/** Number of slices of the window; the oldest slice is dropped as a new one begins. */
const SLICES = 10
/** Least peak that is assumed, as a share of the service's processors; also covers the time before any usage. */
const MIN_PEAK_SHARE = 0.1
/** Upper limit of the headroom, as a share of the service's processors. */
const MAX_HEADROOM_SHARE = 0.35

/** Peaks of urgent usage, one for each slice of the window, oldest first. Immutable. */
export interface UsageHistory {
  readonly slices: readonly {readonly startedAt: Milliseconds; readonly peak: number}[]
}

export const EMPTY_USAGE_HISTORY: UsageHistory = {slices: []}

/** Returns the history with the number of processors that urgent tasks use or wait for at the instant `now`. */
export function recordUsage(history: UsageHistory, now: Milliseconds, processors: number): UsageHistory {
  const last = history.slices.at(-1)
  if (last && now - last.startedAt < WINDOW_MS / SLICES) {
    if (processors <= last.peak) return history
    return {slices: [...history.slices.slice(0, -1), {...last, peak: processors}]}
  }
  return {slices: [...history.slices, {startedAt: now, peak: processors}].slice(-SLICES)}
}

/**
 * Returns the number of processors to keep free: the recent peak of urgent usage less what urgent tasks use now.
 * `total` is the number of processors of the service.
 */
export function computeHeadroom(history: UsageHistory, usedNow: number, total: number): number {
  const peak = history.slices.reduce(
    (highest, {peak: slicePeak}) => Math.max(highest, slicePeak),
    total * MIN_PEAK_SHARE,
  )
  return Math.min(total * MAX_HEADROOM_SHARE, Math.max(0, peak - usedNow))
}
