/** Decodes the jobs, progress, cancel requests and roster that instances keep in the store. */
import type {PipelineJob, WorkerListing} from "../pipelines/model.js"
import type {StoredItem} from "../pipelines/ports.js"
import {
  HEARTBEAT_KEY,
  LEADER_KEY,
  parseKey,
  parseJob,
  parseLeader,
  parseProgress,
  parseRoster,
  parseRosterKey,
  parseTerm,
  TERM_KEY,
} from "./records.js"
import type {LeaderRecord, ProgressRecord, TermRecord} from "./records.js"

export interface StoredProgress {
  readonly job: string
  readonly revision: number
  /** Undefined if the value cannot be parsed. */
  readonly record: ProgressRecord | undefined
}

/** A part of the roster: some of the workers that the leader has recorded. */
export interface RosterPart {
  readonly part: number
  readonly revision: number
  readonly workers: readonly WorkerListing[]
}

export interface StoredWork {
  readonly jobs: readonly PipelineJob[]
  readonly progress: ReadonlyMap<string, StoredProgress>
  /** Jobs with a cancel request written by an instance that could not reach the leader. */
  readonly cancelledJobs: readonly string[]
  /** The claim of the present leader; undefined if it is unreadable. */
  readonly leader: LeaderRecord | undefined
  readonly roster: readonly RosterPart[]
  /** The record of the latest leader that wrote one. */
  readonly term: TermRecord | undefined
  readonly termRevision: number
  readonly heartbeatRevision: number
}

/** Groups the items of the store by the kind of their key. Items that cannot be parsed are skipped, except progress. */
export function readStoredWork(items: readonly StoredItem[]): StoredWork {
  const jobs: PipelineJob[] = []
  const progress = new Map<string, StoredProgress>()
  const cancelledJobs: string[] = []
  const roster: RosterPart[] = []
  for (const {key, value, revision} of items) {
    const part = parseRosterKey(key)
    if (part !== undefined) roster.push({part, revision, workers: parseRoster(value)})
    const parsedKey = parseKey(key)
    if (!parsedKey) continue
    if (parsedKey.type === "progress")
      progress.set(parsedKey.job, {job: parsedKey.job, revision, record: parseProgress(value)})
    else if (parsedKey.type === "cancel") cancelledJobs.push(parsedKey.job)
    else {
      const job = parseJob(value)
      if (job) jobs.push(job)
    }
  }
  const leader = items.find(({key}) => key === LEADER_KEY)
  const term = items.find(({key}) => key === TERM_KEY)
  return {
    jobs,
    progress,
    cancelledJobs,
    leader: leader && parseLeader(leader.value),
    roster,
    term: term && parseTerm(term.value),
    termRevision: term?.revision ?? 0,
    heartbeatRevision: items.find(({key}) => key === HEARTBEAT_KEY)?.revision ?? 0,
  }
}
