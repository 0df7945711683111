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
  /** Holder name to the version of its record that this incarnation tried to fence last. */
  readonly tried: ReadonlyMap<string, number>
  /** Holder name to what was seen of its record. */
  readonly seen: ReadonlyMap<string, SeenVersion>
}

export interface SeenVersion {
  /** The version that this incarnation saw first. */
  readonly firstVersion: number
  /** The version seen last, and the instant when it was new. */
  readonly version: number
  readonly newSince: Milliseconds
}

/** The holder's record as the successor has read it. */
export interface ReadRecord {
  readonly version: number
  readonly active: boolean
  readonly namesSelf: boolean
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
  return {startedAt, until: new Map(), fencing: new Map(), tried: new Map(), seen: new Map()}
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
      return {
        ...promises,
        fencing: withEntry(promises.fencing, step.attempt.holder, step.attempt),
        tried: withEntry(promises.tried, step.attempt.holder, step.attempt.expectedVersion),
      }
    case "fencing-settled":
      return {...promises, fencing: withoutEntry(promises.fencing, step.holder)}
    case "record-seen": {
      const known = promises.seen.get(step.holder)
      if (known && known.version >= step.version) return promises
      const firstVersion = known?.firstVersion ?? step.version
      const seen = {firstVersion, version: step.version, newSince: step.at}
      return {...promises, seen: withEntry(promises.seen, step.holder, seen)}
    }
  }
}

/**
 * True when a promise may be given on the record as it was read. No write that fences this version may be under way:
 * neither one of this incarnation, nor one that an earlier incarnation has sent and that is forgotten here. The
 * latter can only expect a version that names this instance and is no newer than the one seen first.
 */
export function mayPromise(promises: Promises, holder: string, record: ReadRecord): boolean {
  if (promises.fencing.has(holder) || !record.active) return false
  if (record.version <= (promises.tried.get(holder) ?? 0)) return false
  const first = promises.seen.get(holder)?.firstVersion ?? record.version
  return !record.namesSelf || record.version > first
}

/** True when this instance, named as a successor, may begin to fence the holder. */
export function mayFenceAsSuccessor(promises: Promises, holder: string, now: Milliseconds): boolean {
  const startupWait = promises.startedAt + stretched(PROMISE_TERM_MS)
  return now > startupWait && now > (promises.until.get(holder) ?? startupWait)
}

/** True when the record has stood still for longer than any holder would act on it. */
export function mayFenceAfterGrace(promises: Promises, holder: string, now: Milliseconds): boolean {
  const seen = promises.seen.get(holder)
  return seen !== undefined && now > seen.newSince + stretched(GRACE_MS)
}
