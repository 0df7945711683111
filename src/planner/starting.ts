/** Carries out what a pass decides: starts of tasks and calls for advice, and takes in their answers. */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import {adviceCallDuration} from "../pipelines/adviceselection.js"
import type {AdviceTerms, Queue} from "../pipelines/model.js"
import type {Permit, StartAnswer} from "../pipelines/ports.js"
import type {Adviser} from "./adviser.js"
import type {PassActions} from "./planningpass.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"
import {assign} from "./state.js"
import type {WorkerLink} from "./workerlink.js"

/** A worker that refused for want of room or health is left alone for this span. */
const AVOID_MS: Milliseconds = 400
/** A step is not tried again before this span after a refusal that says nothing about when to. */
const STEP_RETRY_MS: Milliseconds = 150

export interface StarterContext {
  readonly clock: Clock
  readonly log: Logger
  readonly adviser: Adviser
  readonly linkOf: (worker: WorkerState) => WorkerLink | undefined
  readonly isClosed: () => boolean
  /** Takes a run off its worker. */
  readonly drop: (assignment: Assignment) => void
  readonly onReplaced: (worker: WorkerState) => void
  readonly onSuperseded: () => void
  readonly planSoon: () => void
}

export interface Starter extends PassActions {
  /** With `mayHaveRun` an earlier try of the order may have been carried out. */
  readonly takeAnswer: (assignment: Assignment, answer: StartAnswer, mayHaveRun: boolean) => void
  /** The order surely never reached the worker. */
  readonly takeNotSent: (assignment: Assignment) => void
  readonly starts: () => number
}

export function createStarter(context: StarterContext): Starter {
  const {clock, log, adviser, linkOf, drop, planSoon} = context
  let starts = 0

  /** Gives up what has started of a gang, so that it can start again as a whole. */
  function stopGang(run: StepRun): void {
    run.retryAt = clock.now() + STEP_RETRY_MS
    for (const assignment of run.assignments) linkOf(assignment.worker)?.stop(assignment)
  }

  function takeRefusal(
    assignment: Assignment,
    reason: Extract<StartAnswer, {type: "refused"}>["reason"],
    mayHaveRun: boolean,
  ): void {
    const {run, worker, task, attempt} = assignment
    const {id} = worker.listing
    log.info(
      {event: "start-refused", task, attempt, worker: id, reason, mayHaveRun},
      "a worker refused a start",
    )
    if (reason === "superseded") {
      context.onSuperseded()
      return
    }
    if (reason === "old" && assignment.confirmedAt === undefined) {
      // An earlier try of this order may have run and ended: the next report tells.
      assignment.stopConfirmedAt ??= clock.now()
      assignment.phase = "stopping"
      return
    }
    if (reason === "ticket") run.tickets.delete(id)
    else if (reason === "malformed") run.retryAt = clock.now() + STEP_RETRY_MS
    else worker.avoidUntil = clock.now() + AVOID_MS
    // Only this try was refused: a stop and the next report settle what became of the earlier one.
    if (mayHaveRun) linkOf(worker)?.stop(assignment)
    else drop(assignment)
    if (run.step.gang) stopGang(run)
  }

  function startOne(run: StepRun, index: number, attempt: number, worker: WorkerState): void {
    const link = linkOf(worker)
    if (!link) return
    const assignment = assign(run, index, attempt, worker, clock.now())
    const {id} = worker.listing
    const {job} = run.owner
    const ticket = run.tickets.get(id)?.ticket ?? ""
    const checkpoint = run.checkpoints.get(run.step.gang ? 0 : index) ?? ""
    starts += 1
    log.info(
      {event: "start", task: assignment.task, attempt, worker: id, queue: job.queue.name},
      "a task is started",
    )
    link.start(assignment, job.payload, ticket, checkpoint)
  }

  function takeAdvice(
    run: StepRun,
    terms: AdviceTerms,
    asked: readonly string[],
    permits: readonly Permit[] | undefined,
  ): void {
    run.asking = false
    if (permits) {
      const expires = clock.now() + terms.ticketLife
      const allowed = new Map(permits.map(permit => [permit.worker, permit.ticket]))
      for (const id of asked) run.verdicts.set(id, allowed.has(id))
      for (const [id, ticket] of allowed) run.tickets.set(id, {ticket, expires})
    }
    planSoon()
  }

  function ask(run: StepRun, queue: Queue, workers: readonly string[]): void {
    const terms = queue.advice
    if (!terms) return
    run.asking = true
    const begun = clock.now()
    adviser.ask({
      step: run.name,
      workers,
      priority: queue.priority,
      duration: adviceCallDuration(terms, workers.length),
      isWanted: () => !context.isClosed() && run.waiting.size > 0 && run.owner.progress.outcome === undefined,
      onAnswer(permits) {
        const took = Math.round(clock.now() - begun)
        const [asked, allowed] = [workers.length, permits?.length]
        log.info(
          {event: "advice", step: run.name, queue: queue.name, asked, allowed, took},
          "advice was asked",
        )
        takeAdvice(run, terms, workers, permits)
      },
    })
  }

  return {
    start(run, chosen) {
      const indexes = [...run.waiting].slice(0, chosen.length)
      const gangAttempt = (run.attempts.get(0) ?? 0) + 1
      chosen.forEach((worker, position) => {
        const index = indexes[position]
        if (index === undefined) return
        startOne(run, index, run.step.gang ? gangAttempt : (run.attempts.get(index) ?? 0) + 1, worker)
      })
    },
    ask,
    preempt(run, victims) {
      for (const {run: victim, task, worker} of victims) {
        const {id} = worker.listing
        victim.preempted += 1
        log.info(
          {event: "preempt", task, worker: id, step: run.name},
          "a task is stopped for a step that waits",
        )
        // The members of a gang cannot work without each other.
        const all = victim.step.gang ? [...victim.assignments] : victims.filter(one => one.task === task)
        for (const assignment of all) linkOf(assignment.worker)?.stop(assignment)
      }
    },
    takeAnswer(assignment, answer, mayHaveRun) {
      const {run, worker} = assignment
      if (answer.type === "replaced") context.onReplaced(worker)
      else if (answer.type === "refused") takeRefusal(assignment, answer.reason, mayHaveRun)
      else {
        if (assignment.phase === "starting") assignment.phase = "running"
        assignment.confirmedAt ??= clock.now()
        run.owner.started = true
      }
    },
    takeNotSent(assignment) {
      assignment.worker.avoidUntil = clock.now() + AVOID_MS
      drop(assignment)
    },
    starts: () => starts,
  }
}
