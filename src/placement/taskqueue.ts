/**
 * The queue of tasks that a home has to place. It gives the order in which a scheduling pass takes them: urgent work
 * first, oldest first; then work that has waited beyond the starvation limit, oldest first; then higher priorities
 * (the document limits them for each workload); then the team with the smallest share of the fleet relative to its
 * weight; then the oldest.
 *
 * Items of the same team, priority, pool and demand form a lane. Once the head of a lane cannot be placed, a pass
 * skips the whole lane, so that its cost grows with the number of lanes and not with the number of items.
 */
import type {Milliseconds} from "../core/clock.js"
import {demandKey} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import {URGENT_PRIORITY} from "../document/model.js"

export interface QueuedItem {
  /** Unique key of the task. */
  readonly key: string
  readonly team: string
  readonly priority: number
  readonly pool: string
  readonly demand: Resources
  readonly enqueuedAt: Milliseconds
}

export interface Lane<Item extends QueuedItem> {
  readonly team: string
  readonly priority: number
  readonly pool: string
  /** Items by key, in the order in which they were added. */
  readonly items: Map<string, Item>
}

export interface TaskQueue<Item extends QueuedItem> {
  readonly add: (item: Item) => void
  readonly remove: (key: string) => Item | undefined
  readonly get: (key: string) => Item | undefined
  readonly size: () => number
  /**
   * Lanes in the order in which a pass takes them. `shareOf` gives a team's share of the fleet relative to its
   * weight.
   */
  readonly lanes: (now: Milliseconds, shareOf: (team: string) => number) => readonly Lane<Item>[]
}

/** An item that has waited this long is taken before all other work that is not urgent. */
export const STARVATION_LIMIT_MS: Milliseconds = 30_000

function laneKey(item: QueuedItem): string {
  return `${item.team}|${item.priority}|${item.pool}|${demandKey(item.demand)}`
}

function headOf<Item extends QueuedItem>(lane: Lane<Item>): Item | undefined {
  return lane.items.values().next().value
}

interface RankedLane<Item extends QueuedItem> {
  readonly lane: Lane<Item>
  /** 0 for urgent, 1 for starving, 2 for other work. */
  readonly tier: number
  readonly share: number
  readonly enqueuedAt: Milliseconds
}

function compareLanes<Item extends QueuedItem>(one: RankedLane<Item>, other: RankedLane<Item>): number {
  if (one.tier !== other.tier) return one.tier - other.tier
  if (one.tier < 2) return one.enqueuedAt - other.enqueuedAt
  if (one.lane.priority !== other.lane.priority) return other.lane.priority - one.lane.priority
  if (one.lane.team !== other.lane.team && one.share !== other.share) return one.share - other.share
  return one.enqueuedAt - other.enqueuedAt
}

/** Creates an empty queue. Items are added and removed in constant time. */
export function taskQueue<Item extends QueuedItem>(): TaskQueue<Item> {
  const lanes = new Map<string, Lane<Item>>()
  const laneKeyByItem = new Map<string, string>()

  function rankLane(lane: Lane<Item>, now: Milliseconds, share: number): RankedLane<Item> | undefined {
    const head = headOf(lane)
    if (!head) return undefined
    const isStarving = now - head.enqueuedAt >= STARVATION_LIMIT_MS
    const tier = lane.priority >= URGENT_PRIORITY ? 0 : isStarving ? 1 : 2
    return {lane, tier, share, enqueuedAt: head.enqueuedAt}
  }

  return {
    add(item) {
      const key = laneKey(item)
      const {team, priority, pool} = item
      const lane = lanes.get(key) ?? {team, priority, pool, items: new Map<string, Item>()}
      lane.items.set(item.key, item)
      lanes.set(key, lane)
      laneKeyByItem.set(item.key, key)
    },
    remove(key) {
      const keyOfLane = laneKeyByItem.get(key)
      const lane = keyOfLane === undefined ? undefined : lanes.get(keyOfLane)
      if (keyOfLane === undefined || !lane) return undefined
      const item = lane.items.get(key)
      lane.items.delete(key)
      laneKeyByItem.delete(key)
      if (lane.items.size === 0) lanes.delete(keyOfLane)
      return item
    },
    get: key => lanes.get(laneKeyByItem.get(key) ?? "")?.items.get(key),
    size: () => laneKeyByItem.size,
    lanes(now, shareOf) {
      const ranked: RankedLane<Item>[] = []
      for (const lane of lanes.values()) {
        const entry = rankLane(lane, now, shareOf(lane.team))
        if (entry) ranked.push(entry)
      }
      return ranked.sort(compareLanes).map(entry => entry.lane)
    },
  }
}
