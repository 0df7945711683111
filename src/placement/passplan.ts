/**
 * Plans one pass of a home over its waiting work: which tasks to ask which worker groups for. The plan is a value
 * made from values; nothing is asked here. Of a large fleet only a bounded number of groups is looked at for each
 * task, drawn at random.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {add, dominantShare, fits, NOTHING, shapeKey} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {TeamDefinition} from "../document/model.js"
import type {FreeCapacity} from "../membership/table.js"
import type {GroupSelector, GroupDescription} from "./groupchoice.js"
import {STARVING_RANK} from "./precedence.js"
import type {QueuedItem, TaskQueue} from "./taskqueue.js"
import {STARVATION_LIMIT_MS} from "./taskqueue.js"

/** The worker groups that a home can reach, indexed. */
export interface GroupIndex<Group extends GroupDescription> {
  /** Groups of a pool, as they were indexed. */
  readonly ofPool: (pool: string) => readonly Group[]
  /** A group as it was described last. */
  readonly named: (group: string) => Group | undefined
  /** What all workers have together. */
  readonly fleet: () => Resources
}

/** Tasks that one call asks one group for. Those that may wait at the owner are asked for one by one. */
export interface PlannedPlacement<Item extends QueuedItem, Group extends GroupDescription> {
  readonly group: Group
  readonly mayWait: boolean
  readonly rank: number
  /** How long the task that came last has waited. */
  readonly waited: Milliseconds
  readonly items: readonly Item[]
}

export interface PassPlan<Item extends QueuedItem, Group extends GroupDescription> {
  readonly placements: readonly PlannedPlacement<Item, Group>[]
  /** Kind of task to the reason why tasks of it wait on. */
  readonly blockers: ReadonlyMap<string, string>
}

export interface PassInputs<Item extends QueuedItem, Group extends GroupDescription> {
  readonly now: Milliseconds
  readonly queue: TaskQueue<Item>
  readonly groups: GroupIndex<Group>
  readonly selector: GroupSelector
  readonly random: Random
  readonly packingWeight: number
  readonly teamOf: (team: string) => TeamDefinition | undefined
  readonly usageOf: (team: string) => Resources
  /** Asks of this home that wait at the group's owner now. */
  readonly waitingPlacementsAt: (group: string) => number
  /** Asks that may be made in this pass. */
  readonly taskLimit: number
}

const ASKS_WAITING_PER_GROUP = 3
const HIGHEST_PRIORITY = 9
/** Shares count for less than a step of priority. */
const LARGEST_SHARE = 0.99
/** Groups looked at for one task. */
export const GROUPS_SAMPLED = 12

export function laneName(item: QueuedItem): string {
  return `${item.team}|${item.priority}|${item.pool}|${shapeKey(item.demand)}`
}

/** The share of the fleet that the team uses, for its weight. */
export function weightedShare(team: TeamDefinition | undefined, usage: Resources, fleet: Resources): number {
  return dominantShare(usage, fleet) / (team?.weight ?? 1)
}

function largestOf(free: FreeCapacity): Resources {
  return {
    processors: free.largestProcessors,
    memoryMebibytes: free.largestMemoryMebibytes,
    accelerators: free.largestAccelerators,
  }
}

/** Deducts an expected placement, so that one pass does not send everything to one group. */
function deduct(free: FreeCapacity, demand: Resources): FreeCapacity {
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

/** All groups of a small pool, or a bounded number of a large one, drawn at random. */
function draw<Group>(groups: readonly Group[], random: Random): readonly Group[] {
  if (groups.length <= GROUPS_SAMPLED) return groups
  const drawn = new Set<Group>()
  for (let attempt = 0; attempt < 2 * GROUPS_SAMPLED && drawn.size < GROUPS_SAMPLED; attempt += 1) {
    const group = groups[random.below(groups.length)]
    if (group !== undefined) drawn.add(group)
  }
  return [...drawn]
}

/** Plans one pass. */
export function planPass<Item extends QueuedItem, Group extends GroupDescription>(
  inputs: PassInputs<Item, Group>,
): PassPlan<Item, Group> {
  const {now, queue, groups, selector: choice, random, packingWeight} = inputs
  const fleet = groups.fleet()
  const planned = new Map<string, Resources>()
  const touched = new Map<string, Group>()
  const waits = new Map<string, number>()
  const together = new Map<string, {readonly group: Group; readonly rank: number; readonly items: Item[]}>()
  const asks: PlannedPlacement<Item, Group>[] = []
  const blockers = new Map<string, string>()

  function shareOf(team: string): number {
    return weightedShare(inputs.teamOf(team), inputs.usageOf(team), fleet)
  }

  /** Lower ranks go first at the owner: starving work, then higher priorities, then smaller shares. */
  function rankOf(item: Item): number {
    if (now - item.enqueuedAt >= STARVATION_LIMIT_MS) return STARVING_RANK
    return HIGHEST_PRIORITY - item.priority + Math.min(LARGEST_SHARE, shareOf(item.team))
  }

  function quotaBlocker(item: Item): string | undefined {
    const team = inputs.teamOf(item.team)
    if (!team) return `the team ${item.team} is no longer in the document`
    const used = add(inputs.usageOf(item.team), planned.get(item.team) ?? NOTHING)
    return fits(add(used, item.demand), team.quota) ? undefined : `the quota of team ${item.team} is used up`
  }

  function waitsAt(group: Group): number {
    return waits.get(group.group) ?? inputs.waitingPlacementsAt(group.group)
  }

  function ask(item: Item, group: Group, mayWait: boolean): void {
    planned.set(item.team, add(planned.get(item.team) ?? NOTHING, item.demand))
    const rank = rankOf(item)
    if (mayWait) {
      waits.set(group.group, waitsAt(group) + 1)
      asks.push({group, mayWait, rank, waited: now - item.enqueuedAt, items: [item]})
      return
    }
    touched.set(group.group, {...group, free: deduct(group.free, item.demand)})
    const known = together.get(group.group) ?? {group, rank, items: []}
    known.items.push(item)
    together.set(group.group, known)
  }

  /** Plans one task, or gives the reason why it waits. */
  function planItem(item: Item): string | undefined {
    const quota = quotaBlocker(item)
    if (quota !== undefined) return quota
    const pool = groups.ofPool(item.pool)
    if (pool.length === 0) return `no owner of a worker group of pool ${item.pool} is known`
    const drawn = draw(pool, random).map(
      group => touched.get(group.group) ?? groups.named(group.group) ?? group,
    )
    const roomy = drawn.filter(group => fits(item.demand, largestOf(group.free)))
    const mayWait = roomy.length === 0
    const open = mayWait ? drawn.filter(group => waitsAt(group) < ASKS_WAITING_PER_GROUP) : roomy
    const chosen = choice.choose(open, item.demand, packingWeight, random)
    const group = chosen && open.find(candidate => candidate.group === chosen.group)
    if (!group) return `no group of pool ${item.pool} has room, and enough tasks wait there`
    ask(item, group, mayWait)
    return undefined
  }

  let allowance = inputs.taskLimit
  for (const lane of queue.lanes(now, shareOf)) {
    for (const item of lane.items.values()) {
      if (allowance <= 0) break
      const blocker = planItem(item)
      if (blocker !== undefined) {
        blockers.set(laneName(item), blocker)
        break
      }
      allowance -= 1
    }
  }
  for (const {group, rank, items} of together.values()) {
    const waited = Math.min(...items.map(item => now - item.enqueuedAt))
    asks.unshift({group, mayWait: false, rank, waited, items})
  }
  return {placements: asks, blockers}
}
