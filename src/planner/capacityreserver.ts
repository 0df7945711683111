/**
 * Capacity that a scheduling pass withholds from lower-priority steps. Each service has headroom for bursts of its most
 * urgent queue, and reservations for waiting tasks that need whole workers or may run on few workers only. Nothing is
 * withheld while more than half of a service's processors are free.
 */
import type {Milliseconds} from "../core/clock.js"
import {computeContention} from "../pipelines/contention.js"
import type {RestrictedStep, Contention} from "../pipelines/contention.js"
import {computeHeadroom, EMPTY_USAGE_HISTORY, recordUsage} from "../pipelines/headroom.js"
import type {UsageHistory} from "../pipelines/headroom.js"
import {isTooLate} from "../pipelines/order.js"
import {NO_RESERVATIONS, reserve} from "../pipelines/reserving.js"
import type {Reservations} from "../pipelines/reserving.js"
import {countTasksByWorker, findAllowedWorkers, freeCapacityOf, toWorkerOption} from "./candidates.js"
import type {OpenStep, PassView} from "./opensteps.js"
import {PLACING_WORK} from "./passbudget.js"
import type {WorkBudget} from "./passbudget.js"
import type {WorkerState} from "./state.js"
import {requiredCapacity} from "./state.js"
import type {WorkerIndex} from "./workerindex.js"

/** The capacity withheld during one pass. The pass updates it with each step that it handles. */
export interface ReservedCapacity {
  reservations: Reservations
  /** Processors that are free now, by service. */
  readonly freeProcessors: Map<string, number>
  /** Processors that lower-priority work has to leave free for the most urgent queue, by service. */
  readonly headroomProcessors: Map<string, number>
  /** Priority of the most urgent queue, by service. */
  readonly urgentPriorities: ReadonlyMap<string, number>
  /** Services with so many processors in use that capacity is withheld. */
  readonly busyServices: ReadonlySet<string>
  /** Number of steps for which capacity was reserved, by queue. */
  readonly reservingSteps: Map<string, number>
  /** Demand of waiting steps that may run on few workers only, by worker. */
  readonly contention: Contention
}

/** Capacity is withheld only while at least this share of a service's processors is in use. */
const BUSY_SHARE = 0.5

/** How many of the startable tasks may start without using the headroom of the most urgent queue. */
export function limitStarts(open: OpenStep, reserved: ReservedCapacity): number {
  const {run, queue, startable} = open
  const {step} = run
  const urgent = reserved.urgentPriorities.get(queue.service) ?? queue.priority
  if (!reserved.busyServices.has(queue.service)) return startable
  if (queue.priority <= urgent || step.lasting || step.fills || step.demand.processors === 0) return startable
  const spare =
    (reserved.freeProcessors.get(queue.service) ?? 0) - (reserved.headroomProcessors.get(queue.service) ?? 0)
  return Math.min(startable, Math.max(0, Math.floor(spare / step.demand.processors)))
}

const NO_CONTENTION: Contention = new Map()

/** The most steps of a pass, the most urgent ones, from which contention is computed. */
const MAXIMUM_CONFINED_STEPS = 64

/** Steps that the advice service confines to some of the eligible workers, with the workers allowed so far. */
function findConfinedSteps(
  steps: readonly OpenStep[],
  busyServices: ReadonlySet<string>,
  index: WorkerIndex,
  budget: WorkBudget,
): readonly RestrictedStep[] {
  const confined: RestrictedStep[] = []
  for (const open of steps) {
    if (confined.length === MAXIMUM_CONFINED_STEPS) break
    const {run, queue, startable} = open
    if (queue.advice === undefined || run.policyVerdicts.size === 0) continue
    if (!busyServices.has(queue.service)) continue
    const {workers} = index.findGroup(run, queue.service)
    budget.spend(workers.length)
    const allowed = findAllowedWorkers(open, workers).map(({listing}) => listing)
    confined.push({tasks: startable, demand: requiredCapacity(run.step), allowed})
  }
  return confined
}

/** The most tasks of one step, other than a gang, for which capacity is reserved. */
const MAXIMUM_RESERVED_TASKS = 16

/** The most steps of one queue for which a pass reserves capacity. */
const MAXIMUM_RESERVING_STEPS = 16

/** Reserves capacity for the waiting tasks of a step, on workers that are known to be allowed. */
export function reserveForStep(
  open: OpenStep,
  workers: readonly WorkerState[],
  now: Milliseconds,
  reserved: ReservedCapacity,
  index: WorkerIndex,
  budget: WorkBudget,
): void {
  const {run, queue, rank, startable} = open
  if (!reserved.busyServices.has(queue.service) || isTooLate(rank, now)) return
  if (run.step.fills || limitStarts(open, reserved) < startable) return
  const before = reserved.reservingSteps.get(queue.name) ?? 0
  if (before >= MAXIMUM_RESERVING_STEPS) return
  reserved.reservingSteps.set(queue.name, before + 1)
  const allowed = findAllowedWorkers(open, workers)
  const held = countTasksByWorker(run)
  const wanted = run.step.gang ? startable : Math.min(MAXIMUM_RESERVED_TASKS, startable)
  budget.spend(workers.length + allowed.length * PLACING_WORK + (allowed.length * wanted) / 8)
  reserved.reservations = reserve(
    reserved.reservations,
    run.step,
    wanted,
    allowed.map(worker => {
      const occupancy = index.occupancyOf(worker)
      return {
        ...toWorkerOption(worker, held.get(worker) ?? 0, occupancy, NO_CONTENTION),
        capacity: occupancy.capacityWithoutLongRunning,
      }
    }),
  )
}

/** Processors used by the most urgent queue, by service. Long-running tasks are not counted. */
function sumUrgentUse(view: PassView, urgent: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const use = new Map<string, number>()
  for (const active of view.activeJobs) {
    const queue = view.queueOf(active)
    if (queue.priority !== urgent.get(queue.service)) continue
    let processors = 0
    for (const {step, assignments} of active.stepRuns) {
      if (!step.lasting) processors += assignments.size * step.demand.processors
    }
    use.set(queue.service, (use.get(queue.service) ?? 0) + processors)
  }
  return use
}

function sumProcessors(pool: readonly WorkerState[]): {
  readonly freeProcessors: Map<string, number>
  readonly total: ReadonlyMap<string, number>
} {
  const freeProcessors = new Map<string, number>()
  const total = new Map<string, number>()
  for (const worker of pool) {
    const {service, capacity} = worker.listing
    freeProcessors.set(service, (freeProcessors.get(service) ?? 0) + freeCapacityOf(worker).processors)
    total.set(service, (total.get(service) ?? 0) + capacity.processors)
  }
  return {freeProcessors, total}
}

export interface CapacityReserver {
  /** Computes what a pass has to withhold from its steps. */
  readonly compute: (
    view: PassView,
    pool: readonly WorkerState[],
    steps: readonly OpenStep[],
    index: WorkerIndex,
    budget: WorkBudget,
  ) => ReservedCapacity
}

/** Creates a reserver. It remembers the peak load of urgent work, from which it derives the headroom. */
export function createCapacityReserver(): CapacityReserver {
  const histories = new Map<string, UsageHistory>()

  function compute(
    view: PassView,
    pool: readonly WorkerState[],
    steps: readonly OpenStep[],
    index: WorkerIndex,
    budget: WorkBudget,
  ): ReservedCapacity {
    const {freeProcessors, total} = sumProcessors(pool)
    const use = sumUrgentUse(view, view.urgentPriorities)
    const waitingUse = new Map<string, number>()
    for (const {run, queue, rank, startable} of steps) {
      if (queue.priority !== view.urgentPriorities.get(queue.service) || run.step.lasting) continue
      // Headroom does not help a step that has waited this long, for example because it fits nowhere.
      if (isTooLate(rank, view.now)) continue
      const demanded = startable * run.step.demand.processors
      waitingUse.set(queue.service, (waitingUse.get(queue.service) ?? 0) + demanded)
    }
    const headroomProcessors = new Map<string, number>()
    for (const [service, processors] of total) {
      const now = use.get(service) ?? 0
      const demanded = now + (waitingUse.get(service) ?? 0)
      const history = recordUsage(histories.get(service) ?? EMPTY_USAGE_HISTORY, view.now, demanded)
      histories.set(service, history)
      headroomProcessors.set(service, computeHeadroom(history, now, processors))
    }
    const busyServices = new Set<string>()
    for (const [service, processors] of total) {
      if ((freeProcessors.get(service) ?? 0) <= processors * (1 - BUSY_SHARE)) busyServices.add(service)
    }
    const contention = computeContention(findConfinedSteps(steps, busyServices, index, budget))
    return {
      reservations: NO_RESERVATIONS,
      freeProcessors,
      headroomProcessors,
      urgentPriorities: view.urgentPriorities,
      busyServices,
      reservingSteps: new Map(),
      contention,
    }
  }

  return {compute}
}
