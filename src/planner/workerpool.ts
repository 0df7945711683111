/**
 * The leader's workers, with a link to each: those that the platform lists, and those in the roster that an earlier
 * leader wrote to the store. Other systems may list workers too, so those of a service that nothing here uses are left
 * alone until something does.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {WorkerListing} from "../pipelines/model.js"
import type {FleetReader, KeyChange, StoredItem} from "../pipelines/ports.js"
import type {Confirmation} from "./confirmation.js"
import type {Ledger} from "./ledger.js"
import {createRoster} from "./roster.js"
import type {WorkerState} from "./state.js"
import {boundWorkerClock, createWorker, release} from "./state.js"
import type {RosterPart} from "./storedwork.js"
import type {WorkerLink} from "./workerlink.js"

/** How long an unlisted worker without assignments is kept, in case its entry comes back. */
const FORGET_UNLISTED_MS: Milliseconds = 2500

export interface WorkerPool {
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly linkOf: (worker: WorkerState) => WorkerLink | undefined
  /** Adds the workers of an earlier leader's roster. */
  readonly addFromRoster: (roster: readonly RosterPart[]) => void
  /** Handles the complete list of worker entries. */
  readonly onList: (items: readonly StoredItem[]) => void
  /** Handles changed worker entries. */
  readonly onChanges: (changes: readonly KeyChange[]) => void
  /** Gives a worker no tasks and no calls any more, because it takes orders of another system. */
  readonly exclude: (worker: WorkerState) => void
  /** Removes a worker because another one answers at its address. */
  readonly removeReplaced: (worker: WorkerState) => void
  /** Adds listed workers whose service is used only now. */
  readonly addOfUsedServices: () => void
  /** Releases the tasks of unreachable workers whose leases have expired for certain, and forgets workers that are gone. */
  readonly sweep: () => void
  readonly close: () => void
}

export interface WorkerPoolContext {
  readonly clock: Clock
  readonly log: Logger
  readonly ledger: Ledger
  readonly reader: FleetReader
  readonly open: (worker: WorkerState) => WorkerLink
  readonly onChange: () => void
  /** Called when a worker is gone and its link is closed. */
  readonly onForgotten: (id: string) => void
  /** Called when everything that an unreachable worker held has lapsed. */
  readonly onLapsed: (worker: WorkerState) => void
  /** True while the worker may run tasks that an earlier leader started, so that the roster has to name it. */
  readonly mayRunInherited: (worker: WorkerState) => boolean
  readonly confirmation: Confirmation
  /** True if the configuration names the service or an accepted job needs it. */
  readonly isServiceUsed: (service: string) => boolean
}

export function createWorkerPool(context: WorkerPoolContext): WorkerPool {
  const {
    clock,
    log,
    ledger,
    reader,
    open,
    onChange,
    onForgotten,
    onLapsed,
    mayRunInherited,
    confirmation,
    isServiceUsed,
  } = context
  const workers = new Map<string, WorkerState>()
  const links = new Map<WorkerState, WorkerLink>()
  /** The revisions of present entries that name no worker, by key. */
  const refusedEntries = new Map<string, number>()
  /** Listed workers of services that are not used, by name. */
  const unusedListings = new Map<string, WorkerListing>()
  const roster = createRoster(ledger, onChange)

  function add(listing: WorkerListing, isListed: boolean): WorkerState {
    const worker = createWorker(listing, isListed, clock.now())
    workers.set(listing.id, worker)
    links.set(worker, open(worker))
    return worker
  }

  function forget(worker: WorkerState): void {
    for (const assignment of [...worker.assignments.values()]) release(assignment)
    links.get(worker)?.close()
    links.delete(worker)
    onForgotten(worker.listing.id)
    if (workers.get(worker.listing.id) === worker) workers.delete(worker.listing.id)
    // A later leader does not wait for a worker that the roster does not name.
    roster.remove(worker)
    roster.write()
    onChange()
  }

  function addListed(listing: WorkerListing): void {
    unusedListings.delete(listing.id)
    roster.add(add(listing, true))
  }

  /** Adds or updates a listed worker, and marks it for the roster if it is new or has a new address. */
  function applyListing(listing: WorkerListing): void {
    const known = workers.get(listing.id)
    if (!known) {
      if (isServiceUsed(listing.service)) addListed(listing)
      else ignoreListing(listing)
      return
    }
    // A worker that was excluded may have restarted for this system.
    if (known.isClosed && known.assignments.size === 0 && listing.bornAt !== known.listing.bornAt) {
      forget(known)
      addListed(listing)
      return
    }
    if (listing.leaving && !known.listing.leaving)
      log.info({event: "worker-leaving", worker: listing.id}, "worker is leaving and gets no new tasks")
    // After a restart under the same name, an entry of the previous incarnation may still arrive. What the worker
    // itself reports counts more than a later birth that somebody else has written into its entry.
    if (listing.bornAt < known.listing.bornAt && listing.bornAt !== known.incarnation) return
    const hasMoved = listing.address !== known.listing.address
    known.listing = listing
    known.isListed = true
    if (hasMoved) roster.add(known)
  }

  function ignoreListing(listing: WorkerListing): void {
    const {id: worker, service} = listing
    if (unusedListings.get(worker)?.service !== service)
      log.info({event: "worker-ignored", worker, service}, "nothing here uses the service of a listed worker")
    unusedListings.set(worker, listing)
  }

  function unlist(id: string): void {
    unusedListings.delete(id)
    const worker = workers.get(id)
    if (!worker?.isListed) return
    worker.isListed = false
    worker.unlistedSince = clock.now()
    log.info({event: "worker-unlisted", worker: id}, "platform no longer lists the worker")
  }

  function idOf(key: string): string {
    return key.slice(reader.workerPrefix.length)
  }

  /** Logs an entry that names no worker, once for each revision of it. */
  function refuseEntry(key: string, revision: number): void {
    if (refusedEntries.get(key) === revision) return
    refusedEntries.set(key, revision)
    log.warn(
      {event: "worker-entry-refused", key, revision},
      "an entry among the workers cannot be read as one",
    )
  }

  function applyItem({key, value, revision}: StoredItem): void {
    const listing = reader.decodeWorker(key, value)
    if (!listing) {
      unusedListings.delete(idOf(key))
      refuseEntry(key, revision)
      return
    }
    refusedEntries.delete(key)
    applyListing(listing)
  }

  /** True when the worker's lease has expired by then even if its clock runs as slow as is allowed. */
  function hasExpired(worker: WorkerState, instant: Milliseconds): boolean {
    const bounds = boundWorkerClock(worker, instant)
    return bounds !== undefined && bounds.least > worker.deadline
  }

  /**
   * True when the worker's lease has expired before a later leader can have extended it, which would not be known here if
   * this instance is cut off.
   */
  function hasExpiredForCertain(worker: WorkerState): boolean {
    if (!hasExpired(worker, clock.now())) return false
    if (hasExpired(worker, confirmation.confirmedAt())) return true
    confirmation.request()
    return false
  }

  return {
    workers,
    linkOf: worker => links.get(worker),
    addFromRoster(parts) {
      for (const {part, workers: recorded} of parts)
        for (const listing of recorded)
          if (!workers.has(listing.id)) roster.addRecorded(add(listing, false), part)
    },
    onList(items) {
      const listed = new Set(items.map(item => idOf(item.key)))
      for (const item of items) applyItem(item)
      for (const key of refusedEntries.keys()) if (!listed.has(idOf(key))) refusedEntries.delete(key)
      for (const id of [...workers.keys(), ...unusedListings.keys()]) if (!listed.has(id)) unlist(id)
      roster.write()
      onChange()
    },
    onChanges(changes) {
      for (const {key, value, revision} of changes) {
        if (value === undefined) {
          refusedEntries.delete(key)
          unlist(idOf(key))
        } else applyItem({key, value, revision})
      }
      roster.write()
      onChange()
    },
    addOfUsedServices() {
      const services = new Set([...unusedListings.values()].map(({service}) => service))
      for (const service of services) {
        if (!isServiceUsed(service)) continue
        for (const listing of [...unusedListings.values()])
          if (listing.service === service) addListed(listing)
        roster.write()
        onChange()
      }
    },
    exclude(worker) {
      log.error(
        {event: "worker-excluded", worker: worker.listing.id, address: worker.listing.address},
        "a worker refuses the term of the present leader, so that it must take orders of another system",
      )
      worker.isReachable = false
      links.get(worker)?.close()
    },
    removeReplaced(worker) {
      log.warn(
        {event: "worker-replaced", worker: worker.listing.id},
        "another worker answers at the address of this worker",
      )
      forget(worker)
    },
    sweep() {
      const now = clock.now()
      for (const worker of [...workers.values()]) {
        const mayHoldTasks =
          worker.assignments.size > 0 ||
          worker.unknownJobs.size > 0 ||
          (worker.isFenced && mayRunInherited(worker))
        if (!worker.isReachable && mayHoldTasks && hasExpiredForCertain(worker)) {
          const {id} = worker.listing
          log.warn(
            {event: "worker-lapsed", worker: id, runs: worker.assignments.size},
            "lease of an unreachable worker has expired; its tasks may start elsewhere",
          )
          for (const assignment of [...worker.assignments.values()]) release(assignment)
          worker.unknownJobs = new Set()
          onLapsed(worker)
          onChange()
        }
        const isGone = worker.assignments.size === 0 && !worker.isReachable && !worker.isListed
        // A worker that announced that it leaves does not come back.
        const retention = worker.listing.leaving ? 0 : FORGET_UNLISTED_MS
        if (isGone && !mayRunInherited(worker) && now - worker.unlistedSince > retention) forget(worker)
      }
    },
    close() {
      for (const link of links.values()) link.close()
    },
  }
}
