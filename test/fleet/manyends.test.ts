/** Workers that have more ends than a report has room for, since ends cannot be acknowledged while the store is down. */
import test from "ava"
import {jobOf, listingOf, testFleet} from "../support/fleet.js"
import type {TestFleet} from "../support/fleet.js"

const TASKS = 700
const DEMAND = {processors: 0.01, memoryMebibytes: 1, accelerators: 0}
const JOB = jobOf(1, [{count: TASKS, demand: DEMAND, estimate: 500}])

/** Starts all tasks at one worker and takes the store away before any of them ends. */
async function endDuringOutage(): Promise<TestFleet> {
  const fleet = testFleet({workers: 1, planOf: () => ({demand: DEMAND, duration: 3000})})
  await fleet.clock.advance(1500)
  await fleet.submit("entry-1", JOB)
  while (fleet.workers.running().length < TASKS) await fleet.clock.advance(10)
  fleet.store.setMode("refusing")
  await fleet.clock.advance(4500)
  return fleet
}

// A run that was neither listed as running nor as ended was taken for lost, although its end had only no room in the list.
test("a task whose end has no room in its worker's list is not started again", async t => {
  const fleet = await endDuringOutage()
  fleet.store.setMode("up")
  await fleet.clock.advance(6000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", JOB), "completed")
  t.is(fleet.workers.startCounts().size, TASKS)
  t.deepEqual(new Set(fleet.workers.startCounts().values()), new Set([1]))
  t.deepEqual(fleet.workers.violations(), [])
})

test("nor is it after the leader has failed with the list still incomplete", async t => {
  const fleet = await endDuringOutage()
  fleet.kill(fleet.leader() ?? "")
  fleet.store.setMode("up")
  await fleet.clock.advance(12_000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", JOB), "completed")
  t.deepEqual(new Set(fleet.workers.startCounts().values()), new Set([1]))
  t.deepEqual(fleet.workers.violations(), [])
})

test("a worker that fails before it has listed all ends holds its tasks back only until its lease has lapsed", async t => {
  const fleet = await endDuringOutage()
  const other = listingOf("worker-2")
  fleet.workers.addWorker(other)
  fleet.register(other)
  const former = fleet.leader() ?? ""
  fleet.kill(former)
  fleet.store.setMode("up")
  const isFenced = (): boolean =>
    fleet.logLines.some(({event, instance}) => event === "worker-fenced" && instance !== former)
  while (!isFenced()) await fleet.clock.advance(1)
  fleet.workers.crash("worker-1")
  fleet.unregister("worker-1")
  await fleet.clock.advance(5000)
  t.not(await fleet.stateAt(fleet.leader() ?? "", JOB), "completed")
  await fleet.clock.advance(15_000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", JOB), "completed")
})
