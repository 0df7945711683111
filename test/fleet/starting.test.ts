/** What a refused start proves: that the try was not carried out, and nothing of a try before it. */
import test from "ava"
import {err, ok} from "neverthrow"
import {CallFailed} from "../../src/core/errors.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {StartAnswer, WorkerCalls} from "../../src/pipelines/ports.js"
import {NO_PROGRESS} from "../../src/pipelines/progress.js"
import {createStarter} from "../../src/planner/starting.js"
import type {Assignment} from "../../src/planner/state.js"
import {assign, createActiveJob, createWorker, release} from "../../src/planner/state.js"
import type {WorkerLink} from "../../src/planner/workerlink.js"
import {openWorkerLink} from "../../src/planner/workerlink.js"
import {jobOf, listingOf} from "../support/fleet.js"

const nothing = (): undefined => undefined

function oneStart() {
  const worker = createWorker(listingOf("worker-1"), true, 0)
  const [run] = createActiveJob(jobOf(1, [{}]), NO_PROGRESS, 0, false).runs
  if (!run) throw new RangeError("A job of one step has one run.")
  return {worker, run, assignment: assign(run, 0, 1, worker, 0)}
}

for (const reason of ["ticket", "room", "late", "busy"] as const) {
  test(`a start that was refused after a try without an answer is stopped, not given up: ${reason}`, t => {
    const {run, assignment} = oneStart()
    const stopped: Assignment[] = []
    const link: Pick<WorkerLink, "stop"> = {stop: one => void stopped.push(one)}
    const starter = createStarter({
      clock: virtualClock(),
      log: SILENT_LOGGER,
      adviser: {ask: nothing, idle: () => 0},
      linkOf: () => link as WorkerLink,
      isClosed: () => false,
      drop: release,
      onReplaced: nothing,
      onSuperseded: nothing,
      planSoon: nothing,
    })
    starter.takeAnswer(assignment, {type: "refused", reason}, true)
    t.deepEqual(stopped, [assignment])
    t.is(run.waiting.size, 0, "the task may not start elsewhere yet")
    starter.takeAnswer(assignment, {type: "refused", reason}, false)
    t.is(run.waiting.size, 1, "a first try that was refused proves that nothing runs")
  })
}

test("a link tells whether an earlier try of an order may have been carried out", async t => {
  const clock = virtualClock()
  const {worker, assignment} = oneStart()
  worker.clock = {worker: 0, local: 0}
  const seen: {readonly answer: StartAnswer; readonly mayHaveRun: boolean}[] = []
  let tries = 0
  const calls: Pick<WorkerCalls, "report" | "start"> = {
    report: () => new Promise(nothing),
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
    leaseLife: 3000,
    mayAct: () => true,
    events: {
      onReport: () => Promise.resolve(),
      onUnreachable: nothing,
      onReplaced: nothing,
      onSuperseded: nothing,
      onStartAnswer: (_assignment, answer, mayHaveRun) => void seen.push({answer, mayHaveRun}),
      onNotSent: nothing,
    },
  })
  link.start(assignment, "payload", "ticket", "")
  await clock.advance(10)
  link.close()
  t.deepEqual(seen, [{answer: {type: "refused", reason: "ticket"}, mayHaveRun: true}])
})
