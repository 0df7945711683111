/**
 * Learns how fast workers are from tasks of one step, which do about the same work, on different workers. The load that
 * this answers: workers differ by a factor of two in speed, nobody tells which are slow, and a step ends with its slowest
 * task. Run times of different steps differ by more than workers do, so that only tasks of the same step are compared.
 */
import type {Milliseconds} from "../core/clock.js"

/** What is known of a worker's speed, on a logarithmic scale on which 0 is typical. */
export interface LearnedSpeed {
  readonly log: number
  /** The number of ends that it comes from, up to `REMEMBERED_ENDS`. */
  readonly ends: number
}

export const TYPICAL_SPEED: LearnedSpeed = {log: 0, ends: 0}

/** The end of a task, as if it had run near its data, and the speed known so far of the worker that ran it. */
export interface TimedEnd {
  readonly duration: Milliseconds
  readonly speed: LearnedSpeed
}

/** Fewer tasks tell more of their own differences than of their workers'. */
const MINIMUM_ENDS = 3
/** The ends that count; older ones fade. */
const REMEMBERED_ENDS = 16
/** The first ends of a worker count for less, by as many ends of typical speed. */
const PRIOR_ENDS = 1
/** A task far longer than its siblings tells of the task and not of its worker. */
const MAXIMUM_DEVIATION = Math.log(3)

function median(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other)
  const middle = Math.floor(sorted.length / 2)
  const upper = sorted[middle] ?? 0
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? upper)) / 2
}

/** The speeds of the workers after all tasks of a step have ended, in the order of the ends. */
export function learnSpeeds(ends: readonly TimedEnd[]): readonly LearnedSpeed[] {
  const logs = ends.map(({duration}) => Math.log(Math.max(1, duration)))
  if (ends.length < MINIMUM_ENDS) return ends.map(({speed}) => speed)
  const work = median(ends.map(({speed}, index) => (logs[index] ?? 0) + speed.log))
  return ends.map(({speed}, index) => {
    const shown = work - (logs[index] ?? 0)
    if (Math.abs(shown) > MAXIMUM_DEVIATION) return speed
    const count = Math.min(REMEMBERED_ENDS, speed.ends + 1)
    return {log: speed.log + (shown - speed.log) / (count + PRIOR_ENDS), ends: count}
  })
}

/** Below this share of the typical speed a worker counts as slow for those who watch the fleet; placement has no such step. */
const SLOW_SPEED = 0.75
const KNOWN_ENDS = 4

/** True for a worker that is known to be slow. */
export function isSlow(speed: LearnedSpeed): boolean {
  return speed.ends >= KNOWN_ENDS && relativeSpeed(speed) < SLOW_SPEED
}

/** Speed relative to a typical worker, which has 1. */
export function relativeSpeed({log}: LearnedSpeed): number {
  return Math.exp(log)
}
