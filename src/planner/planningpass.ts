/**
 * One scheduling pass over the waiting steps, the most urgent first. Tasks are placed on workers with enough free
 * capacity and, where the queue requires advice, a valid ticket. For tasks that cannot be placed, the pass reserves
 * capacity, preempts running tasks and requests advice. It only decides; `PassActions` carries the decisions out.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {canStartTogether, chooseWorkersForAdvice} from "../pipelines/adviceselection.js"
import type {AdviceCandidate} from "../pipelines/adviceselection.js"
import type {Queue} from "../pipelines/model.js"
import type {WorkerOption} from "../pipelines/placing.js"
import {relativeSpeed} from "../pipelines/workerspeeds.js"
import {freeOutsideReservation} from "../pipelines/reserving.js"
import {
  countTasksByWorker,
  freeCapacityOf,
  hasRoomFor,
  hasTicket,
  isUsable,
  needsAnswer,
  toWorkerOption,
} from "./candidates.js"
import {NO_NEAR_WAITS} from "./nearwaits.js"
import type {NearWaits} from "./nearwaits.js"
import {placeOrWait} from "./placeorwait.js"
import {listUpcomingSteps, listOpenSteps} from "./opensteps.js"
import type {OpenStep, PassView} from "./opensteps.js"
import {preempt} from "./preemption.js"
import {createCapacityReserver, limitStarts, reserveForStep} from "./capacityreserver.js"
import type {ReservedCapacity} from "./capacityreserver.js"
import {createWorkBudget, PLACING_WORK, START_WORK} from "./passbudget.js"
import type {WorkBudget} from "./passbudget.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {requiredCapacity} from "./state.js"
import {createStepTurns} from "./stepturns.js"
import {indexWorkers} from "./workerindex.js"
import type {WorkerGroup, WorkerIndex} from "./workerindex.js"

/** Waiting steps of each service for which advice is requested before capacity is free. */
const EARLY_ADVICE_STEPS = 3
/** Advice is requested early only while more instances than this have no call in flight. */
const IDLE_REQUESTERS_KEPT = 2
/** The work of queueing one call to the advice service. */
const ADVICE_CALL_WORK = 100

export interface PassActions {
  /** Starts one task of the step on each of the workers and allocates their capacity at once. */
  readonly startTasks: (run: StepRun, workers: readonly WorkerState[]) => void
  readonly requestAdvice: (run: StepRun, queue: Queue, workers: readonly string[]) => void
  /** Stops running tasks, which later resume from their checkpoints, to free capacity for the step. */
  readonly preempt: (run: StepRun, victims: readonly Assignment[]) => void
}

/** What all steps of one pass share. */
interface PassState {
  readonly view: PassView
  readonly actions: PassActions
  readonly index: WorkerIndex
  readonly reserved: ReservedCapacity
  readonly budget: WorkBudget
  readonly waits: NearWaits
  /** Searches for tasks to preempt, by queue. */
  readonly searches: Map<string, number>
}

/** Starts those tasks of a step that can be placed now. */
function placeStep(open: OpenStep, group: WorkerGroup, state: PassState): void {
  const {view, actions, index, reserved, budget, waits} = state
  const {run, queue} = open
  const {step} = run
  const [usual] = group.workers
  if (usual && waits.concerns(run) && limitStarts(open, reserved) > 0)
    waits.recordTurn(run, usual.listing.capacity)
  if (needsAnswer(run, queue, view.now)) return
  const required = requiredCapacity(step)
  const allowedStarts = limitStarts(open, reserved)
  if (allowedStarts === 0 || (step.gang && allowedStarts < run.waiting.size)) return
  const withholds = reserved.busyServices.has(queue.service)
  if (group.unmet.covers(required) || (withholds && group.unmetOutsideReservations.covers(required))) return
  budget.spend(group.workers.length)
  const fitting = group.workers.filter(worker => hasRoomFor(required, worker))
  if (fitting.length === 0) group.unmet.add(required)
  const ready = queue.advice ? fitting.filter(worker => hasTicket(run, worker, view.now)) : fitting
  if (ready.length === 0) return
  budget.spend(ready.length * PLACING_WORK)
  const affordableStarts = Math.max(1, Math.floor(budget.left() / (START_WORK + ready.length / 8)))
  const held = countTasksByWorker(run)
  function toOption(worker: WorkerState): WorkerOption {
    const option = toWorkerOption(
      worker,
      held.get(worker) ?? 0,
      index.occupancyOf(worker),
      reserved.contention,
    )
    const {rack} = option
    const pressure = step.preferredRack === rack ? 0 : waits.pressureOn(rack)
    const contention = option.contention + pressure
    return withholds
      ? {
          ...option,
          contention,
          free: freeOutsideReservation(option, reserved.reservations.get(option.id)),
        }
      : {...option, contention}
  }
  const options = ready.map(toOption)
  const wanted = step.gang ? allowedStarts : Math.min(allowedStarts, affordableStarts)
  const chosen = placeOrWait(open, wanted, options, group, toOption, waits, budget)
  if (chosen.length === 0) {
    // Others may start where a step that waits would not.
    if (waits.isWaiting(run)) return
    if (withholds && !queue.advice && !step.gang && step.perWorker === 0)
      group.unmetOutsideReservations.add(required)
    return
  }
  budget.spend(chosen.length * (START_WORK + ready.length / 8))
  const byId = new Map(ready.map(worker => [worker.listing.id, worker]))
  const workers = chosen.map(id => byId.get(id)).filter(worker => worker !== undefined)
  reserved.freeProcessors.set(
    queue.service,
    (reserved.freeProcessors.get(queue.service) ?? 0) - chosen.length * required.processors,
  )
  actions.startTasks(run, workers)
  index.forget(workers)
}

/** Requests advice on workers with free capacity or, with `mayRequestEarly`, before capacity is free. */
function requestAdvice(
  open: OpenStep,
  group: WorkerGroup,
  mayRequestEarly: boolean,
  {view, actions, reserved, budget, waits}: PassState,
): void {
  const {run, queue} = open
  const {step} = run
  if (run.isAwaitingAdvice || run.waiting.size === 0 || !queue.advice) return
  if (!mayRequestEarly && group.unmet.covers(requiredCapacity(step))) return
  if (!mayRequestEarly && step.gang && limitStarts(open, reserved) < run.waiting.size) return
  budget.spend(group.workers.length * PLACING_WORK)
  const held = countTasksByWorker(run)
  const isNear = ({listing}: WorkerState): boolean =>
    waits.concerns(run) && step.preferredRack !== "" && listing.rack === step.preferredRack
  const candidates = group.workers
    .filter(worker => run.policyVerdicts.get(worker.listing.id) !== false)
    // A step that waits for its rack has no use for further tickets elsewhere.
    .filter(worker => step.preferredRack === "" || !waits.isWaiting(run) || isNear(worker))
    .map(worker => ({
      id: worker.listing.id,
      free: freeCapacityOf(worker),
      held: held.get(worker) ?? 0,
      allowed: run.policyVerdicts.get(worker.listing.id) === true,
      hasTicket: hasTicket(run, worker, view.now),
      isNear: isNear(worker),
      // Long-running tasks have no end that a fast worker brings nearer.
      speed: step.lasting || step.fills ? 1 : relativeSpeed(worker.speed),
    }))
  if (!mayRequestEarly && step.gang && !canStartTogether(step, run.waiting.size, candidates)) return
  const options: AdviceCandidate[] = candidates.filter(candidate => !candidate.hasTicket)
  // Tickets are renewed early: capacity that becomes free stays unused until the advice service has answered.
  const chosen = chooseWorkersForAdvice(step, options, queue.advice, mayRequestEarly)
  if (chosen.length === 0) return
  budget.spend(ADVICE_CALL_WORK)
  actions.requestAdvice(run, queue, chosen)
}

/** What a pass has done. */
export interface PassResult {
  /** Number of steps with tasks that might start. */
  readonly openSteps: number
  /** The work that was done before the first step was handled; no limit shortens it. */
  readonly preparation: number
  /** The work of handling steps, and how long it took. */
  readonly work: number
  readonly workDuration: Milliseconds
  /** False when steps were left for the next pass. */
  readonly isComplete: boolean
}

export interface PlanningPass {
  readonly run: (view: PassView, actions: PassActions) => PassResult
}

/**
 * Creates a pass that can be run repeatedly. It remembers between runs the peak load of urgent work, and the steps that
 * were left for a later run.
 */
export function createPlanningPass(
  clock: Pick<Clock, "now">,
  waits: NearWaits = NO_NEAR_WAITS,
): PlanningPass {
  const reserver = createCapacityReserver()
  const turns = createStepTurns()

  return {
    run(view, actions) {
      const pool = view.workers.filter(worker => isUsable(worker, view.now))
      const index = indexWorkers(pool)
      const steps = listOpenSteps(view)
      const budget = createWorkBudget(view.workLimit)
      const reserved = reserver.compute(view, pool, steps, index, budget)
      const state: PassState = {view, actions, index, reserved, budget, waits, searches: new Map()}
      const waitingByService = new Map<string, number>()
      const preparation = budget.spent()
      let workDuration: Milliseconds = 0
      let idleRequesters = view.idleRequesters

      function handleStep(open: OpenStep, isUrgent: boolean): void {
        const {run, queue} = open
        budget.spend(1)
        const group = index.findGroup(run, queue.service)
        placeStep(open, group, state)
        if (run.waiting.size === 0) return
        if (isUrgent && !waits.isWaiting(run)) {
          reserveForStep(open, group.workers, view.now, reserved, index, budget)
          preempt(open, group.workers, view, reserved, index, budget, state.searches, actions.preempt)
        }
        const position = waitingByService.get(queue.service) ?? 0
        waitingByService.set(queue.service, position + 1)
        const wasAwaitingAdvice = run.isAwaitingAdvice
        const mayRequestEarly = position < EARLY_ADVICE_STEPS && idleRequesters > IDLE_REQUESTERS_KEPT
        requestAdvice(open, group, mayRequestEarly, state)
        if (!wasAwaitingAdvice && run.isAwaitingAdvice) idleRequesters -= 1
      }

      function handleTimed(open: OpenStep, isUrgent: boolean): void {
        const begunAt = clock.now()
        handleStep(open, isUrgent)
        workDuration += clock.now() - begunAt
      }

      const isComplete = turns.handle(steps, budget, handleTimed)
      const work = budget.spent() - preparation
      if (isComplete && idleRequesters > IDLE_REQUESTERS_KEPT) {
        for (const open of listUpcomingSteps(view)) {
          if (idleRequesters <= IDLE_REQUESTERS_KEPT || budget.left() === 0) break
          requestAdvice(open, index.findGroup(open.run, open.queue.service), true, state)
          if (open.run.isAwaitingAdvice) idleRequesters -= 1
        }
      }
      waits.endPass()
      return {openSteps: steps.length, preparation, work, workDuration, isComplete}
    },
  }
}
