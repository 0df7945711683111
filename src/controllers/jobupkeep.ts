/**
 * What a home does from time to time for its open jobs: ends those that have become impossible, moves stragglers,
 * moves services from workers that leave, and forgets jobs that ended long ago.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Job, JobStep, Task} from "../jobs/job.js"
import {explainInfeasibility} from "../placement/feasibility.js"
import type {PoolCapacity} from "../placement/feasibility.js"
import {INITIAL_ESTIMATE, findStragglers} from "../placement/estimates.js"
import type {WorkloadEstimate} from "../placement/estimates.js"
import type {TrackedAttempt} from "./attempttracker.js"
import {taskName} from "./dispatcher.js"
import type {Dispatcher} from "./dispatcher.js"
import type {Gangs} from "./gangs.js"
import type {JobBook} from "./jobbook.js"
import type {Logger} from "../core/logger.js"

export interface JobUpkeepPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly jobGroup: string
  readonly book: JobBook
  readonly work: Dispatcher
  readonly gangWork: Gangs
  readonly poolShape: (pool: string) => PoolCapacity | undefined
  readonly estimateOf: (workload: string) => WorkloadEstimate | undefined
  /** True while the worker is about to leave. */
  readonly isLeaving: (worker: string) => boolean
  /** Replicas of the workload's services that must stay up. */
  readonly minimumAvailable: (workload: string) => number
  /** The step that ends a task which waits. */
  readonly endOfWaiting: (job: Job, task: Task) => Extract<JobStep, {type: "task-ended"}>
}

const FORGET_AFTER_MS: Milliseconds = 24 * 3_600_000
const KEPT_JOBS = 4000
const IMPOSSIBLE_AFTER_MS: Milliseconds = 30_000
const LARGEST_MOVES_PER_TASK = 1

/** Creates the upkeep of one home. `settled` is false while the home does not know yet what runs. */
export function jobUpkeep(ports: JobUpkeepPorts): (settled: boolean) => void {
  const {clock, log, jobGroup, book, work, gangWork} = ports
  const moves = new Map<string, number>()
  const impossibleSince = new Map<string, Milliseconds>()

  /** Ends jobs that the fleet cannot hold any more, once that has lasted. */
  function endImpossible(): void {
    for (const job of book.all()) {
      const {job: name, pool} = job.specification
      if (job.endedAt > 0 || job.cancelled || work.tracker().ofJob(name).length > 0) continue
      const never = explainInfeasibility(job.specification, ports.poolShape(pool))
      if (never === undefined) {
        impossibleSince.delete(name)
        continue
      }
      const since = impossibleSince.get(name) ?? clock.now()
      impossibleSince.set(name, since)
      if (clock.now() < since + IMPOSSIBLE_AFTER_MS) continue
      gangWork.withdraw(name)
      for (const task of job.tasks) {
        if (task.result !== undefined) continue
        work.withdraw(name, task.index)
        void book.record({
          ...ports.endOfWaiting(job, task),
          detail: never,
        })
      }
    }
  }

  /** Checkpoints attempts that run much longer than their siblings did, so that they go on elsewhere. */
  function moveStragglers(): void {
    const byJob = new Map<string, TrackedAttempt[]>()
    for (const entry of work.tracker().all()) {
      const {attempt} = entry
      const movable =
        entry.phase === "running" &&
        attempt.checkpointable &&
        attempt.kind === "batch" &&
        entry.stopWanted === "none"
      const moved = moves.get(taskName(attempt.job, attempt.task)) ?? 0
      if (movable && moved < LARGEST_MOVES_PER_TASK)
        byJob.set(attempt.workload, [...(byJob.get(attempt.workload) ?? []), entry])
    }
    for (const [workload, entries] of byJob) {
      const siblings = entries.map(entry => ({
        attempt: entry.attempt.attempt,
        ranFor: clock.now() - entry.since,
      }))
      for (const name of findStragglers(siblings, ports.estimateOf(workload) ?? INITIAL_ESTIMATE)) {
        const entry = work.tracker().get(name)
        if (!entry) continue
        const task = taskName(entry.attempt.job, entry.attempt.task)
        moves.set(task, (moves.get(task) ?? 0) + 1)
        log.info({event: "straggler", jobGroup, attempt: name, worker: entry.worker}, "moves a straggler")
        work.stop([entry], true)
      }
    }
  }

  function forgetOld(): void {
    const ended = [...book.all()].filter(job => job.endedAt > 0)
    const limit = clock.wallClock() - FORGET_AFTER_MS
    const surplus = Math.max(0, ended.length - KEPT_JOBS)
    ended.sort((one, other) => one.endedAt - other.endedAt)
    ended.forEach((job, index) => {
      if (job.endedAt >= limit && index >= surplus) return
      void book.record({type: "forgotten", job: job.specification.job})
    })
  }

  /**
   * Moves one replica of each service from a worker that leaves, as long as enough others run: a replica never runs
   * in two places, so it stops there before it starts elsewhere.
   */
  function leaveWorkers(): void {
    for (const job of book.all()) {
      const {job: name, kind, workload, tasks} = job.specification
      if (kind !== "service" || job.cancelled || job.endedAt > 0) continue
      const running = work
        .tracker()
        .ofJob(name)
        .filter(entry => entry.phase === "running" && entry.stopWanted === "none")
      const leaving = running.find(entry => ports.isLeaving(entry.worker))
      const needed = Math.min(ports.minimumAvailable(workload), tasks - 1)
      if (!leaving || running.length - 1 < needed) continue
      log.info(
        {event: "service-moved", jobGroup, attempt: leaving.attempt.attempt, worker: leaving.worker},
        "moves a replica from a worker that leaves",
      )
      work.stop([leaving], leaving.attempt.checkpointable)
    }
  }

  return settled => {
    endImpossible()
    forgetOld()
    if (!settled) return
    moveStragglers()
    leaveWorkers()
  }
}
