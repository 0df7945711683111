/**
 * Chooses which workers to name in a call for advice. A call costs a fixed time and a little for each worker, and
 * one instance makes one call at a time. What is allowed never changes, but tickets lapse; so a call that is made at
 * all names every worker that may come into question, as long as the names cost less than the call. Answers the
 * load of many steps at a crest, where a call for each freed worker kept the instances busy.
 */
import type {Resources} from "../core/resources.js"
import {fits} from "../core/resources.js"
import type {AdviceTerms, Step} from "./model.js"
import type {Milliseconds} from "../core/clock.js"

/** A worker that a call may name. */
export interface AskOption {
  readonly id: string
  readonly free: Resources
  readonly held: number
  /** Known to be allowed, from an earlier call. */
  readonly allowed: boolean
}

/** The most workers that a call may name, as the platform states. */
const MOST_WORKERS = 100
/** The names may take this share of the call's fixed time. */
const NAMES_SHARE = 0.6
/** So many workers are named in any case. */
const LEAST_WORKERS = 8

function hasRoom(step: Step, option: AskOption): boolean {
  const demand = step.fills ? {...step.demand, processors: 0} : step.demand
  return fits(demand, option.free) && (step.perWorker === 0 || option.held < step.perWorker)
}

function mostNames(terms: AdviceTerms): number {
  const affordable = terms.perWorker > 0 ? (terms.base * NAMES_SHARE) / terms.perWorker : MOST_WORKERS
  return Math.min(MOST_WORKERS, Math.max(LEAST_WORKERS, Math.floor(affordable)))
}

/**
 * Names workers: those with room first, and among them those known to be allowed. Without any room a call is made
 * only when `ahead` is set.
 */
export function chooseWorkersToAsk(
  step: Step,
  options: readonly AskOption[],
  terms: AdviceTerms,
  ahead: boolean,
): readonly string[] {
  const rated = options.map(option => ({option, room: hasRoom(step, option)}))
  if (!ahead && !rated.some(({room}) => room)) return []
  return rated
    .sort(
      (one, other) =>
        Number(other.room) - Number(one.room) || Number(other.option.allowed) - Number(one.option.allowed),
    )
    .slice(0, mostNames(terms))
    .map(({option}) => option.id)
}

/** How long the advice service works on a call, in whole milliseconds. */
export function askDuration(terms: AdviceTerms, workers: number): Milliseconds {
  return Math.ceil(terms.base + terms.perWorker * workers)
}
