/**
 * Strategies for choosing the worker group that is asked to place a task, from descriptions of free capacity that
 * may be stale. Several homes choose at the same time; if each took the best of all groups, all would choose the
 * same one.
 */
import type {Random} from "../core/random.js"
import {fits} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {FreeCapacity} from "../membership/table.js"

/** A worker group and its free capacity as last reported by its owner. */
export interface GroupDescription {
  /** Name of the worker group. */
  readonly group: string
  readonly pool: string
  readonly free: FreeCapacity
}

/** Chooses one of the groups for a task with the demand; undefined if there are none. */
export interface GroupSelector {
  readonly choose: (
    groups: readonly GroupDescription[],
    demand: Resources,
    packingWeight: number,
    random: Random,
  ) => GroupDescription | undefined
}

/** Number of groups that are compared for each choice. */
const SAMPLE_SIZE = 3

/** The largest free amount of each resource on any one worker of the group. */
function largestFreeOf(free: FreeCapacity): Resources {
  return {
    processors: free.largestProcessors,
    memoryMebibytes: free.largestMemoryMebibytes,
    accelerators: free.largestAccelerators,
  }
}

/** Share of the group's processors that are free. */
function freeShare(free: FreeCapacity): number {
  return free.totalProcessors > 0 ? free.processors / free.totalProcessors : 0
}

/**
 * The cost of placing a task in the group; lower is better. A group whose description shows enough free capacity
 * costs less than any other; for the others the cost rises with the number of waiting tasks. Among equals, a high
 * `packingWeight` (from 0 to 1) prefers full groups and a low one prefers empty groups, and groups with
 * accelerators cost more for a task that needs none.
 */
export function groupCost(group: GroupDescription, demand: Resources, packingWeight: number): number {
  const {free} = group
  const hasCapacity = fits(demand, largestFreeOf(free))
  const share = freeShare(free)
  const balance = packingWeight * share + (1 - packingWeight) * (1 - share)
  const waste = free.totalAccelerators > 0 && demand.accelerators === 0 ? 1 : 0
  return (hasCapacity ? 0 : 10 + free.waiting) + balance + waste
}

function cheapestGroup(
  groups: readonly GroupDescription[],
  demand: Resources,
  packingWeight: number,
): GroupDescription | undefined {
  let chosen: GroupDescription | undefined
  let lowest = Number.POSITIVE_INFINITY
  for (const group of groups) {
    const cost = groupCost(group, demand, packingWeight)
    if (cost >= lowest) continue
    chosen = group
    lowest = cost
  }
  return chosen
}

/** Draws a few groups at random and chooses the one with the lowest cost. */
export class BestOfSample implements GroupSelector {
  constructor(private readonly sampleSize: number = SAMPLE_SIZE) {}

  choose(
    groups: readonly GroupDescription[],
    demand: Resources,
    packingWeight: number,
    random: Random,
  ): GroupDescription | undefined {
    if (groups.length <= this.sampleSize) return cheapestGroup(groups, demand, packingWeight)
    const sample = new Set<GroupDescription>()
    for (let draw = 0; draw < this.sampleSize * 2 && sample.size < this.sampleSize; draw += 1) {
      const group = groups[random.below(groups.length)]
      if (group) sample.add(group)
    }
    return cheapestGroup([...sample], demand, packingWeight)
  }
}

/** Chooses the group with the lowest cost of all. */
export class BestOfAll implements GroupSelector {
  choose(
    groups: readonly GroupDescription[],
    demand: Resources,
    packingWeight: number,
  ): GroupDescription | undefined {
    return cheapestGroup(groups, demand, packingWeight)
  }
}

/**
 * Draws one group at random; the probability falls exponentially with the cost of the group. Homes that choose
 * independently from the same stale descriptions thus spread their choices over the groups.
 */
export class WeightedRandom implements GroupSelector {
  choose(
    groups: readonly GroupDescription[],
    demand: Resources,
    packingWeight: number,
    random: Random,
  ): GroupDescription | undefined {
    const weights = groups.map(group => Math.exp(-3 * groupCost(group, demand, packingWeight)))
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    let remaining = random.next() * total
    for (const [index, group] of groups.entries()) {
      remaining -= weights[index] ?? 0
      if (remaining <= 0) return group
    }
    return groups.at(-1)
  }
}
