/**
 * Reserves workers for tasks that find no room now. Smaller work that is less urgent would otherwise take each freed
 * piece, and a task that needs a whole worker, or a gang that needs several, would wait for ever. Others may still
 * use what the reservation leaves.
 */
import type {Resources} from "../core/resources.js"
import {add, fits, NOTHING} from "../core/resources.js"
import type {Step} from "./model.js"
import type {WorkerOption} from "./placing.js"
import {placeTasks} from "./placing.js"

/** Room that is kept, by worker. */
export type Reservations = ReadonlyMap<string, Resources>

export const NO_RESERVATIONS: Reservations = new Map()

/** What others may use of a worker, so that the reserved room is there once the worker's present work has ended. */
export function freeBeside(option: WorkerOption, reserved: Resources | undefined): Resources {
  if (!reserved) return option.free
  return {
    processors: option.free.processors - reserved.processors,
    memoryMebibytes: option.free.memoryMebibytes - reserved.memoryMebibytes,
    accelerators: option.free.accelerators - reserved.accelerators,
  }
}

/**
 * Adds a reservation for the tasks of a step, on the allowed workers that have most free now. Tasks that would not
 * even fit if these workers were empty get none; a gang gets all or none.
 */
export function reserve(
  reservations: Reservations,
  step: Step,
  wanted: number,
  allowed: readonly WorkerOption[],
): Reservations {
  const empty = allowed.map(option => {
    const reserved = reservations.get(option.id) ?? NOTHING
    const bare = {...option, free: option.capacity}
    return {...option, free: freeBeside(bare, reserved), failureShare: busyShare(option)}
  })
  const chosen = placeTasks(step, wanted, empty)
  if (chosen.length === 0) return reservations
  const next = new Map(reservations)
  for (const id of chosen) next.set(id, add(next.get(id) ?? NOTHING, step.demand))
  return next
}

/** Stands in for the time until the worker is free: the share of it that is in use. */
function busyShare({free, capacity}: WorkerOption): number {
  if (!fits(free, capacity)) return 0
  const share = (part: number, whole: number): number => (whole > 0 ? 1 - part / whole : 0)
  return Math.max(
    share(free.processors, capacity.processors),
    share(free.memoryMebibytes, capacity.memoryMebibytes),
    share(free.accelerators, capacity.accelerators),
  )
}
