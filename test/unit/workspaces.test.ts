/** The room of workspaces under their limits, and what a scheduling pass does for steps that the limits hold. */
import test from "ava"
import type {Resources} from "../../src/core/resources.js"
import {NO_RESOURCES} from "../../src/core/resources.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {Queue, Step} from "../../src/pipelines/model.js"
import type {WaitingTasks, WorkspaceUse} from "../../src/pipelines/workspaceroom.js"
import {createWorkspaceRoom} from "../../src/pipelines/workspaceroom.js"
import type {PassView} from "../../src/planner/opensteps.js"
import {createPlanningPass} from "../../src/planner/planningpass.js"
import type {PassResult} from "../../src/planner/planningpass.js"
import {assign, createActiveJob, createWorker} from "../../src/planner/state.js"
import type {ActiveJob, WorkerState} from "../../src/planner/state.js"
import {createWorkspaceUses} from "../../src/planner/workspaceuse.js"
import {jobOf, listingOf, QUEUE} from "../support/fleet.js"

function resources(processors: number, accelerators = 0, memoryMebibytes = 0): Resources {
  return {processors, memoryMebibytes, accelerators}
}

function use(limit: Resources, occupied = NO_RESOURCES, longRunning = NO_RESOURCES): WorkspaceUse {
  return {limit, weight: 1, occupied, longRunning}
}

function tasks(waiting: number, demand: Resources, rest: Partial<Step> = {}): WaitingTasks {
  return {workspace: "north", step: {demand, gang: false, lasting: false, ...rest}, waiting, restarts: 0}
}

function roomOf(one: WorkspaceUse): ReturnType<typeof createWorkspaceRoom> {
  return createWorkspaceRoom(new Map([["north", one]]))
}

test("tasks start as far as the limit has room, in each limited dimension", t => {
  const room = roomOf(use(resources(10, 2), resources(3)))
  t.is(room.countStartable(tasks(20, resources(2))), 3)
  t.is(room.countStartable(tasks(20, resources(1, 1))), 2)
  t.is(room.countStartable(tasks(20, resources(0, 0, 1000))), 20, "0 is no limit")
  room.occupy(tasks(3, resources(2)), 3)
  t.is(room.countStartable(tasks(20, resources(2))), 0)
  t.is(room.countStartable({...tasks(20, resources(2)), workspace: undefined}), 20)
  t.is(room.countStartable({...tasks(20, resources(2)), workspace: "south"}), 20)
})

test("a gang starts whole or not at all", t => {
  const room = roomOf(use(resources(10), resources(3)))
  t.is(room.countStartable(tasks(7, resources(1), {gang: true})), 7)
  t.is(room.countStartable(tasks(8, resources(1), {gang: true})), 0)
})

test("fractions of a processor add up to the limit", t => {
  const room = roomOf(use(resources(0.3)))
  for (let count = 0; count < 3; count += 1) {
    t.is(room.countStartable(tasks(1, resources(0.1))), 1)
    room.occupy(tasks(1, resources(0.1)), 1)
  }
  t.is(room.countStartable(tasks(1, resources(0.1))), 0)
})

test("nothing starts while a lowered limit is exceeded in any dimension", t => {
  const room = roomOf(use(resources(10, 2), resources(1, 4)))
  t.is(room.countStartable(tasks(1, resources(1))), 0)
})

test("a task that is larger than the limit runs beside nothing but long-running tasks, and one at a time", t => {
  const large = tasks(3, resources(12))
  t.is(roomOf(use(resources(10))).countStartable(large), 1)
  t.is(roomOf(use(resources(10), resources(1))).countStartable(large), 0)
  const room = roomOf(use(resources(10), resources(4), resources(4)))
  t.is(room.countStartable(large), 1)
  room.occupy(large, 1)
  t.is(room.countStartable(large), 0)
  t.is(room.countStartable(tasks(1, resources(1))), 0)
  t.is(room.whyHeld(large), "limit")
})

test("a gang may exceed the limit by one task, and a larger one never starts", t => {
  t.is(roomOf(use(resources(10))).countStartable(tasks(3, resources(5), {gang: true})), 3)
  const larger = tasks(4, resources(5), {gang: true})
  t.is(roomOf(use(resources(10))).countStartable(larger), 0)
  t.is(roomOf(use(resources(10))).whyHeld(larger), "exceeds-limit")
})

test("a gang or large task that waits for room is not starved by smaller ones that rank after it", t => {
  const gang = tasks(8, resources(1), {gang: true})
  const room = roomOf(use(resources(10, 4), resources(4), resources(1)))
  t.is(room.countStartable(gang), 0)
  room.hold(gang)
  t.is(room.countStartable(tasks(1, resources(1))), 0)
  t.is(room.countStartable(tasks(9, resources(0, 1))), 4, "other dimensions are not kept")
})

test("no room is kept that long-running tasks will not leave", t => {
  const room = roomOf(use(resources(10), resources(4), resources(4)))
  const gang = tasks(8, resources(1), {gang: true})
  room.hold(gang)
  t.is(room.countStartable(tasks(9, resources(1))), 6)
})

test("tasks that may run unseen count within the capacity of the workers that may run them", t => {
  const job = createActiveJob(
    jobOf(1, [{count: 20}], {workspace: "north"}),
    {outcome: undefined, done: {}, failures: {}},
    0,
    true,
  )
  const configuration = {
    version: 1,
    queues: [],
    services: [],
    workspaces: [{name: "north", keys: [], weight: 1, limit: resources(30)}],
    bodyLimit: 0,
  }
  const occupiedWith = (mayRunUnseen: boolean, capacity: number): number | undefined =>
    createWorkspaceUses()
      .update(configuration, {
        activeJobs: [job],
        mayRunUnseen: () => mayRunUnseen,
        unseenCapacity: () => resources(capacity, 9, 1e6),
        remainingRuns: [],
      })
      .get("north")?.occupied.processors
  t.is(occupiedWith(false, 8), 0)
  t.is(occupiedWith(true, 8), 8)
  t.is(occupiedWith(true, 100), 20)
})

const ADVISED: Queue = {...QUEUE, priority: 1, advice: {base: 20, perWorker: 1, ticketLife: 1500}}
const URGENT: Queue = {...QUEUE, name: "urgent"}

function usableWorkers(count: number): readonly WorkerState[] {
  return Array.from({length: count}, (_, index) => {
    const listing = listingOf(`worker-${index}`)
    return Object.assign(createWorker(listing, true, 0), {
      isFenced: true,
      incarnation: listing.bornAt,
      isRecorded: true,
      isReachable: true,
    })
  })
}

function jobIn(workspace: string, number: number, step: Partial<Step>, queue: Queue = QUEUE): ActiveJob {
  return createActiveJob(
    {...jobOf(number, [step], {workspace}), queue},
    {outcome: undefined, done: {}, failures: {}},
    number,
    false,
  )
}

/** Runs one pass. Returns its result, and by job number how many tasks it started, asked for and preempted for. */
function runPass(
  jobs: readonly ActiveJob[],
  workers: readonly WorkerState[],
  uses: ReadonlyMap<string, WorkspaceUse>,
): PassResult & {readonly started: string[]; readonly asked: string[]; readonly preempting: string[]} {
  const [started, asked, preempting]: [string[], string[], string[]] = [[], [], []]
  const view: PassView = {
    now: 2500,
    wallClock: 2500,
    activeJobs: jobs,
    workers,
    workLimit: 400_000,
    queueOf: active => active.job.queue,
    mayStart: () => true,
    awaitsListing: () => false,
    urgentPriorities: new Map([[QUEUE.service, QUEUE.priority]]),
    idleRequesters: 10,
    workspaceUses: uses,
  }
  const result = createPlanningPass(virtualClock(0)).run(view, {
    startTasks(run, chosen) {
      for (const worker of chosen) {
        const [index = 0] = run.waiting
        assign(run, index, 1, worker, 2500)
        started.push(run.owner.job.workspace ?? "")
      }
    },
    requestAdvice: run => void asked.push(run.owner.job.workspace ?? ""),
    preempt: run => void preempting.push(run.owner.job.workspace ?? ""),
  })
  return {...result, started, asked, preempting}
}

test("a step that is held asks for no advice and preempts for nothing", t => {
  const workers = usableWorkers(2)
  const long = {count: 2, demand: resources(8), checkpointing: true, estimate: 9000}
  const running = jobIn("south", 1, long, {...QUEUE, priority: 2})
  running.stepRuns.forEach(run =>
    workers.forEach((worker, index) => {
      assign(run, index, 1, worker, 0).phase = "running"
    }),
  )
  const urgent = [jobIn("north", 2, {demand: resources(8)}, URGENT), jobIn("north", 3, {}, ADVISED)]
  const held = runPass([running, ...urgent], workers, new Map([["north", use(resources(8), resources(8))]]))
  t.deepEqual([held.started, held.asked, held.preempting], [[], [], []])
  t.is(held.heldSteps.length, 2)
  const free = runPass([running, ...urgent], workers, new Map([["north", use(resources(9))]]))
  t.deepEqual([free.asked, free.preempting], [["north"], ["north"]])
})

test("a lasting task asks for advice although a step before it has claimed the room of its workspace", t => {
  const workers = usableWorkers(2)
  const running = jobIn("south", 1, {count: 2, demand: resources(5)}, {...QUEUE, priority: 2})
  running.stepRuns.forEach(run => workers.forEach((worker, index) => assign(run, index, 1, worker, 0)))
  const large = jobIn("north", 2, {demand: resources(6)}, URGENT)
  const lasting = jobIn("north", 3, {lasting: true, demand: resources(2)}, {...ADVISED, priority: 1})
  const {asked} = runPass([running, large, lasting], workers, new Map([["north", use(resources(7))]]))
  t.deepEqual(asked, ["north"])
})

test("a workspace at its limit withholds no capacity from others", t => {
  const startsWith = (limit: number): number => {
    const workers = usableWorkers(4)
    const held = jobIn("north", 1, {count: 4, demand: resources(8)}, URGENT)
    const busy = jobIn("south", 2, {count: 16, demand: resources(1)})
    busy.stepRuns.forEach(run => {
      for (let index = 0; index < 16; index += 1)
        assign(run, index, 1, workers[Math.floor(index / 4)] ?? createWorker(listingOf("x"), true, 0), 0)
    })
    const other = jobIn("south", 3, {count: 8}, {...QUEUE, priority: 2})
    return runPass([held, busy, other], workers, new Map([["north", use(resources(limit), resources(7))]]))
      .started.length
  }
  t.is(startsWith(7), 8)
  t.true(startsWith(100) < 8, "a step with room has capacity reserved")
})

test("a workspace claims no more capacity than its limit admits", t => {
  const workers = usableWorkers(4)
  const waiting = Array.from({length: 10}, (_, index) => jobIn("north", index, {}, ADVISED))
  const {asked} = runPass(waiting, workers, new Map([["north", use(resources(2))]]))
  t.is(asked.length, 2)
})

test("a running task is stopped for another workspace only if its own still has its share without it", t => {
  /** Its work is due after that of the running tasks. */
  const patient = {...QUEUE, latencyTarget: 1e6}
  const preemptingWith = (northWaits: number): readonly string[] => {
    const workers = usableWorkers(4)
    const long = {demand: resources(8), checkpointing: true, estimate: 90_000}
    const north = jobIn("north", 1, {...long, count: 4 + northWaits})
    north.stepRuns.forEach(run =>
      workers.forEach((worker, index) => {
        assign(run, index, 1, worker, 0).phase = "running"
      }),
    )
    const south = jobIn("south", 2, {demand: resources(8)}, patient)
    const unlimited = use(NO_RESOURCES)
    const uses = new Map([
      ["north", unlimited],
      ["south", unlimited],
      ["east", unlimited],
    ])
    return runPass([north, south], workers, uses).preempting
  }
  t.deepEqual(preemptingWith(100), ["south"])
  t.deepEqual(preemptingWith(0), [], "without far too much work of the other, due times decide")
  const workers = usableWorkers(1)
  const gang = {demand: resources(4), checkpointing: true, estimate: 90_000, gang: true, count: 2}
  const [north, south] = [jobIn("north", 1, gang), jobIn("south", 2, {...gang, estimate: 500}, patient)]
  north.stepRuns.forEach(run =>
    [0, 1].forEach(index => {
      assign(run, index, 1, workers[0] ?? createWorker(listingOf("x"), true, 0), 0).phase = "running"
    }),
  )
  const uses = new Map([
    ["north", {...use(NO_RESOURCES), weight: 0.1}],
    ["south", use(NO_RESOURCES)],
  ])
  t.deepEqual(runPass([north, south], workers, uses).preempting, [], "the only gang of a small workspace")
})
