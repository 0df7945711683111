/**
 * The jobs that the leader knows: active jobs with their progress, and the outcomes of jobs that ended recently.
 * Changes are written to the store through the ledger, and an outcome is reported only once it is stored.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {PipelineJob, Queue} from "../pipelines/model.js"
import type {Outcome, Progress, ProgressChange} from "../pipelines/progress.js"
import {applyProgress, NO_PROGRESS} from "../pipelines/progress.js"
import type {Ledger} from "./ledger.js"
import type {ActiveJob} from "./state.js"
import {createActiveJob} from "./state.js"
import type {RemainingRuns} from "./workspaceuse.js"

/** How long the outcome of an ended job can be queried. The platform requires at least 120 s. */
const ENDED_JOB_RETENTION_MS: Milliseconds = 150_000

export type ShownState = "queued" | "running" | Outcome

interface EndedJob {
  readonly outcome: Outcome
  readonly expiresAt: Milliseconds
  /** The job was cancelled before it was stored, so that it counts as unknown. */
  readonly isWithdrawn: boolean
  readonly owner: string | undefined
}

export interface JobTable {
  readonly active: ReadonlyMap<string, ActiveJob>
  /** Bytes that the active jobs are estimated to take. */
  readonly memory: () => number
  readonly add: (job: PipelineJob, progress: Progress, inherited: boolean) => ActiveJob | undefined
  /** Adds a job that ended under an earlier leader. `writtenAt` is wall-clock time. */
  readonly addEnded: (job: string, outcome: Outcome, writtenAt: number, owner?: string) => void
  /** Adds a job that an instance has withdrawn, so that it is never stored. `writtenAt` is wall-clock time. */
  readonly addWithdrawn: (job: string, writtenAt: number) => void
  /** True for a job that is active, has ended or was withdrawn. */
  readonly has: (job: string) => boolean
  /** Undefined for an unknown job. Outcomes are returned only once they are stored. */
  readonly stateOf: (job: string) => ShownState | undefined
  /** The workspace whose callers alone may see the job; undefined for an unknown job and one that all may see. */
  readonly ownerOf: (job: string) => string | undefined
  /** Applies a change of progress. Resolves when the result is stored; undefined if it is stored already. */
  readonly updateProgress: (active: ActiveJob, step: ProgressChange) => Promise<void> | undefined
  /** Removes a job from the active ones once its outcome is stored and none of its tasks is at a worker. */
  readonly dropIfFinished: (active: ActiveJob) => void
  /** Forgets ended jobs after their retention, here and in the store. */
  readonly removeExpired: () => void
  /** The job's queue as configured now; if it no longer exists, as it was when the job was accepted. */
  readonly queueOf: (job: PipelineJob) => Queue
}

/**
 * Creates an empty table. `findQueue` looks up a queue of the current configuration by name. `onOutcome` is called when a
 * job ends, and returns what it still occupies, which is recorded with the outcome.
 */
export function createJobTable(
  clock: Clock,
  log: Logger,
  ledger: Ledger,
  findQueue: (name: string) => Queue | undefined,
  onOutcome: (active: ActiveJob) => RemainingRuns | undefined,
): JobTable {
  const active = new Map<string, ActiveJob>()
  const ended = new Map<string, EndedJob>()
  let memory = 0

  function recordEnd(job: string, outcome: Outcome, owner: string | undefined): void {
    ended.set(job, {outcome, expiresAt: clock.now() + ENDED_JOB_RETENTION_MS, isWithdrawn: false, owner})
  }

  function addEnded(job: string, writtenAt: number, end: Omit<EndedJob, "expiresAt">): void {
    const age = Math.max(0, clock.wallClock() - writtenAt)
    ended.set(job, {...end, expiresAt: clock.now() + Math.max(0, ENDED_JOB_RETENTION_MS - age)})
  }

  function dropIfFinished(candidate: ActiveJob): void {
    if (candidate.progress.outcome === undefined || !ended.has(candidate.job.id)) return
    if (candidate.stepRuns.some(run => run.assignments.size > 0)) return
    if (active.delete(candidate.job.id)) memory -= candidate.memory
  }

  return {
    active,
    memory: () => memory,
    add(job, progress, inherited) {
      if (active.has(job.id) || ended.has(job.id)) return undefined
      // The wall clocks of instances differ, so the age is limited to the possible range.
      const age = Math.min(ENDED_JOB_RETENTION_MS, Math.max(0, clock.wallClock() - job.acceptedAt))
      const added = createActiveJob(job, progress, clock.now() - (inherited ? age : 0), inherited)
      active.set(job.id, added)
      memory += added.memory
      return added
    },
    addEnded: (job, outcome, writtenAt, owner) =>
      addEnded(job, writtenAt, {outcome, isWithdrawn: false, owner}),
    addWithdrawn: (job, writtenAt) =>
      addEnded(job, writtenAt, {outcome: "cancelled", isWithdrawn: true, owner: undefined}),
    has: job => active.has(job) || ended.has(job),
    stateOf(job) {
      const known = ended.get(job)
      if (known) return known.isWithdrawn ? undefined : known.outcome
      const found = active.get(job)
      if (!found) return undefined
      return found.hasStarted ? "running" : "queued"
    },
    ownerOf: job => ended.get(job)?.owner ?? active.get(job)?.progress.owner,
    updateProgress(changed, step) {
      const {job, progress} = changed
      const next = applyProgress(job, progress, step)
      // A report that changes nothing is acknowledged only when the change before it is stored.
      if (next === progress) return ledger.whenStored(job.id)
      changed.progress = next
      const {outcome} = next
      if (outcome === undefined) return ledger.writeProgress(job.id, next)
      return ledger.writeProgress(job.id, next, onOutcome(changed)).then(() => {
        recordEnd(job.id, outcome, next.owner)
        const took = Math.round(clock.wallClock() - job.acceptedAt)
        log.info({event: "job-ended", job: job.id, queue: job.queue.name, outcome, took}, "a job has ended")
        dropIfFinished(changed)
      })
    },
    dropIfFinished,
    removeExpired() {
      for (const [job, {expiresAt}] of ended) {
        if (expiresAt > clock.now()) continue
        ended.delete(job)
        ledger.removeEndedJob(job)
      }
    },
    queueOf: job => findQueue(job.queue.name) ?? job.queue,
  }
}

/** Progress of a job of which no progress is stored yet. */
export const INITIAL_PROGRESS: Progress = NO_PROGRESS
