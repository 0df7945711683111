/**
 * Jobs of each kind on a fleet without faults: which tasks start on which workers, and which state callers get from
 * each instance.
 */
import test from "ava"
import {jobOf, listingOf, QUEUE, STEP, testFleet} from "../support/fleet.js"

test("the steps of a job run in order, and every instance returns its state", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(500)
  const job = jobOf(1, [{count: 3}, {count: 2, after: [0]}])
  t.is((await fleet.submit("entry-2", job)).type, "stored")
  for (const name of fleet.names()) t.not(await fleet.stateAt(name, job), "unknown-job")
  await fleet.clock.advance(600)
  t.deepEqual(
    [...fleet.workers.doneTasks()].map(task => task.slice(17)).sort(),
    ["0.0.0", "0.0.1", "0.0.2"],
    "the second step waits for the first",
  )
  await fleet.clock.advance(1000)
  for (const name of fleet.names()) t.is(await fleet.stateAt(name, job), "completed")
  t.is(fleet.workers.doneTasks().size, 5)
  t.deepEqual(fleet.workers.violations(), [])
})

test("a job that is submitted again, also to another instance or after its end, runs once", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(500)
  const job = jobOf(2, [{count: 2}])
  for (const name of fleet.names()) t.is((await fleet.submit(name, job)).type, "stored")
  await fleet.clock.advance(1500)
  for (const name of fleet.names()) t.is((await fleet.submit(name, job)).type, "stored")
  await fleet.clock.advance(1500)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual([...fleet.workers.startCounts().values()], [1, 1])
})

test("a gang starts as a whole or not at all", async t => {
  const demand = {processors: 6, memoryMebibytes: 100, accelerators: 0}
  const fleet = testFleet({
    workers: 2,
    planOf: task =>
      task.startsWith("0000000000000003") ? {demand, duration: 500, gang: 2} : {demand, duration: 900},
  })
  await fleet.clock.advance(500)
  const single = jobOf(4, [{demand}])
  const gang = jobOf(3, [{count: 2, gang: true, demand}])
  await fleet.submit("entry-1", single)
  await fleet.clock.advance(100)
  await fleet.submit("entry-1", gang)
  await fleet.clock.advance(300)
  t.deepEqual(fleet.workers.running(), ["0000000000000004.0.0.0"], "the gang waits until both tasks fit")
  await fleet.clock.advance(2500)
  t.is(await fleet.stateAt("entry-3", gang), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("a failed task is retried, and its job fails after the attempts that its queue allows", async t => {
  const fleet = testFleet({
    planOf: task => ({
      demand: STEP.demand,
      duration: 100,
      failures: task.startsWith("0000000000000005") ? 2 : 9,
    }),
  })
  await fleet.clock.advance(500)
  const recovers = jobOf(5, [{}])
  const hopeless = jobOf(6, [{}])
  await fleet.submit("entry-1", recovers)
  await fleet.submit("entry-1", hopeless)
  await fleet.clock.advance(3000)
  t.is(await fleet.stateAt("entry-2", recovers), "completed")
  t.is(await fleet.stateAt("entry-2", hopeless), "failed")
  t.is(fleet.workers.startCounts().get(`${hopeless.id}.0.0.0`), QUEUE.attempts)
})

test("long-running tasks restart after each end until the job is cancelled", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(500)
  const job = jobOf(7, [{count: 2, lasting: true}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(3000)
  t.true((fleet.workers.startCounts().get(`${job.id}.0.0.0`) ?? 0) > 3)
  t.is(await fleet.stateAt("entry-2", job), "running")
  t.is(await fleet.runUntilSettled(fleet.instance("entry-3").intake.cancel(job.id)), "cancelled")
  await fleet.clock.advance(1000)
  t.deepEqual(fleet.workers.running(), [])
  for (const name of fleet.names()) t.is(await fleet.stateAt(name, job), "cancelled")
  const unknown = await fleet.runUntilSettled(fleet.instance("entry-1").intake.cancel("00000000000000ff"))
  t.is(unknown, "unknown-job")
})

test("each occurrence of a repeated job starts when it is due", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(500)
  const job = jobOf(8, [{}], {occurrences: 3, firstDue: fleet.clock.wallClock() + 1000, interval: 1000})
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(900)
  t.is(fleet.workers.startCounts().size, 0)
  await fleet.clock.advance(700)
  t.is(fleet.workers.startCounts().size, 1)
  await fleet.clock.advance(1000)
  t.is(fleet.workers.startCounts().size, 2)
  await fleet.clock.advance(2000)
  t.is(await fleet.stateAt("entry-2", job), "completed")
})

test("a task starts only with a ticket, on a worker with its label and below the limit per worker", async t => {
  const fleet = testFleet({
    workers: 3,
    queues: [{...QUEUE, advice: {base: 30, perWorker: 1, ticketLife: 2000}}],
    allows: (_step, worker) => worker !== "worker-2",
  })
  const labelled = listingOf("special", {labels: ["b", "r9"], rack: "r9"})
  fleet.workers.addWorker(labelled)
  fleet.register(labelled)
  await fleet.clock.advance(1500)
  const spread = jobOf(9, [{count: 3, perWorker: 1}])
  const special = jobOf(10, [{label: "b"}])
  await fleet.submit("entry-1", spread)
  await fleet.submit("entry-1", special)
  await fleet.clock.advance(300)
  const places = new Map<unknown, unknown>()
  for (const {event, fields} of fleet.logLines) if (event === "start") places.set(fields.task, fields.worker)
  t.is(places.get(`${special.id}.0.0.0`), "special")
  const used = [...places].filter(([task]) => String(task).startsWith(spread.id)).map(([, worker]) => worker)
  t.deepEqual(used.sort(), ["special", "worker-1", "worker-3"])
})

test("a leaving worker gets no new tasks after a second", async t => {
  const fleet = testFleet({workers: 2})
  await fleet.clock.advance(1500)
  fleet.register({...fleet.workers.listing("worker-1"), leaving: true})
  await fleet.clock.advance(1000)
  for (let number = 20; number < 30; number += 1) await fleet.submit("entry-1", jobOf(number, [{}]))
  await fleet.clock.advance(1000)
  const places = fleet.logLines.filter(({event}) => event === "start").map(({fields}) => fields.worker)
  t.true(places.length === 10 && places.every(worker => worker === "worker-2"))
})

test("the configuration version never decreases, and every instance returns the number of waiting jobs", async t => {
  const fleet = testFleet({workers: 0})
  await fleet.clock.advance(1500)
  fleet.configure({version: 40})
  await fleet.clock.advance(500)
  fleet.configure({version: 39})
  await fleet.clock.advance(500)
  for (const name of fleet.names()) t.is(fleet.instance(name).configuration()?.version, 40)
  for (let number = 40; number < 45; number += 1) await fleet.submit("entry-1", jobOf(number, [{}]))
  await fleet.clock.advance(1000)
  for (const name of fleet.names()) t.is(fleet.instance(name).intake.pending("checks"), 5)
})

test("advice for the next step is requested before the running step has ended", async t => {
  const advice = {base: 20, perWorker: 1, ticketLife: 2000}
  const fleet = testFleet({queues: [{...QUEUE, advice}]})
  await fleet.clock.advance(1000)
  const job = jobOf(2100, [{count: 2}, {count: 2, after: [0]}], {queue: {...QUEUE, advice}})
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(3000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  const advised = fleet.logLines.findIndex(
    ({event, fields}) => event === "advice" && fields.step === `${job.id}.0.1`,
  )
  const ended = fleet.logLines.findIndex(({event}) => event === "run-ended")
  t.true(advised > 0 && advised < ended)
})
