/**
 * How far a job has come, as an immutable value that is changed by explicit steps. This is what is written to the
 * store: a task that is done here is never started again.
 */
import type {PipelineJob, Step, TaskName} from "./model.js"

export type Outcome = "completed" | "failed" | "cancelled"

export interface Progress {
  readonly outcome: Outcome | undefined
  /** For `occurrence.step`, one character a task: `1` for done. Absent while none is done. */
  readonly done: Readonly<Record<string, string>>
  /**
   * For `occurrence.step.index`, the runs that failed, each as `attempt@worker`. A gang counts under index 0. Runs
   * are named and not counted, since a worker lists an end again to each new leader until it is noted.
   */
  readonly failures: Readonly<Record<string, readonly string[]>>
}

export type ProgressStep =
  | {readonly type: "task-done"; readonly task: TaskName}
  | {
      readonly type: "task-failed"
      readonly task: TaskName
      readonly attempt: number
      readonly worker: string
      /** Failed runs after which the job has failed. */
      readonly limit: number
    }
  | {readonly type: "cancelled"}

export const NO_PROGRESS: Progress = {outcome: undefined, done: {}, failures: {}}

function stepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`
}

function stepAt(job: PipelineJob, index: number): Step {
  const step = job.steps[index]
  if (!step) throw new RangeError(`The job ${job.id} has no step ${index}.`)
  return step
}

export function isDone(progress: Progress, task: TaskName): boolean {
  return progress.done[stepKey(task.occurrence, task.step)]?.[task.index] === "1"
}

export function isStepDone(job: PipelineJob, progress: Progress, occurrence: number, step: number): boolean {
  const marks = progress.done[stepKey(occurrence, step)]
  return marks?.length === stepAt(job, step).count && !marks.includes("0")
}

/** True when every step that the given one waits for is done. */
export function mayBegin(job: PipelineJob, progress: Progress, occurrence: number, step: number): boolean {
  return stepAt(job, step).after.every(earlier => isStepDone(job, progress, occurrence, earlier))
}

function allDone(job: PipelineJob, progress: Progress): boolean {
  for (let occurrence = 0; occurrence < job.occurrences; occurrence += 1) {
    for (let step = 0; step < job.steps.length; step += 1) {
      if (!isStepDone(job, progress, occurrence, step)) return false
    }
  }
  return true
}

function markDone(job: PipelineJob, progress: Progress, task: TaskName): Progress {
  const step = stepAt(job, task.step)
  const key = stepKey(task.occurrence, task.step)
  const before = progress.done[key] ?? "0".repeat(step.count)
  const marks = step.gang
    ? "1".repeat(step.count)
    : `${before.slice(0, task.index)}1${before.slice(task.index + 1)}`
  const next = {...progress, done: {...progress.done, [key]: marks}}
  return allDone(job, next) ? {...next, outcome: "completed"} : next
}

/** The highest attempt number of a task that is known to have failed; 0 for none. */
export function highestFailedAttempt(progress: Progress, task: TaskName): number {
  const runs = progress.failures[`${stepKey(task.occurrence, task.step)}.${task.index}`] ?? []
  return runs.reduce((highest, run) => Math.max(highest, Number.parseInt(run, 10)), 0)
}

/** Applies one step. A job that has an outcome keeps it. */
export function applyProgress(job: PipelineJob, progress: Progress, change: ProgressStep): Progress {
  if (progress.outcome) return progress
  switch (change.type) {
    case "cancelled":
      return {...progress, outcome: "cancelled"}
    case "task-done":
      if (stepAt(job, change.task.step).lasting || isDone(progress, change.task)) return progress
      return markDone(job, progress, change.task)
    case "task-failed": {
      const step = stepAt(job, change.task.step)
      if (step.lasting || isDone(progress, change.task)) return progress
      const index = step.gang ? 0 : change.task.index
      const key = `${stepKey(change.task.occurrence, change.task.step)}.${index}`
      // The members of a gang fail together, under one attempt.
      const run = step.gang ? `${change.attempt}` : `${change.attempt}@${change.worker}`
      const runs = progress.failures[key] ?? []
      if (runs.includes(run)) return progress
      const failures = {...progress.failures, [key]: [...runs, run]}
      return {...progress, failures, outcome: runs.length + 1 >= change.limit ? "failed" : undefined}
    }
  }
}
