/**
 * The home of one job group: the only instance that accepts the group's jobs, starts attempts of their tasks and
 * answers requests about them. A new home rebuilds its state from the journal and from the attempts that the owners of
 * the worker groups report. It restarts a task that an earlier home left open only after every owner has reported, so
 * that no task runs twice at once.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {withTimeout} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {add, fits, scale} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {EnvironmentDocument} from "../document/model.js"
import type {Attempt, AttemptEnd} from "../jobs/attempt.js"
import {jobResultOf} from "../jobs/job.js"
import type {Job, JobStep, Task} from "../jobs/job.js"
import {estimateDemand, updateEstimate, INITIAL_ESTIMATE} from "../placement/estimates.js"
import type {WorkloadEstimate} from "../placement/estimates.js"
import type {GroupSelector} from "../placement/groupchoice.js"
import type {PoolCapacity} from "../placement/feasibility.js"
import type {GroupIndex} from "../placement/passplan.js"
import type {Store} from "../platform/ports.js"
import {decideEnd, detailOfWaitingTask, resultOfWaitingTask} from "./attemptends.js"
import type {EarlierAttempts} from "./attemptends.js"
import type {TrackedAttempt} from "./attempttracker.js"
import {createDispatcher, taskName} from "./dispatcher.js"
import type {ReachableGroup, WaitingTask} from "./dispatcher.js"
import {createGangPlacer} from "./gangs.js"
import type {WaitingGang} from "./gangs.js"
import {describeJob, noSuchJob, problem, taskState} from "./jobresponses.js"
import type {JobResponse, TaskDescription} from "./jobresponses.js"
import {createJobRegistry} from "./jobregistry.js"
import {createJobSubmission} from "./jobsubmission.js"
import {recoverJobs} from "./jobrecovery.js"
import {createJobMaintenance} from "./jobmaintenance.js"
import {createJournal as createJournal} from "./journal.js"
import type {Logger} from "../core/logger.js"
import type {AttemptPlacement, PlacementClient} from "./placementclient.js"

export interface JobHomePorts {
  readonly clock: Clock
  readonly random: Random
  readonly store: Store
  readonly log: Logger
  readonly client: PlacementClient
  readonly choice: GroupSelector
  readonly instance: string
  readonly document: () => EnvironmentDocument | undefined
  /** Worker groups whose owners are known. */
  readonly groups: GroupIndex<ReachableGroup>
  /** Every worker group that exists, with or without a known owner. */
  readonly groupNames: () => readonly string[]
  readonly poolShape: (pool: string) => PoolCapacity | undefined
  /** True while the worker is about to leave. */
  readonly isLeaving: (worker: string) => boolean
  readonly mayAct: () => boolean
  readonly storeIsReachable: () => boolean
  /** Whether the instance has memory for a further job of this size. */
  readonly hasRoomForJob: (bytes: number) => boolean
  /** Bytes that the ended jobs of one home may take. */
  readonly endedJobsLimit: () => number
}

export interface JobHome {
  /** Reads the journal and starts recovery. Resolves to false if the journal cannot be opened or the home was closed. */
  readonly open: () => Promise<boolean>
  /** Submits a job; requests with the same non-empty key and team submit it once. */
  readonly submit: (key: string, body: unknown) => Promise<JobResponse>
  readonly get: (job: string) => JobResponse
  readonly list: (team: string) => JobResponse
  readonly cancel: (job: string) => Promise<JobResponse>
  /**
   * Records ends of attempts that an owner reports. Resolves to the names of the attempts whose end is acknowledged:
   * it is durable, or the home does not need it.
   */
  readonly acceptEnds: (ends: readonly AttemptEnd[]) => Promise<readonly string[]>
  /** True once every owner has reported the attempts that earlier homes started. */
  readonly isRecovered: () => boolean
  readonly counts: () => {
    readonly waiting: number
    readonly inFlight: number
    readonly jobs: number
    /** Bytes that the jobs are estimated to take. */
    readonly memory: number
  }
  /** Stops starting attempts and durably marks tasks that may have started, for the next home. */
  readonly drain: () => Promise<void>
  readonly close: () => void
}

/** The journal is compacted when this many chunks follow its snapshot. */
const COMPACT_AFTER_CHUNKS = 48
const MAINTENANCE_INTERVAL_MS: Milliseconds = 1000
/** Ends that are not durable within this time are not acknowledged; the owner reports them again. */
const DURABLE_WAIT_MS: Milliseconds = 400
/** If a cancellation is not durable within this time, the response says that its outcome is unknown. */
const CANCEL_WAIT_MS: Milliseconds = 3000

/** Creates the home of a job group for one epoch of ownership. */
export function createJobHome(jobGroup: string, epoch: number, ports: JobHomePorts): JobHome {
  const {clock, log} = ports
  const journal = createJournal(jobGroup, `${ports.instance}/${epoch}`, ports.store, clock, ports.random)
  const registry = createJobRegistry(journal)
  /** Names of tasks of which an attempt has started, as far as this home has seen. */
  const startedTasks = new Set<string>()
  /** Jobs that an earlier home accepted and left open; their tasks may have started without a mark in the journal. */
  const unconfirmedJobs = new Set<string>()
  /** Ends that are being made durable, by attempt, so that a repeated report does not apply them twice. */
  const endsInProgress = new Map<string, Promise<unknown>>()
  const estimates = new Map<string, WorkloadEstimate>()
  let sequence = 0
  let isRecovered = false
  let isDraining = false
  let closed = false

  const dispatcher = createDispatcher({
    clock,
    random: ports.random,
    log,
    client: ports.client,
    choice: ports.choice,
    jobGroup,
    document: ports.document,
    groups: ports.groups,
    mayAct: () => !isDraining && ports.mayAct(),
    nextAttempt: item => attemptFor(item.job, item.task),
    recordMayStart,
    onNeverStarted: attempt => applyLocalEnd(attempt, "never-started", ""),
    onOutcomeUnknown: attempt =>
      applyLocalEnd(attempt, "lost", "the owner of its worker group failed before it reported the attempt"),
  })

  const gangPlacer = createGangPlacer({
    clock,
    random: ports.random,
    log,
    client: ports.client,
    groups: ports.groups,
    mayAct: () => !isDraining && ports.mayAct(),
    nextAttempts: gang => gang.tasks.map(task => attemptFor(gang.job, task)),
    quotaBlocker: gangQuotaBlocker,
    onCommit: prepareGangCommit,
    onResults: applyGangResults,
  })

  /** Creates the next attempt of a task. */
  function attemptFor(job: string, index: number): Attempt {
    const known = registry.get(job)
    const task = known?.tasks[index]
    if (!known || !task) throw new RangeError(`The job ${job} has no task ${index}.`)
    const {team, workload, kind, pool, priority, demand, declaredRun, restartable, checkpointable, payload} =
      known.specification
    sequence += 1
    return {
      attempt: `${job}.${index}.${epoch}-${sequence}`,
      job,
      task: index,
      jobGroup,
      team,
      workload,
      kind,
      pool,
      priority,
      demand: effectiveDemandOf(workload, demand, pool),
      declaredRun,
      restartable,
      checkpointable,
      checkpoint: task.checkpoint,
      payload,
      avoid: task.failedOn,
    }
  }

  /** The declared demand, corrected by what was learned about the workload. */
  function effectiveDemandOf(workload: string, declared: Resources, pool: string): Resources {
    const largestWorker = ports.poolShape(pool)?.largestCapacity ?? declared
    return estimateDemand(declared, estimates.get(workload) ?? INITIAL_ESTIMATE, largestWorker)
  }

  const maintainJobs = createJobMaintenance({
    clock,
    log,
    jobGroup,
    registry,
    dispatcher,
    gangPlacer,
    poolShape: ports.poolShape,
    estimateOf: workload => estimates.get(workload),
    isLeaving: ports.isLeaving,
    minimumAvailable: workload => ports.document()?.workloads.get(workload)?.minimumAvailable ?? 0,
    endStepOfWaitingTask,
    endedJobsLimit: ports.endedJobsLimit,
  })

  const submit = createJobSubmission({
    clock,
    log,
    jobGroup,
    registry,
    document: ports.document,
    poolShape: ports.poolShape,
    storeIsReachable: ports.storeIsReachable,
    hasRoom: ports.hasRoomForJob,
    describe,
    onAccepted: enqueueAcceptedJob,
  })

  async function recordMayStart(items: readonly WaitingTask[]): Promise<boolean> {
    if (!ports.storeIsReachable()) return false
    const steps: JobStep[] = items.map(item => ({type: "may-start", job: item.job, tasks: [item.task]}))
    const recorded = await registry.record(...steps)
    return recorded.isOk() && ports.mayAct()
  }

  function isOpen(job: Job | undefined, index: number): boolean {
    return job !== undefined && job.tasks[index]?.result === undefined
  }

  /** Queues a task with its waiting time counted from the acceptance of the job, also across homes. */
  function enqueueTask(job: Job, task: Task): void {
    const {specification} = job
    const {job: name, team, priority, pool, demand, workload, restartable} = specification
    dispatcher.enqueue({
      key: taskName(name, task.index),
      job: name,
      task: task.index,
      team,
      priority,
      pool,
      demand: effectiveDemandOf(workload, demand, pool),
      restartable,
      enqueuedAt: clock.now() - Math.max(0, clock.wallClock() - specification.acceptedAt),
    })
  }

  function enqueueGang(job: Job): void {
    const {job: name, priority, pool, acceptedAt} = job.specification
    const tasks = job.tasks.filter(task => task.result === undefined).map(task => task.index)
    if (tasks.length === 0) return
    gangPlacer.enqueue({job: name, tasks, priority, pool, acceptedAt, enqueuedAt: clock.now()})
  }

  /** Queues the tasks of a job that are open and not in flight. */
  function enqueueJob(job: Job): void {
    if (job.specification.kind === "gang") {
      if (dispatcher.tracker().ofJob(job.specification.job).length === 0) enqueueGang(job)
      return
    }
    for (const task of job.tasks) {
      if (task.result !== undefined || dispatcher.tracker().ofTask(job.specification.job, task.index))
        continue
      enqueueTask(job, task)
    }
  }

  /** Queues a task again. A gang restarts as a whole: its other attempts are stopped first. */
  function requeueTask(job: Job, index: number): void {
    const {job: name, kind} = job.specification
    if (kind === "gang") {
      const others = dispatcher.tracker().ofJob(name)
      if (others.length === 0) enqueueGang(job)
      else
        dispatcher.stop(
          others.filter(entry => entry.stopRequest === "none"),
          job.specification.checkpointable,
        )
      return
    }
    const task = job.tasks[index]
    if (task) enqueueTask(job, task)
  }

  /** What is known about the attempts of a task before its current one. */
  function earlierAttempts(job: Job, index: number): EarlierAttempts {
    const name = job.specification.job
    const task = job.tasks[index]
    const openAttempts = task?.openAttempt === true && !job.specification.restartable ? 1 : 0
    if ((task?.attempts ?? 0) > openAttempts || startedTasks.has(taskName(name, index))) return "ran"
    return unconfirmedJobs.has(name) && !hasCompleteMarks ? "unproved" : "none"
  }

  /** Applies the end of an attempt to its task. Resolves once the resulting steps are durable. */
  function applyEnd(end: AttemptEnd): Promise<unknown> {
    const entry = dispatcher.tracker().remove(end.attempt)
    const name = taskName(end.job, end.task)
    const ran = end.outcome !== "never-started"
    if (ran) startedTasks.add(name)
    const job = registry.get(end.job)
    const isFromEarlierHome = !isRecovered && unconfirmedJobs.has(end.job)
    if ((!entry && !isFromEarlierHome) || !job || !isOpen(job, end.task)) return Promise.resolve()
    if (ran && end.ranFor > 0) updateWorkloadEstimate(job, end)
    const decision = decideEnd(job, end, earlierAttempts(job, end.task), clock.wallClock())
    logEnd(end, decision.next)
    const durable = decision.steps.length > 0 ? registry.record(...decision.steps) : Promise.resolve()
    const next = registry.get(end.job)
    if (isFromEarlierHome) return durable
    if (decision.next === "requeue" && next && !isDraining) requeueTask(next, end.task)
    else if (next) restartGang(next)
    dispatcher.requestPass()
    return durable
  }

  /** Queues a gang again as a whole once none of its attempts is in flight. */
  function restartGang(job: Job): void {
    const {job: name, kind} = job.specification
    if (kind !== "gang" || job.cancelled || isDraining || dispatcher.tracker().ofJob(name).length > 0) return
    enqueueGang(job)
  }

  function updateWorkloadEstimate(job: Job, end: AttemptEnd): void {
    const {workload, demand} = job.specification
    const estimate = estimates.get(workload) ?? INITIAL_ESTIMATE
    estimates.set(workload, updateEstimate(estimate, end.ranFor, demand, end.peakMemoryMebibytes))
  }

  function logEnd(end: AttemptEnd, next: string): void {
    const {attempt, job, task, outcome, worker, detail, ranFor} = end
    log.info(
      {event: "attempt-ended", jobGroup, job, task, attempt, outcome, worker, detail, ranFor, next},
      "attempt ended",
    )
  }

  /** Applies an end that this home has determined itself and no worker has reported. */
  function applyLocalEnd(attempt: Attempt, outcome: "never-started" | "lost", detail: string): void {
    const {attempt: name, job, task} = attempt
    const known = dispatcher.tracker().get(name)
    if (!known) dispatcher.tracker().track(newTrackedAttempt(attempt))
    const end = {
      attempt: name,
      job,
      task,
      jobGroup,
      outcome,
      worker: "",
      checkpoint: "",
      detail,
      ranFor: 0,
      peakMemoryMebibytes: 0,
    }
    void applyEnd(end)
  }

  function newTrackedAttempt(attempt: Attempt): TrackedAttempt {
    return {
      attempt,
      group: "",
      ownerEpoch: 0,
      phase: "asking",
      worker: "",
      since: clock.now(),
      stopRequest: "none",
    }
  }

  async function acceptEnds(ends: readonly AttemptEnd[]): Promise<readonly string[]> {
    const accepted: string[] = []
    const waits = ends.map(async end => {
      const inProgress =
        endsInProgress.get(end.attempt) ?? applyEnd(end).finally(() => endsInProgress.delete(end.attempt))
      endsInProgress.set(end.attempt, inProgress)
      const isDurable = await withTimeout(
        clock,
        inProgress.then(() => true),
        DURABLE_WAIT_MS,
        false,
      )
      if (isDurable && !closed) accepted.push(end.attempt)
    })
    await Promise.all(waits)
    return accepted
  }

  function gangQuotaBlocker(gang: WaitingGang): string | undefined {
    const job = registry.get(gang.job)
    const team = job && ports.document()?.teams.get(job.specification.team)
    if (!job || !team) return "the team of the gang is no longer in the environment document"
    const need = scale(job.specification.demand, gang.tasks.length)
    const isWithinQuota = fits(add(dispatcher.tracker().usageOf(team.name), need), team.quota)
    return isWithinQuota ? undefined : `the quota of team ${team.name} is used up`
  }

  /**
   * Tracks the attempts of a gang and, if it is at-most-once, records that they may start. Resolves to false if the
   * gang must not be committed now.
   */
  async function prepareGangCommit(
    gang: WaitingGang,
    placed: ReadonlyMap<string, ReachableGroup>,
    attempts: readonly Attempt[],
  ): Promise<boolean> {
    const job = registry.get(gang.job)
    if (!job) return false
    for (const attempt of attempts) {
      const group = placed.get(attempt.attempt)
      if (group)
        dispatcher
          .tracker()
          .track({...newTrackedAttempt(attempt), group: group.group, ownerEpoch: group.owner.epoch})
    }
    if (job.specification.restartable) return true
    const isRecorded =
      ports.storeIsReachable() &&
      (await registry.record({type: "may-start", job: gang.job, tasks: gang.tasks})).isOk()
    if (isRecorded && ports.mayAct()) return true
    for (const attempt of attempts) applyLocalEnd(attempt, "never-started", "")
    return false
  }

  /** Applies the owners' answers to a commit. If one refused its attempts, the others are stopped. */
  function applyGangResults(gang: WaitingGang, results: readonly AttemptPlacement[]): void {
    let hasRefusal = false
    for (const {attempt, result, worker} of results) {
      const entry = dispatcher.tracker().get(attempt)
      if (!entry) continue
      if (result === "started")
        dispatcher.tracker().update(attempt, {phase: "running", worker, since: clock.now()})
      else if (result === "refused") {
        hasRefusal = true
        applyLocalEnd(entry.attempt, "never-started", "")
      } else dispatcher.tracker().update(attempt, {phase: "in-doubt", worker})
    }
    if (hasRefusal) dispatcher.stop(dispatcher.tracker().ofJob(gang.job), false)
  }

  function enqueueAcceptedJob(name: string): void {
    const job = registry.get(name)
    if (job && !job.cancelled && !closed && !isDraining) enqueueJob(job)
  }

  function describeTasks(job: Job): readonly TaskDescription[] {
    return job.tasks.map(task => {
      const entry = dispatcher.tracker().ofTask(job.specification.job, task.index)
      return {
        index: task.index,
        state: taskState(task, entry?.phase),
        detail: task.detail,
        worker: entry?.worker ?? "",
      }
    })
  }

  /** Reasons why the job waits, in words. */
  function explainWaiting(job: Job): readonly string[] {
    const {job: name, kind} = job.specification
    if (job.endedAt > 0) return []
    const reasons: string[] = []
    if (!isRecovered && unconfirmedJobs.has(name))
      reasons.push(
        "the home of this job has changed, and not every worker group owner has reported its attempts yet",
      )
    if (!ports.mayAct()) reasons.push("the home of this job may not act at the moment")
    const gangReason = kind === "gang" ? gangPlacer.blockerOf(name) : undefined
    if (gangReason !== undefined) reasons.push(gangReason)
    const waiting = job.tasks
      .map(task => dispatcher.queue().get(taskName(name, task.index)))
      .find(item => item !== undefined)
    if (waiting)
      reasons.push(
        dispatcher.blockerOf(waiting) ??
          `${dispatcher.queue().size()} tasks of this job group wait; they start in order of priority, team share and age`,
      )
    return reasons
  }

  function describe(job: Job): object {
    return describeJob(job, describeTasks(job), explainWaiting(job))
  }

  async function cancel(name: string): Promise<JobResponse> {
    const job = registry.get(name)
    if (!job) return noSuchJob(name)
    if (job.endedAt > 0 || job.cancelled) return {status: 200, body: describe(job)}
    const steps: JobStep[] = [{type: "cancelled", job: name}]
    gangPlacer.withdraw(name)
    const inFlight = dispatcher.tracker().ofJob(name)
    for (const task of job.tasks) {
      const isTracked = dispatcher.tracker().ofTask(name, task.index) !== undefined
      dispatcher.withdraw(name, task.index)
      if (task.result === undefined && !isTracked) steps.push(endStepOfWaitingTask(job, task))
    }
    const recorded = await withTimeout(clock, registry.record(...steps), CANCEL_WAIT_MS, undefined)
    dispatcher.stop(inFlight, false)
    const next = registry.get(name)
    if (!recorded?.isOk() || !next) {
      const detail = "It is not known yet whether the cancellation was stored. Repeat the request."
      return problem(503, "cancellation-unknown", "The job may not have been cancelled", detail, "unknown")
    }
    return {status: 200, body: describe(next)}
  }

  /** Returns the step that ends a task of which no attempt runs. */
  function endStepOfWaitingTask(job: Job, task: Task): Extract<JobStep, {type: "task-ended"}> {
    const name = job.specification.job
    const result = resultOfWaitingTask(earlierAttempts(job, task.index))
    const detail = detailOfWaitingTask(result)
    return {type: "task-ended", job: name, task: task.index, result, detail, at: clock.wallClock()}
  }

  /** True if the previous home marked every task that may have started, so that unmarked tasks have not run. */
  let hasCompleteMarks = false

  async function open(): Promise<boolean> {
    const steps = await journal.open()
    if (steps.isErr() || closed) return false
    registry.restore(steps.value)
    hasCompleteMarks = registry.hasCompleteMarks()
    for (const job of registry.all())
      if (jobResultOf(job) === "open") unconfirmedJobs.add(job.specification.job)
    log.info(
      {event: "home-opened", jobGroup, epoch, jobs: registry.size(), open: unconfirmedJobs.size},
      "opened the journal of a job group",
    )
    void recoverJobs(
      {
        clock,
        client: ports.client,
        groups: ports.groups,
        groupNames: ports.groupNames,
        registry,
        dispatcher,
        unconfirmedJobs,
        isClosed: () => closed,
        newTrackedAttempt,
        markStarted: (job, task) => startedTasks.add(taskName(job, task)),
        applyEnd,
        enqueueJob,
        endStepOfWaitingTask,
      },
      markRecovered,
    )
    maintenanceLoop()
    return true
  }

  function markRecovered(): void {
    isRecovered = true
    const inFlight = dispatcher.tracker().size()
    log.info({event: "home-recovered", jobGroup, epoch, inFlight}, "recovered the attempts of a job group")
  }

  function maintenanceLoop(): void {
    if (closed) return
    maintainJobs(isRecovered)
    const isCompactionDue = journal.chunksSinceSnapshot() >= COMPACT_AFTER_CHUNKS && ports.storeIsReachable()
    if (isCompactionDue) void journal.compact(registry.snapshot)
    clock.after(MAINTENANCE_INTERVAL_MS, maintenanceLoop)
  }

  async function drain(): Promise<void> {
    isDraining = true
    const marks: JobStep[] = []
    for (const job of registry.all()) {
      if (job.endedAt > 0) continue
      for (const task of job.tasks) {
        const mayHaveStarted =
          startedTasks.has(taskName(job.specification.job, task.index)) ||
          dispatcher.tracker().ofTask(job.specification.job, task.index)
        if (task.result !== undefined || task.attempts > 0 || !mayHaveStarted) continue
        if (job.specification.restartable)
          marks.push({type: "may-start", job: job.specification.job, tasks: [task.index]})
      }
    }
    const isEveryAttemptKnown = unconfirmedJobs.size === 0 || hasCompleteMarks || isRecovered
    if (
      isEveryAttemptKnown &&
      [...unconfirmedJobs].every(name => hasCompleteMarks || resultOfJob(name) !== "open")
    ) {
      marks.push({type: "marks-complete", job: ""})
    }
    await registry.record(...marks)
  }

  function resultOfJob(name: string): string {
    const job = registry.get(name)
    return job ? jobResultOf(job) : "ended"
  }

  return {
    open,
    submit,
    get(name) {
      const job = registry.get(name)
      return job ? {status: 200, body: describe(job)} : noSuchJob(name)
    },
    list(team) {
      const jobs = [...registry.all()].filter(job => team === "" || job.specification.team === team)
      const summaries = jobs.map(job => ({
        job: job.specification.job,
        team: job.specification.team,
        workload: job.specification.workload,
        state: jobResultOf(job),
      }))
      return {status: 200, body: {jobs: summaries}}
    },
    cancel,
    acceptEnds,
    isRecovered: () => isRecovered,
    counts: () => ({
      waiting: dispatcher.queue().size() + gangPlacer.waiting().length,
      inFlight: dispatcher.tracker().size(),
      jobs: registry.size(),
      memory: registry.memory(),
    }),
    drain,
    close() {
      closed = true
      dispatcher.close()
      gangPlacer.close()
      journal.close()
    },
  }
}
