/** Whether the workers of a pool could ever hold a job, whatever else runs. */
import {fits} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {JobSpecification} from "../jobs/job.js"

/** The largest worker of a pool and the sum of all its workers. */
export interface PoolCapacity {
  readonly largestCapacity: Resources
  readonly workers: readonly Resources[]
}

/** Why no worker of the pool could ever hold the job; undefined when one could. */
export function explainInfeasibility(
  specification: JobSpecification,
  shape: PoolCapacity | undefined,
): string | undefined {
  const {demand, pool, kind, tasks} = specification
  if (!shape || shape.workers.length === 0)
    return `the pool ${pool} has no workers; name a pool that has some`
  if (!shape.workers.some(worker => fits(demand, worker))) {
    const {processors, memoryMebibytes, accelerators} = shape.largestCapacity
    return `no worker of pool ${pool} is large enough: at most ${processors} processors, ${memoryMebibytes} MiB and ${accelerators} accelerators fit`
  }
  if (kind !== "gang") return undefined
  const places = shape.workers.reduce((sum, worker) => sum + placesOn(worker, demand), 0)
  return places >= tasks
    ? undefined
    : `the pool ${pool} holds at most ${places} such tasks at once, not ${tasks}`
}

function placesOn(worker: Resources, demand: Resources): number {
  const times = (has: number, needs: number): number =>
    needs > 0 ? Math.floor(has / needs) : Number.POSITIVE_INFINITY
  return Math.min(
    times(worker.processors, demand.processors),
    times(worker.memoryMebibytes, demand.memoryMebibytes),
    times(worker.accelerators, demand.accelerators),
  )
}
