/**
 * Reads the platform's instance list, which may be stale, at intervals. Keeps the last list that was read and
 * the data derived from it: peer addresses, worker groups and the shapes of pools.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import {add, componentwiseMax, NO_RESOURCES} from "../core/resources.js"
import type {FreeCapacity} from "../membership/table.js"
import type {InstanceList, ListedInstance} from "../platform/ports.js"
import type {PoolCapacity} from "../placement/feasibility.js"

export interface InstanceListController {
  readonly start: () => Promise<void>
  readonly stop: () => void
  readonly entries: () => readonly ListedInstance[]
  /** Peer addresses of the other entry instances. */
  readonly peerAddresses: () => readonly string[]
  /** Listed workers by worker group. */
  readonly workerGroups: () => ReadonlyMap<string, readonly ListedInstance[]>
  /** Free capacity that each worker group would have if its workers ran no tasks. */
  readonly emptyGroupCapacities: () => ReadonlyMap<string, FreeCapacity>
  /** True if the worker is listed as leaving. */
  readonly isLeaving: (worker: string) => boolean
  readonly poolShape: (pool: string) => PoolCapacity | undefined
}

const READ_INTERVAL_MS: Milliseconds = 1000

/**
 * Name of the group that a worker belongs to. The workers of one pool in one rack form a group with one
 * owner.
 */
export function workerGroupOf(worker: ListedInstance): string {
  return `w/${worker.pool}.${worker.rack}`
}

/** Extracts the pool from the name of a worker group. */
export function poolOfGroup(group: string): string {
  return group.slice(2, group.indexOf("."))
}

function groupWorkers(entries: readonly ListedInstance[]): ReadonlyMap<string, readonly ListedInstance[]> {
  const groups = new Map<string, ListedInstance[]>()
  for (const entry of entries) {
    if (entry.kind !== "worker") continue
    const members = groups.get(workerGroupOf(entry)) ?? []
    members.push(entry)
    groups.set(workerGroupOf(entry), members)
  }
  return groups
}

function shapePools(entries: readonly ListedInstance[]): ReadonlyMap<string, PoolCapacity> {
  const shapes = new Map<string, PoolCapacity>()
  for (const entry of entries) {
    if (entry.kind !== "worker" || entry.status === "leaving") continue
    const shape = shapes.get(entry.pool) ?? {largestCapacity: NO_RESOURCES, workers: []}
    const workers = [...shape.workers, entry.capacity]
    shapes.set(entry.pool, {
      largestCapacity: componentwiseMax(shape.largestCapacity, entry.capacity),
      workers,
    })
  }
  return shapes
}

/**
 * Free capacity that a group would have if its workers ran no tasks. It serves as an assumption until the
 * group's owner announces the real free capacity.
 */
export function emptyGroupCapacity(workers: readonly ListedInstance[]): FreeCapacity {
  const total = workers.reduce((sum, worker) => add(sum, worker.capacity), NO_RESOURCES)
  const largestWorker = workers.reduce((top, worker) => componentwiseMax(top, worker.capacity), NO_RESOURCES)
  return {
    processors: total.processors,
    memoryMebibytes: total.memoryMebibytes,
    accelerators: total.accelerators,
    largestProcessors: largestWorker.processors,
    largestMemoryMebibytes: largestWorker.memoryMebibytes,
    largestAccelerators: largestWorker.accelerators,
    idleSlots: 1,
    waiting: 0,
    totalProcessors: total.processors,
    totalMemoryMebibytes: total.memoryMebibytes,
    totalAccelerators: total.accelerators,
  }
}

/** Creates the controller for the instance with the given name. */
export function instanceListController(
  instance: string,
  list: InstanceList,
  clock: Clock,
  onChange: () => void,
): InstanceListController {
  let entries: readonly ListedInstance[] = []
  let groups: ReadonlyMap<string, readonly ListedInstance[]> = new Map()
  let emptyCapacities: ReadonlyMap<string, FreeCapacity> = new Map()
  let shapes: ReadonlyMap<string, PoolCapacity> = new Map()
  let leaving: ReadonlySet<string> = new Set()
  let lastText = ""
  let isStopped = false

  async function refresh(): Promise<void> {
    const result = await list.read()
    if (result.isErr()) return
    const text = JSON.stringify(result.value)
    if (text === lastText) return
    lastText = text
    entries = result.value
    groups = groupWorkers(entries)
    emptyCapacities = new Map([...groups].map(([group, workers]) => [group, emptyGroupCapacity(workers)]))
    shapes = shapePools(entries)
    leaving = new Set(entries.filter(entry => entry.status === "leaving").map(entry => entry.name))
    onChange()
  }

  async function refreshLoop(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, READ_INTERVAL_MS)
      await refresh()
    }
  }

  return {
    async start() {
      await refresh()
      void refreshLoop()
    },
    stop() {
      isStopped = true
    },
    entries: () => entries,
    peerAddresses: () =>
      entries.filter(entry => entry.kind === "entry" && entry.name !== instance).map(entry => entry.address),
    workerGroups: () => groups,
    emptyGroupCapacities: () => emptyCapacities,
    isLeaving: worker => leaving.has(worker),
    poolShape: pool => shapes.get(pool),
  }
}
