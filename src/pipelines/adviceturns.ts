/**
 * Decides which call to the advice service is made next, and at which instance. The service handles one call at a time for
 * each instance, and works on a call to its end whoever still waits for it. It answers the load after a takeover: more
 * urgent calls wait than there are instances, calls of a former leader still occupy some of them for a second or more, and
 * calls of less urgent queues take twenty times as long. A call that waits behind another one at the service is lost time,
 * as another instance may be free; so an instance whose turn is taken says so, and the call keeps its place in the leader's
 * queue.
 */
import type {Milliseconds} from "../core/clock.js"

/** A call that waits for an instance. */
export interface WaitingCall {
  /** Calls with a lower number are made first. */
  readonly priority: number
  /** Expected processing time at the advice service. */
  readonly duration: Milliseconds
}

export interface CallMaker {
  /** Processing power that the instance may use, in processors of normal speed. */
  readonly processors: number
}

const LONG_CALL_MS: Milliseconds = 300
/** One in this many instances, and at least one, is left free for short calls. */
const INSTANCES_PER_SHORT_CALL_SLOT = 4
/** A call may wait at the service behind another one for this share of its own duration. */
const MAX_WAIT_SHARE = 0.25
/** An instance that stops makes no more calls. Its process ends within this time, and with it the calls in flight. */
const STOPPING_MS: Milliseconds = 3000

export function isLongCall({duration}: WaitingCall): boolean {
  return duration > LONG_CALL_MS
}

/** True if another long call may be made, beside those in flight. */
export function mayMakeLongCall(instances: number, longCalls: number): boolean {
  const kept = Math.max(1, Math.floor(instances / INSTANCES_PER_SHORT_CALL_SLOT))
  return longCalls < Math.max(1, instances - kept)
}

/** The position of the next call to make: the most urgent one, the oldest of equal ones; -1 if none may be made. */
export function findNextCall(calls: readonly WaitingCall[], mayBeLong: boolean): number {
  let found = -1
  calls.forEach((call, index) => {
    if (!mayBeLong && isLongCall(call)) return
    if (found < 0 || call.priority < (calls[found]?.priority ?? 0)) found = index
  })
  return found
}

/**
 * The instance that makes the call. Short calls, for which urgent work waits, go to the most powerful instances and long
 * calls to the least powerful ones.
 */
export function chooseCallMaker<T extends CallMaker>(call: WaitingCall, free: readonly T[]): T | undefined {
  const isLong = isLongCall(call)
  let chosen: T | undefined
  for (const maker of free) {
    const isBetter = isLong
      ? maker.processors <= (chosen?.processors ?? Infinity)
      : maker.processors > (chosen?.processors ?? -Infinity)
    if (isBetter) chosen = maker
  }
  return chosen
}

/** What an instance knows of its turn at the service. */
export interface Turn {
  /** When the service should have handled the calls that the instance has made. */
  readonly takenUntil: Milliseconds
  readonly isStopping: boolean
}

/** How long an instance cannot make the call; 0 if it can now. */
export function busyFor(turn: Turn, duration: Milliseconds, now: Milliseconds): Milliseconds {
  // Leaders of a former version do not say how long a call takes, and would count the answer as a failure.
  if (duration <= 0) return 0
  if (turn.isStopping) return STOPPING_MS
  const wait = turn.takenUntil - now
  return wait > duration * MAX_WAIT_SHARE ? wait : 0
}
