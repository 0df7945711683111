/**
 * Records which attempts and reservations use the capacity of the workers of one group. The ledger is an immutable
 * value; steps produce new values. Capacity counts as used from the grant until the end of the attempt is confirmed,
 * because the worker's own reports lag behind. A grant or reservation beyond a worker's capacity throws a RangeError:
 * this is the last check against oversubscription.
 */
import type {Milliseconds} from "../core/clock.js"
import {add, fits, NO_RESOURCES, subtract} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"

/** Capacity reserved for one task of a gang until the gang is committed. */
export interface Reservation {
  readonly reservation: string
  readonly attempt: Attempt
  readonly expiresAt: Milliseconds
  /** A reservation with a lower rank may displace one with a higher rank. */
  readonly rank: number
}

/** The capacity of one worker and what uses it. */
export interface WorkerLedger {
  /** Name of the worker. */
  readonly worker: string
  readonly rack: string
  readonly dataCentre: string
  readonly pool: string
  readonly capacity: Resources
  /** Granted attempts whose end is not confirmed, by attempt name. */
  readonly held: ReadonlyMap<string, Attempt>
  /** Reservations for gangs, by attempt name. */
  readonly reserved: ReadonlyMap<string, Reservation>
  /** Sum of the demands of held attempts and reservations. */
  readonly used: Resources
  readonly isAcceptingWork: boolean
}

/** The workers of one group by name. */
export type GroupLedger = ReadonlyMap<string, WorkerLedger>

export interface WorkerDescription {
  /** Name of the worker. */
  readonly worker: string
  readonly rack: string
  readonly dataCentre: string
  readonly pool: string
  readonly capacity: Resources
}

export type LedgerStep =
  | {readonly type: "worker-added"; readonly description: WorkerDescription}
  | {readonly type: "worker-removed"; readonly worker: string}
  /** Sets whether the worker accepts new work. */
  | {readonly type: "worker-opened"; readonly worker: string; readonly open: boolean}
  | {readonly type: "granted"; readonly worker: string; readonly attempt: Attempt}
  /**
   * The worker reports an attempt that this ledger did not grant. It uses capacity even if the worker has too
   * little.
   */
  | {readonly type: "found-running"; readonly worker: string; readonly attempt: Attempt}
  | {readonly type: "ended"; readonly worker: string; readonly attempt: string}
  | {readonly type: "reserved"; readonly worker: string; readonly reservation: Reservation}
  | {readonly type: "unreserved"; readonly worker: string; readonly attempt: string}

export const EMPTY_LEDGER: GroupLedger = new Map()

/** Capacity of the worker that no held attempt or reservation uses. */
export function freeCapacityOf(worker: WorkerLedger): Resources {
  return subtract(worker.capacity, worker.used)
}

function requireWorker(ledger: GroupLedger, worker: string): WorkerLedger {
  const found = ledger.get(worker)
  if (!found) throw new RangeError(`The worker ${worker} is not in this worker group.`)
  return found
}

/** Adds an attempt without checking the free capacity. */
function addHeld(worker: WorkerLedger, attempt: Attempt): WorkerLedger {
  if (worker.held.has(attempt.attempt)) return worker
  const held = new Map(worker.held).set(attempt.attempt, attempt)
  return {...worker, held, used: add(worker.used, attempt.demand)}
}

function grant(worker: WorkerLedger, attempt: Attempt): WorkerLedger {
  if (!worker.isAcceptingWork) throw new RangeError(`The worker ${worker.worker} does not accept new work.`)
  if (!fits(attempt.demand, freeCapacityOf(worker))) {
    throw new RangeError(
      `The attempt ${attempt.attempt} needs more than the free capacity of the worker ${worker.worker}.`,
    )
  }
  return addHeld(worker, attempt)
}

function reserve(worker: WorkerLedger, reservation: Reservation): WorkerLedger {
  const {attempt} = reservation
  const known = worker.reserved.get(attempt.attempt)
  const reserved = new Map(worker.reserved).set(attempt.attempt, reservation)
  if (known) return {...worker, reserved}
  if (!worker.isAcceptingWork || !fits(attempt.demand, freeCapacityOf(worker))) {
    throw new RangeError(
      `The reservation for ${attempt.attempt} needs more than the free capacity of the worker ${worker.worker}.`,
    )
  }
  return {...worker, reserved, used: add(worker.used, attempt.demand)}
}

/** Frees the capacity of a held attempt or of a reservation; does nothing if there is none. */
function release(worker: WorkerLedger, kind: "held" | "reserved", attempt: string): WorkerLedger {
  if (kind === "held") {
    const found = worker.held.get(attempt)
    if (!found) return worker
    const held = new Map(worker.held)
    held.delete(attempt)
    return {...worker, held, used: subtract(worker.used, found.demand)}
  }
  const found = worker.reserved.get(attempt)
  if (!found) return worker
  const reserved = new Map(worker.reserved)
  reserved.delete(attempt)
  return {...worker, reserved, used: subtract(worker.used, found.attempt.demand)}
}

function applyWorkerStep(worker: WorkerLedger, step: LedgerStep): WorkerLedger {
  switch (step.type) {
    case "worker-opened":
      return {...worker, isAcceptingWork: step.open}
    case "granted":
      return grant(worker, step.attempt)
    case "found-running":
      return addHeld(worker, step.attempt)
    case "ended":
      return release(worker, "held", step.attempt)
    case "reserved":
      return reserve(worker, step.reservation)
    case "unreserved":
      return release(worker, "reserved", step.attempt)
    case "worker-added":
      return {...worker, ...step.description}
    case "worker-removed":
      return worker
  }
}

/**
 * Applies one step and returns the new ledger. Throws a RangeError if the worker is unknown or cannot take the
 * work.
 */
export function applyLedgerStep(ledger: GroupLedger, step: LedgerStep): GroupLedger {
  const copy = new Map(ledger)
  if (step.type === "worker-removed") {
    copy.delete(step.worker)
    return copy
  }
  if (step.type === "worker-added") {
    const {description} = step
    const empty = {
      held: new Map<string, Attempt>(),
      reserved: new Map<string, Reservation>(),
      used: NO_RESOURCES,
      isAcceptingWork: false,
    }
    const known = ledger.get(description.worker) ?? {...description, ...empty}
    copy.set(description.worker, applyWorkerStep(known, step))
    return copy
  }
  copy.set(step.worker, applyWorkerStep(requireWorker(ledger, step.worker), step))
  return copy
}

export function findWorkerHolding(ledger: GroupLedger, attempt: string): WorkerLedger | undefined {
  for (const worker of ledger.values()) if (worker.held.has(attempt)) return worker
  return undefined
}
