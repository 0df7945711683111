/**
 * The leader's link to one worker. A loop asks for reports, which also renews the lease of everything that runs
 * there; orders go out beside it. An order without an answer is repeated as it was, and in the end stopped: only a
 * confirmed stop, a report or the worker's own clock proves that a run cannot be there.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import type {Logger} from "../core/logger.js"
import type {ReportAnswer, StartAnswer, WorkerCalls, WorkerReport} from "../pipelines/ports.js"
import type {Assignment, WorkerState} from "./state.js"
import {clockBounds} from "./state.js"

/** How long a worker may hold a report while nothing ends; also the usual interval of lease renewals. */
const REPORT_WAIT_MS: Milliseconds = 900
/** The interval where tasks that serve share the worker with tasks that fill, whose pace has to follow. */
const SHARED_REPORT_WAIT_MS: Milliseconds = 400
/** Pause after a report that failed. */
const RETRY_MS: Milliseconds = 150
/** Pause between tries of a stop. */
const STOP_RETRY_MS: Milliseconds = 250
/** Pause while listed ends are not stored yet, since the worker answers at once as long as it lists any. */
const UNSTORED_WAIT_MS: Milliseconds = 250
/** Orders without an answer are repeated this often before the run is stopped. */
const START_TRIES = 3

export interface WorkerLinkEvents {
  /** Resolves when every end that the report lists is stored. */
  readonly onReport: (worker: WorkerState, report: WorkerReport, sentAt: Milliseconds) => Promise<void>
  readonly onUnreachable: (worker: WorkerState) => void
  /** Another worker answers at the address: the one that was meant is gone. */
  readonly onReplaced: (worker: WorkerState) => void
  readonly onSuperseded: () => void
  /** With `mayHaveRun` an earlier try of the order got no answer, so that it may have been carried out. */
  readonly onStartAnswer: (assignment: Assignment, answer: StartAnswer, mayHaveRun: boolean) => void
  /** The order surely never reached the worker. */
  readonly onNotSent: (assignment: Assignment) => void
}

export interface WorkerLinkContext {
  readonly term: number
  readonly clock: Clock
  readonly log: Logger
  readonly calls: WorkerCalls
  /** How long a lease runs from each renewal. */
  readonly leaseLife: Milliseconds
  /** False when the leader can no longer know that it leads, so that it must not extend any lease. */
  readonly mayAct: () => boolean
  readonly events: WorkerLinkEvents
}

export interface WorkerLink {
  readonly start: (assignment: Assignment, payload: string, ticket: string, checkpoint: string) => void
  readonly stop: (assignment: Assignment) => void
  /** Stops a run that belongs to no active job. */
  readonly stopStranger: (task: string, attempt: number) => void
  readonly pace: (assignment: Assignment, percent: number) => void
  readonly close: () => void
}

function hasMixedWork(worker: WorkerState): boolean {
  let serves = false
  let fills = false
  for (const {run} of worker.assignments.values()) {
    serves ||= run.step.tailLimit > 0
    fills ||= run.step.fills
  }
  return serves && fills
}

/** Opens the link and starts its loop. */
export function openWorkerLink(worker: WorkerState, context: WorkerLinkContext): WorkerLink {
  const {term, clock, log, calls, leaseLife, mayAct, events} = context

  function target(): {readonly id: string; readonly address: string} {
    return worker.listing
  }

  /** A fresh deadline on the worker's clock, noted before it is sent. */
  function extend(): Milliseconds | undefined {
    const bounds = clockBounds(worker, clock.now())
    if (!bounds || !mayAct()) return undefined
    const deadline = Math.floor(bounds.most + leaseLife)
    worker.deadline = Math.max(worker.deadline, deadline)
    return deadline
  }

  /** Gives whether the loop goes on. */
  async function handle(answer: ReportAnswer, sentAt: Milliseconds): Promise<boolean> {
    if (answer.type === "superseded") {
      events.onSuperseded()
      return false
    }
    if (answer.type === "replaced") {
      events.onReplaced(worker)
      return false
    }
    worker.clock = {worker: answer.report.clock, local: clock.now()}
    worker.reachable = true
    const stored = events.onReport(worker, answer.report, sentAt)
    if (answer.report.ended.length > 0) await Promise.race([stored, sleep(clock, UNSTORED_WAIT_MS)])
    return true
  }

  const isOpen = (): boolean => !worker.closed
  /** The last report failed. */
  let doubted = false

  async function loop(): Promise<void> {
    while (isOpen()) {
      const sentAt = clock.now()
      // An order to a silent worker may still be carried out, so it must not move the end of the lease.
      const deadline = worker.reachable && !doubted ? extend() : undefined
      const wait = hasMixedWork(worker) ? SHARED_REPORT_WAIT_MS : REPORT_WAIT_MS
      const answer = await calls.report(target(), {
        term,
        // A worker that was away may have started anew: its ends count from one again, and none is noted.
        acknowledged: doubted || !worker.reachable ? 0 : worker.noted,
        deadline,
        wait: worker.reachable && worker.fenced && !doubted ? wait : 0,
      })
      if (!isOpen()) return
      if (answer.isOk()) {
        doubted = false
        if (!(await handle(answer.value, sentAt))) return
        continue
      }
      // One lost answer says little: the next report, without a wait, shows whether the worker is there.
      if (answer.error.certainty === "unknown" && !doubted) {
        doubted = true
        continue
      }
      if (worker.reachable) {
        const {id} = worker.listing
        log.warn({event: "worker-unreachable", worker: id, reason: answer.error.message}, "a report failed")
      }
      worker.reachable = false
      events.onUnreachable(worker)
      await sleep(clock, RETRY_MS)
    }
  }

  async function keepStopping(assignment: Assignment): Promise<void> {
    while (assignment.phase === "stopping" && !worker.closed) {
      const answer = await calls.stop(target(), assignment.task, assignment.attempt, term)
      if (answer.isOk()) {
        if (answer.value === "superseded") events.onSuperseded()
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
    void keepStopping(assignment)
  }

  async function keepStarting(
    assignment: Assignment,
    payload: string,
    ticket: string,
    checkpoint: string,
  ): Promise<void> {
    let maybeSent = false
    const deadline = extend()
    for (let attempt = 0; attempt < START_TRIES && deadline !== undefined; attempt += 1) {
      const {task} = assignment
      const order = {task, attempt: assignment.attempt, payload, deadline, term, ticket, checkpoint}
      const answer = await calls.start(target(), order)
      if (assignment.phase === "gone" || !isOpen()) return
      if (answer.isOk()) {
        events.onStartAnswer(assignment, answer.value, maybeSent)
        return
      }
      if (answer.error.certainty === "unknown") maybeSent = true
      else if (!maybeSent) break
      // A stop that was asked for meanwhile settles the run by itself.
      if (assignment.phase !== "starting") return
    }
    if (!maybeSent) events.onNotSent(assignment)
    else stop(assignment)
  }

  async function run(): Promise<void> {
    while (isOpen()) {
      try {
        await loop()
        return
      } catch (error) {
        // The loop is all that finds ends and silence, so it must outlive a fault.
        log.error(
          {event: "report-fault", worker: worker.listing.id, reason: describeError(error)},
          "a report could not be taken in",
        )
        await sleep(clock, RETRY_MS)
      }
    }
  }

  void run()

  return {
    start: (assignment, payload, ticket, checkpoint) =>
      void keepStarting(assignment, payload, ticket, checkpoint),
    stop,
    stopStranger: (task, attempt) => void calls.stop(target(), task, attempt, term),
    pace: (assignment, percent) =>
      void calls.throttle(target(), assignment.task, assignment.attempt, percent, term),
    close() {
      worker.closed = true
    },
  }
}
