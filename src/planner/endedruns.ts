/**
 * What jobs that have ended may still run without being assigned here. A leader keeps a job until no worker has a run of
 * it. A new leader knows no more of a job that ended before than its outcome, whose record therefore says what the job
 * occupied then. This counts until every worker has listed its runs and none has one of the job.
 */
import type {RemainingRuns} from "./workspaceuse.js"
import type {WorkerState} from "./state.js"

export interface EndedRuns {
  readonly add: (job: string, runs: RemainingRuns) => void
  readonly list: () => Iterable<RemainingRuns>
  /** Forgets the jobs of which no run can be left. */
  readonly check: (workers: Iterable<WorkerState>, haveAllListed: boolean) => void
}

export function createEndedRuns(): EndedRuns {
  const remaining = new Map<string, RemainingRuns>()

  return {
    add: (job, runs) => void remaining.set(job, runs),
    list: () => remaining.values(),
    check(workers, haveAllListed) {
      if (remaining.size === 0 || !haveAllListed) return
      const unknown = new Set([...workers].flatMap(({unknownJobs}) => [...unknownJobs]))
      for (const job of remaining.keys()) if (!unknown.has(job)) remaining.delete(job)
    },
  }
}
