/**
 * Detects faulty workers of a group from the outcomes of their attempts. A worker is excluded from new work after
 * several failures in a row that belong to more than one job and to workloads that succeed on other workers. After a
 * back-off it is tested with one attempt at a time; a success readmits it. At most a fifth of a group's workers are
 * excluded at once, or one worker of a small group. All values are immutable.
 */
import type {Milliseconds} from "../core/clock.js"

export interface WorkerHealth {
  readonly consecutiveFailures: number
  /** Jobs of the consecutive failures. Failures of a single job point to the job, not to the worker. */
  readonly failedJobs: ReadonlySet<string>
  /** End of the back-off, after which the worker may be tested; undefined if it is not excluded. */
  readonly excludedUntil: Milliseconds | undefined
  /** Number of exclusions since the last success. */
  readonly exclusionCount: number
  /** True while an attempt tests the excluded worker. */
  readonly isTesting: boolean
}

/** What is known of the workers of one group. */
export interface GroupHealth {
  readonly workers: ReadonlyMap<string, WorkerHealth>
  /** Smoothed share of failed attempts by workload, over all workers of the group. */
  readonly failureShare: ReadonlyMap<string, number>
}

/** How one attempt on a worker ended. */
export interface ObservedOutcome {
  readonly worker: string
  readonly job: string
  readonly workload: string
  readonly failed: boolean
  readonly at: Milliseconds
}

export const FAILURES_BEFORE_EXCLUSION = 3
export const MAXIMUM_EXCLUDED_SHARE = 0.2
const FIRST_BACK_OFF_MS: Milliseconds = 5000
const LARGEST_BACK_OFF_MS: Milliseconds = 5 * 60_000
/** Weight of the latest outcome in the failure share of a workload. */
const FAILURE_SHARE_SMOOTHING = 0.1
/** Failures of a workload with a larger failure share are not held against the worker. */
const FAILING_WORKLOAD_SHARE = 0.5

export const INITIAL_HEALTH: GroupHealth = {workers: new Map(), failureShare: new Map()}

const HEALTHY_WORKER: WorkerHealth = {
  consecutiveFailures: 0,
  failedJobs: new Set(),
  excludedUntil: undefined,
  exclusionCount: 0,
  isTesting: false,
}

function backOffMs(exclusionCount: number): Milliseconds {
  return Math.min(LARGEST_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** exclusionCount)
}

function exclude(worker: WorkerHealth, now: Milliseconds): WorkerHealth {
  return {
    ...worker,
    excludedUntil: now + backOffMs(worker.exclusionCount),
    exclusionCount: worker.exclusionCount + 1,
    consecutiveFailures: 0,
    failedJobs: new Set(),
    isTesting: false,
  }
}

function countExcluded(health: GroupHealth): number {
  return [...health.workers.values()].filter(worker => worker.excludedUntil !== undefined).length
}

function recordFailure(
  health: GroupHealth,
  worker: WorkerHealth,
  outcome: ObservedOutcome,
  groupSize: number,
): WorkerHealth {
  const consecutiveFailures = worker.consecutiveFailures + 1
  const failedJobs = new Set(worker.failedJobs).add(outcome.job)
  const next = {...worker, consecutiveFailures, failedJobs}
  if (worker.isTesting) return exclude(next, outcome.at)
  const mayExclude = countExcluded(health) + 1 <= Math.max(1, Math.floor(groupSize * MAXIMUM_EXCLUDED_SHARE))
  const isSuspect = consecutiveFailures >= FAILURES_BEFORE_EXCLUSION && failedJobs.size > 1
  return isSuspect && mayExclude ? exclude(next, outcome.at) : next
}

/** Records the outcome of one attempt. `groupSize` is the number of workers in the group. */
export function recordOutcome(health: GroupHealth, outcome: ObservedOutcome, groupSize: number): GroupHealth {
  const previous = health.failureShare.get(outcome.workload) ?? 0
  const share = previous + FAILURE_SHARE_SMOOTHING * ((outcome.failed ? 1 : 0) - previous)
  const failureShare = new Map(health.failureShare).set(outcome.workload, share)
  const worker = health.workers.get(outcome.worker) ?? HEALTHY_WORKER
  const isWorkloadFault = outcome.failed && previous > FAILING_WORKLOAD_SHARE
  if (isWorkloadFault) return {...health, failureShare}
  const next = outcome.failed ? recordFailure(health, worker, outcome, groupSize) : HEALTHY_WORKER
  return {failureShare, workers: new Map(health.workers).set(outcome.worker, next)}
}

export type Admission = "open" | "test" | "shut-out"

/**
 * Whether the worker may receive new work now: any (`open`), a single attempt that tests it (`test`), or none because
 * it is excluded (`shut-out`).
 */
export function admissionOf(health: GroupHealth, worker: string, now: Milliseconds): Admission {
  const known = health.workers.get(worker)
  if (known?.excludedUntil === undefined) return "open"
  if (known.isTesting || now < known.excludedUntil) return "shut-out"
  return "test"
}

/** Records that the attempt that tests the worker was granted. */
export function recordTest(health: GroupHealth, worker: string): GroupHealth {
  const known = health.workers.get(worker) ?? HEALTHY_WORKER
  return {...health, workers: new Map(health.workers).set(worker, {...known, isTesting: true})}
}

/** Records that the test ended without success or failure, so that another attempt may test the worker. */
export function cancelTest(health: GroupHealth, worker: string): GroupHealth {
  const known = health.workers.get(worker)
  if (!known?.isTesting) return health
  return {...health, workers: new Map(health.workers).set(worker, {...known, isTesting: false})}
}
