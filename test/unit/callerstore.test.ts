/** Calls to the store that are made for callers, played on a virtual clock. */
import test from "ava"
import {ok} from "neverthrow"
import {virtualClock} from "../../src/core/virtualclock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {decideCall, MAX_OPEN_CALLS} from "../../src/pipelines/callerreads.js"
import {createCallerStore} from "../../src/planner/callerstore.js"

/** Connections of an instance to the store. */
const CONNECTIONS = 20

test("calls wait while they end in time, and are refused beyond that", t => {
  const decide = (open: number, waiting: number, usualTime: number): string =>
    decideCall({open, waiting, usualTime})
  t.is(decide(MAX_OPEN_CALLS - 1, 0, 5000), "make")
  t.is(decide(MAX_OPEN_CALLS, 0, 5), "wait")
  t.is(decide(MAX_OPEN_CALLS, 2000, 5), "wait")
  t.is(decide(MAX_OPEN_CALLS, 2000, 250), "refuse")
  t.is(decide(MAX_OPEN_CALLS, 40, 250), "wait")
})

test("callers leave connections to the store to the instance, and each call is made or refused as not run", async t => {
  const clock = virtualClock()
  let open = 0
  let most = 0
  const slow = async (): Promise<void> => {
    open += 1
    most = Math.max(most, open)
    await new Promise<void>(resolve => clock.after(250, resolve))
    open -= 1
  }
  const store = createCallerStore(
    {
      async read() {
        await slow()
        return ok(undefined)
      },
      async commit() {
        await slow()
        return ok({type: "committed", revision: 1})
      },
    },
    clock,
    SILENT_LOGGER,
  )
  const results: string[] = []
  const call = async (): Promise<void> => {
    const result = await store.read("key")
    results.push(result.isOk() ? "answered" : result.error.certainty)
  }
  // The first calls tell how long the store takes.
  for (let index = 0; index < MAX_OPEN_CALLS; index += 1) void call()
  await clock.advance(1000)
  for (let index = 0; index < 500; index += 1) void call()
  await clock.advance(5000)
  const answered = results.filter(result => result === "answered").length
  t.is(results.length, 500 + MAX_OPEN_CALLS)
  t.is(results.filter(result => result === "not-run").length, results.length - answered)
  t.true(answered > 2 * MAX_OPEN_CALLS && answered < 500, `${answered} answered`)
  t.is(store.refused(), results.length - answered)
  t.true(most <= CONNECTIONS - 5, `${most} at once`)
})
