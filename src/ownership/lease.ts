/**
 * The right of one instance to act, as an immutable value changed by steps.
 *
 * An instance may act while both hold: every successor that its record names, or may name once a write of
 * unknown fate has taken effect, has promised not to fence it; and its last renewal in the store is younger than
 * the grace. Neither depends on the store answering now, so an instance acts on through an outage. Instants are
 * those of the holder's own monotonic clock; a promise counts from the instant *before* it was asked for.
 */
import type {Milliseconds} from "../core/clock.js"
import {GRACE_MS, PROMISE_TERM_MS, SAFETY_MARGIN_MS} from "./timing.js"

/** Writes of the instance's record whose effect is not known yet, taken together. */
export interface PendingWrite {
  /** Every successor that one of the writes names. */
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
  /** Successor name to the instant at which its promise ends. */
  readonly promises: ReadonlyMap<string, Milliseconds>
  /** Set once the instance was fenced or has released its record: it never acts again. */
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
      if (!lease.pending) throw new RangeError("A write can be confirmed only while one is pending.")
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

/** Every instance that may fence the holder early, writes of unknown fate included. */
export function possibleSuccessors(lease: Lease): readonly string[] {
  return lease.pending ? [...new Set([...lease.successors, ...lease.pending.successors])] : lease.successors
}

/** The instant at which the right to act ends, unless it is prolonged before. */
export function rightEndsAt(lease: Lease): Milliseconds {
  if (lease.ended || lease.version === 0) return Number.NEGATIVE_INFINITY
  const ends = possibleSuccessors(lease).map(name => lease.promises.get(name) ?? Number.NEGATIVE_INFINITY)
  return Math.min(lease.renewedAt + GRACE_MS, ...ends) - SAFETY_MARGIN_MS
}

/** True when the holder may act at the given instant. Call it next to the act that it guards. */
export function mayAct(lease: Lease, now: Milliseconds): boolean {
  return now < rightEndsAt(lease)
}

/** Names the condition that keeps the holder from acting, in words. */
export function reasonNotToAct(lease: Lease, now: Milliseconds): string | undefined {
  if (lease.ended) return "the instance was fenced or has released its record"
  if (lease.version === 0) return "the instance has no record in the store yet"
  if (now >= lease.renewedAt + GRACE_MS - SAFETY_MARGIN_MS) return "the last renewal in the store is too old"
  const missing = possibleSuccessors(lease).filter(
    name => now >= (lease.promises.get(name) ?? Number.NEGATIVE_INFINITY) - SAFETY_MARGIN_MS,
  )
  return missing.length === 0 ? undefined : `no fresh promise of ${missing.join(", ")}`
}
