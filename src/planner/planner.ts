/**
 * The scheduler of the leader, for one term. It stores jobs, starts their tasks on workers, processes the ends of runs
 * and answers queries for the state of jobs. An instance creates a planner when it becomes leader, and closes it when it
 * loses leadership.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {withTimeout} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import {isForeign, maySee, ownerOf} from "../pipelines/callers.js"
import type {Caller} from "../pipelines/callers.js"
import type {FleetConfiguration, PipelineJob, Queue} from "../pipelines/model.js"
import type {FleetReader, KeyChange, KeyValueStore, StoredItem, WorkerCalls} from "../pipelines/ports.js"
import {FOREIGN_STATE} from "../peer/fleet.js"
import type {CancelAnswer, CountedLoads, Member, StoreAnswer} from "../peer/fleet.js"
import type {OpenChannel} from "../relay/channel.js"
import {createRelayDispatcher} from "../relay/dispatcher.js"
import {createAcceptedMemory} from "./acceptedmemory.js"
import type {AdviceRequester} from "./advicedispatcher.js"
import {createAdviceDispatcher} from "./advicedispatcher.js"
import {createBarrier} from "./barrier.js"
import {createConfirmation} from "./confirmation.js"
import type {LeaderDuty} from "../pipelines/succession.js"
import {watchPrefix} from "./prefixwatch.js"
import {createJobTable, INITIAL_PROGRESS} from "./jobtable.js"
import type {ShownState} from "./jobtable.js"
import {isSlow} from "../pipelines/workerspeeds.js"
import {findEarlierLeaders} from "./earlierleaders.js"
import {createLeaderLoad} from "./leaderload.js"
import {createLeaderSupport} from "./leadersupport.js"
import type {LeaderBacklog} from "./leaderload.js"
import {createExpectedEnds} from "./expectedends.js"
import {createHeartbeat} from "./heartbeat.js"
import {createHoldLog} from "./holdlog.js"
import {createLedger} from "./ledger.js"
import {throttleWorker} from "./throttle.js"
import {isUsable} from "./candidates.js"
import {INITIAL_WORK_LIMIT, nextWorkLimit} from "./passbudget.js"
import {pauseBeforePass} from "./passinterval.js"
import {createLearnedRuns} from "./learnedruns.js"
import {createNearWaits} from "./nearwaits.js"
import {createPlanningPass} from "./planningpass.js"
import {createShareLog} from "./sharelog.js"
import {createStarter} from "./starting.js"
import {createQueueServices} from "./queueservices.js"
import {readStoredWork} from "./storedwork.js"
import {
  formatTerm,
  HEARTBEAT_KEY,
  jobKey,
  LEADER_KEY,
  parseKey,
  parseJob,
  parseProgress,
  progressKey,
  rosterKey,
  STORE_PREFIX,
  TERM_KEY,
} from "./records.js"
import {createReportReader} from "./reports.js"
import type {WorkRead} from "./reports.js"
import type {ActiveJob, Assignment, WorkerState} from "./state.js"
import {openDueOccurrences, release} from "./state.js"
import {openWorkerLink} from "./workerlink.js"
import type {WorkerLinkEvents} from "./workerlink.js"
import {createWorkerPool} from "./workerpool.js"
import type {RemainingRuns} from "./workspaceuse.js"
import {createWorkspaceAccounts} from "./workspaceaccounts.js"

export interface PlannerLimits {
  /** How long the lease of a worker's tasks lasts from each renewal. */
  readonly leaseDuration: Milliseconds
  /** How many times as long a task takes on another rack than its data, or than the other tasks of its step. */
  readonly remoteFactor: number
}

export interface PlannerPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly store: KeyValueStore
  readonly reader: FleetReader
  readonly workers: WorkerCalls
  readonly openChannel: OpenChannel
  /** Other instances that are up, which can carry calls to workers. */
  readonly otherMembers: () => readonly Member[]
  /** Instances that can call the advice service, including this one. */
  readonly adviceRequesters: () => readonly AdviceRequester[]
  readonly configuration: () => FleetConfiguration | undefined
  readonly isStoreFailing: () => boolean
  /** The name of this instance. */
  readonly self: string
  /** When the call was sent that the store answered with this instance as the leader. */
  readonly confirmedAt: Milliseconds
  /** When this instance first knew of a term later than the given one, as far as it remembers. */
  readonly knewLaterTermAt: (term: number) => Milliseconds | undefined
  /** Called once when another instance leads a later term. */
  readonly onSuperseded: () => void
}

export interface Planner {
  readonly term: number
  /** Reads jobs and workers from the store and starts planning. False when the store did not answer. */
  readonly load: () => Promise<boolean>
  /** How long this leader has not come further in reading its work from the store; 0 once it has read all. */
  readonly loadingFor: () => Milliseconds
  /** With `alreadyStored`, the job is in the store and only has to be added to the planned jobs. */
  readonly storeJob: (record: string, alreadyStored: boolean) => Promise<StoreAnswer>
  /** Undefined for an unknown job. Without a caller, nobody's access is checked. */
  readonly stateOf: (job: string, caller?: Caller) => ShownState | typeof FOREIGN_STATE | undefined
  /** With `alreadyStored`, the cancellation is in the store and only has to be applied. */
  readonly cancel: (job: string, alreadyStored: boolean, caller?: Caller) => Promise<CancelAnswer>
  /** The number of jobs not yet started, by queue. Undefined until jobs have been read from the store. */
  readonly loads: () => CountedLoads | undefined
  /** Records a ping that names this term. `answeredAt` is the time of the latest answer that the follower had, or 0. */
  readonly recordFollower: (name: string, answeredAt: Milliseconds) => void
  /** How busy this leader is, for the decision whether it hands over. */
  readonly duty: () => LeaderDuty
  readonly schedulePass: () => void
  readonly counts: () => Readonly<Record<string, number>>
  readonly close: () => void
}

const SWEEP_MS: Milliseconds = 200
/** Poll interval of the worker entries, well within the two seconds in which a drain must take effect. */
const WORKER_POLL_MS: Milliseconds = 350
/** How long a leader whose term a worker refuses waits for the store; a slow but working store answers within 0.35 s. */
const TERM_CHECK_TIMEOUT_MS: Milliseconds = 400
/** Poll interval of jobs and cancellations that other instances have stored directly. */
const WORK_POLL_MS: Milliseconds = 1000

/** Creates the planner of one term. */
export function createPlanner(term: number, limits: PlannerLimits, ports: PlannerPorts): Planner {
  const {clock, log, store, reader, adviceRequesters, configuration} = ports
  const startedAt = clock.now()
  /** The most items of stored work that an attempt to read it has come to, and when. */
  let loaded = {items: 0, at: startedAt}
  let isClosed = false
  let isPassScheduled = false
  let isLoaded = false
  let loadedAt = Infinity
  let passes = 0
  let lastPassDuration: Milliseconds = 0
  let workLimit = INITIAL_WORK_LIMIT
  let openSteps = 0
  let heldSteps = 0
  let workRead: WorkRead = {sentAt: startedAt, answeredAt: startedAt}
  /** Jobs whose records are being written, each with the answer to its submission. */
  const jobsBeingStored = new Map<string, Promise<StoreAnswer>>()
  /** Workers that have refused this term, while the store is asked whether there is a later one. */
  const refusingWorkers = new Set<WorkerState>()
  /** Jobs with a stored cancellation that are not known yet. */
  const earlyCancellations = new Set<string>()

  const handleSuperseded = (): void => {
    if (isClosed) return
    close()
    ports.onSuperseded()
  }
  const ledger = createLedger({
    store,
    term,
    clock,
    log,
    isStoreFailing: ports.isStoreFailing,
    onSuperseded: handleSuperseded,
  })
  const confirmation = createConfirmation({
    clock,
    store,
    term,
    confirmedAt: ports.confirmedAt,
    committedAt: ledger.lastConfirmedAt,
    isClosed: () => isClosed,
    onConfirmed: releaseExpired,
    onSuperseded: handleSuperseded,
  })
  const heartbeat = createHeartbeat(clock, ledger, term)
  const leaderLoad = createLeaderLoad(clock, log, term)
  const learnedRuns = createLearnedRuns(clock, log, limits.remoteFactor)
  const expectedEnds = createExpectedEnds(clock, learnedRuns)
  const nearWaits = createNearWaits(clock, log, limits.remoteFactor, learnedRuns, expectedEnds)
  const planningPass = createPlanningPass(clock, nearWaits, expectedEnds)
  const support = createLeaderSupport(clock, log, confirmation)
  const barrier = createBarrier({
    clock,
    log,
    leaseDuration: limits.leaseDuration,
    confirmation,
    hasJoined: name => name === ports.self || support.hasJoined(name),
    hasAnswered: support.hasAnswered,
    knewLaterTermAt: ports.knewLaterTermAt,
    onChange: writeTerm,
  })
  const queueServices = createQueueServices()
  const adviceDispatcher = createAdviceDispatcher(clock, log, adviceRequesters)
  const jobs = createJobTable(clock, log, ledger, findQueue, handleOutcome)
  const acceptedMemory = createAcceptedMemory(log, jobs, () => configuration()?.workspaces ?? [])
  const holdLog = createHoldLog(clock, log)
  const shareLog = createShareLog(clock, log)

  function findQueue(name: string): Queue | undefined {
    return configuration()?.queues.find(queue => queue.name === name)
  }

  const events: WorkerLinkEvents = {
    async onReport(worker, report, sentAt) {
      support.recordWorker(worker, report.bornAt, sentAt)
      const stored = reports.handleReport(worker, report, sentAt)
      throttleWorker(worker, pool.linkOf(worker))
      await stored
    },
    onUnreachable: () => undefined,
    onReplaced(worker) {
      barrier.remove(worker)
      pool.removeReplaced(worker)
    },
    onTermRefused: worker => void handleTermRefused(worker),
    onStartAnswer: (assignment, answer, mayHaveRun) => starter.handleAnswer(assignment, answer, mayHaveRun),
    onNotSent: assignment => starter.handleNotSent(assignment),
  }

  /** The number of worker entries when the term began. */
  let initialEntries = 0
  const relays = createRelayDispatcher({
    clock,
    log,
    term,
    direct: ports.workers,
    open: ports.openChannel,
    candidates: ports.otherMembers,
    countWorkers: () => Math.max(pool.workers.size, initialEntries),
  })

  const pool = createWorkerPool({
    clock,
    log,
    ledger,
    reader,
    onChange: schedulePass,
    onForgotten: relays.forget,
    mayRunInherited: barrier.has,
    onLapsed: barrier.remove,
    confirmation,
    isServiceUsed,
    open: worker =>
      openWorkerLink(worker, {
        term,
        clock,
        log,
        calls: relays.calls,
        leaseDuration: limits.leaseDuration,
        mayAct,
        events,
      }),
  })

  const reports = createReportReader({
    clock,
    log,
    jobs,
    leaseDuration: limits.leaseDuration,
    confirmation,
    linkOf: worker => pool.linkOf(worker),
    onChange: schedulePass,
    workRead: () => workRead,
    onReported: barrier.remove,
    onDone: learnedRuns.recordDone,
    onFenced(worker) {
      log.info(
        {event: "worker-fenced", worker: worker.listing.id, term},
        "worker has answered this leader and refuses earlier ones",
      )
      schedulePass()
    },
  })

  /** A job may outlast its queue and the service that it was accepted for. */
  function isServiceUsed(name: string): boolean {
    const {services = [], queues = []} = configuration() ?? {}
    if (services.some(service => service.name === name)) return true
    if (queues.some(({service}) => service === name)) return true
    return [...jobs.active.values()].some(({job}) => queueServices.listUsed(job).includes(name))
  }

  /** Jobs of other queues cannot be accepted any more. */
  function isQueueKept(name: string): boolean {
    if (!configuration() || findQueue(name)) return true
    return [...jobs.active.values()].some(({job}) => job.queue.name === name)
  }

  /** Records who supports this leader, and leaves out earlier leaders that have stopped. */
  function writeTerm(): void {
    const record = {
      term,
      earlierLeaders: barrier.earlierLeaders(),
      ...support.beginRecording(),
      usedServices: queueServices.beginRecording(isQueueKept),
    }
    ledger.writeRecord(TERM_KEY, formatTerm(record), () => {
      support.confirmRecording()
      queueServices.confirmRecording()
      schedulePass()
    })
  }

  function releaseAssignment(assignment: Assignment): void {
    release(assignment)
    jobs.dropIfFinished(assignment.run.owner)
    schedulePass()
  }

  /** Stops all runs of a job that has ended. Returns what they occupy until then. */
  function handleOutcome(active: ActiveJob): RemainingRuns | undefined {
    for (const run of active.stepRuns) {
      for (const assignment of run.assignments) pool.linkOf(assignment.worker)?.stop(assignment)
    }
    return workspaces.recordOutcome(active)
  }

  const workspaces = createWorkspaceAccounts({
    configuration,
    activeJobs: () => jobs.active.values(),
    workers: () => pool.workers.values(),
    mayRunInherited: barrier.has,
    haveAllListed: () => barrier.countWorkers() === 0,
    isServiceBlocked: barrier.blocks,
    listUsedServices: queueServices.listUsed,
    awaitsListing: reports.isAwaitingReport,
  })

  const starter = createStarter({
    term,
    clock,
    log,
    adviceDispatcher,
    linkOf: worker => pool.linkOf(worker),
    isClosed: () => isClosed,
    releaseAssignment,
    onReplaced: events.onReplaced,
    onTermRefused: events.onTermRefused,
    schedulePass,
  })

  function mayAct(): boolean {
    return !isClosed && refusingWorkers.size === 0 && support.mayAct()
  }

  /**
   * A worker refuses this term if it knows a later leader, or if another system gives it orders. The store tells which:
   * while this instance leads, no leader of this system can have had a higher term.
   */
  async function handleTermRefused(worker: WorkerState): Promise<void> {
    const isChecking = refusingWorkers.size > 0
    refusingWorkers.add(worker)
    if (isChecking) return
    const read = await withTimeout(clock, store.read(LEADER_KEY), TERM_CHECK_TIMEOUT_MS, undefined)
    if (isClosed) return
    if (!read?.isOk() || read.value?.revision !== term) {
      handleSuperseded()
      return
    }
    for (const refusing of refusingWorkers) pool.exclude(refusing)
    refusingWorkers.clear()
    schedulePass()
  }

  /** Lets tasks start elsewhere whose leases have expired. */
  function releaseExpired(): void {
    pool.sweep()
    barrier.check()
    schedulePass()
  }

  /** True if no run of the job can be unknown here, and a later leader would find one at the service. */
  function mayStart({job, isInherited}: ActiveJob, service: string): boolean {
    if (!queueServices.mayUse(job, service)) return false
    return !isInherited || ![service, ...queueServices.listUsed(job)].some(barrier.blocks)
  }

  /** Priority of the most urgent queue, by service. */
  function listUrgentPriorities(): ReadonlyMap<string, number> {
    const urgent = new Map<string, number>()
    for (const {service, priority} of configuration()?.queues ?? [])
      urgent.set(service, Math.min(priority, urgent.get(service) ?? priority))
    return urgent
  }

  function runPass(): void {
    isPassScheduled = false
    if (isClosed || !isLoaded || refusingWorkers.size > 0) return
    passes += 1
    for (const active of jobs.active.values()) openDueOccurrences(active, clock.wallClock())
    const passStartedAt = clock.now()
    const workspaceUses = workspaces.update()
    const result = planningPass.run(
      {
        now: clock.now(),
        wallClock: clock.wallClock(),
        activeJobs: [...jobs.active.values()],
        workers: [...pool.workers.values()],
        queueOf: active => jobs.queueOf(active.job),
        mayStart,
        awaitsListing: reports.isAwaitingReport,
        urgentPriorities: listUrgentPriorities(),
        idleRequesters: adviceDispatcher.countIdle(),
        workspaceUses,
        workLimit,
      },
      starter,
    )
    if (queueServices.needsRecording()) writeTerm()
    holdLog.record(result.heldSteps, workspaceUses)
    shareLog.record(result.exceededShares)
    openSteps = result.openSteps
    heldSteps = result.heldSteps.length
    lastPassDuration = clock.now() - passStartedAt
    const {preparation, work, workDuration} = result
    workLimit = preparation + nextWorkLimit(workLimit - preparation, work, workDuration)
    leaderLoad.recordPass(lastPassDuration)
    if (!result.isComplete) schedulePass()
  }

  function schedulePass(): void {
    if (isPassScheduled || isClosed) return
    isPassScheduled = true
    clock.after(pauseBeforePass(lastPassDuration), runPass)
  }

  function describeBacklog(): LeaderBacklog {
    return {
      openSteps,
      activeJobs: jobs.active.size,
      unfencedWorkers: barrier.countWorkers(),
      unreachableWorkers: [...pool.workers.values()].filter(({isReachable}) => !isReachable).length,
    }
  }

  function sweep(dueAt: Milliseconds): void {
    if (isClosed) return
    leaderLoad.recordTimerDelay(clock.now() - dueAt)
    relays.check()
    pool.addOfUsedServices()
    leaderLoad.summarize(describeBacklog)
    releaseExpired()
    heartbeat.beat()
    if (support.needsRecording()) writeTerm()
    support.check()
    jobs.removeExpired()
    const next = clock.now() + SWEEP_MS
    clock.after(SWEEP_MS, () => sweep(next))
  }

  function addJob(job: PipelineJob, progress = INITIAL_PROGRESS, inherited = false): void {
    const added = jobs.add(job, progress, inherited)
    if (!added) return
    log.info(
      {event: "job-known", job: job.id, queue: job.queue.name, inherited},
      "job added to the planned jobs",
    )
    if (earlyCancellations.delete(job.id)) void cancel(job.id, true)
    schedulePass()
  }

  function mayAccess(job: string, caller: Caller | undefined): boolean {
    return caller === undefined || maySee(jobs.ownerOf(job), caller)
  }

  async function cancel(job: string, alreadyStored: boolean, caller?: Caller): Promise<CancelAnswer> {
    // A caller may cancel a job without having waited until it is stored.
    const storing = jobsBeingStored.get(job)
    if (storing && !alreadyStored) await storing
    if (jobs.stateOf(job) === undefined) {
      if (!alreadyStored) return "unknown-job"
      // A complete list of the store has cancellations before jobs.
      earlyCancellations.add(job)
      return "cancelled"
    }
    if (!mayAccess(job, caller)) return "foreign"
    const active = jobs.active.get(job)
    if (!active) return "ended"
    const stored = jobs.updateProgress(active, {type: "cancelled"})
    if (!alreadyStored) await stored
    return active.progress.outcome === "cancelled" ? "cancelled" : "ended"
  }

  /** A job that this leader does not know has progress only if an instance has withdrawn it. */
  function applyWithdrawal(job: string, text: string): void {
    if (jobs.has(job) || !parseProgress(text)?.withdrawn) return
    log.info({event: "job-withdrawn", job}, "a job was cancelled before it was stored and will not be stored")
    jobs.addWithdrawn(job, clock.wallClock())
  }

  /** Applies jobs and cancellations that other instances have stored directly, and detects a later leader. */
  function applyStoredWork(
    items: readonly Pick<KeyChange, "key" | "revision" | "value">[],
    sentAt: Milliseconds,
  ): void {
    workRead = {sentAt, answeredAt: clock.now()}
    for (const {key, revision, value} of items) {
      if (key === LEADER_KEY && revision > term) handleSuperseded()
      const meaning = parseKey(key)
      if (meaning?.type === "cancel" && value === undefined) earlyCancellations.delete(meaning.job)
      if (!meaning || value === undefined) continue
      if (meaning.type === "job") {
        const job = parseJob(value)
        // An earlier leader may have known of the job and started its tasks.
        if (job) addJob(job, INITIAL_PROGRESS, true)
      } else if (meaning.type === "cancel") void cancel(meaning.job, true)
      else applyWithdrawal(meaning.job, value)
    }
  }

  /** Rebuilds jobs, progress and the worker roster from the store at the beginning of the term. */
  function applyInitialWork(items: readonly StoredItem[]): void {
    const work = readStoredWork(items)
    for (const {job, revision, record} of work.progress.values()) {
      ledger.setRevision(progressKey(job), revision)
      if (record?.remaining) workspaces.restore(job, record.remaining)
      if (record?.withdrawn) jobs.addWithdrawn(job, record.writtenAt)
      else if (record?.outcome) jobs.addEnded(job, record.outcome, record.writtenAt, record.owner)
    }
    for (const job of work.jobs) {
      const record = work.progress.get(job.id)?.record
      if (!record?.outcome) addJob(job, record ?? INITIAL_PROGRESS, true)
    }
    for (const {part, revision} of work.roster) ledger.setRevision(rosterKey(part), revision)
    ledger.setRevision(TERM_KEY, work.termRevision)
    ledger.setRevision(HEARTBEAT_KEY, work.heartbeatRevision)
    pool.addFromRoster(work.roster)
    barrier.setEarlierLeaders(findEarlierLeaders(work))
    queueServices.addRecorded(work.term?.usedServices ?? {})
    writeTerm()
    for (const job of work.cancelledJobs) void cancel(job, true)
  }

  /** Pages that are read again after a failure are no progress. */
  function recordLoaded(items: number): void {
    if (items > loaded.items) loaded = {items, at: clock.now()}
  }

  async function load(): Promise<boolean> {
    const loadStartedAt = clock.now()
    const [work, listed] = await Promise.all([
      store.list(STORE_PREFIX, recordLoaded),
      store.list(reader.workerPrefix),
    ])
    if (isClosed) return false
    if (work.isErr() || listed.isErr()) {
      const reason = work.isErr() ? work.error.message : listed.isErr() ? listed.error.message : ""
      const took = Math.round(clock.now() - loadStartedAt)
      log.warn({event: "load-failed", term, took, reason}, "cannot read jobs and workers from the store")
      return false
    }
    const leaderKey = work.value.items.find(({key}) => key === LEADER_KEY)
    if (leaderKey?.revision !== term) {
      handleSuperseded()
      return false
    }
    confirmation.record(loadStartedAt)
    initialEntries = listed.value.items.length
    relays.check()
    applyInitialWork(work.value.items)
    pool.onList(listed.value.items)
    initialEntries = 0
    for (const worker of pool.workers.values()) if (!worker.isFenced) barrier.add(worker)
    isLoaded = true
    loadedAt = clock.now()
    const hasClosed = (): boolean => isClosed
    void watchPrefix(
      store,
      reader.workerPrefix,
      {wait: WORKER_POLL_MS, pause: WORKER_POLL_MS},
      clock,
      {onList: pool.onList, onChanges: pool.onChanges},
      hasClosed,
      listed.value.revision,
    )
    void watchPrefix(
      store,
      STORE_PREFIX,
      {wait: WORK_POLL_MS, pause: WORK_POLL_MS},
      clock,
      {
        onList(items, sentAt) {
          confirmation.record(sentAt)
          applyStoredWork(items, sentAt)
        },
        // A watch may miss changes for a while, so that it confirms nothing.
        onChanges: applyStoredWork,
      },
      hasClosed,
      work.value.revision,
    )
    sweep(clock.now())
    log.info(
      {
        event: "planning",
        term,
        took: Math.round(clock.now() - loadStartedAt),
        jobs: jobs.active.size,
        workers: pool.workers.size,
      },
      "leader has read jobs and workers from the store and starts planning",
    )
    return true
  }

  function loads(): CountedLoads | undefined {
    if (!isLoaded) return undefined
    const pending = new Map<string, number>()
    for (const {job, hasStarted} of jobs.active.values()) {
      if (!hasStarted && job.firstDue === 0)
        pending.set(job.queue.name, (pending.get(job.queue.name) ?? 0) + 1)
    }
    const counts = [...pending].map(([queue, count]) => ({queue, pending: count, retryAfterMs: 0}))
    // Other instances may have stored jobs since the store answered the leader, which may have read the answer late.
    return {loads: counts, age: clock.now() - Math.min(workRead.answeredAt, workRead.sentAt + WORK_POLL_MS)}
  }

  async function storeNewJob(job: PipelineJob): Promise<StoreAnswer> {
    const outcome = await ledger.storeJob(job)
    if (outcome === "stored" && !isClosed) addJob(job)
    if (outcome !== "exists") return outcome
    // An existing job is already in the job table, or the next poll of the store finds it.
    if (job.workspace === undefined) return "stored"
    const read = await store.read(jobKey(job.id))
    const existing = read.isOk() && read.value ? parseJob(read.value.value) : undefined
    return existing && isForeign(ownerOf(existing), job) ? "foreign" : "stored"
  }

  function close(): void {
    isClosed = true
    pool.close()
    relays.close()
    ledger.close()
  }

  return {
    term,
    load,
    loadingFor: () => (isLoaded ? 0 : Math.max(1, clock.now() - loaded.at)),
    async storeJob(record, alreadyStored) {
      const job = parseJob(record)
      if (!job) return "not-stored"
      if (alreadyStored) {
        // Until the stored work has been read, the job's progress is not known.
        if (!isClosed && isLoaded) addJob(job)
        return "stored"
      }
      if (jobs.has(job.id)) return isForeign(jobs.ownerOf(job.id), job) ? "foreign" : "stored"
      const reservation = acceptedMemory.reserve(job)
      if (!reservation) return "over-capacity"
      const storing = storeNewJob(job)
      jobsBeingStored.set(job.id, storing)
      return storing.finally(() => {
        acceptedMemory.release(reservation)
        if (jobsBeingStored.get(job.id) === storing) jobsBeingStored.delete(job.id)
      })
    },
    stateOf(job, caller) {
      const state = jobs.stateOf(job)
      return state !== undefined && !mayAccess(job, caller) ? FOREIGN_STATE : state
    },
    cancel,
    loads,
    recordFollower: support.recordInstance,
    duty: () => ({
      plannedFor: Math.round(Math.max(0, clock.now() - loadedAt)),
      openSteps,
      unreportedWorkers: barrier.countWorkers(),
    }),
    schedulePass,
    counts: () => ({
      active: jobs.active.size,
      job_bytes: jobs.memory(),
      workers: pool.workers.size,
      usable: [...pool.workers.values()].filter(worker => isUsable(worker, clock.now())).length,
      starts: starter.countStarts(),
      relays: relays.countRelays(),
      passes,
      held_steps: heldSteps,
      exceeding_workspaces: shareLog.count(),
      commits: ledger.commitCount(),
      ...nearWaits.counts(),
      run_times: learnedRuns.size(),
      slow_workers: [...pool.workers.values()].filter(({speed}) => isSlow(speed)).length,
      ...leaderLoad.gauges(),
      ...workspaces.gauges(),
    }),
    close,
  }
}
