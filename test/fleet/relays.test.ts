/**
 * Calls to workers that other instances carry: in a fleet of many workers, while relays die, are paused or are cut off,
 * no task runs twice, no lease ends early, and work goes on.
 */
import test from "ava"
import {jobOf, testFleet} from "../support/fleet.js"
import type {TestFleet} from "../support/fleet.js"

const MANY_WORKERS = 100

function relaysOf(fleet: TestFleet): readonly string[] {
  const leader = fleet.leader()
  const opened = fleet.logLines.filter(
    ({event, instance, fields}) => event === "relay-opened" && instance === leader && "relay" in fields,
  )
  return [...new Set(opened.map(({fields}) => String(fields.relay)))]
}

function relayCount(fleet: TestFleet): number | undefined {
  return fleet.instance(fleet.leader() ?? "").counts().relays
}

function countDirectCalls(fleet: TestFleet, leader: string): number {
  return fleet.workers.reportCounts().get(leader) ?? 0
}

async function submitMany(fleet: TestFleet, first: number, count: number) {
  const jobs = Array.from({length: count}, (_, index) =>
    jobOf(first + index, [{count: 20}, {count: 20, after: [0]}]),
  )
  const answers = jobs.map((job, index) => {
    const name = fleet.names()[index % fleet.names().length] ?? ""
    return fleet.instance(name).intake.submit(job, 3000)
  })
  const types = (await fleet.runUntilSettled(Promise.all(answers))).map(({type}) => type)
  if (types.some(type => type !== "stored")) throw new RangeError(`Jobs were not stored: ${types.join()}.`)
  return jobs
}

test("a small fleet has no relays", async t => {
  const fleet = testFleet({instances: 6, workers: 40})
  await fleet.clock.advance(3000)
  t.is(relayCount(fleet), 0)
})

test("in a large fleet other instances carry the leader's calls", async t => {
  const fleet = testFleet({instances: 8, workers: MANY_WORKERS})
  await fleet.clock.advance(3000)
  const leader = fleet.leader() ?? ""
  t.is(relayCount(fleet), 4)
  const before = countDirectCalls(fleet, leader)
  const jobs = await submitMany(fleet, 100, 10)
  await fleet.clock.advance(4000)
  t.is(countDirectCalls(fleet, leader), before)
  for (const job of jobs) t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
  t.is(Math.max(...fleet.workers.startCounts().values()), 1)
})

for (const fault of ["kill", "pause", "cut"] as const) {
  test(`after a relay's fault (${fault}) its workers are reached by others at once, and no run is lost`, async t => {
    const fleet = testFleet({
      instances: 8,
      workers: MANY_WORKERS,
      planOf: () => ({demand: {processors: 1, memoryMebibytes: 100, accelerators: 0}, duration: 6000}),
    })
    await fleet.clock.advance(3000)
    const jobs = await submitMany(fleet, 100, 10)
    await fleet.clock.advance(1000)
    const [relay = ""] = relaysOf(fleet)
    const leader = fleet.leader() ?? ""
    if (fault === "kill") fleet.kill(relay)
    else if (fault === "pause") fleet.pauseRelay(relay)
    else fleet.partition(leader, relay)
    await fleet.clock.advance(4000)
    if (fault === "pause") fleet.resumeRelay(relay)
    const more = await submitMany(fleet, 200, 5)
    await fleet.clock.advance(22_000)
    t.is(fleet.leader(), leader)
    for (const job of [...jobs, ...more]) t.is(await fleet.stateAt(leader, job), "completed")
    t.deepEqual(fleet.workers.violations(), [])
    t.is(Math.max(...fleet.workers.startCounts().values()), 1)
    t.deepEqual(
      fleet.logLines.filter(({event}) => event === "worker-lapsed"),
      [],
    )
  })
}

test("a worker that restarted while its relay changed is acknowledged no end that was not read", async t => {
  const fleet = testFleet({instances: 8, workers: MANY_WORKERS})
  await fleet.clock.advance(3000)
  const jobs = await submitMany(fleet, 100, 10)
  await fleet.clock.advance(300)
  const [relay = ""] = relaysOf(fleet)
  fleet.pauseRelay(relay)
  for (let index = 1; index <= MANY_WORKERS; index += 7) {
    fleet.workers.crash(`worker-${index}`)
    fleet.workers.restart(`worker-${index}`)
  }
  await fleet.clock.advance(900)
  fleet.resumeRelay(relay)
  await fleet.clock.advance(12_000)
  for (const job of jobs) t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("a relay serves no earlier leader after a later one", async t => {
  const fleet = testFleet({instances: 8, workers: MANY_WORKERS})
  await fleet.clock.advance(3000)
  const former = fleet.leader() ?? ""
  const jobs = await submitMany(fleet, 100, 10)
  fleet.store.setMode("refusing", former)
  await fleet.clock.advance(2500)
  const later = fleet.leader()
  t.not(later, former)
  await fleet.clock.advance(6000)
  for (const job of jobs) t.is(await fleet.stateAt(later ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
  t.is(relayCount(fleet), 4)
})

test("a relay that stops as planned hands its workers over before it ends", async t => {
  const fleet = testFleet({instances: 8, workers: MANY_WORKERS})
  await fleet.clock.advance(3000)
  const [relay = ""] = relaysOf(fleet)
  const jobs = await submitMany(fleet, 100, 10)
  void fleet.instance(relay).drain()
  await fleet.clock.advance(2500)
  const closed = fleet.logLines.filter(
    ({event, fields}) => event === "relay-closed" && fields.relay === relay,
  )
  t.deepEqual(
    closed.map(({fields}) => fields.reason),
    ["the instance stops"],
  )
  fleet.kill(relay)
  await fleet.clock.advance(4000)
  for (const job of jobs) t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.is(Math.max(...fleet.workers.startCounts().values()), 1)
  t.deepEqual(fleet.workers.violations(), [])
})

test("a worker that its relay cannot reach is called through another one, and no run of it is lost", async t => {
  const fleet = testFleet({
    instances: 8,
    workers: MANY_WORKERS,
    planOf: () => ({demand: {processors: 1, memoryMebibytes: 100, accelerators: 0}, duration: 6000}),
  })
  await fleet.clock.advance(3000)
  const jobs = await submitMany(fleet, 100, 10)
  const [relay = ""] = relaysOf(fleet)
  for (let index = 1; index <= MANY_WORKERS; index += 1) fleet.workers.disconnect(`worker-${index}`, relay)
  await fleet.clock.advance(4000)
  const more = await submitMany(fleet, 200, 5)
  await fleet.clock.advance(22_000)
  for (const job of [...jobs, ...more]) t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
  t.is(Math.max(...fleet.workers.startCounts().values()), 1)
  t.deepEqual(
    fleet.logLines.filter(({event}) => event === "worker-unreachable" || event === "worker-lapsed"),
    [],
  )
})
