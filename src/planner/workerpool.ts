/** The leader's workers: what the platform lists, what the roster in the store names, and a link to each. */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {WorkerListing} from "../pipelines/model.js"
import type {FleetReader, KeyChange, StoredItem} from "../pipelines/ports.js"
import type {Ledger} from "./ledger.js"
import {formatRoster} from "./records.js"
import type {WorkerState} from "./state.js"
import {clockBounds, createWorker, release} from "./state.js"
import type {WorkerLink} from "./workerlink.js"

/** A worker that is listed no more and has nothing left is kept this long, in case its entry comes back. */
const FORGET_MS: Milliseconds = 2500

export interface WorkerPool {
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly linkOf: (worker: WorkerState) => WorkerLink | undefined
  /** Enters workers of an earlier leader's roster. */
  readonly addRecorded: (roster: readonly WorkerListing[]) => void
  readonly onList: (items: readonly StoredItem[]) => void
  readonly onChanges: (changes: readonly KeyChange[]) => void
  /** Takes a worker out because another one answers at its address. */
  readonly replace: (worker: WorkerState) => void
  /** Frees what ran on workers whose leases have surely passed, and forgets workers that are gone. */
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
}

export function createWorkerPool(context: WorkerPoolContext): WorkerPool {
  const {clock, log, ledger, reader, open, onChange} = context
  const workers = new Map<string, WorkerState>()
  const links = new Map<WorkerState, WorkerLink>()
  let recording = false
  let rosterChanged = false

  /** Names all workers in the store, before anything is started on a new one. */
  async function record(): Promise<void> {
    rosterChanged = true
    if (recording) return
    recording = true
    while (rosterChanged) {
      rosterChanged = false
      const named = [...workers.values()]
      await ledger.writeRoster(formatRoster(named.map(worker => worker.listing)))
      for (const worker of named) worker.recorded = true
    }
    recording = false
    onChange()
  }

  function add(listing: WorkerListing, listed: boolean): WorkerState {
    const worker = createWorker(listing, listed, clock.now())
    workers.set(listing.id, worker)
    links.set(worker, open(worker))
    return worker
  }

  function forget(worker: WorkerState): void {
    for (const assignment of [...worker.assignments.values()]) release(assignment)
    links.get(worker)?.close()
    links.delete(worker)
    if (workers.get(worker.listing.id) === worker) workers.delete(worker.listing.id)
    // A later leader must not wait for a worker that is gone.
    void record()
    onChange()
  }

  function apply(listing: WorkerListing): boolean {
    const known = workers.get(listing.id)
    if (!known) {
      add(listing, true)
      return true
    }
    if (listing.leaving && !known.listing.leaving)
      log.info({event: "worker-leaving", worker: listing.id}, "a worker is leaving")
    // After a restart under the same name an entry of the former life may still arrive.
    if (listing.bornAt < known.listing.bornAt) return false
    const moved = listing.address !== known.listing.address
    known.listing = listing
    known.listed = true
    return moved
  }

  function unlist(id: string): void {
    const worker = workers.get(id)
    if (!worker?.listed) return
    worker.listed = false
    worker.unlistedSince = clock.now()
    log.info({event: "worker-unlisted", worker: id}, "the platform no longer lists a worker")
  }

  function idOf(key: string): string {
    return key.slice(reader.workerPrefix.length)
  }

  function applyItem(key: string, value: string): boolean {
    const listing = reader.decodeWorker(key, value)
    return listing ? apply(listing) : false
  }

  /** Everything on the worker has passed its lease, by the slowest that its clock can run. */
  function hasLapsed(worker: WorkerState): boolean {
    const bounds = clockBounds(worker, clock.now())
    return bounds !== undefined && bounds.least > worker.deadline
  }

  return {
    workers,
    linkOf: worker => links.get(worker),
    addRecorded(roster) {
      for (const listing of roster) {
        if (!workers.has(listing.id)) add(listing, false).recorded = true
      }
    },
    onList(items) {
      const listed = new Set(items.map(item => idOf(item.key)))
      let added = false
      for (const {key, value} of items) added = applyItem(key, value) || added
      for (const id of workers.keys()) if (!listed.has(id)) unlist(id)
      if (added) void record()
      onChange()
    },
    onChanges(changes) {
      let added = false
      for (const {key, value} of changes) {
        if (value === undefined) unlist(idOf(key))
        else added = applyItem(key, value) || added
      }
      if (added) void record()
      onChange()
    },
    replace(worker) {
      log.warn(
        {event: "worker-replaced", worker: worker.listing.id},
        "another worker answers at this address",
      )
      forget(worker)
    },
    sweep() {
      const now = clock.now()
      for (const worker of [...workers.values()]) {
        if (!worker.reachable && worker.assignments.size > 0 && hasLapsed(worker)) {
          const {id} = worker.listing
          log.warn(
            {event: "worker-lapsed", worker: id, runs: worker.assignments.size},
            "the leases of a silent worker have passed",
          )
          for (const assignment of [...worker.assignments.values()]) release(assignment)
          onChange()
        }
        const idle = worker.assignments.size === 0 && !worker.reachable && !worker.listed
        // A worker that has left as planned does not come back.
        const wait = worker.listing.leaving ? 0 : FORGET_MS
        if (idle && now - worker.unlistedSince > wait) forget(worker)
      }
    },
    close() {
      for (const link of links.values()) link.close()
    },
  }
}
