/** The workers on which the tasks of a step may be placed: their eligibility, free capacity, tickets and advice. */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {fitsBeside, subtract} from "../core/resources.js"
import type {Contention} from "../pipelines/contention.js"
import type {Queue} from "../pipelines/model.js"
import type {WorkerOption} from "../pipelines/placing.js"
import {relativeSpeed} from "../pipelines/workerspeeds.js"
import type {OpenStep} from "./opensteps.js"
import type {Occupancy} from "./workerindex.js"
import type {AdviceTicket, StepRun, WorkerState} from "./state.js"

/** A ticket with less validity left may have expired when the start order arrives at the worker. */
const TICKET_MARGIN_MS: Milliseconds = 60

/** True when the worker may be given new tasks. */
export function isUsable(worker: WorkerState, now: Milliseconds): boolean {
  const known = worker.isListed && worker.isFenced && worker.isRecorded && worker.isReachable
  // A worker may come back with less capacity or other labels, which only the entry of its present life tells.
  const isDescribed = worker.listing.bornAt === worker.incarnation
  return (
    known &&
    isDescribed &&
    !worker.listing.leaving &&
    !worker.isClosed &&
    worker.unknownTaskCount === 0 &&
    now >= worker.avoidUntil
  )
}

export function freeCapacityOf(worker: WorkerState): Resources {
  return subtract(worker.listing.capacity, worker.used)
}

export function hasRoomFor(demand: Resources, worker: WorkerState): boolean {
  return fitsBeside(demand, worker.used, worker.listing.capacity)
}

/** The number of tasks of the step on each of the workers that have any. */
export function countTasksByWorker(run: StepRun): ReadonlyMap<WorkerState, number> {
  const counts = new Map<WorkerState, number>()
  for (const {worker} of run.assignments) counts.set(worker, (counts.get(worker) ?? 0) + 1)
  return counts
}

/** Describes the worker as the placement functions expect it. `held` counts tasks of the same step on the worker. */
export function toWorkerOption(
  worker: WorkerState,
  held: number,
  occupancy: Occupancy,
  contention: Contention,
): WorkerOption {
  const ends = worker.failureWeight + worker.successWeight
  return {
    id: worker.listing.id,
    rack: worker.listing.rack,
    free: freeCapacityOf(worker),
    capacity: worker.listing.capacity,
    held,
    latencySensitiveTasks: occupancy.latencySensitiveTasks,
    bestEffortTasks: occupancy.bestEffortTasks,
    failureShare: ends > 0 ? worker.failureWeight / (ends + 1) : 0,
    contention: contention.get(worker.listing.id) ?? 0,
    speed: relativeSpeed(worker.speed),
  }
}

function isValid(ticket: AdviceTicket, now: Milliseconds): boolean {
  return ticket.expiresAt > now + TICKET_MARGIN_MS
}

/** True when a ticket that permits the step on the worker is valid long enough for a start. */
export function hasTicket(run: StepRun, worker: WorkerState, now: Milliseconds): boolean {
  const held = run.tickets.get(worker.listing.id)
  return held !== undefined && isValid(held, now)
}

/** True when the step can start on no worker before the advice service has answered. */
export function needsAnswer(run: StepRun, queue: Queue, now: Milliseconds): boolean {
  if (queue.advice === undefined || !run.isAwaitingAdvice) return false
  for (const ticket of run.tickets.values()) if (isValid(ticket, now)) return false
  return true
}

/** Workers that the advice service has allowed for the step; all of them when the queue needs no advice. */
export function findAllowedWorkers(
  {run, queue}: OpenStep,
  workers: readonly WorkerState[],
): readonly WorkerState[] {
  return workers.filter(
    worker => queue.advice === undefined || run.policyVerdicts.get(worker.listing.id) === true,
  )
}
