/** Changes of the operator's configuration reach every instance in time, whatever fails. */
import test from "ava"
import type {Clock, Milliseconds} from "../../src/core/clock.js"
import {sleep} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {FleetConfiguration} from "../../src/pipelines/model.js"
import {createConfigurationHolder} from "../../src/planner/configurationholder.js"
import {createConfigurationUpdater} from "../../src/planner/configurationupdater.js"
import {fakeStore} from "../support/fakestore.js"
import type {FakeStore} from "../support/fakestore.js"
import {QUEUE, READER, testFleet} from "../support/fleet.js"
import type {TestFleet} from "../support/fleet.js"

const APPLY_LIMIT_MS = 3000
const CONFIGURATION: FleetConfiguration = {
  version: 1,
  queues: [QUEUE],
  services: [],
  workspaces: [],
  bodyLimit: 1000,
}

function versionsOf(fleet: TestFleet) {
  return fleet.names().map(name => fleet.instance(name).configuration()?.version)
}

test("a configuration is in force everywhere in time while the leader's watch gets no answers", async t => {
  const fleet = testFleet({instances: 5})
  await fleet.clock.advance(2000)
  fleet.store.silenceWatches(true, fleet.leader() ?? "")
  await fleet.clock.advance(1000)
  fleet.configure({})
  await fleet.clock.advance(APPLY_LIMIT_MS)
  t.snapshot(versionsOf(fleet))
})

test("a configuration is in force at followers in time while the leader answers pings but hears nothing of the store", async t => {
  const fleet = testFleet({instances: 5})
  await fleet.clock.advance(2000)
  const leader = fleet.leader() ?? ""
  // No follower can take over.
  fleet.store.setMode("late")
  fleet.store.setMode("silent", leader)
  fleet.configure({})
  await fleet.clock.advance(APPLY_LIMIT_MS)
  t.is(fleet.leader(), leader)
  const followers = fleet.names().filter(name => name !== leader)
  t.snapshot(followers.map(name => fleet.instance(name).configuration()?.version))
})

test("a configuration that was accepted during an outage is in force everywhere soon after it", async t => {
  const fleet = testFleet({instances: 5})
  await fleet.clock.advance(2000)
  fleet.store.setMode("silent")
  await fleet.clock.advance(4150)
  fleet.configure({})
  fleet.store.setMode("up")
  await fleet.clock.advance(APPLY_LIMIT_MS)
  t.snapshot(versionsOf(fleet))
})

test("a leader that watches the configuration spares its followers calls to the store", async t => {
  const fleet = testFleet({instances: 5})
  await fleet.clock.advance(3000)
  for (const name of fleet.names()) if (name !== fleet.leader()) fleet.store.setMode("refusing", name)
  await fleet.clock.advance(5000)
  t.deepEqual(
    fleet.logLines.filter(({event}) => event === "configuration-read-failed"),
    [],
  )
})

test("instances that the store refuses take a new configuration from the leader", async t => {
  for (const mode of ["refusing", "silent"] as const) {
    const fleet = testFleet({instances: 5})
    await fleet.clock.advance(2000)
    for (const name of fleet.names()) if (name !== fleet.leader()) fleet.store.setMode(mode, name)
    await fleet.clock.advance(1000)
    fleet.configure({})
    await fleet.clock.advance(APPLY_LIMIT_MS)
    t.snapshot(versionsOf(fleet))
  }
})

/** Starts an updater alone, which reads the store's answers with a delay. */
function startUpdater(clock: Clock, isLeader: boolean, held: FakeStore, delay: () => Milliseconds) {
  const inner = held.portFor("entry-1")
  async function late<T>(answer: Promise<T>): Promise<T> {
    const settled = await answer
    await sleep(clock, delay())
    return settled
  }
  const updater = createConfigurationUpdater({
    clock,
    log: SILENT_LOGGER,
    store: {
      ...inner,
      read: key => late(inner.read(key)),
      watch: (prefix, after, wait) => late(inner.watch(prefix, after, wait)),
    },
    reader: READER,
    holder: createConfigurationHolder(READER, SILENT_LOGGER, () => undefined),
    isLeader: () => isLeader,
    isStoreFailing: () => isLeader,
    askLeader: () => Promise.resolve(""),
    withdrawalLimit: 0,
  })
  updater.start()
  return updater
}

function configuredStore(clock: Clock): FakeStore {
  const store = fakeStore(clock)
  store.put(READER.configurationKey, JSON.stringify(CONFIGURATION))
  return store
}

test("an instance that reads an answer late does not call its configuration the newest since then", async t => {
  for (const isLeader of [true, false]) {
    const clock = virtualClock(1000)
    let suspendedFor = 0
    const updater = startUpdater(clock, isLeader, configuredStore(clock), () => suspendedFor)
    await clock.advance(2000)
    t.true(updater.age() < (isLeader ? 600 : 1700))
    suspendedFor = 5000
    let youngest = Infinity
    for (let at = 0; at < 9000; at += 50) {
      await clock.advance(50)
      if (at > 5000) youngest = Math.min(youngest, updater.age())
    }
    // A watch call was open for 250 ms at the store before its answer waited.
    t.true(youngest >= (isLeader ? 5200 : 5000), `${youngest}`)
    updater.stop()
  }
})

test("a configuration that cannot be read may be newer, so that the one in force is not confirmed", async t => {
  for (const isLeader of [true, false]) {
    const clock = virtualClock(1000)
    const store = configuredStore(clock)
    const updater = startUpdater(clock, isLeader, store, () => 0)
    await clock.advance(2000)
    store.put(READER.configurationKey, "null")
    await clock.advance(5000)
    t.true(updater.age() > 4000, `${updater.age()}`)
    store.put(READER.configurationKey, JSON.stringify({...CONFIGURATION, version: 2}))
    await clock.advance(2000)
    t.true(updater.age() < 2000, `${updater.age()}`)
    updater.stop()
  }
})

test("the age counts a suspension that only the time of day shows, and a process that has just started knows nothing", async t => {
  const clock = virtualClock(1000)
  let setForward = 0
  const skewed: Clock = {...clock, wallClock: () => clock.wallClock() + setForward}
  const updater = startUpdater(skewed, true, configuredStore(clock), () => 0)
  t.is(updater.age(), Infinity)
  await clock.advance(2000)
  t.true(updater.age() < 600)
  setForward = 8000
  t.true(updater.age() >= 8000, "suspended or set forward")
  await clock.advance(1000)
  t.true(updater.age() < 600, "confirmed since")
  setForward = 0
  t.true(updater.age() < 600, "set back")
  updater.stop()
})
