/** How the leader handles single reports of workers. */
import test from "ava"
import {virtualClock} from "../../src/core/virtualclock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import type {EndedTask, RunningTask} from "../../src/pipelines/ports.js"
import {TYPICAL_SPEED} from "../../src/pipelines/workerspeeds.js"
import {NO_PROGRESS} from "../../src/pipelines/progress.js"
import {createJobTable} from "../../src/planner/jobtable.js"
import {createLedger} from "../../src/planner/ledger.js"
import {LEADER_KEY, parseProgress, progressKey} from "../../src/planner/records.js"
import {createReportReader} from "../../src/planner/reports.js"
import {assign, boundWorkerClock, createWorker} from "../../src/planner/state.js"
import {fakeStore} from "../support/fakestore.js"
import {jobOf, listingOf, QUEUE} from "../support/fleet.js"

const LEASE_MS = 3000

function setUp() {
  const clock = virtualClock(1000)
  const store = fakeStore(clock)
  store.put(LEADER_KEY, "leader")
  const term = store.get(LEADER_KEY)?.revision ?? 0
  const port = store.portFor("entry-1")
  const never = (): boolean => false
  let readSentAt: number | undefined
  let confirmedUntil = Infinity
  const ledger = createLedger({
    store: port,
    term,
    clock,
    log: SILENT_LOGGER,
    isStoreFailing: never,
    onSuperseded: never,
  })
  const jobs = createJobTable(
    clock,
    SILENT_LOGGER,
    ledger,
    () => undefined,
    () => undefined,
  )
  const reader = createReportReader({
    clock,
    log: SILENT_LOGGER,
    jobs,
    leaseDuration: LEASE_MS,
    confirmation: {
      confirmedAt: () => Math.min(clock.now(), confirmedUntil),
      record: () => undefined,
      request: () => undefined,
    },
    linkOf: () => undefined,
    onChange: () => undefined,
    workRead: () => ({sentAt: readSentAt ?? clock.now(), answeredAt: clock.now()}),
    onDone: () => undefined,
    onFenced: () => undefined,
    onReported: () => undefined,
  })
  const worker = createWorker(listingOf("worker-1"), true, clock.now())
  const report = (running: readonly RunningTask[], ended: readonly EndedTask[], bornAt = 5) =>
    reader.handleReport(worker, {clock: 7000, bornAt, running, ended, mayOmitEnds: false}, clock.now())
  const setReadSentAt = (at: number | undefined): void => {
    readSentAt = at
  }
  const setConfirmedUntil = (instant: number): void => {
    confirmedUntil = instant
  }
  return {clock, store, jobs, worker, report, reader, setReadSentAt, setConfirmedUntil}
}

function running(task: string, attempt = 1): RunningTask {
  return {task, attempt, checkpoint: "", percent: 100, gauge: 0}
}

function done(number: number, task: string, attempt = 1): EndedTask {
  return {number, task, attempt, end: "done", checkpoint: ""}
}

test("the lease of a run that is taken over counts from the first report", async t => {
  const {jobs, worker, report} = setUp()
  const job = jobOf(1, [{count: 2}])
  jobs.add(job, NO_PROGRESS, true)
  await report([running(`${job.id}.0.0.0`)], [])
  t.is(worker.assignments.size, 1)
  t.true(worker.deadline >= 7000 + LEASE_MS)
})

test("an end is acknowledged to the worker only once its effect is stored", async t => {
  const {clock, store, jobs, worker, report} = setUp()
  const job = jobOf(2, [{count: 1}])
  jobs.add(job, NO_PROGRESS, false)
  store.setMode("refusing")
  void report([], [done(1, `${job.id}.0.0.0`)])
  await clock.advance(500)
  t.is(worker.acknowledgedThrough, 0)
  t.is(jobs.stateOf(job.id), "queued", "the outcome is not returned before it is stored")
  store.setMode("up")
  await clock.advance(500)
  t.is(worker.acknowledgedThrough, 1)
  t.is(jobs.stateOf(job.id), "completed")
})

test("an end of an abandoned attempt does not count while another attempt is running", async t => {
  const {clock, jobs, worker, report} = setUp()
  const job = jobOf(3, [{count: 1}])
  const active = jobs.add(job, NO_PROGRESS, false)
  await report([running(`${job.id}.0.0.0`, 2)], [])
  void report([running(`${job.id}.0.0.0`, 2)], [done(1, `${job.id}.0.0.0`, 1)])
  await clock.advance(100)
  t.is(active?.progress.outcome, undefined)
  t.is(worker.assignments.size, 1)
})

test("a failure that is listed again to a later leader counts once, one of another attempt counts too", async t => {
  const {clock, store, jobs, worker, report} = setUp()
  const job = jobOf(5, [{count: 1}], {queue: {...QUEUE, attempts: 2}})
  const failed = {...done(1, `${job.id}.0.0.0`), end: "failed"} as const
  jobs.add(job, NO_PROGRESS, false)
  void report([], [failed])
  await clock.advance(200)
  const stored = parseProgress(store.get(progressKey(job.id))?.value ?? "")
  const later = setUp()
  const active = later.jobs.add(job, stored ?? NO_PROGRESS, true)
  t.is(active?.stepRuns[0]?.latestAttempts.get(0), 1, "a later leader continues the numbering of attempts")
  void later.report([], [failed])
  await later.clock.advance(200)
  t.is(later.jobs.stateOf(job.id), "queued")
  void later.report([], [{...failed, number: 2, attempt: 2}])
  await later.clock.advance(200)
  t.is(later.jobs.stateOf(job.id), "failed")
  t.is(worker.acknowledgedThrough, 1)
})

test("an end of a job that is not known yet is not acknowledged, and counts once the job is known", async t => {
  const {clock, jobs, worker, report} = setUp()
  const job = jobOf(6, [{count: 1}])
  const gone = "00000000000000bb.0.0.0"
  const ends = [done(1, `${job.id}.0.0.0`), done(2, gone)]
  void report([], ends)
  await clock.advance(500)
  t.is(worker.acknowledgedThrough, 0)
  jobs.add(job, NO_PROGRESS, true)
  void report([], ends)
  await clock.advance(500)
  t.is(jobs.stateOf(job.id), "completed")
  t.is(worker.acknowledgedThrough, 1, "the other job may still turn out to be stored")
  await clock.advance(3000)
  void report([], ends)
  await clock.advance(100)
  t.is(worker.acknowledgedThrough, 2)
})

test("an end is not taken for one of no job because of a read that was sent before the end was listed", async t => {
  const {clock, jobs, worker, report, setReadSentAt} = setUp()
  const job = jobOf(13, [{count: 1}])
  const ends = [done(1, `${job.id}.0.0.0`)]
  setReadSentAt(clock.now())
  await clock.advance(10)
  void report([], ends)
  await clock.advance(4000)
  void report([], ends)
  await clock.advance(100)
  t.is(worker.acknowledgedThrough, 0)
  setReadSentAt(undefined)
  jobs.add(job, NO_PROGRESS, true)
  void report([], ends)
  await clock.advance(100)
  t.is(jobs.stateOf(job.id), "completed", "the task is not run again")
  t.is(worker.acknowledgedThrough, 1)
})

test("a restarted worker has lost its runs, and its ends are numbered from one again", async t => {
  const {clock, jobs, worker, report} = setUp()
  const job = jobOf(4, [{count: 2}])
  const active = jobs.add(job, NO_PROGRESS, false)
  await report([running(`${job.id}.0.0.0`)], [])
  jobs.addEnded("00000000000000aa", "completed", clock.wallClock())
  void report([running(`${job.id}.0.0.0`)], [done(1, "00000000000000aa.0.0.0")])
  await clock.advance(100)
  t.is(worker.acknowledgedThrough, 1)
  await report([], [], 6)
  t.is(worker.assignments.size, 0)
  t.is(worker.acknowledgedThrough, 0)
  t.is(active?.stepRuns[0]?.waiting.size, 2)
})

test("a worker's clock may run slow by two percent", t => {
  const worker = createWorker(listingOf("worker-1"), true, 0)
  worker.clock = {workerTime: 100, localTime: 1000}
  t.deepEqual(boundWorkerClock(worker, 2000), {least: 100 + 980, most: 1100})
})

test("an end that waits for its job does not block later ends, and its job starts nothing meanwhile", async t => {
  const {clock, jobs, worker, report, reader} = setUp()
  const [known, late] = [jobOf(8, [{count: 1}]), jobOf(9, [{count: 1}])]
  jobs.add(known, NO_PROGRESS, true)
  const ends = [done(1, `${late.id}.0.0.0`), done(2, `${known.id}.0.0.0`)]
  void report([], ends)
  await clock.advance(100)
  t.is(jobs.stateOf(known.id), "completed", "otherwise its task would start again")
  t.is(worker.acknowledgedThrough, 0)
  jobs.add(late, NO_PROGRESS, true)
  t.true(reader.isAwaitingReport(late.id))
  void report([], ends)
  await clock.advance(100)
  t.false(reader.isAwaitingReport(late.id))
  t.is(jobs.stateOf(late.id), "completed")
  t.is(worker.acknowledgedThrough, 2)
})

test("a run of a job that is not known yet is not stopped, and is taken over once the job is known", async t => {
  const {clock, jobs, worker, report, reader} = setUp()
  const job = jobOf(10, [{count: 1}])
  await report([running(`${job.id}.0.0.0`)], [])
  t.is(worker.unknownTaskCount, 1)
  jobs.add(job, NO_PROGRESS, true)
  t.true(reader.isAwaitingReport(job.id))
  await report([running(`${job.id}.0.0.0`)], [])
  t.false(reader.isAwaitingReport(job.id))
  t.is(worker.assignments.size, 1)
  await report([running("00000000000000cc.0.0.0")], [])
  t.true(reader.isAwaitingReport("00000000000000cc"))
  await clock.advance(LEASE_MS * 2)
  t.false(reader.isAwaitingReport("00000000000000cc"), "the wait is bounded because the worker may be gone")
})

test("a job waits on for reported runs while a later leader may keep them running", async t => {
  const {clock, jobs, report, reader, setConfirmedUntil} = setUp()
  const job = jobOf(15, [{count: 1}])
  await report([running(`${job.id}.0.0.0`)], [])
  jobs.add(job, NO_PROGRESS, true)
  setConfirmedUntil(clock.now() + LEASE_MS)
  await clock.advance(LEASE_MS * 4)
  t.true(reader.isAwaitingReport(job.id))
  setConfirmedUntil(clock.now())
  t.false(reader.isAwaitingReport(job.id))
})

test("an end that changes nothing is acknowledged only with the change before it, also at another worker", async t => {
  const {clock, store, jobs, worker, report, reader} = setUp()
  const other = createWorker(listingOf("worker-2"), true, clock.now())
  const job = jobOf(11, [{count: 2}])
  jobs.add(job, NO_PROGRESS, false)
  store.setMode("refusing")
  const ended = [done(1, `${job.id}.0.0.0`)]
  void report([], ended)
  void reader.handleReport(
    other,
    {clock: 7000, bornAt: 5, running: [], ended, mayOmitEnds: false},
    clock.now(),
  )
  await clock.advance(2000)
  t.deepEqual([worker.acknowledgedThrough, other.acknowledgedThrough], [0, 0])
  store.setMode("up")
  await clock.advance(500)
  t.deepEqual([worker.acknowledgedThrough, other.acknowledgedThrough], [1, 1])
})

test("a run that a restarted worker began while its first report was on the way is not started elsewhere", async t => {
  const {clock, jobs, worker, report, reader} = setUp()
  const job = jobOf(7, [{count: 1}])
  const active = jobs.add(job, NO_PROGRESS, false)
  await report([], [])
  const sentAt = clock.now()
  await clock.advance(20)
  const [run] = active?.stepRuns ?? []
  if (!run) throw new RangeError("The job has no step.")
  const assignment = assign(run, 0, 1, worker, clock.now())
  assignment.confirmedAt = clock.now()
  await reader.handleReport(
    worker,
    {clock: 10, bornAt: 6, running: [], ended: [], mayOmitEnds: false},
    sentAt,
  )
  t.is(run.waiting.size, 0)
  await clock.advance(20)
  await reader.handleReport(
    worker,
    {clock: 50, bornAt: 6, running: [], ended: [], mayOmitEnds: false},
    clock.now(),
  )
  t.is(run.waiting.size, 1, "a later report that does not list the run shows that it is lost")
})

test("a job that becomes known late waits for each worker that has reported its runs, so that none starts twice", async t => {
  const {clock, jobs, worker, report, reader} = setUp()
  const other = createWorker(listingOf("worker-2"), true, clock.now())
  const job = jobOf(14, [{count: 2}])
  const reportOther = (ended: readonly EndedTask[], listed: readonly RunningTask[]) =>
    reader.handleReport(
      other,
      {clock: 7000, bornAt: 5, running: listed, ended, mayOmitEnds: false},
      clock.now(),
    )
  await report([running(`${job.id}.0.0.0`)], [])
  await reportOther([], [running(`${job.id}.0.0.1`)])
  jobs.add(job, NO_PROGRESS, true)
  await report([running(`${job.id}.0.0.0`)], [])
  t.is(worker.assignments.size, 1)
  t.true(reader.isAwaitingReport(job.id))
  await reportOther([], [running(`${job.id}.0.0.1`)])
  t.is(other.assignments.size, 1)
  t.false(reader.isAwaitingReport(job.id))
})

test("what was learned of a worker's speed ends with its life", async t => {
  const {worker, report} = setUp()
  await report([], [])
  worker.speed = {log: -1, ends: 9}
  await report([], [])
  t.is(worker.speed.ends, 9)
  await report([], [], 6)
  t.is(worker.speed, TYPICAL_SPEED, "it may be of another kind")
})
