/**
 * Three daemons, one of them pressed by clients that keep to no limit. The leader answers its peers and the store in
 * between, so it keeps the lead, and ordinary callers are served at each instance.
 */
import test from "ava"
import type {ExecutionContext} from "ava"
import {gatherApart, passByApart} from "./apart.js"
import type {CrowdApart} from "./apart.js"
import {chunked, complete, pipelined} from "./crowd.js"
import type {Script} from "./crowd.js"
import {BODY_LIMIT, crowdCases, TRIAL_BODY_BYTES, TRIAL_CROWD} from "./crowds.js"
import {startFleet, ROUTE_HOST} from "./fleetprocesses.js"
import type {FleetOfProcesses, FleetProcess, Lead} from "./fleetprocesses.js"
import {handInAndAsk} from "./handin.js"
import type {Machine} from "./watchedprocess.js"

/** The machine of the users' trial; the others of the fleet have the same. */
const MACHINE: Machine = {memoryMebibytes: 210, descriptors: 2212, heapMebibytes: 160}
const JOB_PATH = "/checks/ffffffffffffffff"
const BYTES_IN_CHUNKS: Script = chunked(JOB_PATH, ROUTE_HOST, TRIAL_BODY_BYTES, 1)
/** Nearly as many connections as such a machine has for clients. */
const MOST_CLIENTS = 800
const MEBIBYTE = 2 ** 20
/** A slow but working store takes up to 0.35 s. */
const SLOW_STORE_MS = 250
/** Steps of a job whose record nearly fills a value of the store, though its text is short. */
const MANY_STEPS = 2500

interface PressedFleet extends Lead {
  readonly fleet: FleetOfProcesses
  readonly follower: FleetProcess
}

async function start(t: ExecutionContext): Promise<PressedFleet> {
  const fleet = await startFleet([MACHINE, MACHINE, MACHINE])
  t.teardown(fleet.close)
  const first = await fleet.untilLed()
  for (const instance of fleet.instances) t.true(await handInAndAsk(instance), instance.name)
  const lead = fleet.lead() ?? first
  const follower = fleet.instances.find(instance => instance !== lead.leader)
  if (!follower) throw new RangeError("There is no follower.")
  return {fleet, follower, ...lead}
}

/** Each instance serves an ordinary caller, and none has ended or exceeded its machine. */
async function holds(t: ExecutionContext, {instances}: Pick<FleetOfProcesses, "instances">, when: string) {
  for (const instance of instances) t.true(await handInAndAsk(instance), `${instance.name} ${when}`)
  for (const {name, process} of instances) t.deepEqual(process.faults(), [], `${name} ${when}`)
  t.log(when, ...instances.map(({process}) => process.usage()))
}

async function press(
  t: ExecutionContext,
  {callers}: FleetProcess,
  size: number,
  script: Script,
): Promise<CrowdApart> {
  const crowd = await gatherApart(callers, size, script)
  t.teardown(crowd.leave)
  return crowd
}

const CROWDS = [
  {role: "leader", size: TRIAL_CROWD},
  {role: "leader", size: MOST_CLIENTS},
  {role: "follower", size: TRIAL_CROWD},
] as const

for (const {role, size} of CROWDS) {
  test.serial(`${size} bodies in chunks of one byte at the ${role} depose no leader`, async t => {
    const pressed = await start(t)
    const {fleet, term} = pressed
    const crowd = await press(t, pressed[role], size, BYTES_IN_CHUNKS)
    await holds(t, fleet, "beside the crowd")
    await crowd.settled()
    t.is(fleet.lead()?.term, term, "beside the crowd")
    await crowd.leave()
    await holds(t, fleet, "after the crowd")
    t.is(fleet.lead()?.term, term, "after the crowd")
  })
}

test.serial("bodies in chunks of one byte at all instances depose no leader", async t => {
  const {fleet, term} = await start(t)
  const crowds = await Promise.all(
    fleet.instances.map(instance => press(t, instance, TRIAL_CROWD / 3, BYTES_IN_CHUNKS)),
  )
  await holds(t, fleet, "beside the crowds")
  await Promise.all(crowds.map(crowd => crowd.settled()))
  t.is(fleet.lead()?.term, term, "beside the crowds")
  await Promise.all(crowds.map(crowd => crowd.leave()))
  await holds(t, fleet, "after the crowds")
  t.is(fleet.lead()?.term, term, "after the crowds")
})

test.serial("crowds of all kinds, in turn and at once, depose no leader", async t => {
  const {fleet, term, leader} = await start(t)
  const cases = crowdCases({host: ROUTE_HOST, withBody: JOB_PATH, plain: "/checks/"})
  for (const {title, size, script} of cases) {
    const crowd = await press(t, leader, size, script)
    await crowd.settled()
    await crowd.leave()
    t.true(await handInAndAsk(leader), title)
    t.is(fleet.lead()?.term, term, title)
  }
  const crowds = await Promise.all(
    cases.map(({size, script}) => press(t, leader, Math.ceil(size / cases.length), script)),
  )
  await holds(t, fleet, "beside the crowds")
  await Promise.all(crowds.map(crowd => crowd.settled()))
  await Promise.all(crowds.map(crowd => crowd.leave()))
  await holds(t, fleet, "after the crowds")
  t.is(fleet.lead()?.term, term, "after the crowds")
})

test.serial("requests sent ahead at the leader depose no leader", async t => {
  const {fleet, term, leader} = await start(t)
  const crowd = await press(t, leader, TRIAL_CROWD, pipelined(JOB_PATH, ROUTE_HOST, MEBIBYTE))
  await holds(t, fleet, "beside the crowd")
  await crowd.settled()
  await crowd.leave()
  await holds(t, fleet, "after the crowd")
  t.is(fleet.lead()?.term, term)
})

test.serial("requests for unknown jobs whose callers leave keep a slow store for the leader", async t => {
  const {fleet, term, leader} = await start(t)
  fleet.store.setLatency(SLOW_STORE_MS)
  const request = `GET ${JOB_PATH} HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\n\r\n`
  await passByApart(
    leader.callers,
    {total: 3000, together: 100},
    {head: request, part: Buffer.alloc(0), parts: 0},
  )
  t.is(fleet.lead()?.term, term, "when the crowd has left")
  await holds(t, fleet, "after the crowd")
  t.is(fleet.lead()?.term, term, "after the crowd")
})

test.serial("jobs whose callers leave while the store is away keep no memory", async t => {
  const {fleet, follower} = await start(t)
  const body = JSON.stringify({
    Spec: "s",
    Pipeline: Array.from({length: MANY_STEPS}, () => ({Count: 1})),
  })
  fleet.store.setMode("silent")
  for (const instance of [follower, ...fleet.instances.filter(other => other !== follower)]) {
    // Jobs of different names, so that none is known.
    const visits = Array.from({length: 10}, (_, index) =>
      passByApart(
        instance.callers,
        {total: 100, together: 50},
        complete(`/checks/${(index + 1).toString(16).padStart(16, "e")}`, ROUTE_HOST, body),
      ),
    )
    await Promise.all(visits)
  }
  fleet.store.setMode("up")
  await holds(t, fleet, "after the crowds")
})

test.serial("jobs that wait while the store is away keep to the memory of each instance", async t => {
  const {fleet} = await start(t)
  const body = JSON.stringify({
    Spec: "s",
    Pipeline: Array.from({length: MANY_STEPS}, () => ({Count: 1})),
  })
  fleet.store.setMode("silent")
  const crowds = await Promise.all(
    fleet.instances.map(instance => press(t, instance, 400, complete(JOB_PATH, ROUTE_HOST, body))),
  )
  await Promise.all(crowds.map(crowd => crowd.settled()))
  fleet.store.setMode("up")
  await Promise.all(crowds.map(crowd => crowd.leave()))
  await holds(t, fleet, "after the crowds")
})

test.serial("jobs with very many faults keep to the memory of an instance", async t => {
  const {fleet, leader, term} = await start(t)
  const numbers = "9,".repeat(BODY_LIMIT / 2 - 100)
  const body = `{"Pipeline":[{"Count":1,"After":[${numbers}9]}]}`
  const crowd = await press(t, leader, TRIAL_CROWD, complete(JOB_PATH, ROUTE_HOST, body))
  await crowd.settled()
  await holds(t, fleet, "beside the crowd")
  await crowd.leave()
  await holds(t, fleet, "after the crowd")
  t.is(fleet.lead()?.term, term)
})

test.serial("a pressed leader stops when it is asked to, and others serve", async t => {
  const {fleet, leader} = await start(t)
  const crowd = await press(t, leader, TRIAL_CROWD, BYTES_IN_CHUNKS)
  t.is(await leader.process.terminate(), "stopped")
  await fleet.untilLed([leader])
  const instances = fleet.instances.filter(instance => instance !== leader)
  await holds(t, {instances}, "after the stop")
  await crowd.leave()
})

test.serial("a pressed follower takes over from a leader that is killed", async t => {
  const {fleet, leader} = await start(t)
  const instances = fleet.instances.filter(instance => instance !== leader)
  const crowds = await Promise.all(
    instances.map(instance => press(t, instance, TRIAL_CROWD / 2, BYTES_IN_CHUNKS)),
  )
  await leader.process.stop()
  const {term} = await fleet.untilLed([leader])
  await holds(t, {instances}, "beside the crowds")
  await Promise.all(crowds.map(crowd => crowd.settled()))
  await Promise.all(crowds.map(crowd => crowd.leave()))
  await holds(t, {instances}, "after the crowds")
  t.is(fleet.lead()?.term, term, "the one that took over")
})

test.serial("pressed instances follow a change of the configuration", async t => {
  const {fleet} = await start(t)
  const crowds = await Promise.all(
    fleet.instances.map(instance => press(t, instance, TRIAL_CROWD / 3, BYTES_IN_CHUNKS)),
  )
  fleet.configure("/later/", BODY_LIMIT / 2)
  for (const instance of fleet.instances) t.true(await handInAndAsk(instance, "/later/"), instance.name)
  await Promise.all(crowds.map(crowd => crowd.settled()))
  await Promise.all(crowds.map(crowd => crowd.leave()))
  for (const {name, process} of fleet.instances) t.deepEqual(process.faults(), [], name)
})
