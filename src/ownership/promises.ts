/**
 * The promises that one instance has given to holders as their successor: an immutable value changed by steps.
 *
 * With a promise, a successor undertakes not to fence a holder for a fixed term. Once it has begun to fence the holder,
 * it gives no promise until the outcome of its fencing write is known: a write whose reply was lost may still take
 * effect.
 */
import type {Milliseconds} from "../core/clock.js"
import {GRACE_PERIOD_MS, PROMISE_TERM_MS, allowForDrift} from "./timing.js"

/** A fencing write, which takes effect only if the holder's record still has the expected version. */
export interface FencingAttempt {
  readonly holder: string
  readonly expectedVersion: number
}

export interface Promises {
  /** Instant at which this incarnation started. The promises of earlier incarnations are not known. */
  readonly startedAt: Milliseconds
  /** Instant until which each holder must not be fenced, by holder name. */
  readonly promisedUntil: ReadonlyMap<string, Milliseconds>
  /** Fencing writes with unknown outcome, by holder name. */
  readonly fencingAttempts: ReadonlyMap<string, FencingAttempt>
  /** Version of each holder's record that this incarnation last tried to fence, by holder name. */
  readonly lastFencedVersions: ReadonlyMap<string, number>
  /** Versions seen of each holder's record, by holder name. */
  readonly seenVersions: ReadonlyMap<string, SeenVersion>
}

export interface SeenVersion {
  /** The first version that this incarnation saw. */
  readonly firstVersion: number
  /** The newest version seen. */
  readonly version: number
  /** Instant at which `version` was first seen. */
  readonly firstSeenAt: Milliseconds
}

/** The holder's record as the successor has read it. */
export interface ReadRecord {
  readonly version: number
  readonly active: boolean
  /** True if the record names this instance as a successor. */
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

export function createPromises(startedAt: Milliseconds): Promises {
  return {
    startedAt,
    promisedUntil: new Map(),
    fencingAttempts: new Map(),
    lastFencedVersions: new Map(),
    seenVersions: new Map(),
  }
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
      if (promises.fencingAttempts.has(step.holder)) {
        throw new RangeError(
          `Cannot give a promise to ${step.holder}: the outcome of a write that fences it is unknown.`,
        )
      }
      return {
        ...promises,
        promisedUntil: withEntry(
          promises.promisedUntil,
          step.holder,
          step.at + allowForDrift(PROMISE_TERM_MS),
        ),
      }
    }
    case "fencing-begun":
      return {
        ...promises,
        fencingAttempts: withEntry(promises.fencingAttempts, step.attempt.holder, step.attempt),
        lastFencedVersions: withEntry(
          promises.lastFencedVersions,
          step.attempt.holder,
          step.attempt.expectedVersion,
        ),
      }
    case "fencing-settled":
      return {...promises, fencingAttempts: withoutEntry(promises.fencingAttempts, step.holder)}
    case "record-seen": {
      const known = promises.seenVersions.get(step.holder)
      if (known && known.version >= step.version) return promises
      const firstVersion = known?.firstVersion ?? step.version
      const seen = {firstVersion, version: step.version, firstSeenAt: step.at}
      return {...promises, seenVersions: withEntry(promises.seenVersions, step.holder, seen)}
    }
  }
}

/**
 * True if a promise may be given to the holder of the record that was read. No write that fences this version may be
 * in progress, whether sent by this incarnation or by an earlier one, of which nothing is known here. A write of an
 * earlier incarnation can only expect a version that names this instance and is no newer than the first one seen.
 */
export function mayPromise(promises: Promises, holder: string, record: ReadRecord): boolean {
  if (promises.fencingAttempts.has(holder) || !record.active) return false
  if (record.version <= (promises.lastFencedVersions.get(holder) ?? 0)) return false
  const first = promises.seenVersions.get(holder)?.firstVersion ?? record.version
  return !record.namesSelf || record.version > first
}

/**
 * True if this instance, as a named successor, may begin to fence the holder. After a restart it first waits for one
 * promise term, because an earlier incarnation may have given a promise.
 */
export function mayFenceAsSuccessor(promises: Promises, holder: string, now: Milliseconds): boolean {
  const startupWait = promises.startedAt + allowForDrift(PROMISE_TERM_MS)
  return now > startupWait && now > (promises.promisedUntil.get(holder) ?? startupWait)
}

/** True if the record has not changed for longer than any holder may act without renewing it. */
export function mayFenceAfterGracePeriod(promises: Promises, holder: string, now: Milliseconds): boolean {
  const seen = promises.seenVersions.get(holder)
  return seen !== undefined && now > seen.firstSeenAt + allowForDrift(GRACE_PERIOD_MS)
}
