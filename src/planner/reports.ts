/**
 * Takes in what workers report: ends of runs, runs that a former leader started, runs that are no longer there. Each
 * end is handled once, and counts as noted at the worker only when its effect is stored.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {TaskName} from "../pipelines/model.js"
import {parseTask} from "../pipelines/model.js"
import {isDone} from "../pipelines/progress.js"
import type {EndedTask, RunningTask, WorkerReport} from "../pipelines/ports.js"
import type {JobTable} from "./jobtable.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {assign, assignmentKey, findStepRun, release} from "./state.js"
import type {WorkerLink} from "./workerlink.js"

/** Two readings of the store's work, a second and the answer apart, find every job that was stored before. */
const UNKNOWN_SETTLE_MS: Milliseconds = 2500

/** Weight that an end keeps after the next one; about the last ten ends count. */
const END_DECAY = 0.9

export interface ReportContext {
  readonly clock: Clock
  readonly log: Logger
  readonly jobs: JobTable
  readonly leaseLife: Milliseconds
  readonly linkOf: (worker: WorkerState) => WorkerLink | undefined
  /** Room has become free or a step may begin. */
  readonly onChange: () => void
  /** When the store's work was last read through. */
  readonly workReadAt: () => Milliseconds
  /** A worker has answered for the first time in this term. */
  readonly onFenced: (worker: WorkerState) => void
}

/** A job that was not known waits this many leases for its runs to be listed again, since their worker may be gone. */
const LISTING_LEASES = 1.5

export interface ReportReader {
  /** True while a worker has told of runs of the job before the job was known, and has not told of them since. */
  readonly awaitsListing: (job: string) => boolean
  /** Resolves when every end that the report lists is stored. */
  readonly take: (worker: WorkerState, report: WorkerReport, sentAt: Milliseconds) => Promise<void>
}

export function createReportReader(context: ReportContext): ReportReader {
  const {clock, log, jobs, leaseLife, linkOf, onChange, onFenced, workReadAt} = context
  /** For each worker, settles when the ends handled so far are stored. */
  const storing = new Map<WorkerState, Promise<void>>()

  /** For each job that was not known here, when a worker first and last told of it. */
  const unknown = new Map<string, {readonly first: Milliseconds; readonly last: Milliseconds}>()

  /**
   * True for a job that may be stored and not known here yet: a former leader may have been told of it by the
   * instance that stored it. Its ends are not noted, and its runs not stopped, before the store's work has been read
   * again.
   */
  function isUnsettled(task: string): boolean {
    const job = parseTask(task)?.job
    if (job === undefined || jobs.stateOf(job) !== undefined) return false
    const now = clock.now()
    const first = unknown.get(job)?.first ?? now
    unknown.set(job, {first, last: now})
    return workReadAt() < first + UNKNOWN_SETTLE_MS
  }

  /** The job is known now and the worker has listed its run: planning may go on. */
  function noteListed(task: string): void {
    const job = parseTask(task)?.job
    if (job !== undefined && jobs.stateOf(job) !== undefined) unknown.delete(job)
  }

  function awaitsListing(job: string): boolean {
    const told = unknown.get(job)
    if (!told) return false
    if (clock.now() - told.last < leaseLife * LISTING_LEASES) return true
    unknown.delete(job)
    return false
  }

  function drop(assignment: Assignment): void {
    release(assignment)
    jobs.dropIfOver(assignment.run.owner)
    onChange()
  }

  /** The worker has started anew and knows nothing of its former life. */
  function forgetLife(worker: WorkerState, report: WorkerReport): void {
    log.warn({event: "worker-restarted", worker: worker.listing.id}, "a worker has started anew")
    worker.handledThrough = 0
    worker.handledOutOfOrder.clear()
    worker.acknowledgedThrough = 0
    // An order to the former life may still reach the new one, under a deadline that is short of this.
    worker.deadline = report.clock + leaseLife
    storing.delete(worker)
    for (const assignment of [...worker.assignments.values()]) {
      if (assignment.confirmedAt !== undefined) drop(assignment)
      else linkOf(worker)?.stop(assignment)
    }
  }

  /** The run that an end or a running task belongs to. */
  function runOf(name: TaskName): StepRun | undefined {
    const active = jobs.active.get(name.job)
    const run = active && findStepRun(active, name.occurrence, name.step)
    return run && name.index < run.step.count ? run : undefined
  }

  /** False when a later attempt of the task is somewhere else, so that the end comes from a run given up. */
  function isCurrent(run: StepRun, ended: EndedTask, index: number): boolean {
    for (const other of run.assignments) {
      if (run.step.gang ? other.attempt !== ended.attempt : other.index === index) return false
    }
    return true
  }

  function rate(worker: WorkerState, ended: EndedTask): void {
    if (ended.end !== "done" && ended.end !== "failed") return
    worker.failureWeight = worker.failureWeight * END_DECAY + (ended.end === "failed" ? 1 : 0)
    worker.successWeight = worker.successWeight * END_DECAY + (ended.end === "done" ? 1 : 0)
  }

  function takeEnd(worker: WorkerState, ended: EndedTask): Promise<void> | undefined {
    const name = parseTask(ended.task)
    const run = name && runOf(name)
    if (!name || !run) return undefined
    const assignment = worker.assignments.get(assignmentKey(ended.task, ended.attempt))
    const {owner} = run
    const {id} = worker.listing
    log.info(
      {event: "run-ended", task: ended.task, attempt: ended.attempt, worker: id, end: ended.end},
      "a run has ended",
    )
    rate(worker, ended)
    if (ended.checkpoint !== "") run.checkpoints.set(run.step.gang ? 0 : name.index, ended.checkpoint)
    const counter = run.step.gang ? 0 : name.index
    run.latestAttempts.set(counter, Math.max(ended.attempt, run.latestAttempts.get(counter) ?? 0))
    let stored: Promise<void> | undefined
    if (ended.end === "done" && (assignment || isCurrent(run, ended, name.index))) {
      stored = jobs.change(owner, {type: "task-done", task: name})
      if (isDone(owner.progress, name)) settleDone(run, name)
    } else if (ended.end === "failed") {
      stored = jobs.change(owner, {
        type: "task-failed",
        task: name,
        attempt: ended.attempt,
        worker: id,
        limit: jobs.queueOf(owner.job).attempts,
      })
    }
    if (assignment) drop(assignment)
    jobs.dropIfOver(owner)
    return stored?.then(() => jobs.dropIfOver(owner))
  }

  function settleDone(run: StepRun, name: TaskName): void {
    if (run.step.gang) run.waiting.clear()
    else run.waiting.delete(name.index)
  }

  /** A run that this leader has not started: it is taken over if its task is open, and stopped otherwise. */
  function takeStranger(worker: WorkerState, running: RunningTask): boolean {
    const name = parseTask(running.task)
    const run = name && runOf(name)
    if (name && run?.owner.progress.outcome === undefined && run?.waiting.has(name.index)) {
      const assignment = assign(run, name.index, running.attempt, worker, clock.now())
      assignment.phase = "running"
      assignment.confirmedAt = clock.now()
      // What the former leader allowed is not known.
      if (run.step.fills) assignment.speedPercent = 0
      run.owner.hasStarted = true
      update(assignment, running)
      return true
    }
    const {id} = worker.listing
    log.info(
      {event: "stranger-stopped", task: running.task, attempt: running.attempt, worker: id},
      "a run that no active job needs is stopped",
    )
    linkOf(worker)?.stopUnknownTask(running.task, running.attempt)
    return false
  }

  function update(assignment: Assignment, running: RunningTask): void {
    assignment.confirmedAt ??= clock.now()
    assignment.progressPercent = running.percent
    assignment.gauge = running.gauge
    if (assignment.phase === "starting") assignment.phase = "running"
    const {run, index} = assignment
    if (running.checkpoint !== "") run.checkpoints.set(run.step.gang ? 0 : index, running.checkpoint)
  }

  /** Runs that the worker lists nowhere are over, if the worker had surely heard of them before it answered. */
  function dropUnlisted(worker: WorkerState, listed: ReadonlySet<string>, sentAt: Milliseconds): void {
    for (const [key, assignment] of [...worker.assignments]) {
      if (listed.has(key)) continue
      const settledAt = assignment.confirmedAt ?? assignment.stopConfirmedAt
      if (settledAt !== undefined && settledAt < sentAt) drop(assignment)
    }
  }

  function takeRunning(worker: WorkerState, report: WorkerReport, sentAt: Milliseconds): void {
    const listed = new Set<string>()
    let strangers = 0
    for (const running of report.running) {
      const key = assignmentKey(running.task, running.attempt)
      listed.add(key)
      const assignment = worker.assignments.get(key)
      if (assignment) update(assignment, running)
      else if (isUnsettled(running.task) || !takeStranger(worker, running)) strangers += 1
      noteListed(running.task)
    }
    worker.unknownTaskCount = strangers
    dropUnlisted(worker, listed, sentAt)
  }

  /**
   * Handles each end once. An end that has to wait leaves a gap in the numbers, up to which ends can be noted; those
   * behind it are handled all the same, since their tasks must not start again.
   */
  function takeEnds(worker: WorkerState, report: WorkerReport): readonly (Promise<void> | undefined)[] {
    const notes: (Promise<void> | undefined)[] = []
    let gap = false
    for (const ended of report.ended) {
      const {number} = ended
      if (number <= worker.handledThrough) continue
      if (!worker.handledOutOfOrder.has(number)) {
        if (isUnsettled(ended.task)) {
          gap = true
          continue
        }
        notes.push(takeEnd(worker, ended))
        noteListed(ended.task)
      }
      if (gap) worker.handledOutOfOrder.add(number)
      else worker.handledThrough = number
    }
    for (const number of worker.handledOutOfOrder)
      if (number <= worker.handledThrough) worker.handledOutOfOrder.delete(number)
    return notes
  }

  return {
    awaitsListing,
    async take(worker, report, sentAt) {
      if (worker.incarnation !== 0 && worker.incarnation !== report.bornAt) forgetLife(worker, report)
      worker.incarnation = report.bornAt
      const before = worker.handledThrough
      const notes = takeEnds(worker, report)
      const last = worker.handledThrough
      takeRunning(worker, report, sentAt)
      if (!worker.isFenced) {
        worker.isFenced = true
        // A former leader may have extended the lease until now.
        worker.deadline = Math.max(worker.deadline, report.clock + leaseLife)
        onFenced(worker)
      }
      if (notes.length > 0 || last > before) {
        const {incarnation: life} = worker
        const all = Promise.all([storing.get(worker), ...notes]).then(() => {
          if (worker.incarnation === life)
            worker.acknowledgedThrough = Math.max(worker.acknowledgedThrough, last)
        })
        storing.set(worker, all)
        onChange()
      }
      await storing.get(worker)
    },
  }
}
