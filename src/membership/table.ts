/**
 * The membership table of one instance: what it has heard of each other instance, and when. The table is an
 * immutable value; merging keeps, member by member, whatever is newer.
 */
import type {Milliseconds} from "../core/clock.js"

/** Free capacity of a worker group, rounded down, as its owner last described it. */
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

/** A group that a member says it holds. */
export interface Claim {
  readonly group: string
  readonly epoch: number
  /** Absent for job groups. */
  readonly free: FreeCapacity | undefined
}

/** What a member says of itself. */
export interface MemberState {
  readonly address: string
  readonly dataCentre: string
  readonly status: "active" | "leaving"
  readonly documentNumber: number
  /** The incarnation under which the member holds groups; it changes when the member is fenced. */
  readonly holderIncarnation: string
  readonly claims: readonly Claim[]
  readonly failureShare: number
}

export interface Member extends MemberState {
  readonly instance: string
  /** Incarnations of one instance compare as strings: a later start is the larger. */
  readonly incarnation: string
  readonly heartbeat: number
  readonly version: number
}

/** The part of a member that every exchange carries. */
export interface Liveness {
  readonly instance: string
  readonly incarnation: string
  readonly heartbeat: number
  readonly version: number
}

export interface Row {
  readonly member: Member
  /** Instant at which a newer heartbeat was last heard. */
  readonly heardAt: Milliseconds
}

export type Table = ReadonlyMap<string, Row>

/** One received entry. `state` is absent when the sender expects that this version is known here. */
export interface Entry extends Liveness {
  readonly state: MemberState | undefined
}

function isNewer(entry: Liveness, known: Liveness): boolean {
  if (entry.incarnation !== known.incarnation) return entry.incarnation > known.incarnation
  return entry.heartbeat > known.heartbeat
}

function mergeEntry(row: Row | undefined, entry: Entry, now: Milliseconds): Row | undefined {
  const {instance, incarnation, heartbeat, version, state} = entry
  if (!row) return state && {member: {...state, instance, incarnation, heartbeat, version}, heardAt: now}
  if (!isNewer(entry, row.member)) return row
  if (state) return {member: {...state, instance, incarnation, heartbeat, version}, heardAt: now}
  if (incarnation !== row.member.incarnation) return row
  return {member: {...row.member, heartbeat}, heardAt: now}
}

/** Merges received entries. Entries about the table's own instance are ignored. */
export function mergeEntries(
  table: Table,
  self: string,
  entries: readonly Entry[],
  now: Milliseconds,
): Table {
  const merged = new Map(table)
  for (const entry of entries) {
    if (entry.instance === self) continue
    const row = mergeEntry(table.get(entry.instance), entry, now)
    if (row) merged.set(entry.instance, row)
  }
  return merged
}

/** Forgets members that have been silent for long. */
export function forgetSilent(table: Table, now: Milliseconds, limit: Milliseconds): Table {
  const kept = [...table].filter(([, row]) => now - row.heardAt < limit)
  return kept.length === table.size ? table : new Map(kept)
}

export type Liveliness = "alive" | "suspected"

/** Bound on the entries of one message. It keeps the cost of an instance flat as instances grow. */
export const ENTRIES_PER_MESSAGE = 12

const BASE_SUSPICION_MS: Milliseconds = 4000
const SUSPICION_PER_MEMBER_MS: Milliseconds = 370

const SHORT_INTERVAL_MS: Milliseconds = 500
const LONG_INTERVAL_MS: Milliseconds = 1000
const SMALL_MEMBERSHIP = 32

/** Interval between two exchanges of one instance. */
export function gossipInterval(members: number): Milliseconds {
  return members <= SMALL_MEMBERSHIP ? SHORT_INTERVAL_MS : LONG_INTERVAL_MS
}

/** How long a member may be silent before it is suspected: it grows as messages hold a smaller part of the table. */
export function suspicionTimeout(members: number): Milliseconds {
  return BASE_SUSPICION_MS + SUSPICION_PER_MEMBER_MS * Math.max(0, members - ENTRIES_PER_MESSAGE)
}

export function livelinessOf(row: Row, now: Milliseconds, members: number): Liveliness {
  return now - row.heardAt < suspicionTimeout(members) ? "alive" : "suspected"
}

/** The members that are alive and do not leave. */
export function activeMembers(table: Table, now: Milliseconds): readonly Member[] {
  const rows = [...table.values()]
  return rows
    .filter(row => row.member.status === "active" && livelinessOf(row, now, rows.length) === "alive")
    .map(row => row.member)
}
