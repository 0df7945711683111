/** Leadership of one instance, with answers of its peers at chosen moments. */
import test from "ava"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {sleep} from "../../src/core/clock.js"
import {CallFailed} from "../../src/core/errors.js"
import {seededRandom} from "../../src/core/random.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {FleetPeer, Member, PingAnswer} from "../../src/peer/fleet.js"
import {createLeadership} from "../../src/planner/leadership.js"
import {formatLeader, LEADER_KEY} from "../../src/planner/records.js"
import {fakeStore} from "../support/fakestore.js"

function memberOf(name: string): Member {
  return {name, address: `${name}:7000`, processors: 1}
}

const NO_ANSWER = err(new CallFailed("entry-2:7000", "no answer", "unknown"))

test("a leader that learns of a later one from a peer's answer closes its planner", async t => {
  const clock = virtualClock(1000)
  const store = fakeStore(clock)
  store.put(LEADER_KEY, formatLeader({...memberOf("entry-2"), claimedAt: 0, life: "life-2"}))
  const events: string[] = []
  let answerPeer: (answer: Result<PingAnswer, CallFailed>) => void = () => undefined
  const leadership = createLeadership({
    clock,
    random: seededRandom(1),
    log: {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined},
    store: store.portFor("entry-1"),
    clients: {
      reach: address => {
        const ping = (): Promise<Result<PingAnswer, CallFailed>> =>
          address === "entry-2:7000"
            ? Promise.resolve(NO_ANSWER)
            : new Promise(resolve => {
                answerPeer = resolve
              })
        return {ping} as unknown as FleetPeer
      },
      close: () => undefined,
    },
    self: memberOf("entry-1"),
    incarnation: "life-1",
    seeds: ["entry-2:7000", "entry-3:7000"],
    onBecomeLeader: () => void events.push("leads"),
    onDeposed: () => void events.push("deposed"),
    onLeaderAnswer: () => undefined,
    isStoreFailing: () => false,
    duty: () => ({plannedFor: 0, openSteps: 0, unreportedWorkers: 0}),
  })
  leadership.start()
  await clock.advance(500)
  const term = store.get(LEADER_KEY)?.revision ?? 0
  t.true(leadership.takeOver(term))
  await clock.advance(100)
  t.deepEqual(events, ["leads"])
  answerPeer(
    ok({
      leads: true,
      term: term + 100,
      leader: memberOf("entry-3"),
      leaderAgeMs: 0,
      storeFailingMs: 0,
      configurationVersion: 0,
      configurationAgeMs: 0,
      members: [],
      membersDigest: 0,
      fittest: [],
      queues: undefined,
      loadingMs: 0,
      clockMs: 1,
    }),
  )
  await clock.advance(10)
  t.false(leadership.isLeader())
  t.deepEqual(events, ["leads", "deposed"])
})

test("an instance that has just started does not claim the lead of a leader that announces itself meanwhile", async t => {
  for (const announcedAt of [0, 20, 60, 110]) {
    const clock = virtualClock(1000)
    const store = fakeStore(clock)
    store.put(LEADER_KEY, formatLeader({...memberOf("entry-2"), claimedAt: 0, life: "life-2"}))
    const term = store.get(LEADER_KEY)?.revision ?? 0
    const port = store.portFor("entry-1")
    let answeredPings = 0
    const leadership = createLeadership({
      clock,
      random: seededRandom(1),
      log: {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined},
      store: {...port, read: key => sleep(clock, 100).then(() => port.read(key))},
      clients: {
        reach: () => {
          const ping = async (): Promise<Result<PingAnswer, CallFailed>> => {
            await sleep(clock, 2)
            answeredPings += 1
            return ok({
              leads: true,
              term,
              leader: memberOf("entry-2"),
              leaderAgeMs: 0,
              storeFailingMs: 0,
              configurationVersion: 0,
              configurationAgeMs: 0,
              members: [memberOf("entry-2")],
              membersDigest: 1,
              fittest: [],
              queues: undefined,
              loadingMs: 0,
              clockMs: 1,
            })
          }
          return {ping} as unknown as FleetPeer
        },
        close: () => undefined,
      },
      self: memberOf("entry-1"),
      incarnation: "life-1",
      seeds: ["entry-2:7000"],
      onBecomeLeader: () => t.fail(`it leads; announced after ${announcedAt} ms`),
      onDeposed: () => undefined,
      onLeaderAnswer: () => undefined,
      isStoreFailing: () => false,
      duty: () => ({plannedFor: 0, openSteps: 0, unreportedWorkers: 0}),
    })
    leadership.start()
    await clock.advance(announcedAt)
    leadership.recordAnnouncement(term, memberOf("entry-2"))
    await clock.advance(1500)
    leadership.stop()
    t.is(leadership.leader()?.member.name, "entry-2")
    t.true(answeredPings > 0)
    t.is(store.get(LEADER_KEY)?.revision, term)
  }
})
