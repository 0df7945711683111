/**
 * The promises that one instance has given as a successor, as an immutable value.
 *
 * A successor promises for one term not to fence a holder. Once it has begun to fence, it promises nothing until
 * the fate of its write is known: a write whose reply was lost may still take effect.
 */
import type {Milliseconds} from "../core/clock.js"
import {GRACE_MS, PROMISE_TERM_MS, stretched} from "./timing.js"

/** What a fencing write expects to replace. */
export interface FencingAttempt {
  readonly holder: string
  readonly expectedVersion: number
}

export interface Promises {
  /** Instant at which this incarnation started. What earlier incarnations promised is not known. */
  readonly startedAt: Milliseconds
  /** Holder name to the instant until which it must not be fenced. */
  readonly until: ReadonlyMap<string, Milliseconds>
  readonly fencing: ReadonlyMap<string, FencingAttempt>
  /** Holder name to the version last seen of its record and the instant when it was first seen. */
  readonly seen: ReadonlyMap<string, SeenVersion>
}

export interface SeenVersion {
  readonly version: number
  readonly firstSeenAt: Milliseconds
}

export type PromiseStep =
  | {readonly type: "promise-given"; readonly holder: string; readonly at: Milliseconds}
  | {readonly type: "fencing-begun"; readonly attempt: FencingAttempt}
  | {readonly type: "fencing-settled"; readonly holder: string}
  | {
      readonly type: "record-seen"
      readonly holder: string
      readonly version: number
      readonly at: Milliseconds
    }

export function noPromises(startedAt: Milliseconds): Promises {
  return {startedAt, until: new Map(), fencing: new Map(), seen: new Map()}
}

function withEntry<V>(map: ReadonlyMap<string, V>, key: string, value: V): ReadonlyMap<string, V> {
  return new Map(map).set(key, value)
}

function withoutEntry<V>(map: ReadonlyMap<string, V>, key: string): ReadonlyMap<string, V> {
  const copy = new Map(map)
  copy.delete(key)
  return copy
}

/** Applies one step and returns the new value. */
export function applyPromiseStep(promises: Promises, step: PromiseStep): Promises {
  switch (step.type) {
    case "promise-given": {
      if (promises.fencing.has(step.holder)) {
        throw new RangeError(
          `No promise may be given to ${step.holder} while a write that fences it is unsettled.`,
        )
      }
      return {
        ...promises,
        until: withEntry(promises.until, step.holder, step.at + stretched(PROMISE_TERM_MS)),
      }
    }
    case "fencing-begun":
      return {...promises, fencing: withEntry(promises.fencing, step.attempt.holder, step.attempt)}
    case "fencing-settled":
      return {...promises, fencing: withoutEntry(promises.fencing, step.holder)}
    case "record-seen": {
      const known = promises.seen.get(step.holder)
      if (known && known.version >= step.version) return promises
      const seen = {version: step.version, firstSeenAt: step.at}
      return {...promises, seen: withEntry(promises.seen, step.holder, seen)}
    }
  }
}

/** True when a promise may be given to the holder. */
export function mayPromise(promises: Promises, holder: string): boolean {
  return !promises.fencing.has(holder)
}

/** True when this instance, named as a successor, may begin to fence the holder. */
export function mayFenceAsSuccessor(promises: Promises, holder: string, now: Milliseconds): boolean {
  const startupWait = promises.startedAt + stretched(PROMISE_TERM_MS)
  return now > startupWait && now > (promises.until.get(holder) ?? startupWait)
}

/** True when the record has stood still for longer than any holder would act on it. */
export function mayFenceAfterGrace(promises: Promises, holder: string, now: Milliseconds): boolean {
  const seen = promises.seen.get(holder)
  return seen !== undefined && now > seen.firstSeenAt + stretched(GRACE_MS)
}
