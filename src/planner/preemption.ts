/** Finds running tasks that may be stopped to make room for a step of a pass. */
import type {Milliseconds} from "../core/clock.js"
import {add} from "../core/resources.js"
import {compareWaitingSteps, isTooLate} from "../pipelines/order.js"
import {choosePreemption} from "../pipelines/preempting.js"
import type {Victim} from "../pipelines/preempting.js"
import {allowedOf, freeAt} from "./candidates.js"
import type {OpenStep, PassView} from "./opensteps.js"
import {rankOf} from "./opensteps.js"
import type {KeptRoom} from "./roomkeeper.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {roomOf} from "./state.js"

/** A step may have tasks stopped for it once this share of its objective has passed. */
const PREEMPT_SHARE = 0.1
/** The longest that a step waits before tasks are stopped for it. */
const PREEMPT_WAIT_MS: Milliseconds = 1000
/** Tasks of one step are stopped for others no more often than this. */
const MOST_PREEMPTIONS = 3
/** Tasks of one step for which room is made at once. */
const PREEMPT_TASKS = 4

/** Estimated run time that is left, from how far the task has come. */
function remainingOf(assignment: Assignment, now: Milliseconds): Milliseconds {
  const {percent, run, since} = assignment
  return percent > 0 ? ((now - since) * (100 - percent)) / percent : run.step.estimate
}

function isVictim(assignment: Assignment, open: OpenStep, view: PassView): boolean {
  const {run, phase} = assignment
  const {step, owner} = run
  if (phase !== "running" || !step.checkpointing || step.lasting || step.fills) return false
  if (run.preempted >= MOST_PREEMPTIONS || owner === open.run.owner) return false
  return compareWaitingSteps(rankOf(run, view.queueOf(owner), view), open.rank, view.now) > 0
}

/** Stops running tasks that come after the step in the order, where that makes room for it. */
export function preempt(
  open: OpenStep,
  workers: readonly WorkerState[],
  view: PassView,
  state: KeptRoom,
  stop: (run: StepRun, victims: readonly Assignment[]) => void,
): void {
  const {run, queue, rank} = open
  const {now} = view
  if (!state.busy.has(queue.service) || now < run.preemptAt || isTooLate(rank, now)) return
  if (run.step.lasting || run.step.fills) return
  if (now - rank.arrived < Math.min(PREEMPT_WAIT_MS, (rank.due - rank.arrived) * PREEMPT_SHARE)) return
  const running = new Map<string, Assignment>()
  const options = allowedOf(open, workers).map(worker => {
    let free = freeAt(worker)
    const victims: Victim[] = []
    for (const [key, assignment] of worker.assignments) {
      const room = roomOf(assignment.run.step)
      if (assignment.phase === "stopping") free = add(free, room)
      if (!isVictim(assignment, open, view)) continue
      running.set(key, assignment)
      victims.push({key, demand: room, remaining: remainingOf(assignment, now)})
    }
    return {free, victims}
  })
  const tasks = run.step.gang ? run.waiting.size : Math.min(PREEMPT_TASKS, run.waiting.size)
  const stopped = choosePreemption(roomOf(run.step), run.step.estimate, tasks, options)
  if (stopped.length === 0) return
  run.preemptAt = now + PREEMPT_WAIT_MS
  stop(
    run,
    stopped.map(key => running.get(key)).filter(assignment => assignment !== undefined),
  )
}
