/**
 * The order in which waiting work is offered to worker groups. Urgent work goes first; then work that has waited
 * beyond the starvation limit, oldest first; then higher priorities, which the document sets for each workload; then
 * the team with the smallest share of the fleet for its weight; then age.
 *
 * Items of one team, priority and shape form a lane. A lane is passed over as a whole once its head found no room,
 * so that a pass costs as many steps as there are lanes and not as there are items.
 */
import type {Milliseconds} from "../core/clock.js"
import {demandKey} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import {URGENT_PRIORITY} from "../document/model.js"

export interface QueuedItem {
  readonly key: string
  readonly team: string
  readonly priority: number
  readonly pool: string
  /** What one task needs. */
  readonly demand: Resources
  readonly enqueuedAt: Milliseconds
}

export interface Lane<Item extends QueuedItem> {
  readonly team: string
  readonly priority: number
  readonly pool: string
  readonly items: Map<string, Item>
}

export interface TaskQueue<Item extends QueuedItem> {
  readonly add: (item: Item) => void
  readonly remove: (key: string) => Item | undefined
  readonly get: (key: string) => Item | undefined
  readonly size: () => number
  /** Lanes in the order in which their heads should be served. `shareOf` is a team's share for its weight. */
  readonly lanes: (now: Milliseconds, shareOf: (team: string) => number) => readonly Lane<Item>[]
}

/** An item that has waited this long goes before all that is not urgent. */
export const STARVATION_LIMIT_MS: Milliseconds = 30_000

function laneKey(item: QueuedItem): string {
  return `${item.team}|${item.priority}|${item.pool}|${demandKey(item.demand)}`
}

function headOf<Item extends QueuedItem>(lane: Lane<Item>): Item | undefined {
  return lane.items.values().next().value
}

interface RankedLane<Item extends QueuedItem> {
  readonly lane: Lane<Item>
  /** 0 urgent, 1 starving, 2 other. */
  readonly tier: number
  readonly share: number
  readonly enqueuedAt: Milliseconds
}

function compare<Item extends QueuedItem>(one: RankedLane<Item>, other: RankedLane<Item>): number {
  if (one.tier !== other.tier) return one.tier - other.tier
  if (one.tier < 2) return one.enqueuedAt - other.enqueuedAt
  if (one.lane.priority !== other.lane.priority) return other.lane.priority - one.lane.priority
  if (one.lane.team !== other.lane.team && one.share !== other.share) return one.share - other.share
  return one.enqueuedAt - other.enqueuedAt
}

/** Creates an empty queue. Adding and removing cost the same however long the queue is. */
export function taskQueue<Item extends QueuedItem>(): TaskQueue<Item> {
  const lanes = new Map<string, Lane<Item>>()
  const laneByKey = new Map<string, string>()

  function rank(lane: Lane<Item>, now: Milliseconds, share: number): RankedLane<Item> | undefined {
    const head = headOf(lane)
    if (!head) return undefined
    const starving = now - head.enqueuedAt >= STARVATION_LIMIT_MS
    const tier = lane.priority >= URGENT_PRIORITY ? 0 : starving ? 1 : 2
    return {lane, tier, share, enqueuedAt: head.enqueuedAt}
  }

  return {
    add(item) {
      const key = laneKey(item)
      const {team, priority, pool} = item
      const lane = lanes.get(key) ?? {team, priority, pool, items: new Map<string, Item>()}
      lane.items.set(item.key, item)
      lanes.set(key, lane)
      laneByKey.set(item.key, key)
    },
    remove(key) {
      const name = laneByKey.get(key)
      const lane = name === undefined ? undefined : lanes.get(name)
      if (name === undefined || !lane) return undefined
      const item = lane.items.get(key)
      lane.items.delete(key)
      laneByKey.delete(key)
      if (lane.items.size === 0) lanes.delete(name)
      return item
    },
    get: key => lanes.get(laneByKey.get(key) ?? "")?.items.get(key),
    size: () => laneByKey.size,
    lanes(now, shareOf) {
      const ranked: RankedLane<Item>[] = []
      for (const lane of lanes.values()) {
        const entry = rank(lane, now, shareOf(lane.team))
        if (entry) ranked.push(entry)
      }
      return ranked.sort(compare).map(entry => entry.lane)
    },
  }
}
