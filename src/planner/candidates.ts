/** The workers that come into question for a step: in use, free room, tickets, and how placing sees them. */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {subtract} from "../core/resources.js"
import type {Contention} from "../pipelines/contention.js"
import type {Queue} from "../pipelines/model.js"
import type {WorkerOption} from "../pipelines/placing.js"
import type {OpenStep} from "./opensteps.js"
import type {StepRun, WorkerState} from "./state.js"

/** A ticket with less than this left may have lapsed when the start arrives. */
const TICKET_MARGIN_MS: Milliseconds = 60

export function isUsable(worker: WorkerState, now: Milliseconds): boolean {
  const known = worker.listed && worker.fenced && worker.recorded && worker.reachable
  return (
    known && !worker.listing.leaving && !worker.closed && worker.strangers === 0 && now >= worker.avoidUntil
  )
}

export function freeAt(worker: WorkerState): Resources {
  return subtract(worker.listing.capacity, worker.used)
}

export function heldBy(run: StepRun, worker: WorkerState): number {
  let held = 0
  for (const assignment of run.assignments) if (assignment.worker === worker) held += 1
  return held
}

export function optionOf(run: StepRun, worker: WorkerState, contention: Contention): WorkerOption {
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
    free: freeAt(worker),
    capacity: worker.listing.capacity,
    held: heldBy(run, worker),
    latencySensitiveTasks: serving,
    bestEffortTasks: filling,
    failureShare: ends > 0 ? worker.failureWeight / (ends + 1) : 0,
    contention: contention.get(worker.listing.id) ?? 0,
    speed: 1,
  }
}

export function hasTicket(run: StepRun, worker: WorkerState, now: Milliseconds): boolean {
  const held = run.tickets.get(worker.listing.id)
  return held !== undefined && held.expires > now + TICKET_MARGIN_MS
}

export function eligible(run: StepRun, queue: Queue, pool: readonly WorkerState[]): readonly WorkerState[] {
  const {label} = run.step
  return pool.filter(
    ({listing}) => listing.service === queue.service && (label === "" || listing.labels.includes(label)),
  )
}

/** Workers that the queue's policy is known to allow. */
export function allowedOf({run, queue}: OpenStep, workers: readonly WorkerState[]): readonly WorkerState[] {
  return workers.filter(worker => queue.advice === undefined || run.verdicts.get(worker.listing.id) === true)
}
