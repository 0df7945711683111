/**
 * Chooses which workers to name in a call for advice. A call costs a fixed time and a little for each worker, and
 * one instance makes one call at a time; so a call names enough workers that the answer very likely has room, and
 * no more. Answers the load of many short steps at once.
 */
import {fits, subtract} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
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
/** Room to ask for, against what is needed: a refusal costs another whole call. */
const SAFETY_FACTOR = 2
/** Tasks counted for one worker; beyond it more workers are named, for the sake of spreading. */
const MOST_TASKS_COUNTED = 4

function roomFor(step: Step, option: AskOption): number {
  const demand = step.fills ? {...step.demand, processors: 0} : step.demand
  let free = option.free
  let count = 0
  while (count < MOST_TASKS_COUNTED && fits(demand, free)) {
    if (step.perWorker > 0 && option.held + count >= step.perWorker) break
    free = subtract(free, demand)
    count += 1
  }
  return count
}

/**
 * Names workers until the expected room, given the share that is usually allowed, is twice what is wanted.
 * Workers without room come last and only when `ahead` is set.
 */
export function chooseWorkersToAsk(
  step: Step,
  wanted: number,
  options: readonly AskOption[],
  allowedShare: number,
  ahead: boolean,
): readonly string[] {
  const rated = options
    .map(option => ({option, room: roomFor(step, option)}))
    .filter(({room}) => ahead || room > 0)
    .sort((one, other) => Number(other.option.allowed) - Number(one.option.allowed) || other.room - one.room)
  const chosen: string[] = []
  let expected = 0
  for (const {option, room} of rated) {
    if (chosen.length >= MOST_WORKERS || expected >= wanted * SAFETY_FACTOR) break
    chosen.push(option.id)
    expected += room * (option.allowed ? SAFETY_FACTOR : allowedShare)
  }
  return chosen
}

/** How long the advice service works on a call, in whole milliseconds. */
export function askDuration(terms: AdviceTerms, workers: number): Milliseconds {
  return Math.ceil(terms.base + terms.perWorker * workers)
}
