/**
 * Reserves capacity for tasks that fit on no worker at present. Without a reservation, smaller and less urgent tasks
 * would take each piece of capacity as it is freed, and a task that needs a whole worker, or a gang that needs several,
 * would starve. Other tasks may use the capacity that the reservations leave.
 */
import type {Resources} from "../core/resources.js"
import {add, fits, NO_RESOURCES} from "../core/resources.js"
import type {Step} from "./model.js"
import type {WorkerOption} from "./placing.js"
import {placeTasks} from "./placing.js"

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
