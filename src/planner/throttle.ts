/**
 * Throttles the best-effort tasks on a worker when the tail latency of a latency-sensitive task there approaches its
 * limit.
 */
import {HIGH_TAIL_RATIO, nextSpeedPercent} from "../pipelines/throttling.js"
import type {WorkerState} from "./state.js"
import type {WorkerLink} from "./workerlink.js"

const FULL_PERCENT = 100

/**
 * The highest tail latency on the worker, as a share of its limit. Latency-sensitive tasks that report less than 100
 * percent are left out; undefined when there are no others.
 */
function findWorstTailShare(worker: WorkerState): number | undefined {
  let worstShare: number | undefined
  for (const {run, gauge, progressPercent} of worker.assignments.values()) {
    if (run.step.tailLimit === 0 || progressPercent < FULL_PERCENT) continue
    worstShare = Math.max(worstShare ?? 0, gauge / run.step.tailLimit)
  }
  return worstShare
}

/**
 * Sends the throttles that follow from the worker's last report. While a tail is in danger they are sent again even if
 * unchanged, as an order may be lost.
 */
export function throttleWorker(worker: WorkerState, link: WorkerLink | undefined): void {
  const worstShare = findWorstTailShare(worker)
  for (const assignment of worker.assignments.values()) {
    if (!assignment.run.step.fills || assignment.phase !== "running") continue
    const next =
      worstShare === undefined ? FULL_PERCENT : nextSpeedPercent(assignment.speedPercent, worstShare)
    if (next === assignment.speedPercent && (worstShare ?? 0) <= HIGH_TAIL_RATIO) continue
    assignment.speedPercent = next
    link?.throttle(assignment, next)
  }
}
