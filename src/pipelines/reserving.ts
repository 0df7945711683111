/**
 * Reserves capacity for tasks that fit on no worker at present. Without a reservation, smaller and less urgent tasks
 * would take each piece of capacity as it is freed, and a task that needs a whole worker, or a gang that needs several,
 * would starve. Other tasks may use the capacity that the reservations leave.
 *
 * A reservation can last as long as the tasks that are running, and nothing should stand idle meanwhile that others need.
 * So a task that should end before the reserved capacity becomes free may use it, which is known as backfilling. A task
 * that lasts has to run whatever waits: it takes reserved capacity if there is no other, where it harms the least.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {add, componentwiseMin, fits, NO_RESOURCES, scale, subtract} from "../core/resources.js"
import type {Step} from "./model.js"
import type {WorkerOption} from "./placing.js"
import {placeTasks, requiredCapacity} from "./placing.js"
import type {ExpectedRelease} from "./waiting.js"
import {expectOpenings} from "./waiting.js"

/** Reserved capacity by worker id. */
export type Reservations = ReadonlyMap<string, Resources>

export const NO_RESERVATIONS: Reservations = new Map()

/**
 * Returns the free capacity of a worker that other tasks may use. It is negative where the reservation exceeds what is
 * free, so that the reserved capacity is available once the tasks now on the worker have ended.
 */
export function freeOutsideReservation(option: WorkerOption, reserved: Resources | undefined): Resources {
  if (!reserved) return option.free
  return {
    processors: option.free.processors - reserved.processors,
    memoryMebibytes: option.free.memoryMebibytes - reserved.memoryMebibytes,
    accelerators: option.free.accelerators - reserved.accelerators,
  }
}

/**
 * Adds a reservation for `wanted` tasks of a step, preferring the allowed workers that are least used now. Tasks that
 * would not fit beside existing reservations even on idle workers get none; a gang gets all or none.
 */
export function reserve(
  reservations: Reservations,
  step: Step,
  wanted: number,
  allowed: readonly WorkerOption[],
): Reservations {
  const idleOptions = allowed.map(option => {
    const reserved = reservations.get(option.id) ?? NO_RESOURCES
    const idle = {...option, free: option.capacity}
    return {...option, free: freeOutsideReservation(idle, reserved), failureShare: usedShare(option)}
  })
  const chosen = placeTasks(step, wanted, idleOptions)
  if (chosen.length === 0) return reservations
  const next = new Map(reservations)
  for (const id of chosen) next.set(id, add(next.get(id) ?? NO_RESOURCES, step.demand))
  return next
}

/** The share of the worker in use. It takes the place of the failure share, as an estimate of the time until it is free. */
function usedShare({free, capacity}: WorkerOption): number {
  if (!fits(free, capacity)) return 0
  const share = (part: number, whole: number): number => (whole > 0 ? 1 - part / whole : 0)
  return Math.max(
    share(free.processors, capacity.processors),
    share(free.memoryMebibytes, capacity.memoryMebibytes),
    share(free.accelerators, capacity.accelerators),
  )
}

/** Run times vary, and a task that outlasts its expected run time holds up the step for which the capacity is reserved. */
const RUN_TIME_MARGIN = 2

/**
 * True if a task that starts on the worker now should end before one of the tasks for which capacity is reserved there
 * finds room. `smallest` is the least that one of them needs, and `releases` are expected ends of the tasks on the worker.
 */
export function endsBeforeReserved(
  runTime: Milliseconds,
  free: Resources,
  smallest: Resources,
  releases: readonly ExpectedRelease[],
): boolean {
  const longest = runTime * RUN_TIME_MARGIN
  const place = {free, limit: 1, releases}
  return expectOpenings(smallest, 1, [place], longest) > longest
}

/** A worker on which a task that lasts may run. */
export interface LastingPlace {
  /** With all that is free, reserved or not. */
  readonly option: WorkerOption
  readonly reserved: Resources | undefined
  /** What would be free if all tasks had ended but those that last. */
  readonly withoutEnding: Resources
}

/** What the worker has free and does not need for the reservation once the tasks that end have ended. */
function freeBesideReservation({option, reserved, withoutEnding}: LastingPlace): Resources {
  return reserved ? componentwiseMin(option.free, subtract(withoutEnding, reserved)) : option.free
}

/**
 * Places tasks that last: on capacity that is not reserved, else where the reservation can be met all the same once other
 * tasks have ended, else on any reserved capacity. `restarts` of the tasks have run before, so that what is reserved was
 * not there before either. Any other needs room for two before it takes the place of a task that waits, as users of a
 * lasting task expect it to start then.
 */
export function placeLastingTasks(
  step: Step,
  wanted: number,
  restarts: number,
  places: readonly LastingPlace[],
): readonly string[] {
  const chosen: string[] = []

  /** The workers with the given free capacity, less what the tasks take that were placed so far. */
  function listOptions(freeOf: (place: LastingPlace) => Resources): readonly WorkerOption[] {
    return places.map(place => {
      const placed = chosen.filter(id => id === place.option.id).length
      const free = subtract(freeOf(place), scale(requiredCapacity(step), placed))
      return {...place.option, free, held: place.option.held + placed}
    })
  }

  function placeOn(freeOf: (place: LastingPlace) => Resources, most: number): void {
    if (most > 0) chosen.push(...placeTasks(step, most, listOptions(freeOf)))
  }

  placeOn(({option, reserved}) => freeOutsideReservation(option, reserved), wanted)
  placeOn(freeBesideReservation, wanted - chosen.length)
  const left = wanted - chosen.length
  if (left === 0) return chosen
  const anyFree = ({option}: LastingPlace): Resources => option.free
  const open = listOptions(anyFree).filter(({held}) => step.perWorker === 0 || held < step.perWorker)
  const room = placeTasks({...step, gang: false, perWorker: 0}, 2 * left, open).length
  const allowed = Math.min(left, Math.max(restarts - chosen.length, Math.floor(room / 2)))
  if (!step.gang || allowed === left) placeOn(anyFree, allowed)
  return chosen
}
