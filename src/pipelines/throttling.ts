/**
 * Decides to which percentage of full speed best-effort tasks are throttled beside latency-sensitive tasks on the same
 * worker. The speed is cut before the tail latency reaches its limit and restored in small steps.
 */

/** A tail latency above this share of its limit counts as high: best-effort tasks are slowed. */
export const HIGH_TAIL_RATIO = 0.75
/** A tail latency below this share of its limit counts as low: best-effort tasks regain speed. */
const LOW_TAIL_RATIO = 0.5
const CUT_FACTOR = 0.4
const RISE_PERCENT = 15
const FULL_PERCENT = 100
/** Below this speed a task does no useful work, so it is paused. */
const MIN_PERCENT = 5

/**
 * Returns the next speed in percent; 0 pauses the task. `worstTailRatio` is the highest ratio of tail latency to limit
 * among the latency-sensitive tasks on the worker.
 */
export function nextSpeedPercent(currentPercent: number, worstTailRatio: number): number {
  if (worstTailRatio >= 1) return 0
  if (worstTailRatio > HIGH_TAIL_RATIO) {
    const reduced = Math.floor(currentPercent * CUT_FACTOR)
    return reduced < MIN_PERCENT ? 0 : reduced
  }
  if (worstTailRatio < LOW_TAIL_RATIO) return Math.min(FULL_PERCENT, currentPercent + RISE_PERCENT)
  return currentPercent
}
