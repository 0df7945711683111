/**
 * The order in which waiting steps are given workers: by queue priority, then those of workspaces within their fair
 * share, then by lateness against the latency objective of the job, then by due time and arrival.
 */
import type {Milliseconds} from "../core/clock.js"
import {WITHIN_SHARE} from "./fairshare.js"
import type {ShareRank} from "./fairshare.js"
import type {PipelineJob, Queue} from "./model.js"

/**
 * The estimated run time of the longest chain of dependent steps in one occurrence. Steps with an index below
 * `fromStep` count as no work.
 */
export function criticalPathLength(job: PipelineJob, fromStep = 0): Milliseconds {
  const ends: Milliseconds[] = []
  job.steps.forEach((step, index) => {
    const begin = step.after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0)
    ends.push(begin + (index >= fromStep ? step.estimate : 0))
  })
  return Math.max(0, ...ends)
}

/** The span within which an occurrence of the job should complete, from the estimates of its steps. */
export function latencyObjective(job: PipelineJob, queue: Queue): Milliseconds {
  return queue.slackFactor * criticalPathLength(job) + queue.latencyTarget
}

/** The attributes of a waiting step that decide its rank. */
export interface WaitingStep {
  /** Priority of the queue; 0 comes first. */
  readonly priority: number
  /** Instant at which the latency objective of the job ends. */
  readonly due: Milliseconds
  /** Estimated work of the waiting tasks, in core-milliseconds. */
  readonly work: number
  /** Instant at which the job arrived or its occurrence fell due. */
  readonly arrived: Milliseconds
  /** The rank by the fair share of the workspace; see `ShareRank`. Undefined while there is enough for all. */
  readonly shareRank?: ShareRank | undefined
}

/** A completion counts until this multiple of the latency objective has passed since arrival. */
export const LATE_FACTOR = 3

/** Returns whether a completion no longer counts. Such a step still runs, after all others of its priority. */
export function isTooLate(step: WaitingStep, now: Milliseconds): boolean {
  return now > step.arrived + LATE_FACTOR * (step.due - step.arrived)
}

/** 0 before the objective ends, 1 while a late completion still counts, 2 after that. */
function latenessRank(step: WaitingStep, now: Milliseconds): number {
  if (now <= step.due) return 0
  return isTooLate(step, now) ? 2 : 1
}

/** Comparator for sorting: negative when the first step ranks before the second. */
export function compareWaitingSteps(one: WaitingStep, other: WaitingStep, now: Milliseconds): number {
  return (
    one.priority - other.priority ||
    Number(isTooLate(one, now)) - Number(isTooLate(other, now)) ||
    (one.shareRank ?? WITHIN_SHARE) - (other.shareRank ?? WITHIN_SHARE) ||
    latenessRank(one, now) - latenessRank(other, now) ||
    one.due - other.due ||
    one.arrived - other.arrived
  )
}
