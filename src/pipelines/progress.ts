/**
 * The progress of a job as an immutable value, with the function that applies changes to it. The value is written to
 * the store as JSON; a task that is recorded as done is never started again.
 */
import type {PipelineJob, Step, TaskName} from "./model.js"

export type Outcome = "completed" | "failed" | "cancelled"

/** Occurrences from the first to the last one, inclusive. */
export type OccurrenceRange = readonly [first: number, last: number]

export interface Progress {
  readonly outcome: Outcome | undefined
  /** The workspace whose callers alone may see the job. It outlives the job's record, which is removed at its end. */
  readonly owner?: string
  /**
   * Every occurrence of a job with several before this one is done, and `done` and `failures` do not list it. Absent while
   * the first occurrence is not done.
   */
  readonly completedOccurrences?: number
  /**
   * Later occurrences that are done, in order; `done` and `failures` do not list them either. There are gaps between the
   * ranges, each with an occurrence that is open. Absent if there are none.
   */
  readonly laterCompleted?: readonly OccurrenceRange[]
  /**
   * By `occurrence.step`: a string with one character for each task, `1` for done and `0` for not done. Absent while no
   * task of the step is done.
   */
  readonly done: Readonly<Record<string, string>>
  /**
   * By `occurrence.step.index`: the failed runs of a task that is not done, each as `attempt@worker`. A gang has one
   * list, under index 0, with the attempt only. Runs are listed rather than counted, since a worker reports an end again
   * to each new leader until the end is acknowledged.
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

/** True if the occurrence is done and no longer listed. */
function isCompleted({completedOccurrences = 0, laterCompleted = []}: Progress, occurrence: number): boolean {
  if (occurrence < completedOccurrences) return true
  return laterCompleted.some(([first, last]) => first <= occurrence && occurrence <= last)
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

/** Adds an occurrence to ranges that do not contain it, and joins the ranges that it closes the gap between. */
function addToRanges(ranges: readonly OccurrenceRange[], occurrence: number): readonly OccurrenceRange[] {
  const before = ranges.filter(([, last]) => last < occurrence - 1)
  const after = ranges.filter(([first]) => first > occurrence + 1)
  const adjacent = ranges.slice(before.length, ranges.length - after.length)
  const joined: OccurrenceRange = [
    Math.min(occurrence, ...adjacent.map(([first]) => first)),
    Math.max(occurrence, ...adjacent.map(([, last]) => last)),
  ]
  return [...before, joined, ...after]
}

function omit<T>(
  record: Readonly<Record<string, T>>,
  isOmitted: (key: string) => boolean,
): Readonly<Record<string, T>> {
  return Object.fromEntries(Object.entries(record).filter(([key]) => !isOmitted(key)))
}

/**
 * Counts the occurrence, in place of listing its tasks, once all of them are done. Completes the job after the last one.
 * The length of the progress then depends on the open occurrences only, of which there are few.
 */
function completeOccurrence(job: PipelineJob, progress: Progress, occurrence: number): Progress {
  if (!isOccurrenceDone(job, progress, occurrence)) return progress
  const {completedOccurrences = 0, laterCompleted = [], outcome} = progress
  const ranges = addToRanges(laterCompleted, occurrence)
  const next = ranges.find(([first]) => first === completedOccurrences)
  const completed = next ? next[1] + 1 : completedOccurrences
  if (completed === job.occurrences) return {...progress, outcome: "completed"}
  const later = ranges.filter(range => range !== next)
  const isOfOccurrence = (key: string): boolean => key.startsWith(`${occurrence}.`)
  const counted: Progress = {
    outcome,
    ...(completed > 0 ? {completedOccurrences: completed} : {}),
    ...(later.length > 0 ? {laterCompleted: later} : {}),
    done: omit(progress.done, isOfOccurrence),
    failures: omit(progress.failures, isOfOccurrence),
  }
  // Earlier versions listed later occurrences until all before them were done.
  return next ? completeOccurrence(job, counted, completed) : counted
}

function markDone(job: PipelineJob, progress: Progress, task: TaskName): Progress {
  const step = stepAt(job, task.step)
  const key = stepKey(task.occurrence, task.step)
  const previousFlags = progress.done[key] ?? "0".repeat(step.count)
  const doneFlags = step.gang
    ? "1".repeat(step.count)
    : `${previousFlags.slice(0, task.index)}1${previousFlags.slice(task.index + 1)}`
  const failuresKey = `${key}.${step.gang ? 0 : task.index}`
  const next = {
    ...progress,
    done: {...progress.done, [key]: doneFlags},
    failures: omit(progress.failures, one => one === failuresKey),
  }
  return completeOccurrence(job, next, task.occurrence)
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
