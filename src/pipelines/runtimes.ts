/**
 * Learns how long tasks run, from the ends of earlier tasks of the same queue and step. Estimates come from callers and
 * may be off by a factor; a few tasks run many times as long as others. The middle of a distribution on a logarithmic
 * scale is learned, on which neither a single long task nor an estimate without sense weighs much. Two predictions
 * compete: the usual run time, and the estimate corrected by its usual error. The one that was closer lately is used.
 */
import type {Milliseconds} from "../core/clock.js"

/** A task that has ended well, as if it had run near its data on a worker of typical speed. */
export interface EndedRun {
  readonly queue: string
  readonly stepIndex: number
  /** Number of tasks of the step. They are alike, so that a wide step counts as much as a narrow one. */
  readonly tasks: number
  readonly estimate: Milliseconds
  readonly duration: Milliseconds
}

export interface RunTimes {
  readonly record: (ended: EndedRun) => void
  /** The expected run time of one task; undefined while too few were seen. */
  readonly expect: (queue: string, stepIndex: number, estimate: Milliseconds) => Milliseconds | undefined
  /** Number of kinds of step that are known. */
  readonly size: () => number
}

/** A quantity on a logarithmic scale, with the mean distance of new values from what was expected of them. */
interface Average {
  mean: number
  error: number
}

interface Entry {
  /** Steps seen, up to `REMEMBERED_STEPS`. */
  steps: number
  readonly duration: Average
  /** Duration over estimate. */
  readonly ratio: Average
}

/** The number of steps that count; older ones fade. */
const REMEMBERED_STEPS = 24
/** A run time is expected only after as many steps. */
const MINIMUM_STEPS = 2
/** The kinds of step that are kept, those seen last. */
const MAXIMUM_ENTRIES = 512
const SHORTEST_MS: Milliseconds = 1

function update(average: Average, value: number, share: number): void {
  average.error += (Math.abs(value - average.mean) - average.error) * share
  average.mean += (value - average.mean) * share
}

export function createRunTimes(): RunTimes {
  /** The entry that was updated last comes last. */
  const entries = new Map<string, Entry>()

  function keyOf(queue: string, stepIndex: number): string {
    return `${queue}/${stepIndex}`
  }

  return {
    record({queue, stepIndex, tasks, estimate, duration}) {
      const key = keyOf(queue, stepIndex)
      const logDuration = Math.log(Math.max(SHORTEST_MS, duration))
      const logRatio = logDuration - Math.log(Math.max(SHORTEST_MS, estimate))
      const entry = entries.get(key) ?? {
        steps: 0,
        duration: {mean: logDuration, error: 0},
        ratio: {mean: logRatio, error: 0},
      }
      const weight = 1 / Math.max(1, tasks)
      entry.steps = Math.min(REMEMBERED_STEPS, entry.steps + weight)
      update(entry.duration, logDuration, weight / entry.steps)
      update(entry.ratio, logRatio, weight / entry.steps)
      entries.delete(key)
      entries.set(key, entry)
      for (const oldest of entries.keys()) {
        if (entries.size <= MAXIMUM_ENTRIES) break
        entries.delete(oldest)
      }
    },
    expect(queue, stepIndex, estimate) {
      const entry = entries.get(keyOf(queue, stepIndex))
      // Shares of a task may add up to a little less than a whole step.
      if (!entry || entry.steps < MINIMUM_STEPS - 0.01) return undefined
      const isEstimateCloser = estimate > 0 && entry.ratio.error <= entry.duration.error
      return isEstimateCloser ? estimate * Math.exp(entry.ratio.mean) : Math.exp(entry.duration.mean)
    },
    size: () => entries.size,
  }
}
