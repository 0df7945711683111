/**
 * Cancellations that an instance stores without the leader. Once one is acknowledged, the leader starts no task of the
 * job, however it learns of the job and of the cancellation.
 */
import test from "ava"
import {cancelKey, formatJob, jobKey, progressKey} from "../../src/planner/records.js"
import {jobOf, STEP, testFleet} from "../support/fleet.js"

test("a cancellation is not lost when the store lists it before the job that it cancels", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1500)
  const job = jobOf(3000, [{count: 2}])
  fleet.store.put(jobKey(job.id), formatJob(job))
  fleet.store.put(cancelKey(job.id), "")
  fleet.store.compact()
  await fleet.clock.advance(5000)
  t.is(fleet.workers.startCounts().size, 0)
  for (const name of fleet.names()) t.is(await fleet.stateAt(name, job), "cancelled")
})

test("a cancellation at a leader that is replaced before it can store it is answered", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1500)
  const job = jobOf(3001, [{count: 2, lasting: true}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(500)
  const former = fleet.leader() ?? ""
  fleet.store.setMode("silent", former)
  const cancel = fleet.instance(former).intake.cancel(job.id)
  t.is(await fleet.runUntilSettled(cancel), "unavailable")
  t.not(fleet.leader(), former)
  fleet.store.setMode("up", former)
  t.is(await fleet.runUntilSettled(fleet.instance(former).intake.cancel(job.id)), "cancelled")
  await fleet.clock.advance(1000)
  t.deepEqual(fleet.workers.running(), [])
})

test("a cancellation is not acknowledged while the leader, cut off from the store, goes on starting tasks", async t => {
  // Long enough that each task is back at once after its end.
  const fleet = testFleet({planOf: () => ({demand: STEP.demand, duration: 1500})})
  await fleet.clock.advance(1500)
  const job = jobOf(3002, [{count: 2, lasting: true}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(500)
  const leader = fleet.leader() ?? ""
  const canceller = fleet.names().find(name => name !== leader) ?? ""
  const third = fleet.names().find(name => name !== leader && name !== canceller) ?? ""
  fleet.store.setMode("silent", third)
  await fleet.clock.advance(3000)
  fleet.partition(canceller, leader)
  await fleet.clock.advance(1200)
  fleet.store.setMode("silent", leader)
  const cancel = (): Promise<string> => fleet.runUntilSettled(fleet.instance(canceller).intake.cancel(job.id))
  t.is(await cancel(), "unavailable")
  t.is(fleet.leader(), leader)
  t.true(fleet.workers.running().length > 0)
  fleet.healPartitions()
  await fleet.clock.advance(1000)
  t.is(await cancel(), "cancelled")
  const starts = new Map(fleet.workers.startCounts())
  await fleet.clock.advance(5000)
  t.deepEqual(fleet.workers.startCounts(), starts)
})

test("the leader applies a cancellation from another instance before it has read the job from the store", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1500)
  const leader = fleet.leader() ?? ""
  const canceller = fleet.names().find(name => name !== leader) ?? ""
  fleet.store.failLists(true)
  fleet.store.compact()
  await fleet.clock.advance(2500)
  const job = jobOf(3003, [{count: 2}])
  fleet.store.put(jobKey(job.id), formatJob(job))
  const cancel = fleet.instance(canceller).intake.cancel(job.id)
  t.is(await fleet.runUntilSettled(cancel), "cancelled")
  await fleet.instance(leader).handlers.storeJob(formatJob(job), true)
  await fleet.clock.advance(2000)
  t.is(fleet.workers.startCounts().size, 0)
})

// A job that waited in the leader's memory to be stored was unknown to its cancelling, and was stored and run afterwards.
test("a job that was cancelled while it was being stored is not run", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1500)
  const job = jobOf(3004, [{count: 2, lasting: true}])
  fleet.store.setMode("silent")
  const submission = fleet.instance("entry-1").intake.submit(job, 3000)
  await fleet.clock.advance(900)
  fleet.store.setMode("up")
  const cancel = fleet.instance("entry-2").intake.cancel(job.id)
  t.is(await fleet.runUntilSettled(cancel), "cancelled", "the leader knows that the job was submitted")
  await fleet.runUntilSettled(submission)
  await fleet.clock.advance(4000)
  t.deepEqual(fleet.workers.running(), [])
})

for (const mode of ["late", "losing"] as const)
  test(`a job that was cancelled before its ${mode} writes were carried out is not run`, async t => {
    const fleet = testFleet()
    await fleet.clock.advance(1500)
    const leader = fleet.leader() ?? ""
    const others = fleet.names().filter(name => name !== leader)
    const job = jobOf(3005, [{count: 2, lasting: true}])
    for (const name of [leader, others[0] ?? ""]) fleet.store.setMode(mode, name)
    const submission = fleet.instance(others[0] ?? "").intake.submit(job, 3000)
    await fleet.clock.advance(450)
    let outcome = ""
    for (let tries = 0; tries < 10 && outcome !== "cancelled" && outcome !== "unknown-job"; tries += 1)
      outcome = await fleet.runUntilSettled(fleet.instance(others[1] ?? "").intake.cancel(job.id))
    t.true(outcome === "cancelled" || outcome === "unknown-job", outcome)
    const answeredAt = fleet.clock.now()
    await fleet.runUntilSettled(submission)
    fleet.store.setMode("up", leader)
    fleet.store.setMode("up", others[0])
    await fleet.clock.advance(8000)
    t.deepEqual(fleet.workers.running(), [])
    const starts = fleet.logLines.filter(({event, at}) => event === "start" && at > answeredAt)
    t.deepEqual(starts, [])
  })

test("a submission that comes after its job's cancelling is not run, under this leader and the next", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1500)
  const job = jobOf(3006, [{count: 2}])
  t.is(await fleet.runUntilSettled(fleet.instance("entry-1").intake.cancel(job.id)), "unknown-job")
  t.is(await fleet.runUntilSettled(fleet.instance("entry-2").intake.cancel(job.id)), "unknown-job")
  const submitEverywhere = async (): Promise<void> => {
    for (const name of fleet.names()) await fleet.submit(name, job)
    await fleet.clock.advance(2000)
    for (const name of fleet.names()) t.is(await fleet.stateAt(name, job), "unknown-job")
  }
  await submitEverywhere()
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(2000)
  await submitEverywhere()
  t.is(fleet.workers.startCounts().size, 0)
})

test("what keeps a withdrawn job from being stored is removed with the records of ended jobs", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1500)
  const job = jobOf(3007, [{}])
  await fleet.runUntilSettled(fleet.instance("entry-1").intake.cancel(job.id))
  t.truthy(fleet.store.get(progressKey(job.id)))
  await fleet.clock.advance(100_000)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(45_000)
  t.truthy(fleet.store.get(progressKey(job.id)))
  await fleet.clock.advance(10_000)
  t.is(fleet.store.get(progressKey(job.id)), undefined)
})

// The leader had read the store before the job was stored, and its cancelling found the job there.
test("a cancelling that meets the job's direct storing is applied", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1500)
  const leader = fleet.leader() ?? ""
  const [one = "", other = ""] = fleet.names().filter(name => name !== leader)
  fleet.partition(one, leader)
  await fleet.clock.advance(100)
  const job = jobOf(3008, [{count: 2, lasting: true}])
  const submission = fleet.instance(one).intake.submit(job, 3000)
  let outcome = ""
  for (let tries = 0; tries < 20 && outcome !== "cancelled" && outcome !== "unknown-job"; tries += 1)
    outcome = await fleet.runUntilSettled(fleet.instance(other).intake.cancel(job.id))
  await fleet.runUntilSettled(submission)
  await fleet.clock.advance(4000)
  t.deepEqual(fleet.workers.running(), [])
})
