/**
 * What the workers of one group have been given, as an immutable value changed by steps. Capacity counts as given
 * from the grant until the end of the attempt is confirmed, whatever the worker's lagging reports say. A step that
 * would give a worker more than it has is refused with a range error: it is the last guard before an oversubscription.
 */
import type {Milliseconds} from "../core/clock.js"
import {add, fits, NO_RESOURCES, subtract} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"

/** Capacity held for one task of a gang until the gang is committed. */
export interface Reservation {
  readonly reservation: string
  readonly attempt: Attempt
  readonly expiresAt: Milliseconds
  /** Lower ranks may displace higher ones. */
  readonly rank: number
}

export interface WorkerLedger {
  readonly worker: string
  readonly rack: string
  readonly dataCentre: string
  readonly pool: string
  readonly capacity: Resources
  readonly held: ReadonlyMap<string, Attempt>
  readonly reserved: ReadonlyMap<string, Reservation>
  /** Sum of what is held and reserved. */
  readonly used: Resources
  /** False while the worker must not be given new work. */
  readonly open: boolean
}

export type GroupLedger = ReadonlyMap<string, WorkerLedger>

export interface WorkerDescription {
  readonly worker: string
  readonly rack: string
  readonly dataCentre: string
  readonly pool: string
  readonly capacity: Resources
}

export type LedgerStep =
  | {readonly type: "worker-added"; readonly description: WorkerDescription}
  | {readonly type: "worker-removed"; readonly worker: string}
  | {readonly type: "worker-opened"; readonly worker: string; readonly open: boolean}
  | {readonly type: "granted"; readonly worker: string; readonly attempt: Attempt}
  /** The worker reports an attempt that was not granted here: it counts, even beyond the capacity. */
  | {readonly type: "found-running"; readonly worker: string; readonly attempt: Attempt}
  | {readonly type: "ended"; readonly worker: string; readonly attempt: string}
  | {readonly type: "reserved"; readonly worker: string; readonly reservation: Reservation}
  | {readonly type: "unreserved"; readonly worker: string; readonly attempt: string}

export const EMPTY_LEDGER: GroupLedger = new Map()

/** What the worker has left. */
export function freeOf(worker: WorkerLedger): Resources {
  return subtract(worker.capacity, worker.used)
}

function lookUp(ledger: GroupLedger, worker: string): WorkerLedger {
  const found = ledger.get(worker)
  if (!found) throw new RangeError(`The worker ${worker} is not in this group.`)
  return found
}

function withHeld(worker: WorkerLedger, attempt: Attempt): WorkerLedger {
  if (worker.held.has(attempt.attempt)) return worker
  const held = new Map(worker.held).set(attempt.attempt, attempt)
  return {...worker, held, used: add(worker.used, attempt.demand)}
}

function grant(worker: WorkerLedger, attempt: Attempt): WorkerLedger {
  if (!worker.open) throw new RangeError(`The worker ${worker.worker} takes no new work.`)
  if (!fits(attempt.demand, freeOf(worker))) {
    throw new RangeError(`The attempt ${attempt.attempt} does not fit on the worker ${worker.worker}.`)
  }
  return withHeld(worker, attempt)
}

function reserve(worker: WorkerLedger, reservation: Reservation): WorkerLedger {
  const {attempt} = reservation
  const known = worker.reserved.get(attempt.attempt)
  const reserved = new Map(worker.reserved).set(attempt.attempt, reservation)
  if (known) return {...worker, reserved}
  if (!worker.open || !fits(attempt.demand, freeOf(worker))) {
    throw new RangeError(`The reservation of ${attempt.attempt} does not fit on the worker ${worker.worker}.`)
  }
  return {...worker, reserved, used: add(worker.used, attempt.demand)}
}

function remove(worker: WorkerLedger, part: "held" | "reserved", attempt: string): WorkerLedger {
  if (part === "held") {
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

function stepWorker(worker: WorkerLedger, step: LedgerStep): WorkerLedger {
  switch (step.type) {
    case "worker-opened":
      return {...worker, open: step.open}
    case "granted":
      return grant(worker, step.attempt)
    case "found-running":
      return withHeld(worker, step.attempt)
    case "ended":
      return remove(worker, "held", step.attempt)
    case "reserved":
      return reserve(worker, step.reservation)
    case "unreserved":
      return remove(worker, "reserved", step.attempt)
    case "worker-added":
      return {...worker, ...step.description}
    case "worker-removed":
      return worker
  }
}

/** Applies one step and returns the new value. */
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
      open: false,
    }
    const known = ledger.get(description.worker) ?? {...description, ...empty}
    copy.set(description.worker, stepWorker(known, step))
    return copy
  }
  copy.set(step.worker, stepWorker(lookUp(ledger, step.worker), step))
  return copy
}

/** The worker that holds the attempt. */
export function holderOf(ledger: GroupLedger, attempt: string): WorkerLedger | undefined {
  for (const worker of ledger.values()) if (worker.held.has(attempt)) return worker
  return undefined
}
