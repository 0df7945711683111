/**
 * One scheduling pass over the waiting steps, the most urgent first. Tasks are placed on workers with enough free
 * capacity and, where the queue requires advice, a valid ticket. For tasks that cannot be placed, the pass reserves
 * capacity, preempts running tasks and requests advice. It only decides; `PassActions` carries the decisions out.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {canStartTogether, chooseWorkersForAdvice} from "../pipelines/adviceselection.js"
import type {AdviceCandidate} from "../pipelines/adviceselection.js"
import {BEYOND_SHARE} from "../pipelines/fairshare.js"
import type {ShareRank} from "../pipelines/fairshare.js"
import type {Queue} from "../pipelines/model.js"
import type {WorkerOption} from "../pipelines/placing.js"
import {relativeSpeed} from "../pipelines/workerspeeds.js"
import {endsBeforeReserved, freeOutsideReservation, placeLastingTasks} from "../pipelines/reserving.js"
import {
  countTasksByWorker,
  freeCapacityOf,
  hasRoomFor,
  hasTicket,
  isUsable,
  needsAnswer,
  toWorkerOption,
} from "./candidates.js"
import {createWorkspaceRoom} from "../pipelines/workspaceroom.js"
import type {HoldReason, WorkspaceRoom} from "../pipelines/workspaceroom.js"
import {isTooLate} from "../pipelines/order.js"
import {requiredCapacity} from "../pipelines/placing.js"
import {NO_EXPECTED_ENDS} from "./expectedends.js"
import type {ExpectedEnds} from "./expectedends.js"
import {NO_NEAR_WAITS} from "./nearwaits.js"
import type {NearWaits} from "./nearwaits.js"
import {placeOrWait} from "./placeorwait.js"
import {countRestarts, listUpcomingSteps, listOpenSteps, waitingTasksOf} from "./opensteps.js"
import type {OpenStep, PassView} from "./opensteps.js"
import {preempt} from "./preemption.js"
import {createCapacityReserver, holdForHeadroom, limitStarts, reserveForStep} from "./capacityreserver.js"
import type {ReservedCapacity} from "./capacityreserver.js"
import {createWorkBudget, PLACING_WORK, START_WORK} from "./passbudget.js"
import type {WorkBudget} from "./passbudget.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {shareSteps} from "./stepsharing.js"
import type {ExceededShare} from "./stepsharing.js"
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
  /** Calls of the same priority with a lower `shareRank` go first. */
  readonly requestAdvice: (
    run: StepRun,
    queue: Queue,
    workers: readonly string[],
    shareRank?: ShareRank,
  ) => void
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
  readonly ends: ExpectedEnds
  /** Searches for tasks to preempt, by queue. */
  readonly searches: Map<string, number>
  /** What workspaces may still start. */
  readonly room: WorkspaceRoom
  /** The same, less what steps that cannot be placed yet have claimed of it; see `claimRoom`. */
  readonly claimableRoom: WorkspaceRoom
  readonly heldSteps: HeldStep[]
}

/** Limits the steps, in their order, to what their workspaces may start of them. Leaves out those that are held. */
function limitSteps(steps: readonly OpenStep[], view: PassView): readonly OpenStep[] {
  if (view.workspaceUses.size === 0) return steps
  const room = createWorkspaceRoom(view.workspaceUses)
  const limited: OpenStep[] = []
  for (const open of steps) {
    const tasks = waitingTasksOf(open.run)
    const startable = Math.min(open.startable, room.countStartable(tasks))
    if (startable === 0) continue
    room.occupy(tasks, startable)
    limited.push({...open, startable})
  }
  return limited
}

/**
 * The tasks of the step that its workspace has room for; none if the step is held. A held step keeps the room that
 * becomes free from steps of its workspace that rank after it, unless it is handled out of turn or too late anyway.
 */
function findStartable(open: OpenStep, isUrgent: boolean, state: PassState): number {
  const {view, room, claimableRoom, heldSteps} = state
  const {run, rank} = open
  const tasks = waitingTasksOf(run)
  const startable = room.countStartable(tasks)
  run.isHeldByLimit = startable === 0
  if (startable > 0) return Math.min(startable, open.startable)
  heldSteps.push({run, reason: room.whyHeld(tasks)})
  if (isUrgent && !isTooLate(rank, view.now)) {
    room.hold(tasks)
    claimableRoom.hold(tasks)
  }
  return 0
}

/**
 * Claims room for the tasks of a step that could not be placed, and returns their number. Only for these is capacity
 * reserved, are tasks preempted and is advice requested: a workspace whose steps wait for more than its limit admits
 * takes no more of them than it can use.
 */
function claimRoom({run}: OpenStep, wanted: number, {room, claimableRoom}: PassState): number {
  const tasks = waitingTasksOf(run)
  // A task that lasts is started whatever waits before it.
  if (run.step.lasting) return Math.min(wanted, room.countStartable(tasks))
  const claimed = Math.min(wanted, claimableRoom.countStartable(tasks))
  if (claimed > 0) claimableRoom.occupy(tasks, claimed)
  return claimed
}

/** Chooses workers for tasks of the step, on capacity that is not withheld from it. */
function chooseWorkers(
  open: OpenStep,
  wanted: number,
  ready: readonly WorkerState[],
  group: WorkerGroup,
  {index, reserved, budget, waits, ends}: PassState,
): readonly string[] {
  const {run, queue} = open
  const {step} = run
  const withholds = reserved.busyServices.has(queue.service)
  const held = countTasksByWorker(run)

  /** With all that is free, reserved or not. */
  function toOption(worker: WorkerState): WorkerOption {
    const option = toWorkerOption(
      worker,
      held.get(worker) ?? 0,
      index.occupancyOf(worker),
      reserved.contention,
    )
    const pressure = step.preferredRack === option.rack ? 0 : waits.pressureOn(option.rack)
    return {...option, contention: option.contention + pressure}
  }

  function toUnreservedOption(worker: WorkerState): WorkerOption {
    const option = toOption(worker)
    const reservation = reserved.reservations.get(option.id)
    if (!withholds || !reservation) return option
    const runTime = ends.runTimeOn(run, worker)
    const smallest = reserved.smallestReserved.get(option.id) ?? reservation
    const isBackfill =
      runTime !== undefined &&
      endsBeforeReserved(runTime, option.free, smallest, ends.earliestReleasesOf(worker))
    return isBackfill ? option : {...option, free: freeOutsideReservation(option, reservation)}
  }

  if (withholds && step.lasting) {
    const places = ready.map(worker => ({
      option: toOption(worker),
      reserved: reserved.reservations.get(worker.listing.id),
      withoutEnding: index.occupancyOf(worker).capacityWithoutLongRunning,
    }))
    return placeLastingTasks(step, wanted, countRestarts(run), places)
  }
  return placeOrWait(open, wanted, ready.map(toUnreservedOption), group, toUnreservedOption, waits, budget)
}

/** Starts those tasks of a step that can be placed now. */
function placeStep(open: OpenStep, group: WorkerGroup, state: PassState): void {
  const {view, actions, index, reserved, budget, waits, ends} = state
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
  if (group.unmet.covers(required)) {
    run.hasRoomSomewhere = false
    return
  }
  const runTime = usual ? ends.runTimeOn(run, usual) : undefined
  if (withholds && !step.lasting && group.unmetOutsideReservations.covers(required, runTime)) return
  budget.spend(group.workers.length)
  const fitting = group.workers.filter(worker => hasRoomFor(required, worker))
  run.hasRoomSomewhere = fitting.some(({listing}) => run.policyVerdicts.get(listing.id) !== false)
  if (fitting.length === 0) group.unmet.add(required)
  const ready = queue.advice ? fitting.filter(worker => hasTicket(run, worker, view.now)) : fitting
  if (ready.length === 0) return
  budget.spend(ready.length * PLACING_WORK)
  const affordableStarts = Math.max(1, Math.floor(budget.left() / (START_WORK + ready.length / 8)))
  const wanted = step.gang ? allowedStarts : Math.min(allowedStarts, affordableStarts)
  const chosen = chooseWorkers(open, wanted, ready, group, state)
  if (chosen.length === 0) {
    // Others may start where a step that waits would not.
    if (waits.isWaiting(run)) return
    if (withholds && !queue.advice && !step.gang && !step.lasting && step.perWorker === 0)
      group.unmetOutsideReservations.add(required, runTime)
    return
  }
  budget.spend(chosen.length * (START_WORK + ready.length / 8))
  const byId = new Map(ready.map(worker => [worker.listing.id, worker]))
  const workers = chosen.map(id => byId.get(id)).filter(worker => worker !== undefined)
  reserved.freeProcessors.set(
    queue.service,
    (reserved.freeProcessors.get(queue.service) ?? 0) - chosen.length * required.processors,
  )
  const tasks = waitingTasksOf(run)
  actions.startTasks(run, workers)
  const started = tasks.waiting - run.waiting.size
  state.room.occupy(tasks, started)
  state.claimableRoom.occupy(tasks, started)
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
  actions.requestAdvice(run, queue, chosen, open.rank.shareRank)
}

/** A step that the limit of its workspace lets start no task. */
export interface HeldStep {
  readonly run: StepRun
  readonly reason: HoldReason
}

/** What a pass has done. */
export interface PassResult {
  readonly heldSteps: readonly HeldStep[]
  readonly exceededShares: readonly ExceededShare[]
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
  ends: ExpectedEnds = NO_EXPECTED_ENDS,
): PlanningPass {
  const reserver = createCapacityReserver()
  const turns = createStepTurns()

  return {
    run(passView, actions) {
      const pool = passView.workers.filter(worker => isUsable(worker, passView.now))
      const index = indexWorkers(pool)
      const openSteps = listOpenSteps(passView)
      const budget = createWorkBudget(passView.workLimit)
      const limited = limitSteps(openSteps, passView)
      const shares = shareSteps(openSteps, limited, passView, pool)
      const {steps, exceeded} = shares
      const view = {...passView, shareRankOf: shares.shareRankOf}
      const withinShares = steps.filter(({rank}) => rank.shareRank !== BEYOND_SHARE)
      const counted = exceeded.length === 0 ? limited : limitSteps(withinShares, view)
      const reserved = reserver.compute(view, pool, counted, index, budget)
      const room = createWorkspaceRoom(view.workspaceUses)
      const state: PassState = {
        view,
        actions,
        index,
        reserved,
        budget,
        waits,
        ends,
        searches: new Map(),
        room,
        claimableRoom: room.copy(),
        heldSteps: [],
      }
      const waitingByService = new Map<string, number>()
      const preparation = budget.spent()
      let workDuration: Milliseconds = 0
      let idleRequesters = view.idleRequesters

      function handleStep(open: OpenStep, isUrgent: boolean): void {
        const {run, queue} = open
        budget.spend(1)
        const startable = findStartable(open, isUrgent, state)
        if (startable === 0) return
        const group = index.findGroup(run, queue.service)
        const waitingBefore = run.waiting.size
        placeStep({...open, startable}, group, state)
        const unplaced = open.startable - (waitingBefore - run.waiting.size)
        if (run.waiting.size === 0 || unplaced <= 0) return
        const claimed = claimRoom(open, unplaced, state)
        if (claimed === 0) return
        const waiting = {...open, startable: claimed}
        if (isUrgent && !waits.isWaiting(run)) {
          holdForHeadroom(waiting, view.now, reserved)
          reserveForStep(waiting, group.workers, view.now, reserved, index, budget)
          preempt(waiting, group.workers, view, reserved, index, budget, state.searches, actions.preempt)
        }
        const position = waitingByService.get(queue.service) ?? 0
        waitingByService.set(queue.service, position + 1)
        const wasAwaitingAdvice = run.isAwaitingAdvice
        const mayRequestEarly = position < EARLY_ADVICE_STEPS && idleRequesters > IDLE_REQUESTERS_KEPT
        requestAdvice(waiting, group, mayRequestEarly, state)
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
          if (claimRoom(open, open.startable, state) === 0) continue
          requestAdvice(open, index.findGroup(open.run, open.queue.service), true, state)
          if (open.run.isAwaitingAdvice) idleRequesters -= 1
        }
      }
      waits.endPass()
      ends.endPass()
      const {heldSteps} = state
      return {
        heldSteps,
        exceededShares: exceeded,
        openSteps: openSteps.length,
        preparation,
        work,
        workDuration,
        isComplete,
      }
    },
  }
}
