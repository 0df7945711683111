/** Resources of workers and tasks, and the arithmetic on them. */

/** Processors in cores, memory in MiB, accelerators as whole devices. */
export interface Resources {
  readonly processors: number
  readonly memoryMebibytes: number
  readonly accelerators: number
}

export const NOTHING: Resources = {processors: 0, memoryMebibytes: 0, accelerators: 0}

/** Guards sums of decimal processors against rounding. */
const ROUNDING = 1e-9

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

/** True when the demand is within what is free, in every dimension. */
export function fits(demand: Resources, free: Resources): boolean {
  return (
    demand.processors <= free.processors + ROUNDING &&
    demand.memoryMebibytes <= free.memoryMebibytes + ROUNDING &&
    demand.accelerators <= free.accelerators
  )
}

/** The largest share that the amount takes of the whole, over all dimensions that the whole has. */
export function dominantShare(amount: Resources, whole: Resources): number {
  const share = (part: number, total: number): number => (total > 0 ? part / total : 0)
  return Math.max(
    share(amount.processors, whole.processors),
    share(amount.memoryMebibytes, whole.memoryMebibytes),
    share(amount.accelerators, whole.accelerators),
  )
}

/** Component by component, the larger of the two. */
export function largest(one: Resources, other: Resources): Resources {
  return {
    processors: Math.max(one.processors, other.processors),
    memoryMebibytes: Math.max(one.memoryMebibytes, other.memoryMebibytes),
    accelerators: Math.max(one.accelerators, other.accelerators),
  }
}

/** A key that is equal for equal demands. */
export function shapeKey(demand: Resources): string {
  return `${demand.processors}/${demand.memoryMebibytes}/${demand.accelerators}`
}

/** A text for people. */
export function describeResources(resources: Resources): string {
  const {processors, memoryMebibytes, accelerators} = resources
  return `${processors} processors, ${memoryMebibytes} MiB, ${accelerators} accelerators`
}
