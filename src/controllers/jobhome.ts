/**
 * The home of one job group: the only instance that accepts its jobs, starts attempts of their tasks and answers
 * for them. It is rebuilt from the journal and from what the owners of the worker groups hold. A task that was
 * open before is started again only after every owner has told what it has of this job group.
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
import {decideEnd, detailOfWaiting, resultOfWaiting} from "./attemptends.js"
import type {EarlierAttempts} from "./attemptends.js"
import type {TrackedAttempt} from "./attempttracker.js"
import {dispatcher, taskName} from "./dispatcher.js"
import type {ReachableGroup, WaitingTask} from "./dispatcher.js"
import {gangs} from "./gangs.js"
import type {WaitingGang} from "./gangs.js"
import {describeJob, noSuchJob, problem, taskState} from "./jobanswers.js"
import type {JobAnswer, TaskAnswer} from "./jobanswers.js"
import {jobBook} from "./jobbook.js"
import {jobIntake} from "./jobintake.js"
import {recoverJobs} from "./jobrecovery.js"
import {jobUpkeep} from "./jobupkeep.js"
import {journal as createJournal} from "./journal.js"
import type {Logger} from "../core/logger.js"
import type {PlacedAttempt, PlacementClient} from "./placementclient.js"

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
}

export interface JobHome {
  readonly open: () => Promise<boolean>
  readonly submit: (key: string, body: unknown) => Promise<JobAnswer>
  readonly get: (job: string) => JobAnswer
  readonly list: (team: string) => JobAnswer
  readonly cancel: (job: string) => Promise<JobAnswer>
  /** Takes ends from an owner. Gives the attempts whose end is durable or of no interest. */
  readonly takeEnds: (ends: readonly AttemptEnd[]) => Promise<readonly string[]>
  readonly recovered: () => boolean
  readonly counts: () => {readonly waiting: number; readonly inFlight: number; readonly jobs: number}
  /** Stops asking, marks what may have started, and makes all of it durable. */
  readonly drain: () => Promise<void>
  readonly close: () => void
}

const COMPACT_AFTER_CHUNKS = 48
const MAINTENANCE_MS: Milliseconds = 1000
const DURABLE_WAIT_MS: Milliseconds = 400
const ACCEPT_WAIT_MS: Milliseconds = 3000

/** Creates the home for one epoch of the job group. */
export function jobHome(jobGroup: string, epoch: number, ports: JobHomePorts): JobHome {
  const {clock, log} = ports
  const journal = createJournal(jobGroup, `${ports.instance}/${epoch}`, ports.store, clock, ports.random)
  const book = jobBook(journal)
  /** Tasks of which this home has seen an attempt start. */
  const started = new Set<string>()
  /** Jobs that were accepted by an earlier home, whose tasks may have started without a mark. */
  const unproved = new Set<string>()
  const endsInProgress = new Map<string, Promise<unknown>>()
  const estimates = new Map<string, WorkloadEstimate>()
  let sequence = 0
  let isRecovered = false
  let draining = false
  let closed = false

  const work = dispatcher({
    clock,
    random: ports.random,
    log,
    client: ports.client,
    choice: ports.choice,
    jobGroup,
    document: ports.document,
    groups: ports.groups,
    mayAct: () => !draining && ports.mayAct(),
    nextAttempt: item => attemptFor(item.job, item.task),
    recordMayStart,
    onNeverStarted: attempt => endLocally(attempt, "never-started", ""),
    onFateLost: attempt => endLocally(attempt, "lost", "its owner died before it told of the attempt"),
  })

  const gangWork = gangs({
    clock,
    random: ports.random,
    log,
    client: ports.client,
    groups: ports.groups,
    mayAct: () => !draining && ports.mayAct(),
    nextAttempts: gang => gang.tasks.map(task => attemptFor(gang.job, task)),
    quotaBlocker: gangQuotaBlocker,
    onCommit: commitGang,
    onAnswers: takeGangAnswers,
  })

  function attemptFor(job: string, index: number): Attempt {
    const known = book.get(job)
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
      demand: demandOf(workload, demand, pool),
      declaredRun,
      restartable,
      checkpointable,
      checkpoint: task.checkpoint,
      payload,
      avoid: task.failedOn,
    }
  }

  function demandOf(workload: string, declared: Resources, pool: string): Resources {
    const most = ports.poolShape(pool)?.largestCapacity ?? declared
    return estimateDemand(declared, estimates.get(workload) ?? INITIAL_ESTIMATE, most)
  }

  const keepUp = jobUpkeep({
    clock,
    log,
    jobGroup,
    book,
    work,
    gangWork,
    poolShape: ports.poolShape,
    estimateOf: workload => estimates.get(workload),
    isLeaving: ports.isLeaving,
    minimumAvailable: workload => ports.document()?.workloads.get(workload)?.minimumAvailable ?? 0,
    endOfWaiting,
  })

  const submit = jobIntake({
    clock,
    log,
    jobGroup,
    book,
    document: ports.document,
    poolShape: ports.poolShape,
    storeIsReachable: ports.storeIsReachable,
    describe,
    onAccepted: enqueueAccepted,
  })

  async function recordMayStart(items: readonly WaitingTask[]): Promise<boolean> {
    if (!ports.storeIsReachable()) return false
    const steps: JobStep[] = items.map(item => ({type: "may-start", job: item.job, tasks: [item.task]}))
    const recorded = await book.record(...steps)
    return recorded.isOk() && ports.mayAct()
  }

  function isOpen(job: Job | undefined, index: number): boolean {
    return job !== undefined && job.tasks[index]?.result === undefined
  }

  function enqueueTask(job: Job, task: Task): void {
    const {specification} = job
    const {job: name, team, priority, pool, demand, workload, restartable} = specification
    work.enqueue({
      key: taskName(name, task.index),
      job: name,
      task: task.index,
      team,
      priority,
      pool,
      demand: demandOf(workload, demand, pool),
      restartable,
      enqueuedAt: clock.now() - Math.max(0, clock.wallClock() - specification.acceptedAt),
    })
  }

  function enqueueGang(job: Job): void {
    const {job: name, priority, pool, acceptedAt} = job.specification
    const tasks = job.tasks.filter(task => task.result === undefined).map(task => task.index)
    if (tasks.length === 0) return
    gangWork.enqueue({job: name, tasks, priority, pool, acceptedAt, enqueuedAt: clock.now()})
  }

  /** Queues what is open and not in flight. */
  function enqueueJob(job: Job): void {
    if (job.specification.kind === "gang") {
      if (work.tracker().ofJob(job.specification.job).length === 0) enqueueGang(job)
      return
    }
    for (const task of job.tasks) {
      if (task.result !== undefined || work.tracker().ofTask(job.specification.job, task.index)) continue
      enqueueTask(job, task)
    }
  }

  function requeue(job: Job, index: number): void {
    const {job: name, kind} = job.specification
    if (kind === "gang") {
      const others = work.tracker().ofJob(name)
      if (others.length === 0) enqueueGang(job)
      else
        work.stop(
          others.filter(entry => entry.stopWanted === "none"),
          job.specification.checkpointable,
        )
      return
    }
    const task = job.tasks[index]
    if (task) enqueueTask(job, task)
  }

  /** What is known of the attempts of a task that came before the present one. */
  function earlierAttempts(job: Job, index: number): EarlierAttempts {
    const name = job.specification.job
    const task = job.tasks[index]
    const present = task?.openAttempt === true && !job.specification.restartable ? 1 : 0
    if ((task?.attempts ?? 0) > present || started.has(taskName(name, index))) return "ran"
    return unproved.has(name) && !isProvedFresh ? "unproved" : "none"
  }

  /** Applies the end of an attempt. Resolves when what follows from it is durable. */
  function takeEnd(end: AttemptEnd): Promise<unknown> {
    const entry = work.tracker().forget(end.attempt)
    const name = taskName(end.job, end.task)
    const ran = end.outcome !== "never-started"
    if (ran) started.add(name)
    const job = book.get(end.job)
    const inherited = !isRecovered && unproved.has(end.job)
    if ((!entry && !inherited) || !job || !isOpen(job, end.task)) return Promise.resolve()
    if (ran && end.ranFor > 0) learnFrom(job, end)
    const decision = decideEnd(job, end, earlierAttempts(job, end.task), clock.wallClock())
    logEnd(end, decision.next)
    const durable = decision.steps.length > 0 ? book.record(...decision.steps) : Promise.resolve()
    const next = book.get(end.job)
    if (inherited) return durable
    if (decision.next === "requeue" && next && !draining) requeue(next, end.task)
    else if (next) resumeGang(next)
    work.wake()
    return durable
  }

  /** A gang whose last attempt has ended while tasks are open starts again as a whole. */
  function resumeGang(job: Job): void {
    const {job: name, kind} = job.specification
    if (kind !== "gang" || job.cancelled || draining || work.tracker().ofJob(name).length > 0) return
    enqueueGang(job)
  }

  function learnFrom(job: Job, end: AttemptEnd): void {
    const {workload, demand} = job.specification
    const estimate = estimates.get(workload) ?? INITIAL_ESTIMATE
    estimates.set(workload, updateEstimate(estimate, end.ranFor, demand, end.peakMemoryMebibytes))
  }

  function logEnd(end: AttemptEnd, next: string): void {
    const {attempt, job, task, outcome, worker, detail, ranFor} = end
    log.info(
      {event: "attempt-ended", jobGroup, job, task, attempt, outcome, worker, detail, ranFor, next},
      "an attempt ended",
    )
  }

  function endLocally(attempt: Attempt, outcome: "never-started" | "lost", detail: string): void {
    const {attempt: name, job, task} = attempt
    const known = work.tracker().get(name)
    if (!known) work.tracker().track(trackedFor(attempt))
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
    void takeEnd(end)
  }

  function trackedFor(attempt: Attempt): TrackedAttempt {
    return {
      attempt,
      group: "",
      ownerEpoch: 0,
      phase: "asking",
      worker: "",
      since: clock.now(),
      stopWanted: "none",
    }
  }

  async function takeEnds(ends: readonly AttemptEnd[]): Promise<readonly string[]> {
    const settled: string[] = []
    const waits = ends.map(async end => {
      const running =
        endsInProgress.get(end.attempt) ?? takeEnd(end).finally(() => endsInProgress.delete(end.attempt))
      endsInProgress.set(end.attempt, running)
      const done = await withTimeout(
        clock,
        running.then(() => true),
        DURABLE_WAIT_MS,
        false,
      )
      if (done && !closed) settled.push(end.attempt)
    })
    await Promise.all(waits)
    return settled
  }

  function gangQuotaBlocker(gang: WaitingGang): string | undefined {
    const job = book.get(gang.job)
    const team = job && ports.document()?.teams.get(job.specification.team)
    if (!job || !team) return "the team of the gang is no longer in the document"
    const need = scale(job.specification.demand, gang.tasks.length)
    const fitting = fits(add(work.tracker().usageOf(team.name), need), team.quota)
    return fitting ? undefined : `the quota of team ${team.name} is used up`
  }

  async function commitGang(
    gang: WaitingGang,
    placed: ReadonlyMap<string, ReachableGroup>,
    attempts: readonly Attempt[],
  ): Promise<boolean> {
    const job = book.get(gang.job)
    if (!job) return false
    for (const attempt of attempts) {
      const group = placed.get(attempt.attempt)
      if (group)
        work.tracker().track({...trackedFor(attempt), group: group.group, ownerEpoch: group.owner.epoch})
    }
    if (job.specification.restartable) return true
    const recorded =
      ports.storeIsReachable() &&
      (await book.record({type: "may-start", job: gang.job, tasks: gang.tasks})).isOk()
    if (recorded && ports.mayAct()) return true
    for (const attempt of attempts) endLocally(attempt, "never-started", "")
    return false
  }

  function takeGangAnswers(gang: WaitingGang, answers: readonly PlacedAttempt[]): void {
    let refusedSome = false
    for (const {attempt, result, worker} of answers) {
      const entry = work.tracker().get(attempt)
      if (!entry) continue
      if (result === "started") work.tracker().update(attempt, {phase: "running", worker, since: clock.now()})
      else if (result === "refused") {
        refusedSome = true
        endLocally(entry.attempt, "never-started", "")
      } else work.tracker().update(attempt, {phase: "in-doubt", worker})
    }
    if (refusedSome) work.stop(work.tracker().ofJob(gang.job), false)
  }

  function enqueueAccepted(name: string): void {
    const job = book.get(name)
    if (job && !job.cancelled && !closed && !draining) enqueueJob(job)
  }

  function taskAnswers(job: Job): readonly TaskAnswer[] {
    return job.tasks.map(task => {
      const entry = work.tracker().ofTask(job.specification.job, task.index)
      return {
        index: task.index,
        state: taskState(task, entry?.phase),
        detail: task.detail,
        worker: entry?.worker ?? "",
      }
    })
  }

  /** Why the job waits, in words. */
  function explain(job: Job): readonly string[] {
    const {job: name, kind} = job.specification
    if (job.endedAt > 0) return []
    const reasons: string[] = []
    if (!isRecovered && unproved.has(name))
      reasons.push("its home has changed, and not every owner has told yet what it runs")
    if (!ports.mayAct()) reasons.push("its home may not act at the moment")
    const gangReason = kind === "gang" ? gangWork.blockerOf(name) : undefined
    if (gangReason !== undefined) reasons.push(gangReason)
    const waiting = job.tasks
      .map(task => work.queue().get(taskName(name, task.index)))
      .find(item => item !== undefined)
    if (waiting)
      reasons.push(
        work.blockerOf(waiting) ??
          `${work.queue().size()} tasks of this job group wait, in the order of urgency, share and age`,
      )
    return reasons
  }

  function describe(job: Job): object {
    return describeJob(job, taskAnswers(job), explain(job))
  }

  async function cancel(name: string): Promise<JobAnswer> {
    const job = book.get(name)
    if (!job) return noSuchJob(name)
    if (job.endedAt > 0 || job.cancelled) return {status: 200, body: describe(job)}
    const steps: JobStep[] = [{type: "cancelled", job: name}]
    gangWork.withdraw(name)
    const inFlight = work.tracker().ofJob(name)
    for (const task of job.tasks) {
      const tracked = work.tracker().ofTask(name, task.index) !== undefined
      work.withdraw(name, task.index)
      if (task.result === undefined && !tracked) steps.push(endOfWaiting(job, task))
    }
    const recorded = await withTimeout(clock, book.record(...steps), ACCEPT_WAIT_MS, undefined)
    work.stop(inFlight, false)
    const next = book.get(name)
    if (!recorded?.isOk() || !next) {
      const detail = "Whether the cancellation was written down is not known yet. Repeat the request."
      return problem(503, "cancellation-unknown", "The job may go on", detail, "unknown")
    }
    return {status: 200, body: describe(next)}
  }

  function endOfWaiting(job: Job, task: Task): Extract<JobStep, {type: "task-ended"}> {
    const name = job.specification.job
    const result = resultOfWaiting(earlierAttempts(job, task.index))
    const detail = detailOfWaiting(result)
    return {type: "task-ended", job: name, task: task.index, result, detail, at: clock.wallClock()}
  }

  let isProvedFresh = false

  async function open(): Promise<boolean> {
    const steps = await journal.open()
    if (steps.isErr() || closed) return false
    book.restore(steps.value)
    isProvedFresh = book.marksComplete()
    for (const job of book.all()) if (jobResultOf(job) === "open") unproved.add(job.specification.job)
    log.info(
      {event: "home-opened", jobGroup, epoch, jobs: book.size(), open: unproved.size},
      "read the journal of a job group",
    )
    void recoverJobs(
      {
        clock,
        client: ports.client,
        groups: ports.groups,
        groupNames: ports.groupNames,
        book,
        work,
        unproved,
        isClosed: () => closed,
        trackedFor,
        noteStarted: (job, task) => started.add(taskName(job, task)),
        takeEnd,
        enqueueJob,
        endOfWaiting,
      },
      noteRecovered,
    )
    maintain()
    return true
  }

  function noteRecovered(): void {
    isRecovered = true
    const inFlight = work.tracker().size()
    log.info({event: "home-recovered", jobGroup, epoch, inFlight}, "knows what runs of a job group")
  }

  function maintain(): void {
    if (closed) return
    keepUp(isRecovered)
    const due = journal.chunksSinceSnapshot() >= COMPACT_AFTER_CHUNKS && ports.storeIsReachable()
    if (due) void journal.compact(book.snapshot)
    clock.after(MAINTENANCE_MS, maintain)
  }

  async function drain(): Promise<void> {
    draining = true
    const marks: JobStep[] = []
    for (const job of book.all()) {
      if (job.endedAt > 0) continue
      for (const task of job.tasks) {
        const touched =
          started.has(taskName(job.specification.job, task.index)) ||
          work.tracker().ofTask(job.specification.job, task.index)
        if (task.result !== undefined || task.attempts > 0 || !touched) continue
        if (job.specification.restartable)
          marks.push({type: "may-start", job: job.specification.job, tasks: [task.index]})
      }
    }
    const provable = unproved.size === 0 || isProvedFresh || isRecovered
    if (provable && [...unproved].every(name => isProvedFresh || resultOfName(name) !== "open")) {
      marks.push({type: "marks-complete", job: ""})
    }
    await book.record(...marks)
  }

  function resultOfName(name: string): string {
    const job = book.get(name)
    return job ? jobResultOf(job) : "ended"
  }

  return {
    open,
    submit,
    get(name) {
      const job = book.get(name)
      return job ? {status: 200, body: describe(job)} : noSuchJob(name)
    },
    list(team) {
      const jobs = [...book.all()].filter(job => team === "" || job.specification.team === team)
      const summaries = jobs.map(job => ({
        job: job.specification.job,
        team: job.specification.team,
        workload: job.specification.workload,
        state: jobResultOf(job),
      }))
      return {status: 200, body: {jobs: summaries}}
    },
    cancel,
    takeEnds,
    recovered: () => isRecovered,
    counts: () => ({
      waiting: work.queue().size() + gangWork.waiting().length,
      inFlight: work.tracker().size(),
      jobs: book.size(),
    }),
    drain,
    close() {
      closed = true
      work.close()
      gangWork.close()
      journal.close()
    },
  }
}
