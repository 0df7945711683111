/** What the leader sends to a worker with its report calls. */
import test from "ava"
import {err, ok} from "neverthrow"
import {sleep} from "../../src/core/clock.js"
import {CallFailed} from "../../src/core/errors.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {ReportRequest, WorkerCalls} from "../../src/pipelines/ports.js"
import {NO_PROGRESS} from "../../src/pipelines/progress.js"
import {assign, createActiveJob, createWorker} from "../../src/planner/state.js"
import {openWorkerLink} from "../../src/planner/workerlink.js"
import {jobOf, listingOf} from "../support/fleet.js"

const noOp = (): undefined => undefined

test("after a report without an answer no end is acknowledged, since the worker may count from one again", async t => {
  const clock = virtualClock()
  const requests: ReportRequest[] = []
  const calls: Pick<WorkerCalls, "report"> = {
    async report(_target, request) {
      requests.push(request)
      await sleep(clock, 10)
      if (requests.length === 3) return err(new CallFailed("worker", "no answer", "unknown"))
      return ok({
        type: "report",
        report: {clock: clock.now(), bornAt: 1, running: [], ended: [], mayOmitEnds: false},
      })
    },
  }
  const worker = createWorker(listingOf("worker-1"), true, 0)
  worker.isFenced = true
  worker.acknowledgedThrough = 57
  openWorkerLink(worker, {
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
  await clock.advance(45)
  worker.isClosed = true
  t.deepEqual(
    requests.map(({acknowledged: noted}) => noted),
    [0, 57, 57, 0, 57],
  )
})

test("a report call that gets no answer hides the ends of short tasks only for a moment", async t => {
  const waits: Record<string, number> = {}
  for (const [name, step] of Object.entries({
    idle: undefined,
    short: {estimate: 480},
    long: {estimate: 4800},
    lasting: {estimate: 480, lasting: true},
    unknown: {estimate: 0},
  })) {
    const clock = virtualClock()
    const worker = createWorker(listingOf("worker-1"), true, 0)
    Object.assign(worker, {isFenced: true, isReachable: true, clock: {workerTime: 0, localTime: 0}})
    const [run] = createActiveJob(jobOf(1, [step ?? {}]), NO_PROGRESS, 0, false).stepRuns
    if (step && run) assign(run, 0, 1, worker, 0)
    const calls: Pick<WorkerCalls, "report"> = {
      report(_target, {wait}) {
        waits[name] = wait
        return new Promise(noOp)
      },
    }
    openWorkerLink(worker, {
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
    await clock.advance(1)
    worker.isClosed = true
  }
  t.snapshot(waits)
})
