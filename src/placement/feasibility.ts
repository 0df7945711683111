/**
 * Checks whether the workers of a pool could run a job if nothing else ran there. Free capacity plays no part: a job
 * that passes may still have to wait.
 */
import {fits} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {JobSpecification} from "../jobs/job.js"

/** The capacities of the workers of a pool. */
export interface PoolCapacity {
  /** The maximum of each resource over all workers; no single worker need have them all. */
  readonly largestCapacity: Resources
  /** Capacity of each worker. */
  readonly workers: readonly Resources[]
}

/** Explains why the pool can never run the job; undefined if it can. */
export function explainInfeasibility(
  specification: JobSpecification,
  poolCapacity: PoolCapacity | undefined,
): string | undefined {
  const {demand, pool, kind, tasks} = specification
  if (!poolCapacity || poolCapacity.workers.length === 0)
    return `the pool ${pool} has no workers; choose a pool that has some`
  if (!poolCapacity.workers.some(worker => fits(demand, worker))) {
    const {processors, memoryMebibytes, accelerators} = poolCapacity.largestCapacity
    return `no worker of pool ${pool} is large enough: at most ${processors} processors, ${memoryMebibytes} MiB and ${accelerators} accelerators fit`
  }
  if (kind !== "gang") return undefined
  const taskCapacity = poolCapacity.workers.reduce(
    (sum, worker) => sum + countTasksThatFit(worker, demand),
    0,
  )
  return taskCapacity >= tasks
    ? undefined
    : `the pool ${pool} holds at most ${taskCapacity} such tasks at once, not ${tasks}`
}

/** How many tasks of the demand fit on the empty worker at once. */
function countTasksThatFit(worker: Resources, demand: Resources): number {
  const quotient = (capacity: number, need: number): number =>
    need > 0 ? Math.floor(capacity / need) : Number.POSITIVE_INFINITY
  return Math.min(
    quotient(worker.processors, demand.processors),
    quotient(worker.memoryMebibytes, demand.memoryMebibytes),
    quotient(worker.accelerators, demand.accelerators),
  )
}
