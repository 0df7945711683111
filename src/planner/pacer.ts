/** Slows tasks that fill when a task that serves on the same worker nears the limit of its response times. */
import {HIGH_TAIL_RATIO, nextSpeedPercent} from "../pipelines/throttling.js"
import type {WorkerState} from "./state.js"
import type {WorkerLink} from "./workerlink.js"

const FULL_PERCENT = 100

/** The worst tail on the worker as a share of its limit; undefined when nothing there serves. */
function worstTail(worker: WorkerState): number | undefined {
  let worst: number | undefined
  for (const {run, gauge, percent} of worker.assignments.values()) {
    if (run.step.tailLimit === 0 || percent < FULL_PERCENT) continue
    worst = Math.max(worst ?? 0, gauge / run.step.tailLimit)
  }
  return worst
}

/** Sends the paces that follow from the worker's last report. In danger they are sent again, as one may be lost. */
export function paceWorker(worker: WorkerState, link: WorkerLink | undefined): void {
  const worst = worstTail(worker)
  for (const assignment of worker.assignments.values()) {
    if (!assignment.run.step.fills || assignment.phase !== "running") continue
    const next = worst === undefined ? FULL_PERCENT : nextSpeedPercent(assignment.pace, worst)
    if (next === assignment.pace && (worst ?? 0) <= HIGH_TAIL_RATIO) continue
    assignment.pace = next
    link?.pace(assignment, next)
  }
}
