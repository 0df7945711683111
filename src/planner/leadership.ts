/**
 * Leader election. One key in the store names the leader. The revision of that key is the term, by which workers and
 * the store refuse requests of an earlier leader. Because of this fencing the leader needs no lease: a follower that
 * finds the leader dead, or unable to reach the store, overwrites the key at once, and a leader that was replaced by
 * mistake can do no harm. Each takeover costs time, though, since the successor has to load the same work, and the more
 * the less fit it is; `claimorder.ts` lets fitter instances claim first. A busy leader may answer pings late, so it also
 * announces itself to a few followers, the witnesses, and is not replaced while one of them has heard it.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep, withTimeout} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {shuffled} from "../core/random.js"
import type {Logger} from "../core/logger.js"
import type {FleetClients, Member, Ping, PingAnswer} from "../peer/fleet.js"
import type {KeyValueStore, StoredItem} from "../pipelines/ports.js"
import type {LeaderDuty} from "../pipelines/succession.js"
import {findSuccessors, isWarmAfter, leadingPower, rankByFitness} from "../pipelines/succession.js"
import type {PeerAnswer} from "./claimorder.js"
import {createClaimOrder, MAX_CLAIM_DELAY_MS} from "./claimorder.js"
import {createMembers} from "./members.js"
import {describeFormerTerm, NO_FORMER_TERM} from "./earlierleaders.js"
import {mayBeAlive} from "./heartbeat.js"
import type {FormerTerm} from "./records.js"
import {formatLeader, LEADER_KEY, parseLeader, TERM_KEY} from "./records.js"
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
  /** Identifies this process; differs after each restart. */
  readonly incarnation: string
  /** Addresses at which to look for other instances before any member is known. */
  readonly seeds: readonly string[]
  /** `confirmedAt` is when the call was sent whose answer names this instance as the leader. */
  readonly onBecomeLeader: (term: number, confirmedAt: Milliseconds) => void
  /** Called when this instance led and now follows a later leader. */
  readonly onDeposed: () => void
  /** Called with each answer of the leader to a ping, and the time at which the ping was sent. */
  readonly onLeaderAnswer: (answer: PingAnswer, sentAt: Milliseconds) => void
  /** True while calls of this instance to the store fail or are late. */
  readonly isStoreFailing: () => boolean
  /** How busy this instance is as the leader. */
  readonly duty: () => LeaderDuty
}

/** What the other instances say of a silent leader. */
interface PeerVerdict {
  readonly verdict: "heard" | "silent" | "isolated"
  readonly peers: readonly PeerAnswer[]
}

export interface Leadership {
  readonly leader: () => LeaderView | undefined
  readonly isLeader: () => boolean
  /** When this instance first knew of a term later than the given one, as far as it remembers. */
  readonly knewLaterTermAt: (term: number) => Milliseconds | undefined
  /** Time since the leader last answered a ping; 0 on the leader itself. */
  readonly timeSinceLeaderAnswer: () => Milliseconds
  /** Time since the leader last answered a ping or announced itself; 0 on the leader itself. */
  readonly timeSinceLeaderHeard: () => Milliseconds
  /** Records that the sender says that it leads in the given term. */
  readonly recordAnnouncement: (term: number, sender: Member) => void
  readonly members: () => readonly Member[]
  /** On the leader: the other instances that are up, as far as it knows. */
  readonly others: () => readonly Member[]
  /** On the leader: the members with the digest by which followers tell whether they have this list. */
  readonly listForFollowers: () => {readonly members: readonly Member[]; readonly digest: number}
  /** The members most fit to lead, for an instance that has no list. */
  readonly fittest: () => readonly Member[]
  /** Records the sender of a ping that announces no lead. */
  readonly recordMember: (member: Member) => void
  /** Gives up leadership after a worker or the store refused this instance because of a later leader. */
  readonly stepDown: () => void
  /** Asks a follower to take over before a planned stop. */
  readonly handOver: () => Promise<void>
  /** Takes over from the leader of the given term, at its or a less fit follower's request. False if this instance cannot. */
  readonly takeOver: (term: number) => boolean
  readonly start: () => void
  readonly stop: () => void
}

/** Number of terms of which an instance remembers when it first knew of them. */
const REMEMBERED_TERMS = 64
const PING_INTERVAL_MS: Milliseconds = 200
/** With more members than this, each pings less often, so that the rate of pings at the leader stays the same. */
const MEMBERS_AT_FULL_RATE = 11
/** A large fleet still detects a dead leader as quickly, because the pings of its members are spread over time. */
const MAX_PING_INTERVAL_MS: Milliseconds = 600
const OFFER_TIMEOUT_MS: Milliseconds = 350
/** A new leader first loads its work and connects to all workers, in a cold process whose code is not yet optimised. */
const NEW_LEADER_TIMEOUT_MS: Milliseconds = 1500
/** How long after its claim a leader counts as new. */
const NEW_LEADER_PERIOD_MS: Milliseconds = 2000
/** Nothing waits for the answers, but the leader must not cancel an announcement that is still being sent. */
const ANNOUNCEMENT_TIMEOUT_MS: Milliseconds = 1000
/** Instances to which a new leader announces itself at a time, so that it has time for its own work in between. */
const ANNOUNCED_AT_ONCE = 32
const ANNOUNCEMENT_PAUSE_MS: Milliseconds = 10
/** Shorter than for the leader, because followers have little to do. */
const PEER_TIMEOUT_MS: Milliseconds = 250
/** A leader that the store has not answered for this long is replaced by a follower that can reach the store. */
const STORE_CUT_OFF_MS: Milliseconds = 200
/**
 * A leader that has come no further in reading its work for this long is replaced. Longer than a page of a list with all
 * of its tries, so that a store that fails everybody does not lead to takeovers one after another.
 */
const MAX_LOADING_MS: Milliseconds = 5000
/** Instances other than the witnesses pinged at a time to learn whether they still hear the leader. */
const MAX_ASKED_PEERS = 8
/** A follower that has heard the leader within this time vouches that the leader is alive. */
const RECENTLY_HEARD_MS: Milliseconds = 300
/**
 * Limit for the silence of a busy leader that counts as a round-trip time. The timeout then stays short enough to find
 * that the leader has died.
 */
const MAX_OBSERVED_SILENCE_MS: Milliseconds = 700
/** An instance that reaches no other instance does not claim leadership for this long. */
const ISOLATION_TIMEOUT_MS: Milliseconds = 5000
const CLAIM_RETRY_MS: Milliseconds = 150
/** Minimum time between a leader's offers to hand over to a fitter follower. */
const OFFER_INTERVAL_MS: Milliseconds = 2000
/** Fitter instances asked in one round of offers. */
const MAX_OFFERS = 3
/** The fittest members named to an instance that has no list; the silent leader may be one of them. */
const FITTEST_NAMED = 5

/** The least fit member is named as well, since it shows whether the instances differ. */
function nameFittest(members: readonly Member[]): readonly Member[] {
  const ranked = rankByFitness(members)
  return [...ranked.slice(0, FITTEST_NAMED), ...ranked.slice(FITTEST_NAMED).slice(-1)]
}

const NO_PEERS: PeerVerdict = {verdict: "silent", peers: []}

export function createLeadership(ports: LeadershipPorts): Leadership {
  const {clock, random, log, store, clients, self, incarnation} = ports
  let currentLeader: LeaderView | undefined
  let isLeading = false
  let leaderAnsweredAt = -Infinity
  /** The leader's clock in its latest answer; 0 before the first one. */
  let leaderClockMs = 0
  /** When the leader last answered a ping or announced itself. */
  let leaderHeardAt = -Infinity
  /** When this instance learned of a leader that had only just taken over. */
  let newLeaderSince = -Infinity
  let roundTrips = NO_ROUND_TRIPS
  let isStopped = false
  let isDraining = false
  /** When this instance last became leader. */
  let leadingSince = 0
  /** When this instance last offered to hand over in its term. */
  let lastOfferAt = -Infinity
  let isolatedSince: Milliseconds | undefined
  /** Since when this instance has been in touch with a leader, or has led. */
  let inTouchSince = Infinity
  const members = createMembers(clock, self, ports.seeds)

  function describeSelf(): Member {
    return {...self, isWarm: isWarmAfter(clock.now() - inTouchSince)}
  }

  const claimOrder = createClaimOrder({
    ...ports,
    describeSelf,
    announced: members.announced,
    leader: () => currentLeader,
    isStopped: () => isStopped,
  })
  const {standBack} = claimOrder

  /** The terms that this instance has known of, in order, with the times at which it first did. */
  let knownTerms: readonly {readonly term: number; readonly since: Milliseconds}[] = []

  function recordTerm(term: number): void {
    if (term <= (knownTerms.at(-1)?.term ?? 0)) return
    knownTerms = [...knownTerms, {term, since: clock.now()}].slice(-REMEMBERED_TERMS)
  }

  function followLeader(term: number, member: Member, isNew: boolean): void {
    if ((currentLeader && term <= currentLeader.term) || member.name === self.name) return
    recordTerm(term)
    currentLeader = {term, member}
    const hasLed = isLeading
    isLeading = false
    leaderClockMs = 0
    leaderAnsweredAt = clock.now()
    leaderHeardAt = -Infinity
    if (isNew) newLeaderSince = clock.now()
    log.info({event: "leader", term, leader: member.name}, "another instance is the leader")
    if (hasLed) ports.onDeposed()
  }

  /** `sentAt` is when the call was sent that the store answered with the item. */
  function applyLeaderItem(item: StoredItem, sentAt: Milliseconds): void {
    const record = parseLeader(item.value)
    if (!record) {
      log.error(
        {event: "leader-unreadable", revision: item.revision},
        "cannot parse the leader record in the store",
      )
      return
    }
    // An earlier claim of this process succeeded, but the reply was lost.
    if (record.life === incarnation) becomeLeader(item.revision, sentAt)
    // The key was written by an earlier incarnation of this instance, so no running process is the leader.
    else if (record.name === self.name) currentLeader = undefined
    else if (!isLeading)
      followLeader(item.revision, record, clock.wallClock() - record.claimedAt < NEW_LEADER_PERIOD_MS)
  }

  /** Writes this instance into the leader key, provided that the key still belongs to the former term. */
  async function claim(former: FormerTerm): Promise<void> {
    const sentAt = clock.now()
    const record = {...self, life: incarnation, claimedAt: clock.wallClock(), former}
    const result = await store.commit({
      conditions: [{key: LEADER_KEY, revision: former.term}],
      writes: [{key: LEADER_KEY, value: formatLeader(record)}],
      removals: [],
    })
    if (isStopped) return
    if (result.isErr()) {
      log.warn({event: "claim-failed", reason: result.error.message}, "cannot write the leader key")
      return
    }
    if (result.value.type === "committed") {
      becomeLeader(result.value.revision, sentAt)
      return
    }
    if (result.value.type === "rejected") {
      log.error(
        {event: "claim-failed", reason: result.value.reason},
        "the store does not take the leader key",
      )
      return
    }
    const [item] = result.value.items
    if (!item) return
    applyLeaderItem(item, sentAt)
  }

  function becomeLeader(term: number, confirmedAt: Milliseconds): void {
    if (isLeading && currentLeader?.term === term) return
    // The reply to a claim came after another instance had taken over.
    if (currentLeader && currentLeader.term > term) return
    recordTerm(term)
    members.startTerm()
    currentLeader = {term, member: self}
    isLeading = true
    leaderAnsweredAt = clock.now()
    isolatedSince = undefined
    inTouchSince = Math.min(inTouchSince, clock.now())
    log.info({event: "leading", term, instance: self.name}, "this instance is the leader")
    leadingSince = clock.now()
    lastOfferAt = -Infinity
    void announceToAll()
    ports.onBecomeLeader(term, confirmedAt)
  }

  /** Asks followers in this order to take over, until one accepts. */
  async function offerLead(candidates: readonly Member[], reason: string): Promise<void> {
    const term = currentLeader?.term ?? 0
    for (const member of candidates) {
      const accepted = await clients.reach(member.address).takeOver(term, OFFER_TIMEOUT_MS)
      if (accepted.isOk() && accepted.value) {
        const {name: to, isWarm} = member
        const powers = {power: leadingPower(self), toPower: leadingPower(member), isWarm}
        log.info({event: "hand-over", term, to, ...powers, ...ports.duty(), reason}, "leadership handed over")
        return
      }
    }
  }

  /** Offers the lead to fitter followers, if this instance may hand over now. */
  async function offerLeadIfUnfit(): Promise<void> {
    if (clock.now() - lastOfferAt < OFFER_INTERVAL_MS) return
    const followers = currentMembers().filter(({name}) => name !== self.name)
    const successors = findSuccessors(describeSelf(), followers, ports.duty())
    if (successors.length === 0) return
    lastOfferAt = clock.now()
    await offerLead(successors.slice(0, MAX_OFFERS), "a fitter instance follows")
  }

  function describePing(): Ping {
    const followedTerm = isLeading ? 0 : (currentLeader?.term ?? 0)
    const membersDigest = members.announcedDigest()
    return {sender: describeSelf(), ledTerm: 0, followedTerm, leaderClockMs, membersDigest}
  }

  /** The addresses to ping while the leader is silent: the witnesses, those most fit to succeed it, and others. */
  function choosePeers(): readonly string[] {
    const leaderAddress = currentLeader?.member.address ?? ""
    const witnesses = members.witnesses(leaderAddress, false).filter(address => address !== self.address)
    const fittest = claimOrder.listFittest().filter(address => !witnesses.includes(address))
    const rest = members
      .addresses()
      .filter(
        address => address !== leaderAddress && !witnesses.includes(address) && !fittest.includes(address),
      )
    return [...witnesses, ...fittest, ...shuffled(random, rest).slice(0, MAX_ASKED_PEERS - fittest.length)]
  }

  /** Pings other instances, and follows a later leader if one of them names it. */
  async function pingPeers(): Promise<readonly PeerAnswer[]> {
    const peers = await Promise.all(
      choosePeers().map(async (address): Promise<PeerAnswer> => {
        const answer = await clients.reach(address).ping(describePing(), PEER_TIMEOUT_MS)
        return {address, answer: answer.unwrapOr(undefined)}
      }),
    )
    for (const {answer} of peers)
      if (answer?.leader) followLeader(answer.term, answer.leader, currentLeader !== undefined)
    return peers
  }

  /**
   * Asks other followers whether they have heard the leader of the given term since `silentSince`. A leader that refuses
   * connections has ended, and what was heard of it before counts for nothing. An instance that reaches no other one is
   * isolated, and may not claim for `ISOLATION_TIMEOUT_MS`.
   */
  async function askPeers(
    term: number,
    silentSince: Milliseconds,
    hasRefused: boolean,
  ): Promise<PeerVerdict> {
    if (members.addresses().every(address => address === currentLeader?.member.address)) return NO_PEERS
    // Ages count from before the calls, since the slowest of them delays all answers.
    const age = Math.max(hasRefused ? 0 : RECENTLY_HEARD_MS, clock.now() - silentSince)
    const peers = await pingPeers()
    const reached = peers.map(({answer}) => answer).filter(answer => answer !== undefined)
    if (reached.some(answer => answer.term === term && answer.leaderAgeMs < age && !answer.leads)) {
      log.info({event: "leader-busy", term}, "another instance has heard the leader, which is busy")
      return {verdict: "heard", peers}
    }
    if (reached.length > 0) {
      isolatedSince = undefined
      return {verdict: "silent", peers}
    }
    isolatedSince ??= clock.now()
    const isIsolated = clock.now() - isolatedSince <= ISOLATION_TIMEOUT_MS
    return {verdict: isIsolated ? "isolated" : "silent", peers}
  }

  /** False if this instance has learned of another leader meanwhile, or must not lead itself. */
  function mayReplace(leader: LeaderView | undefined): boolean {
    return !isStopped && !isLeading && !isDraining && currentLeader === leader
  }

  /** Claims the leader key if it is absent or its leader has not been heard since `silentSince`. */
  async function resolveLeader(silentSince: Milliseconds, hasRefused = false): Promise<void> {
    const view = currentLeader
    const {verdict, peers} = view ? await askPeers(view.term, silentSince, hasRefused) : NO_PEERS
    if (verdict === "heard" || currentLeader !== view) return
    const sentAt = clock.now()
    const [read, termRecord] = await Promise.all([store.read(LEADER_KEY), store.read(TERM_KEY)])
    // A leader that became known meanwhile, as by its announcement, has not been found silent.
    if (!mayReplace(view)) return
    if (read.isErr() || termRecord.isErr()) {
      if (!view) await pingPeers()
      return
    }
    const item = read.value
    if (!item) {
      await standBack(0, [])
      await claim(NO_FORMER_TERM)
      return
    }
    const term = currentLeader?.term ?? 0
    if (item.revision > term) applyLeaderItem(item, sentAt)
    if (currentLeader && item.revision > term) return
    const replaced = currentLeader
    if (verdict === "isolated") {
      if (await mayBeAlive(clock, store, item.revision)) return
      if (!mayReplace(replaced)) return
      log.warn(
        {event: "heartbeat-ended", term: item.revision},
        "no instance answers, and the leader writes no heartbeat to the store any more",
      )
    }
    // An instance that led before its restart has asked nobody. Those that are up answer within the usual delay.
    const asked = view ? peers : await withTimeout(clock, pingPeers(), MAX_CLAIM_DELAY_MS, [])
    if (currentLeader === replaced) await standBack(item.revision, asked)
    if (currentLeader === replaced && (replaced === undefined || replaced.term === item.revision))
      await claim(describeFormerTerm(item, termRecord.value))
  }

  async function pingLeader(view: LeaderView): Promise<void> {
    const peer = clients.reach(view.member.address)
    const sentAt = clock.now()
    const timeout = pingTimeout(roundTrips)
    const isNew = sentAt - newLeaderSince < NEW_LEADER_PERIOD_MS
    let answer = await peer.ping(describePing(), isNew ? Math.max(NEW_LEADER_TIMEOUT_MS, timeout) : timeout)
    if (answer.isErr() && answer.error.certainty === "unknown")
      answer = await peer.ping(describePing(), secondPingTimeout(roundTrips))
    if (isStopped || currentLeader !== view) return
    if (answer.isErr()) {
      log.info(
        {event: "leader-silent", term: view.term, reason: answer.error.message},
        "the leader did not answer a ping",
      )
      const isSilent = answer.error.certainty === "unknown"
      if (!isSilent || leaderHeardAt < sentAt) await resolveLeader(sentAt, !isSilent)
      if (!isSilent) return
      roundTrips =
        (currentLeader as LeaderView | undefined)?.term === view.term
          ? observeAnswer(roundTrips, Math.min(MAX_OBSERVED_SILENCE_MS, clock.now() - sentAt))
          : observeSilence(roundTrips)
      return
    }
    const reply = answer.value
    if (!reply.leads) {
      log.info(
        {event: "leader-denies", term: view.term, named: reply.leader?.name, namedTerm: reply.term},
        "the instance that was taken for the leader does not lead",
      )
      if (reply.leader && reply.term > view.term) followLeader(reply.term, reply.leader, true)
      else await resolveLeader(sentAt)
      return
    }
    leaderAnsweredAt = clock.now()
    leaderHeardAt = leaderAnsweredAt
    inTouchSince = Math.min(inTouchSince, leaderAnsweredAt)
    if (reply.term === view.term) leaderClockMs = reply.clockMs
    roundTrips = observeAnswer(roundTrips, leaderAnsweredAt - sentAt)
    if (reply.members) members.announce(reply.members, reply.membersDigest)
    ports.onLeaderAnswer(reply, sentAt)
    if (reply.term !== view.term || ports.isStoreFailing()) return
    if (reply.storeFailingMs > STORE_CUT_OFF_MS)
      await replaceLeader(view.term, "leader-cut-off", "the leader cannot reach the store; taking over")
    else if (reply.loadingMs > MAX_LOADING_MS)
      await replaceLeader(view.term, "leader-not-loaded", "the leader cannot read its work; taking over")
  }

  /** Undefined if the leader key does not belong to this term, or the store does not answer. */
  async function readTerm(term: number): Promise<FormerTerm | undefined> {
    const [read, termRecord] = await Promise.all([store.read(LEADER_KEY), store.read(TERM_KEY)])
    if (isStopped || isDraining || read.isErr() || termRecord.isErr()) return undefined
    return read.value?.revision === term ? describeFormerTerm(read.value, termRecord.value) : undefined
  }

  /** Takes over at the request of another instance. */
  async function acceptLead(term: number): Promise<void> {
    const former = await readTerm(term)
    if (former) await claim(former)
  }

  /** Takes over from a leader that cannot do its work, if this instance reaches the store. */
  async function replaceLeader(term: number, event: string, message: string): Promise<void> {
    const former = await readTerm(term)
    if (!former) return
    log.warn({event, term}, message)
    const replaced = currentLeader
    await standBack(term, [])
    if (currentLeader === replaced) await claim(former)
  }

  /**
   * Tells the witnesses that this instance leads and is alive. One that is out of its followers' reach, or of the
   * store's, says nothing, so that it is replaced.
   */
  function announceLead(): void {
    const isNew = clock.now() - leadingSince < NEW_LEADER_PERIOD_MS
    if (ports.isStoreFailing() || (!isNew && currentMembers().length === 1)) return
    for (const address of members.witnesses(self.address, true)) void announceTo(address)
  }

  /**
   * Announces a new leader to each instance that the former one listed. Those that answer follow it and work for it at
   * once, where it would learn of them by their own pings only over the next second.
   */
  async function announceToAll(): Promise<void> {
    const view = currentLeader
    const listed = members.announced().filter(({name}) => name !== self.name)
    for (let next = 0; next < listed.length && currentLeader === view; next += ANNOUNCED_AT_ONCE) {
      for (const member of listed.slice(next, next + ANNOUNCED_AT_ONCE))
        void announceTo(member.address).then(hasFollowed => {
          if (hasFollowed) members.recordPing(member)
        })
      await sleep(clock, ANNOUNCEMENT_PAUSE_MS)
    }
  }

  /**
   * Announces this leader to another instance, and follows a later leader that the instance knows of. True if it follows
   * this one.
   */
  async function announceTo(address: string): Promise<boolean> {
    const view = currentLeader
    if (!view) return false
    const ping = {
      sender: describeSelf(),
      ledTerm: view.term,
      followedTerm: 0,
      leaderClockMs: 0,
      membersDigest: 0,
    }
    const answer = await clients.reach(address).ping(ping, ANNOUNCEMENT_TIMEOUT_MS)
    if (answer.isErr() || isStopped || !isLeading || currentLeader !== view) return false
    const {term, leader} = answer.value
    if (!leader || term < view.term || leader.name === self.name) return term === view.term
    followLeader(term, leader, true)
    return false
  }

  async function runLoop(): Promise<void> {
    while (!isStopped) {
      if (!isLeading) {
        if (currentLeader) await pingLeader(currentLeader)
        else await resolveLeader(clock.now())
      } else {
        announceLead()
        // Announcements go on while an offer waits for its answer.
        void offerLeadIfUnfit()
      }
      await sleep(clock, currentLeader ? computePingInterval() : CLAIM_RETRY_MS)
    }
  }

  function computePingInterval(): Milliseconds {
    if (isLeading) return PING_INTERVAL_MS
    const scale = Math.max(1, members.announced().length / MEMBERS_AT_FULL_RATE)
    return Math.min(MAX_PING_INTERVAL_MS, PING_INTERVAL_MS * scale)
  }

  function currentMembers(): readonly Member[] {
    return members.current(isLeading)
  }

  return {
    leader: () => currentLeader,
    isLeader: () => isLeading,
    knewLaterTermAt: term => knownTerms.find(known => known.term > term)?.since,
    timeSinceLeaderAnswer: () => (isLeading ? 0 : clock.now() - leaderAnsweredAt),
    timeSinceLeaderHeard: () => (isLeading ? 0 : clock.now() - leaderHeardAt),
    recordAnnouncement(term, sender) {
      if (isLeading || isStopped) return
      followLeader(term, sender, true)
      if (currentLeader?.term === term) leaderHeardAt = clock.now()
    },
    members: currentMembers,
    others: () => members.others(clock.now() - leadingSince < NEW_LEADER_PERIOD_MS),
    listForFollowers: members.listForFollowers,
    fittest: () => nameFittest(currentMembers()),
    recordMember: members.recordPing,
    stepDown() {
      isLeading = false
      currentLeader = undefined
    },
    async handOver() {
      isDraining = true
      if (!isLeading || !currentLeader) return
      await offerLead(
        rankByFitness(currentMembers().filter(({name}) => name !== self.name)),
        "this instance stops",
      )
    },
    takeOver(term) {
      if (isDraining || isStopped || isLeading || currentLeader?.term !== term) return false
      if (ports.isStoreFailing()) return false
      log.info({event: "take-over", term}, "another instance asks this one to lead")
      void acceptLead(term)
      return true
    },
    start: () => void runLoop(),
    stop() {
      isStopped = true
    },
  }
}
