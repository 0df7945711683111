/**
 * What workspaces occupy, from all that the leader knows: runs that are assigned, runs of earlier leaders that no worker
 * has listed yet, and runs that are left of jobs that have ended.
 */
import type {Resources} from "../core/resources.js"
import {add, isNothing, NO_RESOURCES} from "../core/resources.js"
import type {FleetConfiguration, PipelineJob} from "../pipelines/model.js"
import type {WorkspaceUse} from "../pipelines/workspaceroom.js"
import {createEndedRuns} from "./endedruns.js"
import type {ActiveJob, WorkerState} from "./state.js"
import type {RemainingRuns} from "./workspaceuse.js"
import {createWorkspaceUses, sumRuns, sumWaiting} from "./workspaceuse.js"

export interface WorkspaceAccountsContext {
  readonly configuration: () => FleetConfiguration | undefined
  readonly activeJobs: () => Iterable<ActiveJob>
  readonly workers: () => Iterable<WorkerState>
  /** True while the worker may run tasks for an earlier leader that it has not listed. */
  readonly mayRunInherited: (worker: WorkerState) => boolean
  /** True once there is no such worker. */
  readonly haveAllListed: () => boolean
  /** True while such a worker belongs to the service. */
  readonly isServiceBlocked: (service: string) => boolean
  /** The services that may have been given tasks of the job. */
  readonly listUsedServices: (job: PipelineJob) => readonly string[]
  /** True while a worker has reported runs of the job that are not assigned yet. */
  readonly awaitsListing: (job: string) => boolean
}

export interface WorkspaceAccounts {
  /** Sums anew what each workspace with a limit occupies. */
  readonly update: () => ReadonlyMap<string, WorkspaceUse>
  /** Returns what a job that has just ended still occupies; undefined if it is nothing, or nobody's. */
  readonly recordOutcome: (active: ActiveJob) => RemainingRuns | undefined
  /** Takes what a job occupied when it ended under an earlier leader. */
  readonly restore: (job: string, runs: RemainingRuns) => void
  /** As of the last update. */
  readonly gauges: () => Readonly<Record<string, number>>
}

export function createWorkspaceAccounts(context: WorkspaceAccountsContext): WorkspaceAccounts {
  const {configuration, activeJobs, workers, mayRunInherited} = context
  const uses = createWorkspaceUses()
  const endedRuns = createEndedRuns()

  /** True while tasks of the job that are not assigned here may run for an earlier leader. */
  function mayRunUnseen(active: ActiveJob): boolean {
    if (!active.isInherited) return false
    if (context.listUsedServices(active.job).some(context.isServiceBlocked)) return true
    return context.awaitsListing(active.job.id)
  }

  function sumCapacity(counts: (worker: WorkerState) => boolean): Resources {
    let sum = NO_RESOURCES
    for (const worker of workers()) if (counts(worker)) sum = add(sum, worker.listing.capacity)
    return sum
  }

  return {
    update() {
      endedRuns.check(workers(), context.haveAllListed())
      return uses.update(configuration(), {
        activeJobs: activeJobs(),
        mayRunUnseen: active => active.progress.outcome === undefined && mayRunUnseen(active),
        unseenCapacity: () => sumCapacity(worker => mayRunInherited(worker) || worker.unknownJobs.size > 0),
        remainingRuns: endedRuns.list(),
      })
    },
    recordOutcome(active) {
      const {job, progress} = active
      // The runs of a completed job have all ended.
      if (job.workspace === undefined || progress.outcome === "completed") return undefined
      const unseen = mayRunUnseen(active) ? sumWaiting(active) : NO_RESOURCES
      if (!isNothing(unseen)) endedRuns.add(job.id, {workspace: job.workspace, occupied: unseen})
      const occupied = add(sumRuns(active), unseen)
      return isNothing(occupied) ? undefined : {workspace: job.workspace, occupied}
    },
    restore: endedRuns.add,
    gauges: () => uses.gauges(sumCapacity(() => true)),
  }
}
