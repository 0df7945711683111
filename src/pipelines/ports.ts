/**
 * Ports of the planner and the leader: interfaces to the store, the workers and the advice service. The adapters in
 * `src/platform` implement them.
 */
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import type {CallFailed, StoreUnavailable} from "../core/errors.js"
import type {FleetConfiguration, RunEnd, WorkerListing} from "./model.js"

/**
 * One key of the store with its value. All revisions come from one counter of the store that only grows; an absent
 * key has revision 0.
 */
export interface StoredItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

export interface KeyCondition {
  readonly key: string
  /** Revision that the key must have; 0 requires that the key does not exist. */
  readonly revision: number
}

/** Writes and removals that are applied atomically if all conditions hold. */
export interface Transaction {
  readonly conditions: readonly KeyCondition[]
  readonly writes: readonly {readonly key: string; readonly value: string}[]
  readonly removals: readonly string[]
}

export type TransactionResult =
  | {readonly type: "committed"; readonly revision: number}
  /** A condition does not hold. `items` has the present state of the keys in the conditions, without absent keys. */
  | {readonly type: "conflict"; readonly items: readonly StoredItem[]}
  /** The store does not take such a transaction, for example because a value is too long. Nothing was written. */
  | {readonly type: "rejected"; readonly reason: string}

/** A change of one key; the value is undefined when the key was removed. */
export interface KeyChange {
  readonly key: string
  readonly revision: number
  readonly value: string | undefined
}

export type WatchAnswer =
  | {readonly type: "changes"; readonly changes: readonly KeyChange[]; readonly revision: number}
  /** The store has discarded changes after the given revision, so the keys must be listed again. */
  | {readonly type: "history-lost"}

export interface KeyList {
  readonly items: readonly StoredItem[]
  /** Revision of the store when the first page was read, from which to start a watch. */
  readonly revision: number
}

export interface KeyValueStore {
  readonly read: (key: string) => Promise<Result<StoredItem | undefined, StoreUnavailable>>
  /** Reads the list page by page. `onPage` is called after each page but the last, with the number of items so far. */
  readonly list: (
    prefix: string,
    onPage?: (items: number) => void,
  ) => Promise<Result<KeyList, StoreUnavailable>>
  /** Returns the changes after the revision `after`, waiting up to `wait` for the first one. */
  readonly watch: (
    prefix: string,
    after: number,
    wait: Milliseconds,
  ) => Promise<Result<WatchAnswer, StoreUnavailable>>
  readonly commit: (transaction: Transaction) => Promise<Result<TransactionResult, StoreUnavailable>>
}

export interface RunningTask {
  readonly task: string
  readonly attempt: number
  readonly checkpoint: string
  /** Progress of the task in percent, from 0 to 100. */
  readonly percent: number
  /** Tail latency of responses in milliseconds for a latency-sensitive task; number of cores in use for any other. */
  readonly gauge: number
}

export interface EndedTask {
  /** Sequence number of the end within one incarnation of the worker, from 1. */
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** The tasks that run on a worker, and the ends that have not been acknowledged to it. */
export interface WorkerReport {
  /** Present time on the worker's clock. */
  readonly clock: Milliseconds
  /** Wall-clock start of this incarnation of the worker, in milliseconds since the Unix epoch. */
  readonly bornAt: number
  readonly running: readonly RunningTask[]
  readonly ended: readonly EndedTask[]
  /** The worker may have more ends, which it lists once these are acknowledged. */
  readonly mayOmitEnds: boolean
}

export interface StartRequest {
  readonly task: string
  readonly attempt: number
  readonly payload: string
  /**
   * The incarnation of the worker that `deadline` was chosen for, as in `WorkerReport.bornAt`. The order is sent to no
   * other: the clock of a later one has started anew, and the lease would last far longer there.
   */
  readonly incarnation: number
  /** End of the worker's lease, on the worker's clock. Everything on the worker ends when it passes. */
  readonly deadline: Milliseconds
  readonly term: number
  readonly ticket: string
  readonly checkpoint: string
  /** How long to wait for the answer. */
  readonly timeout: Milliseconds
}

export type StartAnswer =
  | {readonly type: "started"}
  /** The worker did not start the task. */
  | {
      readonly type: "refused"
      readonly reason: "superseded" | "old" | "late" | "room" | "ticket" | "busy" | "malformed"
    }
  /** Another worker now has this address. */
  | {readonly type: "replaced"}

export type ReportAnswer =
  | {readonly type: "report"; readonly report: WorkerReport}
  | {readonly type: "superseded"}
  | {readonly type: "replaced"}

export type CommandAnswer = "done" | "superseded" | "replaced" | "refused"

export interface WorkerTarget {
  readonly id: string
  readonly address: string
}

export interface ReportRequest {
  readonly term: number
  /** Ends up to this number are acknowledged: they are stored, and the worker may forget them. */
  readonly acknowledged: number
  /**
   * The incarnation of the worker that the request is meant for, 0 if none is known. Another one is only asked for its
   * report: it numbers its ends anew and its clock has started anew, so nothing is acknowledged and no lease extended.
   */
  readonly incarnation: number
  /** New end of the worker's lease, on the worker's clock; undefined leaves it unchanged. */
  readonly deadline: Milliseconds | undefined
  /** Time for which the worker may delay the report until a task ends. */
  readonly wait: Milliseconds
}

export interface WorkerCalls {
  readonly report: (target: WorkerTarget, request: ReportRequest) => Promise<Result<ReportAnswer, CallFailed>>
  readonly start: (target: WorkerTarget, order: StartRequest) => Promise<Result<StartAnswer, CallFailed>>
  readonly stop: (
    target: WorkerTarget,
    task: string,
    attempt: number,
    term: number,
  ) => Promise<Result<CommandAnswer, CallFailed>>
  /** Limits a task to a percentage of its full speed; 0 pauses it. */
  readonly throttle: (
    target: WorkerTarget,
    task: string,
    attempt: number,
    percent: number,
    term: number,
  ) => Promise<Result<CommandAnswer, CallFailed>>
}

/** A worker on which a step may run, with the ticket that a start there needs. */
export interface Permit {
  readonly worker: string
  readonly ticket: string
}

export interface AdviceCalls {
  /** Asks which of the workers may run the step, which is named as `job.occurrence.step`. */
  readonly ask: (
    step: string,
    workers: readonly string[],
    timeout: Milliseconds,
  ) => Promise<Result<readonly Permit[], CallFailed>>
}

/**
 * The key names and decoders of worker registrations and the configuration in the platform's store. The decoders return
 * undefined for a value that cannot be read.
 */
export interface FleetReader {
  readonly workerPrefix: string
  readonly configurationKey: string
  readonly decodeWorker: (key: string, value: string) => WorkerListing | undefined
  readonly decodeConfiguration: (value: string) => FleetConfiguration | undefined
}
