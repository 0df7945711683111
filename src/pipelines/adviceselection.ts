/**
 * Selects the workers to name in a call to the advice service, which says on which workers a step may run and issues
 * tickets for them. A call costs a fixed time plus a small time for each worker named, and an instance makes one
 * call at a time. Whether a worker is allowed does not change, but tickets expire. A call therefore names every worker
 * that the step may use, as long as the names cost less time than the call itself. Under peak load with many steps,
 * one call for each freed worker would keep all instances busy. So would calls for large gangs that wait until enough
 * capacity is free: their tickets expire unused, and less urgent steps that have capacity wait for the calls. A gang asks
 * once all of its tasks fit.
 */
import type {Resources} from "../core/resources.js"
import {fits} from "../core/resources.js"
import type {AdviceTerms, Step} from "./model.js"
import type {Milliseconds} from "../core/clock.js"

/** A worker that an advice call may name. */
export interface AdviceCandidate {
  readonly id: string
  readonly free: Resources
  /** Tasks of the same step that are on the worker. */
  readonly held: number
  /** An earlier call has reported that the step may run on the worker. */
  readonly allowed: boolean
  /** The tasks run faster on the worker than on others. */
  readonly isNear?: boolean
  /** Speed relative to a typical worker, which has 1. */
  readonly speed?: number
}

/** Limit of the advice service on the workers in one call. */
const MAX_WORKERS_PER_CALL = 100
/** Share of the call's fixed time that the named workers may add to it. */
const MAX_NAMING_TIME_SHARE = 0.6
/** Number of workers that a call may name however long they take. */
const MIN_WORKERS_PER_CALL = 8

/** Share of a call's workers that may be near ones in use, where enough others are free. */
const NEAR_IN_USE_SHARE = 0.5

function hasFreeCapacity(step: Step, candidate: AdviceCandidate): boolean {
  const demand = step.fills ? {...step.demand, processors: 0} : step.demand
  return fits(demand, candidate.free) && (step.perWorker === 0 || candidate.held < step.perWorker)
}

/** How many times the demand fits into what is free in one dimension. */
function countFitting(demand: number, free: number): number {
  return demand > 0 ? Math.floor(free / demand) : Infinity
}

/** The number of tasks of the step for which the candidate has free capacity. */
function countSlots(step: Step, {free, held}: AdviceCandidate): number {
  const {processors, memoryMebibytes, accelerators} = step.demand
  const slots = Math.min(
    step.fills ? Infinity : countFitting(processors, free.processors),
    countFitting(memoryMebibytes, free.memoryMebibytes),
    countFitting(accelerators, free.accelerators),
    step.perWorker === 0 ? Infinity : step.perWorker - held,
  )
  return Math.max(0, slots)
}

/** False if so many tasks of the step cannot start together on the candidates, whichever of them the service allows. */
export function canStartTogether(step: Step, tasks: number, candidates: readonly AdviceCandidate[]): boolean {
  let slots = 0
  for (const candidate of candidates) {
    slots += countSlots(step, candidate)
    if (slots >= tasks) return true
  }
  return false
}

function workerLimit(terms: AdviceTerms): number {
  const affordable =
    terms.perWorker > 0 ? (terms.base * MAX_NAMING_TIME_SHARE) / terms.perWorker : MAX_WORKERS_PER_CALL
  return Math.min(MAX_WORKERS_PER_CALL, Math.max(MIN_WORKERS_PER_CALL, Math.floor(affordable)))
}

/**
 * Returns the ids of the workers to name, workers with free capacity first and among equals those known to be
 * allowed. When no worker has free capacity, returns none unless `ahead` is set, which requests tickets in advance.
 */
export function chooseWorkersForAdvice(
  step: Step,
  candidates: readonly AdviceCandidate[],
  terms: AdviceTerms,
  ahead: boolean,
): readonly string[] {
  const rated = candidates.map(candidate => ({candidate, isFree: hasFreeCapacity(step, candidate)}))
  if (!ahead && !rated.some(({isFree}) => isFree)) return []
  rated.sort(
    (one, other) =>
      Number(other.isFree) - Number(one.isFree) ||
      Number(other.candidate.isNear ?? false) - Number(one.candidate.isNear ?? false) ||
      Number(other.candidate.allowed) - Number(one.candidate.allowed) ||
      (other.candidate.speed ?? 1) - (one.candidate.speed ?? 1),
  )
  const limit = workerLimit(terms)
  const named = rated.slice(0, limit)
  // Whether to wait for a near worker that is in use depends on whether the step may run there.
  const nearInUse = rated
    .slice(limit)
    .filter(({candidate}) => candidate.isNear)
    .slice(0, Math.floor(limit * NEAR_IN_USE_SHARE))
  return [...named.slice(0, limit - nearInUse.length), ...nearInUse].map(({candidate}) => candidate.id)
}

/** Time that the advice service needs for a call with this many workers, rounded up to whole milliseconds. */
export function adviceCallDuration(terms: AdviceTerms, workers: number): Milliseconds {
  return Math.ceil(terms.base + terms.perWorker * workers)
}
