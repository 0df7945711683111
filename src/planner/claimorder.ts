/**
 * What an instance does between finding that the leader has failed and its own claim: it asks fitter instances to claim in
 * its place, and stands back for a short time if one of them accepts. `succession.ts` decides who is fitter.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {Random} from "../core/random.js"
import {shuffled} from "../core/random.js"
import type {FleetClients, Member, PingAnswer} from "../peer/fleet.js"
import {findFitter, isWeak, leadingPower, takeFittestClass} from "../pipelines/succession.js"
import type {LeaderView} from "./leadership.js"

/** The answer of an instance that was pinged while the leader was silent. */
export interface PeerAnswer {
  readonly address: string
  /** Undefined if the instance did not answer. */
  readonly answer: PingAnswer | undefined
}

export interface ClaimOrderPorts {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly clients: FleetClients
  readonly describeSelf: () => Member
  /** The members that the leader last sent. */
  readonly announced: () => readonly Member[]
  readonly leader: () => LeaderView | undefined
  readonly isStopped: () => boolean
}

export interface ClaimOrder {
  /** Addresses of the fittest instances, whose answers tell whether they are up. */
  readonly listFittest: () => readonly string[]
  /**
   * Waits before a claim, at least for a random time, and longer if a fitter instance accepts to claim. `term` is that of
   * the failed leader; 0 if there was none. `peers` have been pinged just now.
   */
  readonly standBack: (term: number, peers: readonly PeerAnswer[]) => Promise<void>
}

/**
 * Upper bound of the random delay before a claim, so that instances which find the leader dead do not all claim at
 * once.
 */
export const MAX_CLAIM_DELAY_MS: Milliseconds = 60
/** How long an instance leaves a claim to a fitter one that has accepted, and a weak one that knows no other waits. */
const STAND_BACK_MS: Milliseconds = 300
/** A fitter instance that takes longer to answer is not waited for. */
const FITTER_ANSWER_MS: Milliseconds = 150
/** Interval at which an instance that stands back looks whether there is a new leader. */
const STAND_BACK_CHECK_MS: Milliseconds = 30
/** Fitter instances asked to claim at a time. */
const MAX_ASKED = 3
/** Of the instances pinged while the leader is silent, so many are the fittest known. */
const MAX_FITTEST_PINGED = 4
/** A peer that the store has not answered for this long is not asked to claim. */
const STORE_CUT_OFF_MS: Milliseconds = 200

interface AskedToClaim {
  readonly asked: readonly Member[]
  readonly accepted: readonly Member[]
}

const NOBODY_ASKED: AskedToClaim = {asked: [], accepted: []}

export function createClaimOrder(ports: ClaimOrderPorts): ClaimOrder {
  const {clock, random, log, clients, describeSelf, announced, leader, isStopped} = ports

  /** The other instances that may be up. An instance that has no list knows those that its peers have named. */
  function listContenders(peers: readonly PeerAnswer[]): readonly Member[] {
    const listed = announced()
    const named = peers.flatMap(({answer}) => answer?.fittest ?? [])
    const known = new Map((listed.length > 0 ? listed : named).map(member => [member.name, member]))
    const {name} = describeSelf()
    known.delete(name)
    known.delete(leader()?.member.name ?? name)
    return [...known.values()]
  }

  /** The fitter ones of the others, without those that have just not answered or do not reach the store. */
  function findFitterPeers(others: readonly Member[], peers: readonly PeerAnswer[]): readonly Member[] {
    const unable = new Set(
      peers
        .filter(({answer}) => !answer || answer.storeFailingMs > STORE_CUT_OFF_MS)
        .map(({address}) => address),
    )
    return findFitter(
      describeSelf(),
      shuffled(random, others).filter(({address}) => !unable.has(address)),
    )
  }

  /** Asks fitter instances to claim, those of the fittest class first, until one accepts. */
  async function askToClaim(term: number, fitter: readonly Member[]): Promise<AskedToClaim> {
    const asked: Member[] = []
    const lastAskAt = clock.now() + STAND_BACK_MS - FITTER_ANSWER_MS
    while (clock.now() <= lastAskAt) {
      const next = takeFittestClass(fitter.filter(member => !asked.includes(member))).slice(0, MAX_ASKED)
      if (next.length === 0) break
      asked.push(...next)
      const answers = await Promise.all(
        next.map(({address}) => clients.reach(address).takeOver(term, FITTER_ANSWER_MS)),
      )
      const accepted = next.filter((_, index) => answers[index]?.unwrapOr(false))
      if (accepted.length > 0) return {asked, accepted}
    }
    return {asked, accepted: []}
  }

  async function standBack(term: number, peers: readonly PeerAnswer[]): Promise<void> {
    const startedAt = clock.now()
    const replaced = leader()
    const others = listContenders(peers)
    const fitter = findFitterPeers(others, peers)
    const {asked, accepted} = term > 0 ? await askToClaim(term, fitter) : NOBODY_ASKED
    const isAlone = isWeak(describeSelf()) && others.length === 0
    const waitUntil = startedAt + (accepted.length > 0 || isAlone ? STAND_BACK_MS : 0)
    while (clock.now() < waitUntil && leader() === replaced && !isStopped())
      await sleep(clock, Math.min(STAND_BACK_CHECK_MS, waitUntil - clock.now()))
    if (leader() === replaced) await sleep(clock, random.next() * MAX_CLAIM_DELAY_MS)
    const self = describeSelf()
    log.info(
      {
        event: "claim",
        term,
        power: leadingPower(self),
        isWarm: self.isWarm,
        others: others.length,
        fitter: fitter.length,
        asked: asked.map(({name}) => name),
        accepted: accepted.map(({name}) => name),
        waited: Math.round(clock.now() - startedAt),
        outcome: leader() === replaced ? "claims" : "another leads",
      },
      "decided who claims the lead of a leader that failed",
    )
  }

  return {
    listFittest: () =>
      findFitter(describeSelf(), listContenders([]))
        .slice(0, MAX_FITTEST_PINGED)
        .map(({address}) => address),
    standBack,
  }
}
