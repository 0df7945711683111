/** Entries among those of the workers that other writers have left or changed. */
import test from "ava"
import {jobOf, listingOf, ODD_ENTRY, READER, testFleet} from "../support/fleet.js"

test("an entry that cannot be read is logged once for each revision, and the other entries are followed", async t => {
  const fleet = testFleet({workers: 2})
  await fleet.clock.advance(1000)
  fleet.store.put(`${READER.workerPrefix}odd`, ODD_ENTRY)
  await fleet.clock.advance(2000)
  fleet.store.compact()
  fleet.register(listingOf("worker-1", {leaving: true}))
  await fleet.clock.advance(2000)
  const refused = () => fleet.logLines.filter(({event}) => event === "worker-entry-refused").length
  t.is(refused(), 1)
  t.is(fleet.logLines.filter(({event}) => event === "worker-leaving").length, 1)
  fleet.store.put(`${READER.workerPrefix}odd`, ODD_ENTRY)
  await fleet.clock.advance(1000)
  t.is(refused(), 2)
  const job = jobOf(1, [{count: 4}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(2000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
})

test("a later birth that somebody wrote into a worker's entry does not hide that the worker leaves", async t => {
  const fleet = testFleet({workers: 2})
  await fleet.clock.advance(1000)
  fleet.register(listingOf("worker-1", {bornAt: 4e12}))
  await fleet.clock.advance(1000)
  fleet.register(listingOf("worker-1", {leaving: true}))
  await fleet.clock.advance(1000)
  t.is(fleet.logLines.filter(({event}) => event === "worker-leaving").length, 1)
  const job = jobOf(1, [{count: 6}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(3000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  t.deepEqual(
    fleet.logLines.filter(({event, fields}) => event === "start" && fields.worker === "worker-1"),
    [],
  )
})

test("after all instances restarted, a worker that had left or was leaving gets no tasks", async t => {
  const fleet = testFleet({workers: 3})
  await fleet.clock.advance(1000)
  fleet.register(listingOf("worker-1", {leaving: true}))
  fleet.unregister("worker-2")
  await fleet.clock.advance(1000)
  for (const name of ["entry-1", "entry-2", "entry-3"]) {
    fleet.kill(name)
    fleet.start(name)
  }
  await fleet.clock.advance(1500)
  const job = jobOf(1, [{count: 12}])
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(5000)
  t.is(await fleet.stateAt("entry-1", job), "completed")
  const starts = fleet.logLines.filter(({event}) => event === "start")
  t.deepEqual(new Set(starts.map(({fields}) => fields.worker)), new Set(["worker-3"]))
})
