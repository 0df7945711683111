/**
 * The leader's state in memory: active jobs with their steps, workers, and which task runs on which worker. Jobs and
 * their progress are in the store and runs are on the workers; a new leader rebuilds this state from both.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import {add, NO_RESOURCES, subtract} from "../core/resources.js"
import {ownerOf} from "../pipelines/callers.js"
import {estimateMemory, maxOpenOccurrences} from "../pipelines/footprint.js"
import type {PipelineJob, Step, TaskName, WorkerListing} from "../pipelines/model.js"
import {formatTask} from "../pipelines/model.js"
import {requiredCapacity} from "../pipelines/placing.js"
import type {Progress} from "../pipelines/progress.js"
import {TYPICAL_SPEED} from "../pipelines/workerspeeds.js"
import type {LearnedSpeed} from "../pipelines/workerspeeds.js"
import {highestFailedAttempt, isDone, isOccurrenceDone} from "../pipelines/progress.js"

/** Permission of the advice service to run a step on one worker, presented to the worker with each start. */
export interface AdviceTicket {
  readonly ticket: string
  readonly expiresAt: Milliseconds
}

/** One step of one occurrence of a job, with the state of its tasks. */
export interface StepRun {
  readonly owner: ActiveJob
  /** `job.occurrence.step`. */
  readonly name: string
  readonly occurrence: number
  readonly stepIndex: number
  readonly step: Step
  /** Indexes of tasks that are neither done nor assigned to a worker. */
  readonly waiting: Set<number>
  /** The highest attempt number used, by task index; the tasks of a gang share the number under index 0. */
  readonly latestAttempts: Map<number, number>
  /** The checkpoint from which the next attempt resumes, by task index; a gang uses index 0. */
  readonly checkpoints: Map<number, string>
  /** Tickets of the advice service, by worker. */
  readonly tickets: Map<string, AdviceTicket>
  /** Whether the advice service allows the step, by worker. A verdict never changes. */
  readonly policyVerdicts: Map<string, boolean>
  readonly assignments: Set<Assignment>
  /** Ends of tasks that are compared once all have ended, from which the speeds of workers are learned. */
  readonly comparedEnds: {readonly worker: WorkerState; readonly duration: Milliseconds}[]
  /** A call to the advice service is queued or in flight for the step. */
  isAwaitingAdvice: boolean
  /** The limit of the workspace let no task of the step start when the step was last handled. */
  isHeldByLimit: boolean
  /**
   * Whether some worker on which the step may be allowed had room for a task when the step was last handled. Undefined
   * before that.
   */
  hasRoomSomewhere: boolean | undefined
  /** No task of the step is started before this instant, after a failure. */
  retryAt: Milliseconds
  /** For a step that lasts, the number of runs in a row that ended soon after their start, by task index. */
  readonly shortRuns: Map<number, number>
  /** No tasks are preempted for this step before this instant. */
  preemptAt: Milliseconds
  /** Number of tasks of this step that were preempted for other steps. */
  preemptionCount: number
}

export interface ActiveJob {
  readonly job: PipelineJob
  progress: Progress
  /** When the job was accepted, on this leader's monotonic clock. */
  readonly arrivedAt: Milliseconds
  /** The job was found in the store, so an earlier leader may have started its tasks. */
  readonly isInherited: boolean
  /** At least one task of the job has started. */
  hasStarted: boolean
  /** Bytes that the job is estimated to take. */
  readonly memory: number
  /**
   * The runs of the steps of those occurrences that have been opened and are not done. A job without a schedule has one
   * occurrence, which is always open.
   */
  readonly openOccurrences: Map<number, readonly StepRun[]>
  /** The first occurrence that has not been opened in its turn. */
  nextOccurrence: number
  /** The runs of all open occurrences. */
  stepRuns: readonly StepRun[]
}

/** "stopping" from the request to stop until the worker no longer has the run; "gone" once the assignment is released. */
export type AssignmentPhase = "starting" | "running" | "stopping" | "gone"

/** One attempt of a task on a worker. It occupies capacity of the worker until the worker no longer runs it. */
export interface Assignment {
  readonly run: StepRun
  readonly index: number
  readonly attempt: number
  readonly task: string
  readonly worker: WorkerState
  phase: AssignmentPhase
  /** When the worker confirmed the start; undefined while it is unconfirmed. */
  confirmedAt: Milliseconds | undefined
  /** When the worker confirmed a stop. After that, the run can no longer begin. */
  stopConfirmedAt: Milliseconds | undefined
  readonly assignedAt: Milliseconds
  /** The throttle: the speed at which the task may work, in percent of full speed. */
  speedPercent: number
  /** As last reported: tail latency in milliseconds for a latency-sensitive task, processors in use for others. */
  gauge: number
  /** As last reported: how much of the task is done. */
  progressPercent: number
  /** Part of the work was done before `assignedAt`: the run was taken over, or has resumed from a checkpoint. */
  hasEarlierWork: boolean
}

/** A reading of a worker's clock, with the time at which it was received on this leader's clock. */
export interface ClockSample {
  readonly workerTime: Milliseconds
  readonly localTime: Milliseconds
}

export interface WorkerState {
  listing: WorkerListing
  /** The platform lists the worker at present. */
  isListed: boolean
  unlistedSince: Milliseconds
  /** The incarnation that the worker last reported: the wall-clock time at which it started; 0 before any report. */
  incarnation: number
  clock: ClockSample | undefined
  /** The latest lease deadline that this leader may have sent to the worker, on the worker's clock. */
  deadline: Milliseconds
  /** The worker has answered in this term, so it refuses orders of every earlier leader. */
  isFenced: boolean
  /** The worker has listed everything that it ran for earlier leaders. */
  isReported: boolean
  /** The roster in the store names the worker, so a later leader will know of it. */
  isRecorded: boolean
  /** True from a report until a report call fails. A first lost answer does not count as a failure. */
  isReachable: boolean
  readonly assignments: Map<string, Assignment>
  /** Number of unknown tasks that the worker runs: tasks that belong to no active job here. */
  unknownTaskCount: number
  /** The jobs of these tasks. */
  unknownJobs: ReadonlySet<string>
  /** Capacity that the assignments occupy. */
  used: Resources
  /** Every end of a run up to this number was handled. */
  handledThrough: number
  /** Ends above `handledThrough` that were handled while an earlier one waits for its job to become known. */
  readonly handledOutOfOrder: Set<number>
  /** Every end up to this number is stored, so it is acknowledged to the worker with the next report call. */
  acknowledgedThrough: number
  /** The worker is given no tasks before this instant. */
  avoidUntil: Milliseconds
  /** Number of recent runs that failed, decayed exponentially. */
  failureWeight: number
  /** Number of recent runs that succeeded, decayed exponentially. */
  successWeight: number
  /** Learned from the tasks that it has run. */
  speed: LearnedSpeed
  /** The link to the worker was closed. */
  isClosed: boolean
}

export function assignmentKey(task: string, attempt: number): string {
  return `${task}#${attempt}`
}

export function toTaskName(run: StepRun, index: number): TaskName {
  return {job: run.owner.job.id, occurrence: run.occurrence, step: run.stepIndex, index}
}

export function createWorker(listing: WorkerListing, isListed: boolean, now: Milliseconds): WorkerState {
  return {
    listing,
    isListed,
    unlistedSince: now,
    incarnation: 0,
    clock: undefined,
    deadline: 0,
    isFenced: false,
    isReported: false,
    isRecorded: false,
    isReachable: false,
    assignments: new Map(),
    unknownTaskCount: 0,
    unknownJobs: new Set(),
    used: NO_RESOURCES,
    handledThrough: 0,
    handledOutOfOrder: new Set(),
    acknowledgedThrough: 0,
    avoidUntil: 0,
    failureWeight: 0,
    successWeight: 0,
    speed: TYPICAL_SPEED,
    isClosed: false,
  }
}

function createStepRun(owner: ActiveJob, occurrence: number, stepIndex: number, step: Step): StepRun {
  const run: StepRun = {
    owner,
    name: `${owner.job.id}.${occurrence}.${stepIndex}`,
    occurrence,
    stepIndex,
    step,
    waiting: new Set(),
    latestAttempts: new Map(),
    checkpoints: new Map(),
    tickets: new Map(),
    policyVerdicts: new Map(),
    assignments: new Set(),
    comparedEnds: [],
    isAwaitingAdvice: false,
    isHeldByLimit: false,
    hasRoomSomewhere: undefined,
    retryAt: 0,
    shortRuns: new Map(),
    preemptAt: 0,
    preemptionCount: 0,
  }
  for (let index = 0; index < step.count; index += 1) {
    const task = toTaskName(run, index)
    if (!isDone(owner.progress, task)) run.waiting.add(index)
    const failed = highestFailedAttempt(owner.progress, task)
    if (failed > 0) run.latestAttempts.set(index, failed)
  }
  return run
}

export function createActiveJob(
  job: PipelineJob,
  progress: Progress,
  arrivedAt: Milliseconds,
  isInherited: boolean,
): ActiveJob {
  const completed = progress.completedOccurrences ?? 0
  const owner = ownerOf(job)
  const active: ActiveJob = {
    job,
    progress: owner === undefined ? progress : {...progress, owner},
    arrivedAt,
    isInherited,
    hasStarted: completed > 0 || Object.keys(progress.done).length > 0,
    memory: estimateMemory(job),
    openOccurrences: new Map(),
    nextOccurrence: completed,
    stepRuns: [],
  }
  openDueOccurrences(active, -Infinity)
  return active
}

/** The wall-clock time at which the occurrence is due; 0 for a job without a schedule. */
export function dueAt({firstDue, interval}: PipelineJob, occurrence: number): number {
  return firstDue === 0 ? 0 : firstDue + occurrence * interval
}

function openOccurrence(active: ActiveJob, occurrence: number): readonly StepRun[] {
  const runs = active.job.steps.map((step, index) => createStepRun(active, occurrence, index, step))
  active.openOccurrences.set(occurrence, runs)
  active.stepRuns = [...active.stepRuns, ...runs]
  return runs
}

/** Closes occurrences that are done and of which no run is left on a worker. */
function closeDoneOccurrences(active: ActiveJob): void {
  const {job, progress, openOccurrences} = active
  const before = openOccurrences.size
  for (const [occurrence, runs] of openOccurrences) {
    if (runs.some(run => run.waiting.size > 0 || run.assignments.size > 0)) continue
    if (isOccurrenceDone(job, progress, occurrence)) openOccurrences.delete(occurrence)
  }
  if (openOccurrences.size < before) active.stepRuns = [...openOccurrences.values()].flat()
}

/** Opens the occurrences that are due, the earliest first, as far as they may be open at once. */
export function openDueOccurrences(active: ActiveJob, wallClock: number): void {
  const {job, openOccurrences} = active
  if (job.occurrences > 1 && openOccurrences.size > 0) closeDoneOccurrences(active)
  const limit = maxOpenOccurrences(job)
  while (active.nextOccurrence < job.occurrences && openOccurrences.size < limit) {
    const {nextOccurrence} = active
    const due = dueAt(job, nextOccurrence)
    if (due !== 0 && due > wallClock) return
    active.nextOccurrence += 1
    if (openOccurrences.has(nextOccurrence) || isOccurrenceDone(job, active.progress, nextOccurrence))
      continue
    openOccurrence(active, nextOccurrence)
  }
}

/**
 * Undefined when the job has no such step or occurrence. An occurrence that is not open is opened, since a worker may
 * still have runs of it or their ends.
 */
export function findStepRun(active: ActiveJob, occurrence: number, step: number): StepRun | undefined {
  const {job, openOccurrences} = active
  if (step >= job.steps.length || occurrence >= job.occurrences) return undefined
  return (openOccurrences.get(occurrence) ?? openOccurrence(active, occurrence))[step]
}

/** Assigns a task to a worker, in memory only. The task occupies its capacity from now on. */
export function assign(
  run: StepRun,
  index: number,
  attempt: number,
  worker: WorkerState,
  now: Milliseconds,
): Assignment {
  const task = formatTask(toTaskName(run, index))
  const assignment: Assignment = {
    run,
    index,
    attempt,
    task,
    worker,
    phase: "starting",
    confirmedAt: undefined,
    stopConfirmedAt: undefined,
    assignedAt: now,
    speedPercent: 100,
    gauge: 0,
    progressPercent: 0,
    hasEarlierWork: false,
  }
  run.waiting.delete(index)
  run.assignments.add(assignment)
  const attemptKey = run.step.gang ? 0 : index
  run.latestAttempts.set(attemptKey, Math.max(attempt, run.latestAttempts.get(attemptKey) ?? 0))
  worker.assignments.set(assignmentKey(task, attempt), assignment)
  worker.used = add(worker.used, requiredCapacity(run.step))
  return assignment
}

/** Removes an assignment and frees its capacity. The task waits again unless it is done or its job has ended. */
export function release(assignment: Assignment): void {
  if (assignment.phase === "gone") return
  assignment.phase = "gone"
  const {run, worker, index} = assignment
  run.assignments.delete(assignment)
  worker.assignments.delete(assignmentKey(assignment.task, assignment.attempt))
  worker.used =
    worker.assignments.size === 0 ? NO_RESOURCES : subtract(worker.used, requiredCapacity(run.step))
  const {progress} = run.owner
  if (progress.outcome === undefined && !isDone(progress, toTaskName(run, index))) run.waiting.add(index)
}

/** The earliest and latest time that the worker's clock can show now. Undefined before the first report. */
export function boundWorkerClock(
  worker: WorkerState,
  now: Milliseconds,
): {readonly least: Milliseconds; readonly most: Milliseconds} | undefined {
  if (!worker.clock) return undefined
  const elapsed = now - worker.clock.localTime
  return {
    least: worker.clock.workerTime + elapsed * SLOWEST_CLOCK_RATE,
    most: worker.clock.workerTime + elapsed,
  }
}

/** A worker's clock may run up to 2% slow, as the platform specifies. */
const SLOWEST_CLOCK_RATE = 0.98
