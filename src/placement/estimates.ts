/**
 * Estimates of run time and memory use for each workload, from its ended attempts. Run times serve to find
 * stragglers; memory use serves to raise a demand that was declared too low. A demand is never reduced below the
 * declaration. Estimates are immutable values.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"

export interface WorkloadEstimate {
  /** Number of ended attempts that the estimate is based on. */
  readonly samples: number
  /** Approximate median run time. Each sample moves it by a fixed fraction of itself. */
  readonly medianRunMs: Milliseconds
  /** Peak memory use relative to the declared demand, at least 1. High values decay slowly toward 1. */
  readonly memoryFactor: number
}

export const INITIAL_ESTIMATE: WorkloadEstimate = {samples: 0, medianRunMs: 0, memoryFactor: 1}

/** Fraction of the median by which one sample moves it. */
const MEDIAN_STEP_FRACTION = 0.1
/** Share of the excess over 1 that the memory factor keeps after each sample. */
const MEMORY_FACTOR_DECAY = 0.98
/** Margin over the peak memory use that was measured. */
const MEMORY_MARGIN_FACTOR = 1.1
const MAXIMUM_MEMORY_FACTOR = 4
/** With fewer samples an estimate is not used. */
const MINIMUM_SAMPLES = 5

/** Updates the estimate with one ended attempt. */
export function updateEstimate(
  estimate: WorkloadEstimate,
  ranFor: Milliseconds,
  declared: Resources,
  peakMemoryMebibytes: number,
): WorkloadEstimate {
  const isFirst = estimate.samples === 0
  const step = Math.max(1, estimate.medianRunMs) * MEDIAN_STEP_FRACTION
  const medianRunMs = isFirst
    ? ranFor
    : estimate.medianRunMs + Math.sign(ranFor - estimate.medianRunMs) * step
  const observedFactor = declared.memoryMebibytes > 0 ? peakMemoryMebibytes / declared.memoryMebibytes : 1
  const decayedFactor = 1 + (estimate.memoryFactor - 1) * MEMORY_FACTOR_DECAY
  const memoryFactor = Math.min(MAXIMUM_MEMORY_FACTOR, Math.max(1, decayedFactor, observedFactor))
  return {samples: estimate.samples + 1, medianRunMs, memoryFactor}
}

/**
 * The demand to place a task with: the declared demand, with more memory if earlier tasks of the workload used more
 * than they declared. `largest` limits the raise, so that a worker can still hold the task.
 */
export function estimateDemand(
  declared: Resources,
  estimate: WorkloadEstimate,
  largest: Resources,
): Resources {
  if (estimate.samples < MINIMUM_SAMPLES || estimate.memoryFactor <= 1) return declared
  const wanted = Math.ceil(declared.memoryMebibytes * estimate.memoryFactor * MEMORY_MARGIN_FACTOR)
  const memoryMebibytes = Math.max(declared.memoryMebibytes, Math.min(wanted, largest.memoryMebibytes))
  return {...declared, memoryMebibytes}
}

/** How long a running attempt has run so far. */
export interface AttemptRunTime {
  readonly attempt: string
  readonly ranFor: Milliseconds
}

/** A straggler has run longer than this many medians. */
const STRAGGLER_FACTOR = 3
/** Attempts of short workloads are not stragglers before they have run this long. */
const MINIMUM_STRAGGLER_RUN_MS: Milliseconds = 3000

/**
 * Names of the running attempts that have run much longer than other attempts of the workload took. Moving such an
 * attempt to another worker pays off if the rest of its work, assumed to take one median run there, would take longer
 * at its present speed.
 */
export function findStragglers(
  running: readonly AttemptRunTime[],
  estimate: WorkloadEstimate,
): readonly string[] {
  if (estimate.samples < MINIMUM_SAMPLES) return []
  const limit = Math.max(MINIMUM_STRAGGLER_RUN_MS, estimate.medianRunMs * STRAGGLER_FACTOR)
  return running.filter(entry => entry.ranFor > limit).map(entry => entry.attempt)
}
