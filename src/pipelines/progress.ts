/**
 * The progress of a job as an immutable value, with the function that applies changes to it. The value is written to
 * the store as JSON; a task that is recorded as done is never started again.
 */
import type {PipelineJob, Step, TaskName} from "./model.js"

export type Outcome = "completed" | "failed" | "cancelled"

export interface Progress {
  readonly outcome: Outcome | undefined
  /**
   * Every occurrence of a job with several before this one is done, and `done` and `failures` do not list it. Absent while
   * the first occurrence is not done.
   */
  readonly completedOccurrences?: number
  /**
   * By `occurrence.step`: a string with one character for each task, `1` for done and `0` for not done. Absent while no
   * task of the step is done.
   */
  readonly done: Readonly<Record<string, string>>
  /**
   * By `occurrence.step.index`: the failed runs, each as `attempt@worker`. A gang has one list, under index 0, with the
   * attempt only. Runs are listed rather than counted, since a worker reports an end again to each new leader until
   * the end is acknowledged.
   */
  readonly failures: Readonly<Record<string, readonly string[]>>
}

export type ProgressChange =
  | {readonly type: "task-done"; readonly task: TaskName}
  | {
      readonly type: "task-failed"
      readonly task: TaskName
      readonly attempt: number
      readonly worker: string
      /** Number of failed runs of one task, or one gang, at which the job fails. */
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

/** True if all occurrences up to this one are done. */
function isCompleted(progress: Progress, occurrence: number): boolean {
  return occurrence < (progress.completedOccurrences ?? 0)
}

export function isDone(progress: Progress, task: TaskName): boolean {
  if (isCompleted(progress, task.occurrence)) return true
  return progress.done[stepKey(task.occurrence, task.step)]?.[task.index] === "1"
}

export function isStepDone(job: PipelineJob, progress: Progress, occurrence: number, step: number): boolean {
  if (isCompleted(progress, occurrence)) return true
  const doneFlags = progress.done[stepKey(occurrence, step)]
  return doneFlags?.length === stepAt(job, step).count && !doneFlags.includes("0")
}

/** Returns whether every step on which the given step depends is done. */
export function mayBegin(job: PipelineJob, progress: Progress, occurrence: number, step: number): boolean {
  return stepAt(job, step).after.every(earlier => isStepDone(job, progress, occurrence, earlier))
}

export function isOccurrenceDone(job: PipelineJob, progress: Progress, occurrence: number): boolean {
  return job.steps.every((_, step) => isStepDone(job, progress, occurrence, step))
}

/** Counts the occurrences that are done, in place of listing their tasks, and completes the job after the last one. */
function completeOccurrences(job: PipelineJob, progress: Progress): Progress {
  const before = progress.completedOccurrences ?? 0
  let completed = before
  while (completed < job.occurrences && isOccurrenceDone(job, progress, completed)) completed += 1
  if (completed === job.occurrences) return {...progress, outcome: "completed"}
  if (completed === before) return progress
  const withoutCompleted = <T>(record: Readonly<Record<string, T>>): Readonly<Record<string, T>> =>
    Object.fromEntries(Object.entries(record).filter(([key]) => Number.parseInt(key, 10) >= completed))
  return {
    ...progress,
    completedOccurrences: completed,
    done: withoutCompleted(progress.done),
    failures: withoutCompleted(progress.failures),
  }
}

function markDone(job: PipelineJob, progress: Progress, task: TaskName): Progress {
  const step = stepAt(job, task.step)
  const key = stepKey(task.occurrence, task.step)
  const previousFlags = progress.done[key] ?? "0".repeat(step.count)
  const doneFlags = step.gang
    ? "1".repeat(step.count)
    : `${previousFlags.slice(0, task.index)}1${previousFlags.slice(task.index + 1)}`
  const next = {...progress, done: {...progress.done, [key]: doneFlags}}
  return completeOccurrences(job, next)
}

/** The highest attempt number among the recorded failures of a task; 0 for none. */
export function highestFailedAttempt(progress: Progress, task: TaskName): number {
  const runs = progress.failures[`${stepKey(task.occurrence, task.step)}.${task.index}`] ?? []
  return runs.reduce((highest, run) => Math.max(highest, Number.parseInt(run, 10)), 0)
}

/**
 * Applies one change. A job that has an outcome keeps it, and ends of long-running tasks change nothing. Applying the
 * same change again has no effect.
 */
export function applyProgress(job: PipelineJob, progress: Progress, change: ProgressChange): Progress {
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
      // The tasks of a gang fail together under one attempt, so the worker is left out and the failure counts once.
      const run = step.gang ? `${change.attempt}` : `${change.attempt}@${change.worker}`
      const runs = progress.failures[key] ?? []
      if (runs.includes(run)) return progress
      const failures = {...progress.failures, [key]: [...runs, run]}
      return {...progress, failures, outcome: runs.length + 1 >= change.limit ? "failed" : undefined}
    }
  }
}
