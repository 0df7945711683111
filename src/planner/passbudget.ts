/**
 * Limits the work of a scheduling pass, so that a pass does not block the event loop for long, whatever the number of
 * waiting steps. Work is counted in visits of a step to a worker; the limit follows the speed at which the last passes
 * worked, which depends on the machine, on its load and on how warm the process is.
 */
import type {Milliseconds} from "../core/clock.js"

/** The work of one start order: the task is logged, encoded and sent. */
export const START_WORK = 400
/** The work of rating one worker for the tasks of a step. */
export const PLACING_WORK = 4

/** Duration for which a pass aims. Pings and reports wait for that long. */
const TARGET_DURATION_MS: Milliseconds = 12
/** A limit at which even a process that has just started is done within a few tens of milliseconds. */
export const INITIAL_WORK_LIMIT = 8000
/** Work that is done however long the last pass took, so that a suspended process makes progress again. */
const MINIMUM_WORK_LIMIT = 2000
const MAXIMUM_WORK_LIMIT = 400_000
/** The limit grows by at most this factor from one pass to the next. */
const GROWTH_FACTOR = 2

/** The limit of the next pass, given the limit, the work and the duration of the last one. */
export function nextWorkLimit(limit: number, work: number, duration: Milliseconds): number {
  const affordable = duration > 0 ? (work * TARGET_DURATION_MS) / duration : Infinity
  if (duration <= TARGET_DURATION_MS && work < limit / GROWTH_FACTOR) return limit
  const wanted = Math.min(affordable, duration > TARGET_DURATION_MS ? limit : limit * GROWTH_FACTOR)
  return Math.floor(Math.min(MAXIMUM_WORK_LIMIT, Math.max(MINIMUM_WORK_LIMIT, wanted)))
}

/** Counts the work of one pass. */
export interface WorkBudget {
  readonly spend: (work: number) => void
  readonly spent: () => number
  /** What is left of the limit; never negative. */
  readonly left: () => number
}

export function createWorkBudget(limit: number): WorkBudget {
  let spent = 0
  return {
    spend(work) {
      spent += work
    },
    spent: () => spent,
    left: () => Math.max(0, limit - spent),
  }
}
