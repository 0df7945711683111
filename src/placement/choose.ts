/** Chooses a worker of one group for an attempt, or says in words why none can take it now. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {fits} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"
import {freeOf} from "./ledger.js"
import type {GroupLedger, WorkerLedger} from "./ledger.js"
import type {PlacementPolicy} from "./policy.js"

export interface Blocker {
  readonly reason: "no-open-worker" | "no-room" | "all-avoided"
  readonly explanation: string
}

/** Workers that could take the attempt by what they have free, those to avoid last. */
function candidates(
  ledger: GroupLedger,
  attempt: Attempt,
  withheld: ReadonlySet<string>,
): readonly WorkerLedger[] {
  return [...ledger.values()].filter(
    worker =>
      worker.open &&
      worker.pool === attempt.pool &&
      !withheld.has(worker.worker) &&
      fits(attempt.demand, freeOf(worker)),
  )
}

function explain(ledger: GroupLedger, attempt: Attempt): Blocker {
  const open = [...ledger.values()].filter(worker => worker.open && worker.pool === attempt.pool)
  if (open.length === 0)
    return {reason: "no-open-worker", explanation: "no worker of the group takes new work"}
  return {reason: "no-room", explanation: `none of ${open.length} open workers has room`}
}

/** The worker of the lowest cost among those that are open and have room. */
export function chooseWorker(
  ledger: GroupLedger,
  attempt: Attempt,
  policy: PlacementPolicy,
  withheld: ReadonlySet<string> = new Set(),
): Result<WorkerLedger, Blocker> {
  const all = candidates(ledger, attempt, withheld)
  const preferred = all.filter(worker => !attempt.avoid.includes(worker.worker))
  const usable = preferred.length > 0 ? preferred : attempt.restartable ? all : []
  let best: WorkerLedger | undefined
  let lowest = Number.POSITIVE_INFINITY
  for (const worker of usable) {
    const cost = policy.cost(worker, attempt)
    if (cost < lowest || (cost === lowest && best && worker.worker < best.worker)) {
      best = worker
      lowest = cost
    }
  }
  return best ? ok(best) : err(explain(ledger, attempt))
}
