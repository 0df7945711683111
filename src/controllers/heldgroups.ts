/**
 * The groups that this instance holds, each with the controllers that decide for it: an owner and a lender for a
 * worker group, a home and a key registry for a job group. Controllers live for one epoch.
 */
import type {FreeCapacity} from "../membership/table.js"
import type {ListedInstance} from "../platform/ports.js"
import {keyRegistry} from "../routing/keyregistry.js"
import type {KeyRegistry} from "../routing/keyregistry.js"
import type {GroupOwner} from "./groupowner.js"
import type {JobHome} from "./jobhome.js"
import type {SlotLender} from "./slotlender.js"

export interface HeldWorkerGroup {
  readonly epoch: number
  readonly owner: GroupOwner
  readonly lender: SlotLender
}

export interface HeldJobGroup {
  readonly epoch: number
  readonly home: JobHome
  readonly keys: KeyRegistry
  /** Wall-clock time at which the group was taken. */
  readonly acquiredAt: number
  /** Resolves once the journal was read; false when it could not be. */
  readonly opened: Promise<boolean>
}

export interface HeldGroupsPorts {
  readonly wallClock: () => number
  readonly createOwner: (group: string, epoch: number) => GroupOwner
  readonly createLender: (group: string, epoch: number) => SlotLender
  readonly createHome: (group: string, epoch: number) => JobHome
  readonly workersOf: (group: string) => readonly ListedInstance[]
  /** Learns from borrowers what they hold of a group that has come without a hand-over. */
  readonly askBorrowers: (group: string, epoch: number, lender: SlotLender) => void
}

export interface HeldGroups {
  readonly acquire: (group: string, epoch: number) => void
  /** Resolves when nothing more is decided for the group. */
  readonly drain: (group: string) => Promise<void>
  readonly lose: (group: string) => void
  readonly workerGroup: (group: string) => HeldWorkerGroup | undefined
  readonly jobGroup: (group: string) => HeldJobGroup | undefined
  readonly workerGroups: () => ReadonlyMap<string, HeldWorkerGroup>
  readonly jobGroups: () => ReadonlyMap<string, HeldJobGroup>
  readonly freeOf: (group: string) => FreeCapacity | undefined
  readonly reconcile: () => void
}

export function isJobGroup(group: string): boolean {
  return group.startsWith("j/")
}

/** Creates an empty registry. */
export function heldGroups(ports: HeldGroupsPorts): HeldGroups {
  const workers = new Map<string, HeldWorkerGroup>()
  const jobs = new Map<string, HeldJobGroup>()

  function acquireJobs(group: string, epoch: number): void {
    const home = ports.createHome(group, epoch)
    const acquiredAt = ports.wallClock()
    const vouchesFrom = epoch === 1 ? Number.NEGATIVE_INFINITY : acquiredAt
    jobs.set(group, {epoch, home, keys: keyRegistry(vouchesFrom), acquiredAt, opened: home.open()})
  }

  function acquireWorkers(group: string, epoch: number): void {
    const owner = ports.createOwner(group, epoch)
    const lender = ports.createLender(group, epoch)
    const listed = ports.workersOf(group)
    owner.reconcile(listed)
    lender.reconcile(listed)
    workers.set(group, {epoch, owner, lender})
    if (epoch === 1) lender.adopt([], true)
    else ports.askBorrowers(group, epoch, lender)
  }

  function lose(group: string): void {
    const worker = workers.get(group)
    worker?.owner.close()
    worker?.lender.close()
    workers.delete(group)
    jobs.get(group)?.home.close()
    jobs.delete(group)
  }

  return {
    acquire(group, epoch) {
      lose(group)
      if (isJobGroup(group)) acquireJobs(group, epoch)
      else acquireWorkers(group, epoch)
    },
    async drain(group) {
      const worker = workers.get(group)
      worker?.lender.drain()
      await worker?.owner.drain()
      await jobs.get(group)?.home.drain()
    },
    lose,
    workerGroup: group => workers.get(group),
    jobGroup: group => jobs.get(group),
    workerGroups: () => workers,
    jobGroups: () => jobs,
    freeOf(group) {
      const held = workers.get(group)
      return held && {...held.owner.freeCapacity(), idleSlots: held.lender.idleSlots()}
    },
    reconcile() {
      for (const [group, held] of workers) {
        const listed = ports.workersOf(group)
        held.owner.reconcile(listed)
        held.lender.reconcile(listed)
      }
    },
  }
}
