/**
 * Reserves workers for a gang that finds no room now. Smaller work that is less urgent would otherwise take each
 * freed piece, and a gang that needs whole workers would wait for ever. Others may still use what the gang leaves.
 */
import type {Resources} from "../core/resources.js"
import {add, fits, NOTHING} from "../core/resources.js"
import type {Step} from "./model.js"
import type {WorkerOption} from "./placing.js"
import {placeTasks} from "./placing.js"

/** Room that is kept for gangs, by worker. */
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
 * Adds a reservation for all tasks of the gang, on the allowed workers that have most free now. Gives the same
 * reservations when the gang would not even fit on these workers if they were empty.
 */
export function reserve(
  reservations: Reservations,
  step: Step,
  allowed: readonly WorkerOption[],
): Reservations {
  const empty = allowed.map(option => {
    const reserved = reservations.get(option.id) ?? NOTHING
    const bare = {...option, free: option.capacity}
    return {...option, free: freeBeside(bare, reserved), failureShare: busyShare(option), held: 0}
  })
  const chosen = placeTasks(step, step.count, empty)
  if (chosen.length < step.count) return reservations
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
