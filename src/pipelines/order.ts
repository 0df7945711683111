/** The order in which steps that wait get room: urgent queues first, then by the time that is left. */
import type {Milliseconds} from "../core/clock.js"
import type {PipelineJob, Queue} from "./model.js"

/** The longest chain of estimated work through the steps of one occurrence. */
export function longestChain(job: PipelineJob, fromStep = 0): Milliseconds {
  const ends: Milliseconds[] = []
  job.steps.forEach((step, index) => {
    const begin = step.after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0)
    ends.push(begin + (index >= fromStep ? step.estimate : 0))
  })
  return Math.max(0, ...ends)
}

/** The span within which the job should be complete, by its estimates. */
export function objectiveOf(job: PipelineJob, queue: Queue): Milliseconds {
  return queue.slackFactor * longestChain(job) + queue.latencyTarget
}

/** A step that waits, as the order sees it. */
export interface WaitingStep {
  readonly priority: number
  /** The instant at which its job's objective passes. */
  readonly due: Milliseconds
  /** Estimated work of the tasks that wait, in core-milliseconds. */
  readonly work: number
  /** Instant at which the job arrived. */
  readonly arrived: Milliseconds
}

/** A job may be this many times its objective late and still be worth something. */
const LATE_FACTOR = 3

/** True once the job is too late to be worth anything. It still runs, after all others of its queue. */
export function isWorthless(step: WaitingStep, now: Milliseconds): boolean {
  return now > step.arrived + LATE_FACTOR * (step.due - step.arrived)
}

/** 0 while the objective can be met, 1 while a late end still counts, 2 after that. */
function lateness(step: WaitingStep, now: Milliseconds): number {
  if (now <= step.due) return 0
  return isWorthless(step, now) ? 2 : 1
}

/** Compares two steps: negative when the first one comes first. */
export function compareWaiting(one: WaitingStep, other: WaitingStep, now: Milliseconds): number {
  return (
    one.priority - other.priority ||
    lateness(one, now) - lateness(other, now) ||
    one.due - other.due ||
    one.arrived - other.arrived
  )
}
