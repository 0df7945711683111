/** Resource vectors of workers and tasks, with their arithmetic. */

/** Processors in cores, memory in MiB, accelerators as whole devices. */
export interface Resources {
  readonly processors: number
  readonly memoryMebibytes: number
  readonly accelerators: number
}

export const NO_RESOURCES: Resources = {processors: 0, memoryMebibytes: 0, accelerators: 0}

/** Allowance for rounding errors in sums of fractional amounts. */
const ROUNDING_TOLERANCE = 1e-9

export function add(one: Resources, other: Resources): Resources {
  return {
    processors: one.processors + other.processors,
    memoryMebibytes: one.memoryMebibytes + other.memoryMebibytes,
    accelerators: one.accelerators + other.accelerators,
  }
}

export function subtract(one: Resources, other: Resources): Resources {
  return {
    processors: one.processors - other.processors,
    memoryMebibytes: one.memoryMebibytes - other.memoryMebibytes,
    accelerators: one.accelerators - other.accelerators,
  }
}

export function scale(resources: Resources, factor: number): Resources {
  return {
    processors: resources.processors * factor,
    memoryMebibytes: resources.memoryMebibytes * factor,
    accelerators: resources.accelerators * factor,
  }
}

/** Returns whether there is nothing of any resource, apart from rounding errors. */
export function isNothing({processors, memoryMebibytes, accelerators}: Resources): boolean {
  return Math.max(processors, memoryMebibytes, accelerators) <= ROUNDING_TOLERANCE
}

/** Returns whether the demand fits into the free resources in every dimension. */
export function fits(demand: Resources, free: Resources): boolean {
  return (
    demand.processors <= free.processors + ROUNDING_TOLERANCE &&
    demand.memoryMebibytes <= free.memoryMebibytes + ROUNDING_TOLERANCE &&
    demand.accelerators <= free.accelerators
  )
}

/** Returns whether the demand fits into what is left of the capacity. Allocates nothing, unlike `fits` and `subtract`. */
export function fitsBeside(demand: Resources, used: Resources, capacity: Resources): boolean {
  return (
    demand.processors <= capacity.processors - used.processors + ROUNDING_TOLERANCE &&
    demand.memoryMebibytes <= capacity.memoryMebibytes - used.memoryMebibytes + ROUNDING_TOLERANCE &&
    demand.accelerators <= capacity.accelerators - used.accelerators
  )
}

/** Returns the largest share that the amount takes of the whole, over the dimensions of which the whole has any. */
export function dominantShare(amount: Resources, whole: Resources): number {
  const share = (part: number, total: number): number => (total > 0 ? part / total : 0)
  return Math.max(
    share(amount.processors, whole.processors),
    share(amount.memoryMebibytes, whole.memoryMebibytes),
    share(amount.accelerators, whole.accelerators),
  )
}

/** Returns the dominant share of a user with the weight, relative to that of users with weight 1. */
export function weightedShare(usage: Resources, whole: Resources, weight: number): number {
  return dominantShare(usage, whole) / weight
}

export function componentwiseMin(one: Resources, other: Resources): Resources {
  return {
    processors: Math.min(one.processors, other.processors),
    memoryMebibytes: Math.min(one.memoryMebibytes, other.memoryMebibytes),
    accelerators: Math.min(one.accelerators, other.accelerators),
  }
}

export function componentwiseMax(one: Resources, other: Resources): Resources {
  return {
    processors: Math.max(one.processors, other.processors),
    memoryMebibytes: Math.max(one.memoryMebibytes, other.memoryMebibytes),
    accelerators: Math.max(one.accelerators, other.accelerators),
  }
}

/** Returns a text that is equal for equal demands, for use as a map key. */
export function demandKey(demand: Resources): string {
  return `${demand.processors}/${demand.memoryMebibytes}/${demand.accelerators}`
}

/** Returns a readable text. */
export function describeResources(resources: Resources): string {
  const {processors, memoryMebibytes, accelerators} = resources
  return `${processors} processors, ${memoryMebibytes} MiB, ${accelerators} accelerators`
}
