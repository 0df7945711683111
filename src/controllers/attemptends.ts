/**
 * Decides what the end of an attempt means for its task: which steps to record, and whether the task gets another
 * attempt. Pure functions without side effects.
 */
import type {AttemptEnd} from "../jobs/attempt.js"
import type {Job, JobStep, TaskResult} from "../jobs/job.js"

/** `requeue`: another attempt may start now; `done`: none is needed. */
export type NextAction = "done" | "requeue"

/** What is known about earlier attempts of a task: none started, some may have run, or neither is confirmed. */
export type EarlierAttempts = "none" | "ran" | "unproved"

/** The result of a task that is cancelled while no attempt of it runs. */
export function resultOfWaitingTask(earlier: EarlierAttempts): TaskResult {
  switch (earlier) {
    case "none":
      return "not-run"
    case "ran":
      return "stopped"
    case "unproved":
      return "unknown"
  }
}

/** The text that is stored with such a result. */
export function detailOfWaitingTask(result: TaskResult): string {
  return result === "not-run" ? "it was cancelled before it started" : "it was cancelled between two attempts"
}

export interface EndDecision {
  readonly steps: readonly JobStep[]
  readonly next: NextAction
}

/** A batch task fails after this many failed attempts, each on another worker where possible. */
export const MAX_FAILURES = 3

/** The decision to end the task with a result. */
function endTask(end: AttemptEnd, result: TaskResult, detail: string, at: number): EndDecision {
  const {job, task} = end
  return {steps: [{type: "task-ended", job, task, result, detail, at}], next: "done"}
}

/** A service is always restarted; other restartable tasks are restarted up to a limit. */
function decideAfterFailure(job: Job, end: AttemptEnd, at: number): EndDecision {
  const {task, worker} = end
  const taskState = job.tasks[task]
  const {restartable, kind} = job.specification
  const failures = (taskState?.failures ?? 0) + 1
  const failed: JobStep = {type: "task-failed", job: end.job, task, worker}
  const mayRetry = restartable && (kind === "service" || failures < MAX_FAILURES)
  if (mayRetry) return {steps: [failed], next: "requeue"}
  const workers = [...new Set([...(taskState?.failedOn ?? []), worker])].join(", ")
  return endTask(end, "failed", `it failed on ${workers}: ${end.detail}`, at)
}

/** An attempt ended without a result: only a restartable task may start again. */
function decideAfterInterruption(job: Job, end: AttemptEnd, at: number): EndDecision {
  if (job.specification.restartable) return {steps: [], next: "requeue"}
  return endTask(end, "unknown", `it may have run on ${end.worker}: ${end.detail}`, at)
}

/** Decides what follows from one end of an attempt. `at` is the wall-clock time of the decision. */
export function decideEnd(job: Job, end: AttemptEnd, earlier: EarlierAttempts, at: number): EndDecision {
  const {cancelled, specification} = job
  switch (end.outcome) {
    case "succeeded":
      if (specification.kind === "service" && !cancelled) return {steps: [], next: "requeue"}
      return endTask(end, "ran", "", at)
    case "failed":
      return cancelled ? endTask(end, "failed", end.detail, at) : decideAfterFailure(job, end, at)
    case "checkpointed": {
      if (cancelled) return endTask(end, "stopped", "it was cancelled while it ran", at)
      const {job: name, task, checkpoint} = end
      return {steps: [{type: "task-checkpointed", job: name, task, checkpoint}], next: "requeue"}
    }
    case "stopped":
      if (cancelled) return endTask(end, "stopped", "it was cancelled while it ran", at)
      return decideAfterInterruption(job, end, at)
    case "lost":
      if (cancelled) return endTask(end, "unknown", `it was cancelled and ${end.detail}`, at)
      return decideAfterInterruption(job, end, at)
    case "never-started": {
      const {job: name, task} = end
      const isMarked = job.tasks[task]?.openAttempt === true
      const steps: readonly JobStep[] = isMarked ? [{type: "attempt-void", job: name, task}] : []
      if (!cancelled) return {steps, next: "requeue"}
      const result = resultOfWaitingTask(earlier)
      const decision = endTask(end, result, detailOfWaitingTask(result), at)
      return {steps: [...steps, ...decision.steps], next: "done"}
    }
  }
}
