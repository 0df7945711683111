/** The journal of a job group in the store: durability, exclusion of an earlier writer, lost replies, compaction. */
import test from "ava"
import {seededRandom} from "../../src/core/random.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {VirtualClock} from "../../src/core/virtualclock.js"
import {createJournal} from "../../src/controllers/journal.js"
import type {JobSpecification, JobStep} from "../../src/jobs/job.js"
import {storeCore} from "../../standins/storecore.js"
import {directStore, noStoreFaults} from "../../standins/storefaults.js"

/** A step that accepts a minimal job. */
function acceptedStep(job: string): JobStep {
  const specification: JobSpecification = {
    job,
    team: "red",
    workload: "batch",
    kind: "batch",
    pool: "pool",
    priority: 1,
    restartable: true,
    checkpointable: false,
    demand: {processors: 1, memoryMebibytes: 1, accelerators: 0},
    tasks: 1,
    declaredRun: 0,
    payload: "",
    acceptedAt: 0,
    requestDigest: "",
  }
  return {type: "accepted", specification}
}

/** Runs the clock until the promise is resolved. */
async function runUntilResolved<T>(clock: VirtualClock, promise: Promise<T>): Promise<T> {
  let result: {readonly value: T} | undefined
  void promise.then(value => {
    result = {value}
  })
  for (let turn = 0; turn < 400 && !result; turn += 1) await clock.advance(50)
  if (!result) throw new RangeError("The call did not end within 20 s of virtual time.")
  return result.value
}

function setUp() {
  const clock = virtualClock()
  const core = storeCore(clock)
  const faults = noStoreFaults()
  const open = (writer: string) => {
    const store = directStore(core, faults, clock, writer, () => undefined)
    return createJournal("j/1", writer, store, clock, seededRandom(1))
  }
  return {clock, core, faults, open}
}

test("steps are durable, and a later holder excludes the one before it", async t => {
  const {clock, open} = setUp()
  const first = open("one")
  t.true((await runUntilResolved(clock, first.open())).isOk())
  t.true((await runUntilResolved(clock, first.append([acceptedStep("a")]))).isOk())
  const second = open("two")
  const read = await runUntilResolved(clock, second.open())
  t.deepEqual(read.isOk() ? read.value.map(step => step.type) : [], ["opened", "accepted"])
  const late = await runUntilResolved(clock, first.append([acceptedStep("b")]))
  t.true(late.isErr(), "the earlier holder can no longer write")
  t.true((await runUntilResolved(clock, second.append([acceptedStep("c")]))).isOk())
})

test("a write whose reply was lost is not repeated", async t => {
  const {clock, faults, core, open} = setUp()
  const writer = open("one")
  await runUntilResolved(clock, writer.open())
  faults.lostReplies = 3
  t.true((await runUntilResolved(clock, writer.append([acceptedStep("a")]))).isOk())
  t.is(core.list("journal/j/1/chunk/").length, 2, "the chunk was written once")
})

test("a compaction that is interrupted after any of its writes loses no accepted job", async t => {
  for (let survivingWrites = 0; survivingWrites < 8; survivingWrites += 1) {
    const {clock, core, faults, open} = setUp()
    const writer = open("one")
    await runUntilResolved(clock, writer.open())
    const steps = ["a", "b", "c"].map(acceptedStep)
    for (const step of steps) await runUntilResolved(clock, writer.append([step]))
    const before = core.writes()
    const stopStoreAfterWrites = (): void => {
      if (core.writes() >= before + survivingWrites) faults.down = true
      if (clock.now() < 60_000) clock.after(1, stopStoreAfterWrites)
    }
    stopStoreAfterWrites()
    void writer.compact(() => steps)
    await clock.advance(5000)
    writer.close()
    faults.down = false
    const endedAt = clock.now()
    await clock.advance(Math.max(0, 61_000 - endedAt))
    faults.down = false
    const next = open("two")
    const read = await runUntilResolved(clock, next.open())
    const found = read.isOk() ? read.value : []
    const jobs = new Set(found.flatMap(step => (step.type === "accepted" ? [step.specification.job] : [])))
    t.deepEqual([...jobs].sort(), ["a", "b", "c"], `after ${survivingWrites} writes`)
  }
})
