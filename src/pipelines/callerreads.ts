/**
 * Decides which calls to the store are made for callers. A part of the connections to the store stays free for the
 * instance's own calls, by which a leader shows that it leads, and a call that would wait for too long is refused at
 * once.
 *
 * Load that it answers: clients that ask for unknown jobs, each of which needs up to three reads, faster than a slow
 * store answers.
 */
import type {Milliseconds} from "../core/clock.js"

export interface CallerLoad {
  /** Calls that are being made. */
  readonly open: number
  /** Calls that wait for one of those to end. */
  readonly waiting: number
  /** Smoothed time that a call takes; 0 before the first. */
  readonly usualTime: Milliseconds
}

/** Of the 20 connections to the store. */
export const MAX_OPEN_CALLS = 14
/** Of the 3 s for which callers usually wait. */
const LONGEST_WAIT_MS: Milliseconds = 1000
/** Weight of a new time in the smoothed one. */
const SMOOTHING = 0.1

export function smoothTime(usual: Milliseconds, took: Milliseconds): Milliseconds {
  return usual === 0 ? took : usual + SMOOTHING * (took - usual)
}

export function decideCall({open, waiting, usualTime}: CallerLoad): "make" | "wait" | "refuse" {
  if (open < MAX_OPEN_CALLS) return "make"
  return ((waiting + 1) * usualTime) / MAX_OPEN_CALLS <= LONGEST_WAIT_MS ? "wait" : "refuse"
}
