/**
 * Plans one scheduling pass of a home over its task queue: which worker groups are asked to place which tasks.
 * Planning has no side effects; the caller sends the placement requests. To bound the cost in a large fleet, only a
 * limited number of groups, drawn at random, is considered for each task.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {add, fits, NO_RESOURCES, demandKey, weightedShare} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {TeamDefinition} from "../document/model.js"
import type {FreeCapacity} from "../membership/table.js"
import type {GroupSelector, GroupDescription} from "./groupchoice.js"
import {STARVING_RANK} from "./precedence.js"
import type {QueuedItem, TaskQueue} from "./taskqueue.js"
import {STARVATION_LIMIT_MS} from "./taskqueue.js"

/** Index of the worker groups that a home can reach. */
export interface GroupIndex<Group extends GroupDescription> {
  /** The groups of a pool as described when the index was built; the free capacity may be out of date. */
  readonly ofPool: (pool: string) => readonly Group[]
  /** The latest description of a group. */
  readonly named: (group: string) => Group | undefined
  /** Total capacity of all workers. */
  readonly fleet: () => Resources
}

/** A request to one worker group to place tasks. A task that may wait at the owner gets a request of its own. */
export interface PlannedPlacement<Item extends QueuedItem, Group extends GroupDescription> {
  readonly group: Group
  /** True if no group that was considered has enough free capacity; the task may then wait in the owner's queue. */
  readonly mayWait: boolean
  /** Rank of the first task in the owner's wait queue; lower ranks are served first. */
  readonly rank: number
  /** How long the most recently queued of the tasks has waited. */
  readonly waited: Milliseconds
  readonly items: readonly Item[]
}

export interface PassPlan<Item extends QueuedItem, Group extends GroupDescription> {
  readonly placements: readonly PlannedPlacement<Item, Group>[]
  /** Why tasks are not placed in this pass, by lane name. */
  readonly blockers: ReadonlyMap<string, string>
}

/** What a pass is planned from. */
export interface PassInputs<Item extends QueuedItem, Group extends GroupDescription> {
  readonly now: Milliseconds
  readonly queue: TaskQueue<Item>
  readonly groups: GroupIndex<Group>
  readonly selector: GroupSelector
  readonly random: Random
  /** Weight of tight packing, from 0 to 1; see `groupCost`. */
  readonly packingWeight: number
  readonly teamOf: (team: string) => TeamDefinition | undefined
  readonly usageOf: (team: string) => Resources
  /** Number of placement requests of this home that may be waiting at the group's owner. */
  readonly waitingPlacementsAt: (group: string) => number
  /** Maximum number of tasks to plan in this pass. */
  readonly taskLimit: number
}

/** Maximum number of placement requests of one home that wait at the owner of one group. */
const MAXIMUM_WAITING_PER_GROUP = 3
const HIGHEST_PRIORITY = 9
/** Below 1, so that a difference in shares never outweighs a difference in priority. */
const MAXIMUM_SHARE_IN_RANK = 0.99
/** Number of groups that are considered for one task. */
export const GROUPS_SAMPLED = 12

/** Name of the lane of an item: the same for items of one team, priority, pool and demand. */
export function laneName(item: QueuedItem): string {
  return `${item.team}|${item.priority}|${item.pool}|${demandKey(item.demand)}`
}

/** The largest free amount of each resource on any one worker of the group. */
function largestFreeOf(free: FreeCapacity): Resources {
  return {
    processors: free.largestProcessors,
    memoryMebibytes: free.largestMemoryMebibytes,
    accelerators: free.largestAccelerators,
  }
}

/**
 * Deducts the demand of a planned task from the free capacity, so that one pass does not send all tasks to one
 * group.
 */
function deductDemand(free: FreeCapacity, demand: Resources): FreeCapacity {
  const processors = Math.max(0, free.processors - demand.processors)
  const memoryMebibytes = Math.max(0, free.memoryMebibytes - demand.memoryMebibytes)
  const accelerators = Math.max(0, free.accelerators - demand.accelerators)
  return {
    ...free,
    processors,
    memoryMebibytes,
    accelerators,
    largestProcessors: Math.min(free.largestProcessors, processors),
    largestMemoryMebibytes: Math.min(free.largestMemoryMebibytes, memoryMebibytes),
    largestAccelerators: Math.min(free.largestAccelerators, accelerators),
  }
}

/** All groups of a small pool, or a random sample of a large one. */
function sampleGroups<Group>(groups: readonly Group[], random: Random): readonly Group[] {
  if (groups.length <= GROUPS_SAMPLED) return groups
  const sample = new Set<Group>()
  for (let draw = 0; draw < 2 * GROUPS_SAMPLED && sample.size < GROUPS_SAMPLED; draw += 1) {
    const group = groups[random.below(groups.length)]
    if (group !== undefined) sample.add(group)
  }
  return [...sample]
}

/** Plans one pass over the lanes of the queue. The first task of a lane that cannot be planned ends the lane. */
export function planPass<Item extends QueuedItem, Group extends GroupDescription>(
  inputs: PassInputs<Item, Group>,
): PassPlan<Item, Group> {
  const {now, queue, groups, selector, random, packingWeight} = inputs
  const fleet = groups.fleet()
  /** Demand planned in this pass, by team. */
  const plannedDemand = new Map<string, Resources>()
  /** Groups with the demand of planned tasks deducted. */
  const updatedGroups = new Map<string, Group>()
  /** Number of waiting placement requests by group, including those planned in this pass. */
  const waitingCounts = new Map<string, number>()
  /** Tasks for groups that have enough free capacity, batched by group. */
  const batches = new Map<string, {readonly group: Group; readonly rank: number; readonly items: Item[]}>()
  const placements: PlannedPlacement<Item, Group>[] = []
  const blockers = new Map<string, string>()

  function shareOf(team: string): number {
    return weightedShare(inputs.usageOf(team), fleet, inputs.teamOf(team)?.weight ?? 1)
  }

  /** Ranks are lowest for starving work, then lower for higher priorities, then lower for smaller shares. */
  function rankOf(item: Item): number {
    if (now - item.enqueuedAt >= STARVATION_LIMIT_MS) return STARVING_RANK
    return HIGHEST_PRIORITY - item.priority + Math.min(MAXIMUM_SHARE_IN_RANK, shareOf(item.team))
  }

  /** Explains why the team's quota does not allow the task; undefined if it does. */
  function quotaBlocker(item: Item): string | undefined {
    const team = inputs.teamOf(item.team)
    if (!team) return `the team ${item.team} is no longer in the document`
    const used = add(inputs.usageOf(item.team), plannedDemand.get(item.team) ?? NO_RESOURCES)
    return fits(add(used, item.demand), team.quota) ? undefined : `the quota of team ${item.team} is used up`
  }

  function waitingCountOf(group: Group): number {
    return waitingCounts.get(group.group) ?? inputs.waitingPlacementsAt(group.group)
  }

  /** Adds a task to the planned placements. */
  function addPlacement(item: Item, group: Group, mayWait: boolean): void {
    plannedDemand.set(item.team, add(plannedDemand.get(item.team) ?? NO_RESOURCES, item.demand))
    const rank = rankOf(item)
    if (mayWait) {
      waitingCounts.set(group.group, waitingCountOf(group) + 1)
      placements.push({group, mayWait, rank, waited: now - item.enqueuedAt, items: [item]})
      return
    }
    updatedGroups.set(group.group, {...group, free: deductDemand(group.free, item.demand)})
    const batch = batches.get(group.group) ?? {group, rank, items: []}
    batch.items.push(item)
    batches.set(group.group, batch)
  }

  /** Plans one task, or returns the reason why it must wait. */
  function planItem(item: Item): string | undefined {
    const quota = quotaBlocker(item)
    if (quota !== undefined) return quota
    const pool = groups.ofPool(item.pool)
    if (pool.length === 0) return `no worker group of pool ${item.pool} has a known owner`
    const sample = sampleGroups(pool, random).map(
      group => updatedGroups.get(group.group) ?? groups.named(group.group) ?? group,
    )
    const fitting = sample.filter(group => fits(item.demand, largestFreeOf(group.free)))
    const mayWait = fitting.length === 0
    const candidates = mayWait
      ? sample.filter(group => waitingCountOf(group) < MAXIMUM_WAITING_PER_GROUP)
      : fitting
    const chosen = selector.choose(candidates, item.demand, packingWeight, random)
    const group = chosen && candidates.find(candidate => candidate.group === chosen.group)
    if (!group)
      return `no group of pool ${item.pool} has enough free capacity, and the limit of tasks waiting there is reached`
    addPlacement(item, group, mayWait)
    return undefined
  }

  let tasksLeft = inputs.taskLimit
  for (const lane of queue.lanes(now, shareOf)) {
    for (const item of lane.items.values()) {
      if (tasksLeft <= 0) break
      const blocker = planItem(item)
      if (blocker !== undefined) {
        blockers.set(laneName(item), blocker)
        break
      }
      tasksLeft -= 1
    }
  }
  for (const {group, rank, items} of batches.values()) {
    const waited = Math.min(...items.map(item => now - item.enqueuedAt))
    placements.unshift({group, mayWait: false, rank, waited, items})
  }
  return {placements, blockers}
}
