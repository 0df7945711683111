/**
 * The lease of one instance, which is its right to act for the groups that it holds: an immutable value changed by
 * steps.
 *
 * An instance may act while two conditions hold. Every successor that its record names, or would name if a write with
 * unknown outcome took effect, has promised not to fence it. And its last renewal in the store is younger than the
 * grace period. Neither requires the store to answer now, so an instance continues to act during an outage of the
 * store. Instants are those of the holder's own monotonic clock; a promise counts from the instant *before* the request
 * for it was sent.
 */
import type {Milliseconds} from "../core/clock.js"
import {GRACE_PERIOD_MS, PROMISE_TERM_MS, SAFETY_MARGIN_MS} from "./timing.js"

/** All writes of the instance's record whose outcome is not known yet, combined. */
export interface PendingWrite {
  /** Union of the successors that the writes name. */
  readonly successors: readonly string[]
  /** Instant before the earliest of the writes was sent. */
  readonly sentAt: Milliseconds
}

export interface Lease {
  /** Version of the instance's record after the last confirmed write; 0 before the first. */
  readonly version: number
  readonly successors: readonly string[]
  /** Instant before the last confirmed renewal was sent. */
  readonly renewedAt: Milliseconds
  readonly pending: PendingWrite | undefined
  /** Instant at which each successor's promise ends, by name of the successor. */
  readonly promises: ReadonlyMap<string, Milliseconds>
  /** True once this incarnation has been fenced or has released its record. It never acts again. */
  readonly ended: boolean
}

export type LeaseStep =
  | {readonly type: "write-sent"; readonly successors: readonly string[]; readonly at: Milliseconds}
  | {readonly type: "write-confirmed"; readonly version: number; readonly successors: readonly string[]}
  | {readonly type: "write-rejected"}
  | {
      readonly type: "promised"
      readonly successor: string
      readonly askedAt: Milliseconds
      readonly term: Milliseconds
    }
  | {readonly type: "promise-refused"; readonly successor: string}
  | {readonly type: "ended"}

export const NO_LEASE: Lease = {
  version: 0,
  successors: [],
  renewedAt: Number.NEGATIVE_INFINITY,
  pending: undefined,
  promises: new Map(),
  ended: false,
}

function withPromise(lease: Lease, successor: string, until: Milliseconds): Lease {
  const promises = new Map(lease.promises)
  promises.set(successor, Math.max(until, promises.get(successor) ?? until))
  return {...lease, promises}
}

/** Applies one step and returns the new value. */
export function applyLeaseStep(lease: Lease, step: LeaseStep): Lease {
  switch (step.type) {
    case "write-sent": {
      const earlier = lease.pending ?? {successors: [], sentAt: step.at}
      const successors = [...new Set([...earlier.successors, ...step.successors])]
      return {...lease, pending: {successors, sentAt: Math.min(earlier.sentAt, step.at)}}
    }
    case "write-confirmed": {
      if (!lease.pending)
        throw new RangeError("Cannot confirm a write of the instance record: none is pending.")
      const {version, successors} = step
      return {...lease, version, successors, renewedAt: lease.pending.sentAt, pending: undefined}
    }
    case "write-rejected":
      return {...lease, pending: undefined}
    case "promised":
      return withPromise(lease, step.successor, step.askedAt + Math.min(step.term, PROMISE_TERM_MS))
    case "promise-refused": {
      const promises = new Map(lease.promises)
      promises.delete(step.successor)
      return {...lease, promises}
    }
    case "ended":
      return {...lease, ended: true}
  }
}

/** Every instance that may be a successor, including those named by writes with unknown outcome. */
export function possibleSuccessors(lease: Lease): readonly string[] {
  return lease.pending ? [...new Set([...lease.successors, ...lease.pending.successors])] : lease.successors
}

/** The instant at which the right to act ends unless the lease is extended before. */
export function leaseExpiresAt(lease: Lease): Milliseconds {
  if (lease.ended || lease.version === 0) return Number.NEGATIVE_INFINITY
  const ends = possibleSuccessors(lease).map(name => lease.promises.get(name) ?? Number.NEGATIVE_INFINITY)
  return Math.min(lease.renewedAt + GRACE_PERIOD_MS, ...ends) - SAFETY_MARGIN_MS
}

/** True if the holder may act at the given instant. Call this immediately before the action that it guards. */
export function mayAct(lease: Lease, now: Milliseconds): boolean {
  return now < leaseExpiresAt(lease)
}

/** Describes the condition that keeps the holder from acting; undefined if it may act. */
export function reasonNotToAct(lease: Lease, now: Milliseconds): string | undefined {
  if (lease.ended) return "the instance was fenced or has released its record"
  if (lease.version === 0) return "the instance has no record in the store yet"
  if (now >= lease.renewedAt + GRACE_PERIOD_MS - SAFETY_MARGIN_MS)
    return "the last renewal in the store is older than the grace period"
  const missing = possibleSuccessors(lease).filter(
    name => now >= (lease.promises.get(name) ?? Number.NEGATIVE_INFINITY) - SAFETY_MARGIN_MS,
  )
  return missing.length === 0 ? undefined : `no valid promise from ${missing.join(", ")}`
}
