/** Who may go before whom at the owner of a worker group, and who may have lower work checkpointed. */
import type {Milliseconds} from "../core/clock.js"
import type {Attempt} from "../jobs/attempt.js"
import type {WaitingRoom} from "./waitingroom.js"
import {isUrgent} from "./waitingroom.js"

/** Rank of work that has waited beyond the starvation limit. Ranks of other work are not negative. */
export const STARVING_RANK = -1

/** How long work that is not urgent waits at an owner before it may have lower work checkpointed. */
export const PREEMPTION_PATIENCE_MS: Milliseconds = 20

/** Work that is not urgent may displace only work that is lower by at least this. */
const PREEMPTION_DISTANCE = 2

/** An attempt that runs was given at least this long since its last checkpoint. */
export const LEAST_RUN_MS: Milliseconds = 1000

/**
 * True when an attempt that has just come may take room although others wait: those that wait did not fit, so that
 * smaller work fills the gaps. Urgent and starving work that waits is not passed by other work.
 */
export function mayPass(room: WaitingRoom, attempt: Attempt, rank: number): boolean {
  if (isUrgent(attempt)) return true
  return !room.some(
    waiting => isUrgent(waiting.attempt) || (waiting.rank <= STARVING_RANK && waiting.rank < rank),
  )
}

/** The highest priority that the attempt may have checkpointed after waiting for a while; negative for none. */
export function preemptiblePriority(attempt: Attempt, waited: Milliseconds): number {
  if (isUrgent(attempt)) return attempt.priority - 1
  return waited >= PREEMPTION_PATIENCE_MS ? attempt.priority - PREEMPTION_DISTANCE : -1
}
