/**
 * The leader's writer to the store. All durable state is written here, batched so that one transaction holds many
 * writes. Each transaction is conditional on the leader key, so a leader that has been replaced writes nothing, and
 * on the last known revision of each key that it writes, so a transaction that the store applies late never
 * overwrites a newer value.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {PipelineJob} from "../pipelines/model.js"
import type {Progress} from "../pipelines/progress.js"
import type {KeyValueStore, StoredItem} from "../pipelines/ports.js"
import type {LedgerWrite, PendingWrite} from "./ledgerbatch.js"
import {chooseWrites, REJECTED_RETRY_MS} from "./ledgerbatch.js"
import type {RemainingRuns} from "./workspaceuse.js"
import {
  cancelKey,
  formatJob,
  formatProgress,
  jobKey,
  LEADER_KEY,
  progressKey,
  unstoredConditions,
} from "./records.js"

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
  readonly writeProgress: (job: string, progress: Progress, remaining?: RemainingRuns) => Promise<void>
  /** Resolves when the latest progress of a job is stored; undefined if nothing is pending. */
  readonly whenStored: (job: string) => Promise<void> | undefined
  /** Sets the revision of a key that was read from the store. */
  readonly setRevision: (key: string, revision: number) => void
  /** Writes a record of the leader, and calls back when it is stored and no other text has been given since. */
  readonly writeRecord: (key: string, text: string, onStored: () => void) => void
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
  /** What the job still occupies, if it has ended. */
  remaining: RemainingRuns | undefined
  version: number
  readonly waiters: {readonly version: number; readonly resolve: () => void}[]
}

interface PendingRecord {
  readonly text: string
  readonly onStored: () => void
}

/** Creates the writer of the leader of one term. */
export function createLedger(ports: LedgerPorts): Ledger {
  const {store, term, clock, log, isStoreFailing, onSuperseded} = ports
  const records = new Map<string, PendingRecord>()
  const newJobs = new Map<string, NewJob>()
  const pendingProgress = new Map<string, PendingProgress>()
  const jobsToRemove = new Set<string>()
  /** The last known revisions of the keys of progress and records. */
  const revisions = new Map<string, number>()
  let lastVersion = 0
  /** What the transactions write that the store has not answered yet. */
  const subjectsInFlight = new Set<string>()
  /** What is written by itself since the store rejected it together with others, and from when on. */
  const isolated = new Map<string, Milliseconds>()
  let openTransactions = 0
  let lastBegunAt = 0
  /** Pauses after failed transactions that are not over yet. */
  let openPauses = 0
  let isClosed = false
  let lastConfirmedAt = -Infinity
  let commitCount = 0

  function prepareRecord(key: string, record: PendingRecord): LedgerWrite {
    return {
      subject: key,
      transaction: {
        conditions: [{key, revision: revisions.get(key) ?? 0}],
        writes: [{key, value: record.text}],
        removals: [],
      },
      onCommitted(revision) {
        revisions.set(key, revision)
        if (records.get(key) !== record) return
        records.delete(key)
        record.onStored()
      },
      onConflict: actual => void revisions.set(key, actual.get(key) ?? 0),
    }
  }

  function prepareNewJob(entry: NewJob): LedgerWrite {
    const {id} = entry.job
    return {
      subject: id,
      transaction: {
        conditions: unstoredConditions(id),
        writes: [{key: jobKey(id), value: formatJob(entry.job)}],
        removals: [],
      },
      onCommitted: () => settleJob(entry, "stored"),
      onConflict(actual) {
        if (actual.has(jobKey(id)) || actual.has(progressKey(id))) settleJob(entry, "exists")
      },
      onFailed(certainty) {
        if (certainty === "unknown") entry.maybeWritten = true
      },
      onRejected: () => settleJob(entry, entry.maybeWritten ? "unknown" : "not-stored"),
    }
  }

  function prepareProgress(job: string, {progress, remaining, version}: PendingProgress): LedgerWrite {
    const key = progressKey(job)
    return {
      subject: job,
      transaction: {
        conditions: [{key, revision: revisions.get(key) ?? 0}],
        writes: [{key, value: formatProgress({...progress, remaining, writtenAt: clock.wallClock()})}],
        removals: progress.outcome === undefined ? [] : [jobKey(job)],
      },
      onCommitted(revision) {
        revisions.set(key, revision)
        resolveProgress(job, version)
      },
      onConflict: actual => void revisions.set(key, actual.get(key) ?? 0),
    }
  }

  function prepareRemoval(job: string): LedgerWrite {
    return {
      subject: job,
      transaction: {conditions: [], writes: [], removals: [progressKey(job), cancelKey(job)]},
      onCommitted() {
        jobsToRemove.delete(job)
        revisions.delete(progressKey(job))
      },
      onConflict: () => undefined,
    }
  }

  /** Lists what is not in flight: first the few records that starts wait for, then new jobs, which callers wait for. */
  function* listPending(): Generator<PendingWrite> {
    const isIdle = (subject: string): boolean => !subjectsInFlight.has(subject)
    for (const [key, record] of records)
      if (isIdle(key)) yield {subject: key, prepare: () => prepareRecord(key, record)}
    for (const [job, entry] of newJobs)
      if (isIdle(job)) yield {subject: job, prepare: () => prepareNewJob(entry)}
    for (const [job, entry] of pendingProgress)
      if (isIdle(job)) yield {subject: job, prepare: () => prepareProgress(job, entry)}
    for (const job of jobsToRemove) if (isIdle(job)) yield {subject: job, prepare: () => prepareRemoval(job)}
  }

  function settleJob(entry: NewJob, outcome: StoredOutcome): void {
    newJobs.delete(entry.job.id)
    isolated.delete(entry.job.id)
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

  function handleCommitted(writes: readonly LedgerWrite[], revision: number, sentAt: Milliseconds): void {
    confirm(sentAt)
    commitCount += 1
    for (const {subject, onCommitted} of writes) {
      isolated.delete(subject)
      onCommitted(revision)
    }
  }

  /**
   * Takes the current revisions from the store's answer. They may stem from an earlier attempt whose reply was lost.
   */
  function handleConflict(
    writes: readonly LedgerWrite[],
    items: readonly StoredItem[],
    sentAt: Milliseconds,
  ): void {
    const actual = new Map(items.map(item => [item.key, item.revision]))
    if ((actual.get(LEADER_KEY) ?? 0) !== term) {
      isClosed = true
      log.warn({event: "superseded", term}, "the leader key names another leader")
      onSuperseded()
      return
    }
    confirm(sentAt)
    for (const {onConflict} of writes) onConflict(actual)
  }

  function handleFailure(writes: readonly LedgerWrite[], certainty: "not-run" | "unknown"): void {
    for (const {onFailed} of writes) onFailed?.(certainty)
    refuseOverdueJobs()
    openPauses += 1
    // Timers may fire a fraction of a millisecond early by the clock, so the end of the pause is not found by the clock.
    clock.after(RETRY_MS, () => {
      openPauses -= 1
      commitNext()
    })
  }

  /** Sending the same transaction again would be in vain, so its writes are tried one at a time. */
  function handleRejection(writes: readonly LedgerWrite[], reason: string): void {
    const subjects = writes.map(({subject}) => subject)
    log.error(
      {event: "write-rejected", subjects, reason},
      "the store does not take a transaction of the leader",
    )
    const isAlone = writes.length === 1
    const retryAt = isAlone ? clock.now() + REJECTED_RETRY_MS : -Infinity
    for (const {subject, onRejected} of writes) {
      isolated.set(subject, retryAt)
      if (isAlone) onRejected?.()
    }
    // Timers may fire a fraction of a millisecond early by the clock.
    if (isAlone) clock.after(REJECTED_RETRY_MS + 1, commitNext)
  }

  /**
   * Answers submissions that have waited too long: `not-stored` if certainly nothing was written, `unknown`
   * otherwise.
   */
  function refuseOverdueJobs(): void {
    for (const entry of [...newJobs.values()]) {
      const age = clock.now() - entry.submittedAt
      if (!entry.maybeWritten && !subjectsInFlight.has(entry.job.id) && age > SUBMIT_REFUSE_AFTER_MS)
        settleJob(entry, "not-stored")
      else if (age > SUBMIT_UNKNOWN_AFTER_MS) settleJob(entry, "unknown")
    }
  }

  async function commit(writes: readonly LedgerWrite[]): Promise<void> {
    openTransactions += 1
    const sentAt = clock.now()
    lastBegunAt = sentAt
    for (const {subject} of writes) subjectsInFlight.add(subject)
    clock.after(PARALLEL_AFTER_MS, commitNext)
    const parts = writes.map(({transaction}) => transaction)
    const result = await store.commit({
      conditions: [{key: LEADER_KEY, revision: term}, ...parts.flatMap(({conditions}) => conditions)],
      writes: parts.flatMap(part => part.writes),
      removals: parts.flatMap(({removals}) => removals),
    })
    openTransactions -= 1
    for (const {subject} of writes) subjectsInFlight.delete(subject)
    if (isClosed) return
    if (result.isErr()) {
      handleFailure(writes, result.error.certainty)
      log.debug({event: "commit-failed", reason: result.error.message}, "a commit to the store failed")
    } else if (result.value.type === "committed") handleCommitted(writes, result.value.revision, sentAt)
    else if (result.value.type === "conflict") handleConflict(writes, result.value.items, sentAt)
    else handleRejection(writes, result.value.reason)
    commitNext()
  }

  /** Starts the next transaction, unless enough are open or the last one started only just now. */
  function commitNext(): void {
    const now = clock.now()
    if (isClosed || openPauses > 0 || openTransactions >= MAX_PARALLEL_TRANSACTIONS) return
    if (openTransactions > 0 && now - lastBegunAt < PARALLEL_AFTER_MS) return
    const writes = chooseWrites(listPending, isolated, now)
    if (writes.length > 0) void commit(writes)
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
    writeProgress(job, progress, remaining) {
      return new Promise(resolve => {
        lastVersion += 1
        const version = lastVersion
        const known = pendingProgress.get(job)
        if (known) {
          known.progress = progress
          known.remaining = remaining
          known.version = version
          known.waiters.push({version, resolve})
        } else pendingProgress.set(job, {progress, remaining, version, waiters: [{version, resolve}]})
        if (progress.outcome === undefined) clock.after(PROGRESS_BATCH_DELAY_MS, commitNext)
        else commitNext()
      })
    },
    whenStored(job) {
      const pending = pendingProgress.get(job)
      if (!pending) return undefined
      return new Promise(resolve => pending.waiters.push({version: pending.version, resolve}))
    },
    setRevision: (key, revision) => void revisions.set(key, revision),
    writeRecord(key, text, onStored) {
      records.set(key, {text, onStored})
      commitNext()
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
        const maybeWritten = entry.maybeWritten || subjectsInFlight.has(entry.job.id)
        settleJob(entry, maybeWritten ? "unknown" : "not-stored")
      }
    },
  }
}
