/** The leader's jobs: those that are active, and the outcomes of those that have ended. */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {PipelineJob, Queue} from "../pipelines/model.js"
import type {Outcome, Progress, ProgressStep} from "../pipelines/progress.js"
import {applyProgress, NO_PROGRESS} from "../pipelines/progress.js"
import type {Ledger} from "./ledger.js"
import type {ActiveJob} from "./state.js"
import {createActiveJob} from "./state.js"

/** Ended jobs answer for their state at least this long; the platform asks for 120 s. */
const REMEMBER_MS: Milliseconds = 150_000

export type ShownState = "queued" | "running" | Outcome

interface EndedJob {
  readonly outcome: Outcome
  readonly forgetAt: Milliseconds
}

export interface JobTable {
  readonly active: ReadonlyMap<string, ActiveJob>
  readonly add: (job: PipelineJob, progress: Progress, inherited: boolean) => ActiveJob | undefined
  /** Enters a job that had ended before this leader. */
  readonly addEnded: (job: string, outcome: Outcome, writtenAt: number) => void
  /** Undefined for a job that is not known. Outcomes are shown once they are stored. */
  readonly stateOf: (job: string) => ShownState | undefined
  /** Applies a step. Resolves when the result is stored; undefined when everything is stored already. */
  readonly change: (active: ActiveJob, step: ProgressStep) => Promise<void> | undefined
  /** Takes a job off the table once it has ended and nothing of it runs any more. */
  readonly dropIfOver: (active: ActiveJob) => void
  readonly forgetOld: () => void
  /** The queue as configured now, or as it was when the job came. */
  readonly queueOf: (job: PipelineJob) => Queue
}

/** Creates an empty table. `findQueue` gives a queue of the present configuration by name. */
export function createJobTable(
  clock: Clock,
  log: Logger,
  ledger: Ledger,
  findQueue: (name: string) => Queue | undefined,
  onOutcome: (active: ActiveJob) => void,
): JobTable {
  const active = new Map<string, ActiveJob>()
  const ended = new Map<string, EndedJob>()

  function end(job: string, outcome: Outcome): void {
    ended.set(job, {outcome, forgetAt: clock.now() + REMEMBER_MS})
  }

  function dropIfOver(candidate: ActiveJob): void {
    if (candidate.progress.outcome === undefined || !ended.has(candidate.job.id)) return
    if (candidate.stepRuns.every(run => run.assignments.size === 0)) active.delete(candidate.job.id)
  }

  return {
    active,
    add(job, progress, inherited) {
      if (active.has(job.id) || ended.has(job.id)) return undefined
      // Instances' times of day differ, so an age that cannot be is cut off.
      const age = Math.min(REMEMBER_MS, Math.max(0, clock.wallClock() - job.acceptedAt))
      const added = createActiveJob(job, progress, clock.now() - (inherited ? age : 0), inherited)
      active.set(job.id, added)
      return added
    },
    addEnded(job, outcome, writtenAt) {
      const age = Math.max(0, clock.wallClock() - writtenAt)
      ended.set(job, {outcome, forgetAt: clock.now() + Math.max(0, REMEMBER_MS - age)})
    },
    stateOf(job) {
      const known = ended.get(job)
      if (known) return known.outcome
      const found = active.get(job)
      if (!found) return undefined
      return found.hasStarted ? "running" : "queued"
    },
    change(changed, step) {
      const {job, progress} = changed
      const next = applyProgress(job, progress, step)
      // An end that says nothing new counts as noted only with what was noted before it.
      if (next === progress) return ledger.settled(job.id)
      changed.progress = next
      const stored = ledger.note(job.id, next)
      const {outcome} = next
      if (outcome === undefined) return stored
      onOutcome(changed)
      return stored.then(() => {
        end(job.id, outcome)
        const took = Math.round(clock.wallClock() - job.acceptedAt)
        log.info({event: "job-ended", job: job.id, queue: job.queue.name, outcome, took}, "a job has ended")
        dropIfOver(changed)
      })
    },
    dropIfOver,
    forgetOld() {
      for (const [job, {forgetAt}] of ended) {
        if (forgetAt > clock.now()) continue
        ended.delete(job)
        ledger.forget(job)
      }
    },
    queueOf: job => findQueue(job.queue.name) ?? job.queue,
  }
}

/** Progress of a job of which nothing is stored yet. */
export const FRESH: Progress = NO_PROGRESS
