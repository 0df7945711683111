/**
 * The membership table of one instance: the newest state received of each other instance, and when it was last heard
 * from. The table is an immutable value; a merge keeps the newer entry of each member. A member that has not been heard
 * from for `suspicionTimeout` is suspected to have failed.
 */
import type {Milliseconds} from "../core/clock.js"

/** Free capacity of a worker group, rounded down, as its owner last reported it. */
export interface FreeCapacity {
  readonly processors: number
  readonly memoryMebibytes: number
  readonly accelerators: number
  readonly largestProcessors: number
  readonly largestMemoryMebibytes: number
  readonly largestAccelerators: number
  readonly idleSlots: number
  readonly waiting: number
  readonly totalProcessors: number
  readonly totalMemoryMebibytes: number
  readonly totalAccelerators: number
}

/** A group that a member reports to hold. */
export interface Claim {
  readonly group: string
  readonly epoch: number
  /** Absent for job groups. */
  readonly free: FreeCapacity | undefined
}

/** The state that a member reports of itself. */
export interface MemberState {
  readonly address: string
  readonly dataCentre: string
  readonly status: "active" | "leaving"
  readonly documentNumber: number
  /** The incarnation under which the member holds groups; it changes when the member is fenced. */
  readonly holderIncarnation: string
  readonly claims: readonly Claim[]
  /** Smoothed share of the member's requests that did not run or have no known outcome. */
  readonly failureShare: number
}

export interface Member extends MemberState {
  readonly instance: string
  /** Incarnations of one instance are ordered as strings: a later start has the larger one. */
  readonly incarnation: string
  readonly heartbeat: number
  readonly version: number
}

/** The part of a member that every gossip entry carries. */
export interface MemberDigest {
  readonly instance: string
  readonly incarnation: string
  readonly heartbeat: number
  readonly version: number
}

export interface MembershipRow {
  readonly member: Member
  /** Instant at which a newer heartbeat was last received, directly or through other members. */
  readonly lastHeardAt: Milliseconds
}

export type MembershipTable = ReadonlyMap<string, MembershipRow>

/** One entry of a gossip message. `state` is absent if the sender expects the receiver to have this version. */
export interface GossipEntry extends MemberDigest {
  readonly state: MemberState | undefined
}

function isNewer(entry: MemberDigest, known: MemberDigest): boolean {
  if (entry.incarnation !== known.incarnation) return entry.incarnation > known.incarnation
  return entry.heartbeat > known.heartbeat
}

function mergeEntry(
  row: MembershipRow | undefined,
  entry: GossipEntry,
  now: Milliseconds,
): MembershipRow | undefined {
  const {instance, incarnation, heartbeat, version, state} = entry
  if (!row) return state && {member: {...state, instance, incarnation, heartbeat, version}, lastHeardAt: now}
  if (!isNewer(entry, row.member)) return row
  if (state) return {member: {...state, instance, incarnation, heartbeat, version}, lastHeardAt: now}
  if (incarnation !== row.member.incarnation) return row
  return {member: {...row.member, heartbeat}, lastHeardAt: now}
}

/** Merges received entries into the table. Entries about `self`, the instance that keeps the table, are ignored. */
export function mergeEntries(
  table: MembershipTable,
  self: string,
  entries: readonly GossipEntry[],
  now: Milliseconds,
): MembershipTable {
  const merged = new Map(table)
  for (const entry of entries) {
    if (entry.instance === self) continue
    const row = mergeEntry(table.get(entry.instance), entry, now)
    if (row) merged.set(entry.instance, row)
  }
  return merged
}

/** Removes members that have not been heard from for the time `limit`. */
export function removeSilent(
  table: MembershipTable,
  now: Milliseconds,
  limit: Milliseconds,
): MembershipTable {
  const kept = [...table].filter(([, row]) => now - row.lastHeardAt < limit)
  return kept.length === table.size ? table : new Map(kept)
}

export type Liveness = "alive" | "suspected"

/** Keeps the gossip cost of an instance constant as the number of instances grows. */
export const MAX_ENTRIES_PER_MESSAGE = 12

const BASE_SUSPICION_MS: Milliseconds = 4000
const SUSPICION_PER_MEMBER_MS: Milliseconds = 370

const SHORT_GOSSIP_INTERVAL_MS: Milliseconds = 500
const LONG_GOSSIP_INTERVAL_MS: Milliseconds = 1000
const SHORT_INTERVAL_MAX_MEMBERS = 32

/** Interval between two gossip exchanges that an instance starts. */
export function gossipInterval(members: number): Milliseconds {
  return members <= SHORT_INTERVAL_MAX_MEMBERS ? SHORT_GOSSIP_INTERVAL_MS : LONG_GOSSIP_INTERVAL_MS
}

/**
 * Time without a newer heartbeat after which a member is suspected. It grows with the number of members, because each
 * message then carries a smaller part of the table.
 */
export function suspicionTimeout(members: number): Milliseconds {
  return BASE_SUSPICION_MS + SUSPICION_PER_MEMBER_MS * Math.max(0, members - MAX_ENTRIES_PER_MESSAGE)
}

export function livenessOf(row: MembershipRow, now: Milliseconds, members: number): Liveness {
  return now - row.lastHeardAt < suspicionTimeout(members) ? "alive" : "suspected"
}

/** The members that are alive and not leaving. */
export function activeMembers(table: MembershipTable, now: Milliseconds): readonly Member[] {
  const rows = [...table.values()]
  return rows
    .filter(row => row.member.status === "active" && livenessOf(row, now, rows.length) === "alive")
    .map(row => row.member)
}
