/**
 * What one waiting step withholds from others: reservations, headroom and the room that is held under the limit of a
 * workspace. Tasks that last are started again wherever they have room, tasks that end soon use capacity that is not needed
 * before, and large tasks and gangs still get theirs. Loads are played without a network.
 */
import test from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import type {Queue} from "../../src/pipelines/model.js"
import {latencyObjective} from "../../src/pipelines/order.js"
import {endsBeforeReserved} from "../../src/pipelines/reserving.js"
import {jobOf, QUEUE, STEP} from "../support/fleet.js"
import type {PlayedJob} from "../support/passplay.js"
import {playPasses} from "../support/passplay.js"

/** Users expect a task that lasts to run again in this time, if there is room for it twice over. */
const EXPECTED_MS: Milliseconds = 3000

const CHECKS: Queue = {...QUEUE, priority: 0, slackFactor: 1.5, latencyTarget: 250}
const BOARDS: Queue = {...QUEUE, name: "boards", priority: 1, slackFactor: 2.2, latencyTarget: 2500}
const PACKS: Queue = {...QUEUE, name: "packs", priority: 2, slackFactor: 4, latencyTarget: 3000}

/** Four workers of eight processors. */
const FLEET = {waits: false, remoteFactor: 1, racks: {r1: 4}, showsProgress: true}

function demanding(processors: number) {
  return {...STEP.demand, processors}
}

/** Long tasks that leave two processors free on each worker. */
const FILLING: PlayedJob = {
  at: 0,
  steps: [{count: 12, demand: demanding(2), estimate: 30_000, perWorker: 3}],
  runTime: 30_000,
  queue: PACKS,
}

function lastingJob(at: Milliseconds, processors: number, rest: Partial<PlayedJob> = {}): PlayedJob {
  return {at, steps: [{lasting: true, demand: demanding(processors)}], queue: BOARDS, ...rest}
}

/** Urgent tasks of which none fits anywhere beside the filling ones. */
function largeJob(at: Milliseconds, rest: Partial<PlayedJob> = {}): PlayedJob {
  return {
    at,
    steps: [{count: 16, demand: demanding(2.3), estimate: 7900}],
    runTime: 7900,
    queue: CHECKS,
    ...rest,
  }
}

// Review case 12. A reservation kept the task from being started again, with room for it twice over on each worker.
test("a lasting task that has failed runs again although a large step waits for room", t => {
  for (const processors of [1, 2]) {
    const {waits} = playPasses({
      ...FLEET,
      until: 20_000,
      jobs: [FILLING, lastingJob(500, processors, {runTime: 6000}), largeJob(4000)],
    })
    t.true((waits[1] ?? Infinity) < EXPECTED_MS, `${processors} processors wait for ${waits[1]} ms`)
  }
})

test("a new lasting task starts although a large step waits, if there is room for it twice over", t => {
  const jobs = [FILLING, largeJob(1000), lastingJob(2000, 1), lastingJob(2000, 2)]
  const {waits} = playPasses({...FLEET, until: 15_000, jobs})
  t.true((waits[2] ?? Infinity) < EXPECTED_MS, `${waits[2]} ms`)
  t.true((waits[3] ?? Infinity) < EXPECTED_MS, `${waits[3]} ms`)
})

test("a lasting task runs again although a gang waits for the whole service, and the gang starts once it can", t => {
  const gang: PlayedJob = {
    at: 4000,
    steps: [{count: 7, gang: true, demand: demanding(4), estimate: 12_000}],
    runTime: 12_000,
    queue: CHECKS,
  }
  const {waits, startDelays} = playPasses({
    ...FLEET,
    until: 45_000,
    jobs: [FILLING, lastingJob(500, 1, {runTime: 6000}), gang],
  })
  t.true((waits[1] ?? Infinity) < EXPECTED_MS, `${waits[1]} ms`)
  t.true((startDelays[2] ?? Infinity) < 27_000, "the gang starts when the filling tasks have ended")
})

test("a lasting task runs again although its workspace holds room under its limit for a large step", t => {
  const limits = {red: {processors: 4, memoryMebibytes: 0, accelerators: 0}}
  const red = {workspace: "red"}
  const {waits} = playPasses({
    ...FLEET,
    limits,
    until: 20_000,
    jobs: [
      {at: 0, steps: [{demand: demanding(2), estimate: 30_000}], runTime: 30_000, queue: PACKS, ...red},
      lastingJob(500, 1, {runTime: 6000, ...red}),
      {at: 4000, steps: [{demand: demanding(3), estimate: 7900}], runTime: 7900, queue: CHECKS, ...red},
    ],
  })
  t.true((waits[1] ?? Infinity) < EXPECTED_MS, `${waits[1]} ms`)
})

test("short tasks run on capacity that a large step cannot use yet, and do not delay it", t => {
  const short = Array.from({length: 20}, (_, index): PlayedJob => {
    return {at: 6000 + index * 500, steps: [{demand: demanding(1)}], runTime: 400, queue: PACKS}
  })
  // Ends of such tasks before, from which their run time is known.
  const earlier = short.slice(0, 6).map((job, index) => ({...job, at: index * 100}))
  const jobs = [FILLING, largeJob(4000), ...earlier, ...short]
  const {waits, startDelays} = playPasses({...FLEET, until: 60_000, jobs})
  t.true(Math.max(...waits.slice(8)) < 1000, `${Math.max(...waits.slice(8))} ms`)
  const without = playPasses({...FLEET, until: 60_000, jobs: jobs.slice(0, 8)})
  t.true((startDelays[1] ?? Infinity) <= (without.startDelays[1] ?? 0) + 400)
})

/** Tasks of one processor, two a worker on the average, and lasting tasks that fail again and again. */
function stream(until: Milliseconds): readonly PlayedJob[] {
  const small = Array.from({length: until / 25}, (_, index): PlayedJob => {
    return {at: index * 25, steps: [{demand: demanding(1), estimate: 500}], runTime: 500, queue: PACKS}
  })
  const lasting = Array.from({length: 4}, (_, index) =>
    lastingJob(index * 10, 1, {runTime: 700 + index * 300}),
  )
  return [...lasting, ...small]
}

test("a task that needs a whole worker is not starved by short tasks and by lasting tasks that fail all the time", t => {
  const large: PlayedJob = {
    at: 2000,
    steps: [{demand: demanding(7), estimate: 2000}],
    runTime: 2000,
    queue: CHECKS,
  }
  const jobs = [large, ...stream(15_000)]
  const {startDelays, waits} = playPasses({...FLEET, until: 15_000, jobs})
  const objective = latencyObjective(jobOf(1, large.steps), CHECKS)
  t.true((startDelays[0] ?? Infinity) < objective - 2000, `${startDelays[0]} ms`)
  t.true(Math.max(...waits.slice(1, 5)) < EXPECTED_MS, `${Math.max(...waits.slice(1, 5))} ms`)
})

test("a gang is not starved by short tasks and by lasting tasks that fail all the time", t => {
  const gang: PlayedJob = {
    at: 2000,
    steps: [{count: 3, gang: true, demand: demanding(6), estimate: 2000}],
    runTime: 2000,
    queue: CHECKS,
  }
  const {startDelays, waits} = playPasses({...FLEET, until: 15_000, jobs: [gang, ...stream(15_000)]})
  const objective = latencyObjective(jobOf(1, gang.steps), CHECKS)
  t.true((startDelays[0] ?? Infinity) < objective - 2000, `${startDelays[0]} ms`)
  t.true(Math.max(...waits.slice(1, 5)) < EXPECTED_MS, `${Math.max(...waits.slice(1, 5))} ms`)
})

test("new lasting tasks leave the worker that a large step waits for alone as long as they have room elsewhere", t => {
  const large: PlayedJob = {
    at: 1000,
    steps: [{demand: demanding(8), estimate: 3000}],
    runTime: 3000,
    queue: CHECKS,
  }
  const filling = {...FILLING, steps: [{...FILLING.steps[0], count: 8, perWorker: 2}], runTime: 4000}
  const lasting = Array.from({length: 6}, (_, index) => lastingJob(1500 + index * 300, 1))
  const {startDelays, waits} = playPasses({...FLEET, until: 12_000, jobs: [filling, large, ...lasting]})
  t.true((startDelays[1] ?? Infinity) <= 3100, `${startDelays[1]} ms`)
  t.true(Math.max(...waits.slice(2)) < EXPECTED_MS, `${Math.max(...waits.slice(2))} ms`)
})

test("a gang of a less urgent queue is not starved under headroom by short tasks of its queue", t => {
  const gang: PlayedJob = {
    at: 1000,
    steps: [{count: 4, gang: true, demand: demanding(2), estimate: 2000}],
    runTime: 2000,
    queue: PACKS,
  }
  const urgent = Array.from({length: 300}, (_, index): PlayedJob => {
    return {at: index * 50, steps: [{demand: demanding(1), estimate: 300}], runTime: 300, queue: CHECKS}
  })
  const jobs = [gang, ...stream(15_000), ...urgent]
  const {startDelays} = playPasses({...FLEET, until: 15_000, jobs})
  const objective = latencyObjective(jobOf(1, gang.steps), PACKS)
  t.true((startDelays[0] ?? Infinity) < objective - 2000, `${startDelays[0]} ms`)
})

const ONE_WORKER = {...FLEET, racks: {r1: 1}}

test("a lasting task takes back the only place that it has left, and a new one leaves it to the large step", t => {
  const filling = {...FILLING, steps: [{...FILLING.steps[0], count: 3}]}
  const large = largeJob(4000, {steps: [{count: 1, demand: demanding(7), estimate: 7900}]})
  const restarted = lastingJob(500, 2, {runTime: 6000})
  const played = playPasses({...ONE_WORKER, until: 20_000, jobs: [filling, restarted, large]})
  t.true((played.waits[1] ?? Infinity) < EXPECTED_MS, `${played.waits[1]} ms`)
  const later = lastingJob(5000, 2)
  const {startDelays} = playPasses({...ONE_WORKER, until: 45_000, jobs: [filling, large, later]})
  t.true((startDelays[1] ?? Infinity) < 27_000, "the large step starts when the filling tasks have ended")
  t.true((startDelays[2] ?? 0) > 25_000, "the lasting task starts after it")
})

test("nothing is withheld while under half of a service is in use, though most of what can be used now is", t => {
  const {waits} = playPasses({
    ...FLEET,
    until: 12_000,
    jobs: [
      {at: 0, steps: [{count: 2, demand: demanding(5), estimate: 20_000}], runTime: 20_000, queue: PACKS},
      largeJob(1000, {steps: [{count: 2, demand: demanding(8), estimate: 20_000}]}),
      {at: 2000, steps: [{demand: demanding(2), estimate: 3000}], runTime: 3000, queue: PACKS},
    ],
    // Two of the four workers cannot be used for a while.
    before: (_now, workers) => workers.slice(2).forEach(worker => (worker.avoidUntil = Infinity)),
  })
  t.true((waits[2] ?? Infinity) < EXPECTED_MS, `${waits[2]} ms`)
})

test("a task is expected to end before reserved capacity is used only if it ends well before", t => {
  const free = demanding(2)
  const smallest = demanding(3)
  const releases = [
    {after: 500, capacity: demanding(0.5)},
    {after: 2000, capacity: demanding(1)},
  ]
  t.true(endsBeforeReserved(900, free, smallest, releases))
  t.false(endsBeforeReserved(1100, free, smallest, releases), "it might take longer than usual")
  t.true(endsBeforeReserved(1e6, free, smallest, []), "what lasts gives no room")
  t.false(endsBeforeReserved(1, free, demanding(2), []), "the reserved capacity can be used now")
})
