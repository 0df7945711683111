/**
 * Rules at the owner of a worker group: when a new attempt may start before attempts in the wait queue, and which
 * lower-priority work an attempt may preempt by having it checkpointed.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Attempt} from "../jobs/attempt.js"
import type {WaitQueue} from "./waitqueue.js"
import {isUrgent} from "./waitqueue.js"

/** Rank of work that has waited beyond the starvation limit. Other work has ranks of 0 or more. */
export const STARVING_RANK = -1

/** Time that work that is not urgent waits before it may preempt lower-priority work. */
export const PREEMPTION_DELAY_MS: Milliseconds = 20

/** Work that is not urgent may preempt only work whose priority is lower by at least this much. */
const MINIMUM_PRIORITY_GAP = 2

/** An attempt is not preempted before it has run this long since the checkpoint that it started from. */
export const MINIMUM_RUN_MS: Milliseconds = 1000

/**
 * Whether a new attempt may take free capacity while others wait in the queue. The waiting attempts did not fit, so
 * smaller work may fill the gaps. Only urgent work may bypass urgent work or starving work of a lower rank.
 */
export function mayBypassQueue(queue: WaitQueue, attempt: Attempt, rank: number): boolean {
  if (isUrgent(attempt)) return true
  return !queue.some(
    waiting => isUrgent(waiting.attempt) || (waiting.rank <= STARVING_RANK && waiting.rank < rank),
  )
}

/**
 * The highest priority of work that the attempt may preempt after the given wait; negative if it may preempt none.
 */
export function highestPreemptiblePriority(attempt: Attempt, waited: Milliseconds): number {
  if (isUrgent(attempt)) return attempt.priority - 1
  return waited >= PREEMPTION_DELAY_MS ? attempt.priority - MINIMUM_PRIORITY_GAP : -1
}
