/**
 * Planned stops on a virtual clock: requests that arrive while an instance stops are answered within the grace
 * period.
 */
import test from "ava"
import {stopGracefully} from "../../src/cli/stopping.js"
import type {Milliseconds} from "../../src/core/clock.js"
import {virtualClock} from "../../src/core/virtualclock.js"

const GRACE_MS: Milliseconds = 6000
/**
 * Duration of a request while the store does not answer: the client timeout less the reserve for returning the
 * answer.
 */
const SLOW_REQUEST_MS: Milliseconds = 2800
const POLL_MS: Milliseconds = 100

/** Simulates a stop while callers send a request every `interval`, each of which takes `duration` to be answered. */
async function simulateStop(duration: Milliseconds, interval: Milliseconds, drain: () => Promise<void>) {
  const clock = virtualClock()
  let [inHand, sent, listening] = [0, 0, true]
  let closedAt = 0
  let endedAt: Milliseconds | undefined
  const send = (): void => {
    if (!listening) return
    sent += 1
    inHand += 1
    clock.after(duration, () => (inHand -= 1))
    clock.after(interval, send)
  }
  send()
  const stopping = stopGracefully(clock, GRACE_MS, {
    drain,
    countOpenRequests: () => inHand,
    closeListener() {
      listening = false
      closedAt = clock.now()
    },
  }).then(() => (endedAt = clock.now()))
  while (endedAt === undefined && clock.now() < 2 * GRACE_MS) await clock.advance(POLL_MS)
  await stopping
  return {closedAt, endedAt: endedAt ?? Infinity, unanswered: inHand, sent}
}

test("requests that come in until the listener closes are all answered, even if the store is silent", async t => {
  const outcome = await simulateStop(SLOW_REQUEST_MS, 40, () => Promise.resolve())
  t.is(outcome.unanswered, 0)
  t.true(outcome.sent > 50)
  t.true(outcome.endedAt < GRACE_MS)
  t.true(outcome.closedAt >= 2000, "the platform first makes two readiness checks, a second apart")
})

test("an instance without requests stops as soon as the platform no longer sends new ones", async t => {
  const outcome = await simulateStop(1, Infinity, () => Promise.resolve())
  t.true(outcome.endedAt < GRACE_MS / 2)
})

test("a request that is never answered delays the stop no longer than the grace period", async t => {
  const outcome = await simulateStop(Infinity, Infinity, () => Promise.resolve())
  t.is(outcome.unanswered, 1)
  t.true(outcome.endedAt < GRACE_MS)
})
