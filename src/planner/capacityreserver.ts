/**
 * Capacity that a scheduling pass withholds from lower-priority steps. Each service has headroom for bursts of its most
 * urgent queue, and reservations for waiting tasks that need whole workers or may run on few workers only. Nothing is
 * withheld while more than half of a service's processors are free.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {componentwiseMin} from "../core/resources.js"
import {computeContention} from "../pipelines/contention.js"
import type {RestrictedStep, Contention} from "../pipelines/contention.js"
import {computeHeadroom, EMPTY_USAGE_HISTORY, recordUsage} from "../pipelines/headroom.js"
import type {UsageHistory} from "../pipelines/headroom.js"
import {isTooLate} from "../pipelines/order.js"
import {NO_RESERVATIONS, reserve} from "../pipelines/reserving.js"
import type {Reservations} from "../pipelines/reserving.js"
import {requiredCapacity} from "../pipelines/placing.js"
import {countTasksByWorker, findAllowedWorkers, freeCapacityOf, toWorkerOption} from "./candidates.js"
import type {OpenStep, PassView} from "./opensteps.js"
import {PLACING_WORK} from "./passbudget.js"
import type {WorkBudget} from "./passbudget.js"
import type {StepRun, WorkerState} from "./state.js"
import type {WorkerIndex} from "./workerindex.js"

/** The capacity withheld during one pass. The pass updates it with each step that it handles. */
export interface ReservedCapacity {
  reservations: Reservations
  /** The least that a task needs for which capacity is reserved, by worker id. */
  readonly smallestReserved: Map<string, Resources>
  /** Processors that are free now, by service. */
  readonly freeProcessors: Map<string, number>
  /** Processors that lower-priority work has to leave free for the most urgent queue, by service. */
  readonly headroomProcessors: Map<string, number>
  /** Priority of the most urgent queue, by service. */
  readonly urgentPriorities: ReadonlyMap<string, number>
  /** All processors of usable workers, by service. */
  readonly totalProcessors: ReadonlyMap<string, number>
  /** By service. */
  readonly headroomHolds: Map<string, HeadroomHold>
  /** Services with so many processors in use that capacity is withheld. */
  readonly busyServices: ReadonlySet<string>
  /** Number of steps for which capacity was reserved, by queue. */
  readonly reservingSteps: Map<string, number>
  /** Demand of waiting steps that may run on few workers only, by worker. */
  readonly contention: Contention
}

/** Capacity is withheld only while at least this share of a service's processors is in use. */
const BUSY_SHARE = 0.5

/** Processors of a service that a step waits for which has to leave the headroom free. */
interface HeadroomHold {
  readonly run: StepRun
  readonly processors: number
}

/** The tasks that have to start together. */
function countTogether({run}: OpenStep): number {
  return run.step.gang ? run.waiting.size : 1
}

/** True if the step has to leave the headroom of the most urgent queue free. */
function leavesHeadroom({run, queue}: OpenStep, reserved: ReservedCapacity): boolean {
  const {service, priority} = queue
  const {step} = run
  if (!reserved.busyServices.has(service) || step.lasting || step.fills) return false
  return priority > (reserved.urgentPriorities.get(service) ?? priority) && step.demand.processors > 0
}

/** How many of the startable tasks may start without using the headroom of the most urgent queue. */
export function limitStarts(open: OpenStep, reserved: ReservedCapacity): number {
  const {run, queue, startable} = open
  const {service} = queue
  if (!leavesHeadroom(open, reserved)) return startable
  const headroom = reserved.headroomProcessors.get(service) ?? 0
  const {processors} = run.step.demand
  // A gang that can never leave the headroom free would starve for it.
  if (countTogether(open) * processors > (reserved.totalProcessors.get(service) ?? 0) - headroom)
    return startable
  const hold = reserved.headroomHolds.get(service)
  const held = hold && hold.run !== run ? hold.processors : 0
  const spare = (reserved.freeProcessors.get(service) ?? 0) - headroom - held
  return Math.min(startable, Math.max(0, Math.floor(spare / processors)))
}

/**
 * Keeps the processors that become free beside the headroom for a step that finds too few of them for its next task or its
 * gang, so that smaller tasks which rank after it do not take them one by one. Once in a pass for each service, and not for
 * a step that is too late anyway.
 */
export function holdForHeadroom(open: OpenStep, now: Milliseconds, reserved: ReservedCapacity): void {
  const {run, queue, rank} = open
  const together = countTogether(open)
  if (reserved.headroomHolds.has(queue.service) || isTooLate(rank, now)) return
  if (!leavesHeadroom(open, reserved) || limitStarts(open, reserved) >= together) return
  reserved.headroomHolds.set(queue.service, {run, processors: together * run.step.demand.processors})
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
  const reservingSteps = reserved.reservingSteps.get(queue.name) ?? 0
  if (reservingSteps >= MAXIMUM_RESERVING_STEPS) return
  reserved.reservingSteps.set(queue.name, reservingSteps + 1)
  const allowed = findAllowedWorkers(open, workers)
  const held = countTasksByWorker(run)
  const wanted = run.step.gang ? startable : Math.min(MAXIMUM_RESERVED_TASKS, startable)
  budget.spend(workers.length + allowed.length * PLACING_WORK + (allowed.length * wanted) / 8)
  const before = reserved.reservations
  reserved.reservations = reserve(
    before,
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
  const {demand} = run.step
  for (const [id, amount] of reserved.reservations)
    if (amount !== before.get(id))
      reserved.smallestReserved.set(id, componentwiseMin(demand, reserved.smallestReserved.get(id) ?? demand))
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

/**
 * Services with at least the busy share of their processors in use. Listed workers count even if they cannot be used now,
 * since users see the whole service.
 */
function findBusyServices(workers: readonly WorkerState[]): ReadonlySet<string> {
  const sums = new Map<string, {used: number; total: number}>()
  for (const {listing, used, isListed} of workers) {
    const sum = sums.get(listing.service) ?? {used: 0, total: 0}
    sums.set(listing.service, sum)
    sum.used += used.processors
    if (isListed) sum.total += listing.capacity.processors
  }
  return new Set(
    [...sums].filter(([, {used, total}]) => used >= total * BUSY_SHARE).map(([service]) => service),
  )
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
    /** That of steps which no pass has handled yet, so that they may turn out to fit nowhere. */
    const newUse = new Map<string, number>()
    for (const {run, queue, rank, startable} of steps) {
      if (queue.priority !== view.urgentPriorities.get(queue.service) || run.step.lasting) continue
      // Headroom helps neither a step that has waited too long nor one that fits nowhere, for which capacity is reserved.
      if (isTooLate(rank, view.now) || run.hasRoomSomewhere === false) continue
      const demanded = startable * run.step.demand.processors
      const sums = run.hasRoomSomewhere ? waitingUse : newUse
      sums.set(queue.service, (sums.get(queue.service) ?? 0) + demanded)
    }
    const headroomProcessors = new Map<string, number>()
    for (const [service, processors] of total) {
      const now = use.get(service) ?? 0
      const demanded = now + (waitingUse.get(service) ?? 0)
      const history = recordUsage(histories.get(service) ?? EMPTY_USAGE_HISTORY, view.now, demanded)
      histories.set(service, history)
      const withNew = recordUsage(history, view.now, demanded + (newUse.get(service) ?? 0))
      headroomProcessors.set(service, computeHeadroom(withNew, now, processors))
    }
    const busyServices = findBusyServices(view.workers)
    const contention = computeContention(findConfinedSteps(steps, busyServices, index, budget))
    return {
      reservations: NO_RESERVATIONS,
      smallestReserved: new Map(),
      freeProcessors,
      headroomProcessors,
      urgentPriorities: view.urgentPriorities,
      totalProcessors: total,
      headroomHolds: new Map(),
      busyServices,
      reservingSteps: new Map(),
      contention,
    }
  }

  return {compute}
}
