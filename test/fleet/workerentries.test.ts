/** Entries among those of the workers that other writers have left or changed. */
import test from "ava"
import type {WorkerListing} from "../../src/pipelines/model.js"
import {parseRoster, rosterKey} from "../../src/planner/records.js"
import {jobOf, listingOf, ODD_ENTRY, QUEUE, READER, STEP, testFleet} from "../support/fleet.js"

test("an entry that cannot be read is logged once for each revision, and the other entries are followed", async t => {
  const fleet = testFleet({workers: 2})
  await fleet.clock.advance(1000)
  fleet.store.put(`${READER.workerPrefix}odd`, ODD_ENTRY)
  await fleet.clock.advance(2000)
  fleet.store.compact()
  fleet.register(listingOf("worker-1", {leaving: true}))
  await fleet.clock.advance(2000)
  const refused = () => fleet.logLines.filter(({event}) => event === "worker-entry-refused").length
  t.is(refused(), 1)
  t.is(fleet.logLines.filter(({event}) => event === "worker-leaving").length, 1)
  fleet.store.put(`${READER.workerPrefix}odd`, ODD_ENTRY)
  await fleet.clock.advance(1000)
  t.is(refused(), 2)
  const job = jobOf(1, [{count: 4}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(2000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
})

test("a later birth that somebody wrote into a worker's entry does not hide that the worker leaves", async t => {
  const fleet = testFleet({workers: 2})
  await fleet.clock.advance(1000)
  fleet.register(listingOf("worker-1", {bornAt: 4e12}))
  await fleet.clock.advance(1000)
  fleet.register(listingOf("worker-1", {leaving: true}))
  await fleet.clock.advance(1000)
  t.is(fleet.logLines.filter(({event}) => event === "worker-leaving").length, 1)
  const job = jobOf(1, [{count: 6}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(3000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(
    fleet.logLines.filter(({event, fields}) => event === "start" && fields.worker === "worker-1"),
    [],
  )
})

// An entry of another writer made the roster longer than the store takes, and with it failed every write of the leader.
test("a worker of a service that nothing here uses is neither stored nor called, and keeps nothing from being stored", async t => {
  const fleet = testFleet({workers: 2})
  await fleet.clock.advance(1000)
  fleet.register(listingOf("odd", {service: "another", labels: ["a", "x".repeat(1_100_000)]}))
  fleet.workers.addWorker(listingOf("foreign", {service: "another"}))
  fleet.register(listingOf("foreign", {service: "another"}))
  await fleet.clock.advance(1000)
  const job = jobOf(1, [{count: 4}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(3000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(fleet.store.rejections(), [])
  t.deepEqual(
    fleet.logLines.filter(({event}) => event === "worker-ignored").map(({fields}) => fields.worker),
    ["odd", "foreign"],
  )
  const roster = fleet.store.get(rosterKey(0))?.value ?? ""
  t.deepEqual(new Set(parseRoster(roster).map(({id}) => id)), new Set(["worker-1", "worker-2"]))
})

test("workers of a service that the configuration names only later are used from then on", async t => {
  const fleet = testFleet({workers: 1})
  await fleet.clock.advance(1000)
  const listing = listingOf("glide-1", {service: "glide"})
  fleet.workers.addWorker(listing)
  fleet.register(listing)
  await fleet.clock.advance(1000)
  const queue = {...QUEUE, name: "flights", prefix: "/flights/", service: "glide"}
  fleet.configure({queues: [QUEUE, queue]})
  await fleet.clock.advance(2000)
  const job = jobOf(2, [{count: 2}], {queue})
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(2000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
})

// The job was accepted for workers that the new leader would have to take for those of another system.
test("a job outlasts its queue and its service across a change of the leader", async t => {
  const queue = {...QUEUE, name: "flights", prefix: "/flights/", service: "glide"}
  const fleet = testFleet({
    workers: 1,
    queues: [QUEUE, queue],
    planOf: () => ({demand: STEP.demand, duration: 3000}),
  })
  await fleet.clock.advance(1000)
  const job = jobOf(3, [{count: 2}, {count: 2, after: [0]}], {queue})
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(500)
  fleet.configure({queues: [QUEUE]})
  await fleet.clock.advance(2500)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(2000)
  const listing = listingOf("glide-1", {service: "glide"})
  fleet.workers.addWorker(listing)
  fleet.register(listing)
  await fleet.clock.advance(9000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
})

// The roster was one value, which a large fleet would have made longer than the store takes.
test("the roster of a large fleet is stored in parts, and a later leader reads all of them", async t => {
  const fleet = testFleet({workers: 0, planOf: () => ({demand: STEP.demand, duration: 60_000})})
  const labels = ["a", "x".repeat(3000)]
  for (let index = 1; index <= 250; index += 1) {
    const listing = listingOf(`worker-${index}`, {labels, rack: labels[1] ?? ""})
    fleet.workers.addWorker(listing)
    fleet.register(listing)
  }
  await fleet.clock.advance(3000)
  const parts = (): readonly WorkerListing[] =>
    [0, 1, 2, 3].flatMap(part => parseRoster(fleet.store.get(rosterKey(part))?.value ?? ""))
  t.is(new Set(parts().map(({id}) => id)).size, 250)
  t.is(parts().length, 250)
  const job = jobOf(4, [{count: 250, perWorker: 1}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(3000)
  t.is(fleet.workers.running().length, 250)
  for (let index = 1; index <= 250; index += 1) fleet.unregister(`worker-${index}`)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(3000)
  t.is(fleet.instance(fleet.leader() ?? "").counts().workers, 250)
  t.deepEqual(fleet.workers.violations(), [])
  t.deepEqual(fleet.store.rejections(), [])
})

// Each leader took the refusal for that of a later leader's worker and ended its term, so that no job was started.
test("a worker that takes orders of another system ends no term, and is used once it has restarted", async t => {
  const fleet = testFleet({workers: 2})
  const foreign = listingOf("foreign")
  fleet.workers.addWorker(foreign)
  const otherSystem = fleet.workers.callsFor("another system")
  const order = {term: 1e9, acknowledged: 0, incarnation: 0, deadline: undefined, wait: 0}
  void otherSystem.report(foreign, order)
  await fleet.clock.advance(1000)
  fleet.register(foreign)
  const submitAndFinish = async (number: number): Promise<void> => {
    const job = jobOf(number, [{count: 40}])
    t.is((await fleet.submit("entry-1", job)).type, "stored")
    await fleet.clock.advance(6000)
    t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  }
  await submitAndFinish(6)
  const countTerms = (): number => fleet.logLines.filter(({event}) => event === "leading").length
  t.is(countTerms(), 1)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(1000)
  await submitAndFinish(7)
  t.is(countTerms(), 2)
  const startsThere = (): number =>
    fleet.logLines.filter(({event, fields}) => event === "start" && fields.worker === "foreign").length
  t.is(startsThere(), 0)
  fleet.workers.crash("foreign")
  fleet.workers.restart("foreign")
  fleet.register(fleet.workers.listing("foreign"))
  await fleet.clock.advance(1000)
  await submitAndFinish(8)
  t.true(startsThere() > 0)
  t.deepEqual(fleet.workers.violations(), [])
})

// The leader went on with the entry of the worker's former life, which could not change while the store was down.
test("a worker that restarts with less capacity while the store is down is given no more than it has", async t => {
  const fleet = testFleet({workers: 2, planOf: () => ({demand: STEP.demand, duration: 1000})})
  await fleet.clock.advance(1000)
  const job = jobOf(5, [{count: 120}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(1200)
  fleet.store.setMode("refusing")
  fleet.workers.crash("worker-1")
  const smaller = listingOf("worker-1", {
    bornAt: Math.floor(fleet.clock.now()),
    capacity: {processors: 2, memoryMebibytes: 1000, accelerators: 0},
  })
  await fleet.clock.advance(300)
  fleet.workers.addWorker(smaller)
  await fleet.clock.advance(4000)
  fleet.store.setMode("up")
  fleet.register(smaller)
  await fleet.clock.advance(15_000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
  const startsThere = fleet.logLines.filter(
    ({event, fields, at}) => event === "start" && fields.worker === "worker-1" && at > 6600,
  )
  t.true(startsThere.length > 0, "it is used again once its entry tells what it has")
})

test("after all instances restarted, a worker that had left or was leaving gets no tasks", async t => {
  const fleet = testFleet({workers: 3})
  await fleet.clock.advance(1000)
  fleet.register(listingOf("worker-1", {leaving: true}))
  fleet.unregister("worker-2")
  await fleet.clock.advance(1000)
  for (const name of ["entry-1", "entry-2", "entry-3"]) {
    fleet.kill(name)
    fleet.start(name)
  }
  await fleet.clock.advance(1500)
  const job = jobOf(1, [{count: 12}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(5000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  const starts = fleet.logLines.filter(({event}) => event === "start")
  t.deepEqual(new Set(starts.map(({fields}) => fields.worker)), new Set(["worker-3"]))
})
