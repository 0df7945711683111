/**
 * How long a leader may act while the store does not answer it, and how a later leader knows that it has stopped. Such a
 * leader cannot tell an outage of the store, in which nobody can replace it, from a cut that leaves the store to others.
 * It acts for long only while it is supported: by enough of the instances that its record in the store names, which follow
 * it, and by enough of the workers named there, which answer under its term. An instance that follows a later leader and
 * a worker that has answered one support no earlier leader any more. So a later leader that has reached enough of either
 * knows that an earlier one acts no longer, whatever has become of it and of the rest.
 *
 * It answers the loss of instances and workers, for good or by a cut, together or one after another: what they may still
 * hold keeps accepted work waiting.
 */
import type {Milliseconds} from "../core/clock.js"

/** What one kind of supporters contributes. */
export interface SupportRule {
  /** A supporter counts for this long after it was asked for the answer that it gave. */
  readonly within: Milliseconds
  /** A leader is not supported when no more than this share of the recorded supporters are left. */
  readonly missableShare: number
  /** The most supporters that are recorded. */
  readonly most: number
}

/** A few instances that fail together with the leader leave its successor in no doubt. */
export const INSTANCE_SUPPORT: SupportRule = {within: 1500, missableShare: 1 / 4, most: Infinity}
/**
 * Workers answer twice in this time, even if one answer takes as long as it may. A sample of them shows as well as all
 * of them on which side of a cut most are.
 */
export const WORKER_SUPPORT: SupportRule = {within: 2500, missableShare: 1 / 2, most: 48}

/** How long a supported leader may act without an answer of the store. */
export const SUPPORTED_LIMIT_MS: Milliseconds = 15_000
/** The same for any other leader. */
export const UNSUPPORTED_LIMIT_MS: Milliseconds = 1500

/** The recorded supporters of one kind that a leader may still have. */
export interface Supporters {
  readonly names: readonly string[]
  /** With no more than this many of them, the leader is not supported. */
  readonly missable: number
}

/** How many of the recorded supporters may be left to a leader that is not supported. */
export function countMissable(recorded: number, {missableShare}: SupportRule): number {
  return Math.floor(recorded * missableShare)
}

/** The supporters that a leader has according to its record. */
export function supportersOf(names: readonly string[], rule: SupportRule): Supporters {
  return {names, missable: countMissable(names.length, rule)}
}

/** True if a leader with these supporters at the most is not supported. */
export function lacksSupport({names, missable}: Supporters): boolean {
  return names.length <= missable
}

/** True if a leader may act that the store has not confirmed for so long. */
export function mayActUnconfirmed(unconfirmedFor: Milliseconds, isSupported: () => boolean): boolean {
  return unconfirmedFor < UNSUPPORTED_LIMIT_MS || (unconfirmedFor < SUPPORTED_LIMIT_MS && isSupported())
}

/** True if a leader that lacks the support of one kind for so long has stopped, unless the store confirms it. */
export function hasStoppedWithout(lackingFor: Milliseconds, {within}: SupportRule): boolean {
  return lackingFor > Math.max(within, UNSUPPORTED_LIMIT_MS)
}
