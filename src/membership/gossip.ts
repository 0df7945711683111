/**
 * Chooses the entries of a gossip message. Each message has a bounded number of entries. An entry includes the state of
 * its member only if the receiver is not known to have that version of it.
 */
import type {Random} from "../core/random.js"
import {shuffled} from "../core/random.js"
import {MAX_ENTRIES_PER_MESSAGE} from "./table.js"
import type {GossipEntry, Member, MembershipTable} from "./table.js"

/** The versions of member states that a peer is known to have. */
export interface PeerKnowledge {
  /** The incarnation of the peer. */
  readonly incarnation: string
  /** `incarnation:version` of each member, by member name. */
  readonly versions: ReadonlyMap<string, string>
}

function versionTag(entry: {readonly incarnation: string; readonly version: number}): string {
  return `${entry.incarnation}:${entry.version}`
}

/** Half of the chosen members are those heard from most recently, the rest a random sample of the others. */
function chooseMembers(table: MembershipTable, random: Random): readonly Member[] {
  const rows = [...table.values()]
  const limit = MAX_ENTRIES_PER_MESSAGE - 1
  if (rows.length <= limit) return rows.map(row => row.member)
  rows.sort((one, other) => other.lastHeardAt - one.lastHeardAt)
  const recent = rows.slice(0, limit / 2)
  const others = shuffled(random, rows.slice(recent.length)).slice(0, limit - recent.length)
  return [...recent, ...others].map(row => row.member)
}

function entryFor(member: Member, knowledge: PeerKnowledge | undefined): GossipEntry {
  const {instance, incarnation, heartbeat, version} = member
  const isKnown = knowledge?.versions.get(instance) === versionTag(member)
  return {instance, incarnation, heartbeat, version, state: isKnown ? undefined : member}
}

/** Chooses the entries of one message, the sender's own first. */
export function chooseEntries(
  self: Member,
  table: MembershipTable,
  knowledge: PeerKnowledge | undefined,
  random: Random,
): readonly GossipEntry[] {
  return [self, ...chooseMembers(table, random)].map(member => entryFor(member, knowledge))
}

/** Records that a peer has the states exchanged with it. A new incarnation of the peer is known to have no others. */
export function recordExchange(
  knowledge: PeerKnowledge | undefined,
  incarnation: string,
  entries: readonly GossipEntry[],
): PeerKnowledge {
  const base = knowledge?.incarnation === incarnation ? knowledge.versions : new Map<string, string>()
  const versions = new Map(base)
  for (const entry of entries) {
    if (entry.state) versions.set(entry.instance, versionTag(entry))
  }
  return {incarnation, versions}
}
