/**
 * Failures of instances, workers, the store and the network in a simulated cluster of 8 groups: every group keeps one
 * holder at most, and no task runs twice at once or, if it may run at most once, is started again. `violations` lists
 * breaches of these invariants. A "batch" task may be restarted; a "once" task may not.
 */
import test from "ava"
import {readyCluster} from "../support/cluster.js"
import type {Cluster, ClusterInstance} from "../support/cluster.js"

const CAPACITY = {processors: 8, memoryMebibytes: 8192, accelerators: 2}
const SMALL = {instances: 4, racks: 4, workersPerRack: 2, capacity: CAPACITY}
const DEMAND = {processors: 1, memoryMebibytes: 512, accelerators: 0}

function job(team: string, workload: string, tasks: number, run: number): object {
  return {team, workload, tasks, demand: DEMAND, payload: JSON.stringify({run})}
}

/** The expected states of `count` tasks that all ran. */
const allRan = (count: number): string[] => Array.from({length: count}, () => "ran")

/** Number of groups held by live instances. */
function heldGroups(cluster: Cluster): number {
  return cluster.liveInstances().reduce((sum, instance) => sum + instance.core.ownership.held().size, 0)
}

/** Runs the clock until the job has ended and returns its task states, with details if it does not end in time. */
async function untilEnded(cluster: Cluster, name: string, limit: number): Promise<string[]> {
  for (let passed = 0; passed < limit; passed += 500) {
    const body = await cluster.get(name)
    if (body.state === "ended") return body.tasks.map(task => task.state)
    await cluster.advance(500)
  }
  return (await cluster.get(name)).tasks.map(task => `${task.state} ${task.detail}`)
}

test("every group gets one holder, evenly", async t => {
  const cluster = await readyCluster({...SMALL, seed: 1})
  const counts = cluster.instances.map(instance => instance.core.ownership.held().size)
  t.is(
    counts.reduce((sum, count) => sum + count, 0),
    8,
  )
  t.true(Math.max(...counts) <= 3, counts.join(" "))
  const accepted = await cluster.submit(job("red", "batch", 10, 1000))
  t.is(accepted.status, 202)
  t.deepEqual(await untilEnded(cluster, accepted.body.job, 20_000), allRan(10))
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

/** The live instance that is the home of the job. */
function homeOf(cluster: Cluster, name: string): ClusterInstance | undefined {
  const group = `j/${name.split("-")[0] ?? ""}`
  return cluster.liveInstances().find(instance => instance.core.ownership.epochOf(group) !== undefined)
}

test("a home that dies does not disturb running tasks, and the next home continues with the rest", async t => {
  const cluster = await readyCluster({...SMALL, seed: 12})
  const first = await cluster.submit(job("red", "batch", 20, 9000))
  const second = await cluster.submit(job("blue", "once", 6, 9000))
  await cluster.advance(2000)
  for (const accepted of [first, second]) {
    const home = homeOf(cluster, accepted.body.job)
    if (home) cluster.kill(home)
  }
  t.deepEqual(await untilEnded(cluster, first.body.job, 60_000), allRan(20))
  const once = await untilEnded(cluster, second.body.job, 60_000)
  t.true(
    once.every(state => state === "ran" || state === "unknown"),
    once.join(" "),
  )
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("work that may run at most once ends as unknown when its home, its owners and its workers fail together", async t => {
  const cluster = await readyCluster({...SMALL, seed: 14})
  const accepted = await cluster.submit(job("blue", "once", 6, 9000))
  await cluster.advance(2000)
  t.is(cluster.truth.tasks().length, 6)
  const names = cluster.instances.map(instance => instance.name)
  for (const instance of [...cluster.instances]) cluster.kill(instance)
  for (const worker of cluster.workers.values()) worker.crash()
  for (const name of names) await cluster.start(name)
  await cluster.advance(15_000)
  t.deepEqual(
    await untilEnded(cluster, accepted.body.job, 60_000),
    Array.from({length: 6}, () => "unknown"),
  )
  t.is(cluster.truth.tasks().length, 6, "no task was started again")
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("after a home has died a waiting task is not reported as not run without proof", async t => {
  const cluster = await readyCluster({...SMALL, seed: 15})
  const filler = await cluster.submit(job("red", "batch", 64, 60_000))
  await cluster.advance(2000)
  const waiting = await cluster.submit(job("red", "batch", 4, 1000))
  await cluster.advance(500)
  const home = homeOf(cluster, waiting.body.job)
  if (home) cluster.kill(home)
  await cluster.advance(8000)
  await cluster.cancel(waiting.body.job)
  await cluster.cancel(filler.body.job)
  await cluster.advance(3000)
  const states = (await cluster.get(waiting.body.job)).tasks.map(task => task.state)
  t.false(states.includes("not-run"), states.join(" "))
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("service replicas move off a leaving worker one at a time and never run twice", async t => {
  const cluster = await readyCluster({...SMALL, seed: 16})
  const accepted = await cluster.submit(job("green", "service", 3, 0))
  await cluster.advance(3000)
  const leaving = cluster.truth.tasks()[0]?.worker ?? ""
  const listed = cluster.list.read().find(entry => entry.name === leaving)
  if (listed) cluster.list.put({...listed, status: "leaving"})
  cluster.list.settle()
  await cluster.advance(10_000)
  t.deepEqual(cluster.workers.get(leaving)?.running(), [])
  const open = cluster.truth.tasks().filter(run => run.endedAt === undefined)
  t.is(open.length, 3)
  t.deepEqual(cluster.violations(), [])
  await cluster.cancel(accepted.body.job)
  cluster.close()
})

test("a task that exceeds its memory is throttled or checkpointed, and its next attempt asks for more", async t => {
  const cluster = await readyCluster({...SMALL, seed: 17})
  const body = (workload: string, memory: number): object => ({
    ...job("red", workload, 1, 0),
    payload: JSON.stringify({run: 3000, memory}),
  })
  const throttled = await cluster.submit(body("once", 1.3))
  const moved = await cluster.submit(body("batch", 1.8))
  await cluster.advance(4500)
  const [once] = cluster.truth.tasks().filter(run => run.job === throttled.body.job)
  t.is(once?.endedAt, undefined, "it continues at half speed")
  t.deepEqual(await untilEnded(cluster, throttled.body.job, 20_000), allRan(1))
  t.deepEqual(await untilEnded(cluster, moved.body.job, 40_000), allRan(1))
  const runs = cluster.truth.tasks().filter(run => run.job === moved.body.job)
  t.true(runs.some(run => run.outcome === "checkpointed"))
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("a placement whose reply is lost is settled before the task starts again", async t => {
  const cluster = await readyCluster({...SMALL, seed: 13})
  cluster.peerRepliesToLose.set("place", 3)
  const accepted = await cluster.submit(job("red", "batch", 16, 8000))
  const once = await cluster.submit(job("blue", "once", 6, 8000))
  await cluster.advance(15_000)
  t.is(cluster.peerRepliesToLose.get("place"), 0, "all three replies were lost")
  t.deepEqual(await untilEnded(cluster, accepted.body.job, 60_000), allRan(16))
  t.deepEqual(await untilEnded(cluster, once.body.job, 60_000), allRan(6))
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("the groups of a killed holder are taken over and its work continues", async t => {
  const cluster = await readyCluster({...SMALL, seed: 2})
  const first = await cluster.submit(job("red", "batch", 12, 4000))
  const second = await cluster.submit(job("blue", "once", 12, 4000))
  await cluster.advance(1000)
  const victim = cluster.instances[1]
  t.truthy(victim)
  if (victim) cluster.kill(victim)
  await cluster.advance(6000)
  t.is(heldGroups(cluster), 8)
  t.deepEqual(await untilEnded(cluster, first.body.job, 40_000), allRan(12))
  const once = await untilEnded(cluster, second.body.job, 40_000)
  t.true(
    once.every(state => state === "ran" || state === "unknown"),
    once.join(" "),
  )
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("a holder that resumes in the middle of a grant, after its lease has ended, starts nothing", async t => {
  const cluster = await readyCluster({...SMALL, seed: 3})
  const accepted = await cluster.submit(job("green", "batch", 40, 3000))
  let paused = ""
  cluster.beforeSync = from => {
    const instance = cluster.instances.find(candidate => candidate.name === from)
    if (paused !== "" || !instance || instance === cluster.instances[0]) return
    paused = from
    cluster.pause(instance)
  }
  await cluster.advance(9000)
  t.not(paused, "")
  const instance = cluster.instances.find(candidate => candidate.name === paused)
  t.is(heldGroups(cluster), 8)
  if (instance) cluster.resume(instance)
  await cluster.advance(3000)
  t.deepEqual(await untilEnded(cluster, accepted.body.job, 60_000), allRan(40))
  t.true((instance?.core.ownership.incarnation() ?? "") > "", "it continues under a new incarnation")
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("the outcome of writes whose replies are lost is found by reading the store", async t => {
  const cluster = await readyCluster({...SMALL, seed: 4})
  cluster.faults.lostReplies = 25
  const accepted = await cluster.submit(job("red", "once", 6, 1000), "key-1")
  const repeated = await cluster.submit(job("red", "once", 6, 1000), "key-1")
  t.is(repeated.body.job, accepted.body.job)
  const victim = cluster.instances[2]
  if (victim) cluster.kill(victim)
  await cluster.advance(10_000)
  t.is(heldGroups(cluster), 8)
  const states = await untilEnded(cluster, accepted.body.job, 60_000)
  t.true(
    states.every(state => state === "ran" || state === "unknown"),
    states.join(" "),
  )
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("work continues through a store outage of ten minutes in which an instance dies", async t => {
  const cluster = await readyCluster({...SMALL, instances: 5, seed: 5})
  const jobs = [
    await cluster.submit(job("red", "batch", 300, 12_000)),
    await cluster.submit(job("blue", "batch", 300, 12_000)),
  ]
  await cluster.advance(1000)
  cluster.faults.down = true
  const before = cluster.truth.tasks().length
  await cluster.advance(60_000)
  const started = cluster.truth.tasks().length - before
  t.true(started > 100, `${started} tasks were started in the first minute without the store`)
  t.is(heldGroups(cluster), 8)
  const refused = await cluster.submit(job("green", "batch", 1, 100))
  t.is(refused.status, 503)
  t.is(refused.body.execution, "not-run")
  const victim = cluster.instances[4]
  if (victim) cluster.kill(victim)
  await cluster.advance(540_000)
  cluster.faults.down = false
  await cluster.advance(12_000)
  t.is(heldGroups(cluster), 8)
  for (const accepted of jobs) t.deepEqual(await untilEnded(cluster, accepted.body.job, 120_000), allRan(300))
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("a store at fifty times its usual latency delays only the acceptance of jobs", async t => {
  const cluster = await readyCluster({...SMALL, seed: 6})
  cluster.faults.latency = 250
  const accepted = await cluster.submit(job("red", "batch", 20, 1000))
  t.is(accepted.status, 202)
  t.deepEqual(await untilEnded(cluster, accepted.body.job, 30_000), allRan(20))
  const victim = cluster.instances[3]
  if (victim) cluster.kill(victim)
  await cluster.advance(10_000)
  t.is(heldGroups(cluster), 8)
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("an instance list that lags by a minute does not delay takeover after a death", async t => {
  const cluster = await readyCluster({...SMALL, seed: 7})
  cluster.list.setLag(60_000)
  const victim = cluster.instances[0]
  if (victim) cluster.kill(victim)
  const accepted = await cluster.submit(job("blue", "batch", 10, 1000))
  await cluster.advance(8000)
  t.is(heldGroups(cluster), 8)
  t.deepEqual(await untilEnded(cluster, accepted.body.job, 30_000), allRan(10))
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("half the instances cut off from the rest and from the store never hold a group that another instance holds", async t => {
  const cluster = await readyCluster({...SMALL, instances: 6, seed: 8})
  const accepted = [
    await cluster.submit(job("red", "batch", 60, 4000)),
    await cluster.submit(job("green", "once", 20, 4000)),
  ]
  const near = cluster.instances.slice(0, 3)
  const far = cluster.instances.slice(3)
  for (const one of near)
    for (const other of far) cluster.partitions.add([one.name, other.name].sort().join("|"))
  for (const instance of far) cluster.faults.cutOff.add(instance.name)
  await cluster.advance(30_000)
  t.deepEqual(cluster.violations(), [])
  cluster.partitions.clear()
  cluster.faults.cutOff.clear()
  await cluster.advance(15_000)
  t.is(heldGroups(cluster), 8)
  t.deepEqual(await untilEnded(cluster, accepted[0]?.body.job ?? "", 90_000), allRan(60))
  const once = await untilEnded(cluster, accepted[1]?.body.job ?? "", 90_000)
  t.true(
    once.every(state => state === "ran" || state === "unknown"),
    once.join(" "),
  )
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("a worker that answers nobody gets no tasks, and its tasks start elsewhere only after their leases have expired", async t => {
  const cluster = await readyCluster({...SMALL, seed: 9})
  const accepted = await cluster.submit(job("red", "batch", 30, 20_000))
  await cluster.advance(2000)
  const [silent] = cluster.truth.tasks().map(run => run.worker)
  t.truthy(silent)
  cluster.silentWorkers.add(silent ?? "")
  await cluster.advance(12_000)
  const tasksOfSilent = cluster.truth.tasks().filter(run => run.worker === silent)
  t.true(
    tasksOfSilent.every(run => run.endedAt !== undefined),
    "the worker ended its tasks when their leases expired",
  )
  t.deepEqual(await untilEnded(cluster, accepted.body.job, 90_000), allRan(30))
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("two faults at once: an owner and a home die while a worker restarts", async t => {
  const cluster = await readyCluster({...SMALL, instances: 6, seed: 10})
  const accepted = [
    await cluster.submit(job("red", "batch", 40, 3000)),
    await cluster.submit(job("blue", "once", 10, 3000)),
  ]
  await cluster.advance(1500)
  for (const instance of cluster.instances.slice(1, 3)) cluster.kill(instance)
  cluster.workers.get("worker-1-1")?.crash()
  await cluster.advance(12_000)
  t.is(heldGroups(cluster), 8)
  t.deepEqual(await untilEnded(cluster, accepted[0]?.body.job ?? "", 90_000), allRan(40))
  const once = await untilEnded(cluster, accepted[1]?.body.job ?? "", 90_000)
  t.true(
    once.every(state => state === "ran" || state === "unknown"),
    once.join(" "),
  )
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})

test("all instances restart at once without state in memory", async t => {
  const cluster = await readyCluster({...SMALL, seed: 11})
  const accepted = [
    await cluster.submit(job("red", "batch", 30, 6000)),
    await cluster.submit(job("blue", "once", 8, 6000)),
  ]
  await cluster.advance(2000)
  const names = cluster.instances.map(instance => instance.name)
  for (const instance of [...cluster.instances]) cluster.kill(instance)
  await cluster.advance(1000)
  for (const name of names) await cluster.start(name)
  await cluster.advance(15_000)
  t.is(heldGroups(cluster), 8)
  t.deepEqual(await untilEnded(cluster, accepted[0]?.body.job ?? "", 90_000), allRan(30))
  const once = await untilEnded(cluster, accepted[1]?.body.job ?? "", 90_000)
  t.true(
    once.every(state => state === "ran" || state === "unknown"),
    once.join(" "),
  )
  t.deepEqual(cluster.violations(), [])
  cluster.close()
})
