/** The outcomes that the ledger returns for jobs whose storing was interrupted. */
import test from "ava"
import type {Clock} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import {NO_PROGRESS} from "../../src/pipelines/progress.js"
import {createLedger} from "../../src/planner/ledger.js"
import type {Ledger} from "../../src/planner/ledger.js"
import {LEADER_KEY} from "../../src/planner/records.js"
import {fakeStore} from "../support/fakestore.js"
import type {FakeStore} from "../support/fakestore.js"
import {jobOf} from "../support/fleet.js"

function openLedger(clock: Clock, store: FakeStore): Ledger {
  store.put(LEADER_KEY, "leader")
  const never = (): boolean => false
  return createLedger({
    store: store.portFor("entry-1"),
    term: store.get(LEADER_KEY)?.revision ?? 0,
    clock,
    log: SILENT_LOGGER,
    isStoreFailing: never,
    onSuperseded: never,
  })
}

test("a leader that is replaced while a job is being stored does not report it as not stored", async t => {
  const clock = virtualClock(1000)
  const store = fakeStore(clock)
  const ledger = openLedger(clock, store)
  store.setMode("losing")
  const sent = ledger.storeJob(jobOf(1, [{}]))
  const waiting = ledger.storeJob(jobOf(2, [{}]))
  await clock.advance(3)
  ledger.close()
  t.is(await sent, "unknown")
  t.is(await waiting, "not-stored", "its transaction had not been sent")
})

// Ends that came while the store was down were never written, and their jobs showed as running until the next write.
test("what could not be written is repeated although a timer fires before the clock has come that far", async t => {
  const clock = virtualClock(1000)
  const early = {...clock, after: (delay: number, callback: () => void) => clock.after(delay - 0.1, callback)}
  const store = fakeStore(clock)
  const ledger = openLedger(early, store)
  store.setMode("refusing")
  let isStored = false
  void ledger.writeProgress(jobOf(3, [{}]).id, NO_PROGRESS).then(() => {
    isStored = true
  })
  await clock.advance(4500)
  store.setMode("up")
  await clock.advance(1000)
  t.true(isStored)
  ledger.close()
})
