/** How long followers wait for a leader, and what a fleet gets from it whose leader is busy. */
import test from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import {
  NO_ROUND_TRIPS,
  observeAnswer,
  observeSilence,
  patienceOf,
  secondPatienceOf,
} from "../../src/planner/roundtrips.js"
import type {RoundTrips} from "../../src/planner/roundtrips.js"
import {pauseBeforePass} from "../../src/planner/passpace.js"
import {jobOf, testFleet} from "../support/fleet.js"

function afterAnswers(took: Milliseconds, count: number, before: RoundTrips = NO_ROUND_TRIPS): RoundTrips {
  return Array.from({length: count}).reduce<RoundTrips>(trips => observeAnswer(trips, took), before)
}

test("a leader that answers at once is given the least time, one that takes long is given more", t => {
  t.is(patienceOf(NO_ROUND_TRIPS), 350)
  t.is(patienceOf(afterAnswers(10, 20)), 350)
  const slow = afterAnswers(800, 5)
  t.true(patienceOf(slow) > 800)
  t.is(
    patienceOf(afterAnswers(10, 60, slow)),
    350,
    "a leader that is quick again is given no more than others",
  )
})

test("the time doubles with each silent leader, up to a limit, and not for a leader that answers in time", t => {
  let trips = afterAnswers(10, 20)
  const spans = Array.from({length: 4}, () => {
    trips = observeSilence(trips)
    return patienceOf(trips)
  })
  t.deepEqual(spans, [700, 1400, 1400, 1400])
  t.is(patienceOf(observeAnswer(trips, 20)), 350)
  const slowest = observeSilence(afterAnswers(5000, 10))
  t.true(patienceOf(slowest) + secondPatienceOf(slowest) <= 3500, "a silent leader is found all the same")
})

test("a leader that is busy after it took over is not replaced again and again", async t => {
  const fleet = testFleet({instances: 8})
  await fleet.clock.advance(1000)
  const begun = fleet.logLines.length
  fleet.kill(fleet.leader() ?? "")
  fleet.delayLeader(800)
  await fleet.clock.advance(8000)
  const leaders = fleet.logLines.slice(begun).filter(line => line.event === "leading")
  t.is(leaders.length, 1)
  const job = jobOf(1, [{}])
  const answer = await fleet.submit(fleet.leader() ?? "", job)
  t.is(answer.type, "stored")
})

test("a leader that has been busy and then falls silent is replaced before the patience of callers ends", async t => {
  const fleet = testFleet({instances: 8})
  await fleet.clock.advance(1000)
  fleet.delayLeader(300)
  await fleet.clock.advance(3000)
  const former = fleet.leader() ?? ""
  fleet.delayLeader(0)
  for (const name of fleet.names()) if (name !== former) fleet.partition(name, former)
  await fleet.clock.advance(3000)
  t.not(fleet.leader(), former)
})

test("passes that take long leave most of the leader's time to other work", t => {
  t.is(pauseBeforePass(0), 3)
  t.is(pauseBeforePass(10), 20)
  t.is(pauseBeforePass(400), 100, "and urgent work does not wait for long")
})
