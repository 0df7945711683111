/**
 * Fault tolerance of a fleet on a virtual clock. While instances, workers and the store fail, no task runs twice, no
 * accepted job is lost, and work resumes soon.
 */
import test from "ava"
import {seededRandom} from "../../src/core/random.js"
import {formatJob, jobKey} from "../../src/planner/records.js"
import {jobOf, listingOf, QUEUE, STEP, testFleet} from "../support/fleet.js"
import type {Ping} from "../../src/peer/fleet.js"
import type {TestFleet} from "../support/fleet.js"

/** Submits jobs of two steps with three tasks each, to the instances in turn. */
async function submitMany(fleet: TestFleet, first: number, count: number) {
  const jobs = Array.from({length: count}, (_, index) =>
    jobOf(first + index, [{count: 3}, {count: 3, after: [0]}]),
  )
  for (const [index, job] of jobs.entries()) {
    const names = fleet.names()
    const answer = await fleet.submit(names[index % names.length] ?? "", job)
    if (answer.type !== "stored") throw new RangeError(`The job ${job.id} was not stored: ${answer.type}.`)
  }
  return jobs
}

test("when the leader dies another instance takes over within a second, and no task runs twice", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const jobs = await submitMany(fleet, 100, 6)
  const former = fleet.leader() ?? ""
  fleet.kill(former)
  await fleet.clock.advance(1000)
  t.truthy(fleet.leader())
  await fleet.clock.advance(3000)
  for (const job of jobs) t.is(await fleet.stateAt(fleet.names()[0] ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
  t.is(Math.max(...fleet.workers.startCounts().values()), 1)
})

test("a leader that the store refuses is replaced, and workers refuse its later requests", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  const jobs = await submitMany(fleet, 200, 4)
  fleet.store.setMode("refusing", former)
  await fleet.clock.advance(1500)
  const later = fleet.leader()
  t.truthy(later)
  t.not(later, former)
  const more = await submitMany(fleet, 220, 4)
  await fleet.clock.advance(4000)
  for (const job of [...jobs, ...more]) t.is(await fleet.stateAt(later ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("while the store is unavailable work continues, and new jobs are refused at once and never run", async t => {
  for (const mode of ["refusing", "silent"] as const) {
    const fleet = testFleet()
    await fleet.clock.advance(1000)
    const jobs = await submitMany(fleet, 300, 3)
    fleet.store.setMode(mode)
    await fleet.clock.advance(1500)
    t.is(fleet.workers.doneTasks().size, 18, "later steps start without the store")
    const begun = fleet.clock.now()
    const refused = jobOf(399, [{}])
    const answer = await fleet.submit("entry-2", refused)
    t.is(answer.type, "refused")
    t.true(fleet.clock.now() - begun < 100)
    await fleet.clock.advance(3000)
    fleet.store.setMode("up")
    await fleet.clock.advance(3000)
    for (const job of jobs) t.is(await fleet.stateAt("entry-3", job), "completed")
    t.is(await fleet.stateAt("entry-3", refused), "unknown-job")
    t.deepEqual(fleet.workers.violations(), [])
    t.is(Math.max(...fleet.workers.startCounts().values()), 1)
  }
})

test("an instance that has not called a silent store refuses a job, and does not leave it open whether it is stored", async t => {
  const fleet = testFleet({instances: 5})
  await fleet.clock.advance(1000)
  const leader = fleet.leader() ?? ""
  const followers = fleet.names().filter(name => name !== leader)
  fleet.store.setMode("silent")
  void fleet.instance(leader).intake.submit(jobOf(380, [{}]), 3000)
  await fleet.clock.advance(700)
  const answers = followers.map((name, index) =>
    fleet.instance(name).intake.submit(jobOf(381 + index, [{}]), 3000),
  )
  for (const {type} of await fleet.runUntilSettled(Promise.all(answers))) t.is(type, "refused")
})

test("lost replies and late writes of the store neither lose nor duplicate a job", async t => {
  for (const mode of ["losing", "late"] as const) {
    const fleet = testFleet()
    await fleet.clock.advance(1000)
    const jobs = await submitMany(fleet, 400, 3)
    fleet.store.setMode(mode)
    const open = jobOf(450, [{count: 2}])
    const answer = await fleet.submit("entry-1", open)
    t.not(answer.type, "refused", "the job may have been written")
    await fleet.clock.advance(1000)
    fleet.store.setMode("up")
    await fleet.clock.advance(500)
    t.is((await fleet.submit("entry-2", open)).type, "stored")
    await fleet.clock.advance(8000)
    for (const job of [...jobs, open]) t.is(await fleet.stateAt("entry-1", job), "completed")
    t.deepEqual(fleet.workers.violations(), [])
  }
})

test("tasks on a silent worker start elsewhere after its lease has expired, and not before", async t => {
  const fleet = testFleet({workers: 2, planOf: () => ({demand: STEP.demand, duration: 6000})})
  await fleet.clock.advance(1000)
  const job = jobOf(500, [{count: 4}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(500)
  fleet.workers.disconnect("worker-1")
  await fleet.clock.advance(2000)
  t.is(fleet.workers.startCounts().size, 4)
  await fleet.clock.advance(14_000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("a worker that restarts under the same name gets its tasks again", async t => {
  const fleet = testFleet({workers: 2, planOf: () => ({demand: STEP.demand, duration: 2000})})
  await fleet.clock.advance(1000)
  const job = jobOf(600, [{count: 6}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(500)
  fleet.workers.crash("worker-1")
  await fleet.clock.advance(300)
  fleet.workers.restart("worker-1")
  fleet.register(fleet.workers.listing("worker-1"))
  await fleet.clock.advance(6000)
  t.is(await fleet.stateAt("entry-2", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("a task that ended in a new incarnation of its worker before the leader knew of it is not run again", async t => {
  const fleet = testFleet({
    workers: 1,
    planOf: task => ({demand: STEP.demand, duration: task.includes(".1.") ? 50 : 400}),
  })
  await fleet.clock.advance(1000)
  await submitMany(fleet, 650, 1)
  await fleet.clock.advance(1000)
  const job = jobOf(660, [{}, {after: [0]}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(200)
  // The leader asks for the next report only after it has waited for the store.
  fleet.store.setMode("silent")
  const hasEnded = (): boolean =>
    fleet.logLines.some(({event, fields}) => event === "run-ended" && fields.task === `${job.id}.0.0.0`)
  while (!hasEnded()) await fleet.clock.advance(1)
  fleet.workers.crash("worker-1")
  fleet.workers.restart("worker-1")
  fleet.register(fleet.workers.listing("worker-1"))
  await fleet.clock.advance(400)
  fleet.store.setMode("up")
  await fleet.clock.advance(4000)
  t.is(await fleet.stateAt("entry-2", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
  t.is(fleet.workers.startCounts().get(`${job.id}.0.1.0`), 1)
})

// The orders that reached the new incarnation had deadlines on the clock of the former one, so that the tasks ran on for the
// longest lease while the leader had started them elsewhere.
test("a worker that restarts under orders and is then cut off runs no task that runs elsewhere", async t => {
  const fleet = testFleet({workers: 4, planOf: () => ({demand: STEP.demand, duration: 9000})})
  await fleet.clock.advance(30_000)
  const jobs = Array.from({length: 24}, (_, index) => jobOf(1800 + index, [{estimate: 9000}]))
  const submitted: Promise<unknown>[] = []
  async function submitDuring(count: number): Promise<void> {
    for (const job of jobs.slice(submitted.length, submitted.length + count)) {
      submitted.push(fleet.instance("entry-1").intake.submit(job, 3000))
      await fleet.clock.advance(50)
    }
  }
  await submitDuring(2)
  fleet.workers.disconnect("worker-1")
  fleet.workers.crash("worker-1")
  fleet.workers.restart("worker-1")
  fleet.register(fleet.workers.listing("worker-1"))
  await submitDuring(2)
  fleet.workers.reconnect("worker-1")
  await submitDuring(8)
  fleet.workers.disconnect("worker-1")
  await submitDuring(12)
  await fleet.clock.advance(5000)
  fleet.workers.reconnect("worker-1")
  await fleet.clock.advance(14_000)
  await Promise.all(submitted)
  for (const job of jobs) t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("a worker out of the new leader's reach keeps its tasks until the former leader's leases expire", async t => {
  const fleet = testFleet({workers: 2, planOf: () => ({demand: STEP.demand, duration: 4000})})
  await fleet.clock.advance(1000)
  const job = jobOf(700, [{count: 4}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(300)
  const former = fleet.leader() ?? ""
  for (const name of fleet.names()) if (name !== former) fleet.workers.disconnect("worker-1", name)
  fleet.store.setMode("silent", former)
  for (const name of fleet.names()) if (name !== former) fleet.partition(former, name)
  await fleet.clock.advance(12_000)
  fleet.workers.reconnect("worker-1")
  fleet.healPartitions()
  fleet.store.setMode("up", former)
  await fleet.clock.advance(8000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

/** The two workers that run tasks, and the idle ones. */
function listHolders(fleet: TestFleet) {
  const byWorker = [...fleet.workers.runningByWorker()]
  const [holder = "", otherHolder = ""] = byWorker.filter(([, tasks]) => tasks.length > 0).map(([id]) => id)
  return {holder, otherHolder, idle: byWorker.filter(([, tasks]) => tasks.length === 0).map(([id]) => id)}
}

/**
 * Cuts the leader off, together with two followers, a worker that runs tasks and two idle ones, from the store and
 * everything else. It goes on with the support of these followers and of most workers.
 */
async function partitionLeader({hasDeafWatches = false} = {}) {
  const fleet = testFleet({
    instances: 6,
    workers: 4,
    planOf: () => ({demand: STEP.demand, duration: 60_000}),
  })
  await fleet.clock.advance(1000)
  const job = jobOf(720, [{count: 4, perWorker: 2}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(300)
  const former = fleet.leader() ?? ""
  const [first = "", second = "", ...others] = fleet.names().filter(name => name !== former)
  const cutOff = [former, first, second]
  const {holder, otherHolder, idle} = listHolders(fleet)
  for (const name of others) {
    for (const worker of [holder, ...idle]) fleet.workers.disconnect(worker, name)
    for (const one of cutOff) fleet.partition(one, name)
  }
  if (hasDeafWatches) fleet.store.deafenWatches(former)
  const spare = listingOf("worker-5")
  for (const name of cutOff) {
    fleet.store.setMode("silent", name)
    for (const worker of [otherHolder, spare.id]) fleet.workers.disconnect(worker, name)
  }
  fleet.workers.addWorker(spare)
  fleet.register(spare)
  await fleet.clock.advance(2500)
  const leads = (name: string): boolean => fleet.instance(name).counts().leads === 1
  const findLater = (): string => others.filter(name => fleet.names().includes(name)).find(leads) ?? ""
  return {fleet, cutOff, workersWithin: [holder, ...idle], findLater}
}

// The leader of a zone that was cut off counted the leases of workers beyond the cut as expired, while the leader that had
// replaced it extended them, and started their tasks again on workers of its own zone.
test("a leader that is cut off with followers starts no tasks again that a later leader keeps running", async t => {
  const fleet = testFleet({
    instances: 6,
    workers: 3,
    planOf: () => ({demand: STEP.demand, duration: 20_000}),
  })
  await fleet.clock.advance(1000)
  const job = jobOf(721, [{count: 4, perWorker: 2, estimate: 20_000}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(300)
  const former = fleet.leader() ?? ""
  const [first = "", second = "", ...others] = fleet.names().filter(name => name !== former)
  const tasks = [...fleet.workers.runningByWorker()]
  const [kept = ""] = tasks.filter(([, running]) => running.length === 2).map(([id]) => id)
  t.deepEqual(tasks.map(([, running]) => running.length).sort(), [0, 2, 2])
  for (const inside of [former, first, second]) {
    fleet.store.setMode("silent", inside)
    fleet.workers.disconnect(kept, inside)
    for (const outside of others) fleet.partition(inside, outside)
  }
  for (const [id] of tasks)
    if (id !== kept) for (const outside of others) fleet.workers.disconnect(id, outside)
  await fleet.clock.advance(10_000)
  t.is(fleet.instance(former).counts().leads, 1, "it is followed")
  t.deepEqual(fleet.workers.violations(), [])
  fleet.healPartitions()
  for (const [id] of tasks) fleet.workers.reconnect(id)
  for (const inside of [former, first, second]) fleet.store.setMode("up", inside)
  await fleet.clock.advance(25_000)
  t.is(await fleet.stateAt(others[0] ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

for (const seed of [1, 2, 3, 4]) {
  test(`no task runs twice while zones are cut off one after another, seed ${seed}`, async t => {
    const random = seededRandom(seed)
    const zoneOf = (name: string): number => Number(name.split("-")[1]) % 3
    const durations = seededRandom(seed)
    const plans = new Map<string, number>()
    const fleet = testFleet({
      seed,
      instances: 8,
      workers: 12,
      planOf(task) {
        const duration = plans.get(task) ?? 300 + durations.next() * 5000
        plans.set(task, duration)
        return {demand: STEP.demand, duration}
      },
    })
    const names = fleet.names()
    const workers = Array.from({length: 12}, (_, index) => `worker-${index + 1}`)
    let submitted = 0
    async function submitFor(span: number): Promise<void> {
      for (let time = 0; time < span; time += 150) {
        const name = names[Math.floor(random.next() * names.length)] ?? ""
        submitted += 1
        void fleet.instance(name).intake.submit(jobOf(seed * 10_000 + submitted, [{count: 2}]), 3000)
        await fleet.clock.advance(150)
      }
    }
    function cut(zone: number): void {
      for (const name of names) {
        const isInside = zoneOf(name) === zone
        if (isInside) fleet.store.setMode("silent", name)
        for (const other of names) if (isInside && zoneOf(other) !== zone) fleet.partition(name, other)
        for (const worker of workers)
          if ((zoneOf(worker) === zone) !== isInside) fleet.workers.disconnect(worker, name)
      }
    }
    await fleet.clock.advance(1000)
    for (let round = 0; round < 3; round += 1) {
      await submitFor(3000 + random.next() * 3000)
      cut(zoneOf(fleet.leader() ?? "entry-1"))
      await submitFor(8000 + random.next() * 4000)
      fleet.healPartitions()
      for (const name of names) fleet.store.setMode("up", name)
      for (const worker of workers) fleet.workers.reconnect(worker)
    }
    await fleet.clock.advance(10_000)
    t.deepEqual(fleet.workers.violations(), [])
  })
}

function pingOf(name: string, followedTerm: number, leaderClockMs: number): Ping {
  const sender = {name, address: `${name}:7000`, processors: 1}
  return {sender, ledTerm: 0, followedTerm, leaderClockMs, membersDigest: 0}
}

/**
 * Cuts the leader off without its followers, with a worker that runs tasks and two idle ones. The followers have joined
 * another leader, which starts the tasks again once the leases of the first one have expired.
 */
async function isolateLeader(prepare: (fleet: TestFleet, leader: string) => void = () => undefined) {
  const fleet = testFleet({
    instances: 4,
    workers: 4,
    planOf: () => ({demand: STEP.demand, duration: 60_000}),
  })
  await fleet.clock.advance(1000)
  await fleet.submit("entry-1", jobOf(740, [{count: 4, perWorker: 2}]))
  await fleet.clock.advance(300)
  const former = fleet.leader() ?? ""
  const others = fleet.names().filter(name => name !== former)
  const {holder, otherHolder, idle} = listHolders(fleet)
  prepare(fleet, former)
  await fleet.clock.advance(20)
  const {term, clockMs} = fleet.instance(former).handlers.ping(pingOf("", 0, 0))
  for (const name of others) {
    for (const worker of [holder, ...idle]) fleet.workers.disconnect(worker, name)
    fleet.partition(former, name)
  }
  fleet.store.setMode("silent", former)
  const spare = listingOf("worker-5")
  for (const worker of [otherHolder, spare.id]) fleet.workers.disconnect(worker, former)
  fleet.workers.addWorker(spare)
  fleet.register(spare)
  await fleet.clock.advance(9000)
  return {fleet, former, term, clockMs, others}
}

test("pings that reach an isolated leader late do not let it start tasks that run elsewhere by now", async t => {
  const {fleet, former, term, clockMs, others} = await isolateLeader()
  t.is(fleet.workers.running().length, 4)
  for (const name of others) fleet.instance(former).handlers.ping(pingOf(name, term, clockMs))
  await fleet.clock.advance(2000)
  t.deepEqual(fleet.workers.violations(), [])
})

test("an answer of the store that comes late does not let an isolated leader start tasks that run elsewhere", async t => {
  const {fleet} = await isolateLeader((before, leader) => {
    before.store.delayCommits(8000, leader)
    void before.instance(leader).intake.submit(jobOf(741, [{}]), 3000)
  })
  t.is(fleet.workers.running().length, 5)
  t.deepEqual(fleet.workers.violations(), [])
})

test("an isolated leader does not go on because an instance that has just started follows it", async t => {
  for (const started of ["entry-9", "restarted"]) {
    const {fleet, former, term, others} = await isolateLeader()
    const name = started === "restarted" ? (others[0] ?? "") : started
    const {handlers} = fleet.instance(former)
    let {clockMs} = handlers.ping(pingOf(name, term, 0))
    for (let count = 0; count < 10; count += 1) {
      await fleet.clock.advance(200)
      ;({clockMs} = handlers.ping(pingOf(name, term, clockMs)))
    }
    t.deepEqual(fleet.workers.violations(), [], started)
  }
})

test("a leader that replaces another one waits for the leader before that, which may still extend leases", async t => {
  const {fleet, findLater} = await partitionLeader()
  const second = findLater()
  t.not(second, "")
  fleet.store.setMode("refusing", second)
  await fleet.clock.advance(1500)
  t.not(findLater(), second)
  fleet.store.setMode("up", second)
  await fleet.clock.advance(8000)
  t.deepEqual(fleet.workers.violations(), [])
})

test("a watch that misses changes does not confirm a leader that was replaced", async t => {
  const {fleet, findLater} = await partitionLeader({hasDeafWatches: true})
  t.not(findLater(), "")
  await fleet.clock.advance(20_000)
  t.deepEqual(fleet.workers.violations(), [])
})

test("a ping that was sent before the term does not count as following the new leader", async t => {
  const {fleet, findLater, cutOff} = await partitionLeader()
  const later = fleet.instance(findLater())
  for (const name of cutOff) later.handlers.ping(pingOf(name, 1, 0))
  await fleet.clock.advance(8000)
  t.deepEqual(fleet.workers.violations(), [])
})

test("an unlisted worker that may run tasks of an earlier leader stays in the roster for later leaders", async t => {
  const {fleet, workersWithin, findLater} = await partitionLeader()
  for (const worker of workersWithin) fleet.unregister(worker)
  await fleet.clock.advance(4000)
  fleet.kill(findLater())
  await fleet.clock.advance(4000)
  t.not(findLater(), "")
  t.deepEqual(fleet.workers.violations(), [])
})

test("while a worker hangs, inherited tasks wait only for the leases of a former leader that has stopped", async t => {
  const fleet = testFleet({instances: 5, workers: 3})
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  fleet.kill(fleet.names().find(name => name !== former) ?? "")
  const job = jobOf(730, [{count: 3}, {count: 3, after: [0]}])
  await fleet.submit(former, job)
  fleet.workers.disconnect("worker-1")
  fleet.store.setMode("refusing", former)
  await fleet.clock.advance(1000)
  fleet.store.setMode("up", former)
  t.not(fleet.leader(), former)
  await fleet.clock.advance(6000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("inherited tasks do not wait longer because a follower has failed together with the leader", async t => {
  const fleet = testFleet({instances: 6, workers: 3})
  await fleet.clock.advance(2000)
  const former = fleet.leader() ?? ""
  const job = jobOf(735, [{count: 3}, {count: 3, after: [0]}])
  await fleet.submit(former, job)
  fleet.workers.disconnect("worker-1")
  fleet.kill(fleet.names().find(name => name !== former) ?? "")
  fleet.kill(former)
  await fleet.clock.advance(8000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

/** Sends the queue to further services, and then kills the leader and cuts off the worker that runs the task of a job. */
async function moveQueue(servicesBefore: readonly string[], servicesAfter: readonly string[]) {
  const services = ["crease", "glide", "fold"]
  const fleet = testFleet({
    workers: 0,
    planOf: () => ({demand: STEP.demand, duration: 14_000}),
  })
  for (const service of services) {
    for (const number of [1, 2]) {
      const listing = listingOf(`${service}-${number}`, {service})
      fleet.workers.addWorker(listing)
      fleet.register(listing)
    }
  }
  const move = async (service: string): Promise<void> => {
    fleet.configure({queues: [{...QUEUE, service}]})
    await fleet.clock.advance(3000)
  }
  await fleet.clock.advance(1000)
  const job = jobOf(745, [{estimate: 14_000}])
  // Another job occupies the workers of the first service, so that the task waits until the queue has been sent on.
  const [first] = servicesBefore
  if (first !== undefined) {
    await fleet.submit("entry-1", jobOf(746, [{count: 2, demand: {...STEP.demand, processors: 8}}]))
    await fleet.clock.advance(200)
  }
  await fleet.submit("entry-1", job)
  for (const service of servicesBefore) await move(service)
  await fleet.clock.advance(500)
  const [holder = ""] = [...fleet.workers.runningByWorker()]
    .filter(([, tasks]) => tasks.some(task => task.startsWith(job.id)))
    .map(([id]) => id)
  for (const service of servicesAfter) await move(service)
  fleet.workers.disconnect(holder)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(5500)
  fleet.workers.reconnect(holder)
  await fleet.clock.advance(16_000)
  return {fleet, job, holder}
}

// The barrier looked only at the service to which the queue belonged by then.
test("a task that runs at a service to which its queue belonged before is not started at another one", async t => {
  for (const [before, after] of [
    [[], ["glide"]],
    [["glide"], ["fold"]],
    [["glide"], ["crease"]],
  ] as const) {
    const {fleet, job, holder} = await moveQueue(before, after)
    const where = `${holder}, then ${after.join()}`
    t.true(holder.startsWith(before[0] ?? "crease"), where)
    t.deepEqual(fleet.workers.violations(), [], where)
    t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed", where)
  }
})

test("tasks start at a further service of their queue only once a later leader would look for them there", async t => {
  const fleet = testFleet({workers: 0})
  const listing = listingOf("glide-1", {service: "glide"})
  fleet.workers.addWorker(listing)
  fleet.register(listing)
  await fleet.clock.advance(1000)
  const job = jobOf(747, [{}])
  await fleet.submit("entry-1", job)
  fleet.configure({queues: [{...QUEUE, service: "glide"}]})
  for (const name of fleet.names()) fleet.store.delayCommits(2500, name)
  await fleet.clock.advance(2000)
  t.is(fleet.workers.startCounts().size, 0)
  for (const name of fleet.names()) fleet.store.delayCommits(0, name)
  await fleet.clock.advance(4000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
})

test("inherited tasks wait no longer because the leader before the last one has gone for good as well", async t => {
  const fleet = testFleet({instances: 8, workers: 3})
  await fleet.clock.advance(2000)
  const job = jobOf(736, [{count: 3}, {count: 3, after: [0]}])
  await fleet.submit(fleet.leader() ?? "", job)
  fleet.workers.disconnect("worker-1")
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(1300)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(8000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("requests that workers carry out late run no task twice", async t => {
  const fleet = testFleet({seed: 7})
  const random = seededRandom(7)
  await fleet.clock.advance(1000)
  fleet.workers.delayOrders(0.1, random.next)
  const jobs = await submitMany(fleet, 800, 8)
  await fleet.clock.advance(6000)
  fleet.workers.delayOrders(0, random.next)
  await fleet.clock.advance(14_000)
  for (const job of jobs) t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
})

test("when all instances die and restart, every accepted job is completed once", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const jobs = await submitMany(fleet, 900, 5)
  const names = [...fleet.names()]
  for (const name of names) fleet.kill(name)
  await fleet.clock.advance(1500)
  for (const name of names) fleet.start(name)
  await fleet.clock.advance(4000)
  for (const job of jobs) t.is(await fleet.stateAt("entry-2", job), "completed")
  t.deepEqual(fleet.workers.violations(), [])
  t.is(Math.max(...fleet.workers.startCounts().values()), 1)
})

test("a planned stop hands over leadership, and jobs are accepted meanwhile", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  await fleet.runUntilSettled(fleet.instance(former).drain())
  const job = jobOf(950, [{count: 2}])
  t.is((await fleet.submit(former, job)).type, "stored")
  await fleet.clock.advance(500)
  t.not(fleet.leader(), former)
  fleet.kill(former)
  await fleet.clock.advance(2000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
})

test("a later leader does not wait for a worker that has left", async t => {
  const fleet = testFleet({workers: 2, planOf: () => ({demand: STEP.demand, duration: 3000})})
  await fleet.clock.advance(1000)
  fleet.workers.crash("worker-2")
  fleet.unregister("worker-2")
  await fleet.clock.advance(8000)
  const job = jobOf(960, [{count: 2}, {after: [0]}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(500)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(3600)
  t.is(fleet.workers.running().length, 1, "the second step runs")
})

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`random faults neither lose a job nor run a task twice, seed ${seed}`, async t => {
    const random = seededRandom(seed)
    const fleet = testFleet({seed, instances: 4, workers: 5})
    await fleet.clock.advance(1000)
    const jobs: ReturnType<typeof jobOf>[] = []
    const pick = <T>(items: readonly T[]): T => items[random.below(items.length)] as T
    for (let round = 0; round < 25; round += 1) {
      const names = fleet.names()
      const job = jobOf(seed * 1000 + round, [{count: 2}, {count: 2, after: [0]}])
      if (names.length > 0 && (await fleet.submit(pick(names), job)).type === "stored") jobs.push(job)
      const fault = random.below(9)
      const worker = `worker-${1 + random.below(5)}`
      if (fault === 0 && names.length > 1) {
        const victim = pick(names)
        fleet.kill(victim)
        fleet.clock.after(1500, () => fleet.start(victim))
      } else if (fault === 1) {
        fleet.workers.disconnect(worker)
        fleet.clock.after(3000, () => fleet.workers.reconnect(worker))
      } else if (fault === 2) {
        fleet.store.setMode(pick(["refusing", "silent", "losing", "late"] as const))
        fleet.clock.after(1800, () => fleet.store.setMode("up"))
      } else if (fault === 3 && fleet.leader() !== undefined) {
        const leader = fleet.leader() ?? ""
        fleet.store.setMode(pick(["refusing", "silent"] as const), leader)
        fleet.clock.after(2500, () => fleet.store.setMode("up", leader))
      } else if (fault === 4) {
        fleet.workers.delayOrders(0.15, random.next)
        fleet.clock.after(1500, () => fleet.workers.delayOrders(0, random.next))
      } else if (fault === 5 && names.length > 1) {
        fleet.partition(pick(names), pick(names))
        fleet.clock.after(2500, () => fleet.healPartitions())
      } else if (fault === 6) fleet.store.compact()
      await fleet.clock.advance(random.below(900))
    }
    fleet.store.setMode("up")
    fleet.healPartitions()
    for (let index = 1; index <= 5; index += 1) fleet.workers.reconnect(`worker-${index}`)
    await fleet.clock.advance(40_000)
    t.deepEqual(fleet.workers.violations(), [])
    for (const job of jobs) t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  })
}

test("an instance becomes leader if its claim was written but the reply was lost", async t => {
  const fleet = testFleet({instances: 2})
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  const other = fleet.names().find(name => name !== former) ?? ""
  fleet.store.setMode("losing", other)
  fleet.kill(former)
  await fleet.clock.advance(2500)
  fleet.store.setMode("up", other)
  await fleet.clock.advance(2000)
  t.is(fleet.leader(), other)
  const job = jobOf(970, [{count: 2}])
  await fleet.submit(other, job)
  await fleet.clock.advance(2000)
  t.is(await fleet.stateAt(other, job), "completed")
})

test("a task that can never be placed reserves no capacity", async t => {
  const whole = {processors: 8, memoryMebibytes: 100, accelerators: 0}
  const small = {processors: 3, memoryMebibytes: 100, accelerators: 0}
  const most = {processors: 4.5, memoryMebibytes: 100, accelerators: 0}
  const fleet = testFleet({
    workers: 2,
    planOf: task => {
      if (task.startsWith("00000000000003e8")) return {demand: most, duration: 1e6}
      return task.startsWith("00000000000003e9")
        ? {demand: whole, duration: 500}
        : {demand: small, duration: 500}
    },
  })
  await fleet.clock.advance(1000)
  await fleet.submit("entry-1", jobOf(1000, [{count: 2, perWorker: 1, lasting: true, demand: most}]))
  await fleet.clock.advance(500)
  await fleet.submit("entry-1", jobOf(1001, [{count: 2, demand: whole}]))
  await fleet.clock.advance(500)
  const others = [1002, 1003, 1004, 1005].map(number => jobOf(number, [{demand: small}]))
  for (const job of others) await fleet.submit("entry-1", job)
  await fleet.clock.advance(1800)
  for (const job of others) t.is(await fleet.stateAt("entry-1", job), "completed")
})

test("an urgent task that can never be placed withholds no headroom from less urgent work", async t => {
  const lasting = {processors: 5, memoryMebibytes: 100, accelerators: 0}
  const whole = {processors: 8, memoryMebibytes: 100, accelerators: 0}
  const background = {...QUEUE, name: "packs", prefix: "/packs/", priority: 2}
  const fleet = testFleet({
    workers: 4,
    queues: [QUEUE, background],
    planOf: task =>
      task.startsWith("00000000000003f2")
        ? {demand: lasting, duration: 1e6}
        : {demand: STEP.demand, duration: 500},
  })
  await fleet.clock.advance(1000)
  await fleet.submit("entry-1", jobOf(1010, [{count: 4, perWorker: 1, lasting: true, demand: lasting}]))
  await fleet.clock.advance(500)
  await fleet.submit("entry-1", jobOf(1011, [{count: 4, demand: whole}]))
  await fleet.clock.advance(500)
  const other = jobOf(1012, [{count: 4, demand: {...STEP.demand, processors: 3}}], {queue: background})
  await fleet.submit("entry-1", other)
  await fleet.clock.advance(15_000)
  t.is(await fleet.stateAt("entry-1", other), "completed")
})

test("a new leader that has not read the stored jobs yet reports no lower counts of waiting jobs", async t => {
  const fleet = testFleet({workers: 0})
  await fleet.clock.advance(1000)
  for (let number = 1100; number < 1104; number += 1) await fleet.submit("entry-1", jobOf(number, [{}]))
  await fleet.clock.advance(1000)
  fleet.store.failLists(true)
  fleet.kill(fleet.leader() ?? "")
  for (let step = 0; step < 20; step += 1) {
    await fleet.clock.advance(100)
    for (const name of fleet.names()) t.is(fleet.instance(name).intake.pending(QUEUE.name), 4)
  }
  t.truthy(fleet.leader())
  await fleet.clock.advance(6000)
  for (const name of fleet.names()) t.not(fleet.instance(name).intake.pending(QUEUE.name), 0)
  fleet.store.failLists(false)
  await fleet.clock.advance(1000)
  for (const name of fleet.names()) t.is(fleet.instance(name).intake.pending(QUEUE.name), 4)
})

test("a new leader without counts of waiting jobs does not renew older ones at its followers", async t => {
  const fleet = testFleet({workers: 0})
  await fleet.clock.advance(1000)
  fleet.store.failLists(true)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(1500)
  t.truthy(fleet.leader())
  const job = jobOf(1140, [{}])
  fleet.store.put(jobKey(job.id), formatJob(job))
  await fleet.clock.advance(5000)
  for (const name of fleet.names()) t.is(fleet.instance(name).intake.pending(QUEUE.name), undefined)
})

test("a leader that cannot read the store reports no counts that lack jobs stored by other instances", async t => {
  const fleet = testFleet({workers: 0})
  await fleet.clock.advance(1500)
  fleet.store.failLists(true)
  fleet.store.compact()
  await fleet.clock.advance(1200)
  for (let number = 1160; number < 1164; number += 1) {
    const job = jobOf(number, [{}])
    fleet.store.put(jobKey(job.id), formatJob(job))
  }
  await fleet.clock.advance(5000)
  for (const name of fleet.names()) t.is(fleet.instance(name).intake.pending(QUEUE.name), undefined)
  fleet.store.failLists(false)
  await fleet.clock.advance(2000)
  for (const name of fleet.names()) t.is(fleet.instance(name).intake.pending(QUEUE.name), 4)
})

test("a job that a new leader is told of before it has read the stored progress is not run again", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const job = jobOf(1150, [{}, {after: [0], lasting: true}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(1000)
  const record = formatJob(job)
  fleet.store.failLists(true)
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(1000)
  await fleet.instance(fleet.leader() ?? "").handlers.storeJob(record, true)
  fleet.store.failLists(false)
  await fleet.clock.advance(4000)
  t.is(fleet.workers.startCounts().get(`${job.id}.0.0.0`), 1)
})

test("a leader that cannot read its work from the store is replaced by one that can", async t => {
  const fleet = testFleet({instances: 4})
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  const job = jobOf(1150, [{count: 2}])
  await fleet.submit(former, job)
  const [stuck = "", ...able] = fleet.names().filter(name => name !== former)
  fleet.store.failLists(true, stuck)
  for (const name of able) fleet.store.setMode("refusing", name)
  fleet.kill(former)
  await fleet.clock.advance(3000)
  t.is(fleet.leader(), stuck)
  for (const name of able) fleet.store.setMode("up", name)
  await fleet.clock.advance(5000)
  t.true(able.includes(fleet.leader() ?? ""))
  t.is(await fleet.stateAt(able[0] ?? "", job), "completed")
})

test("a leader that takes long to read its work is not replaced while it comes further", async t => {
  const fleet = testFleet({instances: 5})
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  const job = jobOf(1152, [{count: 2}])
  await fleet.submit(former, job)
  fleet.store.paginateLists(15, 500)
  const killedAt = fleet.clock.now()
  fleet.kill(former)
  await fleet.clock.advance(12_000)
  const takeovers = fleet.logLines.filter(({event, at}) => event === "leading" && at > killedAt)
  t.is(takeovers.length, 1)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
})

test("an earlier leader that announces itself to its successor is not taken for a follower", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const leader = fleet.instance(fleet.leader() ?? "")
  const former = {name: "entry-9", address: "entry-9:7000", processors: 1}
  const ping = {sender: former, followedTerm: 0, leaderClockMs: 0, membersDigest: 0}
  leader.handlers.ping({...ping, ledTerm: 1})
  t.is(leader.counts().members, 3)
  leader.handlers.ping({...ping, ledTerm: 0})
  t.is(leader.counts().members, 4)
})

test("an instance whose claim was answered after another one took over does not lead", async t => {
  const fleet = testFleet({instances: 4})
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  const [slow = "", ...others] = fleet.names().filter(name => name !== former)
  const linesBefore = fleet.logLines.length
  for (const name of others) fleet.store.setMode("refusing", name)
  fleet.store.delayCommits(6000, slow)
  fleet.kill(former)
  await fleet.clock.advance(1000)
  for (const name of others) fleet.store.setMode("up", name)
  await fleet.clock.advance(9000)
  const leaders = fleet.logLines.slice(linesBefore).filter(line => line.event === "leading")
  t.is(leaders.length, 1)
  t.true(others.includes(leaders[0]?.instance ?? ""))
})

test("an instance that learns of its claim after another one took over starts no work", async t => {
  const fleet = testFleet({instances: 4})
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  const [slow = "", ...others] = fleet.names().filter(name => name !== former)
  for (const name of others) fleet.store.setMode("refusing", name)
  fleet.store.delayCommits(6000, slow)
  fleet.kill(former)
  await fleet.clock.advance(1000)
  for (const name of others) {
    fleet.store.setMode("up", name)
    fleet.partition(slow, name)
  }
  await fleet.clock.advance(9000)
  const begun = fleet.logLines.filter(line => line.event === "planning" && line.instance === slow)
  t.deepEqual(begun, [])
})

test("a leader without followers and work goes on, since it asks the store whether it still leads", async t => {
  const fleet = testFleet({
    instances: 1,
    workers: 1,
    planOf: () => ({demand: STEP.demand, duration: 60_000}),
  })
  await fleet.clock.advance(1000)
  await fleet.submit("entry-1", jobOf(990, [{}]))
  await fleet.clock.advance(1000)
  t.is(fleet.workers.startCounts().size, 1)
  fleet.store.delayCommits(2000, "entry-1")
  await fleet.clock.advance(12_000)
  fleet.store.delayCommits(0, "entry-1")
  t.is(fleet.workers.running().length, 1)
  t.is(Math.max(...fleet.workers.startCounts().values()), 1)
  const late = jobOf(991, [{}])
  const begun = fleet.clock.now()
  await fleet.submit("entry-1", late)
  while (fleet.workers.running().length < 2 && fleet.clock.now() - begun < 3000) await fleet.clock.advance(10)
  t.true(fleet.clock.now() - begun < 300)
})

test("a weak instance hands leadership to a stronger one, and leads if there is none", async t => {
  const processors = {"entry-1": 0.3, "entry-2": 0.3, "entry-3": 1.3}
  const fleet = testFleet({processors})
  await fleet.clock.advance(1000)
  t.is(fleet.leader(), "entry-3")
  fleet.kill("entry-3")
  await fleet.clock.advance(1500)
  t.not(fleet.leader(), undefined)
  fleet.start("entry-3")
  await fleet.clock.advance(3000)
  t.is(fleet.leader(), "entry-3")
  const job = jobOf(1200, [{count: 2}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(1500)
  t.is(await fleet.stateAt("entry-2", job), "completed")
})

test("the state of a job is answered by a busy leader when the store refuses the instance", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const job = jobOf(1300, [{lasting: true}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(1000)
  const follower = fleet.names().find(name => name !== fleet.leader()) ?? ""
  fleet.store.setMode("refusing", follower)
  fleet.delayLeader(800)
  t.is(await fleet.stateAt(follower, job), "running")
})

test("a weak follower that first finds the leader cut off does not lead before a stronger one", async t => {
  const leaders: (string | undefined)[] = []
  for (const seed of [1, 2, 3, 4]) {
    const strong = {"entry-1": 1.3, "entry-2": 1.3}
    const names = Array.from({length: 30}, (_, index) => `entry-${index + 1}`)
    const weak = Object.fromEntries(names.map(name => [name, 0.3]))
    const fleet = testFleet({seed, instances: names.length, processors: {...weak, ...strong}})
    await fleet.clock.advance(3000)
    const former = fleet.leader() ?? ""
    fleet.store.setMode("refusing", former)
    const leads = (name: string): boolean => name !== former && fleet.instance(name).counts().leads === 1
    for (let waited = 0; waited < 5000 && !names.some(leads); waited += 20) await fleet.clock.advance(20)
    leaders.push(names.find(leads))
  }
  t.true(
    leaders.every(name => name === "entry-1" || name === "entry-2"),
    leaders.join(" "),
  )
})

test("a weak leader hands over as soon as it knows of a stronger instance", async t => {
  const fleet = testFleet({processors: {"entry-1": 0.3, "entry-2": 0.3, "entry-3": 1.3}})
  await fleet.clock.advance(1000)
  fleet.kill("entry-3")
  while (fleet.leader() === undefined) await fleet.clock.advance(50)
  fleet.start("entry-3")
  await fleet.clock.advance(700)
  t.is(fleet.leader(), "entry-3")
})

test("a follower is sent the list of members only when it has changed", async t => {
  const fleet = testFleet({instances: 4})
  await fleet.clock.advance(2000)
  const leader = fleet.instance(fleet.leader() ?? "")
  const pingWith = (name: string, membersDigest: number) =>
    leader.handlers.ping({...pingOf(name, 0, 0), membersDigest})
  const first = pingWith("entry-8", 0)
  t.is(first.members?.length, 5)
  t.is(pingWith("entry-8", first.membersDigest).members, undefined)
  await fleet.clock.advance(200)
  const second = pingWith("entry-9", first.membersDigest)
  t.is(second.members?.length, 6)
  await fleet.clock.advance(200)
  t.is(pingWith("entry-8", second.membersDigest).members, undefined)
  const follower = fleet.names().find(name => name !== fleet.leader()) ?? ""
  t.is(fleet.instance(follower).counts().members, 6)
  t.is(fleet.instance(follower).handlers.ping(pingOf("entry-9", 0, 0)).members, undefined)
})
