/**
 * A job and its tasks as immutable values. They change only by steps, which are written to the journal and replayed
 * from it. The result that is reported to the caller follows from these values alone.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import type {WorkloadKind} from "../document/model.js"

/**
 * How a task ended. `not-run` is recorded only if it is proved that the task did not run, `unknown` if neither that
 * nor the opposite is proved.
 */
export type TaskResult = "ran" | "failed" | "stopped" | "not-run" | "unknown"

export interface Task {
  readonly index: number
  /** Number of attempts that may have started according to the journal. */
  readonly attempts: number
  /** True while an attempt is marked in the journal as possibly started and its outcome is not recorded. */
  readonly openAttempt: boolean
  /** Name of the latest checkpoint; empty if there is none. */
  readonly checkpoint: string
  readonly failures: number
  readonly failedOn: readonly string[]
  /** Undefined until the task has ended. */
  readonly result: TaskResult | undefined
  readonly detail: string
}

/** A job as the caller submitted it, validated and with defaults filled in. It does not change after acceptance. */
export interface JobSpecification {
  /** Name of the job. */
  readonly job: string
  readonly team: string
  readonly workload: string
  readonly kind: WorkloadKind
  readonly pool: string
  readonly priority: number
  readonly restartable: boolean
  readonly checkpointable: boolean
  /** Demand of one task. */
  readonly demand: Resources
  /** Number of tasks. */
  readonly tasks: number
  /** Run time that the caller declared; 0 if it declared none. */
  readonly declaredRun: Milliseconds
  readonly payload: string
  /** Wall-clock time of acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number
  /** Digest of the request. It tells a repeated request from a different one under the same idempotency key. */
  readonly requestDigest: string
}

export interface Job {
  readonly specification: JobSpecification
  readonly tasks: readonly Task[]
  readonly cancelled: boolean
  /** Wall-clock time at which the last task ended; 0 while any task is open. */
  readonly endedAt: number
}

/** A change to a job, as it is stored in the journal. */
export type JobStep =
  | {readonly type: "accepted"; readonly specification: JobSpecification}
  /**
   * An attempt of each of these tasks may have started from now on. For work that must run at most once, this is
   * recorded before the attempt is sent; for other work, before a planned hand-over.
   */
  | {readonly type: "may-start"; readonly job: string; readonly tasks: readonly number[]}
  /** It is proved that the attempt of the last `may-start` has not started. */
  | {readonly type: "attempt-void"; readonly job: string; readonly task: number}
  /** Recorded by a holder before a planned hand-over: every task that may have started has its `may-start`. */
  | {readonly type: "marks-complete"; readonly job: ""}
  /** A new holder has opened the journal. An earlier `marks-complete` is no longer valid. */
  | {readonly type: "opened"; readonly job: ""}
  | {
      readonly type: "task-ended"
      readonly job: string
      readonly task: number
      readonly result: TaskResult
      readonly detail: string
      readonly at: number
    }
  | {
      readonly type: "task-checkpointed"
      readonly job: string
      readonly task: number
      readonly checkpoint: string
    }
  | {readonly type: "task-failed"; readonly job: string; readonly task: number; readonly worker: string}
  | {readonly type: "cancelled"; readonly job: string}
  /** The job is dropped from the records. */
  | {readonly type: "forgotten"; readonly job: string}

function newTask(index: number): Task {
  const counts = {attempts: 0, failures: 0, failedOn: []}
  return {index, ...counts, openAttempt: false, checkpoint: "", result: undefined, detail: ""}
}

/** Replaces one task of the job. */
function updateTask(job: Job, index: number, change: (task: Task) => Task): Job {
  const task = job.tasks[index]
  if (!task) throw new RangeError(`The job ${job.specification.job} has no task ${index}.`)
  return {...job, tasks: job.tasks.with(index, change(task))}
}

/** Records the result of a task. Only the first result counts; later ones are ignored. */
function endTask(job: Job, step: Extract<JobStep, {type: "task-ended"}>): Job {
  if (job.tasks[step.task]?.result !== undefined) return job
  const next = updateTask(job, step.task, task => ({...task, result: step.result, detail: step.detail}))
  const hasOpenTask = next.tasks.some(task => task.result === undefined)
  return hasOpenTask ? next : {...next, endedAt: step.at}
}

/** Name of the job that the step changes; empty for a step about the whole journal. */
export function jobNameOf(step: JobStep): string {
  return step.type === "accepted" ? step.specification.job : step.job
}

/** Applies one step. Returns undefined if the job is unknown or the step forgets it. */
export function applyJobStep(job: Job | undefined, step: JobStep): Job | undefined {
  if (step.type === "accepted") {
    if (job) return job
    const {specification} = step
    const tasks = Array.from({length: specification.tasks}, (_, index) => newTask(index))
    return {specification, tasks, cancelled: false, endedAt: 0}
  }
  if (!job) return undefined
  switch (step.type) {
    case "may-start":
      return step.tasks.reduce(
        (next, index) =>
          updateTask(next, index, task => ({...task, openAttempt: true, attempts: task.attempts + 1})),
        job,
      )
    case "attempt-void":
      return updateTask(job, step.task, task => ({
        ...task,
        openAttempt: false,
        attempts: Math.max(0, task.attempts - 1),
      }))
    case "marks-complete":
    case "opened":
      return job
    case "task-ended":
      return endTask(job, step)
    case "task-checkpointed":
      return updateTask(job, step.task, task => ({...task, checkpoint: step.checkpoint, openAttempt: false}))
    case "task-failed":
      return updateTask(job, step.task, task => ({
        ...task,
        failures: task.failures + 1,
        failedOn: [...new Set([...task.failedOn, step.worker])],
      }))
    case "cancelled":
      return {...job, cancelled: true}
    case "forgotten":
      return undefined
  }
}

export type JobResult = "ran" | "not-run" | "unknown" | "open"

/**
 * Result of the whole job: `not-run` only if no task can have run, `unknown` if the result of any task is unknown.
 */
export function jobResultOf(job: Job): JobResult {
  if (job.endedAt === 0) return "open"
  if (job.tasks.every(task => task.result === "not-run")) return "not-run"
  return job.tasks.some(task => task.result === "unknown") ? "unknown" : "ran"
}
