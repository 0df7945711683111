/** Detection of failures and recovery of the store. */
import test from "ava"
import {err, ok} from "neverthrow"
import {sleep} from "../../src/core/clock.js"
import {StoreUnavailable} from "../../src/core/errors.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import {watchStoreHealth} from "../../src/planner/storehealth.js"
import {fakeStore} from "../support/fakestore.js"

const PROBE_TIMEOUT_MS = 400

test("the return of a silent store is detected by probes, long before open calls time out", async t => {
  const clock = virtualClock(1000)
  const store = fakeStore(clock)
  let silent = false
  let probes = 0
  const health = watchStoreHealth(store.portFor("entry-1"), clock, async () => {
    probes += 1
    const lost = silent
    await sleep(clock, lost ? PROBE_TIMEOUT_MS : 4)
    return lost ? err(new StoreUnavailable("silent", "unknown")) : ok(undefined)
  })
  silent = true
  store.setMode("silent")
  void health.store.read("key")
  await clock.advance(1000)
  t.true(health.failingFor() > 0)
  t.true(probes > 0)
  void health.store.read("key")
  silent = false
  store.setMode("up")
  await clock.advance(200)
  t.is(health.failingFor(), 0, "the second read is still open")
  const sent = probes
  await clock.advance(5000)
  t.true(probes <= sent + 1, "no probes are sent while the store answers")
})
