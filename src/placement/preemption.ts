/**
 * Chooses lower-priority attempts on one worker to preempt: they are checkpointed, and the capacity that they free is
 * enough for an attempt of higher priority.
 */
import {add, dominantShare, fits} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"
import {freeCapacityOf} from "./ledger.js"
import type {GroupLedger, WorkerLedger} from "./ledger.js"

export interface Preemption {
  /** Name of the worker. */
  readonly worker: string
  /** Names of the attempts to checkpoint. */
  readonly victims: readonly string[]
  /**
   * Sum of the costs of the victims, including those that are dropped because the others free enough. A victim costs
   * its dominant share of the worker, weighted by its priority.
   */
  readonly cost: number
}

function victimCost(victim: Attempt, capacity: Resources): number {
  return dominantShare(victim.demand, capacity) * (1 + victim.priority)
}

/** Plans a preemption on one worker, cheapest victims first; undefined if they cannot free enough. */
function planPreemption(
  worker: WorkerLedger,
  attempt: Attempt,
  highestPriority: number,
  spared: ReadonlySet<string>,
): Preemption | undefined {
  const eligible = [...worker.held.values()]
    .filter(held => held.checkpointable && held.priority <= highestPriority && !spared.has(held.attempt))
    .sort((one, other) => victimCost(one, worker.capacity) - victimCost(other, worker.capacity))
  let free = freeCapacityOf(worker)
  let cost = 0
  const victims: Attempt[] = []
  for (const victim of eligible) {
    if (fits(attempt.demand, free)) break
    free = add(free, victim.demand)
    cost += victimCost(victim, worker.capacity)
    victims.push(victim)
  }
  if (!fits(attempt.demand, free)) return undefined
  return {worker: worker.worker, victims: dropUnneeded(worker, attempt, victims), cost}
}

/** Drops victims whose capacity is not needed, the most expensive first. */
function dropUnneeded(
  worker: WorkerLedger,
  attempt: Attempt,
  victims: readonly Attempt[],
): readonly string[] {
  let kept = [...victims]
  for (const victim of [...victims].reverse()) {
    const others = kept.filter(other => other !== victim)
    const free = others.reduce((sum, other) => add(sum, other.demand), freeCapacityOf(worker))
    if (fits(attempt.demand, free)) kept = others
  }
  return kept.map(victim => victim.attempt)
}

/**
 * Chooses the cheapest preemption over the workers of the group that accept new work.
 *
 * @param highestPriority Attempts with a higher priority are not preempted.
 * @param spared Names of attempts that must not be preempted.
 */
export function choosePreemption(
  ledger: GroupLedger,
  attempt: Attempt,
  highestPriority: number,
  spared: ReadonlySet<string>,
): Preemption | undefined {
  const plans = [...ledger.values()]
    .filter(worker => worker.isAcceptingWork && worker.pool === attempt.pool)
    .map(worker => planPreemption(worker, attempt, highestPriority, spared))
    .filter(plan => plan !== undefined && plan.victims.length > 0)
  return plans.reduce<Preemption | undefined>(
    (best, plan) => (!plan || (best && best.cost <= plan.cost) ? best : plan),
    undefined,
  )
}
