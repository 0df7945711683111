/**
 * Plays scheduling passes against workers that run what they are given, on a clock that the play advances. There is no
 * store, no network and no second leader: only what the passes decide, and when the jobs of the callers end.
 */
import type {Milliseconds} from "../../src/core/clock.js"
import type {Queue, Step} from "../../src/pipelines/model.js"
import {applyProgress, NO_PROGRESS} from "../../src/pipelines/progress.js"
import {createLearnedRuns} from "../../src/planner/learnedruns.js"
import {createNearWaits, NO_NEAR_WAITS} from "../../src/planner/nearwaits.js"
import type {PassActions} from "../../src/planner/planningpass.js"
import {createPlanningPass} from "../../src/planner/planningpass.js"
import type {ActiveJob, Assignment, WorkerState} from "../../src/planner/state.js"
import {assign, createActiveJob, createWorker, release, toTaskName} from "../../src/planner/state.js"
import {jobOf, listingOf, QUEUE} from "./fleet.js"

export interface PlayedJob {
  readonly at: Milliseconds
  readonly steps: readonly Partial<Step>[]
  /** Run time of each task near its data. */
  readonly runTime: Milliseconds
  readonly queue?: Queue
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
  /** Called before the pass at each instant. */
  readonly before?: (now: Milliseconds, workers: WorkerState[]) => void
}

export interface Played {
  /** For each job, the time from its arrival to its end. */
  readonly times: readonly Milliseconds[]
  /** For each job, the longest time until a task of it started. */
  readonly startDelays: readonly Milliseconds[]
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
  const waits = play.waits ? createNearWaits(clock, log, play.remoteFactor, learned) : NO_NEAR_WAITS
  const pass = createPlanningPass(clock, waits)
  const workers = Object.entries(play.racks).flatMap(([rack, count]) =>
    Array.from({length: count}, (_, index) => usableWorker(`${rack}-${index}`, rack)),
  )
  const active: ActiveJob[] = []
  const plans = new Map<ActiveJob, number>()
  const times: Milliseconds[] = []
  const startDelays: Milliseconds[] = []
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
        racks[number]?.add(worker.listing.rack)
      }
    },
    requestAdvice: () => undefined,
    preempt: () => undefined,
  }

  function durationOf({run, worker}: Assignment): Milliseconds {
    const {step, owner} = run
    const runTime = play.jobs[plans.get(owner) ?? 0]?.runTime ?? 0
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

  let arrived = 0
  const arrivals = [...play.jobs.entries()].sort(([, one], [, other]) => one.at - other.at)
  while (arrived < arrivals.length || active.length > 0) {
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
        {...jobOf(number + 1, job.steps), queue: job.queue ?? QUEUE},
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
        workspaceUses: new Map(),
        awaitsListing: () => false,
        urgentPriorities: new Map([[QUEUE.service, QUEUE.priority]]),
        idleRequesters: 0,
      },
      actions,
    )
    now += STEP_MS
  }
  return {times, startDelays, racks, lines}
}
