/**
 * Chooses the worker of one worker group that runs an attempt, or explains why no worker of the group can run it now.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {fits} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"
import {freeCapacityOf} from "./ledger.js"
import type {GroupLedger, WorkerLedger} from "./ledger.js"
import type {PlacementPolicy} from "./policy.js"

/** Why no worker was chosen. */
export interface PlacementFailure {
  readonly reason: "no-open-worker" | "no-room" | "all-avoided"
  readonly explanation: string
}

/** The workers that accept new work and have enough free capacity for the attempt, without the withheld ones. */
function listCandidates(
  ledger: GroupLedger,
  attempt: Attempt,
  withheld: ReadonlySet<string>,
): readonly WorkerLedger[] {
  return [...ledger.values()].filter(
    worker =>
      worker.isAcceptingWork &&
      worker.pool === attempt.pool &&
      !withheld.has(worker.worker) &&
      fits(attempt.demand, freeCapacityOf(worker)),
  )
}

function explainFailure(ledger: GroupLedger, attempt: Attempt): PlacementFailure {
  const accepting = [...ledger.values()].filter(
    worker => worker.isAcceptingWork && worker.pool === attempt.pool,
  )
  if (accepting.length === 0)
    return {reason: "no-open-worker", explanation: "no worker of the group accepts new work"}
  return {
    reason: "no-room",
    explanation: `none of ${accepting.length} workers that accept new work has enough free capacity`,
  }
}

/**
 * Chooses the candidate with the lowest cost under the policy; equal costs are decided by the worker's name. Workers
 * that the attempt should avoid are chosen only when no other candidate is left and the attempt is restartable.
 *
 * @param withheld Workers that must not be chosen, for example because capacity is being freed there for other work.
 */
export function chooseWorker(
  ledger: GroupLedger,
  attempt: Attempt,
  policy: PlacementPolicy,
  withheld: ReadonlySet<string> = new Set(),
): Result<WorkerLedger, PlacementFailure> {
  const candidates = listCandidates(ledger, attempt, withheld)
  const preferred = candidates.filter(worker => !attempt.avoid.includes(worker.worker))
  const usable = preferred.length > 0 ? preferred : attempt.restartable ? candidates : []
  let best: WorkerLedger | undefined
  let lowest = Number.POSITIVE_INFINITY
  for (const worker of usable) {
    const cost = policy.cost(worker, attempt)
    if (cost < lowest || (cost === lowest && best && worker.worker < best.worker)) {
      best = worker
      lowest = cost
    }
  }
  return best ? ok(best) : err(explainFailure(ledger, attempt))
}
