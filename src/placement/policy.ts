/**
 * Policies that choose one worker of a group for a task. All see the same candidates: the workers that are open
 * and have room. Each orders them by a cost; the lowest cost wins and the name breaks ties.
 */
import type {Resources} from "../core/resources.js"
import type {PlacementPolicyName} from "../document/model.js"
import type {Attempt} from "../jobs/attempt.js"
import {freeOf} from "./ledger.js"
import type {WorkerLedger} from "./ledger.js"

export interface PlacementPolicy {
  readonly name: PlacementPolicyName
  /** The cost of the attempt on the worker, on which it is known to fit. */
  readonly cost: (worker: WorkerLedger, attempt: Attempt) => number
}

function share(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0
}

/** Shares of each dimension that stay free after the placement. */
function leftOver(worker: WorkerLedger, demand: Resources): readonly number[] {
  const free = freeOf(worker)
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

/** Weight of the spread between dimensions: uneven remainders strand capacity. */
const UNEVENNESS_WEIGHT = 0.5
/** Cost of taking room on a worker with accelerators for a task that needs none. */
const ACCELERATOR_WASTE = 0.6

function unevenness(shares: readonly number[]): number {
  return Math.max(...shares) - Math.min(...shares)
}

/** Fills workers one after another and keeps the remainder of the dimensions even. */
class PackPolicy implements PlacementPolicy {
  readonly name = "pack"

  cost(worker: WorkerLedger, attempt: Attempt): number {
    const shares = leftOver(worker, attempt.demand)
    const waste =
      worker.capacity.accelerators > 0 && attempt.demand.accelerators === 0 ? ACCELERATOR_WASTE : 0
    return mean(shares) + UNEVENNESS_WEIGHT * unevenness(shares) + waste
  }
}

/** Takes the emptiest worker, so that each task has the least company. */
class BalancePolicy implements PlacementPolicy {
  readonly name = "balance"

  cost(worker: WorkerLedger, attempt: Attempt): number {
    return -Math.min(...leftOver(worker, attempt.demand))
  }
}

/** Keeps tasks of one job on different workers, then takes the emptiest. */
class SpreadPolicy implements PlacementPolicy {
  readonly name = "spread"

  cost(worker: WorkerLedger, attempt: Attempt): number {
    const siblings = [...worker.held.values()].filter(held => held.job === attempt.job).length
    return siblings - Math.min(...leftOver(worker, attempt.demand))
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
