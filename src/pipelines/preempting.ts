/**
 * Chooses running tasks to preempt so that tasks of a waiting step fit. Victims resume from checkpoints, and each must
 * have far more work left than the waiting task, so that the wait that is saved outweighs the cost of the switch. The
 * planner offers only tasks that write checkpoints as victims. Preemption helps in two situations: a burst of urgent
 * work finds all workers occupied by lower-priority work, or a step may run on few workers and one of them is held by a
 * task that runs many times longer than usual.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {add, fits, subtract} from "../core/resources.js"

/** A running task that may be preempted. */
export interface Victim {
  readonly key: string
  readonly demand: Resources
  /** Estimated run time left. */
  readonly remaining: Milliseconds
}

/** A worker on which the step may run, with its free capacity. */
export interface PreemptionOption {
  readonly free: Resources
  readonly victims: readonly Victim[]
}

/** Minimum ratio of the victim's remaining run time to the estimate of the waiting task. */
const REMAINING_FACTOR = 2
/** Approximate cost of stopping the victim, fetching its checkpoint on another worker and starting the waiting task. */
const SWITCH_COST_MS: Milliseconds = 1000

/** Returns whether the victim has enough work left to be preempted for a task with the given estimate. */
function isWorthPreempting(victim: Victim, estimate: Milliseconds): boolean {
  return victim.remaining >= REMAINING_FACTOR * estimate + SWITCH_COST_MS
}

/**
 * Chooses victims on one worker, most remaining work first, until one task fits; undefined when it cannot fit. The
 * result is empty when the task fits already.
 */
function victimsFor(
  demand: Resources,
  estimate: Milliseconds,
  option: PreemptionOption,
): readonly Victim[] | undefined {
  const chosen: Victim[] = []
  let {free} = option
  const longestFirst = option.victims
    .filter(victim => isWorthPreempting(victim, estimate))
    .sort((one, other) => other.remaining - one.remaining)
  for (const victim of longestFirst) {
    if (fits(demand, free)) break
    free = add(free, victim.demand)
    chosen.push(victim)
  }
  return fits(demand, free) ? chosen : undefined
}

/** Returns the option after its victims were stopped and the task was placed there. */
function occupy(option: PreemptionOption, demand: Resources, chosen: readonly Victim[]): PreemptionOption {
  const freed = chosen.reduce((total, victim) => add(total, victim.demand), option.free)
  return {free: subtract(freed, demand), victims: option.victims.filter(victim => !chosen.includes(victim))}
}

/**
 * Returns the keys of the tasks to preempt so that `tasks` tasks of the given demand fit. Each task goes to the worker
 * that needs the fewest preemptions at that point. Returns none unless all of the tasks fit.
 */
export function choosePreemption(
  demand: Resources,
  estimate: Milliseconds,
  tasks: number,
  options: readonly PreemptionOption[],
): readonly string[] {
  const remainingOptions = [...options]
  const preempted: string[] = []
  for (let task = 0; task < tasks; task += 1) {
    let best: {readonly index: number; readonly chosen: readonly Victim[]} | undefined
    for (const [index, option] of remainingOptions.entries()) {
      const chosen = victimsFor(demand, estimate, option)
      if (chosen && (!best || chosen.length < best.chosen.length)) best = {index, chosen}
    }
    const option = best && remainingOptions[best.index]
    if (!best || !option) return []
    remainingOptions[best.index] = occupy(option, demand, best.chosen)
    preempted.push(...best.chosen.map(({key}) => key))
  }
  return preempted
}
