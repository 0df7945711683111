/** The steps that a pass may start or ask advice for, with their rank, and the view of the fleet that a pass works on. */
import type {Milliseconds} from "../core/clock.js"
import type {Queue} from "../pipelines/model.js"
import {compareWaitingSteps, latencyObjective} from "../pipelines/order.js"
import type {WaitingStep} from "../pipelines/order.js"
import {mayBegin} from "../pipelines/progress.js"
import type {ActiveJob, StepRun, WorkerState} from "./state.js"
import {findRun} from "./state.js"

export interface PassView {
  readonly now: Milliseconds
  readonly wallClock: Milliseconds
  readonly active: readonly ActiveJob[]
  readonly workers: readonly WorkerState[]
  readonly queueOf: (active: ActiveJob) => Queue
  /** False while an earlier leader's runs of inherited jobs may be at a worker of the service. */
  readonly mayStartInherited: (service: string) => boolean
  /** A worker has told of runs of the job that this leader has not placed yet. */
  readonly awaitsListing: (job: string) => boolean
  /** For each service, the priority of its most urgent queue. */
  readonly urgentPriority: ReadonlyMap<string, number>
  /** Instances that have no call for advice in hand. */
  readonly idleAskers: number
}

export interface OpenStep {
  readonly run: StepRun
  readonly queue: Queue
  readonly rank: WaitingStep
}

function dueAt(run: StepRun): number {
  const {job} = run.owner
  return job.firstDue === 0 ? 0 : job.firstDue + run.occurrence * job.interval
}

function isOpen(run: StepRun, view: PassView): boolean {
  const {owner, step} = run
  if (run.waiting.size === 0 || owner.progress.outcome !== undefined || run.retryAt > view.now) return false
  if (step.gang && (run.assignments.size > 0 || run.waiting.size < step.count)) return false
  return dueAt(run) <= view.wallClock && mayBegin(owner.job, owner.progress, run.occurrence, run.stepIndex)
}

export function rankOf(run: StepRun, queue: Queue, view: PassView): WaitingStep {
  const {job} = run.owner
  const begin = dueAt(run)
  const arrived = begin === 0 ? run.owner.arrived : view.now - (view.wallClock - begin)
  const due = arrived + latencyObjective(job, queue)
  const work = run.waiting.size * run.step.demand.processors * run.step.estimate
  return {priority: queue.priority, due, work, arrived}
}

export function openSteps(view: PassView): readonly OpenStep[] {
  const steps: OpenStep[] = []
  for (const active of view.active) {
    const queue = view.queueOf(active)
    if (active.inherited && (!view.mayStartInherited(queue.service) || view.awaitsListing(active.job.id)))
      continue
    for (const run of active.runs) {
      if (!isOpen(run, view)) continue
      steps.push({run, queue, rank: rankOf(run, queue, view)})
    }
  }
  return steps.sort((one, other) => compareWaitingSteps(one.rank, other.rank, view.now))
}

/** Advice for a step is asked ahead when the steps before it should end within this share of a ticket's life. */
const AHEAD_SHARE = 0.5

/** Steps that wait only for running tasks which should end soon, and of which no advice was asked. */
export function comingSteps(view: PassView): readonly OpenStep[] {
  const coming: OpenStep[] = []
  for (const active of view.active) {
    const queue = view.queueOf(active)
    if (!queue.advice || active.progress.outcome !== undefined || active.job.steps.length === 1) continue
    for (const run of active.runs) {
      if (run.verdicts.size > 0 || run.asking || run.step.after.length === 0 || run.waiting.size === 0)
        continue
      if (mayBegin(active.job, active.progress, run.occurrence, run.stepIndex)) continue
      if (beginsWithin(run, view.now, queue.advice.ticketLife * AHEAD_SHARE))
        coming.push({run, queue, rank: rankOf(run, queue, view)})
    }
  }
  return coming
}

/** True when every task of the steps before is at a worker or done, and should be done within the span. */
function beginsWithin(run: StepRun, now: Milliseconds, span: Milliseconds): boolean {
  return run.step.after.every(earlier => {
    const before = findRun(run.owner, run.occurrence, earlier)
    if (!before || before.waiting.size > 0) return false
    return [...before.assignments].every(({since}) => since + before.step.estimate - now < span)
  })
}
