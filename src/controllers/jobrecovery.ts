/**
 * Recovers what an earlier home had under way: asks the owner of every worker group what it holds of the job group,
 * adopts what runs, takes ends that nobody has written down, and only then goes on with the rest.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Attempt, AttemptEnd} from "../jobs/attempt.js"
import {jobResultOf} from "../jobs/job.js"
import type {Job, JobStep, Task} from "../jobs/job.js"
import type {GroupIndex} from "../placement/passplan.js"
import type {TrackedAttempt} from "./attempttracker.js"
import type {Dispatcher, ReachableGroup} from "./dispatcher.js"
import type {JobBook} from "./jobbook.js"
import type {PlacementClient} from "./placementclient.js"

export interface JobRecoveryPorts {
  readonly clock: Clock
  readonly client: PlacementClient
  readonly groups: GroupIndex<ReachableGroup>
  /** Every worker group that exists, with or without a known owner. */
  readonly groupNames: () => readonly string[]
  readonly book: JobBook
  readonly work: Dispatcher
  /** Jobs that an earlier home accepted and that were open. */
  readonly unproved: ReadonlySet<string>
  readonly isClosed: () => boolean
  readonly trackedFor: (attempt: Attempt) => TrackedAttempt
  readonly noteStarted: (job: string, task: number) => void
  readonly takeEnd: (end: AttemptEnd) => Promise<unknown>
  readonly enqueueJob: (job: Job) => void
  readonly endOfWaiting: (job: Job, task: Task) => JobStep
}

const RECOVERY_RETRY_MS: Milliseconds = 300

/** Resolves once everything is known; `onKnown` runs before the rest goes on. */
export async function recoverJobs(ports: JobRecoveryPorts, onKnown: () => void): Promise<void> {
  const {clock, book, work, unproved} = ports

  async function inventoryOf(name: string): Promise<boolean> {
    const group = ports.groups.named(name)
    if (!group) return false
    const reply = await ports.client.inventory(name, group.owner)
    if (reply.isErr() || reply.value.refusal !== "") return false
    for (const {attempt, worker} of reply.value.running) adopt(group, attempt, worker)
    for (const end of reply.value.ended) void ports.takeEnd(end)
    return reply.value.complete
  }

  function adopt(group: ReachableGroup, attempt: Attempt, worker: string): void {
    if (work.tracker().get(attempt.attempt)) return
    ports.noteStarted(attempt.job, attempt.task)
    const entry: TrackedAttempt = {
      ...ports.trackedFor(attempt),
      group: group.group,
      ownerEpoch: group.owner.epoch,
      phase: "running",
      worker,
    }
    work.tracker().track(entry)
    const job = book.get(attempt.job)
    if (!job || job.cancelled || job.tasks[attempt.task]?.result !== undefined) work.stop([entry], false)
  }

  /** Goes on with a job of an earlier home. An at-most-once attempt that nobody knows of is never repeated. */
  function resume(job: Job): void {
    const {job: name, restartable} = job.specification
    const at = clock.wallClock()
    for (const task of job.tasks) {
      if (task.result !== undefined || work.tracker().ofTask(name, task.index)) continue
      if (task.openAttempt && !restartable) {
        const detail = "it may have started, and its owner and its home are gone"
        void book.record({type: "task-ended", job: name, task: task.index, result: "unknown", detail, at})
      } else if (job.cancelled) void book.record(ports.endOfWaiting(job, task))
    }
    const next = book.get(name)
    if (next && !next.cancelled && next.endedAt === 0) ports.enqueueJob(next)
  }

  /** Asks until every group has told. An empty list of groups tells nothing: it is read again. */
  async function hearOwners(): Promise<void> {
    const heard = new Set<string>()
    while (!ports.isClosed()) {
      const missing = ports.groupNames().filter(name => !heard.has(name))
      if (missing.length === 0 && heard.size > 0) return
      for (const name of missing) if (await inventoryOf(name)) heard.add(name)
      if (missing.every(name => heard.has(name)) && heard.size > 0) continue
      await sleep(clock, RECOVERY_RETRY_MS)
    }
  }

  if (unproved.size > 0) await hearOwners()
  if (ports.isClosed()) return
  onKnown()
  for (const name of unproved) {
    const job = book.get(name)
    if (job && jobResultOf(job) === "open") resume(job)
  }
}
