/**
 * Chooses the worker group to ask for an attempt, from descriptions of free capacity that may be stale. Several
 * homes choose at the same time: a choice of the best of all would send every home to the same group.
 */
import type {Random} from "../core/random.js"
import {fits} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {FreeCapacity} from "../membership/table.js"

export interface GroupDescription {
  readonly group: string
  readonly pool: string
  readonly free: FreeCapacity
}

export interface GroupSelector {
  readonly choose: (
    groups: readonly GroupDescription[],
    demand: Resources,
    packingWeight: number,
    random: Random,
  ) => GroupDescription | undefined
}

/** Groups drawn for each choice. */
const DRAWN_GROUPS = 3

function largestOf(free: FreeCapacity): Resources {
  return {
    processors: free.largestProcessors,
    memoryMebibytes: free.largestMemoryMebibytes,
    accelerators: free.largestAccelerators,
  }
}

function freeShare(free: FreeCapacity): number {
  return free.totalProcessors > 0 ? free.processors / free.totalProcessors : 0
}

/** Lower is better. A group that seems to have room goes before any that does not. */
export function groupCost(group: GroupDescription, demand: Resources, packingWeight: number): number {
  const {free} = group
  const roomy = fits(demand, largestOf(free))
  const share = freeShare(free)
  const balance = packingWeight * share + (1 - packingWeight) * (1 - share)
  const waste = free.totalAccelerators > 0 && demand.accelerators === 0 ? 1 : 0
  return (roomy ? 0 : 10 + free.waiting) + balance + waste
}

function best(
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

/** Draws a few groups at random and takes the best. */
export class BestOfSample implements GroupSelector {
  constructor(private readonly drawn: number = DRAWN_GROUPS) {}

  choose(
    groups: readonly GroupDescription[],
    demand: Resources,
    packingWeight: number,
    random: Random,
  ): GroupDescription | undefined {
    if (groups.length <= this.drawn) return best(groups, demand, packingWeight)
    const sample = new Set<GroupDescription>()
    for (let draw = 0; draw < this.drawn * 2 && sample.size < this.drawn; draw += 1) {
      const group = groups[random.below(groups.length)]
      if (group) sample.add(group)
    }
    return best([...sample], demand, packingWeight)
  }
}

/** Takes the best of all groups. */
export class BestOfAll implements GroupSelector {
  choose(
    groups: readonly GroupDescription[],
    demand: Resources,
    packingWeight: number,
  ): GroupDescription | undefined {
    return best(groups, demand, packingWeight)
  }
}

/**
 * Draws one group with a probability that falls with its cost. Several homes that decide alone from the same stale
 * descriptions spread their choices, as the devices of Wayfinder do when each draws a place for a replica by weight.
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
    let mark = random.next() * total
    for (const [index, group] of groups.entries()) {
      mark -= weights[index] ?? 0
      if (mark <= 0) return group
    }
    return groups.at(-1)
  }
}
