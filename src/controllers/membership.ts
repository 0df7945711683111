/**
 * Maintains the membership table by gossip. In each interval the instance exchanges a message of bounded size
 * with a random peer. Addresses come from the platform's instance list until a member is known by gossip. No
 * message is sent to all members, so the cost per instance does not grow with the number of members.
 */
import {create} from "@bufbuild/protobuf"
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {chooseEntries, recordExchange} from "../membership/gossip.js"
import type {PeerKnowledge} from "../membership/gossip.js"
import {activeMembers, removeSilent, gossipInterval, mergeEntries} from "../membership/table.js"
import type {Member, MemberState, MembershipTable} from "../membership/table.js"
import type {PeerApi, PeerNetwork} from "../peer/api.js"
import {entryFromMessage, entryToMessage} from "../peer/convert.js"
import {GossipMessageSchema} from "../peer/generated/peer_pb.js"
import type {GossipMessage} from "../peer/generated/peer_pb.js"

const FORGET_AFTER_MS: Milliseconds = 10 * 60_000
/** Number of peers for which the instance tracks which member versions they have. */
const MAXIMUM_TRACKED_PEERS = 64

export interface MembershipPorts {
  readonly clock: Clock
  readonly random: Random
  readonly network: PeerNetwork
  /** Peer addresses of the other entry instances in the platform's instance list. */
  readonly listedAddresses: () => readonly string[]
  /** The current state of this instance, to be announced to its peers. */
  readonly describeSelf: () => MemberState
}

export interface Membership {
  readonly start: () => void
  readonly stop: () => void
  readonly handleGossip: (request: GossipMessage) => GossipMessage
  readonly table: () => MembershipTable
  /** Live members with status `active`, including this instance unless it is leaving. */
  readonly active: () => readonly Member[]
  readonly self: () => Member
  readonly addressOf: (instance: string) => string | undefined
  /** Exchanges gossip with a few peers immediately, without waiting for the next interval. */
  readonly announce: () => void
  /** Number of gossip messages that this instance has created. */
  readonly messageCount: () => number
}

/** Creates the membership controller of one incarnation of an instance. */
export function membershipController(
  instance: string,
  incarnation: string,
  ports: MembershipPorts,
): Membership {
  let table: MembershipTable = new Map()
  let heartbeat = 0
  let version = 0
  let lastDescription = ""
  let state = ports.describeSelf()
  let isStopped = false
  let messageCount = 0
  const knowledgeByPeer = new Map<string, PeerKnowledge>()

  function self(): Member {
    const fresh = ports.describeSelf()
    const description = JSON.stringify(fresh)
    if (description !== lastDescription) {
      lastDescription = description
      state = fresh
      version += 1
    }
    return {...state, instance, incarnation, heartbeat, version}
  }

  function rememberKnowledge(peer: string, knowledge: PeerKnowledge): void {
    knowledgeByPeer.delete(peer)
    knowledgeByPeer.set(peer, knowledge)
    if (knowledgeByPeer.size <= MAXIMUM_TRACKED_PEERS) return
    const oldest = knowledgeByPeer.keys().next().value
    if (oldest !== undefined) knowledgeByPeer.delete(oldest)
  }

  function buildMessage(peer: string | undefined): GossipMessage {
    const entries = chooseEntries(
      self(),
      table,
      peer === undefined ? undefined : knowledgeByPeer.get(peer),
      ports.random,
    )
    messageCount += 1
    return create(GossipMessageSchema, {
      sender: instance,
      senderIncarnation: incarnation,
      entries: entries.map(entryToMessage),
    })
  }

  function mergeMessage(received: GossipMessage, sent: GossipMessage): void {
    const entries = received.entries.map(entryFromMessage)
    table = mergeEntries(table, instance, entries, ports.clock.now())
    const exchanged = [...entries, ...sent.entries.map(entryFromMessage)]
    const {sender, senderIncarnation} = received
    rememberKnowledge(sender, recordExchange(knowledgeByPeer.get(sender), senderIncarnation, exchanged))
  }

  async function exchangeGossip(peer: string | undefined, api: PeerApi): Promise<void> {
    const sent = buildMessage(peer)
    try {
      mergeMessage(await api.gossip(sent), sent)
    } catch {
      if (peer !== undefined) knowledgeByPeer.delete(peer)
    }
  }

  function choosePeer(): (() => Promise<void>) | undefined {
    const knownMembers = [...table.values()].map(row => row.member)
    const addresses = new Set(knownMembers.map(member => member.address))
    const unknownAddresses = ports.listedAddresses().filter(address => !addresses.has(address))
    const total = knownMembers.length + unknownAddresses.length
    if (total === 0) return undefined
    const index = ports.random.below(total)
    const member = knownMembers[index]
    if (member) return () => exchangeGossip(member.instance, ports.network.reachAddress(member.address))
    const address = unknownAddresses[index - knownMembers.length]
    return address === undefined
      ? undefined
      : () => exchangeGossip(undefined, ports.network.reachAddress(address))
  }

  function tick(): void {
    if (isStopped) return
    heartbeat += 1
    table = removeSilent(table, ports.clock.now(), FORGET_AFTER_MS)
    void choosePeer()?.()
    ports.clock.after(gossipInterval(table.size) * (0.9 + ports.random.next() / 5), tick)
  }

  return {
    start: tick,
    stop() {
      isStopped = true
    },
    handleGossip(request) {
      const reply = buildMessage(request.sender)
      mergeMessage(request, reply)
      return reply
    },
    table: () => table,
    active() {
      const selfMember = self()
      const others = activeMembers(table, ports.clock.now())
      return selfMember.status === "active" ? [selfMember, ...others] : others
    },
    self,
    addressOf: name => table.get(name)?.member.address,
    announce() {
      heartbeat += 1
      for (let count = 0; count < 3; count += 1) void choosePeer()?.()
    },
    messageCount: () => messageCount,
  }
}
