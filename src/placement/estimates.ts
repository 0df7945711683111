/**
 * What is learned of each workload from ended attempts: typical run times, to find stragglers, and the memory that
 * tasks really use, to ask for enough. Estimates are immutable values; grants never go below what was declared.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"

export interface WorkloadEstimate {
  readonly samples: number
  /** Running estimate of the median run time. */
  readonly medianRunMs: Milliseconds
  /** Largest memory use relative to the declaration, decaying slowly. */
  readonly memoryFactor: number
}

export const INITIAL_ESTIMATE: WorkloadEstimate = {samples: 0, medianRunMs: 0, memoryFactor: 1}

const MEDIAN_STEP = 0.1
const FACTOR_DECAY = 0.98
const MEMORY_MARGIN = 1.1
const LARGEST_MEMORY_FACTOR = 4
const SAMPLES_NEEDED = 5

/** Takes one ended attempt into account. */
export function updateEstimate(
  estimate: WorkloadEstimate,
  ranFor: Milliseconds,
  declared: Resources,
  peakMemoryMebibytes: number,
): WorkloadEstimate {
  const first = estimate.samples === 0
  const step = Math.max(1, estimate.medianRunMs) * MEDIAN_STEP
  const medianRun = first ? ranFor : estimate.medianRunMs + Math.sign(ranFor - estimate.medianRunMs) * step
  const seen = declared.memoryMebibytes > 0 ? peakMemoryMebibytes / declared.memoryMebibytes : 1
  const decayed = 1 + (estimate.memoryFactor - 1) * FACTOR_DECAY
  const memoryFactor = Math.min(LARGEST_MEMORY_FACTOR, Math.max(1, decayed, seen))
  return {samples: estimate.samples + 1, medianRunMs: medianRun, memoryFactor}
}

/** The demand to ask for: the declaration, raised when tasks of the workload were seen to use more memory. */
export function estimateDemand(
  declared: Resources,
  estimate: WorkloadEstimate,
  largest: Resources,
): Resources {
  if (estimate.samples < SAMPLES_NEEDED || estimate.memoryFactor <= 1) return declared
  const wanted = Math.ceil(declared.memoryMebibytes * estimate.memoryFactor * MEMORY_MARGIN)
  const memoryMebibytes = Math.max(declared.memoryMebibytes, Math.min(wanted, largest.memoryMebibytes))
  return {...declared, memoryMebibytes}
}

export interface AttemptRunTime {
  readonly attempt: string
  readonly ranFor: Milliseconds
}

const STRAGGLER_FACTOR = 3
const STRAGGLER_LEAST_MS: Milliseconds = 3000

/**
 * Attempts that have run much longer than their siblings needed. Moving one pays when what it has left to do,
 * taken as one median run, is less than what it would take if it goes on as slowly as so far.
 */
export function findStragglers(
  running: readonly AttemptRunTime[],
  estimate: WorkloadEstimate,
): readonly string[] {
  if (estimate.samples < SAMPLES_NEEDED) return []
  const limit = Math.max(STRAGGLER_LEAST_MS, estimate.medianRunMs * STRAGGLER_FACTOR)
  return running.filter(sibling => sibling.ranFor > limit).map(sibling => sibling.attempt)
}
