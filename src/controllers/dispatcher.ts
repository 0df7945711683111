/**
 * Places the waiting tasks of one job group. The dispatcher takes tasks from the wait queue in scheduling passes,
 * chooses worker groups by the free capacity that their owners describe, and asks those owners to start attempts. It
 * also reconciles attempts that are in doubt with the owners. It stores nothing: it reports attempts that never
 * started or whose outcome is unknown to the home of the job group, which records them.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import type {EnvironmentDocument} from "../document/model.js"
import type {Attempt} from "../jobs/attempt.js"
import type {FreeCapacity} from "../membership/table.js"
import type {GroupSelector, GroupDescription} from "../placement/groupchoice.js"
import {laneName, planPass} from "../placement/passplan.js"
import type {GroupIndex, PlannedPlacement} from "../placement/passplan.js"
import {taskQueue} from "../placement/taskqueue.js"
import type {QueuedItem, TaskQueue} from "../placement/taskqueue.js"
import {createAttemptTracker} from "./attempttracker.js"
import type {AttemptTracker, TrackedAttempt} from "./attempttracker.js"
import type {Logger} from "../core/logger.js"
import type {GroupOwnerAddress, AttemptPlacement, PlacementClient} from "./placementclient.js"

/** A worker group with its free capacity and its owner, as last known here. */
export interface ReachableGroup extends GroupDescription {
  readonly owner: GroupOwnerAddress
}

export interface DispatcherPorts {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly client: PlacementClient
  readonly choice: GroupSelector
  readonly jobGroup: string
  readonly document: () => EnvironmentDocument | undefined
  readonly groups: GroupIndex<ReachableGroup>
  readonly mayAct: () => boolean
  /** Creates the next attempt of a waiting task. */
  readonly nextAttempt: (item: WaitingTask) => Attempt
  /**
   * Stores durably that these at-most-once tasks may start. Resolves to false if this is not possible now; the tasks
   * must not start then.
   */
  readonly recordMayStart: (items: readonly WaitingTask[]) => Promise<boolean>
  /** Called when it is certain that the attempt has not started and never will. */
  readonly onNeverStarted: (attempt: Attempt) => void
  /** Called when the attempt certainly does not run now, but it is unknown whether it ran. */
  readonly onOutcomeUnknown: (attempt: Attempt) => void
}

/** A task in the wait queue. */
export interface WaitingTask extends QueuedItem {
  readonly job: string
  readonly task: number
  readonly restartable: boolean
}

export interface Dispatcher {
  /** Adds a task to the wait queue. */
  readonly enqueue: (item: WaitingTask) => void
  /** Removes a task from the wait queue. Returns false if it was not queued. */
  readonly withdraw: (job: string, task: number) => boolean
  readonly tracker: () => AttemptTracker
  readonly queue: () => TaskQueue<WaitingTask>
  /** Schedules a scheduling pass; requests that come close together share one pass. */
  readonly requestPass: () => void
  /** Asks the owners to stop the attempts, with a checkpoint if `checkpoint` is set. Repeated until it is done. */
  readonly stop: (entries: readonly TrackedAttempt[], checkpoint: boolean) => void
  /** Asks the owners about attempts that are in doubt, which include those whose owner has changed. */
  readonly reconcile: () => Promise<void>
  /** Why tasks like this one (same team, priority, pool and demand) wait; undefined if nothing blocked them. */
  readonly blockerOf: (item: WaitingTask) => string | undefined
  readonly close: () => void
}

/** Interval of scheduling passes while tasks wait, in addition to those that events request. */
const PASS_INTERVAL_MS: Milliseconds = 100
/** How long an owner may hold attempts that wait for free capacity. */
const OWNER_WAIT_MS: Milliseconds = 700
/** The same for an owner that seems to have free capacity. */
const SHORT_OWNER_WAIT_MS: Milliseconds = 150
/** Limit on attempts for which owners were asked and have not answered. */
const MAX_UNANSWERED_ATTEMPTS = 256
const ATTEMPTS_PER_CALL = 32
const RECONCILE_INTERVAL_MS: Milliseconds = 500
/** An owner is asked about an attempt that has been starting or stopping for longer than this. */
const IN_DOUBT_AFTER_MS: Milliseconds = 6000

export function taskName(job: string, task: number): string {
  return `${job}.${task}`
}

type PlannedRequest = PlannedPlacement<WaitingTask, ReachableGroup>

/** Creates the dispatcher of one job group and starts its scheduling and reconciliation loops. */
export function createDispatcher(ports: DispatcherPorts): Dispatcher {
  const {clock, log, client} = ports
  const queue = taskQueue<WaitingTask>()
  const tracker = createAttemptTracker()
  /** The last refusal reason of an owner, by lane (team, priority, pool and demand). */
  const lastRefusals = new Map<string, string>()
  /** The reasons why tasks waited in the last pass, by lane. */
  let blockers: ReadonlyMap<string, string> = new Map()
  /** Placement calls that may wait at the owner and are unanswered, by worker group. */
  const waitingCalls = new Map<string, number>()
  /** Free capacity from owners' replies, by worker group; valid until gossip brings a value other than `gossiped`. */
  const repliedCapacity = new Map<string, {readonly free: FreeCapacity; readonly gossiped: FreeCapacity}>()
  let closed = false
  let isPassRunning = false
  let isPassScheduled = false
  let lastPassAt: Milliseconds = Number.NEGATIVE_INFINITY
  let isReconciling = false

  /** Returns the group with the latest free capacity, from a reply of its owner or from gossip. */
  function withLatestCapacity(group: ReachableGroup): ReachableGroup {
    const reply = repliedCapacity.get(group.group)
    if (!reply) return group
    if (reply.gossiped === group.free) return {...group, free: reply.free}
    repliedCapacity.delete(group.group)
    return group
  }

  function findGroup(name: string): ReachableGroup | undefined {
    const group = ports.groups.named(name)
    return group && withLatestCapacity(group)
  }

  const index: GroupIndex<ReachableGroup> = {
    ofPool: ports.groups.ofPool,
    named: findGroup,
    fleet: ports.groups.fleet,
  }

  /** Moves tasks from the wait queue to the tracker and returns an attempt for each. */
  function trackAttempts(planned: PlannedRequest, items: readonly WaitingTask[]): readonly Attempt[] {
    const since = clock.now()
    const {group, owner} = planned.group
    return items.map(item => {
      queue.remove(item.key)
      const attempt = ports.nextAttempt(item)
      tracker.track({
        attempt,
        group,
        ownerEpoch: owner.epoch,
        phase: "asking",
        worker: "",
        since,
        stopRequest: "none",
      })
      return attempt
    })
  }

  /** Updates the tracker with an owner's answer for one attempt. */
  function applyPlacement(planned: PlannedRequest, placement: AttemptPlacement): void {
    const entry = tracker.get(placement.attempt)
    if (!entry) return
    const {attempt} = entry
    const {group} = planned.group
    log.info(
      {
        event: "placement-answer",
        jobGroup: ports.jobGroup,
        job: attempt.job,
        task: attempt.task,
        attempt: placement.attempt,
        group,
        result: placement.result,
        worker: placement.worker,
        reason: placement.reason,
        waited: Math.round(clock.now() - entry.since),
      },
      "the worker group owner answered a placement request",
    )
    if (placement.result === "started") {
      tracker.update(placement.attempt, {phase: "running", worker: placement.worker, since: clock.now()})
      return
    }
    if (placement.result !== "refused") {
      tracker.update(placement.attempt, {phase: "in-doubt", worker: placement.worker})
      return
    }
    lastRefusals.set(laneName(taskOfAttempt(attempt, entry.since)), placement.reason)
    tracker.remove(placement.attempt)
    ports.onNeverStarted(attempt)
  }

  function taskOfAttempt(attempt: Attempt, enqueuedAt: Milliseconds): WaitingTask {
    const {job, task, team, priority, pool, demand, restartable} = attempt
    return {key: taskName(job, task), job, task, team, priority, pool, demand, restartable, enqueuedAt}
  }

  function markAllRefused(attempts: readonly Attempt[], planned: PlannedRequest, reason: string): void {
    for (const {attempt} of attempts)
      applyPlacement(planned, {attempt, result: "refused", worker: "", reason})
  }

  async function requestPlacement(planned: PlannedRequest, attempts: readonly Attempt[]): Promise<void> {
    const {group, owner} = planned.group
    const rank = planned.rank
    if (planned.mayWait) waitingCalls.set(group, (waitingCalls.get(group) ?? 0) + 1)
    const call = {
      group,
      owner,
      mode: "start" as const,
      attempts,
      wait: planned.mayWait ? OWNER_WAIT_MS : SHORT_OWNER_WAIT_MS,
      rank,
      waited: planned.waited,
      reservation: "",
    }
    const reply = await client.place(call)
    if (planned.mayWait) waitingCalls.set(group, (waitingCalls.get(group) ?? 1) - 1)
    if (closed) return
    if (reply.isErr()) {
      if (reply.error.certainty === "not-run") markAllRefused(attempts, planned, reply.error.message)
      else for (const {attempt} of attempts) tracker.update(attempt, {phase: "in-doubt"})
      return
    }
    if (reply.value.refusal !== "") {
      markAllRefused(attempts, planned, reply.value.refusal)
      return
    }
    const gossiped = ports.groups.named(group)?.free
    if (reply.value.free && gossiped) repliedCapacity.set(group, {free: reply.value.free, gossiped})
    for (const placement of reply.value.placements) applyPlacement(planned, placement)
    requestPass()
  }

  /** Sends the planned request in calls of bounded size. An at-most-once task is sent only once its start is recorded. */
  async function sendInBatches(planned: PlannedRequest): Promise<void> {
    for (let from = 0; from < planned.items.length; from += ATTEMPTS_PER_CALL) {
      const items = planned.items.slice(from, from + ATTEMPTS_PER_CALL).filter(item => queue.get(item.key))
      const atMostOnce = items.filter(item => !item.restartable)
      const attempts = trackAttempts(planned, items)
      if (atMostOnce.length > 0 && !(await ports.recordMayStart(atMostOnce))) {
        markAllRefused(
          attempts,
          planned,
          "the start of an at-most-once task cannot be recorded at the moment",
        )
        continue
      }
      if (attempts.length > 0) void requestPlacement(planned, attempts)
    }
  }

  function runPass(): void {
    isPassScheduled = false
    lastPassAt = clock.now()
    const document = ports.document()
    if (closed || !ports.mayAct() || !document) return
    const asking = [...tracker.all()].reduce((count, entry) => count + (entry.phase === "asking" ? 1 : 0), 0)
    const plan = planPass({
      now: clock.now(),
      queue,
      groups: index,
      selector: ports.choice,
      random: ports.random,
      packingWeight: document.packingWeight,
      teamOf: team => document.teams.get(team),
      usageOf: tracker.usageOf,
      waitingPlacementsAt: group => waitingCalls.get(group) ?? 0,
      taskLimit: MAX_UNANSWERED_ATTEMPTS - asking,
    })
    blockers = plan.blockers
    for (const planned of plan.placements) void sendInBatches(planned)
  }

  const MIN_PASS_GAP_MS: Milliseconds = 5

  function requestPass(): void {
    if (isPassScheduled || closed) return
    isPassScheduled = true
    const delay = Math.max(0, lastPassAt + MIN_PASS_GAP_MS - clock.now())
    clock.after(delay, () => {
      if (isPassRunning) return
      isPassRunning = true
      runPass()
      isPassRunning = false
    })
  }

  function passLoop(): void {
    if (closed) return
    if (queue.size() > 0) requestPass()
    clock.after(PASS_INTERVAL_MS, passLoop)
  }

  function groupByWorkerGroup(
    entries: readonly TrackedAttempt[],
  ): ReadonlyMap<string, readonly TrackedAttempt[]> {
    const grouped = new Map<string, TrackedAttempt[]>()
    for (const entry of entries) {
      const list = grouped.get(entry.group) ?? []
      list.push(entry)
      grouped.set(entry.group, list)
    }
    return grouped
  }

  async function sendStop(
    group: ReachableGroup,
    entries: readonly TrackedAttempt[],
    checkpoint: boolean,
  ): Promise<void> {
    const names = entries.map(entry => entry.attempt.attempt)
    const reply = await client.abandon(group.group, group.owner, names, checkpoint)
    if (reply.isErr() || reply.value.refusal !== "" || closed) return
    for (const [name, fate] of reply.value.fates) applyFate(name, fate, group.owner.epoch)
  }

  /**
   * Applies what an owner answers about an attempt that it was asked to abandon. An attempt that the owner does not
   * know has never started only if that owner is also the one that was asked to start it.
   */
  function applyFate(name: string, fate: string, ownerEpoch: number): void {
    const entry = tracker.get(name)
    if (!entry) return
    if (fate === "stopping") {
      tracker.update(name, {phase: "stopping"})
      return
    }
    if (fate === "ended") return
    const isSameOwner = entry.ownerEpoch === ownerEpoch
    if (fate === "never-started" || isSameOwner) {
      tracker.remove(name)
      ports.onNeverStarted(entry.attempt)
    }
  }

  function stop(entries: readonly TrackedAttempt[], checkpoint: boolean): void {
    for (const entry of entries)
      tracker.update(entry.attempt.attempt, {stopRequest: checkpoint ? "checkpoint" : "stop"})
    for (const [name, listed] of groupByWorkerGroup(entries)) {
      const group = findGroup(name)
      if (group) void sendStop(group, listed, checkpoint)
    }
  }

  /** True if the owner must be asked about the attempt. */
  function isInDoubt(entry: TrackedAttempt, group: ReachableGroup): boolean {
    if (entry.phase === "in-doubt" || entry.ownerEpoch !== group.owner.epoch) return true
    const isOverdue = clock.now() > entry.since + IN_DOUBT_AFTER_MS
    return isOverdue && (entry.phase === "asking" || entry.phase === "stopping")
  }

  /**
   * Compares attempts that are in doubt with the owner's inventory. Attempts that have ended stay tracked until their
   * end is reported; attempts missing from a complete inventory are abandoned.
   */
  async function reconcileGroup(group: ReachableGroup, inDoubt: readonly TrackedAttempt[]): Promise<void> {
    const reply = await client.inventory(group.group, group.owner)
    if (reply.isErr() || reply.value.refusal !== "" || closed) return
    const running = new Map(reply.value.running.map(entry => [entry.attempt.attempt, entry.worker]))
    const ended = new Set(reply.value.ended.map(end => end.attempt))
    const missing: TrackedAttempt[] = []
    for (const entry of inDoubt) {
      const name = entry.attempt.attempt
      if (tracker.get(name) !== entry || ended.has(name)) continue
      const worker = running.get(name)
      if (worker !== undefined) {
        tracker.update(name, {phase: "running", worker, ownerEpoch: group.owner.epoch, since: clock.now()})
        if (entry.stopRequest !== "none") stop([entry], entry.stopRequest === "checkpoint")
      } else if (reply.value.complete) missing.push(entry)
    }
    if (missing.length > 0) await abandonMissing(group, missing)
  }

  /**
   * Has the owner abandon attempts that it does not know, so that a delayed placement request cannot start them. The
   * outcome is unknown if the owner that was asked to start the attempt has been replaced.
   */
  async function abandonMissing(group: ReachableGroup, missing: readonly TrackedAttempt[]): Promise<void> {
    const names = missing.map(entry => entry.attempt.attempt)
    const reply = await client.abandon(group.group, group.owner, names, false)
    if (reply.isErr() || reply.value.refusal !== "" || closed) return
    for (const entry of missing) {
      const name = entry.attempt.attempt
      const fate = reply.value.fates.get(name)
      if (!tracker.get(name) || fate === undefined) continue
      const isOtherOwner = entry.ownerEpoch !== group.owner.epoch
      if (fate === "unknown" && isOtherOwner) {
        tracker.remove(name)
        ports.onOutcomeUnknown(entry.attempt)
      } else applyFate(name, fate, group.owner.epoch)
    }
  }

  /** Repeats stop requests for attempts that still run, because the earlier call may have been lost. */
  function resendStops(group: ReachableGroup, entries: readonly TrackedAttempt[]): readonly Promise<void>[] {
    return (["stop", "checkpoint"] as const).flatMap(request => {
      const unstopped = entries.filter(entry => entry.phase === "running" && entry.stopRequest === request)
      return unstopped.length > 0 ? [sendStop(group, unstopped, request === "checkpoint")] : []
    })
  }

  async function reconcile(): Promise<void> {
    if (isReconciling || closed || !ports.mayAct()) return
    isReconciling = true
    const calls: Promise<void>[] = []
    for (const [name, entries] of groupByWorkerGroup([...tracker.all()])) {
      const group = findGroup(name)
      if (!group) continue
      const inDoubt = entries.filter(entry => isInDoubt(entry, group))
      if (inDoubt.length > 0) calls.push(reconcileGroup(group, inDoubt))
      calls.push(...resendStops(group, entries))
    }
    await Promise.all(calls)
    isReconciling = false
  }

  function reconcileLoop(): void {
    if (closed) return
    void reconcile()
    clock.after(RECONCILE_INTERVAL_MS, reconcileLoop)
  }

  passLoop()
  reconcileLoop()

  return {
    enqueue(item) {
      queue.add(item)
      requestPass()
    },
    withdraw: (job, task) => queue.remove(taskName(job, task)) !== undefined,
    tracker: () => tracker,
    queue: () => queue,
    requestPass,
    stop,
    reconcile,
    blockerOf: item => blockers.get(laneName(item)) ?? lastRefusals.get(laneName(item)),
    close() {
      closed = true
    },
  }
}
