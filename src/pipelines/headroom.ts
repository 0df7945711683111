/**
 * Keeps room of a service free for its most urgent queue. Urgent work is short and comes in waves; work of other
 * queues takes seconds and has time. Answers the load in which a wave found every worker full of patient work.
 */
import type {Milliseconds} from "../core/clock.js"

/** How far back the peak of urgent use is remembered. */
const WINDOW_MS: Milliseconds = 10_000
/** The window is kept as this many slices, of which the oldest is dropped. */
const SLICES = 10
/** Kept free before any use was seen, as a share of the service's processors. */
const FIRST_SHARE = 0.1
/** The most that is kept free, as a share of the service's processors. */
const MOST_SHARE = 0.35

/** The peaks of urgent use, one for each slice of the window. Immutable. */
export interface UseHistory {
  readonly slices: readonly {readonly begun: Milliseconds; readonly peak: number}[]
}

export const NO_HISTORY: UseHistory = {slices: []}

/** Notes the processors that urgent tasks use or wait for at an instant. */
export function noteUse(history: UseHistory, now: Milliseconds, processors: number): UseHistory {
  const last = history.slices.at(-1)
  if (last && now - last.begun < WINDOW_MS / SLICES) {
    if (processors <= last.peak) return history
    return {slices: [...history.slices.slice(0, -1), {...last, peak: processors}]}
  }
  return {slices: [...history.slices, {begun: now, peak: processors}].slice(-SLICES)}
}

/** The processors to keep free: what urgent work used at its recent peak and does not use now. */
export function headroom(history: UseHistory, usedNow: number, total: number): number {
  const peak = history.slices.reduce((most, {peak: one}) => Math.max(most, one), total * FIRST_SHARE)
  return Math.min(total * MOST_SHARE, Math.max(0, peak - usedNow))
}
