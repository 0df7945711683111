/** No instance serves a key for longer than the limit after its withdrawal, and none refuses more than it must. */
import test from "ava"
import type {ExecutionContext} from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import type {Queue, Workspace} from "../../src/pipelines/model.js"
import {jobOf, QUEUE, testFleet} from "../support/fleet.js"
import type {TestFleet} from "../support/fleet.js"

const LIMIT_MS: Milliseconds = 5000
/** What an instance without any way to the store has to serve. */
const OWED_MS: Milliseconds = 3000
const APPLY_LIMIT_MS: Milliseconds = 3000
const SAMPLE_MS: Milliseconds = 20

const KEYED: Queue = {...QUEUE, isPublic: false}

function workspaceOf(name: string, keys: readonly string[]): Workspace {
  return {name, keys, weight: 1, limit: {processors: 0, memoryMebibytes: 0, accelerators: 0}}
}

const BEFORE = {
  queues: [KEYED],
  workspaces: [workspaceOf("red", ["lost", "kept"]), workspaceOf("blue", ["own"])],
}
const AFTER = {queues: [KEYED], workspaces: [workspaceOf("red", ["kept"]), workspaceOf("blue", ["own"])]}

async function startFleet(instances = 5): Promise<TestFleet> {
  const fleet = testFleet({instances, withdrawalLimit: LIMIT_MS})
  fleet.configure(BEFORE)
  await fleet.clock.advance(4000)
  return fleet
}

function check(fleet: TestFleet, name: string, key: string): string {
  const authorization = fleet.instance(name).authorizer.check(KEYED, key)
  return authorization.type === "allowed" ? (authorization.caller.workspace ?? "") : authorization.reason
}

function followersOf(fleet: TestFleet): readonly string[] {
  return fleet.names().filter(name => name !== fleet.leader())
}

function isolate(fleet: TestFleet, names: readonly string[]): void {
  for (const name of names) {
    fleet.store.setMode("silent", name)
    for (const other of fleet.names()) if (!names.includes(other)) fleet.partition(name, other)
  }
}

/** Advances the clock and returns until when each instance has served the key, from now. */
async function observe(
  fleet: TestFleet,
  key: string,
  span: Milliseconds,
): Promise<Map<string, Milliseconds>> {
  const servedUntil = new Map<string, Milliseconds>()
  for (let passed = 0; passed <= span; passed += SAMPLE_MS) {
    for (const name of fleet.names()) {
      const verdict = check(fleet, name, key)
      if (verdict !== "unknown-key" && verdict !== "unconfirmed") servedUntil.set(name, passed)
    }
    await fleet.clock.advance(SAMPLE_MS)
  }
  return servedUntil
}

function assertWithdrawn(t: ExecutionContext, servedUntil: ReadonlyMap<string, Milliseconds>): void {
  for (const [name, until] of servedUntil) t.true(until <= LIMIT_MS, `${name} served the key for ${until} ms`)
}

test("a key is withdrawn everywhere in seconds, and the other keys are served throughout", async t => {
  const fleet = await startFleet()
  t.deepEqual(
    fleet.names().map(name => check(fleet, name, "lost")),
    fleet.names().map(() => "red"),
  )
  t.is(check(fleet, "entry-1", "never"), "unknown-key")
  t.is(check(fleet, "entry-1", ""), "unknown-key")
  fleet.configure(AFTER)
  for (const [name, until] of await observe(fleet, "lost", LIMIT_MS))
    t.true(until < APPLY_LIMIT_MS, `${name} ${until}`)
  const kept = await observe(fleet, "kept", 10_000)
  t.true([...kept.values()].every(until => until === 10_000))
})

test("an instance that is cut off serves keys for as long as is owed and no longer than the limit", async t => {
  const fleet = await startFleet()
  const [cut = ""] = followersOf(fleet)
  isolate(fleet, [cut])
  fleet.configure(AFTER)
  const served = await observe(fleet, "lost", 12_000)
  assertWithdrawn(t, served)
  t.true((served.get(cut) ?? 0) >= OWED_MS, `${served.get(cut)}`)
  t.is(check(fleet, cut, "kept"), "unconfirmed")
  t.is(check(fleet, cut, "never"), "unconfirmed", "the key may have been added since")
  t.false(fleet.instance(cut).isReady())
  fleet.healPartitions()
  fleet.store.setMode("up", cut)
  await fleet.clock.advance(1000)
  t.is(check(fleet, cut, "kept"), "red")
  t.is(check(fleet, cut, "lost"), "unknown-key")
})

test("an instance that the store turns away serves keys on the leader's word, and learns of withdrawals", async t => {
  for (const mode of ["refusing", "silent"] as const) {
    const fleet = await startFleet()
    const [turnedAway = ""] = followersOf(fleet)
    fleet.store.setMode(mode, turnedAway)
    const kept = await observe(fleet, "kept", 15_000)
    t.is(kept.get(turnedAway), 15_000)
    fleet.configure(AFTER)
    const served = await observe(fleet, "lost", LIMIT_MS)
    t.true((served.get(turnedAway) ?? 0) < APPLY_LIMIT_MS)
  }
})

test("a leader that is cut off, and the instances behind it, stop serving keys", async t => {
  const fleet = await startFleet()
  const leader = fleet.leader() ?? ""
  const [behind = ""] = followersOf(fleet)
  isolate(fleet, [leader, behind])
  fleet.configure(AFTER)
  const served = await observe(fleet, "lost", 20_000)
  assertWithdrawn(t, served)
  for (const name of [leader, behind])
    t.true((served.get(name) ?? 0) >= OWED_MS, `${name} ${served.get(name)}`)
})

test("no instance serves a withdrawn key while the store answers nobody, also not one that has just started", async t => {
  const fleet = await startFleet()
  fleet.store.setMode("silent")
  fleet.configure(AFTER)
  assertWithdrawn(t, await observe(fleet, "lost", 7000))
  const [restarted = ""] = followersOf(fleet)
  fleet.kill(restarted)
  fleet.start(restarted)
  t.deepEqual([...(await observe(fleet, "lost", 5000)).keys()], [])
  t.true(fleet.instance(restarted).configuration() !== undefined, "it has the former configuration")
  fleet.store.setMode("up")
  await fleet.clock.advance(1500)
  t.deepEqual(
    fleet.names().map(name => check(fleet, name, "kept")),
    fleet.names().map(() => "red"),
  )
})

test("an instance that was stopped serves no withdrawn key when it goes on, whatever it has not read yet", async t => {
  for (const stopsLeader of [false, true])
    for (let offset = 0; offset < 600; offset += 60) {
      const fleet = await startFleet()
      // Answers are on their way most of the time.
      fleet.delayLeader(150)
      await fleet.clock.advance(1000 + offset)
      const leader = fleet.leader() ?? ""
      const stopped = stopsLeader ? leader : (followersOf(fleet)[0] ?? "")
      fleet.pause(stopped)
      await fleet.clock.advance(400)
      fleet.configure(AFTER)
      await fleet.clock.advance(5200)
      t.is(check(fleet, stopped, "lost"), "unconfirmed")
      // What it was sent before is read now, and nothing that is sent later reaches it.
      isolate(fleet, [stopped])
      fleet.resume(stopped)
      const served = await observe(fleet, "lost", 3000)
      t.deepEqual([...served.keys()], [], `offset ${offset}`)
    }
})

test("a key that is added is served everywhere in seconds, and never refused later", async t => {
  const fleet = await startFleet()
  fleet.configure({...BEFORE, workspaces: [...BEFORE.workspaces, workspaceOf("green", ["new"])]})
  const refusedUntil = new Map<string, Milliseconds>()
  for (let passed = 0; passed < 8000; passed += SAMPLE_MS) {
    for (const name of fleet.names())
      if (check(fleet, name, "new") !== "green") refusedUntil.set(name, passed)
    await fleet.clock.advance(SAMPLE_MS)
  }
  for (const [name, until] of refusedUntil) t.true(until < APPLY_LIMIT_MS, `${name} ${until}`)
})

test("a job is seen and cancelled by its workspace alone, at any instance, under any leader and after its end", async t => {
  const fleet = await startFleet()
  const job = jobOf(1, [{}], {queue: KEYED, workspace: "red"})
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  const [one = "", other = ""] = followersOf(fleet)
  const ask = async (name: string, workspace: string | undefined): Promise<string> => {
    const answer = await fleet.runUntilSettled(fleet.instance(name).intake.state(job.id, {workspace}))
    return answer.type === "state" ? answer.state : answer.type
  }
  const answers = async (): Promise<readonly string[]> => {
    const collected: string[] = []
    for (const name of [fleet.leader() ?? "", one, other])
      for (const workspace of ["red", "blue", undefined]) collected.push(await ask(name, workspace))
    return collected
  }
  const running = await answers()
  t.deepEqual(running.slice(1, 3), ["foreign", "foreign"])
  const cancelAs = (name: string, workspace: string): Promise<string> =>
    fleet.runUntilSettled(fleet.instance(name).intake.cancel(job.id, {workspace}))
  t.is(await cancelAs(one, "blue"), "foreign")
  fleet.partition(one, fleet.leader() ?? "")
  await fleet.clock.advance(1200)
  t.is(await ask(one, "blue"), "foreign", "by the store")
  t.is(await cancelAs(one, "blue"), "foreign", "by the store")
  fleet.healPartitions()
  await fleet.clock.advance(2000)
  const ended = ["completed", "foreign", "foreign"]
  t.deepEqual(await answers(), [...ended, ...ended, ...ended])
  fleet.kill(fleet.leader() ?? "")
  await fleet.clock.advance(4000)
  t.deepEqual(await answers(), [...ended, ...ended, ...ended])
  t.is(await cancelAs(other, "blue"), "foreign")
  t.is(await cancelAs(other, "red"), "cancelled")
})

test("a job that is submitted again at another instance stays one job; another workspace is told that it has none", async t => {
  const fleet = await startFleet()
  const job = jobOf(1, [{}], {queue: KEYED, workspace: "red"})
  const [one = "", other = ""] = followersOf(fleet)
  t.is((await fleet.submit(one, job)).type, "stored")
  t.is((await fleet.submit(other, job)).type, "stored")
  t.is((await fleet.submit(other, {...job, workspace: "blue"})).type, "foreign")
  fleet.partition(one, fleet.leader() ?? "")
  await fleet.clock.advance(1200)
  t.is((await fleet.submit(one, {...job, workspace: "blue"})).type, "foreign")
  t.is((await fleet.submit(one, job)).type, "stored")
  fleet.healPartitions()
  await fleet.clock.advance(3000)
  t.deepEqual([...fleet.workers.startCounts()], [[`${job.id}.0.0.0`, 1]])
})

test("a job whose record names no workspace is seen by every caller", async t => {
  const fleet = await startFleet()
  const job = jobOf(1, [{}], {queue: KEYED})
  t.is((await fleet.submit("entry-1", job)).type, "stored")
  await fleet.clock.advance(2000)
  t.is(await fleet.stateAt("entry-2", job), "completed")
})
