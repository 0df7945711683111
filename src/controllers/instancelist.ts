/** Keeps the newest reading of the platform's lagging instance list, and what follows from it. */
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
  /** Worker groups that exist, by name. */
  readonly workerGroups: () => ReadonlyMap<string, readonly ListedInstance[]>
  /** The same groups with what they would offer if all their workers were empty. */
  readonly emptyGroups: () => ReadonlyMap<string, FreeCapacity>
  /** True for a worker that is listed as leaving. */
  readonly isLeaving: (worker: string) => boolean
  readonly poolShape: (pool: string) => PoolCapacity | undefined
}

const READ_INTERVAL_MS: Milliseconds = 1000

/** Workers of one pool in one rack have one owner. */
export function workerGroupOf(worker: ListedInstance): string {
  return `w/${worker.pool}.${worker.rack}`
}

/** The pool of a worker group, from its name. */
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
    const known = shapes.get(entry.pool) ?? {largestCapacity: NO_RESOURCES, workers: []}
    const workers = [...known.workers, entry.capacity]
    shapes.set(entry.pool, {
      largestCapacity: componentwiseMax(known.largestCapacity, entry.capacity),
      workers,
    })
  }
  return shapes
}

/** What a group would offer if all of its workers were empty: an assumption until its owner is heard. */
export function emptyGroup(workers: readonly ListedInstance[]): FreeCapacity {
  const total = workers.reduce((sum, worker) => add(sum, worker.capacity), NO_RESOURCES)
  const most = workers.reduce((top, worker) => componentwiseMax(top, worker.capacity), NO_RESOURCES)
  return {
    processors: total.processors,
    memoryMebibytes: total.memoryMebibytes,
    accelerators: total.accelerators,
    largestProcessors: most.processors,
    largestMemoryMebibytes: most.memoryMebibytes,
    largestAccelerators: most.accelerators,
    idleSlots: 1,
    waiting: 0,
    totalProcessors: total.processors,
    totalMemoryMebibytes: total.memoryMebibytes,
    totalAccelerators: total.accelerators,
  }
}

/** Creates the controller of the instance with the given name. */
export function instanceListController(
  self: string,
  list: InstanceList,
  clock: Clock,
  onChange: () => void,
): InstanceListController {
  let entries: readonly ListedInstance[] = []
  let groups: ReadonlyMap<string, readonly ListedInstance[]> = new Map()
  let empty: ReadonlyMap<string, FreeCapacity> = new Map()
  let shapes: ReadonlyMap<string, PoolCapacity> = new Map()
  let leaving: ReadonlySet<string> = new Set()
  let text = ""
  let stopped = false

  async function read(): Promise<void> {
    const result = await list.read()
    if (result.isErr()) return
    const fresh = JSON.stringify(result.value)
    if (fresh === text) return
    text = fresh
    entries = result.value
    groups = groupWorkers(entries)
    empty = new Map([...groups].map(([group, workers]) => [group, emptyGroup(workers)]))
    shapes = shapePools(entries)
    leaving = new Set(entries.filter(entry => entry.status === "leaving").map(entry => entry.name))
    onChange()
  }

  async function loop(): Promise<void> {
    while (!stopped) {
      await sleep(clock, READ_INTERVAL_MS)
      await read()
    }
  }

  return {
    async start() {
      await read()
      void loop()
    },
    stop() {
      stopped = true
    },
    entries: () => entries,
    peerAddresses: () =>
      entries.filter(entry => entry.kind === "entry" && entry.name !== self).map(entry => entry.address),
    workerGroups: () => groups,
    emptyGroups: () => empty,
    isLeaving: worker => leaving.has(worker),
    poolShape: pool => shapes.get(pool),
  }
}
