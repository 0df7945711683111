/** Which instances count as followers of a leader that the store does not answer. */
import test from "ava"
import {virtualClock} from "../../src/core/virtualclock.js"
import {countMissable, INSTANCE_SUPPORT, WORKER_SUPPORT} from "../../src/pipelines/support.js"
import {createFollowers} from "../../src/planner/followers.js"

const WITHIN_MS = 1500

async function followedLeader() {
  const clock = virtualClock(1000)
  const followers = createFollowers(clock)
  followers.record("entry-2", 0)
  await clock.advance(200)
  followers.beginRecording(followers.namesToRecord() ?? [])
  followers.confirmRecording()
  followers.record("entry-2", 1000)
  return {clock, followers}
}

test("a follower that has had no answer yet does not count, even for a leader that has just started", t => {
  const clock = virtualClock(100)
  const followers = createFollowers(clock)
  followers.record("entry-2", 0)
  followers.beginRecording(["entry-2"])
  followers.confirmRecording()
  t.false(followers.isFollowed(WITHIN_MS))
})

test("a ping counts from the answer that its sender had, however late it is read", async t => {
  const {clock, followers} = await followedLeader()
  t.true(followers.isFollowed(WITHIN_MS))
  await clock.advance(10_000)
  followers.record("entry-2", 1000)
  t.false(followers.isFollowed(WITHIN_MS))
  followers.record("entry-2", clock.now() - 100)
  t.true(followers.isFollowed(WITHIN_MS))
})

test("a follower counts only while the stored record and each later one name it", async t => {
  const {clock, followers} = await followedLeader()
  followers.record("entry-3", clock.now())
  followers.beginRecording(["entry-3"])
  t.false(followers.isFollowed(WITHIN_MS))
  followers.confirmRecording()
  t.true(followers.isFollowed(WITHIN_MS))
})

test("a follower that has restarted counts only once it is recorded again", async t => {
  const {clock, followers} = await followedLeader()
  followers.record("entry-2", 0)
  followers.record("entry-2", clock.now())
  t.false(followers.isFollowed(WITHIN_MS))
  followers.beginRecording(followers.namesToRecord() ?? [])
  followers.record("entry-2", 0)
  followers.confirmRecording()
  t.false(followers.isFollowed(WITHIN_MS), "it restarted while the record was being written")
  followers.beginRecording(followers.namesToRecord() ?? [])
  followers.confirmRecording()
  t.true(followers.isFollowed(WITHIN_MS))
})

test("a leader is followed only by more followers than its successor can do without", async t => {
  const clock = virtualClock(1000)
  const followers = createFollowers(clock)
  const names = Array.from({length: 8}, (_, index) => `entry-${index + 2}`)
  followers.beginRecording(names)
  followers.confirmRecording()
  const follow = (count: number): void =>
    names.slice(0, count).forEach(name => followers.record(name, clock.now()))
  follow(countMissable(names.length, INSTANCE_SUPPORT))
  t.false(followers.isFollowed(WITHIN_MS))
  follow(countMissable(names.length, INSTANCE_SUPPORT) + 1)
  t.true(followers.isFollowed(WITHIN_MS))
  followers.beginRecording(names.slice(0, 3))
  t.true(followers.isFollowed(WITHIN_MS))
  await clock.advance(WITHIN_MS)
  follow(1)
  t.false(followers.isFollowed(WITHIN_MS), "the store may still hold the record with all names")
  followers.confirmRecording()
  t.true(followers.isFollowed(WITHIN_MS))
})

test("the record names a sample of the workers, which changes only with them", async t => {
  const clock = virtualClock(1000)
  const workers = createFollowers(clock, WORKER_SUPPORT)
  const names = Array.from({length: 300}, (_, index) => `worker-${index}`)
  const hear = (heard: readonly string[]): void => heard.forEach(name => workers.record(name, clock.now()))
  hear(names)
  const sample = workers.current()
  t.is(sample.length, WORKER_SUPPORT.most)
  workers.beginRecording(sample)
  workers.confirmRecording()
  hear([...names].reverse())
  t.is(workers.namesToRecord(), undefined)
  const [lost] = sample
  await clock.advance(2999)
  hear(names.filter(name => name !== lost))
  t.is(workers.namesToRecord(), undefined)
  await clock.advance(1)
  const next = workers.namesToRecord() ?? []
  t.deepEqual([next.length, next.filter(name => !sample.includes(name)).length], [WORKER_SUPPORT.most, 1])
})

test("time counts while the machine is suspended, although its monotonic clock stands still", t => {
  let suspendedFor = 0
  const clock = {...virtualClock(1000), wallClock: () => 5000 + suspendedFor}
  const followers = createFollowers(clock)
  followers.beginRecording(["entry-2"])
  followers.confirmRecording()
  followers.record("entry-2", 1000)
  t.true(followers.isFollowed(WITHIN_MS))
  suspendedFor = WITHIN_MS
  t.false(followers.isFollowed(WITHIN_MS))
})
