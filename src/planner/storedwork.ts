/** Reads the work of all instances from the items of the store. */
import type {PipelineJob, WorkerListing} from "../pipelines/model.js"
import type {StoredItem} from "../pipelines/ports.js"
import {meaningOf, parseJob, parseProgress, parseRoster, ROSTER_KEY} from "./records.js"
import type {ProgressRecord} from "./records.js"

export interface StoredProgress {
  readonly job: string
  readonly revision: number
  /** Undefined for a value that cannot be read. */
  readonly record: ProgressRecord | undefined
}

export interface StoredWork {
  readonly jobs: readonly PipelineJob[]
  readonly progress: ReadonlyMap<string, StoredProgress>
  /** Jobs that instances without a leader were asked to cancel. */
  readonly cancels: readonly string[]
  readonly roster: readonly WorkerListing[]
  readonly rosterRevision: number
}

/** Sorts the items of the store by what they hold. */
export function readStoredWork(items: readonly StoredItem[]): StoredWork {
  const jobs: PipelineJob[] = []
  const progress = new Map<string, StoredProgress>()
  const cancels: string[] = []
  for (const {key, value, revision} of items) {
    const meaning = meaningOf(key)
    if (!meaning) continue
    if (meaning.type === "progress")
      progress.set(meaning.job, {job: meaning.job, revision, record: parseProgress(value)})
    else if (meaning.type === "cancel") cancels.push(meaning.job)
    else {
      const job = parseJob(value)
      if (job) jobs.push(job)
    }
  }
  const roster = items.find(({key}) => key === ROSTER_KEY)
  return {
    jobs,
    progress,
    cancels,
    roster: roster ? parseRoster(roster.value) : [],
    rosterRevision: roster?.revision ?? 0,
  }
}
