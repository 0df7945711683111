/**
 * Carries out the decisions of a scheduling pass: starts tasks, requests advice and preempts tasks. Handles the answers
 * of workers and of the advice service.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import {adviceCallDuration} from "../pipelines/adviceselection.js"
import {WITHIN_SHARE} from "../pipelines/fairshare.js"
import type {ShareRank} from "../pipelines/fairshare.js"
import type {AdviceTerms, Queue} from "../pipelines/model.js"
import type {Permit, StartAnswer} from "../pipelines/ports.js"
import type {AdviceDispatcher} from "./advicedispatcher.js"
import type {PassActions} from "./planningpass.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {assign} from "./state.js"
import type {WorkerLink} from "./workerlink.js"

/** How long a worker gets no tasks after a refusal that concerns the worker, or after an order that was not sent. */
const AVOID_AFTER_REFUSAL_MS: Milliseconds = 400
/** Pause before a step is started again, after a malformed order or a refused member of its gang. */
const STEP_RETRY_MS: Milliseconds = 150
/** Ranks by fair share order the calls of one priority. */
const SHARE_RANK_STEP = 0.25
/** Limit for the age of a ticket at which its answer arrives, as a share of its life. */
const MAXIMUM_TICKET_AGE = 0.5

export interface StarterContext {
  readonly term: number
  readonly clock: Clock
  readonly log: Logger
  readonly adviceDispatcher: AdviceDispatcher
  readonly linkOf: (worker: WorkerState) => WorkerLink | undefined
  readonly isClosed: () => boolean
  /** Removes an assignment whose run is known not to be on the worker. */
  readonly releaseAssignment: (assignment: Assignment) => void
  readonly onReplaced: (worker: WorkerState) => void
  /** The worker has seen a higher term than this leader's. */
  readonly onTermRefused: (worker: WorkerState) => void
  readonly schedulePass: () => void
}

export interface Starter extends PassActions {
  /** With `mayHaveRun`, an earlier try of the order got no answer and may have been carried out. */
  readonly handleAnswer: (assignment: Assignment, answer: StartAnswer, mayHaveRun: boolean) => void
  /** Handles an order that is known not to have reached the worker. */
  readonly handleNotSent: (assignment: Assignment) => void
  /** Number of start orders so far. */
  readonly countStarts: () => number
}

export function createStarter(context: StarterContext): Starter {
  const {term, clock, log, adviceDispatcher, linkOf, releaseAssignment, schedulePass} = context
  let startCount = 0

  /**
   * The number of the next attempt of a task, or of a gang. An earlier leader may have used numbers that no worker
   * reports any more. The term is usually above them, since the store has had more changes than the task had attempts.
   */
  function nextAttempt(run: StepRun, counter: number): number {
    return Math.max(run.latestAttempts.get(counter) ?? 0, run.owner.isInherited ? term : 0) + 1
  }

  /** Stops all started members of a gang, so that it can start again as a whole. */
  function stopGang(run: StepRun): void {
    run.retryAt = clock.now() + STEP_RETRY_MS
    for (const assignment of run.assignments) linkOf(assignment.worker)?.stop(assignment)
  }

  function handleRefusal(
    assignment: Assignment,
    reason: Extract<StartAnswer, {type: "refused"}>["reason"],
    mayHaveRun: boolean,
  ): void {
    const {run, worker, task, attempt} = assignment
    const {id} = worker.listing
    log.info(
      {event: "start-refused", task, attempt, worker: id, reason, mayHaveRun},
      "worker refused to start a task",
    )
    if (reason === "superseded") {
      context.onTermRefused(worker)
      return
    }
    if (reason === "old" && assignment.confirmedAt === undefined) {
      // A higher number than an earlier leader's is found in a few steps.
      if (!mayHaveRun) run.latestAttempts.set(run.step.gang ? 0 : assignment.index, attempt * 2)
      // An earlier try of this order may have run and ended; the next report shows it.
      assignment.stopConfirmedAt ??= clock.now()
      assignment.phase = "stopping"
      return
    }
    if (reason === "ticket") run.tickets.delete(id)
    else if (reason === "malformed") run.retryAt = clock.now() + STEP_RETRY_MS
    else worker.avoidUntil = clock.now() + AVOID_AFTER_REFUSAL_MS
    // Only this try was refused; a stop and the next report resolve what became of an earlier one.
    if (mayHaveRun) linkOf(worker)?.stop(assignment)
    else releaseAssignment(assignment)
    if (run.step.gang) stopGang(run)
  }

  function startTask(run: StepRun, index: number, attempt: number, worker: WorkerState): void {
    const link = linkOf(worker)
    if (!link) return
    const assignment = assign(run, index, attempt, worker, clock.now())
    const {id} = worker.listing
    const {job} = run.owner
    const ticket = run.tickets.get(id)?.ticket ?? ""
    const checkpoint = run.checkpoints.get(run.step.gang ? 0 : index) ?? ""
    assignment.hasEarlierWork = checkpoint !== ""
    startCount += 1
    log.info(
      {event: "start", task: assignment.task, attempt, worker: id, queue: job.queue.name},
      "start order sent to a worker",
    )
    link.start(assignment, job.payload, ticket, checkpoint)
  }

  /** Records verdicts and tickets. Workers that were asked about and got no permit are refused. */
  function applyAdvice(
    run: StepRun,
    terms: AdviceTerms,
    asked: readonly string[],
    permits: readonly Permit[] | undefined,
    decidedAt: Milliseconds,
  ): void {
    run.isAwaitingAdvice = false
    if (permits) {
      // A busy leader reads the answer late. Where a very late one was held up is not known, so it is tried.
      const issuedAt = Math.max(decidedAt, clock.now() - terms.ticketLife * MAXIMUM_TICKET_AGE)
      const expiresAt = issuedAt + terms.ticketLife
      const allowed = new Map(permits.map(permit => [permit.worker, permit.ticket]))
      for (const id of asked) run.policyVerdicts.set(id, allowed.has(id))
      for (const [id, ticket] of allowed) run.tickets.set(id, {ticket, expiresAt})
    }
    schedulePass()
  }

  function requestAdvice(
    run: StepRun,
    queue: Queue,
    workers: readonly string[],
    shareRank: ShareRank = WITHIN_SHARE,
  ): void {
    const terms = queue.advice
    if (!terms) return
    run.isAwaitingAdvice = true
    const requestedAt = clock.now()
    adviceDispatcher.submit({
      step: run.name,
      workers,
      priority: queue.priority + shareRank * SHARE_RANK_STEP,
      duration: adviceCallDuration(terms, workers.length),
      isWanted: () =>
        !context.isClosed() &&
        run.waiting.size > 0 &&
        !run.isHeldByLimit &&
        run.owner.progress.outcome === undefined,
      onAnswer(permits, decidedAt, waits) {
        const took = Math.round(clock.now() - requestedAt)
        const [asked, allowed] = [workers.length, permits?.length]
        log.info(
          {event: "advice", step: run.name, queue: queue.name, asked, allowed, took, ...waits},
          "call to the advice service ended",
        )
        applyAdvice(run, terms, workers, permits, decidedAt)
      },
    })
  }

  return {
    startTasks(run, chosen) {
      const indexes = [...run.waiting].slice(0, chosen.length)
      const gangAttempt = nextAttempt(run, 0)
      chosen.forEach((worker, position) => {
        const index = indexes[position]
        if (index === undefined) return
        startTask(run, index, run.step.gang ? gangAttempt : nextAttempt(run, index), worker)
      })
    },
    requestAdvice,
    preempt(run, victims) {
      for (const {run: victim, task, worker} of victims) {
        const {id} = worker.listing
        victim.preemptionCount += 1
        log.info({event: "preempt", task, worker: id, step: run.name}, "task preempted for a waiting step")
        // The members of a gang cannot run without each other.
        const all = victim.step.gang ? [...victim.assignments] : victims.filter(one => one.task === task)
        for (const assignment of all) linkOf(assignment.worker)?.stop(assignment)
      }
    },
    handleAnswer(assignment, answer, mayHaveRun) {
      const {run, worker} = assignment
      if (answer.type === "replaced") context.onReplaced(worker)
      else if (answer.type === "refused") handleRefusal(assignment, answer.reason, mayHaveRun)
      else {
        if (assignment.phase === "starting") assignment.phase = "running"
        assignment.confirmedAt ??= clock.now()
        run.owner.hasStarted = true
      }
    },
    handleNotSent(assignment) {
      assignment.worker.avoidUntil = clock.now() + AVOID_AFTER_REFUSAL_MS
      releaseAssignment(assignment)
    },
    countStarts: () => startCount,
  }
}
