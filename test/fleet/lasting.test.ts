/** Long-running tasks keep running while instances, workers and the store fail. */
import test from "ava"
import {STEP, jobOf, testFleet} from "../support/fleet.js"
import {playLasting} from "../support/lasting.js"

test("a new leader does not repeat attempt numbers that no worker reports any more", async t => {
  const fleet = testFleet({
    workers: 2,
    planOf: () => ({demand: STEP.demand, duration: 300, failures: 1000}),
  })
  await fleet.clock.advance(1000)
  const job = jobOf(4001, [{lasting: true}])
  await fleet.submit("entry-1", job)
  const task = `${job.id}.0.0.0`
  const countStarts = (): number => fleet.workers.startCounts().get(task) ?? 0
  // It stays down for a moment after each failure.
  while (countStarts() <= 5 || fleet.workers.running().length === 0) await fleet.clock.advance(100)
  const busy = [...fleet.workers.runningByWorker()].find(([, tasks]) => tasks.includes(task))?.[0] ?? ""
  fleet.kill(fleet.leader() ?? "")
  fleet.workers.crash(busy)
  fleet.workers.restart(busy)
  fleet.register({...fleet.workers.listing(busy), leaving: true})
  const startedBefore = countStarts()
  t.true(startedBefore > 5)
  await fleet.clock.advance(4500)
  t.true(countStarts() > startedBefore)
})

test("a lasting task that fails as soon as it starts leaves the leader time for other work", async t => {
  const starts = async (duration: number, span: number): Promise<number> => {
    const fleet = testFleet({workers: 2, planOf: () => ({demand: STEP.demand, duration, failures: 1000})})
    await fleet.clock.advance(1000)
    const job = jobOf(4002, [{lasting: true}])
    await fleet.submit("entry-1", job)
    await fleet.clock.advance(span)
    return fleet.workers.startCounts().get(`${job.id}.0.0.0`) ?? 0
  }
  const failing = await starts(20, 20_000)
  t.true(failing <= 20, `${failing} starts in 20 s`)
  t.true(failing >= 20_000 / 3000, "it is back within 3 s each time")
  t.is(await starts(6000, 20_000), 4, "a task that had run for a while is back at once")
})

for (const seed of [6, 7, 12]) {
  test(`after random faults no long-running task waits while there is capacity, seed ${seed}`, async t => {
    const {faults} = await playLasting(seed)
    t.deepEqual(faults, [])
  })
}
