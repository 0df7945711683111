/** The limits of workspaces, seen from the workers: no start brings what a workspace has running above its limit. */
import test from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import {seededRandom} from "../../src/core/random.js"
import type {FleetConfiguration, PipelineJob, Step, Workspace} from "../../src/pipelines/model.js"
import {jobOf, listingOf, STEP, testFleet} from "../support/fleet.js"
import type {FleetOptions, TestFleet} from "../support/fleet.js"

const STEP_MS = 10

function workspace(name: string, processors: number): Workspace {
  return {name, keys: [], weight: 1, limit: {processors, memoryMebibytes: 0, accelerators: 0}}
}

function limits(...workspaces: readonly Workspace[]): Partial<FleetConfiguration> {
  return {workspaces}
}

function jobIn(name: string, number: number, step: Partial<Step>): PipelineJob {
  return jobOf(number, [step], {workspace: name})
}

/** The running tasks of the jobs. */
function countRunning(fleet: TestFleet, jobs: readonly PipelineJob[]): number {
  return fleet.workers.running().filter(task => jobs.some(({id}) => task.startsWith(id))).length
}

/** The highest number of running tasks of the jobs within the span. */
async function peakWithin(
  fleet: TestFleet,
  jobs: readonly PipelineJob[],
  span: Milliseconds,
): Promise<number> {
  let peak = countRunning(fleet, jobs)
  for (let passed = 0; passed < span; passed += STEP_MS) {
    await fleet.clock.advance(STEP_MS)
    peak = Math.max(peak, countRunning(fleet, jobs))
  }
  return peak
}

async function startFleet(
  configuration: Partial<FleetConfiguration>,
  options: FleetOptions = {},
): Promise<TestFleet> {
  const fleet = testFleet(options)
  fleet.configure(configuration)
  await fleet.clock.advance(3000)
  return fleet
}

function tasksOf(duration: Milliseconds): FleetOptions {
  return {planOf: () => ({demand: STEP.demand, duration})}
}

const LONG = tasksOf(2500)
/** Longer than a takeover and the leases of tasks. */
const VERY_LONG = tasksOf(7000)

test("a workspace has no more running than its limit, and holds up no other", async t => {
  const fleet = await startFleet(limits(workspace("north", 4), workspace("south", 0)))
  const wide = jobIn("north", 1, {count: 20})
  const other = jobIn("south", 2, {count: 20})
  await fleet.submit("entry-1", wide)
  await fleet.submit("entry-2", other)
  const otherPeak = peakWithin(fleet, [other], 300)
  t.is(await otherPeak, 20, "another workspace starts at once")
  t.is(await peakWithin(fleet, [wide], 4000), 4)
  t.is(await fleet.stateAt("entry-1", wide), "completed")
  const held = fleet.logLines.filter(({event}) => event === "step-held")
  t.deepEqual(
    held.map(({fields}) => [fields.workspace, fields.reason, fields.step]),
    [["north", "limit", `${wide.id}.0.0`]],
    "one line for each step that is held",
  )
})

test("a job without a workspace has no limit", async t => {
  const fleet = await startFleet(limits(workspace("north", 1)))
  const job = jobOf(1, [{count: 10}])
  await fleet.submit("entry-1", job)
  t.is(await peakWithin(fleet, [job], 300), 10)
})

test("a lowered limit stops nothing and starts nothing until there is room, a raised one takes effect at once", async t => {
  const fleet = await startFleet(limits(workspace("north", 8)), LONG)
  const first = jobIn("north", 1, {count: 8})
  const second = jobIn("north", 2, {count: 8})
  await fleet.submit("entry-1", first)
  t.is(await peakWithin(fleet, [first], 300), 8)
  fleet.configure(limits(workspace("north", 2)))
  await fleet.clock.advance(1000)
  await fleet.submit("entry-1", second)
  t.is(await peakWithin(fleet, [second], 1000), 0)
  t.is(countRunning(fleet, [first]), 8)
  t.is(await peakWithin(fleet, [first, second], 1500), 8)
  t.is(countRunning(fleet, [second]), 2)
  fleet.configure(limits(workspace("north", 6)))
  t.is(await peakWithin(fleet, [second], 1000), 6)
})

test("a workspace that the configuration names no longer keeps its last limit while it has jobs", async t => {
  const fleet = await startFleet(limits(workspace("north", 2)), LONG)
  const job = jobIn("north", 1, {count: 6})
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(300)
  fleet.configure(limits(workspace("south", 2)))
  t.is(await peakWithin(fleet, [job], 9000), 2)
  t.is(await fleet.stateAt("entry-1", job), "completed")
})

// A new leader knows nothing of the runs at a worker that it cannot reach until their leases have expired.
test("the limit is kept through a takeover with a worker out of reach", async t => {
  const fleet = await startFleet(limits(workspace("north", 6)), {...VERY_LONG, workers: 1})
  const inherited = jobIn("north", 1, {count: 6})
  await fleet.submit("entry-1", inherited)
  t.is(await peakWithin(fleet, [inherited], 300), 6)
  const leader = fleet.leader() ?? ""
  fleet.workers.addWorker(listingOf("worker-2"))
  fleet.register(listingOf("worker-2"))
  await fleet.clock.advance(1000)
  const [follower = ""] = fleet.names().filter(name => name !== leader)
  for (const name of fleet.names()) if (name !== leader) fleet.workers.disconnect("worker-1", name)
  fleet.kill(leader)
  const fresh = jobIn("north", 2, {count: 6})
  await fleet.clock.advance(1500)
  t.is(countRunning(fleet, [inherited]), 6, "the tasks of the former leader still run")
  await fleet.submit(follower, fresh)
  t.is(await peakWithin(fleet, [inherited, fresh], 6000), 6)
  fleet.workers.reconnect("worker-1")
  await fleet.clock.advance(40_000)
  t.is(await fleet.stateAt(follower, fresh), "completed")
  t.is(await fleet.stateAt(follower, inherited), "completed")
})

test("the runs of a job that was cancelled under an earlier leader count until they have ended", async t => {
  const fleet = await startFleet(limits(workspace("north", 6)), {...VERY_LONG, workers: 1})
  const cancelled = jobIn("north", 1, {count: 6})
  await fleet.submit("entry-1", cancelled)
  const leader = fleet.leader() ?? ""
  fleet.workers.addWorker(listingOf("worker-2"))
  fleet.register(listingOf("worker-2"))
  await fleet.clock.advance(1000)
  t.is(countRunning(fleet, [cancelled]), 6)
  const [follower = ""] = fleet.names().filter(name => name !== leader)
  fleet.workers.disconnect("worker-1")
  void fleet.instance(leader).intake.cancel(cancelled.id)
  await fleet.clock.advance(200)
  fleet.kill(leader)
  await fleet.clock.advance(1000)
  const fresh = jobIn("north", 2, {count: 6})
  await fleet.submit(follower, fresh)
  t.is(countRunning(fleet, [cancelled]), 6)
  t.is(await peakWithin(fleet, [cancelled, fresh], 6000), 6)
  fleet.workers.reconnect("worker-1")
  await fleet.clock.advance(40_000)
  t.is(await fleet.stateAt(follower, fresh), "completed")
})

test("a job that ends under a new leader counts while a worker out of reach may run it", async t => {
  const fleet = await startFleet(limits(workspace("north", 6)), {...VERY_LONG, workers: 1})
  const inherited = jobIn("north", 1, {count: 6})
  await fleet.submit("entry-1", inherited)
  const leader = fleet.leader() ?? ""
  fleet.workers.addWorker(listingOf("worker-2"))
  fleet.register(listingOf("worker-2"))
  await fleet.clock.advance(1000)
  const [follower = ""] = fleet.names().filter(name => name !== leader)
  fleet.workers.disconnect("worker-1")
  fleet.kill(leader)
  await fleet.clock.advance(1000)
  void fleet.instance(follower).intake.cancel(inherited.id)
  await fleet.clock.advance(300)
  t.is(countRunning(fleet, [inherited]), 6)
  const fresh = jobIn("north", 2, {count: 6})
  await fleet.submit(follower, fresh)
  t.is(await peakWithin(fleet, [inherited, fresh], 6000), 6)
})

test("orders that workers carry out late stay within the limit", async t => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const fleet = await startFleet(limits(workspace("north", 5)), {...LONG, seed})
    const random = seededRandom(seed)
    const jobs = Array.from({length: 6}, (_, index) => jobIn("north", index + 1, {count: 6}))
    for (const job of jobs) await fleet.submit("entry-1", job)
    fleet.workers.delayOrders(0.3, () => random.next())
    const peak = await peakWithin(fleet, jobs, 8000)
    t.true(peak <= 5, `${peak} with seed ${seed}`)
    fleet.workers.delayOrders(0, () => 1)
    t.true((await peakWithin(fleet, jobs, 60_000)) <= 5)
    for (const job of jobs) t.is(await fleet.stateAt("entry-1", job), "completed")
    t.deepEqual(fleet.workers.violations(), [])
  }
})

test("a task that is larger than the limit runs alone, and a gang that is much larger waits with a line in the log", async t => {
  const fleet = await startFleet(limits(workspace("north", 2)))
  const large = jobIn("north", 1, {count: 2, demand: {processors: 3, memoryMebibytes: 1, accelerators: 0}})
  const gang = jobIn("north", 2, {count: 5, gang: true})
  await fleet.submit("entry-1", large)
  await fleet.submit("entry-1", gang)
  t.is(await peakWithin(fleet, [large, gang], 3000), 1)
  t.is(await fleet.stateAt("entry-1", large), "completed")
  t.is(await fleet.stateAt("entry-1", gang), "queued")
  const lines = fleet.logLines.filter(
    ({event, fields}) => event === "step-held" && fields.step === `${gang.id}.0.0`,
  )
  t.is(lines.at(-1)?.fields.reason, "exceeds-limit")
  fleet.configure(limits(workspace("north", 5)))
  await fleet.clock.advance(3000)
  t.is(await fleet.stateAt("entry-1", gang), "completed")
})

test("a workspace that hands in far too much goes behind another, with a line in the log", async t => {
  const fleet = await startFleet(limits(workspace("north", 0), workspace("south", 0)), {workers: 1})
  const noisy = jobIn("north", 1, {count: 400})
  const other = Array.from({length: 4}, (_, index) => jobIn("south", 10 + index, {count: 2}))
  await fleet.submit("entry-1", noisy)
  for (const job of other) await fleet.submit("entry-1", job)
  await fleet.clock.advance(2500)
  for (const job of other) t.is(await fleet.stateAt("entry-1", job), "completed")
  const lines = fleet.logLines.filter(({event}) => event === "share-exceeded")
  t.deepEqual(
    lines.map(({fields}) => fields.workspace),
    ["north"],
  )
})
