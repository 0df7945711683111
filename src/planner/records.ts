/** The keys that instances keep in the store, and the JSON encoding of their values. */
import type {PipelineJob} from "../pipelines/model.js"
import type {KeyCondition} from "../pipelines/ports.js"
import type {Progress} from "../pipelines/progress.js"
import {NO_PROGRESS} from "../pipelines/progress.js"
import type {Supporters} from "../pipelines/support.js"
import type {WorkerListing} from "../pipelines/model.js"
import type {UsedServices} from "./queueservices.js"
import type {RemainingRuns} from "./workspaceuse.js"

export const STORE_PREFIX = "lacewing/"
export const LEADER_KEY = `${STORE_PREFIX}leader`
const ROSTER_KEY = `${STORE_PREFIX}roster`
export const TERM_KEY = `${STORE_PREFIX}term`
/** The term of the leader, which it writes again and again. */
export const HEARTBEAT_KEY = `${STORE_PREFIX}heartbeat`
/** Jobs, their progress and cancel requests. The leader watches this prefix for changes by other instances. */
export const WORK_PREFIX = `${STORE_PREFIX}work/`
const JOB_PREFIX = `${WORK_PREFIX}job/`
const PROGRESS_PREFIX = `${WORK_PREFIX}progress/`
const CANCEL_PREFIX = `${WORK_PREFIX}cancel/`

/** The roster is stored in parts. The first one has the key under which earlier versions stored all of it. */
export function rosterKey(part: number): string {
  return part === 0 ? ROSTER_KEY : `${ROSTER_KEY}/${part}`
}

/** Parses the key of a part of the roster; undefined for any other key. */
export function parseRosterKey(key: string): number | undefined {
  if (key === ROSTER_KEY) return 0
  const part = key.startsWith(`${ROSTER_KEY}/`) ? Number(key.slice(ROSTER_KEY.length + 1)) : NaN
  return Number.isInteger(part) && part > 0 ? part : undefined
}

export function jobKey(job: string): string {
  return `${JOB_PREFIX}${job}`
}

export function progressKey(job: string): string {
  return `${PROGRESS_PREFIX}${job}`
}

/** The conditions that nothing is stored of a job, neither its record nor any progress. */
export function unstoredConditions(job: string): readonly KeyCondition[] {
  return [
    {key: jobKey(job), revision: 0},
    {key: progressKey(job), revision: 0},
  ]
}

/** Key of a cancel request, written by an instance that cannot reach the leader. */
export function cancelKey(job: string): string {
  return `${CANCEL_PREFIX}${job}`
}

export type ParsedKey = {readonly type: "job" | "progress" | "cancel"; readonly job: string} | undefined

/** Parses a key under `WORK_PREFIX`; undefined for any other key. */
export function parseKey(key: string): ParsedKey {
  if (key.startsWith(JOB_PREFIX)) return {type: "job", job: key.slice(JOB_PREFIX.length)}
  if (key.startsWith(PROGRESS_PREFIX)) return {type: "progress", job: key.slice(PROGRESS_PREFIX.length)}
  if (key.startsWith(CANCEL_PREFIX)) return {type: "cancel", job: key.slice(CANCEL_PREFIX.length)}
  return undefined
}

/** The stored progress of a job. */
export interface ProgressRecord extends Progress {
  /** Wall-clock time of the write, from which the retention of an ended job counts. */
  readonly writtenAt: number
  /**
   * The job was cancelled before it was stored. The record keeps it from being stored by a write that is still under way,
   * and the job counts as unknown.
   */
  readonly withdrawn?: boolean
  /** What the job still occupied when it ended, and its workspace. Absent if that was nothing, or without a workspace. */
  readonly remaining?: RemainingRuns | undefined
}

/** A leader of an earlier term that may still act. */
export interface EarlierLeader {
  readonly name: string
  /** The term that it led; undefined in the records of earlier versions. */
  readonly term?: number | undefined
  /** The instances that may still follow it; undefined if they are not known. */
  readonly following?: Supporters | undefined
  /** The workers that may still answer it; undefined if they are not known. */
  readonly answering?: Supporters | undefined
}

/** The term that a claim to lead has replaced. */
export interface FormerTerm {
  /** 0 if there was no leader before. */
  readonly term: number
  /** Undefined if there was no leader or its record is unreadable. */
  readonly leader?: string | undefined
  /** The leaders before that one that may still act; undefined if they are not known. */
  readonly earlierLeaders?: readonly EarlierLeader[] | undefined
}

export interface LeaderRecord {
  readonly name: string
  readonly address: string
  readonly processors: number
  /** Wall-clock time at which the instance claimed leadership. */
  readonly claimedAt: number
  /** The incarnation of the instance; differs after each restart of its process. */
  readonly life: string
  /** Undefined in the records of earlier versions. */
  readonly former?: FormerTerm | undefined
}

/** What a leader records for its successor. */
export interface TermRecord {
  /** The term of the leader that wrote the record. */
  readonly term: number
  /** The leaders of earlier terms that may still act; undefined if they are not known. */
  readonly earlierLeaders?: readonly EarlierLeader[] | undefined
  /** The names of the instances that count as followers of this leader. */
  readonly followers: readonly string[]
  /**
   * The names of the workers whose answers count for this leader. Undefined in the records of earlier versions, which act
   * without the store whatever workers answer them.
   */
  readonly answeringWorkers?: readonly string[] | undefined
  /** Undefined in the records of earlier versions. */
  readonly usedServices?: UsedServices | undefined
}

/** Well below the limit of the store for a value. Several leaders with thousands of followers each take more. */
const MAX_RECORD_BYTES = 512 * 2 ** 10

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}

/** True for an object that has all the given fields, as every record written by an instance has. */
function hasFields(value: unknown, ...fields: readonly string[]): boolean {
  return typeof value === "object" && value !== null && fields.every(field => field in value)
}

/** Earlier versions recorded only the names of earlier leaders. */
function readEarlierLeaders<T extends Pick<FormerTerm, "earlierLeaders">>(record: T): T {
  const leaders: readonly (EarlierLeader | string)[] | undefined = record.earlierLeaders
  const earlierLeaders = leaders?.map(leader => (typeof leader === "string" ? {name: leader} : leader))
  return {...record, earlierLeaders}
}

export function formatJob(job: PipelineJob): string {
  return JSON.stringify(job)
}

export function parseJob(text: string): PipelineJob | undefined {
  const value = parseJson(text)
  return hasFields(value, "id", "queue", "steps", "occurrences") ? (value as PipelineJob) : undefined
}

/** What was done of a job that has ended is left out. */
export function formatProgress(progress: ProgressRecord): string {
  return JSON.stringify(
    progress.outcome ? {...progress, ...NO_PROGRESS, outcome: progress.outcome} : progress,
  )
}

/** The record of a job that is cancelled before it is stored. */
export function formatWithdrawal(writtenAt: number): string {
  return formatProgress({...NO_PROGRESS, outcome: "cancelled", withdrawn: true, writtenAt})
}

export function parseProgress(text: string): ProgressRecord | undefined {
  const value = parseJson(text)
  return hasFields(value, "done", "failures", "writtenAt") ? (value as ProgressRecord) : undefined
}

/** Which instances follow an earlier leader is then not known; the workers that answer it are few and are kept. */
function omitFollowing<T extends Pick<FormerTerm, "earlierLeaders">>(record: T): T {
  return {
    ...record,
    earlierLeaders: record.earlierLeaders?.map(({name, term, answering}) => ({name, term, answering})),
  }
}

function isTooLong(text: string): boolean {
  return Buffer.byteLength(text) > MAX_RECORD_BYTES
}

export function formatLeader(leader: LeaderRecord): string {
  const text = JSON.stringify(leader)
  if (!leader.former || !isTooLong(text)) return text
  return JSON.stringify({...leader, former: omitFollowing(leader.former)})
}

export function parseLeader(text: string): LeaderRecord | undefined {
  const value = parseJson(text)
  if (!hasFields(value, "name", "address", "processors", "claimedAt", "life")) return undefined
  const record = value as LeaderRecord
  return {...record, former: record.former && readEarlierLeaders(record.former)}
}

export function formatRoster(roster: readonly WorkerListing[]): string {
  return JSON.stringify(roster)
}

export function parseRoster(text: string): readonly WorkerListing[] {
  const value = parseJson(text)
  return Array.isArray(value) ? (value as readonly WorkerListing[]) : []
}

export function formatTerm(record: TermRecord): string {
  const text = JSON.stringify(record)
  return isTooLong(text) ? JSON.stringify(omitFollowing(record)) : text
}

export function parseTerm(text: string): TermRecord | undefined {
  const value = parseJson(text)
  return hasFields(value, "term", "followers") ? readEarlierLeaders(value as TermRecord) : undefined
}
