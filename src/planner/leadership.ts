/**
 * Which instance leads. One key in the store names the leader; its revision is the term, which workers and the store
 * use to refuse a deposed leader. So leading needs no lease: a follower that finds the leader dead, or cut off from
 * the store, replaces the key at once, and a leader that was wrongly thought dead does no harm.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {shuffled} from "../core/random.js"
import type {Logger} from "../core/logger.js"
import type {FleetClients, Member, PingAnswer} from "../peer/fleet.js"
import type {KeyValueStore, StoredItem} from "../pipelines/ports.js"
import {createMembers} from "./members.js"
import {formatLeader, LEADER_KEY, parseLeader} from "./records.js"
import {NO_ROUND_TRIPS, observeAnswer, observeSilence, pingTimeout, secondPingTimeout} from "./roundtrips.js"

export interface LeaderView {
  readonly term: number
  readonly member: Member
}

export interface LeadershipPorts {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly store: KeyValueStore
  readonly clients: FleetClients
  readonly self: Member
  /** Differs for each life of the process. */
  readonly life: string
  /** Addresses at which other instances may be found. */
  readonly seeds: readonly string[]
  readonly onLead: (term: number) => void
  /** A ping was answered by the leader. */
  readonly onLeaderAnswer: (answer: PingAnswer) => void
  /** The store does not answer this instance as it should. */
  readonly isStoreFailing: () => boolean
}

export interface Leadership {
  readonly leader: () => LeaderView | undefined
  readonly leads: () => boolean
  /** Time since the leader last answered; 0 at the leader. */
  readonly leaderAge: () => Milliseconds
  readonly members: () => readonly Member[]
  readonly noteMember: (member: Member) => void
  /** At the leader: a follower has pinged it lately. */
  readonly isFollowed: () => boolean
  /** At the leader: every instance that followed the former leader follows this one, the former leader aside. */
  readonly allFollow: () => boolean
  /** The planner was refused by a worker or by the store, because another one leads. */
  readonly superseded: () => void
  /** Asks a follower to take the lead, before a planned stop. */
  readonly handOver: () => Promise<void>
  /** Takes the lead from the given term, on its leader's request. */
  readonly takeOver: (term: number) => boolean
  readonly start: () => void
  readonly stop: () => void
}

const PING_INTERVAL_MS: Milliseconds = 200
/** With more instances than this each pings less often, so that the leader answers as many pings as before. */
const MEMBERS_AT_FULL_RATE = 11
/** The longest interval; a large fleet finds a dead leader as soon, since its pings are spread over time. */
const MOST_PING_INTERVAL_MS: Milliseconds = 600
/** A request to take the lead. */
const OFFER_TIMEOUT_MS: Milliseconds = 350
/** A new leader reads its work and connects to all workers first, at a cold start with slow code. */
const NEW_LEADER_TIMEOUT_MS: Milliseconds = 1500
const NEW_LEADER_MS: Milliseconds = 2000
/** Other followers answer at once, since they have little to do. */
const PEER_TIMEOUT_MS: Milliseconds = 250
/** A leader that the store has not answered for this span is replaced by a follower that reaches the store. */
const CUT_OFF_MS: Milliseconds = 200
/** Instances that are asked at once whether they have heard the leader. */
const ASKED_PEERS = 8
/** Another follower that heard the leader within this span speaks for it. */
const HEARD_MS: Milliseconds = 300
/** An instance that reaches no other one leaves the lead alone for this long. */
const ISOLATED_MS: Milliseconds = 5000
/** Instances that find the leader dead try in random order within this span. */
const STAGGER_MS: Milliseconds = 60
const RETRY_MS: Milliseconds = 150
/** Planning for 245 workers at the crest takes more than this many processors; a weaker instance leads only for want of others. */
const WEAK_PROCESSORS = 0.5
/** How much later than others a weak instance claims the lead. */
const WEAK_WAIT_MS: Milliseconds = 300
/** A weak leader offers the lead to a stronger follower no more often than this. */
const OFFER_INTERVAL_MS: Milliseconds = 2000
/** Stronger followers that are asked in one go. */
const OFFERS = 3

function isWeak(member: Member): boolean {
  return member.processors < WEAK_PROCESSORS
}

export function createLeadership(ports: LeadershipPorts): Leadership {
  const {clock, random, log, store, clients, self, life} = ports
  let known: LeaderView | undefined
  let leading = false
  let heardAt = -Infinity
  /** When this instance heard of a leader that had just won the lead. */
  let adoptedAt = -Infinity
  let roundTrips = NO_ROUND_TRIPS
  let stopped = false
  let draining = false
  /** When this instance began to lead or last offered the lead. */
  let offeredAt = 0
  let isolatedSince: Milliseconds | undefined
  const members = createMembers(clock, self, ports.seeds)

  function adopt(term: number, member: Member, isNew: boolean): void {
    if ((known && term <= known.term) || member.name === self.name) return
    known = {term, member}
    leading = false
    heardAt = clock.now()
    if (isNew) adoptedAt = clock.now()
    log.info({event: "leader", term, leader: member.name}, "an instance leads")
  }

  function adoptItem(item: StoredItem): void {
    const record = parseLeader(item.value)
    if (!record) {
      log.error({event: "leader-unreadable", revision: item.revision}, "the leader's key cannot be read")
      return
    }
    // The reply to an earlier claim was lost.
    if (record.life === life) lead(item.revision)
    // A key of an earlier life of this process names nobody.
    else if (record.name === self.name) known = undefined
    else if (!leading) adopt(item.revision, record, clock.wallClock() - record.claimedAt < NEW_LEADER_MS)
  }

  /** Replaces the key that has the given revision. */
  async function claim(revision: number): Promise<void> {
    const result = await store.commit({
      conditions: [{key: LEADER_KEY, revision}],
      writes: [{key: LEADER_KEY, value: formatLeader({...self, life, claimedAt: clock.wallClock()})}],
      removals: [],
    })
    if (stopped) return
    if (result.isErr()) {
      log.warn({event: "claim-failed", reason: result.error.message}, "the lead could not be claimed")
      return
    }
    if (result.value.type === "committed") {
      lead(result.value.revision)
      return
    }
    const [item] = result.value.items
    if (!item) return
    adoptItem(item)
  }

  /** Waits for a random while, and longer in a weak instance where a stronger one may be there. */
  async function stagger(): Promise<void> {
    const others = members.announced().filter(({name}) => name !== self.name && name !== known?.member.name)
    const yields = isWeak(self) && (others.length === 0 || !others.every(isWeak))
    await sleep(clock, random.next() * STAGGER_MS + (yields ? WEAK_WAIT_MS : 0))
  }

  function lead(term: number): void {
    if (leading && known?.term === term) return
    members.begin(known?.member.name)
    known = {term, member: self}
    leading = true
    heardAt = clock.now()
    isolatedSince = undefined
    log.info({event: "leading", term, instance: self.name}, "this instance leads")
    offeredAt = clock.now()
    ports.onLead(term)
  }

  /** Asks followers, the strongest first, to take the lead. */
  async function offerLead(candidates: readonly Member[], reason: string): Promise<void> {
    const term = known?.term ?? 0
    const strongest = [...candidates].sort((one, other) => other.processors - one.processors)
    for (const member of strongest) {
      const accepted = await clients.reach(member.address).takeOver(term, OFFER_TIMEOUT_MS)
      if (accepted.isOk() && accepted.value) {
        log.info({event: "hand-over", term, to: member.name, reason}, "the lead is handed over")
        return
      }
    }
  }

  async function yieldIfWeak(): Promise<void> {
    if (!isWeak(self) || clock.now() - offeredAt < OFFER_INTERVAL_MS) return
    offeredAt = clock.now()
    const stronger = currentMembers().filter(member => !isWeak(member))
    await offerLead(stronger.slice(0, OFFERS), "a stronger instance follows")
  }

  /** Pings the other instances and adopts a later leader that one of them names. */
  async function askPeers(): Promise<readonly PingAnswer[]> {
    const others = shuffled(
      random,
      members.addresses().filter(address => address !== known?.member.address),
    ).slice(0, ASKED_PEERS)
    const answers = await Promise.all(
      others.map(address => clients.reach(address).ping(self, PEER_TIMEOUT_MS)),
    )
    const reached = answers.filter(answer => answer.isOk()).map(answer => answer.value)
    for (const answer of reached) if (answer.leader) adopt(answer.term, answer.leader, known !== undefined)
    return reached
  }

  /** True when no other instance speaks for the leader, so that this one may claim. */
  async function mayClaim(term: number): Promise<boolean> {
    if (members.addresses().every(address => address === known?.member.address)) return true
    const reached = await askPeers()
    if (reached.some(answer => answer.term === term && answer.leaderAgeMs < HEARD_MS && !answer.leads))
      return false
    if (reached.length > 0) {
      isolatedSince = undefined
      return (known?.term ?? 0) === term
    }
    isolatedSince ??= clock.now()
    return clock.now() - isolatedSince > ISOLATED_MS
  }

  /** Reads the key and claims it where its leader is dead or absent. */
  async function resolveLeader(dead: boolean): Promise<void> {
    const read = await store.read(LEADER_KEY)
    if (stopped || leading || draining) return
    if (read.isErr()) {
      await askPeers()
      return
    }
    const item = read.value
    if (!item) {
      await stagger()
      await claim(0)
      return
    }
    const term = known?.term ?? 0
    if (item.revision > term) adoptItem(item)
    if (known && item.revision > term) return
    if (known && !dead) return
    if (known && !(await mayClaim(item.revision))) return
    await stagger()
    if (known === undefined || known.term === item.revision) await claim(item.revision)
  }

  async function pingLeader(view: LeaderView): Promise<void> {
    const peer = clients.reach(view.member.address)
    const sentAt = clock.now()
    const patience = pingTimeout(roundTrips)
    const isNew = sentAt - adoptedAt < NEW_LEADER_MS
    let answer = await peer.ping(self, isNew ? Math.max(NEW_LEADER_TIMEOUT_MS, patience) : patience)
    if (answer.isErr() && answer.error.certainty === "unknown")
      answer = await peer.ping(self, secondPingTimeout(roundTrips))
    if (stopped || known !== view) return
    if (answer.isErr()) {
      log.info(
        {event: "leader-silent", term: view.term, reason: answer.error.message},
        "the leader does not answer",
      )
      const isSilent = answer.error.certainty === "unknown"
      await resolveLeader(true)
      if (isSilent && (known as LeaderView | undefined)?.term !== view.term)
        roundTrips = observeSilence(roundTrips)
      return
    }
    const reply = answer.value
    if (!reply.leads) {
      if (reply.leader && reply.term > view.term) adopt(reply.term, reply.leader, true)
      else await resolveLeader(true)
      return
    }
    heardAt = clock.now()
    roundTrips = observeAnswer(roundTrips, heardAt - sentAt)
    members.announce(reply.members)
    ports.onLeaderAnswer(reply)
    if (reply.term === view.term && reply.storeFailingMs > CUT_OFF_MS && !ports.isStoreFailing())
      await replaceCutOff(view.term)
  }

  /** The leader has no answer of the store: this instance takes over if it has one. */
  async function replaceCutOff(term: number): Promise<void> {
    const read = await store.read(LEADER_KEY)
    if (read.isErr() || stopped || draining || read.value?.revision !== term) return
    log.warn({event: "leader-cut-off", term}, "the leader does not reach the store")
    await stagger()
    await claim(term)
  }

  async function loop(): Promise<void> {
    while (!stopped) {
      if (!leading) {
        if (known) await pingLeader(known)
        else await resolveLeader(true)
      } else await yieldIfWeak()
      await sleep(clock, known ? pingInterval() : RETRY_MS)
    }
  }

  function pingInterval(): Milliseconds {
    if (leading) return PING_INTERVAL_MS
    const scale = Math.max(1, members.announced().length / MEMBERS_AT_FULL_RATE)
    return Math.min(MOST_PING_INTERVAL_MS, PING_INTERVAL_MS * scale)
  }

  function currentMembers(): readonly Member[] {
    return members.current(leading)
  }

  return {
    leader: () => known,
    leads: () => leading,
    leaderAge: () => (leading ? 0 : clock.now() - heardAt),
    members: currentMembers,
    noteMember: members.note,
    superseded() {
      leading = false
      known = undefined
    },
    isFollowed: () => currentMembers().length > 1,
    allFollow: members.allFollow,
    async handOver() {
      draining = true
      if (!leading || !known) return
      await offerLead(
        currentMembers().filter(({name}) => name !== self.name),
        "this instance stops",
      )
    },
    takeOver(term) {
      if (draining || stopped || leading || known?.term !== term) return false
      void claim(term)
      return true
    },
    start: () => void loop(),
    stop() {
      stopped = true
    },
  }
}
