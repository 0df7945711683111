/**
 * Periodic maintenance of the jobs of a home: ends jobs that can no longer run, moves stragglers, moves services from
 * workers that are about to leave, and removes jobs that ended long ago.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {estimateJobMemory} from "../jobs/footprint.js"
import type {Job, JobStep, Task} from "../jobs/job.js"
import {explainInfeasibility} from "../placement/feasibility.js"
import type {PoolCapacity} from "../placement/feasibility.js"
import {INITIAL_ESTIMATE, findStragglers} from "../placement/estimates.js"
import type {WorkloadEstimate} from "../placement/estimates.js"
import type {TrackedAttempt} from "./attempttracker.js"
import {taskName} from "./dispatcher.js"
import type {Dispatcher} from "./dispatcher.js"
import type {GangPlacer} from "./gangs.js"
import type {JobRegistry} from "./jobregistry.js"
import type {Logger} from "../core/logger.js"

export interface JobMaintenancePorts {
  readonly clock: Clock
  readonly log: Logger
  readonly jobGroup: string
  readonly registry: JobRegistry
  readonly dispatcher: Dispatcher
  readonly gangPlacer: GangPlacer
  readonly poolShape: (pool: string) => PoolCapacity | undefined
  readonly estimateOf: (workload: string) => WorkloadEstimate | undefined
  /** True while the worker is about to leave. */
  readonly isLeaving: (worker: string) => boolean
  /** Replicas of the workload's services that must stay up. */
  readonly minimumAvailable: (workload: string) => number
  /** Returns the step that ends a task of which no attempt runs. */
  readonly endStepOfWaitingTask: (job: Job, task: Task) => Extract<JobStep, {type: "task-ended"}>
  /** Bytes that ended jobs may take. */
  readonly endedJobsLimit: () => number
}

/** Ended jobs are kept for this time, within MAX_ENDED_JOBS and their limit on memory. */
const RETENTION_MS: Milliseconds = 24 * 3_600_000
/** Whatever memory they take, ended jobs are kept for this time, in which callers may repeat their requests. */
const SHORTEST_RETENTION_MS: Milliseconds = 600_000
const MAX_ENDED_JOBS = 4000
/** A job is ended after its pool has been unable to run it for this long. */
const IMPOSSIBLE_AFTER_MS: Milliseconds = 30_000
const MAX_MOVES_PER_TASK = 1

/**
 * Creates the maintenance function of one home. `isRecovered` is false while the home does not know yet which attempts
 * run; running attempts are not moved then.
 */
export function createJobMaintenance(ports: JobMaintenancePorts): (isRecovered: boolean) => void {
  const {clock, log, jobGroup, registry, dispatcher, gangPlacer} = ports
  const movesByTask = new Map<string, number>()
  const impossibleSince = new Map<string, Milliseconds>()

  /** Ends jobs that their pool has been unable to run for IMPOSSIBLE_AFTER_MS. */
  function endImpossibleJobs(): void {
    for (const job of registry.all()) {
      const {job: name, pool} = job.specification
      if (job.endedAt > 0 || job.cancelled || dispatcher.tracker().ofJob(name).length > 0) continue
      const impossibleBecause = explainInfeasibility(job.specification, ports.poolShape(pool))
      if (impossibleBecause === undefined) {
        impossibleSince.delete(name)
        continue
      }
      const since = impossibleSince.get(name) ?? clock.now()
      impossibleSince.set(name, since)
      if (clock.now() < since + IMPOSSIBLE_AFTER_MS) continue
      gangPlacer.withdraw(name)
      for (const task of job.tasks) {
        if (task.result !== undefined) continue
        dispatcher.withdraw(name, task.index)
        void registry.record({
          ...ports.endStepOfWaitingTask(job, task),
          detail: impossibleBecause,
        })
      }
    }
  }

  /** Checkpoints attempts that run much longer than others of their workload, so that they continue elsewhere. */
  function moveStragglers(): void {
    const byWorkload = new Map<string, TrackedAttempt[]>()
    for (const entry of dispatcher.tracker().all()) {
      const {attempt} = entry
      const isMovable =
        entry.phase === "running" &&
        attempt.checkpointable &&
        attempt.kind === "batch" &&
        entry.stopRequest === "none"
      const moveCount = movesByTask.get(taskName(attempt.job, attempt.task)) ?? 0
      if (isMovable && moveCount < MAX_MOVES_PER_TASK)
        byWorkload.set(attempt.workload, [...(byWorkload.get(attempt.workload) ?? []), entry])
    }
    for (const [workload, entries] of byWorkload) {
      const siblings = entries.map(entry => ({
        attempt: entry.attempt.attempt,
        ranFor: clock.now() - entry.since,
      }))
      for (const name of findStragglers(siblings, ports.estimateOf(workload) ?? INITIAL_ESTIMATE)) {
        const entry = dispatcher.tracker().get(name)
        if (!entry) continue
        const task = taskName(entry.attempt.job, entry.attempt.task)
        movesByTask.set(task, (movesByTask.get(task) ?? 0) + 1)
        log.info(
          {event: "straggler", jobGroup, attempt: name, worker: entry.worker},
          "checkpointing a straggler to move it to another worker",
        )
        dispatcher.stop([entry], true)
      }
    }
  }

  function forgetEndedJobs(): void {
    const ended = [...registry.all()].filter(job => job.endedAt > 0)
    const now = clock.wallClock()
    const surplus = Math.max(0, ended.length - MAX_ENDED_JOBS)
    ended.sort((one, other) => one.endedAt - other.endedAt)
    let excess =
      ended.reduce((sum, job) => sum + estimateJobMemory(job.specification), 0) - ports.endedJobsLimit()
    ended.forEach((job, index) => {
      const age = now - job.endedAt
      const isExcessive = excess > 0 && age > SHORTEST_RETENTION_MS
      if (age <= RETENTION_MS && index >= surplus && !isExcessive) return
      excess -= estimateJobMemory(job.specification)
      void registry.record({type: "forgotten", job: job.specification.job})
    })
  }

  /**
   * Moves one replica of each service from a worker that is about to leave, if enough others run. A replica never runs
   * in two places, so it is stopped before it starts elsewhere.
   */
  function moveServicesFromLeavingWorkers(): void {
    for (const job of registry.all()) {
      const {job: name, kind, workload, tasks} = job.specification
      if (kind !== "service" || job.cancelled || job.endedAt > 0) continue
      const running = dispatcher
        .tracker()
        .ofJob(name)
        .filter(entry => entry.phase === "running" && entry.stopRequest === "none")
      const leaving = running.find(entry => ports.isLeaving(entry.worker))
      const needed = Math.min(ports.minimumAvailable(workload), tasks - 1)
      if (!leaving || running.length - 1 < needed) continue
      log.info(
        {event: "service-moved", jobGroup, attempt: leaving.attempt.attempt, worker: leaving.worker},
        "moving a service replica from a worker that is about to leave",
      )
      dispatcher.stop([leaving], leaving.attempt.checkpointable)
    }
  }

  return isRecovered => {
    endImpossibleJobs()
    forgetEndedJobs()
    if (!isRecovered) return
    moveStragglers()
    moveServicesFromLeavingWorkers()
  }
}
