/**
 * Registry of the groups that this instance holds, with the controllers of each group. A worker group has an
 * owner, which places tasks, and a lender, which lends server slots. A job group has a home, which keeps its
 * jobs, and a registry of idempotency keys. Controllers are created for one epoch and closed when the group
 * is lost.
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
  /** Wall-clock time at which the group was acquired. */
  readonly acquiredAt: number
  /** Resolves once the journal has been read; false if that failed. */
  readonly opened: Promise<boolean>
}

export interface HeldGroupsPorts {
  readonly wallClock: () => number
  readonly createOwner: (group: string, epoch: number) => GroupOwner
  readonly createLender: (group: string, epoch: number) => SlotLender
  readonly createHome: (group: string, epoch: number) => JobHome
  readonly workersOf: (group: string) => readonly ListedInstance[]
  /**
   * Asks borrowers which slots of the group they hold. Called when a group is acquired after its first epoch.
   */
  readonly askBorrowers: (group: string, epoch: number, lender: SlotLender) => void
}

export interface HeldGroups {
  readonly acquire: (group: string, epoch: number) => void
  /** Drains the group's controllers; resolves once they make no more decisions. */
  readonly drain: (group: string) => Promise<void>
  readonly lose: (group: string) => void
  readonly workerGroup: (group: string) => HeldWorkerGroup | undefined
  readonly jobGroup: (group: string) => HeldJobGroup | undefined
  readonly workerGroups: () => ReadonlyMap<string, HeldWorkerGroup>
  readonly jobGroups: () => ReadonlyMap<string, HeldJobGroup>
  readonly freeCapacityOf: (group: string) => FreeCapacity | undefined
  /** Updates the worker groups from the workers that are currently listed. */
  readonly reconcile: () => void
}

export function isJobGroup(group: string): boolean {
  return group.startsWith("j/")
}

export function heldGroups(ports: HeldGroupsPorts): HeldGroups {
  const heldWorkerGroups = new Map<string, HeldWorkerGroup>()
  const heldJobGroups = new Map<string, HeldJobGroup>()

  function acquireJobGroup(group: string, epoch: number): void {
    const home = ports.createHome(group, epoch)
    const acquiredAt = ports.wallClock()
    // A group in its first epoch has no idempotency keys from an earlier holder, so its registry is complete.
    const keysCompleteFrom = epoch === 1 ? Number.NEGATIVE_INFINITY : acquiredAt
    heldJobGroups.set(group, {
      epoch,
      home,
      keys: keyRegistry(keysCompleteFrom),
      acquiredAt,
      opened: home.open(),
    })
  }

  function acquireWorkerGroup(group: string, epoch: number): void {
    const owner = ports.createOwner(group, epoch)
    const lender = ports.createLender(group, epoch)
    const listedWorkers = ports.workersOf(group)
    owner.reconcile(listedWorkers)
    lender.reconcile(listedWorkers)
    heldWorkerGroups.set(group, {epoch, owner, lender})
    if (epoch === 1) lender.adopt([], true)
    else ports.askBorrowers(group, epoch, lender)
  }

  function lose(group: string): void {
    const workerGroup = heldWorkerGroups.get(group)
    workerGroup?.owner.close()
    workerGroup?.lender.close()
    heldWorkerGroups.delete(group)
    heldJobGroups.get(group)?.home.close()
    heldJobGroups.delete(group)
  }

  return {
    acquire(group, epoch) {
      lose(group)
      if (isJobGroup(group)) acquireJobGroup(group, epoch)
      else acquireWorkerGroup(group, epoch)
    },
    async drain(group) {
      const workerGroup = heldWorkerGroups.get(group)
      workerGroup?.lender.drain()
      await workerGroup?.owner.drain()
      await heldJobGroups.get(group)?.home.drain()
    },
    lose,
    workerGroup: group => heldWorkerGroups.get(group),
    jobGroup: group => heldJobGroups.get(group),
    workerGroups: () => heldWorkerGroups,
    jobGroups: () => heldJobGroups,
    freeCapacityOf(group) {
      const held = heldWorkerGroups.get(group)
      return held && {...held.owner.freeCapacity(), idleSlots: held.lender.idleSlots()}
    },
    reconcile() {
      for (const [group, held] of heldWorkerGroups) {
        const listedWorkers = ports.workersOf(group)
        held.owner.reconcile(listedWorkers)
        held.lender.reconcile(listedWorkers)
      }
    },
  }
}
