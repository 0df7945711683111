/**
 * The leader's work for one term: it stores jobs, starts their tasks on workers, takes in what ends, and tells
 * states. A planner is created when an instance wins the lead and closed when it loses it.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import {askDuration} from "../pipelines/asking.js"
import type {FleetConfiguration, PipelineJob, Queue} from "../pipelines/model.js"
import {nextPace} from "../pipelines/pacing.js"
import type {
  FleetReader,
  KeyChange,
  KeyValueStore,
  StartAnswer,
  StoredItem,
  WorkerCalls,
} from "../pipelines/ports.js"
import type {CancelAnswer, QueueLoad, StoreAnswer} from "../peer/fleet.js"
import type {Asker} from "./adviser.js"
import {createAdviser} from "./adviser.js"
import {followPrefix} from "./follow.js"
import {createJobTable, FRESH} from "./jobtable.js"
import type {ShownState} from "./jobtable.js"
import {createLedger} from "./ledger.js"
import {createPlanningPass, isUsable} from "./planningpass.js"
import {LEADER_KEY, meaningOf, parseJob, parseProgress, parseRoster, PREFIX, ROSTER_KEY} from "./records.js"
import {createReportReader} from "./reports.js"
import type {ActiveJob, Assignment, StepRun, WorkerState} from "./state.js"
import {assign, release} from "./state.js"
import {openWorkerLink} from "./workerlink.js"
import type {WorkerLinkEvents} from "./workerlink.js"
import {createWorkerPool} from "./workerpool.js"

export interface PlannerLimits {
  /** How long a lease of running tasks lasts from each renewal. */
  readonly leaseLife: Milliseconds
}

export interface PlannerPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly store: KeyValueStore
  readonly reader: FleetReader
  readonly workers: WorkerCalls
  /** Instances that can ask for advice, this one included. */
  readonly askers: () => readonly Asker[]
  readonly configuration: () => FleetConfiguration | undefined
  readonly isStoreFailing: () => boolean
  /** A follower has pinged this leader lately. */
  readonly isFollowed: () => boolean
  /** Every instance that followed the former leader follows this one. */
  readonly allFollow: () => boolean
  readonly onSuperseded: () => void
}

export interface Planner {
  readonly term: number
  /** Reads jobs and workers from the store and begins. False when the store did not answer. */
  readonly load: () => Promise<boolean>
  /** With `alreadyStored` the job is in the store and only has to be planned. */
  readonly storeJob: (record: string, alreadyStored: boolean) => Promise<StoreAnswer>
  readonly stateOf: (job: string) => ShownState | undefined
  readonly cancel: (job: string) => Promise<CancelAnswer>
  readonly loads: () => readonly QueueLoad[]
  readonly planSoon: () => void
  readonly counts: () => Readonly<Record<string, number>>
  readonly close: () => void
}

/** Changes gather for this long before a pass, so that a burst of events costs one pass. */
const PASS_DELAY_MS: Milliseconds = 3
const SWEEP_MS: Milliseconds = 200
/** Entries of workers are polled at this interval, well within the two seconds in which a drain must bind. */
const WORKER_POLL_MS: Milliseconds = 350
/** Work that other instances have stored by themselves is found within this time. */
const WORK_POLL_MS: Milliseconds = 1000
/** After this span without an answer of the store, this leader no longer extends leases or starts tasks. */
const UNCONFIRMED_LIMIT_MS: Milliseconds = 15_000
/** The same for a leader that no follower pings either: another one may lead by now. */
const ISOLATED_LIMIT_MS: Milliseconds = 1500
/** Covers clocks of workers that run 2% slow, and the way of an order. */
const CLOCK_MARGIN = 1.1
/** A worker that refused for want of room or health is left alone for this span. */
const AVOID_MS: Milliseconds = 400
/** A step is not tried again before this span after a refusal that says nothing about when to. */
const STEP_RETRY_MS: Milliseconds = 150
export function createPlanner(term: number, limits: PlannerLimits, ports: PlannerPorts): Planner {
  const {clock, log, store, reader, askers, configuration} = ports
  const startedAt = clock.now()
  let closed = false
  let passScheduled = false
  let loaded = false
  let starts = 0
  let passes = 0
  /** When the store last showed that this leader still leads. */
  let confirmedAt = startedAt
  let followedSince: Milliseconds | undefined
  /** Workers of which an earlier leader's runs are not known yet. */
  const unfenced = new Set<WorkerState>()

  const superseded = (): void => {
    if (closed) return
    close()
    ports.onSuperseded()
  }
  const ledger = createLedger({
    store,
    term,
    clock,
    log,
    isStoreFailing: ports.isStoreFailing,
    onSuperseded: superseded,
  })
  const planningPass = createPlanningPass()
  const adviser = createAdviser(clock, log, askers)
  const jobs = createJobTable(clock, log, ledger, findQueue, stopAll)

  function findQueue(name: string): Queue | undefined {
    return configuration()?.queues.find(queue => queue.name === name)
  }

  const events: WorkerLinkEvents = {
    async onReport(worker, report, sentAt) {
      const stored = reports.take(worker, report, sentAt)
      pace(worker)
      await stored
    },
    onUnreachable: () => undefined,
    onReplaced(worker) {
      unfenced.delete(worker)
      pool.replace(worker)
    },
    onSuperseded: superseded,
    onStartAnswer: takeStartAnswer,
    onNotSent(assignment) {
      assignment.worker.avoidUntil = clock.now() + AVOID_MS
      drop(assignment)
    },
  }

  const pool = createWorkerPool({
    clock,
    log,
    ledger,
    reader,
    onChange: planSoon,
    open: worker =>
      openWorkerLink(worker, {
        term,
        clock,
        log,
        calls: ports.workers,
        leaseLife: limits.leaseLife,
        mayAct,
        events,
      }),
  })

  const reports = createReportReader({
    clock,
    log,
    jobs,
    leaseLife: limits.leaseLife,
    linkOf: worker => pool.linkOf(worker),
    onChange: planSoon,
    onFenced(worker) {
      unfenced.delete(worker)
      log.info({event: "worker-fenced", worker: worker.listing.id, term}, "a worker follows this leader")
      planSoon()
    },
  })

  function drop(assignment: Assignment): void {
    release(assignment)
    jobs.dropIfOver(assignment.run.owner)
    planSoon()
  }

  function stopAll(active: ActiveJob): void {
    for (const run of active.runs) {
      for (const assignment of run.assignments) pool.linkOf(assignment.worker)?.stop(assignment)
    }
  }

  /** Gives up what has started of a gang, so that it can start again as a whole. */
  function stopGang(run: StepRun): void {
    run.retryAt = clock.now() + STEP_RETRY_MS
    for (const assignment of run.assignments) pool.linkOf(assignment.worker)?.stop(assignment)
  }

  function takeStartAnswer(assignment: Assignment, answer: StartAnswer): void {
    const {run, worker} = assignment
    if (answer.type === "started") {
      if (assignment.phase === "starting") assignment.phase = "running"
      assignment.confirmedAt ??= clock.now()
      run.owner.started = true
      return
    }
    if (answer.type === "replaced") {
      events.onReplaced(worker)
      return
    }
    const {id} = worker.listing
    log.info(
      {
        event: "start-refused",
        task: assignment.task,
        attempt: assignment.attempt,
        worker: id,
        reason: answer.reason,
      },
      "a worker refused a start",
    )
    if (answer.reason === "superseded") {
      superseded()
      return
    }
    if (answer.reason === "old" && assignment.confirmedAt === undefined) {
      // An earlier try of this order may have run and ended: the next report tells.
      assignment.stopConfirmedAt ??= clock.now()
      assignment.phase = "stopping"
      return
    }
    if (answer.reason === "ticket") run.tickets.delete(id)
    else if (answer.reason === "malformed") run.retryAt = clock.now() + STEP_RETRY_MS
    else worker.avoidUntil = clock.now() + AVOID_MS
    drop(assignment)
    if (run.step.gang) stopGang(run)
  }

  function startTasks(run: StepRun, chosen: readonly WorkerState[]): void {
    const indexes = [...run.waiting].slice(0, chosen.length)
    const gangAttempt = (run.attempts.get(0) ?? 0) + 1
    chosen.forEach((worker, position) => {
      const index = indexes[position]
      const link = pool.linkOf(worker)
      if (index === undefined || !link) return
      const attempt = run.step.gang ? gangAttempt : (run.attempts.get(index) ?? 0) + 1
      const assignment = assign(run, index, attempt, worker, clock.now())
      const ticket = run.tickets.get(worker.listing.id)?.ticket ?? ""
      const checkpoint = run.checkpoints.get(run.step.gang ? 0 : index) ?? ""
      starts += 1
      log.info(
        {
          event: "start",
          task: assignment.task,
          attempt,
          worker: worker.listing.id,
          queue: run.owner.job.queue.name,
        },
        "a task is started",
      )
      link.start(assignment, run.owner.job.payload, ticket, checkpoint)
    })
  }

  function askFor(run: StepRun, queue: Queue, ids: readonly string[]): void {
    const terms = queue.advice
    if (!terms) return
    run.asking = true
    const begun = clock.now()
    adviser.ask({
      step: run.name,
      workers: ids,
      priority: queue.priority,
      duration: askDuration(terms, ids.length),
      isWanted: () => !closed && run.waiting.size > 0 && run.owner.progress.outcome === undefined,
      onAnswer(permits) {
        run.asking = false
        const took = Math.round(clock.now() - begun)
        log.info(
          {
            event: "advice",
            step: run.name,
            queue: queue.name,
            asked: ids.length,
            allowed: permits?.length,
            took,
          },
          "advice was asked",
        )
        if (permits) {
          const expires = clock.now() + terms.ticketLife
          const allowed = new Map(permits.map(permit => [permit.worker, permit.ticket]))
          for (const id of ids) run.verdicts.set(id, allowed.has(id))
          for (const [id, ticket] of allowed) run.tickets.set(id, {ticket, expires})
        }
        planSoon()
      },
    })
  }

  /** Slows tasks that fill when a task that serves on the same worker nears its limit. */
  function pace(worker: WorkerState): void {
    let worst = 0
    let serves = false
    for (const {run, gauge, percent} of worker.assignments.values()) {
      if (run.step.tailLimit === 0 || percent < 100) continue
      serves = true
      worst = Math.max(worst, gauge / run.step.tailLimit)
    }
    for (const assignment of worker.assignments.values()) {
      if (!assignment.run.step.fills || assignment.phase !== "running") continue
      const next = serves ? nextPace(assignment.pace, worst) : 100
      if (next === assignment.pace) continue
      assignment.pace = next
      pool.linkOf(worker)?.pace(assignment, next)
    }
  }

  function mayStartInherited(service: string): boolean {
    for (const worker of unfenced) if (worker.listing.service === service) return false
    return true
  }

  /** False when another instance may lead by now without this one having heard of it. */
  function mayAct(): boolean {
    const unconfirmed = clock.now() - Math.max(confirmedAt, ledger.confirmedAt())
    return !closed && unconfirmed < (ports.isFollowed() ? UNCONFIRMED_LIMIT_MS : ISOLATED_LIMIT_MS)
  }

  /**
   * Workers that this leader cannot reach may run what a former leader gave them, until the leases have passed that
   * it may still have extended. Once all others follow this leader, the former one stops early.
   */
  function passBarrier(): void {
    const now = clock.now()
    if (ports.allFollow()) followedSince ??= now
    const lease = limits.leaseLife * CLOCK_MARGIN
    const over =
      (followedSince !== undefined && now - followedSince > ISOLATED_LIMIT_MS + lease) ||
      now - startedAt > UNCONFIRMED_LIMIT_MS + lease
    if (!over || unfenced.size === 0) return
    log.warn(
      {event: "barrier-passed", workers: unfenced.size},
      "the leases on workers out of reach have passed",
    )
    unfenced.clear()
    planSoon()
  }

  function urgentPriorities(): ReadonlyMap<string, number> {
    const urgent = new Map<string, number>()
    for (const {service, priority} of configuration()?.queues ?? [])
      urgent.set(service, Math.min(priority, urgent.get(service) ?? priority))
    return urgent
  }

  function runPass(): void {
    passScheduled = false
    if (closed || !loaded) return
    passes += 1
    planningPass.run(
      {
        now: clock.now(),
        wallClock: clock.wallClock(),
        active: jobs.active.values(),
        workers: pool.workers.values(),
        queueOf: active => jobs.queueOf(active.job),
        mayStartInherited,
        urgentPriority: urgentPriorities(),
        idleAskers: adviser.idle(),
      },
      {start: startTasks, ask: askFor},
    )
  }

  function planSoon(): void {
    if (passScheduled || closed) return
    passScheduled = true
    clock.after(PASS_DELAY_MS, runPass)
  }

  function sweep(): void {
    if (closed) return
    pool.sweep()
    passBarrier()
    jobs.forgetOld()
    planSoon()
    clock.after(SWEEP_MS, sweep)
  }

  function addJob(job: PipelineJob, progress = FRESH, inherited = false): void {
    const added = jobs.add(job, progress, inherited)
    if (!added) return
    log.info(
      {event: "job-known", job: job.id, queue: job.queue.name, inherited},
      "a job is planned from now on",
    )
    planSoon()
  }

  async function cancel(job: string): Promise<CancelAnswer> {
    const active = jobs.active.get(job)
    if (!active || jobs.stateOf(job) === undefined) return jobs.stateOf(job) ? "ended" : "unknown-job"
    const stored = jobs.change(active, {type: "cancelled"})
    await (stored ?? ledger.note(job, active.progress))
    return active.progress.outcome === "cancelled" ? "cancelled" : "ended"
  }

  /** Takes in jobs and cancels that other instances have stored by themselves, and whether another one leads. */
  function takeWork(items: readonly Pick<KeyChange, "key" | "revision" | "value">[]): void {
    confirmedAt = clock.now()
    for (const {key, revision, value} of items) {
      if (key === LEADER_KEY && revision > term) superseded()
      const meaning = meaningOf(key)
      if (!meaning || value === undefined) continue
      if (meaning.type === "job") {
        const job = parseJob(value)
        if (job) addJob(job)
      } else if (meaning.type === "cancel") void cancel(meaning.job)
    }
  }

  function loadWork(items: readonly StoredItem[]): void {
    const progress = new Map<string, StoredItem>()
    for (const item of items) {
      const meaning = meaningOf(item.key)
      if (meaning?.type === "progress") progress.set(meaning.job, item)
    }
    for (const [job, item] of progress) {
      ledger.learn(job, item.revision)
      const record = parseProgress(item.value)
      if (record?.outcome) jobs.addEnded(job, record.outcome, record.writtenAt)
    }
    for (const item of items) {
      const meaning = meaningOf(item.key)
      const job = meaning?.type === "job" ? parseJob(item.value) : undefined
      if (!job) continue
      const stored = progress.get(job.id)
      const record = stored && parseProgress(stored.value)
      if (!record?.outcome) addJob(job, record ?? FRESH, true)
    }
    const roster = items.find(item => item.key === ROSTER_KEY)
    ledger.learnRoster(roster?.revision ?? 0)
    if (roster) pool.addRecorded(parseRoster(roster.value))
    takeWork(items.filter(item => meaningOf(item.key)?.type === "cancel"))
  }

  async function load(): Promise<boolean> {
    const [work, listed] = await Promise.all([store.list(PREFIX), store.list(reader.workerPrefix)])
    if (work.isErr() || listed.isErr() || closed) return false
    loadWork(work.value.items)
    pool.onList(listed.value.items)
    for (const worker of pool.workers.values()) if (!worker.fenced) unfenced.add(worker)
    loaded = true
    const stopped = (): boolean => closed
    void followPrefix(
      store,
      reader.workerPrefix,
      {wait: WORKER_POLL_MS, pause: WORKER_POLL_MS},
      clock,
      {onList: pool.onList, onChanges: pool.onChanges},
      stopped,
    )
    void followPrefix(
      store,
      PREFIX,
      {wait: WORK_POLL_MS, pause: WORK_POLL_MS},
      clock,
      {onList: takeWork, onChanges: (changes: readonly KeyChange[]) => takeWork(changes)},
      stopped,
    )
    sweep()
    log.info(
      {event: "planning", term, jobs: jobs.active.size, workers: pool.workers.size},
      "this instance plans",
    )
    return true
  }

  function loads(): readonly QueueLoad[] {
    const pending = new Map<string, number>()
    for (const {job, started} of jobs.active.values()) {
      if (!started && job.firstDue === 0) pending.set(job.queue.name, (pending.get(job.queue.name) ?? 0) + 1)
    }
    return [...pending].map(([queue, count]) => ({queue, pending: count, retryAfterMs: 0}))
  }

  function close(): void {
    closed = true
    pool.close()
    ledger.close()
  }

  return {
    term,
    load,
    async storeJob(record, alreadyStored) {
      const job = parseJob(record)
      if (!job) return "not-stored"
      if (alreadyStored) {
        if (!closed) addJob(job)
        return "stored"
      }
      if (jobs.stateOf(job.id) !== undefined) return "stored"
      const outcome = await ledger.storeJob(job)
      if (outcome === "stored" && !closed) addJob(job)
      // A job that exists is on the table already, or is found with the other work in the store.
      return outcome === "exists" ? "stored" : outcome
    },
    stateOf: job => jobs.stateOf(job),
    cancel,
    loads,
    planSoon,
    counts: () => ({
      active: jobs.active.size,
      workers: pool.workers.size,
      usable: [...pool.workers.values()].filter(worker => isUsable(worker, clock.now())).length,
      starts,
      passes,
      commits: ledger.commits(),
    }),
    close,
  }
}
