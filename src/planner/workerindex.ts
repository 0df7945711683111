/**
 * An index of the usable workers for one scheduling pass: the workers on which steps of a service with a certain label
 * may run, and what occupies each worker. Free capacity only shrinks during a pass. A demand that no worker of a group
 * has the capacity for therefore rules out every demand that is at least as large, for the rest of the pass.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {fits, subtract} from "../core/resources.js"
import {requiredCapacity} from "../pipelines/placing.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"

/** What the tasks on a worker mean for further tasks. */
export interface Occupancy {
  /** Number of tasks with a tail-latency limit. */
  readonly latencySensitiveTasks: number
  /** Number of tasks that use processors left over by others. */
  readonly bestEffortTasks: number
  /** The capacity that can become free: long-running tasks do not end by themselves. */
  readonly capacityWithoutLongRunning: Resources
  /** Tasks that resume from a checkpoint after they were stopped. */
  readonly checkpointing: readonly Assignment[]
}

/** Demands that were found not to fit. A shorter task may fit where a longer one does not. */
export interface UnmetDemands {
  readonly add: (demand: Resources, runTime?: Milliseconds) => void
  /** True when the demand is at least as large as one that did not fit, for tasks that run no shorter. */
  readonly covers: (demand: Resources, runTime?: Milliseconds) => boolean
}

/** The workers on which steps of a service with a certain label may run. */
export interface WorkerGroup {
  readonly workers: readonly WorkerState[]
  /** Demands for which no worker has the free capacity. */
  readonly unmet: UnmetDemands
  /** Demands for which no worker has free capacity that is not reserved, or not needed before the tasks end. */
  readonly unmetOutsideReservations: UnmetDemands
}

export interface WorkerIndex {
  readonly findGroup: (run: StepRun, service: string) => WorkerGroup
  readonly occupancyOf: (worker: WorkerState) => Occupancy
  /** Called after the tasks on the workers have changed. */
  readonly forget: (workers: readonly WorkerState[]) => void
}

function createUnmetDemands(): UnmetDemands {
  const smallest: {readonly demand: Resources; readonly runTime: Milliseconds}[] = []
  return {
    add: (demand, runTime = 0) => void smallest.push({demand, runTime}),
    covers: (demand, runTime = Infinity) =>
      smallest.some(unmet => unmet.runTime <= runTime && fits(unmet.demand, demand)),
  }
}

function describeOccupancy(worker: WorkerState): Occupancy {
  let latencySensitiveTasks = 0
  let bestEffortTasks = 0
  let capacityWithoutLongRunning = worker.listing.capacity
  const checkpointing: Assignment[] = []
  for (const assignment of worker.assignments.values()) {
    const {step} = assignment.run
    if (step.tailLimit > 0) latencySensitiveTasks += 1
    if (step.fills) bestEffortTasks += 1
    if (step.lasting)
      capacityWithoutLongRunning = subtract(capacityWithoutLongRunning, requiredCapacity(step))
    else if (step.checkpointing && !step.fills) checkpointing.push(assignment)
  }
  return {latencySensitiveTasks, bestEffortTasks, capacityWithoutLongRunning, checkpointing}
}

export function indexWorkers(pool: readonly WorkerState[]): WorkerIndex {
  const byService = new Map<string, WorkerState[]>()
  for (const worker of pool) {
    const {service} = worker.listing
    const workers = byService.get(service)
    if (workers) workers.push(worker)
    else byService.set(service, [worker])
  }
  const groups = new Map<string, Map<string, WorkerGroup>>()
  const occupancies = new Map<WorkerState, Occupancy>()

  return {
    findGroup(run, service) {
      const {label} = run.step
      let byLabel = groups.get(service)
      if (!byLabel) groups.set(service, (byLabel = new Map<string, WorkerGroup>()))
      let group = byLabel.get(label)
      if (!group) {
        const workers = byService.get(service) ?? []
        group = {
          workers: label === "" ? workers : workers.filter(({listing}) => listing.labels.includes(label)),
          unmet: createUnmetDemands(),
          unmetOutsideReservations: createUnmetDemands(),
        }
        byLabel.set(label, group)
      }
      return group
    },
    occupancyOf(worker) {
      let occupancy = occupancies.get(worker)
      if (!occupancy) occupancies.set(worker, (occupancy = describeOccupancy(worker)))
      return occupancy
    },
    forget(workers) {
      for (const worker of workers) occupancies.delete(worker)
    },
  }
}
