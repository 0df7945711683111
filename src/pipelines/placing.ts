/**
 * Chooses workers for the tasks of one step with a greedy best-fit over a cost function. Pure functions without side
 * effects. On a nearly full fleet, packing leaves free capacity in pieces that other kinds of task can use.
 */
import type {Resources} from "../core/resources.js"
import {dominantShare, fits, subtract} from "../core/resources.js"
import type {Step} from "./model.js"

/** A worker on which the step may run, with its free capacity. */
export interface WorkerOption {
  readonly id: string
  readonly rack: string
  readonly free: Resources
  readonly capacity: Resources
  /** Tasks of the same step that are on the worker already. */
  readonly held: number
  /** Latency-sensitive tasks on the worker: those with a tail-latency limit. */
  readonly latencySensitiveTasks: number
  /** Best-effort tasks on the worker: those that use processors left over by others. */
  readonly bestEffortTasks: number
  /** Share of recent runs on the worker that failed, from 0 to 1. */
  readonly failureShare: number
  /** Demand for the worker from waiting steps that may run on few workers; see `Contention`. */
  readonly contention: number
  /** Speed relative to a typical worker of the service, which has 1. */
  readonly speed: number
}

interface Candidate {
  readonly option: WorkerOption
  free: Resources
  held: number
  /** Tasks of the step that this placement has put on the worker. */
  placed: number
}

/** Outweighs packing, since a task on another rack than its data loses at least half its speed. */
const REMOTE_DATA_PENALTY = 2
/** Best-effort and latency-sensitive tasks slow each other down, so they share a worker only as a last resort. */
const INTERFERENCE_PENALTY = 4
/** A run that fails on an unreliable worker wastes the whole attempt. */
const FAILURE_PENALTY = 3
const SPEED_WEIGHT = 1
/** A contention of one whole worker weighs as much as the packing difference between an empty and a full worker. */
const CONTENTION_WEIGHT = 1
/** Contention above this adds no cost. */
const MAX_CONTENTION = 2

/** The capacity that a task occupies on a worker. The processors of a best-effort task are not counted. */
export function requiredCapacity(step: Step): Resources {
  return step.fills ? {...step.demand, processors: 0} : step.demand
}

/** Cost of placing one task on the candidate: the share of it left free, plus penalties. Lower is better. */
function cost(step: Step, demand: Resources, candidate: Candidate): number {
  const {option} = candidate
  const left = dominantShare(subtract(candidate.free, demand), option.capacity)
  const remoteData = step.preferredRack !== "" && step.preferredRack !== option.rack ? REMOTE_DATA_PENALTY : 0
  const interference =
    (step.fills && option.latencySensitiveTasks > 0) || (step.tailLimit > 0 && option.bestEffortTasks > 0)
      ? INTERFERENCE_PENALTY
      : 0
  // Best-effort tasks on one worker share its unused processors, so they are spread rather than packed.
  const crowding = step.fills ? option.bestEffortTasks + candidate.placed : 0
  // Long-running tasks have no end that a fast worker brings nearer.
  const speed = step.lasting || step.fills ? 1 : option.speed
  return (
    (step.fills ? -left : left) +
    remoteData +
    interference +
    crowding +
    option.failureShare * FAILURE_PENALTY +
    Math.min(MAX_CONTENTION, option.contention) * CONTENTION_WEIGHT -
    speed * SPEED_WEIGHT
  )
}

/** The cost of a task on the candidate, or infinity where it does not fit. */
function costIfItFits(step: Step, demand: Resources, candidate: Candidate): number {
  if (!fits(demand, candidate.free)) return Infinity
  if (step.perWorker > 0 && candidate.held >= step.perWorker) return Infinity
  return cost(step, demand, candidate)
}

function indexOfLowest(costs: readonly number[]): number {
  let best = -1
  let lowest = Infinity
  costs.forEach((value, index) => {
    if (value >= lowest) return
    lowest = value
    best = index
  })
  return best
}

function pack(step: Step, wanted: number, options: readonly WorkerOption[]): readonly string[] {
  const demand = requiredCapacity(step)
  const candidates = options.map(option => ({option, free: option.free, held: option.held, placed: 0}))
  const costs = candidates.map(candidate => costIfItFits(step, demand, candidate))
  const chosen: string[] = []
  while (chosen.length < wanted) {
    const index = indexOfLowest(costs)
    const candidate = candidates[index]
    if (!candidate) break
    candidate.free = subtract(candidate.free, demand)
    candidate.held += 1
    candidate.placed += 1
    costs[index] = costIfItFits(step, demand, candidate)
    chosen.push(candidate.option.id)
  }
  return chosen
}

/** Places all tasks on a single rack, the first that has the capacity; returns none when there is no such rack. */
function packOnRack(step: Step, wanted: number, options: readonly WorkerOption[]): readonly string[] {
  const racks = new Set(options.map(option => option.rack))
  for (const rack of racks) {
    const chosen = pack(
      step,
      wanted,
      options.filter(option => option.rack === rack),
    )
    if (chosen.length === wanted) return chosen
  }
  return []
}

/**
 * Returns the id of a worker for each task that can be placed, at most `wanted`. A gang gets workers for all `wanted`
 * tasks or none. A step with `sameRack` is placed on one rack where possible, else across racks.
 */
export function placeTasks(step: Step, wanted: number, options: readonly WorkerOption[]): readonly string[] {
  if (step.sameRack) {
    const together = packOnRack(step, wanted, options)
    if (together.length === wanted) return together
  }
  const chosen = pack(step, wanted, options)
  return step.gang && chosen.length < wanted ? [] : chosen
}
