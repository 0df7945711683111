/**
 * Places the waiting tasks of one job group. It takes them in the queue's order, chooses worker groups from their
 * owners' descriptions, asks the owners, and settles attempts whose fate is in doubt. It decides nothing durable:
 * ends go to the home, which writes them down.
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
import {attemptTracker} from "./attempttracker.js"
import type {AttemptTracker, TrackedAttempt} from "./attempttracker.js"
import type {Logger} from "../core/logger.js"
import type {GroupOwnerAddress, PlacedAttempt, PlacementClient} from "./placementclient.js"

/** A worker group with its owner, as last heard. */
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
  /** Builds the next attempt of a waiting task. */
  readonly nextAttempt: (item: WaitingTask) => Attempt
  /** Makes it durable that these tasks may start. Gives false when that cannot be done now. */
  readonly recordMayStart: (items: readonly WaitingTask[]) => Promise<boolean>
  /** The attempt has surely not started and never will. */
  readonly onNeverStarted: (attempt: Attempt) => void
  /** Nothing tells whether the attempt ran; it surely does not run now. */
  readonly onFateLost: (attempt: Attempt) => void
}

export interface WaitingTask extends QueuedItem {
  readonly job: string
  readonly task: number
  readonly restartable: boolean
}

export interface Dispatcher {
  readonly enqueue: (item: WaitingTask) => void
  readonly withdraw: (job: string, task: number) => boolean
  readonly tracker: () => AttemptTracker
  readonly queue: () => TaskQueue<WaitingTask>
  /** Runs a pass soon. */
  readonly wake: () => void
  /** Asks owners to stop attempts, or to checkpoint them. */
  readonly stop: (entries: readonly TrackedAttempt[], checkpoint: boolean) => void
  /** Marks attempts whose owner has changed as in doubt until the new owner has told of them. */
  readonly settle: () => Promise<void>
  /** Why tasks of this kind wait, in words; undefined when nothing was in their way. */
  readonly blockerOf: (item: WaitingTask) => string | undefined
  readonly close: () => void
}

const PASS_INTERVAL_MS: Milliseconds = 100
const WAIT_AT_OWNER_MS: Milliseconds = 700
/** Wait at an owner that seems to have room. */
const SHORT_WAIT_MS: Milliseconds = 150
const ASKS_AT_ONCE = 256
const BATCH = 32
const SETTLE_INTERVAL_MS: Milliseconds = 500
const DOUBT_AFTER_MS: Milliseconds = 6000

export function taskName(job: string, task: number): string {
  return `${job}.${task}`
}

type Ask = PlannedPlacement<WaitingTask, ReachableGroup>

/** Creates the dispatcher of one home. */
export function dispatcher(ports: DispatcherPorts): Dispatcher {
  const {clock, log, client} = ports
  const queue = taskQueue<WaitingTask>()
  const tracker = attemptTracker()
  /** Kind of task to the reason that an owner gave last. */
  const refusals = new Map<string, string>()
  let blockers: ReadonlyMap<string, string> = new Map()
  const waitingAt = new Map<string, number>()
  /** Descriptions newer than those heard by gossip, from the owners' replies. */
  const fresh = new Map<string, {readonly free: FreeCapacity; readonly heard: FreeCapacity}>()
  let closed = false
  let passing = false
  let passWanted = false
  let lastPassAt: Milliseconds = Number.NEGATIVE_INFINITY
  let settling = false

  /** The group with what its owner said last, in a reply or by gossip. */
  function newest(group: ReachableGroup): ReachableGroup {
    const newer = fresh.get(group.group)
    if (!newer) return group
    if (newer.heard === group.free) return {...group, free: newer.free}
    fresh.delete(group.group)
    return group
  }

  function groupNamed(name: string): ReachableGroup | undefined {
    const group = ports.groups.named(name)
    return group && newest(group)
  }

  const index: GroupIndex<ReachableGroup> = {
    ofPool: ports.groups.ofPool,
    named: groupNamed,
    fleet: ports.groups.fleet,
  }

  function begin(ask: Ask, items: readonly WaitingTask[]): readonly Attempt[] {
    const since = clock.now()
    const {group, owner} = ask.group
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
        stopWanted: "none",
      })
      return attempt
    })
  }

  function noteAnswer(planned: Ask, answer: PlacedAttempt): void {
    const entry = tracker.get(answer.attempt)
    if (!entry) return
    const {attempt} = entry
    const {group} = planned.group
    log.info(
      {
        event: "placement-answer",
        jobGroup: ports.jobGroup,
        job: attempt.job,
        task: attempt.task,
        attempt: answer.attempt,
        group,
        result: answer.result,
        worker: answer.worker,
        reason: answer.reason,
        waited: Math.round(clock.now() - entry.since),
      },
      "an owner answered",
    )
    if (answer.result === "started") {
      tracker.update(answer.attempt, {phase: "running", worker: answer.worker, since: clock.now()})
      return
    }
    if (answer.result !== "refused") {
      tracker.update(answer.attempt, {phase: "in-doubt", worker: answer.worker})
      return
    }
    refusals.set(laneName(attemptItem(attempt, entry.since)), answer.reason)
    tracker.forget(answer.attempt)
    ports.onNeverStarted(attempt)
  }

  function attemptItem(attempt: Attempt, enqueuedAt: Milliseconds): WaitingTask {
    const {job, task, team, priority, pool, demand, restartable} = attempt
    return {key: taskName(job, task), job, task, team, priority, pool, demand, restartable, enqueuedAt}
  }

  function refuseAll(attempts: readonly Attempt[], planned: Ask, reason: string): void {
    for (const {attempt} of attempts) noteAnswer(planned, {attempt, result: "refused", worker: "", reason})
  }

  async function ask(planned: Ask, attempts: readonly Attempt[]): Promise<void> {
    const {group, owner} = planned.group
    const rank = planned.rank
    if (planned.mayWait) waitingAt.set(group, (waitingAt.get(group) ?? 0) + 1)
    const call = {
      group,
      owner,
      mode: "start" as const,
      attempts,
      wait: planned.mayWait ? WAIT_AT_OWNER_MS : SHORT_WAIT_MS,
      rank,
      waited: planned.waited,
      reservation: "",
    }
    const reply = await client.place(call)
    if (planned.mayWait) waitingAt.set(group, (waitingAt.get(group) ?? 1) - 1)
    if (closed) return
    if (reply.isErr()) {
      if (reply.error.certainty === "not-run") refuseAll(attempts, planned, reply.error.message)
      else for (const {attempt} of attempts) tracker.update(attempt, {phase: "in-doubt"})
      return
    }
    if (reply.value.refusal !== "") {
      refuseAll(attempts, planned, reply.value.refusal)
      return
    }
    const heard = ports.groups.named(group)?.free
    if (reply.value.free && heard) fresh.set(group, {free: reply.value.free, heard})
    for (const answer of reply.value.placements) noteAnswer(planned, answer)
    wake()
  }

  async function send(planned: Ask): Promise<void> {
    for (let from = 0; from < planned.items.length; from += BATCH) {
      const items = planned.items.slice(from, from + BATCH).filter(item => queue.get(item.key))
      const once = items.filter(item => !item.restartable)
      const attempts = begin(planned, items)
      if (once.length > 0 && !(await ports.recordMayStart(once))) {
        refuseAll(attempts, planned, "it cannot be recorded now that at-most-once work may start")
        continue
      }
      if (attempts.length > 0) void ask(planned, attempts)
    }
  }

  function pass(): void {
    passWanted = false
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
      waitingPlacementsAt: group => waitingAt.get(group) ?? 0,
      taskLimit: ASKS_AT_ONCE - asking,
    })
    blockers = plan.blockers
    for (const planned of plan.placements) void send(planned)
  }

  const SHORTEST_PASS_GAP_MS: Milliseconds = 5

  /** Runs a pass soon; passes that are wanted close together are run as one. */
  function wake(): void {
    if (passWanted || closed) return
    passWanted = true
    const gap = Math.max(0, lastPassAt + SHORTEST_PASS_GAP_MS - clock.now())
    clock.after(gap, () => {
      if (passing) return
      passing = true
      pass()
      passing = false
    })
  }

  function tick(): void {
    if (closed) return
    if (queue.size() > 0) wake()
    clock.after(PASS_INTERVAL_MS, tick)
  }

  function groupBy(entries: readonly TrackedAttempt[]): ReadonlyMap<string, readonly TrackedAttempt[]> {
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
    for (const [name, fate] of reply.value.fates) noteFate(name, fate, group.owner.epoch)
  }

  /** What an owner says of an attempt that it was asked to give up. */
  function noteFate(name: string, fate: string, ownerEpoch: number): void {
    const entry = tracker.get(name)
    if (!entry) return
    if (fate === "stopping") {
      tracker.update(name, {phase: "stopping"})
      return
    }
    if (fate === "ended") return
    const sameOwner = entry.ownerEpoch === ownerEpoch
    if (fate === "never-started" || sameOwner) {
      tracker.forget(name)
      ports.onNeverStarted(entry.attempt)
    }
  }

  function stop(entries: readonly TrackedAttempt[], checkpoint: boolean): void {
    for (const entry of entries)
      tracker.update(entry.attempt.attempt, {stopWanted: checkpoint ? "checkpoint" : "stop"})
    for (const [name, listed] of groupBy(entries)) {
      const group = groupNamed(name)
      if (group) void sendStop(group, listed, checkpoint)
    }
  }

  function isDoubtful(entry: TrackedAttempt, group: ReachableGroup): boolean {
    if (entry.phase === "in-doubt" || entry.ownerEpoch !== group.owner.epoch) return true
    const overdue = clock.now() > entry.since + DOUBT_AFTER_MS
    return overdue && (entry.phase === "asking" || entry.phase === "stopping")
  }

  async function settleGroup(group: ReachableGroup, doubtful: readonly TrackedAttempt[]): Promise<void> {
    const reply = await client.inventory(group.group, group.owner)
    if (reply.isErr() || reply.value.refusal !== "" || closed) return
    const running = new Map(reply.value.running.map(entry => [entry.attempt.attempt, entry.worker]))
    const ended = new Set(reply.value.ended.map(end => end.attempt))
    const missing: TrackedAttempt[] = []
    for (const entry of doubtful) {
      const name = entry.attempt.attempt
      if (tracker.get(name) !== entry || ended.has(name)) continue
      const worker = running.get(name)
      if (worker !== undefined) {
        tracker.update(name, {phase: "running", worker, ownerEpoch: group.owner.epoch, since: clock.now()})
        if (entry.stopWanted !== "none") stop([entry], entry.stopWanted === "checkpoint")
      } else if (reply.value.complete) missing.push(entry)
    }
    if (missing.length > 0) await giveUp(group, missing)
  }

  /** Bars attempts that the owner does not know, so that a late order cannot start them, and settles their fate. */
  async function giveUp(group: ReachableGroup, missing: readonly TrackedAttempt[]): Promise<void> {
    const names = missing.map(entry => entry.attempt.attempt)
    const reply = await client.abandon(group.group, group.owner, names, false)
    if (reply.isErr() || reply.value.refusal !== "" || closed) return
    for (const entry of missing) {
      const name = entry.attempt.attempt
      const fate = reply.value.fates.get(name)
      if (!tracker.get(name) || fate === undefined) continue
      const otherOwner = entry.ownerEpoch !== group.owner.epoch
      if (fate === "unknown" && otherOwner) {
        tracker.forget(name)
        ports.onFateLost(entry.attempt)
      } else noteFate(name, fate, group.owner.epoch)
    }
  }

  /** Asks again to end attempts that still run although that was asked for: the call may have been lost. */
  function repeatStops(group: ReachableGroup, entries: readonly TrackedAttempt[]): readonly Promise<void>[] {
    return (["stop", "checkpoint"] as const).flatMap(wanted => {
      const open = entries.filter(entry => entry.phase === "running" && entry.stopWanted === wanted)
      return open.length > 0 ? [sendStop(group, open, wanted === "checkpoint")] : []
    })
  }

  async function settle(): Promise<void> {
    if (settling || closed || !ports.mayAct()) return
    settling = true
    const work: Promise<void>[] = []
    for (const [name, entries] of groupBy([...tracker.all()])) {
      const group = groupNamed(name)
      if (!group) continue
      const doubtful = entries.filter(entry => isDoubtful(entry, group))
      if (doubtful.length > 0) work.push(settleGroup(group, doubtful))
      work.push(...repeatStops(group, entries))
    }
    await Promise.all(work)
    settling = false
  }

  function settleLoop(): void {
    if (closed) return
    void settle()
    clock.after(SETTLE_INTERVAL_MS, settleLoop)
  }

  tick()
  settleLoop()

  return {
    enqueue(item) {
      queue.add(item)
      wake()
    },
    withdraw: (job, task) => queue.remove(taskName(job, task)) !== undefined,
    tracker: () => tracker,
    queue: () => queue,
    wake,
    stop,
    settle,
    blockerOf: item => blockers.get(laneName(item)) ?? refusals.get(laneName(item)),
    close() {
      closed = true
    },
  }
}
