/** The outcomes that the ledger returns for jobs whose storing was interrupted. */
import test from "ava"
import type {Clock} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import {NO_PROGRESS} from "../../src/pipelines/progress.js"
import {createLedger} from "../../src/planner/ledger.js"
import type {Ledger} from "../../src/planner/ledger.js"
import {LEADER_KEY, rosterKey, TERM_KEY} from "../../src/planner/records.js"
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

// One value that the store did not take kept all jobs, progress and the roster from being stored.
test("a write that the store does not take keeps no other from being stored", async t => {
  const clock = virtualClock(1000)
  const store = fakeStore(clock)
  const ledger = openLedger(clock, store)
  const stored: string[] = []
  ledger.writeRecord(rosterKey(0), "x".repeat(2_000_000), () => stored.push("long roster"))
  ledger.writeRecord(TERM_KEY, "{}", () => stored.push("term"))
  const outcomes = Promise.all([
    ledger.storeJob(jobOf(1, [{}])),
    ledger.storeJob(jobOf(2, [{}], {payload: "x".repeat(2_000_000)})),
    ledger.storeJob(jobOf(3, [{}])),
  ])
  void ledger.writeProgress(jobOf(4, [{}]).id, NO_PROGRESS).then(() => stored.push("progress"))
  await clock.advance(300)
  t.deepEqual(await outcomes, ["stored", "not-stored", "stored"])
  t.deepEqual(stored.sort(), ["progress", "term"])
  await clock.advance(5000)
  t.true(store.rejections().length < 15, "a value that was rejected by itself is tried about once a second")
  ledger.writeRecord(rosterKey(0), "[]", () => stored.push("short roster"))
  await clock.advance(1500)
  t.true(stored.includes("short roster"))
  ledger.close()
})

test("many long values are stored in several transactions", async t => {
  const clock = virtualClock(1000)
  const store = fakeStore(clock)
  const ledger = openLedger(clock, store)
  const outcomes = Array.from({length: 10}, (_, index) => {
    return ledger.storeJob(jobOf(index + 1, [{}], {payload: "x".repeat(100_000)}))
  })
  await clock.advance(500)
  t.deepEqual(new Set(await Promise.all(outcomes)), new Set(["stored"]))
  t.true(store.commitCount() >= 5)
  ledger.close()
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
