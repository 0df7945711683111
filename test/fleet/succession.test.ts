/** Who succeeds a leader that failed, in a fleet of unlike instances, and when a leader hands over. */
import test from "ava"
import type {Contender, LeaderDuty} from "../../src/pipelines/succession.js"
import {
  findFitter,
  findSuccessors,
  fitness,
  leadingPower,
  takeFittestClass,
} from "../../src/pipelines/succession.js"
import {jobOf, testFleet} from "../support/fleet.js"
import type {TestFleet} from "../support/fleet.js"

function contender(name: string, processors: number, linkMegabits: number, isWarm = true): Contender {
  return {name, processors, linkMegabits, isWarm}
}

const STRONG = contender("strong", 1.35, 140)
const NARROW = contender("narrow", 0.81, 7)
const SMALL = contender("small", 0.243, 7)
const CALM: LeaderDuty = {plannedFor: 10_000, openSteps: 5, unreportedWorkers: 0}

function namesOf(contenders: readonly Contender[]): readonly string[] {
  return contenders.map(({name}) => name)
}

test("a narrow link bounds what an instance can do as a leader, and an unknown one does not", t => {
  t.deepEqual([STRONG, NARROW, SMALL].map(leadingPower), [1.35, 0.35, 0.243])
  t.is(leadingPower({name: "unknown", processors: 0.81}), 0.81)
  t.true(fitness({...STRONG, isWarm: false}) > fitness(NARROW))
})

test("an instance stands back for fitter ones, the fittest first", t => {
  const cold = {...STRONG, name: "cold", isWarm: false}
  const middle = contender("middle", 0.9, 0)
  t.deepEqual(namesOf(findFitter(SMALL, [NARROW, cold, STRONG, middle])), [
    "strong",
    "middle",
    "cold",
    "narrow",
  ])
  t.deepEqual(namesOf(findFitter(cold, [NARROW, STRONG])), ["strong"])
  t.deepEqual(namesOf(findFitter(STRONG, [NARROW, cold, middle])), [])
  t.deepEqual(namesOf(findFitter(contender("close", 1.2, 0), [STRONG, SMALL])), [])
})

test("those about as fit as the fittest are asked to claim before all others", t => {
  const cold = {...STRONG, name: "cold", isWarm: false}
  const ranked = [STRONG, {...STRONG, name: "second"}, contender("close", 1.2, 0), cold, NARROW]
  t.deepEqual(namesOf(takeFittestClass(ranked)), ["strong", "second", "close"])
  t.deepEqual(namesOf(takeFittestClass([cold, NARROW])), ["cold"])
  t.deepEqual(takeFittestClass([]), [])
})

test("among equal instances nobody stands back, whether cold or warm", t => {
  const equal = ["a", "b", "c"].map(name => contender(name, 0.675, 1000, name !== "a"))
  for (const one of equal)
    t.deepEqual(
      findFitter(
        one,
        equal.filter(other => other !== one),
      ),
      [],
    )
})

test("a leader hands over to a warm instance of more power, and only while little waits", t => {
  const middle = contender("middle", 0.81, 0)
  const cold = {...STRONG, name: "cold", isWarm: false}
  t.deepEqual(namesOf(findSuccessors(middle, [STRONG, cold, SMALL], CALM)), ["strong"])
  t.deepEqual(findSuccessors(middle, [cold], CALM), [])
  t.deepEqual(findSuccessors(middle, [STRONG], {...CALM, openSteps: 200}), [])
  t.deepEqual(findSuccessors(middle, [STRONG], {...CALM, plannedFor: 1000}), [])
  t.deepEqual(findSuccessors(STRONG, [middle, contender("other", 1.35, 0)], CALM), [])
})

// A successor would have held accepted work back anew, for workers that were lost with an earlier leader.
test("a leader does not hand over while a worker may run tasks of an earlier leader", t => {
  const middle = contender("middle", 0.81, 0)
  t.deepEqual(findSuccessors(middle, [STRONG], {...CALM, unreportedWorkers: 1}), [])
})

test("a weak leader hands over at once, also under a backlog and to a cold instance", t => {
  const cold = {...STRONG, name: "cold", isWarm: false}
  const duty = {plannedFor: 0, openSteps: 200, unreportedWorkers: 3}
  t.deepEqual(namesOf(findSuccessors(NARROW, [cold, SMALL, STRONG], duty)), ["strong", "cold"])
  t.deepEqual(findSuccessors(NARROW, [SMALL], duty), [])
})

test("no chain of hand-overs comes back to an instance that has handed over", t => {
  const powers = [0.1, 0.3, 0.5, 0.6, 0.75, 0.94, 1.2, 1.5]
  const all = powers.map(power => contender(`power ${power}`, power, 0))
  for (const one of all)
    for (const next of findSuccessors(one, all, CALM)) t.true(leadingPower(next) > leadingPower(one))
})

const STRONG_NAMES = ["entry-4", "entry-9", "entry-14", "entry-20", "entry-26", "entry-31"]
const NAMES = Array.from({length: 41}, (_, index) => `entry-${index + 1}`)
/** Every fourth of the others has a good processor at a narrow link. */
const PROCESSORS = Object.fromEntries(
  NAMES.map((name, index) => [name, STRONG_NAMES.includes(name) ? 1.35 : index % 4 === 0 ? 0.81 : 0.243]),
)
const LINKS = Object.fromEntries(NAMES.map(name => [name, STRONG_NAMES.includes(name) ? 140 : 7]))

async function settledFleet(seed: number): Promise<TestFleet> {
  const fleet = testFleet({seed, instances: NAMES.length, processors: PROCESSORS, links: LINKS})
  await fleet.clock.advance(9000)
  return fleet
}

/** Advances until another instance leads; returns how long that took. */
async function awaitLeader(fleet: TestFleet): Promise<number> {
  const since = fleet.clock.now()
  while (fleet.leader() === undefined && fleet.clock.now() - since < 5000) await fleet.clock.advance(10)
  return fleet.clock.now() - since
}

test("a strong warm instance succeeds a leader that dies with a third of the others", async t => {
  const successors: string[] = []
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const fleet = await settledFleet(seed)
    const leader = fleet.leader() ?? ""
    t.true(STRONG_NAMES.includes(leader))
    const dying = [leader, ...NAMES.filter((name, index) => name !== leader && index % 3 === seed % 3)]
    for (const name of dying) fleet.kill(name)
    dying.forEach((name, index) => fleet.clock.after(250 + index * 5, () => fleet.start(name)))
    const waited = await awaitLeader(fleet)
    t.true(waited < 1500)
    const successor = fleet.leader() ?? ""
    const isWarm = !dying.includes(successor)
    t.log(`${waited} ms`)
    successors.push(`${PROCESSORS[successor] ?? 0} ${isWarm ? "warm" : "cold"}`)
    await fleet.clock.advance(2000)
    t.is(fleet.leader(), successor)
  }
  t.deepEqual(new Set(successors), new Set(["1.35 warm"]))
})

test("a leader that restarts before anyone has missed it leaves the claim to a warm instance", async t => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const fleet = await settledFleet(seed)
    const former = fleet.leader() ?? ""
    fleet.kill(former)
    fleet.clock.after(5, () => fleet.start(former))
    t.true((await awaitLeader(fleet)) < 500)
    t.not(fleet.leader(), former)
    t.true(STRONG_NAMES.includes(fleet.leader() ?? ""))
  }
})

test("another instance claims soon after the one that has accepted to claim dies", async t => {
  const fleet = await settledFleet(4)
  const former = fleet.leader() ?? ""
  const [accepting = ""] = STRONG_NAMES.filter(name => name !== former)
  for (const name of STRONG_NAMES) if (name !== accepting) fleet.kill(name)
  // What it writes to the store never arrives there, and it dies as soon as it has accepted.
  fleet.store.setMode("silent", accepting)
  const hasAccepted = (): boolean => fleet.logLines.some(({event}) => event === "take-over")
  const since = fleet.clock.now()
  while (!hasAccepted() && fleet.clock.now() - since < 2000) await fleet.clock.advance(1)
  t.true(hasAccepted())
  fleet.kill(accepting)
  t.true((await awaitLeader(fleet)) < 500)
})

test("a weak instance claims soon after all strong ones have died, whether their machines answer or not", async t => {
  for (const isSilent of [false, true]) {
    const fleet = await settledFleet(3)
    for (const name of STRONG_NAMES) {
      // A machine without power answers nothing; one whose process is gone refuses connections.
      if (isSilent) for (const other of NAMES) fleet.partition(name, other)
      else fleet.kill(name)
    }
    for (const name of STRONG_NAMES) if (isSilent) fleet.store.setMode("silent", name)
    const isLed = (): boolean =>
      NAMES.some(name => !STRONG_NAMES.includes(name) && fleet.instance(name).counts().leads === 1)
    const since = fleet.clock.now()
    while (!isLed() && fleet.clock.now() - since < 5000) await fleet.clock.advance(10)
    t.log(`${isSilent ? "silent" : "dead"}: ${fleet.clock.now() - since} ms`)
    t.true(fleet.clock.now() - since < (isSilent ? 2000 : 1200))
  }
})

test("a leader of some power hands over to a stronger instance that is warm, once little waits", async t => {
  const processors = {"entry-1": 0.81, "entry-2": 0.81, "entry-3": 1.35}
  const fleet = testFleet({processors})
  fleet.kill("entry-3")
  await fleet.clock.advance(3000)
  t.not(fleet.leader(), undefined)
  fleet.start("entry-3")
  await fleet.clock.advance(4000)
  t.not(fleet.leader(), "entry-3")
  await fleet.clock.advance(6000)
  t.is(fleet.leader(), "entry-3")
  const job = jobOf(1200, [{count: 2}])
  await fleet.submit("entry-1", job)
  await fleet.clock.advance(1500)
  t.is(await fleet.stateAt("entry-2", job), "completed")
  await fleet.clock.advance(20_000)
  const handOvers = fleet.logLines.filter(({event}) => event === "hand-over")
  t.is(handOvers.length, 1)
})

test("a new leader has the help of all instances that are up soon after its claim", async t => {
  const fleet = await settledFleet(5)
  const former = fleet.leader() ?? ""
  fleet.kill(former)
  await awaitLeader(fleet)
  const leader = fleet.instance(fleet.leader() ?? "")
  await fleet.clock.advance(50)
  t.is(leader.counts().members, NAMES.length - 1)
  await fleet.clock.advance(3000)
  t.is(leader.counts().members, NAMES.length - 1)
})
