/** Jobs with many occurrences: what the leader holds of them, what it stores, and when it refuses more. */
import test from "ava"
import {NO_RESOURCES} from "../../src/core/resources.js"
import {estimateMemory, MAX_ACCEPTED_BYTES} from "../../src/pipelines/footprint.js"
import type {PipelineJob} from "../../src/pipelines/model.js"
import type {Progress} from "../../src/pipelines/progress.js"
import {applyProgress, isDone, NO_PROGRESS} from "../../src/pipelines/progress.js"
import {formatProgress, parseProgress, progressKey} from "../../src/planner/records.js"
import {createActiveJob, findStepRun, openDueOccurrences} from "../../src/planner/state.js"
import {jobOf, testFleet} from "../support/fleet.js"

const WEEK = 10_080
const MINUTE_MS = 60_000

function scheduleOf(number: number, firstDue: number, rest: Partial<PipelineJob> = {}): PipelineJob {
  return jobOf(number, [{count: 5}], {occurrences: WEEK, firstDue, interval: MINUTE_MS, ...rest})
}

function finish(job: PipelineJob, progress: Progress, occurrence: number): Progress {
  return Array.from({length: 5}).reduce<Progress>((before, _, index) => {
    const task = {job: job.id, occurrence, step: 0, index}
    return applyProgress(job, before, {type: "task-done", task})
  }, progress)
}

// Twenty accepted schedules of a week ended one leader after another for want of memory, since each held every occurrence.
test("a leader holds only those occurrences of a schedule that are due and not done", t => {
  const job = scheduleOf(1, 1000)
  const active = createActiveJob(job, NO_PROGRESS, 0, false)
  t.is(active.stepRuns.length, 0, "nothing is due")
  openDueOccurrences(active, 1000 + MINUTE_MS)
  t.deepEqual([...active.openOccurrences.keys()], [0, 1])
  active.progress = finish(job, active.progress, 0)
  for (const run of active.openOccurrences.get(0) ?? []) run.waiting.clear()
  openDueOccurrences(active, 1000 + 2 * MINUTE_MS)
  t.deepEqual([...active.openOccurrences.keys()], [1, 2])
  openDueOccurrences(active, Infinity)
  t.true(active.stepRuns.length <= 32, "nor are all of them open when all are due")
})

test("a run of an occurrence that is not due by the leader's clock is found", t => {
  const active = createActiveJob(scheduleOf(2, 1000), NO_PROGRESS, 0, true)
  t.is(findStepRun(active, 3, 0)?.waiting.size, 5)
  openDueOccurrences(active, 1000 + 3 * MINUTE_MS)
  t.deepEqual(
    [...active.openOccurrences.keys()].sort((one, other) => one - other),
    [0, 1, 2, 3],
  )
  t.is(findStepRun(active, WEEK, 0), undefined)
  t.is(findStepRun(active, 0, 1), undefined)
})

test("progress lists no occurrence that is done, also beyond one that is not", t => {
  const job = scheduleOf(3, 1000, {occurrences: 4})
  const states: Progress[] = []
  let progress = NO_PROGRESS
  for (const occurrence of [1, 0, 3, 2]) {
    progress = finish(job, progress, occurrence)
    states.push(progress)
  }
  t.snapshot(states)
  t.true(isDone(states[1] ?? NO_PROGRESS, {job: job.id, occurrence: 1, step: 0, index: 4}))
  t.is(createActiveJob(job, states[2] ?? NO_PROGRESS, 0, true).nextOccurrence, 2)
})

// The progress of a schedule with an occurrence that could not end grew beyond what the store takes.
test("progress stays short while an early occurrence is open and thousands after it are done", t => {
  const job = scheduleOf(7, 1000)
  const order = Array.from({length: WEEK - 1}, (_, index) => (index * 7) % (WEEK - 1)).map(index => index + 1)
  let progress = NO_PROGRESS
  let longest = 0
  for (const occurrence of order.filter(one => one !== 500)) {
    progress = finish(job, progress, occurrence)
    longest = Math.max(longest, JSON.stringify(progress).length)
  }
  t.true(longest < 50_000, `${longest} bytes`)
  t.deepEqual(progress, {
    ...NO_PROGRESS,
    laterCompleted: [
      [1, 499],
      [501, WEEK - 1],
    ],
  })
  t.false(isDone(progress, {job: job.id, occurrence: 500, step: 0, index: 0}))
  progress = finish(job, progress, 0)
  t.deepEqual(progress, {...NO_PROGRESS, completedOccurrences: 500, laterCompleted: [[501, WEEK - 1]]})
  t.is(finish(job, progress, 500).outcome, "completed")
})

test("a schedule whose done occurrences an earlier version has listed is completed", t => {
  const job = scheduleOf(8, 1000, {occurrences: 4})
  const listed: Progress = {...NO_PROGRESS, done: {"1.0": "11111", "2.0": "11111"}}
  const progress = finish(job, listed, 0)
  t.is(progress.completedOccurrences, 3)
  t.deepEqual(progress.done, {})
  t.is(finish(job, progress, 3).outcome, "completed")
})

test("progress forgets the failures of a task that is done, and what was done of a job that has ended", t => {
  const job = jobOf(9, [{count: 2}])
  const [first, second] = [0, 1].map(index => ({job: job.id, occurrence: 0, step: 0, index}))
  if (!first || !second) return t.fail()
  const failed = [first, second].reduce<Progress>(
    (before, task) =>
      applyProgress(job, before, {type: "task-failed", task, attempt: 1, worker: "w", limit: 3}),
    NO_PROGRESS,
  )
  const half = applyProgress(job, failed, {type: "task-done", task: first})
  t.deepEqual(half.failures, {"0.0.1": ["1@w"]})
  const record = {...applyProgress(job, half, {type: "task-done", task: second}), writtenAt: 1}
  t.deepEqual(parseProgress(formatProgress(record)), {
    done: {},
    failures: {},
    outcome: "completed",
    writtenAt: 1,
  })
})

test("each occurrence runs once, also beyond those that may be open at once and across a change of the leader", async t => {
  const fleet = testFleet({
    planOf: () => ({demand: {processors: 0.1, memoryMebibytes: 1, accelerators: 0}, duration: 50}),
  })
  await fleet.clock.advance(1000)
  const step = {demand: {processors: 0.1, memoryMebibytes: 1, accelerators: 0}, estimate: 50}
  const job = jobOf(4, [step], {occurrences: 300, firstDue: fleet.clock.wallClock(), interval: 10})
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(1500)
  const former = fleet.leader() ?? ""
  t.true((parseProgress(fleet.store.get(progressKey(job.id))?.value ?? "")?.completedOccurrences ?? 0) > 0)
  fleet.kill(former)
  await fleet.clock.advance(12_000)
  t.is(await fleet.stateAt(fleet.leader() ?? "", job), "completed")
  t.is(fleet.workers.startCounts().size, 300)
  t.deepEqual(fleet.workers.violations(), [])
})

test("a leader refuses a job that it could not hold beside those accepted, and takes it once there is room", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const due = fleet.clock.wallClock() + 10_000_000
  const large = (number: number): PipelineJob =>
    jobOf(number, [{count: 100_000}], {occurrences: 2, firstDue: due, interval: 1000})
  const fitting = Math.floor(MAX_ACCEPTED_BYTES / estimateMemory(large(0)))
  const jobs = Array.from({length: fitting}, (_, index) => large(100 + index))
  for (const job of jobs) t.is((await fleet.submit("entry-1", job)).type, "stored")
  const further = large(200)
  const retries = new Set<number>()
  for (const job of [further, large(201), large(202)])
    for (const name of fleet.names()) {
      const answer = await fleet.submit(name, job)
      if (answer.type !== "refused") return t.fail(`${name}: ${answer.type}`)
      t.true(answer.retryAfter >= 10_000 && answer.retryAfter < 20_000, name)
      retries.add(answer.retryAfter)
    }
  t.is(retries.size, 3, "jobs that are refused together come back one after the other")
  t.is(await fleet.stateAt("entry-1", further), "unknown-job")
  const [first] = jobs
  if (first) await fleet.runUntilSettled(fleet.instance("entry-1").intake.cancel(first.id))
  await fleet.clock.advance(200)
  t.is((await fleet.submit("entry-2", further)).type, "stored")
})

test("a workspace that hands in more than the leader can hold fills no part of another's", async t => {
  const workspaces = ["north", "south"].map(name => ({name, keys: [], weight: 1, limit: NO_RESOURCES}))
  const fleet = testFleet()
  fleet.configure({workspaces})
  await fleet.clock.advance(1000)
  const due = fleet.clock.wallClock() + 10_000_000
  const submit = async (number: number, workspace: string): Promise<string> => {
    const rest = {workspace, occurrences: 2, firstDue: due, interval: 1000}
    return (await fleet.submit("entry-1", jobOf(number, [{count: 10_000}], rest))).type
  }
  let accepted = 0
  while ((await submit(accepted + 1, "north")) === "stored") accepted += 1
  const fitting = Math.floor(MAX_ACCEPTED_BYTES / estimateMemory(jobOf(1, [{count: 10_000}])))
  t.is(accepted, Math.floor(fitting / 2), "half is for whoever comes first")
  for (let number = 0; number < Math.floor(fitting / 6); number += 1)
    t.is(await submit(1000 + number, "south"), "stored", "a third of the other half")
  t.is(await submit(1100, "south"), "refused")
  t.is(await submit(1101, ""), "stored", "a workspace that the configuration does not name")
})

test("without a leader an instance stores no more than a leader can hold beside its own jobs", async t => {
  const fleet = testFleet()
  await fleet.clock.advance(1000)
  const former = fleet.leader() ?? ""
  const [name = ""] = fleet.names().filter(one => one !== former)
  fleet.partition(former, name)
  for (const other of fleet.names()) if (other !== name) fleet.partition(name, other)
  const due = fleet.clock.wallClock() + 10_000_000
  const answers: string[] = []
  for (let number = 0; number < 4; number += 1) {
    const job = jobOf(300 + number, [{count: 10_000}], {occurrences: 2, firstDue: due, interval: 1000})
    answers.push((await fleet.submit(name, job)).type)
  }
  t.deepEqual(answers.slice(0, 2), ["stored", "stored"])
  t.not(answers[2], "stored")
  t.not(answers[3], "stored")
})
