/**
 * A job and its tasks as immutable values, changed only by steps that can be written to the journal. What a caller
 * is told of a task follows from this value alone.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import type {WorkloadKind} from "../document/model.js"

/** What is known in the end: `not-run` is said only with proof, `unknown` when nothing proves either. */
export type TaskResult = "ran" | "failed" | "stopped" | "not-run" | "unknown"

export interface Task {
  readonly index: number
  /** Number of attempts that may have started, as far as the journal tells. */
  readonly attempts: number
  /** True while an attempt of at-most-once work was asked for and its fate is not written down. */
  readonly openAttempt: boolean
  readonly checkpoint: string
  readonly failures: number
  /** Workers on which the task failed. */
  readonly failedOn: readonly string[]
  readonly result: TaskResult | undefined
  readonly detail: string
}

/** What a caller asked for, after checks and with defaults filled in. Immutable once accepted. */
export interface JobSpecification {
  readonly job: string
  readonly team: string
  readonly workload: string
  readonly kind: WorkloadKind
  readonly pool: string
  readonly priority: number
  readonly restartable: boolean
  readonly checkpointable: boolean
  readonly demand: Resources
  readonly tasks: number
  readonly declaredRun: Milliseconds
  readonly payload: string
  /** Wall-clock time of acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number
  /** Digest of the request, to tell a repeated key from a different request under the same key. */
  readonly requestDigest: string
}

export interface Job {
  readonly specification: JobSpecification
  readonly tasks: readonly Task[]
  readonly cancelled: boolean
  /** Wall-clock time at which the last task ended; 0 while one is open. */
  readonly endedAt: number
}

export type JobStep =
  | {readonly type: "accepted"; readonly specification: JobSpecification}
  | {readonly type: "may-start"; readonly job: string; readonly tasks: readonly number[]}
  /** The attempt that was marked last has surely not started. */
  | {readonly type: "attempt-void"; readonly job: string; readonly task: number}
  /** Written by a holder that leaves as planned: every task that may have started is marked. */
  | {readonly type: "marks-complete"; readonly job: ""}
  /** A new holder has opened the journal: what was complete before need not be so any more. */
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
  | {readonly type: "forgotten"; readonly job: string}

function newTask(index: number): Task {
  const counts = {attempts: 0, failures: 0, failedOn: []}
  return {index, ...counts, openAttempt: false, checkpoint: "", result: undefined, detail: ""}
}

function withTask(job: Job, index: number, change: (task: Task) => Task): Job {
  const task = job.tasks[index]
  if (!task) throw new RangeError(`The job ${job.specification.job} has no task ${index}.`)
  return {...job, tasks: job.tasks.with(index, change(task))}
}

function end(job: Job, step: Extract<JobStep, {type: "task-ended"}>): Job {
  if (job.tasks[step.task]?.result !== undefined) return job
  const next = withTask(job, step.task, task => ({...task, result: step.result, detail: step.detail}))
  const open = next.tasks.some(task => task.result === undefined)
  return open ? next : {...next, endedAt: step.at}
}

/** The name of the job that a step is about. */
export function jobNameOf(step: JobStep): string {
  return step.type === "accepted" ? step.specification.job : step.job
}

/** Applies one step. Gives undefined for a job that is not known or is forgotten. */
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
          withTask(next, index, task => ({...task, openAttempt: true, attempts: task.attempts + 1})),
        job,
      )
    case "attempt-void":
      return withTask(job, step.task, task => ({
        ...task,
        openAttempt: false,
        attempts: Math.max(0, task.attempts - 1),
      }))
    case "marks-complete":
    case "opened":
      return job
    case "task-ended":
      return end(job, step)
    case "task-checkpointed":
      return withTask(job, step.task, task => ({...task, checkpoint: step.checkpoint, openAttempt: false}))
    case "task-failed":
      return withTask(job, step.task, task => ({
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

/** The answer for the whole job: `not-run` only if no task can have run. */
export function jobResultOf(job: Job): JobResult {
  if (job.endedAt === 0) return "open"
  if (job.tasks.every(task => task.result === "not-run")) return "not-run"
  return job.tasks.some(task => task.result === "unknown") ? "unknown" : "ran"
}
