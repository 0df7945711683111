/**
 * Placement policies. Each gives the cost of placing an attempt on a worker; the worker with the lowest cost is
 * chosen and its name decides ties. All policies rank the same candidates: the workers that accept new work and
 * have enough free capacity.
 */
import type {Resources} from "../core/resources.js"
import type {PlacementPolicyName} from "../document/model.js"
import type {Attempt} from "../jobs/attempt.js"
import {freeCapacityOf} from "./ledger.js"
import type {WorkerLedger} from "./ledger.js"

export interface PlacementPolicy {
  readonly name: PlacementPolicyName
  /** Cost of placing the attempt on the worker. The worker has enough free capacity. */
  readonly cost: (worker: WorkerLedger, attempt: Attempt) => number
}

function share(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0
}

/** Share of the worker's capacity in each resource that stays free after the placement. */
function freeSharesAfter(worker: WorkerLedger, demand: Resources): readonly number[] {
  const free = freeCapacityOf(worker)
  const {capacity} = worker
  const shares = [
    share(free.processors - demand.processors, capacity.processors),
    share(free.memoryMebibytes - demand.memoryMebibytes, capacity.memoryMebibytes),
  ]
  if (capacity.accelerators > 0)
    shares.push(share(free.accelerators - demand.accelerators, capacity.accelerators))
  return shares
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Weight of uneven free shares: where one resource is used up, free capacity in the others cannot be used. */
const UNEVENNESS_WEIGHT = 0.5
/** Added cost of placing a task that needs no accelerators on a worker that has some. */
const ACCELERATOR_WASTE_COST = 0.6

/** Difference between the largest and the smallest share. */
function unevenness(shares: readonly number[]): number {
  return Math.max(...shares) - Math.min(...shares)
}

/** Prefers the workers with the least free capacity left, and those whose free shares of all resources stay even. */
class PackPolicy implements PlacementPolicy {
  readonly name = "pack"

  cost(worker: WorkerLedger, attempt: Attempt): number {
    const shares = freeSharesAfter(worker, attempt.demand)
    const waste =
      worker.capacity.accelerators > 0 && attempt.demand.accelerators === 0 ? ACCELERATOR_WASTE_COST : 0
    return mean(shares) + UNEVENNESS_WEIGHT * unevenness(shares) + waste
  }
}

/** Prefers the worker with the most free capacity left in its scarcest resource, to spread the load evenly. */
class BalancePolicy implements PlacementPolicy {
  readonly name = "balance"

  cost(worker: WorkerLedger, attempt: Attempt): number {
    return -Math.min(...freeSharesAfter(worker, attempt.demand))
  }
}

/** Prefers workers with the fewest tasks of the same job, then those with the most free capacity left. */
class SpreadPolicy implements PlacementPolicy {
  readonly name = "spread"

  cost(worker: WorkerLedger, attempt: Attempt): number {
    const siblings = [...worker.held.values()].filter(held => held.job === attempt.job).length
    return siblings - Math.min(...freeSharesAfter(worker, attempt.demand))
  }
}

const POLICIES: Readonly<Record<PlacementPolicyName, PlacementPolicy>> = {
  pack: new PackPolicy(),
  balance: new BalancePolicy(),
  spread: new SpreadPolicy(),
}

export function placementPolicy(name: PlacementPolicyName): PlacementPolicy {
  return POLICIES[name]
}
