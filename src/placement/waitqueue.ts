/**
 * The wait queue at the owner of a worker group: attempts that wait for free capacity, in the order in which they are
 * served. Urgent work comes first, then attempts with a lower rank, which the home assigns; equal ranks are served in
 * the order in which they were inserted.
 */
import type {Milliseconds} from "../core/clock.js"
import {URGENT_PRIORITY} from "../document/model.js"
import type {Attempt} from "../jobs/attempt.js"

export interface WaitingAttempt {
  readonly attempt: Attempt
  readonly rank: number
  /** Time at which the wait began, at the home or at the owner. */
  readonly arrivedAt: Milliseconds
  /** Time at which the owner gives up and refuses the attempt. */
  readonly expiresAt: Milliseconds
}

export type WaitQueue = readonly WaitingAttempt[]

export function isUrgent(attempt: Attempt): boolean {
  return attempt.priority >= URGENT_PRIORITY
}

function isServedBefore(one: WaitingAttempt, other: WaitingAttempt): boolean {
  if (isUrgent(one.attempt) !== isUrgent(other.attempt)) return isUrgent(one.attempt)
  return one.rank < other.rank
}

/** Inserts an attempt behind those that are served before it and those already in the queue with the same rank. */
export function insertWaiting(queue: WaitQueue, waiting: WaitingAttempt): WaitQueue {
  const position = queue.findIndex(other => isServedBefore(waiting, other))
  return position < 0 ? [...queue, waiting] : [...queue.slice(0, position), waiting, ...queue.slice(position)]
}

export function removeWaiting(queue: WaitQueue, attempt: string): WaitQueue {
  return queue.filter(waiting => waiting.attempt.attempt !== attempt)
}

/** Splits the queue into the attempts whose wait has expired and the remaining ones. */
export function splitExpired(
  queue: WaitQueue,
  now: Milliseconds,
): {readonly expired: WaitQueue; readonly remaining: WaitQueue} {
  return {
    expired: queue.filter(waiting => waiting.expiresAt <= now),
    remaining: queue.filter(waiting => waiting.expiresAt > now),
  }
}
