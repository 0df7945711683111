/** Waits for a rack in whole instances: a short wait, a rack that stays full, and workers that leave meanwhile. */
import test from "ava"
import type {ExecutionContext} from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import type {PipelineJob} from "../../src/pipelines/model.js"
import type {TestFleet} from "../support/fleet.js"
import {jobOf, listingOf, QUEUE, testFleet} from "../support/fleet.js"

const WHOLE_WORKER = {processors: 8, memoryMebibytes: 100, accelerators: 0}
const RUN_MS: Milliseconds = 300
const REMOTE_FACTOR = 3
/** The number of the job that fills the rack of the data, and of the job that wants to run there. */
const FILLER = 50
const WANTING = 60
const CHECKS = {...QUEUE, latencyTarget: 1000}

function isOf(task: string, number: number): boolean {
  return task.startsWith(`${number.toString(16).padStart(16, "0")}.`)
}

/** One worker holds the data, two on another rack are idle. */
function createFleet(fillerRunTime: Milliseconds): TestFleet {
  const fleet = testFleet({
    workers: 1,
    queues: [CHECKS],
    remoteFactor: REMOTE_FACTOR,
    planOf: task => ({
      demand: WHOLE_WORKER,
      duration: isOf(task, FILLER) ? fillerRunTime : RUN_MS,
      near: {rack: "r1", remoteFactor: REMOTE_FACTOR},
    }),
  })
  for (const id of ["far-1", "far-2"]) {
    const listing = listingOf(id, {rack: "r2", labels: ["a", "r2"]})
    fleet.workers.addWorker(listing)
    fleet.register(listing)
  }
  return fleet
}

function jobNear(number: number): PipelineJob {
  return jobOf(number, [{demand: WHOLE_WORKER, estimate: RUN_MS, preferredRack: "r1"}], {queue: CHECKS})
}

/** Lets the leader learn how long the tasks run. */
async function teach(fleet: TestFleet): Promise<void> {
  await fleet.clock.advance(6000)
  for (const number of [1, 2, 3]) {
    await fleet.submit("entry-1", jobNear(number))
    await fleet.clock.advance(1000)
  }
}

interface Seen {
  readonly worker: unknown
  /** Time from the answer to the submission until the start order. */
  readonly delay: Milliseconds
  readonly events: readonly string[]
}

/** Submits the job that wants the rack, and tells where and when it starts within the span. */
async function watchStart(fleet: TestFleet, span: Milliseconds): Promise<Seen> {
  const submittedAt = fleet.clock.now()
  await fleet.clock.advance(span)
  const start = fleet.logLines.find(
    ({event, fields}) => event === "start" && isOf(String(fields.task), WANTING),
  )
  const events = fleet.logLines
    .filter(({event, fields}) => event.startsWith("wait-") && isOf(String(fields.step), WANTING))
    .map(({event, fields}) => [event, fields.outcome].filter(Boolean).map(String).join(": "))
  return {
    worker: start?.fields.worker,
    delay: start ? start.at - submittedAt : Infinity,
    events,
  }
}

async function checkDone(t: ExecutionContext, fleet: TestFleet): Promise<void> {
  await fleet.clock.advance(6000)
  t.is(await fleet.stateAt("entry-1", jobNear(WANTING)), "completed")
  t.deepEqual(fleet.workers.violations(), [])
}

test("a task starts near its data after a short wait, though other racks are free", async t => {
  const fleet = createFleet(RUN_MS)
  await teach(fleet)
  await fleet.submit("entry-1", jobNear(FILLER))
  await fleet.clock.advance(100)
  await fleet.submit("entry-1", jobNear(WANTING))
  const seen = await watchStart(fleet, 1000)
  t.is(seen.worker, "worker-1")
  t.true(seen.delay > 100 && seen.delay < 300, `${seen.delay} ms`)
  t.deepEqual(seen.events, ["wait-begun", "wait-ended: near"])
  await checkDone(t, fleet)
})

test("a task that waits for a rack which stays full starts elsewhere within its bound", async t => {
  // The worker reports that the task is done all the time, so that each estimate says that the rack is free at once.
  const fleet = createFleet(8000)
  await teach(fleet)
  await fleet.submit("entry-1", jobNear(FILLER))
  await fleet.clock.advance(100)
  await fleet.submit("entry-1", jobNear(WANTING))
  const seen = await watchStart(fleet, 3000)
  t.regex(String(seen.worker), /^far-/)
  // The slower place costs twice the run time; a pass follows at the latest 200 ms later.
  t.true(seen.delay <= RUN_MS * (REMOTE_FACTOR - 1) + 250, `${seen.delay} ms`)
  t.is(seen.events[0], "wait-begun")
  t.regex(seen.events[1] ?? "", /^wait-ended: (limit|objective|too-long)$/)
  await checkDone(t, fleet)
})

test("the worker that holds the data drains while a task waits for it: the task starts elsewhere", async t => {
  const fleet = createFleet(500)
  await teach(fleet)
  await fleet.submit("entry-1", jobNear(FILLER))
  await fleet.clock.advance(20)
  fleet.register({...fleet.workers.listing("worker-1"), leaving: true})
  await fleet.submit("entry-1", jobNear(WANTING))
  const seen = await watchStart(fleet, 2000)
  t.regex(String(seen.worker), /^far-/)
  t.true(seen.delay < 450, `${seen.delay} ms`)
  t.true(seen.events.includes("wait-begun"))
  t.is(seen.events.at(-1), "wait-ended: no-prospect")
  await checkDone(t, fleet)
})

test("a new leader knows no run times: it lets tasks start at once", async t => {
  const fleet = createFleet(RUN_MS)
  await teach(fleet)
  const leader = fleet.leader()
  t.truthy(leader)
  if (leader !== undefined) fleet.kill(leader)
  await fleet.clock.advance(8000)
  const [entry = ""] = fleet.names()
  await fleet.submit(entry, jobNear(FILLER))
  await fleet.clock.advance(100)
  await fleet.submit(entry, jobNear(WANTING))
  const seen = await watchStart(fleet, 2000)
  t.regex(String(seen.worker), /^far-/)
  t.deepEqual(seen.events, ["wait-declined: unknown"])
  t.true(seen.delay < 100, `${seen.delay} ms`)
  t.deepEqual(fleet.workers.violations(), [])
})
