/** When a new leader may start inherited tasks although workers are out of its reach. */
import test from "ava"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import {supportersOf, WORKER_SUPPORT} from "../../src/pipelines/support.js"
import {createBarrier} from "../../src/planner/barrier.js"
import type {EarlierLeader} from "../../src/planner/records.js"
import {createWorker} from "../../src/planner/state.js"
import {listingOf} from "../support/fleet.js"

const LEASE_MS = 3000

/** How long the barrier of a term stays closed, in steps of 100 ms; Infinity if it is for more than 30 s. */
async function closedFor(options: {
  readonly leaders: readonly EarlierLeader[] | undefined
  /** When each instance joins, after the beginning of the term. */
  readonly joins?: Readonly<Record<string, number>>
  /** When each worker first answers this leader, after the beginning of the term. */
  readonly answers?: Readonly<Record<string, number>>
  readonly knewLaterTermFor?: (term: number) => number
  /** How long the store confirms this leader, after the beginning of the term. */
  readonly confirmedFor?: number
}): Promise<number> {
  const clock = virtualClock(100_000)
  const startedAt = clock.now()
  const barrier = createBarrier({
    clock,
    log: SILENT_LOGGER,
    leaseDuration: LEASE_MS,
    confirmation: {
      confirmedAt: () => Math.min(clock.now(), startedAt + (options.confirmedFor ?? Infinity)),
      record: () => undefined,
      request: () => undefined,
    },
    hasJoined: name => clock.now() - startedAt >= (options.joins?.[name] ?? Infinity),
    hasAnswered: worker => clock.now() - startedAt >= (options.answers?.[worker] ?? Infinity),
    knewLaterTermAt: term => startedAt - (options.knewLaterTermFor?.(term) ?? 0),
    onChange: () => undefined,
  })
  barrier.add(createWorker(listingOf("worker-1"), true, 0))
  barrier.setEarlierLeaders(options.leaders)
  for (let time = 0; time <= 30_000; time += 100) {
    barrier.check()
    if (!barrier.blocks("crease")) return time
    await clock.advance(100)
  }
  return Infinity
}

const FOLLOWERS = ["entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8"]
const following = (names: readonly string[], missable: number) => ({names, missable})

// Accepted jobs stood still for 18 s after two changes of the leader, since the followers of the leader before the last
// were not known any more.
test("a leader before the last one has stopped when its followers follow this leader or have led since", async t => {
  const joins = Object.fromEntries(FOLLOWERS.slice(0, 5).map(name => [name, 500]))
  const leaders = [
    {name: "entry-1", term: 10, following: following(["entry-2", ...FOLLOWERS.slice(0, 5)], 1)},
    {name: "entry-2", term: 20, following: following(FOLLOWERS, 1)},
  ]
  const closed = await closedFor({leaders, joins})
  t.true(closed > 500 + 1500 + LEASE_MS, "the time without followers and one lease pass")
  t.true(closed < 500 + 1500 + LEASE_MS * 1.1 + 500)
})

test("each leader counts by its own followers", async t => {
  const joins = Object.fromEntries(FOLLOWERS.map(name => [name, 500]))
  const others = following(["entry-9", "entry-10", "entry-11"], 0)
  const leaders = [
    {name: "entry-1", term: 10, following: others},
    {name: "entry-2", term: 20, following: following(FOLLOWERS, 1)},
  ]
  t.true((await closedFor({leaders, joins})) > 15_000 + LEASE_MS)
})

test("the limit of a leader counts from when it was replaced, as far as this instance knows", async t => {
  const leaders = [{name: "entry-1", term: 10, following: following(FOLLOWERS, 1)}]
  t.true((await closedFor({leaders})) > 15_000 + LEASE_MS)
  const known = await closedFor({leaders, knewLaterTermFor: term => (term === 10 ? 12_000 : 0)})
  t.true(known > 3000 + LEASE_MS && known < 4000 + LEASE_MS * 1.1)
  const ofEarlierVersion = [{name: "entry-1"}]
  t.true((await closedFor({leaders: ofEarlierVersion, knewLaterTermFor: () => 12_000})) > 15_000 + LEASE_MS)
  t.true((await closedFor({leaders: undefined, knewLaterTermFor: () => 12_000})) > 15_000 + LEASE_MS)
})

test("the barrier stays closed for a leader that the store does not confirm after the leases have expired", async t => {
  const leaders = [{name: "entry-1", term: 10, following: following([], 0)}]
  const expired = 1500 + LEASE_MS * 1.1
  t.true((await closedFor({leaders})) < expired + 500)
  t.is(await closedFor({leaders, confirmedFor: expired - 100}), Infinity)
})

const WORKERS = ["worker-1", "worker-2", "worker-3", "worker-4", "worker-5", "worker-6"]
const answering = (names: readonly string[]) => supportersOf(names, WORKER_SUPPORT)

// Review case 13: nothing but the longest limit told that a leader had stopped which was lost with many of its followers.
test("a leader whose followers are lost with it has stopped when half of its workers answer this leader", async t => {
  const leaders = [
    {name: "entry-1", term: 10, following: following(FOLLOWERS, 1), answering: answering(WORKERS)},
  ]
  const answers = Object.fromEntries(WORKERS.slice(0, 3).map(name => [name, 500]))
  const closed = await closedFor({leaders, answers})
  t.true(closed > 500 + WORKER_SUPPORT.within + LEASE_MS, "the time without workers and one lease pass")
  t.true(closed < 500 + WORKER_SUPPORT.within + LEASE_MS * 1.1 + 500)
  const tooFew = Object.fromEntries(WORKERS.slice(0, 2).map(name => [name, 500]))
  t.true((await closedFor({leaders, answers: tooFew})) > 15_000 + LEASE_MS)
})

test("the workers of a leader of an earlier version show nothing", async t => {
  const leaders = [{name: "entry-1", term: 10, following: following(FOLLOWERS, 1)}]
  const answers = Object.fromEntries(WORKERS.map(name => [name, 500]))
  t.true((await closedFor({leaders, answers})) > 15_000 + LEASE_MS)
})

test("each leader counts by its own workers", async t => {
  const answers = Object.fromEntries(WORKERS.map(name => [name, 500]))
  const others = answering(["worker-7", "worker-8", "worker-9"])
  const leaders = [
    {name: "entry-1", term: 10, following: following(FOLLOWERS, 1), answering: others},
    {name: "entry-2", term: 20, following: following(FOLLOWERS, 1), answering: answering(WORKERS)},
  ]
  t.true((await closedFor({leaders, answers})) > 15_000 + LEASE_MS)
})
