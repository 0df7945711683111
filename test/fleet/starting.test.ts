/**
 * A refused start proves that this try was not carried out, but nothing about an earlier try without an answer. If the
 * leader released the assignment then, the task could run on two workers.
 */
import test from "ava"
import {err, ok} from "neverthrow"
import {sleep} from "../../src/core/clock.js"
import {CallFailed} from "../../src/core/errors.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {StartAnswer, WorkerCalls} from "../../src/pipelines/ports.js"
import {NO_PROGRESS} from "../../src/pipelines/progress.js"
import {createStarter} from "../../src/planner/starting.js"
import type {Assignment} from "../../src/planner/state.js"
import {assign, createActiveJob, createWorker, release} from "../../src/planner/state.js"
import {createAdviceDispatcher} from "../../src/planner/advicedispatcher.js"
import type {AdviceRequester} from "../../src/planner/advicedispatcher.js"
import type {WorkerLink} from "../../src/planner/workerlink.js"
import {openWorkerLink} from "../../src/planner/workerlink.js"
import {jobOf, listingOf, QUEUE} from "../support/fleet.js"

const noOp = (): undefined => undefined

function createTestStarter(term: number, link: Partial<WorkerLink>) {
  return createStarter({
    term,
    clock: virtualClock(),
    log: SILENT_LOGGER,
    adviceDispatcher: {submit: noOp, countIdle: () => 0},
    linkOf: () => link as WorkerLink,
    isClosed: () => false,
    releaseAssignment: release,
    onReplaced: noOp,
    onTermRefused: noOp,
    schedulePass: noOp,
  })
}

function createStartingTask() {
  const worker = createWorker(listingOf("worker-1"), true, 0)
  const [run] = createActiveJob(jobOf(1, [{}]), NO_PROGRESS, 0, false).stepRuns
  if (!run) throw new RangeError("A job of one step has one run.")
  return {worker, run, assignment: assign(run, 0, 1, worker, 0)}
}

for (const reason of ["ticket", "room", "late", "busy"] as const) {
  test(`a start that was refused after a try without an answer is stopped, not released: ${reason}`, t => {
    const {run, assignment} = createStartingTask()
    const stopped: Assignment[] = []
    const starter = createTestStarter(1, {stop: one => void stopped.push(one)})
    starter.handleAnswer(assignment, {type: "refused", reason}, true)
    t.deepEqual(stopped, [assignment])
    t.is(run.waiting.size, 0, "the task must not start elsewhere yet")
    starter.handleAnswer(assignment, {type: "refused", reason}, false)
    t.is(run.waiting.size, 1, "a refusal of the first try proves that nothing runs")
  })
}

test("a link reports whether an earlier try of an order may have been carried out", async t => {
  const clock = virtualClock()
  const {worker, assignment} = createStartingTask()
  worker.clock = {workerTime: 0, localTime: 0}
  const seen: {readonly answer: StartAnswer; readonly mayHaveRun: boolean}[] = []
  let tries = 0
  const calls: Pick<WorkerCalls, "report" | "start"> = {
    report: () => new Promise(noOp),
    start() {
      tries += 1
      return Promise.resolve(
        tries === 1
          ? err(new CallFailed("worker", "no answer", "unknown"))
          : ok<StartAnswer>({type: "refused", reason: "ticket"}),
      )
    },
  }
  const link = openWorkerLink(worker, {
    term: 1,
    clock,
    log: SILENT_LOGGER,
    calls: calls as WorkerCalls,
    leaseDuration: 3000,
    mayAct: () => true,
    events: {
      onReport: () => Promise.resolve(),
      onUnreachable: noOp,
      onReplaced: noOp,
      onTermRefused: noOp,
      onStartAnswer: (_assignment, answer, mayHaveRun) => void seen.push({answer, mayHaveRun}),
      onNotSent: noOp,
    },
  })
  link.start(assignment, "payload", "ticket", "")
  await clock.advance(10)
  link.close()
  t.deepEqual(seen, [{answer: {type: "refused", reason: "ticket"}, mayHaveRun: true}])
})

test("attempts of an inherited job are numbered above those of every earlier leader", t => {
  const started: number[] = []
  const starter = createTestStarter(40, {start: ({attempt}) => void started.push(attempt)})
  for (const isInherited of [false, true]) {
    for (const gang of [false, true]) {
      const {worker} = createStartingTask()
      const [run] = createActiveJob(jobOf(2, [{gang}]), NO_PROGRESS, 0, isInherited).stepRuns
      if (!run) throw new RangeError("A job of one step has one run.")
      starter.startTasks(run, [worker])
    }
  }
  t.deepEqual(started, [1, 1, 41, 41])
})

test("a start order whose answer is lost is repeated soon, unchanged, before its run is stopped", async t => {
  const clock = virtualClock()
  const {worker, assignment} = createStartingTask()
  worker.clock = {workerTime: 0, localTime: 0}
  const orders: {readonly at: number; readonly attempt: number; readonly deadline: number}[] = []
  const stops: number[] = []
  const calls: Pick<WorkerCalls, "report" | "start" | "stop"> = {
    report: () => new Promise(noOp),
    async start(_target, {attempt, deadline, timeout}) {
      orders.push({at: clock.now(), attempt, deadline})
      await sleep(clock, timeout)
      return err(new CallFailed("worker", "no answer", "unknown"))
    },
    stop() {
      stops.push(clock.now())
      return Promise.resolve(ok("done"))
    },
  }
  const link = openWorkerLink(worker, {
    term: 1,
    clock,
    log: SILENT_LOGGER,
    calls: calls as WorkerCalls,
    leaseDuration: 3000,
    mayAct: () => true,
    events: {
      onReport: () => Promise.resolve(),
      onUnreachable: noOp,
      onReplaced: noOp,
      onTermRefused: noOp,
      onStartAnswer: noOp,
      onNotSent: noOp,
    },
  })
  link.start(assignment, "payload", "", "")
  await clock.advance(3000)
  link.close()
  t.snapshot({orders, stops})
})

test("the life of a ticket counts from the decision, not from when a busy leader reads the answer", async t => {
  const clock = virtualClock()
  const {run, assignment} = createStartingTask()
  release(assignment)
  const requester: AdviceRequester = {
    name: "entry-1",
    processors: 1,
    async requestAdvice() {
      await sleep(clock, 500)
      return {permits: [{worker: "worker-1", ticket: "ticket"}], busyMs: 0, serviceMs: 30}
    },
  }
  const starter = createStarter({
    term: 1,
    clock,
    log: SILENT_LOGGER,
    adviceDispatcher: createAdviceDispatcher(clock, SILENT_LOGGER, () => [requester]),
    linkOf: noOp,
    isClosed: () => false,
    releaseAssignment: release,
    onReplaced: noOp,
    onTermRefused: noOp,
    schedulePass: noOp,
  })
  starter.requestAdvice(run, {...QUEUE, advice: {base: 20, perWorker: 10, ticketLife: 1500}}, ["worker-1"])
  await clock.advance(600)
  t.snapshot(run.tickets)
})
