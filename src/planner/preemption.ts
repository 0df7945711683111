/**
 * Preemption: stops running tasks that checkpoint, for a waiting step that ranks before them. Applies only while the
 * service is busy, and only after the step has waited for a while.
 */
import type {Milliseconds} from "../core/clock.js"
import {add} from "../core/resources.js"
import {compareWaitingSteps, isTooLate} from "../pipelines/order.js"
import {choosePreemption} from "../pipelines/preempting.js"
import type {Victim} from "../pipelines/preempting.js"
import {requiredCapacity} from "../pipelines/placing.js"
import {findAllowedWorkers, freeCapacityOf} from "./candidates.js"
import type {OpenStep, PassView} from "./opensteps.js"
import {rankStep} from "./opensteps.js"
import type {ReservedCapacity} from "./capacityreserver.js"
import {PLACING_WORK} from "./passbudget.js"
import type {WorkBudget} from "./passbudget.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import type {WorkerIndex} from "./workerindex.js"

/** Tasks may be preempted for a step once this share of its latency objective has passed. */
const PREEMPT_AFTER_OBJECTIVE_SHARE = 0.1
/** Upper limit of the wait before a step's first preemption, and the pause between its preemptions. */
const PREEMPT_WAIT_MS: Milliseconds = 1000
/** A step whose tasks were preempted this often is not preempted again. */
const MAXIMUM_PREEMPTIONS = 3
/** The pause after a search that found no tasks to preempt for the step. */
const SEARCH_PAUSE_MS: Milliseconds = 200
/** The most steps of one queue for which a pass searches. */
const MAXIMUM_SEARCHES = 4
/** The most tasks of one step, other than a gang, for which capacity is freed at once. */
const MAXIMUM_TASKS_PER_PREEMPTION = 4

/** Remaining run time, extrapolated from the reported progress, or the estimate while there is no progress. */
function estimateRemaining(assignment: Assignment, now: Milliseconds): Milliseconds {
  const {progressPercent, run, assignedAt} = assignment
  return progressPercent > 0
    ? ((now - assignedAt) * (100 - progressPercent)) / progressPercent
    : run.step.estimate
}

/** True when the task may be stopped for the step. */
function isPreemptible(assignment: Assignment, open: OpenStep, view: PassView): boolean {
  const {run, phase} = assignment
  const {step, owner} = run
  if (phase !== "running" || !step.checkpointing || step.lasting || step.fills) return false
  if (run.preemptionCount >= MAXIMUM_PREEMPTIONS || owner === open.run.owner) return false
  return compareWaitingSteps(rankStep(run, view.queueOf(owner), view), open.rank, view.now) > 0
}

/** Stops running tasks that rank after the step, where that frees enough capacity for it. */
export function preempt(
  open: OpenStep,
  workers: readonly WorkerState[],
  view: PassView,
  reserved: ReservedCapacity,
  index: WorkerIndex,
  budget: WorkBudget,
  searches: Map<string, number>,
  stop: (run: StepRun, victims: readonly Assignment[]) => void,
): void {
  const {run, queue, rank, startable} = open
  const {now} = view
  if (!reserved.busyServices.has(queue.service) || now < run.preemptAt || isTooLate(rank, now)) return
  if (run.step.lasting || run.step.fills) return
  if (
    now - rank.arrived <
    Math.min(PREEMPT_WAIT_MS, (rank.due - rank.arrived) * PREEMPT_AFTER_OBJECTIVE_SHARE)
  )
    return
  const searched = searches.get(queue.name) ?? 0
  if (searched >= MAXIMUM_SEARCHES) return
  searches.set(queue.name, searched + 1)
  run.preemptAt = now + SEARCH_PAUSE_MS
  const allowed = findAllowedWorkers(open, workers)
  budget.spend(workers.length)
  if (allowed.every(worker => index.occupancyOf(worker).checkpointing.length === 0)) return
  const running = new Map<string, Assignment>()
  const options = allowed.map(worker => {
    let free = freeCapacityOf(worker)
    const victims: Victim[] = []
    budget.spend(PLACING_WORK + worker.assignments.size)
    for (const [key, assignment] of worker.assignments) {
      const capacity = requiredCapacity(assignment.run.step)
      if (assignment.phase === "stopping") free = add(free, capacity)
      if (!isPreemptible(assignment, open, view)) continue
      running.set(key, assignment)
      victims.push({key, demand: capacity, remaining: estimateRemaining(assignment, now)})
    }
    return {free, victims}
  })
  if (running.size === 0) return
  const tasks = run.step.gang ? startable : Math.min(MAXIMUM_TASKS_PER_PREEMPTION, startable)
  budget.spend(tasks * options.length * PLACING_WORK)
  const stopped = choosePreemption(requiredCapacity(run.step), run.step.estimate, tasks, options)
  if (stopped.length === 0) return
  run.preemptAt = now + PREEMPT_WAIT_MS
  stop(
    run,
    stopped.map(key => running.get(key)).filter(assignment => assignment !== undefined),
  )
}
