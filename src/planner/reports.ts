/**
 * Processes the reports of workers: runs that have ended, runs that an earlier leader started, and runs that the
 * worker no longer has. Each end is handled once, and is acknowledged to the worker only when its effect is stored.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {TaskName} from "../pipelines/model.js"
import {parseTask} from "../pipelines/model.js"
import {isDone} from "../pipelines/progress.js"
import {countShortRuns, pauseBeforeRestart} from "../pipelines/restarts.js"
import {TYPICAL_SPEED} from "../pipelines/workerspeeds.js"
import type {EndedTask, RunningTask, WorkerReport} from "../pipelines/ports.js"
import type {Confirmation} from "./confirmation.js"
import type {JobTable} from "./jobtable.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {assign, assignmentKey, findStepRun, release} from "./state.js"
import type {WorkerLink} from "./workerlink.js"

/**
 * How long after its first report a job may still turn out to be stored. It covers two reads of all stored jobs, which
 * begin one second plus the duration of a read apart.
 */
const UNKNOWN_JOB_WAIT_MS: Milliseconds = 2500

/** Factor applied to earlier ends at each new end, so that about the last ten ends count. */
const END_WEIGHT_DECAY = 0.9

/** A read of the stored jobs. Its answer may come so late that it lacks jobs which are stored when it is read. */
export interface WorkRead {
  readonly sentAt: Milliseconds
  readonly answeredAt: Milliseconds
}

export interface ReportContext {
  readonly clock: Clock
  readonly log: Logger
  readonly jobs: JobTable
  readonly leaseDuration: Milliseconds
  readonly confirmation: Confirmation
  readonly linkOf: (worker: WorkerState) => WorkerLink | undefined
  /** Called when capacity has become free or a step may have become ready. */
  readonly onChange: () => void
  /** The latest read of the stored jobs whose answer has come. */
  readonly workRead: () => WorkRead
  /** Called when a run that is assigned here has ended well. */
  readonly onDone: (assignment: Assignment) => void
  /** Called when a worker has answered for the first time in this term. */
  readonly onFenced: (worker: WorkerState) => void
  /** Called when a worker has for the first time listed all that it ran for earlier leaders. */
  readonly onReported: (worker: WorkerState) => void
}

/**
 * A job that was reported before it was known waits this many lease durations for its runs to be reported again. The
 * wait is bounded because their worker may be gone.
 */
const REPORT_WAIT_LEASES = 1.5

export interface ReportReader {
  /** True while a worker has reported runs of the job before the job was known, and not again since. */
  readonly isAwaitingReport: (job: string) => boolean
  /** Resolves when the effect of every end in the report is stored. */
  readonly handleReport: (worker: WorkerState, report: WorkerReport, sentAt: Milliseconds) => Promise<void>
}

export function createReportReader(context: ReportContext): ReportReader {
  const {clock, log, jobs, leaseDuration, confirmation, linkOf, onChange, onFenced, onReported, workRead} =
    context
  /** For each worker, a promise that resolves when the ends handled so far are stored. */
  const storing = new Map<WorkerState, Promise<void>>()

  /** For each job that was not known when reported: when this was first, and which workers last reported it when. */
  const unknownJobs = new Map<
    string,
    {readonly first: Milliseconds; readonly lastByWorker: Map<WorkerState, Milliseconds>}
  >()

  /**
   * True if the job of the task is not known here but may be in the store: the instance that stored it may have
   * notified only an earlier leader. Until the stored jobs have been read again, its ends are not acknowledged and its
   * runs are not stopped.
   */
  function mayBecomeKnown(worker: WorkerState, task: string): boolean {
    const job = parseTask(task)?.job
    if (job === undefined || jobs.stateOf(job) !== undefined) return false
    const now = clock.now()
    const reported = unknownJobs.get(job) ?? {first: now, lastByWorker: new Map<WorkerState, Milliseconds>()}
    unknownJobs.set(job, reported)
    reported.lastByWorker.set(worker, now)
    const {first} = reported
    const {sentAt, answeredAt} = workRead()
    return sentAt <= first || answeredAt < first + UNKNOWN_JOB_WAIT_MS
  }

  /** Called for each reported task: once its job is known, the job no longer has to wait for this worker. */
  function recordListed(worker: WorkerState, task: string): void {
    const job = parseTask(task)?.job
    if (job === undefined || jobs.stateOf(job) === undefined) return
    const reported = unknownJobs.get(job)
    reported?.lastByWorker.delete(worker)
    if (reported?.lastByWorker.size === 0) unknownJobs.delete(job)
  }

  function isAwaitingReport(job: string): boolean {
    const reported = unknownJobs.get(job)
    if (!reported) return false
    const last = Math.max(...reported.lastByWorker.values())
    // A later leader may have extended the leases, unless there was none yet when they had expired.
    const expiredAt = last + leaseDuration * REPORT_WAIT_LEASES
    if (clock.now() < expiredAt) return true
    if (confirmation.confirmedAt() < expiredAt) {
      confirmation.request()
      return true
    }
    unknownJobs.delete(job)
    return false
  }

  function dropAssignment(assignment: Assignment): void {
    release(assignment)
    jobs.dropIfFinished(assignment.run.owner)
    onChange()
  }

  /** Resets the state of a worker that has restarted and lost the runs and ends of its earlier incarnation. */
  function resetWorker(worker: WorkerState, report: WorkerReport, sentAt: Milliseconds): void {
    log.warn({event: "worker-restarted", worker: worker.listing.id}, "a worker has restarted")
    worker.handledThrough = 0
    worker.handledOutOfOrder.clear()
    worker.acknowledgedThrough = 0
    // Requests meant for the earlier incarnation do not reach this one, but an earlier leader may have found it first.
    worker.deadline = report.clock + leaseDuration
    storing.delete(worker)
    // It may be of another kind than before.
    worker.speed = TYPICAL_SPEED
    for (const assignment of [...worker.assignments.values()]) {
      if (assignment.confirmedAt === undefined) linkOf(worker)?.stop(assignment)
      // A start confirmed later may be one of this incarnation; the next report shows it.
      else if (assignment.confirmedAt < sentAt) dropAssignment(assignment)
    }
  }

  /** Finds the step run of a task of an active job; undefined if the job, step or index does not exist. */
  function findActiveStepRun(name: TaskName): StepRun | undefined {
    const active = jobs.active.get(name.job)
    const run = active && findStepRun(active, name.occurrence, name.step)
    return run && name.index < run.step.count ? run : undefined
  }

  /** False if another attempt of the task is assigned, so that the end comes from an abandoned run. */
  function isCurrent(run: StepRun, ended: EndedTask, index: number): boolean {
    for (const other of run.assignments) {
      if (run.step.gang ? other.attempt !== ended.attempt : other.index === index) return false
    }
    return true
  }

  function updateFailureRate(worker: WorkerState, ended: EndedTask): void {
    if (ended.end !== "done" && ended.end !== "failed") return
    worker.failureWeight = worker.failureWeight * END_WEIGHT_DECAY + (ended.end === "failed" ? 1 : 0)
    worker.successWeight = worker.successWeight * END_WEIGHT_DECAY + (ended.end === "done" ? 1 : 0)
  }

  /** Lets a task that lasts and has ended by itself stay down for a moment. */
  function pauseRestart({run, index, assignedAt}: Assignment): void {
    const shortRuns = countShortRuns(run.shortRuns.get(index) ?? 0, clock.now() - assignedAt)
    run.shortRuns.set(index, shortRuns)
    const pause = pauseBeforeRestart(shortRuns)
    run.retryAt = Math.max(run.retryAt, clock.now() + pause)
    clock.after(pause, onChange)
  }

  function handleEnd(worker: WorkerState, ended: EndedTask): Promise<void> | undefined {
    const name = parseTask(ended.task)
    const run = name && findActiveStepRun(name)
    if (!name || !run) return undefined
    const assignment = worker.assignments.get(assignmentKey(ended.task, ended.attempt))
    const {owner} = run
    const {id} = worker.listing
    log.info(
      {event: "run-ended", task: ended.task, attempt: ended.attempt, worker: id, end: ended.end},
      "a run of a task has ended",
    )
    updateFailureRate(worker, ended)
    if (ended.end === "done" && assignment) context.onDone(assignment)
    if (run.step.lasting && assignment && (ended.end === "done" || ended.end === "failed"))
      pauseRestart(assignment)
    if (ended.checkpoint !== "") run.checkpoints.set(run.step.gang ? 0 : name.index, ended.checkpoint)
    const counter = run.step.gang ? 0 : name.index
    run.latestAttempts.set(counter, Math.max(ended.attempt, run.latestAttempts.get(counter) ?? 0))
    let stored: Promise<void> | undefined
    if (ended.end === "done" && (assignment || isCurrent(run, ended, name.index))) {
      stored = jobs.updateProgress(owner, {type: "task-done", task: name})
      if (isDone(owner.progress, name)) removeWaiting(run, name)
    } else if (ended.end === "failed") {
      stored = jobs.updateProgress(owner, {
        type: "task-failed",
        task: name,
        attempt: ended.attempt,
        worker: id,
        limit: jobs.queueOf(owner.job).attempts,
      })
    }
    if (assignment) dropAssignment(assignment)
    jobs.dropIfFinished(owner)
    return stored?.then(() => jobs.dropIfFinished(owner))
  }

  function removeWaiting(run: StepRun, name: TaskName): void {
    if (run.step.gang) run.waiting.clear()
    else run.waiting.delete(name.index)
  }

  /**
   * Takes over a run that this leader did not start if its task is waiting, otherwise stops it. Returns whether it
   * was taken over.
   */
  function adoptOrStopRun(worker: WorkerState, running: RunningTask): boolean {
    const name = parseTask(running.task)
    const run = name && findActiveStepRun(name)
    if (name && run?.owner.progress.outcome === undefined && run?.waiting.has(name.index)) {
      const assignment = assign(run, name.index, running.attempt, worker, clock.now())
      assignment.phase = "running"
      assignment.confirmedAt = clock.now()
      assignment.hasEarlierWork = true
      // The speed that the earlier leader allowed is not known.
      if (run.step.fills) assignment.speedPercent = 0
      run.owner.hasStarted = true
      updateAssignment(assignment, running)
      return true
    }
    const {id} = worker.listing
    log.info(
      {event: "stranger-stopped", task: running.task, attempt: running.attempt, worker: id},
      "stopping a run that no active job needs",
    )
    linkOf(worker)?.stopUnknownTask(running.task, running.attempt)
    return false
  }

  function updateAssignment(assignment: Assignment, running: RunningTask): void {
    assignment.confirmedAt ??= clock.now()
    assignment.progressPercent = running.percent
    assignment.gauge = running.gauge
    if (assignment.phase === "starting") assignment.phase = "running"
    const {run, index} = assignment
    if (running.checkpoint !== "") run.checkpoints.set(run.step.gang ? 0 : index, running.checkpoint)
  }

  /**
   * Drops runs that a report of all ends does not list, provided that their start or stop was confirmed before the report
   * was requested. Otherwise the report may be older than the run.
   */
  function dropUnlisted(worker: WorkerState, listed: ReadonlySet<string>, sentAt: Milliseconds): void {
    for (const [key, assignment] of [...worker.assignments]) {
      if (listed.has(key)) continue
      const settledAt = assignment.confirmedAt ?? assignment.stopConfirmedAt
      if (settledAt !== undefined && settledAt < sentAt) dropAssignment(assignment)
    }
  }

  function handleRunning(worker: WorkerState, report: WorkerReport, sentAt: Milliseconds): void {
    const listed = new Set<string>()
    let unknownRuns = 0
    const unknownJobs = new Set<string>()
    for (const running of report.running) {
      const key = assignmentKey(running.task, running.attempt)
      listed.add(key)
      const assignment = worker.assignments.get(key)
      if (assignment) updateAssignment(assignment, running)
      else if (mayBecomeKnown(worker, running.task) || !adoptOrStopRun(worker, running)) {
        unknownRuns += 1
        const job = parseTask(running.task)?.job
        if (job !== undefined) unknownJobs.add(job)
      }
      recordListed(worker, running.task)
    }
    worker.unknownTaskCount = unknownRuns
    worker.unknownJobs = unknownJobs
    if (!report.mayOmitEnds) dropUnlisted(worker, listed, sentAt)
  }

  /**
   * Handles each end once. An end whose job may yet become known is left for a later report. Only the ends before it
   * can be acknowledged, but those after it are handled too, because their tasks must not start again.
   */
  function handleEnds(worker: WorkerState, report: WorkerReport): readonly (Promise<void> | undefined)[] {
    const storedEffects: (Promise<void> | undefined)[] = []
    let hasGap = false
    for (const ended of report.ended) {
      const {number} = ended
      if (number <= worker.handledThrough) continue
      if (!worker.handledOutOfOrder.has(number)) {
        if (mayBecomeKnown(worker, ended.task)) {
          hasGap = true
          continue
        }
        storedEffects.push(handleEnd(worker, ended))
        recordListed(worker, ended.task)
      }
      if (hasGap) worker.handledOutOfOrder.add(number)
      else worker.handledThrough = number
    }
    for (const number of worker.handledOutOfOrder)
      if (number <= worker.handledThrough) worker.handledOutOfOrder.delete(number)
    return storedEffects
  }

  return {
    isAwaitingReport,
    async handleReport(worker, report, sentAt) {
      if (worker.incarnation !== 0 && worker.incarnation !== report.bornAt)
        resetWorker(worker, report, sentAt)
      worker.incarnation = report.bornAt
      const handledBefore = worker.handledThrough
      const storedEffects = handleEnds(worker, report)
      const handledThrough = worker.handledThrough
      handleRunning(worker, report, sentAt)
      if (!worker.isFenced) {
        worker.isFenced = true
        // An earlier leader may have extended the leases up to this report.
        worker.deadline = Math.max(worker.deadline, report.clock + leaseDuration)
        onFenced(worker)
      }
      if (!worker.isReported && !report.mayOmitEnds) {
        worker.isReported = true
        onReported(worker)
      }
      if (storedEffects.length > 0 || handledThrough > handledBefore) {
        const {incarnation: life} = worker
        const all = Promise.all([storing.get(worker), ...storedEffects]).then(() => {
          if (worker.incarnation === life)
            worker.acknowledgedThrough = Math.max(worker.acknowledgedThrough, handledThrough)
        })
        storing.set(worker, all)
        onChange()
      }
      await storing.get(worker)
    },
  }
}
