/**
 * Recovers the attempts that an earlier home of a job group started: asks the owner of every worker group for its
 * inventory, tracks the attempts that run, applies ends that have not been recorded, and only then resumes the open
 * jobs.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Attempt, AttemptEnd} from "../jobs/attempt.js"
import {jobResultOf} from "../jobs/job.js"
import type {Job, JobStep, Task} from "../jobs/job.js"
import type {GroupIndex} from "../placement/passplan.js"
import type {TrackedAttempt} from "./attempttracker.js"
import type {Dispatcher, ReachableGroup} from "./dispatcher.js"
import type {JobRegistry} from "./jobregistry.js"
import type {PlacementClient} from "./placementclient.js"

export interface JobRecoveryPorts {
  readonly clock: Clock
  readonly client: PlacementClient
  readonly groups: GroupIndex<ReachableGroup>
  /** Every worker group that exists, with or without a known owner. */
  readonly groupNames: () => readonly string[]
  readonly registry: JobRegistry
  readonly dispatcher: Dispatcher
  /** Jobs that an earlier home accepted and that were open. */
  readonly unconfirmedJobs: ReadonlySet<string>
  readonly isClosed: () => boolean
  readonly newTrackedAttempt: (attempt: Attempt) => TrackedAttempt
  readonly markStarted: (job: string, task: number) => void
  readonly applyEnd: (end: AttemptEnd) => Promise<unknown>
  readonly enqueueJob: (job: Job) => void
  /** Returns the step that ends a task of which no attempt runs. */
  readonly endStepOfWaitingTask: (job: Job, task: Task) => JobStep
}

const RECOVERY_RETRY_MS: Milliseconds = 300

/** Resolves once the jobs are resumed or the home is closed. `onRecovered` is called when all owners have reported. */
export async function recoverJobs(ports: JobRecoveryPorts, onRecovered: () => void): Promise<void> {
  const {clock, registry, dispatcher, unconfirmedJobs} = ports

  /** Applies the inventory of one worker group. Resolves to true if it was complete. */
  async function readInventory(name: string): Promise<boolean> {
    const group = ports.groups.named(name)
    if (!group) return false
    const reply = await ports.client.inventory(name, group.owner)
    if (reply.isErr() || reply.value.refusal !== "") return false
    for (const {attempt, worker} of reply.value.running) adoptAttempt(group, attempt, worker)
    for (const end of reply.value.ended) void ports.applyEnd(end)
    return reply.value.complete
  }

  /** Tracks a running attempt; stops it if its task has ended or its job is cancelled or unknown. */
  function adoptAttempt(group: ReachableGroup, attempt: Attempt, worker: string): void {
    if (dispatcher.tracker().get(attempt.attempt)) return
    ports.markStarted(attempt.job, attempt.task)
    const entry: TrackedAttempt = {
      ...ports.newTrackedAttempt(attempt),
      group: group.group,
      ownerEpoch: group.owner.epoch,
      phase: "running",
      worker,
    }
    dispatcher.tracker().track(entry)
    const job = registry.get(attempt.job)
    if (!job || job.cancelled || job.tasks[attempt.task]?.result !== undefined)
      dispatcher.stop([entry], false)
  }

  /** Resumes a job of an earlier home. An at-most-once task whose marked attempt no owner knows ends as unknown. */
  function resumeJob(job: Job): void {
    const {job: name, restartable} = job.specification
    const at = clock.wallClock()
    for (const task of job.tasks) {
      if (task.result !== undefined || dispatcher.tracker().ofTask(name, task.index)) continue
      if (task.openAttempt && !restartable) {
        const detail = "it may have started, but the owner and the home that knew of it have failed"
        void registry.record({type: "task-ended", job: name, task: task.index, result: "unknown", detail, at})
      } else if (job.cancelled) void registry.record(ports.endStepOfWaitingTask(job, task))
    }
    const next = registry.get(name)
    if (next && !next.cancelled && next.endedAt === 0) ports.enqueueJob(next)
  }

  /** Reads inventories until each worker group has given a complete one. An empty list of groups is not conclusive. */
  async function readAllInventories(): Promise<void> {
    const complete = new Set<string>()
    while (!ports.isClosed()) {
      const missing = ports.groupNames().filter(name => !complete.has(name))
      if (missing.length === 0 && complete.size > 0) return
      for (const name of missing) if (await readInventory(name)) complete.add(name)
      if (missing.every(name => complete.has(name)) && complete.size > 0) continue
      await sleep(clock, RECOVERY_RETRY_MS)
    }
  }

  if (unconfirmedJobs.size > 0) await readAllInventories()
  if (ports.isClosed()) return
  onRecovered()
  for (const name of unconfirmedJobs) {
    const job = registry.get(name)
    if (job && jobResultOf(job) === "open") resumeJob(job)
  }
}
