/** How the leader uses its relays: which it trusts, and what is known of calls to one that has gone. */
import test from "ava"
import {ok} from "neverthrow"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {Member} from "../../src/peer/fleet.js"
import type {ReportRequest, WorkerCalls} from "../../src/pipelines/ports.js"
import type {ChannelListener, RelayedCall, RelayedResult} from "../../src/relay/channel.js"
import {createRelayDispatcher} from "../../src/relay/dispatcher.js"

const REPORT: RelayedResult = {
  type: "report",
  answer: {type: "report", report: {clock: 1, bornAt: 1, running: [], ended: [], mayOmitEnds: false}},
}
const REQUEST: ReportRequest = {term: 7, acknowledged: 57, incarnation: 3, deadline: 5000, wait: 0}

function memberOf(name: string): Member {
  return {name, address: `${name}:7000`, processors: 1}
}

function setUp(members: readonly Member[], workers = 100) {
  const clock = virtualClock()
  const listeners = new Map<string, ChannelListener>()
  const sent = new Map<string, RelayedCall[]>()
  const direct: ReportRequest[] = []
  const calls: Pick<WorkerCalls, "report"> = {
    report(_target, request) {
      direct.push(request)
      return Promise.resolve(ok({type: "superseded"}))
    },
  }
  const dispatcher = createRelayDispatcher({
    clock,
    log: SILENT_LOGGER,
    term: 7,
    direct: calls as WorkerCalls,
    open({name}, _term, listener) {
      listeners.set(name, listener)
      return {
        send: batch => void sent.set(name, (sent.get(name) ?? []).concat(batch)),
        close: () => undefined,
      }
    },
    candidates: () => members,
    countWorkers: () => workers,
  })
  return {
    clock,
    dispatcher,
    direct,
    listeners,
    sentTo: (name: string) => sent.get(name) ?? [],
    showLife: (name: string): void => {
      listeners.get(name)?.onBatch({answers: [], isLeaving: false})
    },
  }
}

const TARGET = {id: "worker-1", address: "10.0.0.1:80"}

test("a call to a relay that has not answered yet is known not to have run, one that was sent is not", async t => {
  const {clock, dispatcher, listeners, sentTo, showLife} = setUp([memberOf("entry-2"), memberOf("entry-3")])
  dispatcher.check()
  const [used = ""] = [...listeners.keys()]
  const unsent = dispatcher.calls.stop(TARGET, "task", 1, 7)
  await clock.advance(10)
  for (const name of listeners.keys()) t.is(sentTo(name).length, 0)
  for (const listener of listeners.values()) listener.onClosed("connection refused")
  t.is((await unsent)._unsafeUnwrapErr().certainty, "not-run")

  await clock.advance(2100)
  dispatcher.check()
  for (const name of listeners.keys()) showLife(name)
  const open = dispatcher.calls.stop(TARGET, "task", 1, 7)
  await clock.advance(10)
  t.is([...listeners.keys()].flatMap(sentTo).length, 1)
  for (const listener of listeners.values()) listener.onClosed("connection reset")
  t.is((await open)._unsafeUnwrapErr().certainty, "unknown")
  t.not(used, "")
})

test("whoever carries a report call is told which incarnation of the worker it is meant for", async t => {
  const {clock, dispatcher, listeners, sentTo, showLife, direct} = setUp([memberOf("entry-2")], 80)
  dispatcher.check()
  showLife("entry-2")
  const answer = dispatcher.calls.report(TARGET, REQUEST)
  await clock.advance(10)
  const [call] = sentTo("entry-2")
  if (call) listeners.get("entry-2")?.onBatch({answers: [{id: call.id, result: REPORT}], isLeaving: false})
  t.true((await answer).isOk())
  t.like(call?.order, {type: "report", request: {acknowledged: 57, incarnation: 3, deadline: 5000}})
  listeners.get("entry-2")?.onClosed("connection reset")
  await dispatcher.calls.report(TARGET, REQUEST)
  t.deepEqual(direct, [REQUEST])
})

test("a relay is given up after two silent checks, so that a leader that was busy reads first", async t => {
  const {clock, dispatcher, listeners, showLife} = setUp([memberOf("entry-2")])
  dispatcher.check()
  showLife("entry-2")
  await clock.advance(5000)
  dispatcher.check()
  t.is(dispatcher.countRelays(), 1)
  showLife("entry-2")
  dispatcher.check()
  t.is(dispatcher.countRelays(), 1)
  await clock.advance(700)
  dispatcher.check()
  dispatcher.check()
  t.is(dispatcher.countRelays(), 0)
  t.is(listeners.size, 1)
})
