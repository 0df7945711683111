/**
 * One pass over the steps that wait: the most urgent first, each gets workers that have room and a ticket; for the
 * rest advice is asked, or running tasks are stopped. Gives decisions; the planner carries them out.
 */
import {fits} from "../core/resources.js"
import type {Milliseconds} from "../core/clock.js"
import {chooseWorkersForAdvice} from "../pipelines/adviceselection.js"
import type {AdviceCandidate} from "../pipelines/adviceselection.js"
import type {Queue} from "../pipelines/model.js"
import {placeTasks} from "../pipelines/placing.js"
import {freeOutsideReservation} from "../pipelines/reserving.js"
import {eligible, freeAt, hasTicket, heldBy, isUsable, optionOf} from "./candidates.js"
import {comingSteps, openSteps} from "./opensteps.js"
import type {OpenStep, PassView} from "./opensteps.js"
import {preempt} from "./preemption.js"
import {createRoomKeeper, mostTasks, reserveFor} from "./roomkeeper.js"
import type {KeptRoom} from "./roomkeeper.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {roomOf} from "./state.js"

/** Steps for which advice is asked ahead of room, for each service. */
const AHEAD_STEPS = 3
/** Calls ahead of room are made only while more instances than this have no call in hand. */
const IDLE_FOR_AHEAD = 2

export interface PassActions {
  /** Starts the tasks of a step, one at each of the workers, and takes their room at once. */
  readonly start: (run: StepRun, workers: readonly WorkerState[]) => void
  readonly ask: (run: StepRun, queue: Queue, workers: readonly string[]) => void
  /** Stops running tasks, which go on from their checkpoints later, to make room for the step. */
  readonly preempt: (run: StepRun, victims: readonly Assignment[]) => void
}

/** Places what can be placed of a step now. */
function place(
  open: OpenStep,
  workers: readonly WorkerState[],
  now: Milliseconds,
  state: KeptRoom,
  actions: PassActions,
): void {
  const {run, queue} = open
  const demand = roomOf(run.step)
  const most = mostTasks(open, state)
  if (most === 0 || (run.step.gang && most < run.waiting.size)) return
  const ready = workers.filter(
    worker => fits(demand, freeAt(worker)) && (queue.advice === undefined || hasTicket(run, worker, now)),
  )
  if (ready.length === 0) return
  const options = ready.map(worker => optionOf(run, worker, state.contention))
  const chosen = placeTasks(
    run.step,
    most,
    state.busy.has(queue.service)
      ? options.map(option => ({
          ...option,
          free: freeOutsideReservation(option, state.reservations.get(option.id)),
        }))
      : options,
  )
  if (chosen.length === 0) return
  const byId = new Map(ready.map(worker => [worker.listing.id, worker]))
  state.free.set(queue.service, (state.free.get(queue.service) ?? 0) - chosen.length * demand.processors)
  actions.start(
    run,
    chosen.map(id => byId.get(id)).filter(worker => worker !== undefined),
  )
}

/** Asks for advice where room is, or ahead of room for the first steps of a service. */
function ask(
  open: OpenStep,
  workers: readonly WorkerState[],
  ahead: boolean,
  view: PassView,
  actions: PassActions,
): void {
  const {run, queue} = open
  if (run.asking || run.waiting.size === 0 || !queue.advice) return
  const options: AdviceCandidate[] = workers
    .filter(worker => run.verdicts.get(worker.listing.id) !== false && !hasTicket(run, worker, view.now))
    .map(worker => ({
      id: worker.listing.id,
      free: freeAt(worker),
      held: heldBy(run, worker),
      allowed: run.verdicts.get(worker.listing.id) === true,
    }))
  // Tickets are kept fresh, since room may come at any moment and stays empty while advice is asked.
  const chosen = chooseWorkersForAdvice(run.step, options, queue.advice, ahead)
  if (chosen.length > 0) actions.ask(run, queue, chosen)
}

export interface PlanningPass {
  readonly run: (view: PassView, actions: PassActions) => void
}

/** Creates the pass. */
export function createPlanningPass(): PlanningPass {
  const rooms = createRoomKeeper()

  return {
    run(view, actions) {
      const pool = view.workers.filter(worker => isUsable(worker, view.now))
      const steps = openSteps(view)
      const state = rooms.keep(view, pool, steps)
      const asked = new Map<string, number>()
      let idle = view.idleAskers
      for (const open of steps) {
        const workers = eligible(open.run, open.queue, pool)
        place(open, workers, view.now, state, actions)
        if (open.run.waiting.size === 0) continue
        reserveFor(open, workers, view.now, state)
        preempt(open, workers, view, state, actions.preempt)
        const rank = asked.get(open.queue.service) ?? 0
        asked.set(open.queue.service, rank + 1)
        const before = open.run.asking
        ask(open, workers, rank < AHEAD_STEPS && idle > IDLE_FOR_AHEAD, view, actions)
        if (!before && open.run.asking) idle -= 1
      }
      for (const open of comingSteps(view)) {
        if (idle <= IDLE_FOR_AHEAD) return
        ask(open, eligible(open.run, open.queue, pool), true, view, actions)
        if (open.run.asking) idle -= 1
      }
    },
  }
}
