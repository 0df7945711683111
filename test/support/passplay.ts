/**
 * Plays scheduling passes against workers that run what they are given, on a clock that the play advances. There is no
 * store, no network and no second leader: only what the passes decide, and when the jobs of the callers end.
 */
import type {Milliseconds} from "../../src/core/clock.js"
import type {Resources} from "../../src/core/resources.js"
import {add, NO_RESOURCES} from "../../src/core/resources.js"
import type {Queue, Step} from "../../src/pipelines/model.js"
import {applyProgress, NO_PROGRESS} from "../../src/pipelines/progress.js"
import {createExpectedEnds} from "../../src/planner/expectedends.js"
import {createLearnedRuns} from "../../src/planner/learnedruns.js"
import {createNearWaits, NO_NEAR_WAITS} from "../../src/planner/nearwaits.js"
import type {WorkspaceUse} from "../../src/pipelines/workspaceroom.js"
import type {PassActions} from "../../src/planner/planningpass.js"
import {createPlanningPass} from "../../src/planner/planningpass.js"
import type {ActiveJob, Assignment, StepRun, WorkerState} from "../../src/planner/state.js"
import {assign, createActiveJob, createWorker, release, toTaskName} from "../../src/planner/state.js"
import {jobOf, listingOf, QUEUE} from "./fleet.js"

export interface PlayedJob {
  readonly at: Milliseconds
  readonly steps: readonly Partial<Step>[]
  /** Run time of each task near its data. A task that lasts fails after it; by default it goes on. */
  readonly runTime?: Milliseconds
  readonly queue?: Queue
  readonly workspace?: string
}

export interface PassPlay {
  /** Whether steps may wait for a rack. */
  readonly waits: boolean
  readonly remoteFactor: number
  /** Number of workers with eight processors by rack. */
  readonly racks: Readonly<Record<string, number>>
  readonly jobs: readonly PlayedJob[]
  /** Speeds of workers that are not typical, by id: the rack and the number of the worker in it. */
  readonly speeds?: Readonly<Record<string, number>>
  /** Whether anything is learned from ends; by default it is. */
  readonly learns?: boolean
  /** Whether workers report how far tasks are; they do every 400 ms. */
  readonly showsProgress?: boolean
  /** When the play ends; by default as soon as all jobs have ended. */
  readonly until?: Milliseconds
  /** The priority of the most urgent queue; that of the usual queue by default. */
  readonly urgentPriority?: number
  /** The limits of workspaces. */
  readonly limits?: Readonly<Record<string, Resources>>
  /** Called before the pass at each instant. */
  readonly before?: (now: Milliseconds, workers: WorkerState[]) => void
}

export interface Played {
  /** For each job, the time from its arrival to its end. */
  readonly times: readonly Milliseconds[]
  /** For each job, the longest time until a task of it started. */
  readonly startDelays: readonly Milliseconds[]
  /** For each job, the longest time for which a task of it waited, after its arrival or after it had failed. */
  readonly waits: readonly Milliseconds[]
  /** For each job, the racks on which its tasks started. */
  readonly racks: readonly ReadonlySet<string>[]
  /** What was logged about waits, in order. */
  readonly lines: readonly Readonly<Record<string, unknown>>[]
}

const STEP_MS: Milliseconds = 10
const REPORT_MS: Milliseconds = 400
const END_MS: Milliseconds = 60_000

function usableWorker(id: string, rack: string): WorkerState {
  const listing = listingOf(id, {rack, labels: ["a", rack]})
  return Object.assign(createWorker(listing, true, 0), {
    isFenced: true,
    incarnation: listing.bornAt,
    isRecorded: true,
    isReachable: true,
  })
}

export function playPasses(play: PassPlay): Played {
  let now: Milliseconds = 0
  const clock = {now: () => now}
  const lines: Record<string, unknown>[] = []
  const log = {info: (fields: object) => void lines.push({at: now, ...fields})}
  const learned = createLearnedRuns(clock, log, play.remoteFactor)
  const ends = createExpectedEnds(clock, learned)
  const waits = play.waits ? createNearWaits(clock, log, play.remoteFactor, learned, ends) : NO_NEAR_WAITS
  const pass = createPlanningPass(clock, waits, ends)
  const workers = Object.entries(play.racks).flatMap(([rack, count]) =>
    Array.from({length: count}, (_, index) => usableWorker(`${rack}-${index}`, rack)),
  )
  const active: ActiveJob[] = []
  const plans = new Map<ActiveJob, number>()
  const times: Milliseconds[] = []
  const startDelays: Milliseconds[] = []
  const waitingSince = new Map<StepRun, Map<number, Milliseconds>>()
  const longestWaits: Milliseconds[] = []
  const racks: Set<string>[] = []

  const actions: PassActions = {
    startTasks(run, chosen) {
      const number = plans.get(run.owner) ?? 0
      for (const worker of chosen) {
        const [index = 0] = run.waiting
        const assignment = assign(run, index, 1, worker, now)
        assignment.confirmedAt = now
        assignment.phase = "running"
        startDelays[number] = now - run.owner.arrivedAt
        recordWait(run, index)
        racks[number]?.add(worker.listing.rack)
      }
    },
    requestAdvice: () => undefined,
    preempt: () => undefined,
  }

  function recordWait(run: StepRun, index: number): void {
    const number = plans.get(run.owner) ?? 0
    const since = waitingSince.get(run)?.get(index) ?? run.owner.arrivedAt
    longestWaits[number] = Math.max(longestWaits[number] ?? 0, now - since)
  }

  function durationOf({run, worker}: Assignment): Milliseconds {
    const {step, owner} = run
    const runTime = play.jobs[plans.get(owner) ?? 0]?.runTime ?? Infinity
    const isApart =
      step.preferredRack === ""
        ? step.sameRack && new Set([...run.assignments].map(other => other.worker.listing.rack)).size > 1
        : worker.listing.rack !== step.preferredRack
    return (isApart ? runTime * play.remoteFactor : runTime) / (play.speeds?.[worker.listing.id] ?? 1)
  }

  function endTasks(worker: WorkerState): void {
    for (const assignment of [...worker.assignments.values()]) {
      const {run, index, assignedAt} = assignment
      if (now - assignedAt < durationOf(assignment)) continue
      if (run.step.lasting) {
        release(assignment)
        waitingSince.set(run, (waitingSince.get(run) ?? new Map<number, Milliseconds>()).set(index, now))
        continue
      }
      if (play.learns ?? true) learned.recordDone(assignment)
      run.owner.progress = applyProgress(run.owner.job, run.owner.progress, {
        type: "task-done",
        task: toTaskName(run, index),
      })
      release(assignment)
      if (run.owner.progress.outcome === undefined) continue
      times[plans.get(run.owner) ?? 0] = now - run.owner.arrivedAt
      active.splice(active.indexOf(run.owner), 1)
    }
  }

  function report(worker: WorkerState): void {
    worker.clock = {workerTime: now, localTime: now}
    for (const assignment of worker.assignments.values())
      assignment.progressPercent = Math.floor(((now - assignment.assignedAt) * 100) / durationOf(assignment))
  }

  function useOfWorkspaces(): ReadonlyMap<string, WorkspaceUse> {
    const uses = new Map<string, WorkspaceUse>()
    for (const [name, limit] of Object.entries(play.limits ?? {})) {
      let [occupied, longRunning] = [NO_RESOURCES, NO_RESOURCES]
      for (const {run} of workers.flatMap(worker => [...worker.assignments.values()])) {
        if (run.owner.job.workspace !== name) continue
        occupied = add(occupied, run.step.demand)
        if (run.step.lasting) longRunning = add(longRunning, run.step.demand)
      }
      uses.set(name, {weight: 1, limit, occupied, longRunning})
    }
    return uses
  }

  let arrived = 0
  const arrivals = [...play.jobs.entries()].sort(([, one], [, other]) => one.at - other.at)
  while (play.until === undefined ? arrived < arrivals.length || active.length > 0 : now < play.until) {
    if (now > END_MS) throw new RangeError("The play did not end.")
    for (const worker of workers) {
      endTasks(worker)
      if (play.showsProgress && now % REPORT_MS === 0) report(worker)
    }
    play.before?.(now, workers)
    for (; arrived < arrivals.length; arrived += 1) {
      const [number, job] = arrivals[arrived] ?? []
      if (number === undefined || !job || job.at > now) break
      const owner = createActiveJob(
        {...jobOf(number + 1, job.steps), queue: job.queue ?? QUEUE, workspace: job.workspace},
        NO_PROGRESS,
        now,
        false,
      )
      plans.set(owner, number)
      racks[number] = new Set()
      active.push(owner)
    }
    pass.run(
      {
        now,
        wallClock: now,
        activeJobs: [...active],
        workers: [...workers],
        workLimit: 400_000,
        queueOf: ({job}) => job.queue,
        mayStart: () => true,
        workspaceUses: useOfWorkspaces(),
        awaitsListing: () => false,
        urgentPriorities: new Map([[QUEUE.service, play.urgentPriority ?? QUEUE.priority]]),
        idleRequesters: 0,
      },
      actions,
    )
    now += STEP_MS
  }
  for (const {stepRuns} of active)
    for (const run of stepRuns) for (const index of run.waiting) recordWait(run, index)
  return {times, startDelays, waits: longestWaits, racks, lines}
}
