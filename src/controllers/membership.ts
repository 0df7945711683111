/**
 * Keeps the membership table by gossip. Each interval the instance exchanges a bounded message with one or two
 * random peers; addresses come from the platform's list until members are heard themselves. Nothing is sent to
 * all members, so the cost of an instance does not grow with their number.
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
const KNOWN_PEERS = 64

export interface MembershipPorts {
  readonly clock: Clock
  readonly random: Random
  readonly network: PeerNetwork
  /** Peer addresses of the entry instances in the platform's list, this one left out. */
  readonly listedAddresses: () => readonly string[]
  /** What this instance says of itself now. */
  readonly describeSelf: () => MemberState
}

export interface Membership {
  readonly start: () => void
  readonly stop: () => void
  readonly handleGossip: (request: GossipMessage) => GossipMessage
  readonly table: () => MembershipTable
  /** Active members that are alive, this instance included unless it leaves. */
  readonly active: () => readonly Member[]
  readonly self: () => Member
  readonly addressOf: (instance: string) => string | undefined
  /** Tells peers at once, without waiting for the next interval. */
  readonly announce: () => void
  readonly messages: () => number
}

/** Creates the controller for one incarnation of an instance. */
export function membershipController(
  instance: string,
  incarnation: string,
  ports: MembershipPorts,
): Membership {
  let table: MembershipTable = new Map()
  let heartbeat = 0
  let version = 0
  let described = ""
  let state = ports.describeSelf()
  let stopped = false
  let messages = 0
  const knowledge = new Map<string, PeerKnowledge>()

  function self(): Member {
    const fresh = ports.describeSelf()
    const text = JSON.stringify(fresh)
    if (text !== described) {
      described = text
      state = fresh
      version += 1
    }
    return {...state, instance, incarnation, heartbeat, version}
  }

  function remember(peer: string, entry: PeerKnowledge): void {
    knowledge.delete(peer)
    knowledge.set(peer, entry)
    if (knowledge.size <= KNOWN_PEERS) return
    const oldest = knowledge.keys().next().value
    if (oldest !== undefined) knowledge.delete(oldest)
  }

  function message(peer: string | undefined): GossipMessage {
    const entries = chooseEntries(
      self(),
      table,
      peer === undefined ? undefined : knowledge.get(peer),
      ports.random,
    )
    messages += 1
    return create(GossipMessageSchema, {
      sender: instance,
      senderIncarnation: incarnation,
      entries: entries.map(entryToMessage),
    })
  }

  function absorb(received: GossipMessage, sent: GossipMessage): void {
    const entries = received.entries.map(entryFromMessage)
    table = mergeEntries(table, instance, entries, ports.clock.now())
    const exchanged = [...entries, ...sent.entries.map(entryFromMessage)]
    const {sender, senderIncarnation} = received
    remember(sender, recordExchange(knowledge.get(sender), senderIncarnation, exchanged))
  }

  async function exchange(peer: string | undefined, api: PeerApi): Promise<void> {
    const sent = message(peer)
    try {
      absorb(await api.gossip(sent), sent)
    } catch {
      if (peer !== undefined) knowledge.delete(peer)
    }
  }

  function choosePeer(): (() => Promise<void>) | undefined {
    const known = [...table.values()].map(row => row.member)
    const addresses = new Set(known.map(member => member.address))
    const strangers = ports.listedAddresses().filter(address => !addresses.has(address))
    const total = known.length + strangers.length
    if (total === 0) return undefined
    const choice = ports.random.below(total)
    const member = known[choice]
    if (member) return () => exchange(member.instance, ports.network.reachAddress(member.address))
    const address = strangers[choice - known.length]
    return address === undefined ? undefined : () => exchange(undefined, ports.network.reachAddress(address))
  }

  function tick(): void {
    if (stopped) return
    heartbeat += 1
    table = removeSilent(table, ports.clock.now(), FORGET_AFTER_MS)
    void choosePeer()?.()
    ports.clock.after(gossipInterval(table.size) * (0.9 + ports.random.next() / 5), tick)
  }

  return {
    start: tick,
    stop() {
      stopped = true
    },
    handleGossip(request) {
      const reply = message(request.sender)
      absorb(request, reply)
      return reply
    },
    table: () => table,
    active() {
      const own = self()
      const others = activeMembers(table, ports.clock.now())
      return own.status === "active" ? [own, ...others] : others
    },
    self,
    addressOf: name => table.get(name)?.member.address,
    announce() {
      heartbeat += 1
      for (let count = 0; count < 3; count += 1) void choosePeer()?.()
    },
    messages: () => messages,
  }
}
