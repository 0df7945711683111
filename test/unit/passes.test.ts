/** Tests of scheduling passes under a backlog that is longer than one pass can handle. */
import test from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {Queue, Step} from "../../src/pipelines/model.js"
import type {PassView} from "../../src/planner/opensteps.js"
import {INITIAL_WORK_LIMIT, nextWorkLimit} from "../../src/planner/passbudget.js"
import {pauseBeforePass} from "../../src/planner/passinterval.js"
import {createPlanningPass} from "../../src/planner/planningpass.js"
import type {PassActions} from "../../src/planner/planningpass.js"
import {assign, createActiveJob, createWorker, release} from "../../src/planner/state.js"
import type {ActiveJob, Assignment, WorkerState} from "../../src/planner/state.js"
import {jobOf, listingOf, QUEUE, STEP} from "../support/fleet.js"

const LATE_QUEUE: Queue = {...QUEUE, name: "reports", priority: 2}

function usableWorkers(count: number, onRead: () => void = () => undefined): WorkerState[] {
  return Array.from({length: count}, (_, index) => {
    const listing = listingOf(`worker-${index}`)
    const worker = Object.assign(createWorker(listing, true, 0), {
      isFenced: true,
      incarnation: listing.bornAt,
      isRecorded: true,
      isReachable: true,
    })
    return Object.defineProperty(worker, "used", {
      get() {
        onRead()
        return {
          processors: [...worker.assignments.values()].reduce(
            (sum, {run}) => sum + run.step.demand.processors,
            0,
          ),
          memoryMebibytes: 0,
          accelerators: 0,
        }
      },
      set: () => undefined,
    })
  })
}

function waitingJob(number: number, step: Partial<Step>, queue: Queue = QUEUE): ActiveJob {
  return createActiveJob(
    {...jobOf(number, [step]), queue},
    {outcome: undefined, done: {}, failures: {}},
    number,
    false,
  )
}

/** Steps that fit on no worker. No step demands more than one before it in every resource. */
function unplaceableJobs(count: number): readonly ActiveJob[] {
  return Array.from({length: count}, (_, index) =>
    waitingJob(index, {
      demand: {...STEP.demand, processors: 9 + count - index, memoryMebibytes: index + 1},
    }),
  )
}

function viewOf(
  now: Milliseconds,
  activeJobs: readonly ActiveJob[],
  workers: readonly WorkerState[],
  workLimit: number,
): PassView {
  const view = {
    now,
    wallClock: now,
    activeJobs,
    workers,
    workLimit,
    queueOf: (active: ActiveJob) => active.job.queue,
    mayStart: () => true,
    awaitsListing: () => false,
    urgentPriorities: new Map([[QUEUE.service, QUEUE.priority]]),
    idleRequesters: 0,
    workspaceUses: new Map(),
  }
  return view
}

/** Actions that record the number of each job of which a task starts. */
function recordStarts(started: number[], now: Milliseconds): PassActions {
  return {
    startTasks(run, workers) {
      for (const worker of workers) {
        const [index = 0] = run.waiting
        assign(run, index, 1, worker, now)
        started.push(Number.parseInt(run.owner.job.id, 16))
      }
    },
    requestAdvice: () => undefined,
    preempt: () => undefined,
  }
}

test("a backlog does not occupy the leader: the work of a pass stays the same when more steps wait", t => {
  const readsWith = (waiting: number): number => {
    let reads = 0
    const workers = usableWorkers(50, () => {
      reads += 1
    })
    createPlanningPass(virtualClock(0)).run(
      viewOf(1000, unplaceableJobs(waiting), workers, 2000),
      recordStarts([], 1000),
    )
    return reads
  }
  const few = readsWith(200)
  t.true(few > 0 && readsWith(2000) <= few)
})

const ADVISED_QUEUE: Queue = {...QUEUE, advice: {base: 20, perWorker: 1, ticketLife: 1500}}

test("a backlog does not occupy the leader: steps that wait for advice do not look at workers", t => {
  const readsWith = (waiting: number): number => {
    let reads = 0
    const workers = usableWorkers(50, () => {
      reads += 1
    })
    const jobs = Array.from({length: waiting}, (_, index) => waitingJob(index, {}, ADVISED_QUEUE))
    for (const {stepRuns} of jobs) for (const run of stepRuns) run.isAwaitingAdvice = true
    createPlanningPass(virtualClock(0)).run(viewOf(1000, jobs, workers, 400_000), recordStarts([], 1000))
    return reads
  }
  t.is(readsWith(100), readsWith(0))
})

test("a step with a valid ticket starts while a call for more tickets is in flight", t => {
  const job = waitingJob(7, {}, ADVISED_QUEUE)
  const workers = usableWorkers(2)
  for (const run of job.stepRuns) {
    run.isAwaitingAdvice = true
    run.policyVerdicts.set("worker-1", true)
    run.tickets.set("worker-1", {ticket: "ticket", expiresAt: 2000})
  }
  const started: number[] = []
  createPlanningPass(virtualClock(0)).run(viewOf(2000, [job], workers, 400_000), recordStarts(started, 2000))
  t.deepEqual(started, [], "the ticket has expired")
  createPlanningPass(virtualClock(0)).run(viewOf(1000, [job], workers, 400_000), recordStarts(started, 1000))
  t.deepEqual(started, [7])
})

test("a backlog does not occupy the leader: passes take at most a third of its time", t => {
  for (const duration of [5, 20, 100, 200]) t.true(pauseBeforePass(duration) >= 2 * duration)
  t.true(pauseBeforePass(60_000) <= 1000, "a process that was suspended during a pass soon plans again")
})

test("a long backlog does not slow starts down: the time to list it is not taken from the time to handle it", t => {
  const startsWith = (waiting: number): number => {
    const clock = virtualClock(1000)
    let now = 1000
    const pass = createPlanningPass({...clock, now: () => now})
    const workers = usableWorkers(20)
    const jobs = Array.from({length: waiting}, (_, index) => waitingJob(index, {}))
    let limit = INITIAL_WORK_LIMIT
    let starts = 0
    for (let run = 0; run < 20; run += 1) {
      const begunAt = now
      starts = 0
      const started: Assignment[] = []
      const view: PassView = {
        ...viewOf(1000, jobs, workers, limit),
        queueOf(active) {
          now += 0.01
          return active.job.queue
        },
      }
      const {preparation, work, workDuration} = pass.run(view, {
        ...recordStarts([], now),
        startTasks(step, chosen) {
          for (const worker of chosen) {
            now += 0.2
            starts += 1
            const [index = 0] = step.waiting
            started.push(assign(step, index, 1, worker, now))
          }
        },
      })
      t.true(workDuration < now - begunAt)
      limit = preparation + nextWorkLimit(limit - preparation, work, workDuration)
      started.forEach(release)
    }
    return starts
  }
  const few = startsWith(100)
  t.true(few > 0 && startsWith(3000) >= few / 2, `${few}, ${startsWith(3000)}`)
})

test("urgent work does not wait long for a pass, however slow the machine and however long the backlog", t => {
  for (const workPerMillisecond of [50, 200, 1000, 5000, 20_000]) {
    let limit = INITIAL_WORK_LIMIT
    const durations = Array.from({length: 12}, () => {
      const duration = limit / workPerMillisecond
      limit = nextWorkLimit(limit, limit, duration)
      return duration
    })
    for (const duration of durations.slice(1)) t.true(duration + pauseBeforePass(duration) <= 150)
    // A suspension of the process delays no later pass by much, and the limit recovers.
    limit = nextWorkLimit(limit, limit, 5000)
    for (let pass = 0; pass < 10; pass += 1) limit = nextWorkLimit(limit, limit, limit / workPerMillisecond)
    t.true(limit >= Math.min(2000, 10 * workPerMillisecond))
  }
  t.is(nextWorkLimit(10_000, 100, 1), 10_000, "a pass with little to do says nothing about the speed")
})

test("steps that cannot be placed do not starve those behind them, and the most urgent start first", t => {
  const workers = usableWorkers(20)
  const placeable = (number: number, queue?: Queue): ActiveJob => waitingJob(number, {}, queue)
  const urgent = placeable(0)
  const jobs = [
    urgent,
    ...unplaceableJobs(400).slice(1),
    ...Array.from({length: 40}, (_, index) => placeable(1000 + index)),
    ...Array.from({length: 40}, (_, index) => placeable(2000 + index, LATE_QUEUE)),
  ]
  const pass = createPlanningPass(virtualClock(0))
  const started: number[] = []
  let passes = 0
  for (; passes < 100 && started.length < 81; passes += 1) {
    pass.run(viewOf(1000 + passes * 50, jobs, workers, 2000), recordStarts(started, 1000))
    if (passes === 0) t.is(started[0], 0)
  }
  t.is(started.length, 81)
  t.true(passes > 1, "one pass cannot look at all of them")
})

test("gangs that wait for capacity make no calls for advice, so that steps with capacity get theirs", t => {
  const advice = {base: 559, perWorker: 8, ticketLife: 2000}
  const gangQueue: Queue = {...QUEUE, name: "gangs", priority: 1, advice}
  const laterQueue: Queue = {...LATE_QUEUE, advice}
  // Five of them need less than what is free in all, but only four find room, one on each worker.
  const demand = {processors: 2.1, memoryMebibytes: 100, accelerators: 0}
  const gangs = Array.from({length: 20}, (_, index) =>
    waitingJob(index, {count: 5, gang: true, demand}, gangQueue),
  )
  const small = waitingJob(100, {count: 2}, laterQueue)
  const workers = usableWorkers(4)
  const filler = waitingJob(200, {count: 4, demand: {...demand, processors: 4}})
  const [fillerRun] = filler.stepRuns
  if (!fillerRun) throw new RangeError("The job has no step.")
  const fillers = workers.map((worker, index) => assign(fillerRun, index, 1, worker, 0))
  const asked: string[] = []
  const runPass = (now: Milliseconds): void => {
    const actions: PassActions = {
      startTasks: () => undefined,
      requestAdvice: run => void asked.push(run.owner.job.queue.name),
      preempt: () => undefined,
    }
    createPlanningPass(virtualClock(0)).run(viewOf(now, [...gangs, small], workers, 400_000), actions)
  }
  runPass(1000)
  t.deepEqual(asked, ["reports"])
  for (const assignment of fillers) release(assignment)
  runPass(1100)
  t.is(asked.filter(name => name === "gangs").length, gangs.length)
})
