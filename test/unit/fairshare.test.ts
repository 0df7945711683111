/** Who goes first when there is too little for all: fair levels, and loads that are played over many scheduling passes. */
import test from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import type {Resources} from "../../src/core/resources.js"
import {NO_RESOURCES} from "../../src/core/resources.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import {fairLevel, rankTasks} from "../../src/pipelines/fairshare.js"
import type {Claim} from "../../src/pipelines/fairshare.js"
import type {Step} from "../../src/pipelines/model.js"
import {createPlanningPass} from "../../src/planner/planningpass.js"
import {assign, createActiveJob, createWorker, release} from "../../src/planner/state.js"
import type {ActiveJob, Assignment} from "../../src/planner/state.js"
import {jobOf, listingOf, QUEUE} from "../support/fleet.js"

function resources(processors: number, accelerators = 0): Resources {
  return {processors, memoryMebibytes: 0, accelerators}
}

function claim(wanted: Resources, weight = 1): Claim {
  return {weight, used: NO_RESOURCES, wanted}
}

const WHOLE = resources(100, 10)

test("with enough for all there is no fair level", t => {
  t.is(fairLevel([claim(resources(60)), claim(resources(40, 10))], WHOLE, WHOLE), Infinity)
})

test("what one does not want is the others', by their weights", t => {
  const level = fairLevel(
    [claim(resources(10)), claim(resources(500)), claim(resources(500), 2)],
    WHOLE,
    WHOLE,
  )
  t.is(level.toFixed(6), "0.300000", "10, 30 and 60 processors")
})

test("shares are those of the dominant resource", t => {
  const level = fairLevel([claim(resources(100, 1)), claim(resources(5, 10))], WHOLE, WHOLE)
  t.is(level.toFixed(6), (10 / 11).toFixed(6), "of 10 accelerators one has 10 times the use of the other")
})

test("tasks are within the share until it is used up, and one may cross it", t => {
  const ranksWith = (count: number, demand: number, used: number, weight = 1): readonly number[] =>
    Object.values(rankTasks(count, resources(demand), resources(used), weight, 0.2, WHOLE))
  t.deepEqual(ranksWith(30, 1, 0), [20, 0, 10])
  t.deepEqual(ranksWith(30, 3, 0), [6, 1, 23])
  t.deepEqual(ranksWith(30, 3, 0, 2), [13, 1, 16])
  t.deepEqual(ranksWith(5, 3, 0), [5, 0, 0])
  t.deepEqual(ranksWith(5, 30, 0), [0, 1, 4], "a share that is smaller than a task")
  t.deepEqual(ranksWith(5, 1, 20), [0, 0, 5])
  t.deepEqual(ranksWith(5, 0, 25), [0, 0, 5], "beyond the share in a dimension that the task does not need")
})

const TICK_MS = 50
const TASK_MS = 500
const WORKERS = 4
const MEAN_TASKS_A_TICK = (WORKERS * 8 * TICK_MS) / TASK_MS

interface Arrival {
  readonly workspace: string
  readonly step?: Partial<Step>
  readonly count?: number
}

interface Load {
  readonly weights: Readonly<Record<string, number>>
  /** Jobs that arrive at a tick. */
  readonly arrivals: (tick: number) => readonly Arrival[]
  readonly ticks?: number
  readonly areInherited?: boolean
}

/** Plays a load on workers with 32 processors. Returns the mean wait of tasks for their start, by workspace. */
function playLoad(load: Load): Readonly<Record<string, Milliseconds>> {
  const workers = Array.from({length: WORKERS}, (_, index) => {
    const listing = listingOf(`worker-${index}`)
    return Object.assign(createWorker(listing, true, 0), {
      isFenced: true,
      incarnation: listing.bornAt,
      isRecorded: true,
      isReachable: true,
    })
  })
  const workspaceUses = new Map(
    Object.entries(load.weights).map(([name, weight]) => [
      name,
      {limit: NO_RESOURCES, weight, occupied: NO_RESOURCES, longRunning: NO_RESOURCES},
    ]),
  )
  const pass = createPlanningPass(virtualClock(0))
  let active: ActiveJob[] = []
  let running: {readonly assignment: Assignment; readonly endsAt: Milliseconds}[] = []
  const waits = new Map<string, Milliseconds[]>()
  let number = 0
  for (let tick = 0; tick < (load.ticks ?? 200); tick += 1) {
    const now = 1000 + tick * TICK_MS
    for (const {assignment} of running.filter(({endsAt}) => endsAt <= now)) {
      release(assignment)
      assignment.run.waiting.delete(assignment.index)
    }
    running = running.filter(({endsAt}) => endsAt > now)
    active = active.filter(({stepRuns}) => stepRuns.some(run => run.waiting.size + run.assignments.size > 0))
    for (const {workspace, step = {}, count = 1} of load.arrivals(tick)) {
      for (let index = 0; index < count; index += 1) {
        number += 1
        const job = jobOf(number, [step], {workspace})
        active.push(
          createActiveJob(job, {outcome: undefined, done: {}, failures: {}}, now, load.areInherited ?? false),
        )
      }
    }
    pass.run(
      {
        now,
        wallClock: now,
        activeJobs: active,
        workers,
        workLimit: 400_000,
        queueOf: ({job}) => job.queue,
        mayStart: () => true,
        awaitsListing: () => false,
        urgentPriorities: new Map([[QUEUE.service, QUEUE.priority]]),
        idleRequesters: 0,
        workspaceUses,
      },
      {
        startTasks(run, chosen) {
          for (const worker of chosen) {
            const [index = 0] = run.waiting
            const assignment = assign(run, index, 1, worker, now)
            assignment.phase = "running"
            running.push({assignment, endsAt: now + TASK_MS})
            const name = run.owner.job.workspace ?? ""
            waits.set(name, [...(waits.get(name) ?? []), now - run.owner.arrivedAt])
          }
        },
        requestAdvice: () => undefined,
        preempt: () => undefined,
      },
    )
  }
  return Object.fromEntries(
    [...waits].map(([name, all]) => [name, all.reduce((sum, wait) => sum + wait, 0) / all.length]),
  )
}

/** One task in each tick, of `share` of what the workers can do. */
function steady(workspace: string, tick: number, share: number): readonly Arrival[] {
  const before = Math.floor(tick * MEAN_TASKS_A_TICK * share)
  const after = Math.floor((tick + 1) * MEAN_TASKS_A_TICK * share)
  return [{workspace, count: after - before}]
}

/** The mean time until a running task ends, when all workers are occupied and nothing is preempted. */
const NEXT_END_MS = TASK_MS / 2 + TICK_MS

const EQUAL = {north: 1, south: 1, east: 1, west: 1}

test("one workspace that sends seven times its usual holds up only itself", t => {
  const waits = playLoad({
    weights: EQUAL,
    arrivals: tick => [
      ...steady("north", tick, 1.4),
      ...["south", "east", "west"].flatMap(name => steady(name, tick, 0.2)),
    ],
  })
  for (const name of ["south", "east", "west"])
    t.true((waits[name] ?? Infinity) < NEXT_END_MS, JSON.stringify(waits))
  t.true((waits.north ?? 0) > 2 * NEXT_END_MS, JSON.stringify(waits))
})

test("several that send too much hold up only each other", t => {
  const waits = playLoad({
    weights: EQUAL,
    arrivals: tick => [
      ...["north", "south"].flatMap(name => steady(name, tick, 1)),
      ...["east", "west"].flatMap(name => steady(name, tick, 0.15)),
    ],
  })
  for (const name of ["east", "west"]) t.true((waits[name] ?? Infinity) < NEXT_END_MS, JSON.stringify(waits))
})

test("a small workspace that comes back after silence is served at once", t => {
  const waits = playLoad({
    weights: {north: 4, south: 1},
    arrivals: tick => [
      ...steady("north", tick, 1.5),
      ...(tick === 100 ? [{workspace: "south", count: 4}] : []),
    ],
  })
  t.true((waits.south ?? Infinity) < NEXT_END_MS, JSON.stringify(waits))
})

test("a wide step is within the share only in part, and many small ones do not wait for the rest of it", t => {
  const waits = playLoad({
    weights: EQUAL,
    arrivals: tick => [
      ...(tick === 0 ? [{workspace: "north", step: {count: 400}}] : []),
      ...["south", "east", "west"].flatMap(name => steady(name, tick, 0.25)),
    ],
    ticks: 100,
  })
  for (const name of ["south", "east", "west"])
    t.true((waits[name] ?? Infinity) < NEXT_END_MS, JSON.stringify(waits))
})

test("a gang of a workspace within its share starts beside the singles of one that sends too much", t => {
  const waits = playLoad({
    weights: {north: 1, south: 1},
    arrivals: tick => [
      ...steady("north", tick, 2),
      ...(tick % 40 === 20 ? [{workspace: "south", step: {count: 8, gang: true}}] : []),
    ],
  })
  t.true((waits.south ?? Infinity) < 1000, JSON.stringify(waits))
})

test("after a takeover with everything at once, each workspace has its part from the first pass on", t => {
  const waits = playLoad({
    weights: EQUAL,
    arrivals: tick =>
      tick === 0
        ? [
            {workspace: "north", count: 300},
            ...["south", "east", "west"].map(workspace => ({workspace, count: 8})),
          ]
        : [],
    areInherited: true,
  })
  for (const name of ["south", "east", "west"]) t.true((waits[name] ?? Infinity) < 600, JSON.stringify(waits))
})

test("of two wide steps each has its part", t => {
  const wide = (workspace: string): Arrival => ({workspace, step: {count: 400}})
  const arrivals = [wide("north"), wide("south")]
  const waits = playLoad({weights: {north: 1, south: 1}, arrivals: () => arrivals, ticks: 1})
  t.deepEqual(waits, {north: 0, south: 0})
})

test("workspaces that want too much have their parts by weight", t => {
  const waits = playLoad({
    weights: {north: 3, south: 1},
    arrivals: tick =>
      tick === 0
        ? [
            {workspace: "south", count: 200},
            {workspace: "north", count: 24},
          ]
        : [],
    ticks: 10,
  })
  t.is(waits.north, 0, "three quarters of 32 processors")
})

test("a workspace that wants a little more than its share is ordered by due time", t => {
  const arrivals = (first: number): readonly Arrival[] => [
    {workspace: "north", count: first},
    {workspace: "south", count: 32},
  ]
  const weights = {north: 1, south: 1}
  const waits = playLoad({weights, arrivals: tick => (tick === 0 ? arrivals(32) : []), ticks: 10})
  t.deepEqual(waits, {north: 0}, "all that was handed in first starts first")
  const flooded = playLoad({weights, arrivals: tick => (tick === 0 ? arrivals(320) : []), ticks: 10})
  t.deepEqual(flooded, {north: 0, south: 0})
})

test("no capacity is left idle for shares", t => {
  const waits = playLoad({
    weights: EQUAL,
    arrivals: tick => (tick === 0 ? [{workspace: "north", count: 64}] : []),
  })
  t.is(waits.north, TASK_MS / 2, "half of it starts at once and the rest when that has ended")
})
