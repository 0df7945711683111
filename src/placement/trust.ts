/**
 * Which workers fail what they start, compared with their peers. A worker is shut out after several failures in a
 * row, of more than one job, of work that succeeds elsewhere. After a back-off one attempt at a time tests it, and
 * a success restores it. At most a fifth of a group's workers is shut out at once.
 */
import type {Milliseconds} from "../core/clock.js"

export interface WorkerTrust {
  readonly consecutiveFailures: number
  /** Jobs whose tasks failed in a row, to tell a bad worker from a bad job. */
  readonly failedJobs: ReadonlySet<string>
  readonly shutOutUntil: Milliseconds | undefined
  /** Times that the worker was shut out in a row. */
  readonly shutOuts: number
  /** True while a single attempt tests a worker that was shut out. */
  readonly testing: boolean
}

export interface Trust {
  readonly workers: ReadonlyMap<string, WorkerTrust>
  /** Workload name to the share of its recent attempts that failed, over all workers. */
  readonly failureShare: ReadonlyMap<string, number>
}

export interface Outcome {
  readonly worker: string
  readonly job: string
  readonly workload: string
  readonly failed: boolean
  readonly at: Milliseconds
}

export const FAILURES_TO_SHUT_OUT = 3
export const LARGEST_SHARE_SHUT_OUT = 0.2
const FIRST_BACK_OFF_MS: Milliseconds = 5000
const LARGEST_BACK_OFF_MS: Milliseconds = 5 * 60_000
const SMOOTHING = 0.1
/** A workload that fails this often everywhere says nothing about a worker. */
const FAILING_WORKLOAD_SHARE = 0.5

export const NEW_TRUST: Trust = {workers: new Map(), failureShare: new Map()}

const NEW_WORKER: WorkerTrust = {
  consecutiveFailures: 0,
  failedJobs: new Set(),
  shutOutUntil: undefined,
  shutOuts: 0,
  testing: false,
}

function backOff(shutOuts: number): Milliseconds {
  return Math.min(LARGEST_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** shutOuts)
}

function shutOut(worker: WorkerTrust, now: Milliseconds): WorkerTrust {
  return {
    ...worker,
    shutOutUntil: now + backOff(worker.shutOuts),
    shutOuts: worker.shutOuts + 1,
    consecutiveFailures: 0,
    failedJobs: new Set(),
    testing: false,
  }
}

function shutOutCount(trust: Trust): number {
  return [...trust.workers.values()].filter(worker => worker.shutOutUntil !== undefined).length
}

function noteFailure(trust: Trust, worker: WorkerTrust, outcome: Outcome, groupSize: number): WorkerTrust {
  const consecutiveFailures = worker.consecutiveFailures + 1
  const failedJobs = new Set(worker.failedJobs).add(outcome.job)
  const next = {...worker, consecutiveFailures, failedJobs}
  if (worker.testing) return shutOut(next, outcome.at)
  const room = shutOutCount(trust) + 1 <= Math.max(1, Math.floor(groupSize * LARGEST_SHARE_SHUT_OUT))
  const suspicious = consecutiveFailures >= FAILURES_TO_SHUT_OUT && failedJobs.size > 1
  return suspicious && room ? shutOut(next, outcome.at) : next
}

/** Takes the outcome of one attempt into account. */
export function noteOutcome(trust: Trust, outcome: Outcome, groupSize: number): Trust {
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
export function admissionOf(trust: Trust, worker: string, now: Milliseconds): Admission {
  const known = trust.workers.get(worker)
  if (known?.shutOutUntil === undefined) return "open"
  if (known.testing || now < known.shutOutUntil) return "shut-out"
  return "test"
}

/** Records that a single attempt was granted to a worker that is being tested. */
export function noteTest(trust: Trust, worker: string): Trust {
  const known = trust.workers.get(worker) ?? NEW_WORKER
  return {...trust, workers: new Map(trust.workers).set(worker, {...known, testing: true})}
}

/** Records that a test ended without an outcome: another may follow. */
export function cancelTest(trust: Trust, worker: string): Trust {
  const known = trust.workers.get(worker)
  if (!known?.testing) return trust
  return {...trust, workers: new Map(trust.workers).set(worker, {...known, testing: false})}
}
