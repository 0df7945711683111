/** Chooses lower-priority attempts to checkpoint, so that an urgent attempt gets room on one worker. */
import {add, dominantShare, fits} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"
import {freeOf} from "./ledger.js"
import type {GroupLedger, WorkerLedger} from "./ledger.js"

export interface Preemption {
  readonly worker: string
  readonly victims: readonly string[]
  /** Sum of the victims' shares of the worker, each weighted by its priority. */
  readonly cost: number
}

function victimCost(victim: Attempt, capacity: Resources): number {
  return dominantShare(victim.demand, capacity) * (1 + victim.priority)
}

function planFor(
  worker: WorkerLedger,
  attempt: Attempt,
  highest: number,
  spared: ReadonlySet<string>,
): Preemption | undefined {
  const eligible = [...worker.held.values()]
    .filter(held => held.checkpointable && held.priority <= highest && !spared.has(held.attempt))
    .sort((one, other) => victimCost(one, worker.capacity) - victimCost(other, worker.capacity))
  let free = freeOf(worker)
  let cost = 0
  const victims: Attempt[] = []
  for (const victim of eligible) {
    if (fits(attempt.demand, free)) break
    free = add(free, victim.demand)
    cost += victimCost(victim, worker.capacity)
    victims.push(victim)
  }
  if (!fits(attempt.demand, free)) return undefined
  return {worker: worker.worker, victims: prune(worker, attempt, victims), cost}
}

/** Leaves out victims that turned out not to be needed, the dearest first. */
function prune(worker: WorkerLedger, attempt: Attempt, victims: readonly Attempt[]): readonly string[] {
  let kept = [...victims]
  for (const victim of [...victims].reverse()) {
    const others = kept.filter(other => other !== victim)
    const free = others.reduce((sum, other) => add(sum, other.demand), freeOf(worker))
    if (fits(attempt.demand, free)) kept = others
  }
  return kept.map(victim => victim.attempt)
}

/**
 * The cheapest preemption over the open workers of the group. Only work up to the highest priority given is stopped,
 * and none that is spared.
 */
export function choosePreemption(
  ledger: GroupLedger,
  attempt: Attempt,
  highest: number,
  spared: ReadonlySet<string>,
): Preemption | undefined {
  const plans = [...ledger.values()]
    .filter(worker => worker.open && worker.pool === attempt.pool)
    .map(worker => planFor(worker, attempt, highest, spared))
    .filter(plan => plan !== undefined && plan.victims.length > 0)
  return plans.reduce<Preemption | undefined>(
    (best, plan) => (!plan || (best && best.cost <= plan.cost) ? best : plan),
    undefined,
  )
}
