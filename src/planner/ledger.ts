/**
 * The leader's writer to the store. All durable state is written here, batched so that one transaction holds many
 * entries. Each transaction is conditional on the leader key, so a leader that has been replaced writes nothing, and
 * on the last known revision of each key that it writes, so a transaction that the store applies late never
 * overwrites a newer value.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {PipelineJob} from "../pipelines/model.js"
import type {Progress} from "../pipelines/progress.js"
import type {KeyCondition, KeyValueStore, StoredItem, Transaction} from "../pipelines/ports.js"
import {
  cancelKey,
  formatJob,
  formatProgress,
  jobKey,
  LEADER_KEY,
  progressKey,
  ROSTER_KEY,
  TERM_KEY,
} from "./records.js"

/** The store rejects larger transactions. An entry is a condition, a write or a removal. */
const MAX_TRANSACTION_ENTRIES = 32
/** The condition on the leader key, part of every transaction. */
const LEADER_CONDITION_ENTRIES = 1
/** Two conditions and one write. */
const NEW_JOB_ENTRIES = 3
/** One condition, one write, and the removal of the job record once the job has ended. */
const PROGRESS_ENTRIES = 3
/** One condition and one write. */
const ROSTER_ENTRIES = 2
/** One condition and one write. */
const TERM_ENTRIES = 2
/** Removal of the progress record and of a cancel request that may be left in the store. */
const REMOVE_JOB_ENTRIES = 2
/** Pause after a failed commit, so that retries do not overload a store that is down. */
const RETRY_MS: Milliseconds = 120
/** A submission is answered with `not-stored` once every attempt within this time was refused. */
const SUBMIT_REFUSE_AFTER_MS: Milliseconds = 400
/**
 * A submission is answered with `unknown` after this time, shortly before the submitter's own timeout of a few
 * seconds.
 */
const SUBMIT_UNKNOWN_AFTER_MS: Milliseconds = 2600
/**
 * Another transaction starts in parallel once the last one has taken this long; a faster store gets larger ones
 * instead.
 */
const PARALLEL_AFTER_MS: Milliseconds = 25
const MAX_PARALLEL_TRANSACTIONS = 12
/** Progress that does not end a job waits this long to be batched with more, because each transaction has a cost. */
const PROGRESS_BATCH_DELAY_MS: Milliseconds = 30

/** `exists`: the store already had the job, written by this leader or by another instance. */
export type StoredOutcome = "stored" | "exists" | "not-stored" | "unknown"

export interface Ledger {
  readonly storeJob: (job: PipelineJob) => Promise<StoredOutcome>
  /** Writes the latest progress of a job. Resolves when this or later progress is stored. */
  readonly writeProgress: (job: string, progress: Progress) => Promise<void>
  /** Resolves when the latest progress of a job is stored; undefined if nothing is pending. */
  readonly whenStored: (job: string) => Promise<void> | undefined
  /** Sets the revision of a progress key that was read from the store. */
  readonly setProgressRevision: (job: string, revision: number) => void
  readonly writeRoster: (text: string) => Promise<void>
  readonly setRosterRevision: (revision: number) => void
  /** Writes the record of the term, and calls back when it is stored and no other one has been given since. */
  readonly writeTerm: (text: string, onStored: () => void) => void
  readonly setTermRevision: (revision: number) => void
  /** Removes the progress record of an ended job. */
  readonly removeEndedJob: (job: string) => void
  /** When the latest commit was sent that the store answered with this instance as the leader; -Infinity before. */
  readonly lastConfirmedAt: () => Milliseconds
  readonly commitCount: () => number
  readonly close: () => void
}

export interface LedgerPorts {
  readonly store: KeyValueStore
  readonly term: number
  readonly clock: Clock
  readonly log: Logger
  /** True while the store is failing; new jobs are then refused before anything is written. */
  readonly isStoreFailing: () => boolean
  /** Called once, when the leader key no longer names this leader. */
  readonly onSuperseded: () => void
}

interface NewJob {
  readonly job: PipelineJob
  readonly submittedAt: Milliseconds
  /** True once a failed attempt may nevertheless have been applied. */
  maybeWritten: boolean
  readonly resolvers: ((outcome: StoredOutcome) => void)[]
}

interface PendingProgress {
  progress: Progress
  version: number
  readonly waiters: {readonly version: number; readonly resolve: () => void}[]
}

interface PendingTerm {
  readonly text: string
  readonly onStored: () => void
}

interface Batch {
  readonly transaction: Transaction
  readonly newJobs: readonly NewJob[]
  readonly progress: readonly {readonly job: string; readonly version: number; readonly ended: boolean}[]
  readonly rosterVersion: number | undefined
  readonly term: PendingTerm | undefined
  readonly removedJobs: readonly string[]
}

/** Creates the writer of the leader of one term. */
export function createLedger(ports: LedgerPorts): Ledger {
  const {store, term, clock, log, isStoreFailing, onSuperseded} = ports
  const newJobs = new Map<string, NewJob>()
  const pendingProgress = new Map<string, PendingProgress>()
  const revisions = new Map<string, number>()
  const jobsToRemove = new Set<string>()
  let roster: {text: string; version: number; resolve: (() => void)[]} | undefined
  let rosterRevision = 0
  let termRecord: PendingTerm | undefined
  let termRevision = 0
  let isTermInFlight = false
  let lastVersion = 0
  /** Jobs with a key in a transaction that the store has not answered yet. */
  const jobsInFlight = new Set<string>()
  let isRosterInFlight = false
  let openTransactions = 0
  let lastBegunAt = 0
  /** Pauses after failed transactions that are not over yet. */
  let openPauses = 0
  let isClosed = false
  let lastConfirmedAt = -Infinity
  let commitCount = 0

  function buildBatch(): Batch {
    const conditions: KeyCondition[] = [{key: LEADER_KEY, revision: term}]
    const writes: {key: string; value: string}[] = []
    const removals: string[] = []
    const takenJobs: NewJob[] = []
    const takenProgress: {job: string; version: number; ended: boolean}[] = []
    const takenRemovals: string[] = []
    let freeEntries = MAX_TRANSACTION_ENTRIES - LEADER_CONDITION_ENTRIES
    if (roster && !isRosterInFlight) {
      conditions.push({key: ROSTER_KEY, revision: rosterRevision})
      writes.push({key: ROSTER_KEY, value: roster.text})
      freeEntries -= ROSTER_ENTRIES
    }
    const takenTerm = isTermInFlight ? undefined : termRecord
    if (takenTerm) {
      conditions.push({key: TERM_KEY, revision: termRevision})
      writes.push({key: TERM_KEY, value: takenTerm.text})
      freeEntries -= TERM_ENTRIES
    }
    for (const entry of newJobs.values()) {
      if (freeEntries < NEW_JOB_ENTRIES) break
      const {job} = entry
      if (jobsInFlight.has(job.id)) continue
      conditions.push({key: jobKey(job.id), revision: 0}, {key: progressKey(job.id), revision: 0})
      writes.push({key: jobKey(job.id), value: formatJob(job)})
      takenJobs.push(entry)
      freeEntries -= NEW_JOB_ENTRIES
    }
    for (const [job, pending] of pendingProgress) {
      if (freeEntries < PROGRESS_ENTRIES) break
      if (jobsInFlight.has(job)) continue
      const ended = pending.progress.outcome !== undefined
      conditions.push({key: progressKey(job), revision: revisions.get(job) ?? 0})
      writes.push({
        key: progressKey(job),
        value: formatProgress({...pending.progress, writtenAt: clock.wallClock()}),
      })
      if (ended) removals.push(jobKey(job))
      takenProgress.push({job, version: pending.version, ended})
      freeEntries -= PROGRESS_ENTRIES
    }
    for (const job of jobsToRemove) {
      if (freeEntries < REMOVE_JOB_ENTRIES) break
      if (jobsInFlight.has(job)) continue
      removals.push(progressKey(job), cancelKey(job))
      takenRemovals.push(job)
      freeEntries -= REMOVE_JOB_ENTRIES
    }
    return {
      transaction: {conditions, writes, removals},
      newJobs: takenJobs,
      progress: takenProgress,
      rosterVersion: isRosterInFlight ? undefined : roster?.version,
      term: takenTerm,
      removedJobs: takenRemovals,
    }
  }

  function settleJob(entry: NewJob, outcome: StoredOutcome): void {
    newJobs.delete(entry.job.id)
    for (const settle of entry.resolvers) settle(outcome)
  }

  function resolveProgress(job: string, version: number): void {
    const pending = pendingProgress.get(job)
    if (!pending) return
    const remaining = pending.waiters.filter(waiter => waiter.version > version)
    for (const waiter of pending.waiters) if (waiter.version <= version) waiter.resolve()
    if (pending.version <= version) pendingProgress.delete(job)
    else pending.waiters.splice(0, pending.waiters.length, ...remaining)
  }

  /** The answer may have been under way for long, so it proves nothing about the time after the call was sent. */
  function confirm(sentAt: Milliseconds): void {
    lastConfirmedAt = Math.max(lastConfirmedAt, sentAt)
  }

  function handleCommitted(batch: Batch, revision: number, sentAt: Milliseconds): void {
    confirm(sentAt)
    commitCount += 1
    for (const entry of batch.newJobs) settleJob(entry, "stored")
    for (const {job, version} of batch.progress) {
      revisions.set(job, revision)
      resolveProgress(job, version)
    }
    for (const job of batch.removedJobs) {
      jobsToRemove.delete(job)
      revisions.delete(job)
    }
    if (batch.term) {
      termRevision = revision
      if (termRecord === batch.term) {
        termRecord = undefined
        batch.term.onStored()
      }
    }
    if (batch.rosterVersion !== undefined) {
      rosterRevision = revision
      if (roster?.version === batch.rosterVersion) {
        for (const resolve of roster.resolve) resolve()
        roster = undefined
      }
    }
  }

  /**
   * Takes the current revisions from the store's answer. They may stem from an earlier attempt whose reply was lost.
   */
  function handleConflict(batch: Batch, items: readonly StoredItem[], sentAt: Milliseconds): void {
    const actual = new Map(items.map(item => [item.key, item.revision]))
    if ((actual.get(LEADER_KEY) ?? 0) !== term) {
      isClosed = true
      log.warn({event: "superseded", term}, "the leader key names another leader")
      onSuperseded()
      return
    }
    confirm(sentAt)
    for (const entry of batch.newJobs) {
      const {id} = entry.job
      if (actual.has(jobKey(id)) || actual.has(progressKey(id))) settleJob(entry, "exists")
    }
    for (const {job} of batch.progress) revisions.set(job, actual.get(progressKey(job)) ?? 0)
    if (batch.term) termRevision = actual.get(TERM_KEY) ?? 0
    if (batch.rosterVersion !== undefined) rosterRevision = actual.get(ROSTER_KEY) ?? 0
  }

  function handleFailure(batch: Batch, certainty: "not-run" | "unknown"): void {
    for (const entry of batch.newJobs) if (certainty === "unknown") entry.maybeWritten = true
    refuseOverdueJobs()
    openPauses += 1
    // Timers may fire a fraction of a millisecond early by the clock, so the end of the pause is not found by the clock.
    clock.after(RETRY_MS, () => {
      openPauses -= 1
      commitNext()
    })
  }

  /**
   * Answers submissions that have waited too long: `not-stored` if certainly nothing was written, `unknown`
   * otherwise.
   */
  function refuseOverdueJobs(): void {
    for (const entry of [...newJobs.values()]) {
      const age = clock.now() - entry.submittedAt
      if (!entry.maybeWritten && !jobsInFlight.has(entry.job.id) && age > SUBMIT_REFUSE_AFTER_MS)
        settleJob(entry, "not-stored")
      else if (age > SUBMIT_UNKNOWN_AFTER_MS) settleJob(entry, "unknown")
    }
  }

  function isEmpty(batch: Batch): boolean {
    return batch.transaction.writes.length === 0 && batch.transaction.removals.length === 0
  }

  function jobsOf(batch: Batch): readonly string[] {
    return [
      ...batch.newJobs.map(({job}) => job.id),
      ...batch.progress.map(({job}) => job),
      ...batch.removedJobs,
    ]
  }

  async function commit(batch: Batch): Promise<void> {
    openTransactions += 1
    const sentAt = clock.now()
    lastBegunAt = sentAt
    const jobs = jobsOf(batch)
    for (const job of jobs) jobsInFlight.add(job)
    if (batch.rosterVersion !== undefined) isRosterInFlight = true
    if (batch.term) isTermInFlight = true
    clock.after(PARALLEL_AFTER_MS, commitNext)
    const result = await store.commit(batch.transaction)
    openTransactions -= 1
    for (const job of jobs) jobsInFlight.delete(job)
    if (batch.rosterVersion !== undefined) isRosterInFlight = false
    if (batch.term) isTermInFlight = false
    if (isClosed) return
    if (result.isErr()) {
      handleFailure(batch, result.error.certainty)
      log.debug({event: "commit-failed", reason: result.error.message}, "a commit to the store failed")
    } else if (result.value.type === "committed") handleCommitted(batch, result.value.revision, sentAt)
    else handleConflict(batch, result.value.items, sentAt)
    commitNext()
  }

  /** Starts the next transaction, unless enough are open or the last one started only just now. */
  function commitNext(): void {
    const now = clock.now()
    if (isClosed || openPauses > 0 || openTransactions >= MAX_PARALLEL_TRANSACTIONS) return
    if (openTransactions > 0 && now - lastBegunAt < PARALLEL_AFTER_MS) return
    const batch = buildBatch()
    if (!isEmpty(batch)) void commit(batch)
  }

  return {
    storeJob(job) {
      return new Promise(resolve => {
        const known = newJobs.get(job.id)
        if (known) known.resolvers.push(resolve)
        else if (isStoreFailing()) resolve("not-stored")
        else newJobs.set(job.id, {job, submittedAt: clock.now(), maybeWritten: false, resolvers: [resolve]})
        commitNext()
      })
    },
    writeProgress(job, progress) {
      return new Promise(resolve => {
        lastVersion += 1
        const version = lastVersion
        const known = pendingProgress.get(job)
        if (known) {
          known.progress = progress
          known.version = version
          known.waiters.push({version, resolve})
        } else pendingProgress.set(job, {progress, version, waiters: [{version, resolve}]})
        if (progress.outcome === undefined) clock.after(PROGRESS_BATCH_DELAY_MS, commitNext)
        else commitNext()
      })
    },
    whenStored(job) {
      const pending = pendingProgress.get(job)
      if (!pending) return undefined
      return new Promise(resolve => pending.waiters.push({version: pending.version, resolve}))
    },
    setProgressRevision: (job, revision) => void revisions.set(job, revision),
    writeRoster(text) {
      return new Promise(resolve => {
        lastVersion += 1
        roster = {text, version: lastVersion, resolve: [...(roster?.resolve ?? []), resolve]}
        commitNext()
      })
    },
    setRosterRevision(revision) {
      rosterRevision = revision
    },
    writeTerm(text, onStored) {
      termRecord = {text, onStored}
      commitNext()
    },
    setTermRevision(revision) {
      termRevision = revision
    },
    removeEndedJob(job) {
      jobsToRemove.add(job)
      commitNext()
    },
    lastConfirmedAt: () => lastConfirmedAt,
    commitCount: () => commitCount,
    close() {
      isClosed = true
      for (const entry of [...newJobs.values()]) {
        // An open transaction may still be applied.
        const maybeWritten = entry.maybeWritten || jobsInFlight.has(entry.job.id)
        settleJob(entry, maybeWritten ? "unknown" : "not-stored")
      }
    },
  }
}
