/** Tests of the pure scheduling decisions in `src/pipelines`, each with the kind of load for which it is made. */
import test from "ava"
import fastCheck from "fast-check"
import {adviceCallDuration, chooseWorkersForAdvice} from "../../src/pipelines/adviceselection.js"
import type {AdviceCandidate} from "../../src/pipelines/adviceselection.js"
import {computeContention} from "../../src/pipelines/contention.js"
import {computeHeadroom, EMPTY_USAGE_HISTORY, recordUsage} from "../../src/pipelines/headroom.js"
import {formatTask, parseTask} from "../../src/pipelines/model.js"
import {compareWaitingSteps, criticalPathLength, latencyObjective} from "../../src/pipelines/order.js"
import type {WaitingStep} from "../../src/pipelines/order.js"
import {nextSpeedPercent} from "../../src/pipelines/throttling.js"
import {placeTasks} from "../../src/pipelines/placing.js"
import type {WorkerOption} from "../../src/pipelines/placing.js"
import {choosePreemption} from "../../src/pipelines/preempting.js"
import {applyProgress, isStepDone, mayBegin, NO_PROGRESS} from "../../src/pipelines/progress.js"
import {freeOutsideReservation, NO_RESERVATIONS, reserve} from "../../src/pipelines/reserving.js"
import type {Resources} from "../../src/core/resources.js"
import {jobOf, QUEUE, STEP} from "../support/fleet.js"

const CAPACITY: Resources = {processors: 8, memoryMebibytes: 1000, accelerators: 8}

function workerOption(id: string, rest: Partial<WorkerOption> = {}): WorkerOption {
  return {
    id,
    rack: "r1",
    free: CAPACITY,
    capacity: CAPACITY,
    held: 0,
    latencySensitiveTasks: 0,
    bestEffortTasks: 0,
    failureShare: 0,
    contention: 0,
    speed: 1,
    ...rest,
  }
}

function demandOf(processors: number, accelerators = 0): Resources {
  return {processors, memoryMebibytes: 10, accelerators}
}

/** Free capacity of a worker where only the processors matter. */
function freeProcessors(processors: number): Resources {
  return {...CAPACITY, processors}
}

test("tasks are packed, so that whole workers stay free for tasks that need them", t => {
  const share = (part: number): Resources => ({
    processors: 8 * part,
    memoryMebibytes: 1000 * part,
    accelerators: 8 * part,
  })
  const options = [
    workerOption("empty"),
    workerOption("half", {free: share(0.5)}),
    workerOption("full", {free: share(0.1)}),
  ]
  t.deepEqual(placeTasks({...STEP, demand: demandOf(2)}, 2, options), ["half", "half"])
})

test("no task is placed where it does not fit, and no worker exceeds the limit per worker", t => {
  const placed = fastCheck.property(
    fastCheck.array(
      fastCheck.record({
        processors: fastCheck.integer({min: 0, max: 8}),
        accelerators: fastCheck.integer({min: 0, max: 8}),
      }),
      {maxLength: 6},
    ),
    fastCheck.integer({min: 1, max: 8}),
    fastCheck.integer({min: 0, max: 4}),
    fastCheck.integer({min: 0, max: 3}),
    fastCheck.boolean(),
    (frees, processors, accelerators, perWorker, gang) => {
      const options = frees.map((free, index) =>
        workerOption(`w${index}`, {free: {...free, memoryMebibytes: 1000}}),
      )
      const chosen = placeTasks(
        {...STEP, demand: demandOf(processors, accelerators), perWorker, gang, count: 5},
        5,
        options,
      )
      return options.every(({id, free}) => {
        const count = chosen.filter(one => one === id).length
        const fits = count * processors <= free.processors && count * accelerators <= free.accelerators
        return (
          fits &&
          (perWorker === 0 || count <= perWorker) &&
          (!gang || chosen.length === 0 || chosen.length === 5)
        )
      })
    },
  )
  t.notThrows(() => fastCheck.assert(placed, {seed: 5, numRuns: 500}))
})

test("placement prefers the data's rack, a single rack, reliable workers and no interference", t => {
  const near = [workerOption("far", {rack: "r2"}), workerOption("near")]
  t.deepEqual(placeTasks({...STEP, preferredRack: "r1"}, 1, near), ["near"])
  const racks = [
    workerOption("a", {rack: "r1", free: freeProcessors(2)}),
    workerOption("b", {rack: "r2"}),
    workerOption("c", {rack: "r2"}),
  ]
  t.deepEqual(
    new Set(placeTasks({...STEP, sameRack: true, demand: demandOf(2), count: 5}, 5, racks)),
    new Set(["b", "c"]),
  )
  const failing = [
    workerOption("failing", {free: freeProcessors(4), failureShare: 0.9}),
    workerOption("sound"),
  ]
  t.deepEqual(placeTasks(STEP, 1, failing), ["sound"])
  const serving = [
    workerOption("serves", {latencySensitiveTasks: 2}),
    workerOption("free", {free: freeProcessors(3)}),
  ]
  t.deepEqual(placeTasks({...STEP, fills: true}, 1, serving), ["free"])
})

function adviceCandidate(id: string, processors: number, allowed = false): AdviceCandidate {
  return {id, free: freeProcessors(processors), held: 0, allowed}
}

test("at peak load one advice call names all candidates, and no call is made without free capacity", t => {
  const terms = {base: 30, perWorker: 0.3, ticketLife: 2000}
  const options = [adviceCandidate("full", 0), adviceCandidate("free", 4), adviceCandidate("known", 4, true)]
  t.deepEqual(chooseWorkersForAdvice(STEP, options, terms, false), ["known", "free", "full"])
  const none = [adviceCandidate("full", 0)]
  t.deepEqual(chooseWorkersForAdvice(STEP, none, terms, false), [])
  t.deepEqual(chooseWorkersForAdvice(STEP, none, terms, true), ["full"])
  const many = Array.from({length: 300}, (_, index) => adviceCandidate(`w${index}`, 4))
  t.is(chooseWorkersForAdvice(STEP, many, terms, false).length, 60)
  t.is(chooseWorkersForAdvice(STEP, many, {...terms, perWorker: 0}, false).length, 100)
  t.is(adviceCallDuration({base: 31.4, perWorker: 0.32, ticketLife: 1}, 10), 35)
})

test("urgent queues rank first, then steps still on time, then late steps that count", t => {
  const step = (priority: number, due: number, arrived = 0): WaitingStep => ({
    priority,
    due,
    work: 1,
    arrived,
  })
  const urgent = step(0, 9000)
  const soon = step(1, 1500)
  const later = step(1, 5000)
  const late = step(1, 900)
  const tooLate = step(1, 300)
  const steps = [tooLate, late, later, soon, urgent].sort((one, other) =>
    compareWaitingSteps(one, other, 1000),
  )
  t.deepEqual(steps, [urgent, soon, later, late, tooLate])
})

test("the latency objective follows the critical path of the steps", t => {
  const job = jobOf(1, [{estimate: 100}, {estimate: 300}, {estimate: 50, after: [0, 1]}])
  t.is(criticalPathLength(job), 350)
  t.is(latencyObjective(job, QUEUE), 1.5 * 350 + 250)
})

test("headroom covers the recent peak of urgent usage, up to 35 percent of the service", t => {
  let history = EMPTY_USAGE_HISTORY
  t.is(computeHeadroom(history, 0, 100), 10)
  history = recordUsage(history, 0, 30)
  history = recordUsage(history, 500, 20)
  history = recordUsage(history, 4000, 5)
  t.is(computeHeadroom(history, 5, 100), 25)
  t.is(computeHeadroom(recordUsage(history, 4100, 90), 5, 100), 35)
  for (let now = 5000; now <= 15_000; now += 1000) history = recordUsage(history, now, 5)
  t.is(computeHeadroom(history, 5, 100), 5)
})

test("a task that needs a whole worker is not starved by a stream of small tasks", t => {
  const whole = {...STEP, demand: demandOf(8, 8)}
  const small = {...STEP, demand: demandOf(1, 1)}
  let used = 6
  let passes = 0
  for (; passes < 20; passes += 1) {
    const option = workerOption("w", {
      free: {processors: 8 - used, memoryMebibytes: 1000, accelerators: 8 - used},
    })
    if (placeTasks(whole, 1, [option]).length > 0) break
    const reservations = reserve(NO_RESERVATIONS, whole, 1, [option])
    used += placeTasks(small, 3, [
      {...option, free: freeOutsideReservation(option, reservations.get("w"))},
    ]).length
    used = Math.max(0, used - 1)
  }
  t.is(passes, 6, "placed as soon as the tasks present at the start have ended")
})

test("best-effort tasks are slowed near the tail limit, paused beyond it, and regain their speed", t => {
  t.is(nextSpeedPercent(100, 0.9), 40)
  t.is(nextSpeedPercent(10, 0.9), 0)
  t.is(nextSpeedPercent(80, 1.2), 0)
  t.is(nextSpeedPercent(50, 0.6), 50)
  t.is(nextSpeedPercent(0, 0.1), 15)
  t.is(nextSpeedPercent(95, 0.1), 100)
})

test("task names are parsed back, and other texts are rejected", t => {
  const task = {job: "5c0e7a21d94b36f8", occurrence: 2, step: 1, index: 17}
  t.deepEqual(parseTask(formatTask(task)), task)
  for (const text of ["", "5c0e.0.0.0", "5c0e7a21d94b36f8.0.0", "5c0e7a21d94b36f8.0.0.x"])
    t.is(parseTask(text), undefined)
})

test("progress survives a JSON round trip, and an outcome never changes", t => {
  const job = jobOf(3, [{count: 2}, {gang: true, count: 3, after: [0]}])
  const name = (step: number, index: number) => ({job: job.id, occurrence: 0, step, index})
  let progress = applyProgress(job, NO_PROGRESS, {type: "task-done", task: name(0, 1)})
  t.false(mayBegin(job, progress, 0, 1))
  progress = JSON.parse(
    JSON.stringify(applyProgress(job, progress, {type: "task-done", task: name(0, 0)})),
  ) as typeof progress
  t.true(isStepDone(job, progress, 0, 0) && mayBegin(job, progress, 0, 1))
  progress = applyProgress(job, progress, {type: "task-done", task: name(1, 2)})
  t.is(progress.outcome, "completed", "one task done completes the whole gang")
  t.is(applyProgress(job, progress, {type: "cancelled"}), progress)
  t.throws(() => applyProgress(job, NO_PROGRESS, {type: "task-done", task: name(9, 0)}), {
    instanceOf: RangeError,
  })
})

test("a step with many allowed workers avoids the only worker allowed for another step", t => {
  const whole = demandOf(8, 8)
  const worker = (id: string) => ({id, capacity: CAPACITY})
  const contention = computeContention([
    {tasks: 2, demand: whole, allowed: [worker("a")]},
    {tasks: 1, demand: whole, allowed: [worker("a"), worker("b"), worker("c")]},
  ])
  const options = ["a", "b", "c"].map(id => workerOption(id, {contention: contention.get(id) ?? 0}))
  t.deepEqual(placeTasks({...STEP, demand: whole}, 2, options), ["b", "c"])
  t.deepEqual(
    placeTasks({...STEP, demand: whole}, 3, options),
    ["b", "c", "a"],
    "a contended worker is still used when no other is left",
  )
})

test("preemption takes the task with most work left, and no more tasks than needed", t => {
  const long = {key: "long", demand: demandOf(8, 8), remaining: 20_000}
  const short = {key: "short", demand: demandOf(8, 8), remaining: 3000}
  const small = [1, 2, 3].map(index => ({key: `small-${index}`, demand: demandOf(2, 2), remaining: 15_000}))
  const full = demandOf(0)
  const demand = demandOf(4, 4)
  t.deepEqual(choosePreemption(demand, 5000, 1, [{free: full, victims: [short, long]}]), ["long"])
  t.deepEqual(
    choosePreemption(demand, 5000, 1, [{free: full, victims: [short]}]),
    [],
    "it ends soon without preemption",
  )
  t.deepEqual(
    choosePreemption(demand, 5000, 1, [{free: CAPACITY, victims: [long]}]),
    [],
    "the task fits without preemption",
  )
  const two = [
    {free: full, victims: small},
    {free: full, victims: [long]},
  ]
  t.deepEqual(choosePreemption(demand, 5000, 1, two), ["long"], "one preemption rather than two")
  t.deepEqual(choosePreemption(demand, 5000, 2, two), ["long"], "both tasks fit on that worker")
  t.deepEqual(choosePreemption(demandOf(8, 8), 5000, 2, two), [], "all or none")
})
