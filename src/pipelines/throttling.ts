/**
 * Decides at which share of their speed the tasks that fill may work beside tasks that serve. The share is cut
 * before the serving tail reaches its limit and given back step by step.
 */

/** Above this share of its limit a tail is in danger. */
export const DANGER = 0.75
/** Below this share of its limit there is room to give speed back. */
const CALM = 0.5
const CUT_FACTOR = 0.4
const RISE_PERCENT = 15
const FULL_PERCENT = 100
/** A share below this does no useful work, so the task pauses. */
const LEAST_PERCENT = 5

/** The next share, from the present one and the worst tail on the worker as a share of its limit. */
export function nextPace(present: number, worstTail: number): number {
  if (worstTail >= 1) return 0
  if (worstTail > DANGER) {
    const cut = Math.floor(present * CUT_FACTOR)
    return cut < LEAST_PERCENT ? 0 : cut
  }
  if (worstTail < CALM) return Math.min(FULL_PERCENT, present + RISE_PERCENT)
  return present
}
