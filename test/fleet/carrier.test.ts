/** What a relay does with the calls of a leader that may have been replaced or may have given the channel up. */
import test from "ava"
import {ok} from "neverthrow"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import type {StartRequest, WorkerCalls} from "../../src/pipelines/ports.js"
import {createCarrier} from "../../src/relay/carrier.js"
import type {RelayedCall} from "../../src/relay/channel.js"
import {chooseRelays, countRelays, relayOf} from "../../src/relay/selection.js"

function startOf(id: number): RelayedCall {
  const order = {
    task: `5c0e7a21d94b36f8.0.0.${id}`,
    attempt: 1,
    payload: "",
    incarnation: 1,
    deadline: 9000,
    ticket: "",
    checkpoint: "",
    timeout: 150,
  }
  return {id, target: {id: "worker-1", address: "10.0.0.1:80"}, order: {type: "start", order}}
}

/** A carrier whose timers run when the test says so, as in a process that was stopped. */
function setUp() {
  let now = 0
  let knownTerm = 0
  const timers: {readonly at: number; readonly run: () => void}[] = []
  const started: StartRequest[] = []
  const closed: number[] = []
  const calls: Pick<WorkerCalls, "start"> = {
    start(_target, order) {
      started.push(order)
      return Promise.resolve(ok({type: "started"}))
    },
  }
  const carrier = createCarrier({
    clock: {
      now: () => now,
      wallClock: () => now,
      after(delay, run) {
        timers.push({at: now + delay, run})
        return () => undefined
      },
    },
    log: SILENT_LOGGER,
    workers: calls as WorkerCalls,
    knownTerm: () => knownTerm,
  })
  return {
    carrier,
    started,
    closed,
    accept: (term: number) =>
      carrier.accept(term, {send: () => undefined, close: () => void closed.push(term)}),
    learnOfTerm: (term: number): void => {
      knownTerm = term
    },
    /** Lets time pass as one step, after which all timers run that were due meanwhile. */
    step: (delay: number): void => {
      now += delay
      const due = timers.filter(({at}) => at <= now)
      for (const timer of due) timers.splice(timers.indexOf(timer), 1)
      for (const {run} of due) run()
    },
  }
}

test("a relay that was stopped makes no calls that came meanwhile", t => {
  const {accept, step, started, closed} = setUp()
  const channel = accept(5)
  channel.receive([startOf(1)])
  for (let turn = 0; turn < 10; turn += 1) step(100)
  channel.receive([startOf(2)])
  t.is(started.length, 2)
  t.deepEqual(closed, [])
  step(2000)
  channel.receive([startOf(3)])
  t.is(started.length, 2)
  t.deepEqual(closed, [5])
})

test("a relay makes no calls of a leader once it knows of a later one", t => {
  const {accept, learnOfTerm, started, closed} = setUp()
  const first = accept(5)
  const second = accept(9)
  first.receive([startOf(1)])
  accept(7).receive([startOf(2)])
  t.deepEqual(closed, [5, 7])
  t.is(started.length, 0)
  second.receive([startOf(3)])
  t.is(started.at(-1)?.term, 9)
  learnOfTerm(12)
  second.receive([startOf(4)])
  t.is(started.length, 1)
  t.deepEqual(closed, [5, 7, 9])
})

test("relays are chosen from strong instances, and a worker moves only with its relay", t => {
  const members = Array.from({length: 20}, (_, index) => ({
    name: `entry-${index}`,
    address: `entry-${index}:7000`,
    processors: index % 2 === 0 ? 1.35 : 0.324,
  }))
  t.deepEqual(
    [0, 47, 64, 65, 246, 380, 1000].map(workers => countRelays(workers)),
    [0, 0, 0, 3, 8, 12, 32],
  )
  const chosen = chooseRelays(members, 8)
  t.true(chosen.every(({processors}) => processors > 1))
  t.deepEqual(chooseRelays([...members].reverse(), 8), chosen)
  t.is(chooseRelays(members, 15).length, 10)
  t.is(chooseRelays(members, 25).length, 20)
  const names = chosen.map(({name}) => name)
  const [gone = "", ...rest] = names
  const workers = Array.from({length: 246}, (_, index) => `worker-${index}`)
  const none = new Set<string>()
  const moved = workers.filter(worker => relayOf(worker, names, none) !== relayOf(worker, rest, none))
  t.true(moved.every(worker => relayOf(worker, names, none) === gone))
  for (const worker of workers) t.is(relayOf(worker, names, new Set([gone])), relayOf(worker, rest, none))
  t.is(relayOf("worker-1", names, new Set(names)), undefined)
  const loads = names.map(name => workers.filter(worker => relayOf(worker, names, none) === name).length)
  t.true(Math.max(...loads) <= 2 * (workers.length / names.length), loads.join())
})
