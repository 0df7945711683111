/**
 * What the leader holds in memory: active jobs with their steps, workers, and which run of which task is where.
 * The store has the jobs and their progress, the workers have the runs; a new leader rebuilds this from both.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {add, NO_RESOURCES, subtract} from "../core/resources.js"
import type {PipelineJob, Step, TaskName, WorkerListing} from "../pipelines/model.js"
import {formatTask} from "../pipelines/model.js"
import type {Progress} from "../pipelines/progress.js"
import {highestFailedAttempt, isDone} from "../pipelines/progress.js"

export interface HeldTicket {
  readonly ticket: string
  readonly expires: Milliseconds
}

/** One step of one occurrence of a job. */
export interface StepRun {
  readonly owner: ActiveJob
  /** `job.occurrence.step`. */
  readonly name: string
  readonly occurrence: number
  readonly stepIndex: number
  readonly step: Step
  /** Indexes of tasks that are neither done nor at a worker. */
  readonly waiting: Set<number>
  /** The highest attempt number used for each index; a gang keeps its number under 0. */
  readonly attempts: Map<number, number>
  readonly checkpoints: Map<number, string>
  readonly tickets: Map<string, HeldTicket>
  /** Workers that the queue's policy allows or refuses for the step. This never changes. */
  readonly verdicts: Map<string, boolean>
  readonly assignments: Set<Assignment>
  asking: boolean
  /** Not tried again before this instant, after a failure. */
  retryAt: Milliseconds
  /** No further tasks are stopped for this step before this instant. */
  preemptAt: Milliseconds
  /** How often tasks of this step were stopped for others. */
  preempted: number
}

export interface ActiveJob {
  readonly job: PipelineJob
  progress: Progress
  /** When the job was accepted, on this leader's clock. */
  readonly arrived: Milliseconds
  /** The job was there before this leader, so a former leader may have started its tasks. */
  readonly inherited: boolean
  /** A task of the job has started at some time. */
  started: boolean
  readonly runs: readonly StepRun[]
}

export type Phase = "starting" | "running" | "stopping" | "gone"

/** One run of a task at a worker. It holds its room until the worker no longer has it. */
export interface Assignment {
  readonly run: StepRun
  readonly index: number
  readonly attempt: number
  readonly task: string
  readonly worker: WorkerState
  phase: Phase
  /** When the worker confirmed the start; undefined while that is open. */
  confirmedAt: Milliseconds | undefined
  /** When the worker confirmed a stop; from then on the run cannot begin any more. */
  stopConfirmedAt: Milliseconds | undefined
  readonly since: Milliseconds
  /** Share of its speed that the run is allowed, in percent. */
  pace: number
  gauge: number
  percent: number
}

export interface ClockSample {
  readonly worker: Milliseconds
  readonly local: Milliseconds
}

export interface WorkerState {
  listing: WorkerListing
  /** Listed by the platform at present. */
  listed: boolean
  unlistedSince: Milliseconds
  /** The wall-clock start of the life that the worker last reported. */
  life: number
  clock: ClockSample | undefined
  /** The latest deadline, on the worker's clock, that this leader has sent. */
  deadline: Milliseconds
  /** The worker has answered in this term, so that it refuses every earlier leader. */
  fenced: boolean
  /** The roster in the store names the worker, so that a later leader knows of it. */
  recorded: boolean
  reachable: boolean
  readonly assignments: Map<string, Assignment>
  /** Runs at the worker that belong to no active job and are being stopped. */
  strangers: number
  used: Resources
  /** Every end up to this number was handled. */
  handled: number
  /** Ends above `handled` that were handled, while one between them waits for its job to be known. */
  readonly handledBeyond: Set<number>
  /** Every end up to this number is stored. */
  noted: number
  /** No starts before this instant. */
  avoidUntil: Milliseconds
  /** Failures among recent ends, decayed. */
  failureWeight: number
  successWeight: number
  closed: boolean
}

export function assignmentKey(task: string, attempt: number): string {
  return `${task}#${attempt}`
}

export function nameOf(run: StepRun, index: number): TaskName {
  return {job: run.owner.job.id, occurrence: run.occurrence, step: run.stepIndex, index}
}

/** What a task takes of a worker's room. A task that fills uses processors that nobody counts. */
export function roomOf(step: Step): Resources {
  return step.fills ? {...step.demand, processors: 0} : step.demand
}

export function createWorker(listing: WorkerListing, listed: boolean, now: Milliseconds): WorkerState {
  return {
    listing,
    listed,
    unlistedSince: now,
    life: 0,
    clock: undefined,
    deadline: 0,
    fenced: false,
    recorded: false,
    reachable: false,
    assignments: new Map(),
    strangers: 0,
    used: NO_RESOURCES,
    handled: 0,
    handledBeyond: new Set(),
    noted: 0,
    avoidUntil: 0,
    failureWeight: 0,
    successWeight: 0,
    closed: false,
  }
}

function createRun(owner: ActiveJob, occurrence: number, stepIndex: number, step: Step): StepRun {
  const run: StepRun = {
    owner,
    name: `${owner.job.id}.${occurrence}.${stepIndex}`,
    occurrence,
    stepIndex,
    step,
    waiting: new Set(),
    attempts: new Map(),
    checkpoints: new Map(),
    tickets: new Map(),
    verdicts: new Map(),
    assignments: new Set(),
    asking: false,
    retryAt: 0,
    preemptAt: 0,
    preempted: 0,
  }
  for (let index = 0; index < step.count; index += 1) {
    const task = nameOf(run, index)
    if (!isDone(owner.progress, task)) run.waiting.add(index)
    const failed = highestFailedAttempt(owner.progress, task)
    if (failed > 0) run.attempts.set(index, failed)
  }
  return run
}

export function createActiveJob(
  job: PipelineJob,
  progress: Progress,
  arrived: Milliseconds,
  inherited: boolean,
): ActiveJob {
  const runs: StepRun[] = []
  const started = Object.keys(progress.done).length > 0
  const active: ActiveJob = {job, progress, arrived, inherited, started, runs}
  for (let occurrence = 0; occurrence < job.occurrences; occurrence += 1) {
    job.steps.forEach((step, index) => runs.push(createRun(active, occurrence, index, step)))
  }
  return active
}

export function findRun(active: ActiveJob, occurrence: number, step: number): StepRun | undefined {
  return step < active.job.steps.length ? active.runs[occurrence * active.job.steps.length + step] : undefined
}

/** Gives a task to a worker, in memory. The room is taken from now on. */
export function assign(
  run: StepRun,
  index: number,
  attempt: number,
  worker: WorkerState,
  now: Milliseconds,
): Assignment {
  const task = formatTask(nameOf(run, index))
  const assignment: Assignment = {
    run,
    index,
    attempt,
    task,
    worker,
    phase: "starting",
    confirmedAt: undefined,
    stopConfirmedAt: undefined,
    since: now,
    pace: 100,
    gauge: 0,
    percent: 0,
  }
  run.waiting.delete(index)
  run.assignments.add(assignment)
  const counter = run.step.gang ? 0 : index
  run.attempts.set(counter, Math.max(attempt, run.attempts.get(counter) ?? 0))
  worker.assignments.set(assignmentKey(task, attempt), assignment)
  worker.used = add(worker.used, roomOf(run.step))
  return assignment
}

/** Takes the run off its worker. The task waits again unless it is done or its job has ended. */
export function release(assignment: Assignment): void {
  if (assignment.phase === "gone") return
  assignment.phase = "gone"
  const {run, worker, index} = assignment
  run.assignments.delete(assignment)
  worker.assignments.delete(assignmentKey(assignment.task, assignment.attempt))
  worker.used = worker.assignments.size === 0 ? NO_RESOURCES : subtract(worker.used, roomOf(run.step))
  const {progress} = run.owner
  if (progress.outcome === undefined && !isDone(progress, nameOf(run, index))) run.waiting.add(index)
}

/** The worker's clock at the earliest and latest that it can show now, given that it may run slow. */
export function clockBounds(
  worker: WorkerState,
  now: Milliseconds,
): {readonly least: Milliseconds; readonly most: Milliseconds} | undefined {
  if (!worker.clock) return undefined
  const passed = now - worker.clock.local
  return {least: worker.clock.worker + passed * SLOWEST_CLOCK, most: worker.clock.worker + passed}
}

/** A worker's clock may run 2% slow, as the platform states. */
const SLOWEST_CLOCK = 0.98
