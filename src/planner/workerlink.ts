/**
 * The leader's link to one worker. A loop polls reports, and each poll renews the lease of all tasks on the worker; start,
 * stop and throttle orders are sent independently of it. A start order without an answer is repeated unchanged, and after
 * the last try the run is stopped. Only a confirmed stop, a report or the expiry of the lease on the worker's own clock
 * proves that a run is not on the worker.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import type {Logger} from "../core/logger.js"
import type {Step} from "../pipelines/model.js"
import type {ReportAnswer, StartAnswer, WorkerCalls, WorkerReport} from "../pipelines/ports.js"
import type {Assignment, WorkerState} from "./state.js"
import {boundWorkerClock} from "./state.js"

/** How long a worker may delay a report until a run ends; also the usual interval of lease renewals. */
const REPORT_WAIT_MS: Milliseconds = 900
/**
 * The same where latency-sensitive and best-effort tasks share a worker, since throttles follow from reports, and where
 * short tasks run, since a lost answer hides their ends until the call times out.
 */
const SHORT_REPORT_WAIT_MS: Milliseconds = 400
/** Pause after a failed report call. */
const RETRY_MS: Milliseconds = 150
/** Pause between tries of a stop order. */
const STOP_RETRY_MS: Milliseconds = 250
/** Longest wait for listed ends to be stored, since the worker answers at once as long as it lists any. */
const UNSTORED_WAIT_MS: Milliseconds = 250
/**
 * How long each try of a start order waits for the answer. Workers answer within a few milliseconds, and repeating an
 * order does no harm. After the last try, a run without an answer is stopped.
 */
const START_TIMEOUTS_MS: readonly Milliseconds[] = [150, 350, 500, 500]

export interface WorkerLinkEvents {
  /** Called for each report. Resolves when every end that the report lists is stored. */
  readonly onReport: (worker: WorkerState, report: WorkerReport, sentAt: Milliseconds) => Promise<void>
  readonly onUnreachable: (worker: WorkerState) => void
  /** Another worker answers at the address, so the addressed one is gone. */
  readonly onReplaced: (worker: WorkerState) => void
  /** The worker has seen a higher term than this leader's. */
  readonly onTermRefused: (worker: WorkerState) => void
  /** With `mayHaveRun`, an earlier try of the order got no answer and may have been carried out. */
  readonly onStartAnswer: (assignment: Assignment, answer: StartAnswer, mayHaveRun: boolean) => void
  /** The order is known not to have reached the worker. */
  readonly onNotSent: (assignment: Assignment) => void
}

export interface WorkerLinkContext {
  readonly term: number
  readonly clock: Clock
  readonly log: Logger
  readonly calls: WorkerCalls
  /** How long a lease lasts from each renewal. */
  readonly leaseDuration: Milliseconds
  /** False when another instance may lead by now, so that no lease may be extended. */
  readonly mayAct: () => boolean
  readonly events: WorkerLinkEvents
}

export interface WorkerLink {
  readonly start: (assignment: Assignment, payload: string, ticket: string, checkpoint: string) => void
  readonly stop: (assignment: Assignment) => void
  /** Stops a run that belongs to no active job. The order is not repeated. */
  readonly stopUnknownTask: (task: string, attempt: number) => void
  /** Limits the task to a percentage of full speed. */
  readonly throttle: (assignment: Assignment, percent: number) => void
  readonly close: () => void
}

function isShort({estimate, lasting}: Step): boolean {
  return estimate > 0 && estimate <= REPORT_WAIT_MS && !lasting
}

/** How long the worker may delay its next report. */
function chooseReportWait(worker: WorkerState): Milliseconds {
  let hasLatencySensitive = false
  let hasBestEffort = false
  let hasShort = false
  for (const {run} of worker.assignments.values()) {
    hasLatencySensitive ||= run.step.tailLimit > 0
    hasBestEffort ||= run.step.fills
    hasShort ||= isShort(run.step)
  }
  return hasShort || (hasLatencySensitive && hasBestEffort) ? SHORT_REPORT_WAIT_MS : REPORT_WAIT_MS
}

/** Opens the link and starts polling reports. */
export function openWorkerLink(worker: WorkerState, context: WorkerLinkContext): WorkerLink {
  const {term, clock, log, calls, leaseDuration, mayAct, events} = context

  function target(): {readonly id: string; readonly address: string} {
    return worker.listing
  }

  /** A new lease deadline on the worker's clock, recorded before it is sent. Undefined when no lease may be extended. */
  function extendLease(): Milliseconds | undefined {
    const bounds = boundWorkerClock(worker, clock.now())
    if (!bounds || !mayAct()) return undefined
    const deadline = Math.floor(bounds.most + leaseDuration)
    worker.deadline = Math.max(worker.deadline, deadline)
    return deadline
  }

  /** Returns whether polling continues. */
  async function handleReport(answer: ReportAnswer, sentAt: Milliseconds): Promise<boolean> {
    if (answer.type === "superseded") {
      events.onTermRefused(worker)
      return false
    }
    if (answer.type === "replaced") {
      events.onReplaced(worker)
      return false
    }
    worker.clock = {workerTime: answer.report.clock, localTime: clock.now()}
    worker.isReachable = true
    const stored = events.onReport(worker, answer.report, sentAt)
    if (answer.report.ended.length > 0) await Promise.race([stored, sleep(clock, UNSTORED_WAIT_MS)])
    return true
  }

  const isOpen = (): boolean => !worker.isClosed
  /** The last report call got no answer, so it is unknown whether the worker is still there. */
  let isInDoubt = false
  async function pollReports(): Promise<void> {
    while (isOpen()) {
      const sentAt = clock.now()
      // A request to a silent worker may still be carried out late, so it must not extend the lease.
      const deadline = worker.isReachable && !isInDoubt ? extendLease() : undefined
      const wait = chooseReportWait(worker)
      const answer = await calls.report(target(), {
        term,
        // A silent worker may have restarted. Its ends then count from one again, and none is acknowledged.
        acknowledged: isInDoubt || !worker.isReachable ? 0 : worker.acknowledgedThrough,
        incarnation: worker.incarnation,
        deadline,
        wait: worker.isReachable && worker.isFenced && !isInDoubt ? wait : 0,
      })
      if (!isOpen()) return
      if (answer.isOk()) {
        isInDoubt = false
        if (!(await handleReport(answer.value, sentAt))) return
        continue
      }
      // A single lost answer is no proof: the next report, without a wait, shows whether the worker is there.
      if (answer.error.certainty === "unknown" && !isInDoubt) {
        isInDoubt = true
        continue
      }
      if (worker.isReachable) {
        const {id} = worker.listing
        log.warn(
          {event: "worker-unreachable", worker: id, reason: answer.error.message},
          "report call failed; worker is considered unreachable",
        )
      }
      worker.isReachable = false
      events.onUnreachable(worker)
      await sleep(clock, RETRY_MS)
    }
  }

  async function sendStop(assignment: Assignment): Promise<void> {
    while (assignment.phase === "stopping" && !worker.isClosed) {
      const answer = await calls.stop(target(), assignment.task, assignment.attempt, term)
      if (answer.isOk()) {
        if (answer.value === "superseded") events.onTermRefused(worker)
        else if (answer.value === "replaced") events.onReplaced(worker)
        else assignment.stopConfirmedAt = clock.now()
        return
      }
      await sleep(clock, STOP_RETRY_MS)
    }
  }

  function stop(assignment: Assignment): void {
    if (assignment.phase === "stopping" || assignment.phase === "gone") return
    assignment.phase = "stopping"
    void sendStop(assignment)
  }

  async function sendStart(
    assignment: Assignment,
    payload: string,
    ticket: string,
    checkpoint: string,
  ): Promise<void> {
    let mayHaveBeenSent = false
    const {incarnation} = worker
    const deadline = extendLease()
    if (deadline === undefined) {
      events.onNotSent(assignment)
      return
    }
    for (const timeout of START_TIMEOUTS_MS) {
      const {task, attempt} = assignment
      const order = {task, attempt, payload, incarnation, deadline, term, ticket, checkpoint, timeout}
      const answer = await calls.start(target(), order)
      if (assignment.phase === "gone" || !isOpen()) return
      if (answer.isOk()) {
        events.onStartAnswer(assignment, answer.value, mayHaveBeenSent)
        return
      }
      if (answer.error.certainty === "unknown") mayHaveBeenSent = true
      else if (!mayHaveBeenSent) break
      // A stop requested meanwhile resolves the run by itself.
      if (assignment.phase !== "starting") return
    }
    if (!mayHaveBeenSent) events.onNotSent(assignment)
    else stop(assignment)
  }

  async function runLoop(): Promise<void> {
    while (isOpen()) {
      try {
        await pollReports()
        return
      } catch (error) {
        // Only this loop detects ends of runs and silent workers, so it must survive an exception.
        log.error(
          {event: "report-fault", worker: worker.listing.id, reason: describeError(error)},
          "exception while processing a report; polling continues",
        )
        await sleep(clock, RETRY_MS)
      }
    }
  }

  void runLoop()

  return {
    start: (assignment, payload, ticket, checkpoint) =>
      void sendStart(assignment, payload, ticket, checkpoint),
    stop,
    stopUnknownTask: (task, attempt) => void calls.stop(target(), task, attempt, term),
    throttle: (assignment, percent) =>
      void calls.throttle(target(), assignment.task, assignment.attempt, percent, term),
    close() {
      worker.isClosed = true
    },
  }
}
