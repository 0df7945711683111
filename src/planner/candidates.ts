/** The workers on which the tasks of a step may be placed: their eligibility, free capacity, tickets and advice. */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {subtract} from "../core/resources.js"
import type {Contention} from "../pipelines/contention.js"
import type {Queue} from "../pipelines/model.js"
import type {WorkerOption} from "../pipelines/placing.js"
import type {OpenStep} from "./opensteps.js"
import type {StepRun, WorkerState} from "./state.js"

/** A ticket with less validity left may have expired when the start order arrives at the worker. */
const TICKET_MARGIN_MS: Milliseconds = 60

/** True when the worker may be given new tasks. */
export function isUsable(worker: WorkerState, now: Milliseconds): boolean {
  const known = worker.isListed && worker.isFenced && worker.isRecorded && worker.isReachable
  return (
    known &&
    !worker.listing.leaving &&
    !worker.isClosed &&
    worker.unknownTaskCount === 0 &&
    now >= worker.avoidUntil
  )
}

export function freeCapacityOf(worker: WorkerState): Resources {
  return subtract(worker.listing.capacity, worker.used)
}

/** The number of tasks of the step that are assigned to the worker. */
export function countTasksAt(run: StepRun, worker: WorkerState): number {
  let held = 0
  for (const assignment of run.assignments) if (assignment.worker === worker) held += 1
  return held
}

/** Describes the worker as the placement functions expect it. */
export function toWorkerOption(run: StepRun, worker: WorkerState, contention: Contention): WorkerOption {
  let serving = 0
  let filling = 0
  for (const other of worker.assignments.values()) {
    if (other.run.step.tailLimit > 0) serving += 1
    if (other.run.step.fills) filling += 1
  }
  const ends = worker.failureWeight + worker.successWeight
  return {
    id: worker.listing.id,
    rack: worker.listing.rack,
    free: freeCapacityOf(worker),
    capacity: worker.listing.capacity,
    held: countTasksAt(run, worker),
    latencySensitiveTasks: serving,
    bestEffortTasks: filling,
    failureShare: ends > 0 ? worker.failureWeight / (ends + 1) : 0,
    contention: contention.get(worker.listing.id) ?? 0,
    speed: 1,
  }
}

/** True when a ticket that permits the step on the worker is valid long enough for a start. */
export function hasTicket(run: StepRun, worker: WorkerState, now: Milliseconds): boolean {
  const held = run.tickets.get(worker.listing.id)
  return held !== undefined && held.expiresAt > now + TICKET_MARGIN_MS
}

/** Workers of the queue's service that carry the label that the step requires. */
export function findEligibleWorkers(
  run: StepRun,
  queue: Queue,
  pool: readonly WorkerState[],
): readonly WorkerState[] {
  const {label} = run.step
  return pool.filter(
    ({listing}) => listing.service === queue.service && (label === "" || listing.labels.includes(label)),
  )
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
