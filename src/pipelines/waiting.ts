/**
 * Decides whether tasks wait for a place where they run faster: on the rack of their data, or together on one rack. The
 * load that this answers: many jobs want one rack, which is full, while other racks are free. A start elsewhere costs
 * the caller a slower run, and the fleet the capacity that it takes for longer; a wait costs the caller time and may be
 * for nothing. The step waits while the expected time until its last task has such a place is shorter than what the
 * slower place costs, and only as long as the latency objective allows.
 *
 * A wait also costs those who come later: each that waits makes the queue longer for them. If less work comes for the rack
 * than it can do, the queue soon ends; if more comes, it lasts, and all wait without the rack doing any more. So what a
 * wait costs is that of the step itself times the crowding (Naor, The regulation of queue size by levying tolls, 1969).
 *
 * A wait is decided anew at each scheduling pass and forgets what was waited so far, as that is spent either way. What
 * bounds a series of disappointed waits is the total: no step waits longer than the slower place would have cost, so
 * that the worst case takes twice as long as starting at once.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {add, fits, subtract} from "../core/resources.js"

/** Capacity that is expected to become free. */
export interface ExpectedRelease {
  /** Time from now. */
  readonly after: Milliseconds
  readonly capacity: Resources
}

/** A worker that is a better place for the step. */
export interface BetterPlace {
  /** What the step may use now. Negative where more is promised to others than is free. */
  readonly free: Resources
  /** The number of tasks of the step that the worker may still take; infinite without a limit. */
  readonly limit: number
  /** In the order in which they are expected. */
  readonly releases: readonly ExpectedRelease[]
}

/** The expected times, from now, at which the place has room for one task of the demand and then for each further one. */
function listOpenings(demand: Resources, place: BetterPlace, horizon: Milliseconds): readonly Milliseconds[] {
  const openings: Milliseconds[] = []
  let {free} = place
  function takeAll(after: Milliseconds): void {
    while (openings.length < place.limit && fits(demand, free)) {
      free = subtract(free, demand)
      openings.push(after)
    }
  }
  if (demand.processors + demand.memoryMebibytes + demand.accelerators <= 0) return openings
  takeAll(0)
  for (const {after, capacity} of place.releases) {
    if (after > horizon || openings.length >= place.limit) break
    free = add(free, capacity)
    takeAll(after)
  }
  return openings
}

/**
 * The expected time until as many tasks of the demand have found room on the places, of which none starts anything else.
 * Infinite if that takes longer than the horizon.
 */
export function expectOpenings(
  demand: Resources,
  tasks: number,
  places: readonly BetterPlace[],
  horizon: Milliseconds,
): Milliseconds {
  const openings = places.flatMap(place => listOpenings(demand, place, horizon)).sort((a, b) => a - b)
  return openings[tasks - 1] ?? Infinity
}

/** What a step that could start at once in a slower place has to weigh. */
export interface WaitPrices {
  /** Expected run time in the better place. */
  readonly runTime: Milliseconds
  /** How many times as long the tasks run in the slower place. */
  readonly remoteFactor: number
  /** Expected time from the start of the step, in the better place, to the end of its job. */
  readonly timeToEnd: Milliseconds
  /** Time left until the latency objective of the job ends, and until a late completion no longer counts. */
  readonly untilDue: Milliseconds
  readonly untilTooLate: Milliseconds
  /** How long the step has waited for the better place. */
  readonly waited: Milliseconds
  /** Time since the step's turn came; it may have waited for other things too. */
  readonly sinceTurn: Milliseconds
}

/** No step waits longer than this after its turn came, however much slower other places are. */
export const LONGEST_WAIT_MS: Milliseconds = 1500

/** What the slower place costs. */
export function costOfSlowerPlace({runTime, remoteFactor}: WaitPrices): Milliseconds {
  return runTime * (remoteFactor - 1)
}

/** What is left for the wait of the time to an objective that the slower place would meet too; the rest is for surprises. */
const SPENDABLE_SHARE = 0.5

/**
 * How long the step may still wait for the sake of its latency objective: until the better place would no longer meet it.
 * Where the slower place would meet it at once, only a part of that is risked, or what does no harm. A job that is late
 * has the time until which a completion counts as its objective.
 */
function boundByObjective(prices: WaitPrices): Milliseconds {
  const slowerEnd = prices.timeToEnd + costOfSlowerPlace(prices)
  for (const objective of [prices.untilDue, prices.untilTooLate]) {
    const spare = objective - prices.timeToEnd
    if (objective > slowerEnd) return Math.max(objective - slowerEnd, spare * SPENDABLE_SHARE)
    if (spare > 0) return spare
  }
  return 0
}

/** The longest that the step may still wait, and which of its bounds is the tightest. */
export function boundWait(prices: WaitPrices): {
  readonly bound: Milliseconds
  readonly by: "objective" | "limit"
} {
  const byLimit = Math.min(LONGEST_WAIT_MS - prices.sinceTurn, costOfSlowerPlace(prices) - prices.waited)
  const byObjective = boundByObjective(prices)
  return byObjective < byLimit
    ? {bound: Math.max(0, byObjective), by: "objective"}
    : {bound: Math.max(0, byLimit), by: "limit"}
}

/** The load of the better place. */
export interface Crowd {
  /** The position of the step among those that wait for the place, from 1. */
  readonly position: number
  /** The work that comes for the place, as a share of what it can do. */
  readonly load: number
}

/** While half as much work again comes as the place can do, a queue for it lasts. */
const LASTING_LOAD = 1.5
/** Later positions are no worse, and the powers of the load stay finite. */
const LAST_POSITION = 64

/**
 * How many times its own wait a waiting step costs all together. A queue of some length is worth joining for all while
 * the sum of (1 + load + ... + load^(k-1)) for each position k up to its end is less than what the slower place costs, in
 * units of the time from one opening to the next. A queue that lasts is worth it for nobody: all wait, and the place does
 * no more work than without it.
 */
export function crowdingOf({position, load}: Crowd): number {
  if (load > LASTING_LOAD) return Infinity
  const last = Math.min(LAST_POSITION, Math.max(1, position))
  let term = 0
  let sum = 0
  for (let at = 1; at <= last; at += 1) {
    term = term * load + 1
    sum += term
  }
  return sum / last
}

/** Why a step waits, or why it does not. */
export type WaitVerdict = "pays" | "no-prospect" | "too-long" | "crowded" | "objective" | "limit"

/** Weighs the expected wait for the better place against what the slower one costs. */
export function weighWait(wait: Milliseconds, prices: WaitPrices, crowd: Crowd): WaitVerdict {
  const {bound, by} = boundWait(prices)
  if (bound <= 0) return by
  const crowding = crowdingOf(crowd)
  if (crowding === Infinity) return "crowded"
  if (wait === Infinity) return "no-prospect"
  if (wait >= costOfSlowerPlace(prices)) return "too-long"
  // A place that is free now costs nobody a wait.
  if (wait > 0 && wait * crowding >= costOfSlowerPlace(prices)) return "crowded"
  return wait > bound ? by : "pays"
}

/** The knowledge from which the end of a running task is expected. */
export interface RunningWork {
  /** Time for which the task has been running. */
  readonly elapsed: Milliseconds
  /** Reported progress, and the running time to which it belongs. */
  readonly progressPercent: number
  readonly elapsedAtProgress: Milliseconds
  /** Expected run time on this worker; undefined if it is not known. */
  readonly expected: Milliseconds | undefined
}

/** Below this, the reported progress is too coarse to extrapolate. */
const MINIMUM_PROGRESS_PERCENT = 10
/** A task that outlasts its expected run time is expected to take this share of its running time more. */
const OVERTIME_SHARE = 0.5

/** Expected time until a running task ends; infinite if nothing tells. */
export function expectRemaining(work: RunningWork): Milliseconds {
  const {elapsed, progressPercent, elapsedAtProgress, expected} = work
  if (progressPercent >= MINIMUM_PROGRESS_PERCENT) {
    const total = (elapsedAtProgress * 100) / progressPercent
    return Math.max(0, total - elapsed)
  }
  if (expected === undefined) return Infinity
  return elapsed < expected ? expected - elapsed : elapsed * OVERTIME_SHARE
}
