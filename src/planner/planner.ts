/**
 * The leader's work for one term: it stores jobs, starts their tasks on workers, takes in what ends, and tells
 * states. A planner is created when an instance wins the lead and closed when it loses it.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {FleetConfiguration, PipelineJob, Queue} from "../pipelines/model.js"
import type {FleetReader, KeyChange, KeyValueStore, StoredItem, WorkerCalls} from "../pipelines/ports.js"
import type {CancelAnswer, QueueLoad, StoreAnswer} from "../peer/fleet.js"
import type {Asker} from "./adviser.js"
import {createAdviser} from "./adviser.js"
import {createBarrier, unconfirmedLimit} from "./barrier.js"
import {watchPrefix} from "./prefixwatch.js"
import {createJobTable, INITIAL_PROGRESS} from "./jobtable.js"
import type {ShownState} from "./jobtable.js"
import {createLedger} from "./ledger.js"
import {paceWorker} from "./pacer.js"
import {isUsable} from "./candidates.js"
import {pauseBeforePass} from "./passpace.js"
import {createPlanningPass} from "./planningpass.js"
import {createStarter} from "./starting.js"
import {readStoredWork} from "./storedwork.js"
import {LEADER_KEY, parseKey, parseJob, STORE_PREFIX} from "./records.js"
import {createReportReader} from "./reports.js"
import type {ActiveJob, Assignment} from "./state.js"
import {release} from "./state.js"
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
  /** Undefined until the work has been read from the store. */
  readonly loads: () => readonly QueueLoad[] | undefined
  readonly planSoon: () => void
  readonly counts: () => Readonly<Record<string, number>>
  readonly close: () => void
}

const SWEEP_MS: Milliseconds = 200
/** Entries of workers are polled at this interval, well within the two seconds in which a drain must bind. */
const WORKER_POLL_MS: Milliseconds = 350
/** Work that other instances have stored by themselves is found within this time. */
const WORK_POLL_MS: Milliseconds = 1000

/** Creates the planner of one term. */
export function createPlanner(term: number, limits: PlannerLimits, ports: PlannerPorts): Planner {
  const {clock, log, store, reader, askers, configuration} = ports
  const startedAt = clock.now()
  let closed = false
  let passScheduled = false
  let loaded = false
  let passes = 0
  let passTook: Milliseconds = 0
  /** When the store last showed that this leader still leads. */
  let confirmedAt = startedAt

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
  const barrier = createBarrier(clock, log, limits.leaseLife, ports.allFollow)
  const adviser = createAdviser(clock, log, askers)
  const jobs = createJobTable(clock, log, ledger, findQueue, stopAll)

  function findQueue(name: string): Queue | undefined {
    return configuration()?.queues.find(queue => queue.name === name)
  }

  const events: WorkerLinkEvents = {
    async onReport(worker, report, sentAt) {
      const stored = reports.handleReport(worker, report, sentAt)
      paceWorker(worker, pool.linkOf(worker))
      await stored
    },
    onUnreachable: () => undefined,
    onReplaced(worker) {
      barrier.remove(worker)
      pool.replace(worker)
    },
    onSuperseded: superseded,
    onStartAnswer: (assignment, answer, mayHaveRun) => starter.takeAnswer(assignment, answer, mayHaveRun),
    onNotSent: assignment => starter.takeNotSent(assignment),
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
    leaseDuration: limits.leaseLife,
    linkOf: worker => pool.linkOf(worker),
    onChange: planSoon,
    workReadAt: () => confirmedAt,
    onFenced(worker) {
      barrier.remove(worker)
      log.info({event: "worker-fenced", worker: worker.listing.id, term}, "a worker follows this leader")
      planSoon()
    },
  })

  function drop(assignment: Assignment): void {
    release(assignment)
    jobs.dropIfFinished(assignment.run.owner)
    planSoon()
  }

  function stopAll(active: ActiveJob): void {
    for (const run of active.runs) {
      for (const assignment of run.assignments) pool.linkOf(assignment.worker)?.stop(assignment)
    }
  }

  const starter = createStarter({
    clock,
    log,
    adviser,
    linkOf: worker => pool.linkOf(worker),
    isClosed: () => closed,
    drop,
    onReplaced: events.onReplaced,
    onSuperseded: superseded,
    planSoon,
  })

  /** False when another instance may lead by now without this one having heard of it. */
  function mayAct(): boolean {
    const unconfirmed = clock.now() - Math.max(confirmedAt, ledger.lastConfirmedAt())
    return !closed && unconfirmed < unconfirmedLimit(ports.isFollowed())
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
    const begun = clock.now()
    planningPass.run(
      {
        now: clock.now(),
        wallClock: clock.wallClock(),
        active: [...jobs.active.values()],
        workers: [...pool.workers.values()],
        queueOf: active => jobs.queueOf(active.job),
        mayStartInherited: service => !barrier.blocks(service),
        awaitsListing: reports.isAwaitingReport,
        urgentPriority: urgentPriorities(),
        idleAskers: adviser.idle(),
      },
      starter,
    )
    passTook = clock.now() - begun
  }

  function planSoon(): void {
    if (passScheduled || closed) return
    passScheduled = true
    clock.after(pauseBeforePass(passTook), runPass)
  }

  function sweep(): void {
    if (closed) return
    pool.sweep()
    barrier.check()
    jobs.removeExpired()
    planSoon()
    clock.after(SWEEP_MS, sweep)
  }

  function addJob(job: PipelineJob, progress = INITIAL_PROGRESS, inherited = false): void {
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
    const stored = jobs.updateProgress(active, {type: "cancelled"})
    await (stored ?? ledger.writeProgress(job, active.progress))
    return active.progress.outcome === "cancelled" ? "cancelled" : "ended"
  }

  /** Takes in jobs and cancels that other instances have stored by themselves, and whether another one leads. */
  function takeWork(items: readonly Pick<KeyChange, "key" | "revision" | "value">[]): void {
    confirmedAt = clock.now()
    for (const {key, revision, value} of items) {
      if (key === LEADER_KEY && revision > term) superseded()
      const meaning = parseKey(key)
      if (!meaning || value === undefined) continue
      if (meaning.type === "job") {
        const job = parseJob(value)
        // A former leader may have heard of the job and started its tasks.
        if (job) addJob(job, INITIAL_PROGRESS, true)
      } else if (meaning.type === "cancel") void cancel(meaning.job)
    }
  }

  function loadWork(items: readonly StoredItem[]): void {
    const work = readStoredWork(items)
    for (const {job, revision, record} of work.progress.values()) {
      ledger.setProgressRevision(job, revision)
      if (record?.outcome) jobs.addEnded(job, record.outcome, record.writtenAt)
    }
    for (const job of work.jobs) {
      const record = work.progress.get(job.id)?.record
      if (!record?.outcome) addJob(job, record ?? INITIAL_PROGRESS, true)
    }
    ledger.setRosterRevision(work.rosterRevision)
    pool.addRecorded(work.roster)
    for (const job of work.cancelledJobs) void cancel(job)
  }

  async function load(): Promise<boolean> {
    const [work, listed] = await Promise.all([store.list(STORE_PREFIX), store.list(reader.workerPrefix)])
    if (work.isErr() || listed.isErr() || closed) return false
    loadWork(work.value.items)
    pool.onList(listed.value.items)
    for (const worker of pool.workers.values()) if (!worker.fenced) barrier.add(worker)
    loaded = true
    const stopped = (): boolean => closed
    void watchPrefix(
      store,
      reader.workerPrefix,
      {wait: WORKER_POLL_MS, pause: WORKER_POLL_MS},
      clock,
      {onList: pool.onList, onChanges: pool.onChanges},
      stopped,
    )
    void watchPrefix(
      store,
      STORE_PREFIX,
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

  function loads(): readonly QueueLoad[] | undefined {
    if (!loaded) return undefined
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
      starts: starter.starts(),
      passes,
      commits: ledger.commitCount(),
    }),
    close,
  }
}
