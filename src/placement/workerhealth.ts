/**
 * Which workers fail what they start, compared with their peers. A worker is shut out after several failures in a
 * row, of more than one job, of work that succeeds elsewhere. After a back-off one attempt at a time tests it, and
 * a success restores it. At most a fifth of a group's workers is shut out at once.
 */
import type {Milliseconds} from "../core/clock.js"

export interface WorkerHealth {
  readonly consecutiveFailures: number
  /** Jobs whose tasks failed in a row, to tell a bad worker from a bad job. */
  readonly failedJobs: ReadonlySet<string>
  readonly excludedUntil: Milliseconds | undefined
  /** Times that the worker was shut out in a row. */
  readonly exclusionCount: number
  /** True while a single attempt tests a worker that was shut out. */
  readonly isTesting: boolean
}

export interface GroupHealth {
  readonly workers: ReadonlyMap<string, WorkerHealth>
  /** Workload name to the share of its recent attempts that failed, over all workers. */
  readonly failureShare: ReadonlyMap<string, number>
}

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
const SMOOTHING = 0.1
/** A workload that fails this often everywhere says nothing about a worker. */
const FAILING_WORKLOAD_SHARE = 0.5

export const INITIAL_HEALTH: GroupHealth = {workers: new Map(), failureShare: new Map()}

const NEW_WORKER: WorkerHealth = {
  consecutiveFailures: 0,
  failedJobs: new Set(),
  excludedUntil: undefined,
  exclusionCount: 0,
  isTesting: false,
}

function backOff(shutOuts: number): Milliseconds {
  return Math.min(LARGEST_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** shutOuts)
}

function shutOut(worker: WorkerHealth, now: Milliseconds): WorkerHealth {
  return {
    ...worker,
    excludedUntil: now + backOff(worker.exclusionCount),
    exclusionCount: worker.exclusionCount + 1,
    consecutiveFailures: 0,
    failedJobs: new Set(),
    isTesting: false,
  }
}

function shutOutCount(trust: GroupHealth): number {
  return [...trust.workers.values()].filter(worker => worker.excludedUntil !== undefined).length
}

function noteFailure(
  trust: GroupHealth,
  worker: WorkerHealth,
  outcome: ObservedOutcome,
  groupSize: number,
): WorkerHealth {
  const consecutiveFailures = worker.consecutiveFailures + 1
  const failedJobs = new Set(worker.failedJobs).add(outcome.job)
  const next = {...worker, consecutiveFailures, failedJobs}
  if (worker.isTesting) return shutOut(next, outcome.at)
  const room = shutOutCount(trust) + 1 <= Math.max(1, Math.floor(groupSize * MAXIMUM_EXCLUDED_SHARE))
  const suspicious = consecutiveFailures >= FAILURES_BEFORE_EXCLUSION && failedJobs.size > 1
  return suspicious && room ? shutOut(next, outcome.at) : next
}

/** Takes the outcome of one attempt into account. */
export function recordOutcome(trust: GroupHealth, outcome: ObservedOutcome, groupSize: number): GroupHealth {
  const previous = trust.failureShare.get(outcome.workload) ?? 0
  const share = previous + SMOOTHING * ((outcome.failed ? 1 : 0) - previous)
  const failureShare = new Map(trust.failureShare).set(outcome.workload, share)
  const worker = trust.workers.get(outcome.worker) ?? NEW_WORKER
  const uninformative = outcome.failed && previous > FAILING_WORKLOAD_SHARE
  if (uninformative) return {...trust, failureShare}
  const next = outcome.failed ? noteFailure(trust, worker, outcome, groupSize) : NEW_WORKER
  return {failureShare, workers: new Map(trust.workers).set(outcome.worker, next)}
}

export type Admission = "open" | "test" | "shut-out"

/** Whether the worker may be given work now. `test` allows a single attempt. */
export function admissionOf(trust: GroupHealth, worker: string, now: Milliseconds): Admission {
  const known = trust.workers.get(worker)
  if (known?.excludedUntil === undefined) return "open"
  if (known.isTesting || now < known.excludedUntil) return "shut-out"
  return "test"
}

/** Records that a single attempt was granted to a worker that is being tested. */
export function recordTest(trust: GroupHealth, worker: string): GroupHealth {
  const known = trust.workers.get(worker) ?? NEW_WORKER
  return {...trust, workers: new Map(trust.workers).set(worker, {...known, isTesting: true})}
}

/** Records that a test ended without an outcome: another may follow. */
export function cancelTest(trust: GroupHealth, worker: string): GroupHealth {
  const known = trust.workers.get(worker)
  if (!known?.isTesting) return trust
  return {...trust, workers: new Map(trust.workers).set(worker, {...known, isTesting: false})}
}
