/**
 * Finds the steps that a scheduling pass may start, and those for which it may request advice ahead, and ranks them.
 * Also defines the view of the leader's state that a pass works on.
 */
import type {Milliseconds} from "../core/clock.js"
import type {ShareRank} from "../pipelines/fairshare.js"
import type {Queue} from "../pipelines/model.js"
import {compareWaitingSteps, latencyObjective} from "../pipelines/order.js"
import type {WaitingStep} from "../pipelines/order.js"
import {mayBegin} from "../pipelines/progress.js"
import type {WaitingTasks, WorkspaceUse} from "../pipelines/workspaceroom.js"
import type {ActiveJob, StepRun, WorkerState} from "./state.js"
import {dueAt, findStepRun} from "./state.js"

/** The leader's state as one scheduling pass sees it. */
export interface PassView {
  readonly now: Milliseconds
  readonly wallClock: Milliseconds
  readonly activeJobs: readonly ActiveJob[]
  readonly workers: readonly WorkerState[]
  readonly queueOf: (active: ActiveJob) => Queue
  /**
   * False while an unreachable worker may still run tasks of the job that an earlier leader started, and until a later
   * leader would look for tasks of the job at the service.
   */
  readonly mayStart: (active: ActiveJob, service: string) => boolean
  /** True while a worker has reported runs of the job that are not yet assigned in this leader's state. */
  readonly awaitsListing: (job: string) => boolean
  /** Priority of the most urgent queue, by service. */
  readonly urgentPriorities: ReadonlyMap<string, number>
  /** Instances that are free to call the advice service, less the requests already queued. */
  readonly idleRequesters: number
  /** What each workspace with a limit occupies. */
  readonly workspaceUses: ReadonlyMap<string, WorkspaceUse>
  /** The rank of running tasks by the fair share of their workspace. Absent while steps have no such ranks. */
  readonly shareRankOf?: (run: StepRun, queue: Queue) => ShareRank
  /** Limit on the work of the pass; see `nextWorkLimit`. */
  readonly workLimit: number
}

/** A step with tasks that may start now, or soon. */
export interface OpenStep {
  readonly run: StepRun
  readonly queue: Queue
  readonly rank: WaitingStep
  /** The number of waiting tasks for which the limit of the workspace leaves room; of a gang all or none. */
  readonly startable: number
}

/** The number of waiting tasks that have run before under this leader, or before it as far as that is known. */
export function countRestarts({step, waiting, latestAttempts}: StepRun): number {
  if (step.gang) return latestAttempts.has(0) ? waiting.size : 0
  let restarts = 0
  for (const index of waiting) if (latestAttempts.has(index)) restarts += 1
  return restarts
}

/** The step's waiting tasks, as the room of its workspace counts them. */
export function waitingTasksOf(run: StepRun): WaitingTasks {
  const {owner, step, waiting} = run
  const restarts = step.lasting ? countRestarts(run) : 0
  return {workspace: owner.job.workspace, step, waiting: waiting.size, restarts}
}

function isOpen(run: StepRun, view: PassView): boolean {
  const {owner, step} = run
  if (run.waiting.size === 0 || owner.progress.outcome !== undefined || run.retryAt > view.now) return false
  if (step.gang && (run.assignments.size > 0 || run.waiting.size < step.count)) return false
  return (
    dueAt(owner.job, run.occurrence) <= view.wallClock &&
    mayBegin(owner.job, owner.progress, run.occurrence, run.stepIndex)
  )
}

/** The step's position in the scheduling order, by its queue, its latency objective and the work left. */
export function rankStep(run: StepRun, queue: Queue, view: PassView): WaitingStep {
  const {job} = run.owner
  const begin = dueAt(job, run.occurrence)
  const arrived = begin === 0 ? run.owner.arrivedAt : view.now - (view.wallClock - begin)
  const due = arrived + latencyObjective(job, queue)
  const work = run.waiting.size * run.step.demand.processors * run.step.estimate
  const shareRank = view.shareRankOf?.(run, queue)
  return {priority: queue.priority, due, work, arrived, shareRank}
}

/** Steps with waiting tasks that may start now, in scheduling order. */
export function listOpenSteps(view: PassView): readonly OpenStep[] {
  const steps: OpenStep[] = []
  for (const active of view.activeJobs) {
    const queue = view.queueOf(active)
    if (!view.mayStart(active, queue.service)) continue
    if (active.isInherited && view.awaitsListing(active.job.id)) continue
    for (const run of active.stepRuns) {
      if (!isOpen(run, view)) continue
      steps.push({run, queue, rank: rankStep(run, queue, view), startable: run.waiting.size})
    }
  }
  return steps.sort((one, other) => compareWaitingSteps(one.rank, other.rank, view.now))
}

/** Advice is requested ahead when the preceding steps should end within this share of a ticket's validity. */
const LOOKAHEAD_TICKET_SHARE = 0.5

/** Steps that wait only for running tasks which should end soon, and for which no advice was requested yet. */
export function listUpcomingSteps(view: PassView): readonly OpenStep[] {
  const upcoming: OpenStep[] = []
  for (const active of view.activeJobs) {
    const queue = view.queueOf(active)
    if (!queue.advice || active.progress.outcome !== undefined || active.job.steps.length === 1) continue
    for (const run of active.stepRuns) {
      if (
        run.policyVerdicts.size > 0 ||
        run.isAwaitingAdvice ||
        run.step.after.length === 0 ||
        run.waiting.size === 0
      )
        continue
      if (mayBegin(active.job, active.progress, run.occurrence, run.stepIndex)) continue
      if (maySoonBegin(run, view.now, queue.advice.ticketLife * LOOKAHEAD_TICKET_SHARE))
        upcoming.push({run, queue, rank: rankStep(run, queue, view), startable: run.waiting.size})
    }
  }
  return upcoming
}

/** True when each task of the preceding steps is done, or is assigned and should be done within the span. */
function maySoonBegin(run: StepRun, now: Milliseconds, span: Milliseconds): boolean {
  return run.step.after.every(earlier => {
    const before = findStepRun(run.owner, run.occurrence, earlier)
    if (!before || before.waiting.size > 0) return false
    return [...before.assignments].every(({assignedAt}) => assignedAt + before.step.estimate - now < span)
  })
}
