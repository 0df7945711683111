/**
 * Attempts that wait at the owner of a worker group for room, in the order in which they are to be served: urgent
 * work first, then by the rank that the home gave, then by arrival.
 */
import type {Milliseconds} from "../core/clock.js"
import {URGENT_PRIORITY} from "../document/model.js"
import type {Attempt} from "../jobs/attempt.js"

export interface WaitingAttempt {
  readonly attempt: Attempt
  readonly rank: number
  /** Instant since which the attempt waits, at its home or here. */
  readonly arrivedAt: Milliseconds
  readonly expiresAt: Milliseconds
}

export type WaitQueue = readonly WaitingAttempt[]

export function isUrgent(attempt: Attempt): boolean {
  return attempt.priority >= URGENT_PRIORITY
}

function before(one: WaitingAttempt, other: WaitingAttempt): boolean {
  if (isUrgent(one.attempt) !== isUrgent(other.attempt)) return isUrgent(one.attempt)
  return one.rank < other.rank
}

/** Adds an attempt behind those that go before it or arrived earlier with the same rank. */
export function insertWaiting(room: WaitQueue, waiting: WaitingAttempt): WaitQueue {
  const position = room.findIndex(other => before(waiting, other))
  return position < 0 ? [...room, waiting] : [...room.slice(0, position), waiting, ...room.slice(position)]
}

export function removeWaiting(room: WaitQueue, attempt: string): WaitQueue {
  return room.filter(waiting => waiting.attempt.attempt !== attempt)
}

/** Those whose wait has ended, and the rest. */
export function splitExpired(
  room: WaitQueue,
  now: Milliseconds,
): {readonly expired: WaitQueue; readonly remaining: WaitQueue} {
  return {
    expired: room.filter(waiting => waiting.expiresAt <= now),
    remaining: room.filter(waiting => waiting.expiresAt > now),
  }
}
