/**
 * Chooses what one gossip message carries. Each message has a bounded number of entries; the state of a member
 * goes along only when the receiver is not known to have that version of it.
 */
import type {Random} from "../core/random.js"
import {shuffled} from "../core/random.js"
import {ENTRIES_PER_MESSAGE} from "./table.js"
import type {Entry, Member, Table} from "./table.js"

/** Which version of each member a peer is known to have. */
export interface PeerKnowledge {
  readonly incarnation: string
  /** Member name to `incarnation:version`. */
  readonly versions: ReadonlyMap<string, string>
}

function versionMark(entry: {readonly incarnation: string; readonly version: number}): string {
  return `${entry.incarnation}:${entry.version}`
}

/** Half of the entries are those heard most recently, the rest a random choice among the others. */
function chooseRows(table: Table, random: Random): readonly Member[] {
  const rows = [...table.values()]
  const room = ENTRIES_PER_MESSAGE - 1
  if (rows.length <= room) return rows.map(row => row.member)
  rows.sort((one, other) => other.heardAt - one.heardAt)
  const recent = rows.slice(0, room / 2)
  const others = shuffled(random, rows.slice(recent.length)).slice(0, room - recent.length)
  return [...recent, ...others].map(row => row.member)
}

function entryFor(member: Member, knowledge: PeerKnowledge | undefined): Entry {
  const {instance, incarnation, heartbeat, version} = member
  const known = knowledge?.versions.get(instance) === versionMark(member)
  return {instance, incarnation, heartbeat, version, state: known ? undefined : member}
}

/** The entries of one message: the sender's own first. */
export function chooseEntries(
  self: Member,
  table: Table,
  knowledge: PeerKnowledge | undefined,
  random: Random,
): readonly Entry[] {
  return [self, ...chooseRows(table, random)].map(member => entryFor(member, knowledge))
}

/** Records that a peer has what was exchanged with it. A new incarnation of the peer knows nothing else. */
export function noteExchange(
  knowledge: PeerKnowledge | undefined,
  incarnation: string,
  entries: readonly Entry[],
): PeerKnowledge {
  const base = knowledge?.incarnation === incarnation ? knowledge.versions : new Map<string, string>()
  const versions = new Map(base)
  for (const entry of entries) {
    if (entry.state) versions.set(entry.instance, versionMark(entry))
  }
  return {incarnation, versions}
}
