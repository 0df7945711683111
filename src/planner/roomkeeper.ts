/**
 * Room that a pass keeps: for waves of the most urgent queue of a service, and for tasks that wait for whole workers
 * or for the few workers that they may run on. Nothing is kept while much of the service is free.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {subtract} from "../core/resources.js"
import {computeContention} from "../pipelines/contention.js"
import type {RestrictedStep, Contention} from "../pipelines/contention.js"
import {computeHeadroom, EMPTY_USAGE_HISTORY, recordUsage} from "../pipelines/headroom.js"
import type {UsageHistory} from "../pipelines/headroom.js"
import {isTooLate} from "../pipelines/order.js"
import {NO_RESERVATIONS, reserve} from "../pipelines/reserving.js"
import type {Reservations} from "../pipelines/reserving.js"
import {allowedOf, eligible, freeAt, optionOf} from "./candidates.js"
import type {OpenStep, PassView} from "./opensteps.js"
import type {WorkerState} from "./state.js"
import {roomOf} from "./state.js"

/** What one pass knows beside the workers: room kept for gangs, and room kept for the most urgent queue. */
export interface KeptRoom {
  reservations: Reservations
  /** For each service, the processors that are free now, and those that patient work must leave. */
  readonly free: Map<string, number>
  readonly kept: Map<string, number>
  readonly urgentPriority: ReadonlyMap<string, number>
  /** Services of which so much is in use that room is kept at all. */
  readonly busy: ReadonlySet<string>
  readonly contention: Contention
}

/** Room is kept only while at least this share of a service's processors is in use. */
const BUSY_SHARE = 0.5

/** How many tasks of the step may start, so that the room for more urgent work stays. */
export function mostTasks(open: OpenStep, state: KeptRoom): number {
  const {run, queue} = open
  const {step} = run
  const urgent = state.urgentPriority.get(queue.service) ?? queue.priority
  if (!state.busy.has(queue.service)) return run.waiting.size
  if (queue.priority <= urgent || step.lasting || step.fills || step.demand.processors === 0)
    return run.waiting.size
  const spare = (state.free.get(queue.service) ?? 0) - (state.kept.get(queue.service) ?? 0)
  return Math.min(run.waiting.size, Math.max(0, Math.floor(spare / step.demand.processors)))
}

const NO_CONTENTION: Contention = new Map()

/** Steps whose allowed workers are known and fewer than all of their service. */
function confinedSteps(steps: readonly OpenStep[], pool: readonly WorkerState[]): readonly RestrictedStep[] {
  const confined: RestrictedStep[] = []
  for (const open of steps) {
    const {run, queue} = open
    if (queue.advice === undefined || run.verdicts.size === 0) continue
    const allowed = allowedOf(open, eligible(run, queue, pool)).map(({listing}) => listing)
    confined.push({tasks: run.waiting.size, demand: roomOf(run.step), allowed})
  }
  return confined
}

/** The most tasks of one step for which room is kept. */
const MOST_RESERVED = 16

/** Keeps room for tasks that wait, on workers that are known to be allowed. */
export function reserveFor(
  open: OpenStep,
  workers: readonly WorkerState[],
  now: Milliseconds,
  state: KeptRoom,
): void {
  const {run, queue, rank} = open
  if (!state.busy.has(queue.service) || isTooLate(rank, now)) return
  if (run.step.fills || mostTasks(open, state) < run.waiting.size) return
  const allowed = allowedOf(open, workers)
  state.reservations = reserve(
    state.reservations,
    run.step,
    run.step.gang ? run.waiting.size : Math.min(MOST_RESERVED, run.waiting.size),
    allowed.map(worker => ({
      ...optionOf(run, worker, NO_CONTENTION),
      capacity: capacityBesideLasting(worker),
    })),
  )
}

/** What of a worker becomes free in time: tasks that last do not end. */
function capacityBesideLasting(worker: WorkerState): Resources {
  let capacity = worker.listing.capacity
  for (const {run} of worker.assignments.values())
    if (run.step.lasting) capacity = subtract(capacity, roomOf(run.step))
  return capacity
}

function useOf(view: PassView, urgent: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const use = new Map<string, number>()
  for (const active of view.active) {
    const queue = view.queueOf(active)
    if (queue.priority !== urgent.get(queue.service)) continue
    let processors = 0
    for (const {step, assignments} of active.runs) {
      if (!step.lasting) processors += assignments.size * step.demand.processors
    }
    use.set(queue.service, (use.get(queue.service) ?? 0) + processors)
  }
  return use
}

function freeProcessors(pool: readonly WorkerState[]): {
  readonly free: Map<string, number>
  readonly total: ReadonlyMap<string, number>
} {
  const free = new Map<string, number>()
  const total = new Map<string, number>()
  for (const worker of pool) {
    const {service, capacity} = worker.listing
    free.set(service, (free.get(service) ?? 0) + freeAt(worker).processors)
    total.set(service, (total.get(service) ?? 0) + capacity.processors)
  }
  return {free, total}
}

export interface RoomKeeper {
  /** What to keep in this pass. */
  readonly keep: (view: PassView, pool: readonly WorkerState[], steps: readonly OpenStep[]) => KeptRoom
}

/** Creates a keeper. It remembers how much room urgent work has needed lately. */
export function createRoomKeeper(): RoomKeeper {
  const histories = new Map<string, UsageHistory>()

  function keep(view: PassView, pool: readonly WorkerState[], steps: readonly OpenStep[]): KeptRoom {
    const {free, total} = freeProcessors(pool)
    const use = useOf(view, view.urgentPriority)
    const kept = new Map<string, number>()
    for (const [service, processors] of total) {
      const now = use.get(service) ?? 0
      let wanted = now
      for (const {run, queue} of steps) {
        if (
          queue.service === service &&
          queue.priority === view.urgentPriority.get(service) &&
          !run.step.lasting
        )
          wanted += run.waiting.size * run.step.demand.processors
      }
      const history = recordUsage(histories.get(service) ?? EMPTY_USAGE_HISTORY, view.now, wanted)
      histories.set(service, history)
      kept.set(service, computeHeadroom(history, now, processors))
    }
    const busy = new Set<string>()
    for (const [service, processors] of total) {
      if ((free.get(service) ?? 0) <= processors * (1 - BUSY_SHARE)) busy.add(service)
    }
    const contested = steps.filter(({queue}) => busy.has(queue.service))
    const contention = computeContention(confinedSteps(contested, pool))
    return {
      reservations: NO_RESERVATIONS,
      free,
      kept,
      urgentPriority: view.urgentPriority,
      busy,
      contention,
    }
  }

  return {keep}
}
