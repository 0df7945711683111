/**
 * What becomes of accepted work when leaders, their followers and workers are lost, replaced, restarted or cut off,
 * together or one after another. It runs again soon wherever it is known to run nowhere else, and never twice.
 */
import test from "ava"
import type {PipelineJob} from "../../src/pipelines/model.js"
import {listingOf} from "../support/fleet.js"
import type {TestFleet} from "../support/fleet.js"
import {
  fleetWithLastingJob,
  holdersOf,
  LONGEST_MS,
  loseWorker,
  playLosses,
  runsAgainAfter,
} from "../support/losses.js"

// Review case 13. Accepted work stood still for 18.5 s, until the longest limit of the lost leader had passed, since more
// than a quarter of its followers could not be asked any more.
test("tasks run again soon after the leader, more than a quarter of its followers and workers are lost together", async t => {
  const {fleet, job} = await fleetWithLastingJob(4, {instances: 8, workers: 8})
  const leader = fleet.leader() ?? ""
  const [first = "", second = ""] = fleet.names().filter(name => name !== leader)
  const [victim = ""] = holdersOf(fleet, job)
  loseWorker(fleet, victim)
  for (const name of [leader, first, second]) fleet.remove(name)
  for (const name of ["entry-9", "entry-10", "entry-11"]) fleet.start(name)
  const after = await runsAgainAfter(fleet, job)
  t.true(after <= LONGEST_MS, `${after} ms`)
  t.deepEqual(fleet.workers.violations(), [])
})

test("tasks run again soon after all instances are replaced by others and workers are lost", async t => {
  const {fleet, job} = await fleetWithLastingJob(4, {instances: 5, workers: 9})
  for (const worker of holdersOf(fleet, job).slice(0, 3)) loseWorker(fleet, worker)
  for (const name of [...fleet.names()]) fleet.remove(name)
  for (const name of ["entry-6", "entry-7", "entry-8"]) fleet.start(name)
  const after = await runsAgainAfter(fleet, job)
  t.true(after <= LONGEST_MS, `${after} ms`)
  t.deepEqual(fleet.workers.violations(), [])
})

// The instance that was left could not tell this from being cut off itself, and waited for 8 s before it took over.
test("tasks run again soon after all instances but one are lost, and workers with them", async t => {
  const {fleet, job} = await fleetWithLastingJob(4, {instances: 5, workers: 9})
  const leader = fleet.leader() ?? ""
  const [, ...lost] = fleet.names().filter(name => name !== leader)
  for (const worker of holdersOf(fleet, job).slice(0, 3)) loseWorker(fleet, worker)
  for (const name of [leader, ...lost]) fleet.remove(name)
  const after = await runsAgainAfter(fleet, job)
  t.true(after <= LONGEST_MS, `${after} ms`)
  t.deepEqual(fleet.workers.violations(), [])
})

test("an instance that is cut off from all others does not replace a leader that goes on", async t => {
  const {fleet} = await fleetWithLastingJob(2, {instances: 4, workers: 3})
  const leader = fleet.leader() ?? ""
  const [follower = ""] = fleet.names().filter(name => name !== leader)
  for (const name of fleet.names()) if (name !== follower) fleet.partition(follower, name)
  await fleet.clock.advance(4500)
  t.is(fleet.instance(follower).counts().leads, 0)
  t.is(fleet.instance(leader).counts().leads, 1)
})

test("tasks run again soon after leaders and workers are lost one after another, with a follower each time", async t => {
  const {fleet, job} = await fleetWithLastingJob(6, {instances: 8, workers: 12})
  for (const number of [9, 10, 11]) {
    const leader = fleet.leader() ?? ""
    const [follower = ""] = fleet.names().filter(name => name !== leader)
    const [victim = ""] = holdersOf(fleet, job)
    if (victim !== "") loseWorker(fleet, victim)
    for (const name of [leader, follower]) if (name !== "") fleet.remove(name)
    fleet.start(`entry-${number}`)
    await fleet.clock.advance(number === 11 ? 0 : 2000)
  }
  const after = await runsAgainAfter(fleet, job)
  t.true(after <= LONGEST_MS, `${after} ms`)
  t.deepEqual(fleet.workers.violations(), [])
})

test("tasks run again soon after the leader is lost with workers while its followers restart", async t => {
  const {fleet, job} = await fleetWithLastingJob(4, {instances: 5, workers: 8})
  const leader = fleet.leader() ?? ""
  const followers = fleet.names().filter(name => name !== leader)
  for (const worker of holdersOf(fleet, job).slice(0, 2)) loseWorker(fleet, worker)
  fleet.remove(leader)
  for (const name of followers) fleet.kill(name)
  for (const name of followers) fleet.start(name)
  const after = await runsAgainAfter(fleet, job)
  t.true(after <= LONGEST_MS, `${after} ms`)
  t.deepEqual(fleet.workers.violations(), [])
})

interface Cut {
  readonly fleet: TestFleet
  readonly job: PipelineJob
  readonly inside: readonly string[]
  readonly outside: readonly string[]
  readonly workersInside: readonly string[]
  readonly workersOutside: readonly string[]
  readonly heal: () => void
}

/** Cuts the leader off with two of its four followers and some workers, at least one of which runs a task. */
async function cutOff(workers: number, workersInside: number): Promise<Cut> {
  const {fleet, job} = await fleetWithLastingJob(2, {instances: 5, workers})
  const leader = fleet.leader() ?? ""
  const [first = "", second = "", ...outside] = fleet.names().filter(name => name !== leader)
  const inside = [leader, first, second]
  const [holder = "", ...otherHolders] = holdersOf(fleet, job)
  const idle = [...fleet.workers.runningByWorker().keys()].filter(
    id => id !== holder && !otherHolders.includes(id),
  )
  const [...ids] = [holder, ...idle, ...otherHolders]
  const within = ids.slice(0, workersInside)
  const beyond = ids.slice(workersInside)
  for (const name of inside) {
    fleet.store.setMode("silent", name)
    for (const other of outside) fleet.partition(name, other)
    for (const worker of beyond) fleet.workers.disconnect(worker, name)
  }
  for (const name of outside) for (const worker of within) fleet.workers.disconnect(worker, name)
  function heal(): void {
    fleet.healPartitions()
    for (const name of inside) fleet.store.setMode("up", name)
    for (const id of ids) fleet.workers.reconnect(id)
  }
  return {fleet, job, inside, outside, workersInside: within, workersOutside: beyond, heal}
}

test("a leader that is cut off with few workers stops, and their tasks run elsewhere while it is cut off", async t => {
  const {fleet, job, workersInside, workersOutside, heal} = await cutOff(6, 2)
  await fleet.clock.advance(LONGEST_MS)
  const running = fleet.workers.runningByWorker()
  for (const id of workersInside) t.deepEqual(running.get(id), [], id)
  t.is(workersOutside.flatMap(id => running.get(id) ?? []).length, job.steps[0]?.count ?? 0)
  heal()
  await fleet.clock.advance(5000)
  t.deepEqual(fleet.workers.violations(), [])
})

test("a leader that is cut off with followers and most workers keeps their tasks, and no later leader starts them", async t => {
  const {fleet, workersInside, heal} = await cutOff(6, 4)
  await fleet.clock.advance(LONGEST_MS)
  const running = fleet.workers.runningByWorker()
  t.true(workersInside.some(id => (running.get(id) ?? []).length > 0))
  t.deepEqual(fleet.workers.violations(), [])
  heal()
  await fleet.clock.advance(20_000)
  t.deepEqual(fleet.workers.violations(), [])
})

test("workers that restart within reach of a leader that is cut off do not support it", async t => {
  const {fleet, inside, outside, workersOutside} = await cutOff(6, 2)
  await fleet.clock.advance(1500)
  // They have answered the later leader, and know nothing of it after their restart.
  for (const id of workersOutside) {
    fleet.workers.crash(id)
    fleet.workers.restart(id)
    fleet.workers.reconnect(id)
    for (const name of outside) fleet.workers.disconnect(id, name)
  }
  const spare = listingOf("worker-7")
  fleet.workers.addWorker(spare)
  fleet.register(spare)
  for (const name of inside) fleet.workers.disconnect(spare.id, name)
  await fleet.clock.advance(20_000)
  t.true((fleet.workers.runningByWorker().get(spare.id) ?? []).length > 0, "the later leader goes on")
  t.deepEqual(fleet.workers.violations(), [])
})

// A machine's monotonic clock stands still while it is suspended, so that the leader took its last confirmation for recent.
test("a leader whose machine was suspended does not act on what it knew before", async t => {
  const {fleet, inside, heal} = await cutOff(6, 2)
  const [leader = ""] = inside
  fleet.suspend(leader)
  await fleet.clock.advance(9000)
  t.is(fleet.workers.running().length, 2, "the tasks run elsewhere")
  fleet.resume(leader)
  await fleet.clock.advance(6000)
  heal()
  await fleet.clock.advance(6000)
  t.deepEqual(fleet.workers.violations(), [])
})

for (const seed of [1, 2, 3, 4]) {
  test(`losses, restarts and cuts in series neither stop a task for long nor run it twice, seed ${seed}`, async t => {
    t.deepEqual(await playLosses(seed), [])
  })
}
