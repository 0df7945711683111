/** What planning and leading need from outside, as narrow ports. The adapters of a platform implement them. */
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import type {CallFailed, StoreUnavailable} from "../core/errors.js"
import type {FleetConfiguration, RunEnd, WorkerListing} from "./model.js"

/** One key of the store. Revisions come from one counter that only grows; an absent key has revision 0. */
export interface StoredItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

export interface KeyCondition {
  readonly key: string
  /** The revision that the key must have; 0 for a key that must not exist. */
  readonly revision: number
}

/** All or nothing. */
export interface Transaction {
  readonly conditions: readonly KeyCondition[]
  readonly writes: readonly {readonly key: string; readonly value: string}[]
  readonly removals: readonly string[]
}

export type TransactionResult =
  | {readonly type: "committed"; readonly revision: number}
  /** A condition does not hold. The items are the keys of the conditions as they are now; absent ones are left out. */
  | {readonly type: "conflict"; readonly items: readonly StoredItem[]}

/** A key that has changed; without a value when it was removed. */
export interface KeyChange {
  readonly key: string
  readonly revision: number
  readonly value: string | undefined
}

export type WatchAnswer =
  | {readonly type: "changes"; readonly changes: readonly KeyChange[]; readonly revision: number}
  /** The changes since the given revision are no longer kept: read the list again. */
  | {readonly type: "history-lost"}

export interface KeyList {
  readonly items: readonly StoredItem[]
  /** The store's revision when the first page was read: watch from here. */
  readonly revision: number
}

export interface KeyValueStore {
  readonly read: (key: string) => Promise<Result<StoredItem | undefined, StoreUnavailable>>
  readonly list: (prefix: string) => Promise<Result<KeyList, StoreUnavailable>>
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
  readonly percent: number
  /** For a task that serves: the tail of its response times in milliseconds. For others: cores in use. */
  readonly gauge: number
}

export interface EndedTask {
  /** Grows with each end in one life of the worker, from 1. */
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** What a worker runs and what has ended there that its caller has not noted yet. */
export interface WorkerReport {
  readonly clock: Milliseconds
  readonly bornAt: number
  readonly running: readonly RunningTask[]
  readonly ended: readonly EndedTask[]
}

export interface StartOrder {
  readonly task: string
  readonly attempt: number
  readonly payload: string
  /** On the worker's clock. Everything on the worker ends when it passes. */
  readonly deadline: Milliseconds
  readonly term: number
  readonly ticket: string
  readonly checkpoint: string
}

export type StartAnswer =
  | {readonly type: "started"}
  /** Nothing was started. */
  | {
      readonly type: "refused"
      readonly reason: "superseded" | "old" | "late" | "room" | "ticket" | "busy" | "malformed"
    }
  /** The worker at this address is another one. */
  | {readonly type: "replaced"}

export type ReportAnswer =
  | {readonly type: "report"; readonly report: WorkerReport}
  | {readonly type: "superseded"}
  | {readonly type: "replaced"}

export type OrderAnswer = "done" | "superseded" | "replaced" | "refused"

export interface WorkerTarget {
  readonly id: string
  readonly address: string
}

export interface ReportRequest {
  readonly term: number
  /** Ends up to this number are noted. */
  readonly noted: number
  /** New end of the lease of everything on the worker, on its clock; undefined to leave it. */
  readonly deadline: Milliseconds | undefined
  /** How long the worker may wait for an end. */
  readonly wait: Milliseconds
}

export interface WorkerCalls {
  readonly report: (target: WorkerTarget, request: ReportRequest) => Promise<Result<ReportAnswer, CallFailed>>
  readonly start: (target: WorkerTarget, order: StartOrder) => Promise<Result<StartAnswer, CallFailed>>
  readonly stop: (
    target: WorkerTarget,
    task: string,
    attempt: number,
    term: number,
  ) => Promise<Result<OrderAnswer, CallFailed>>
  /** Lets a task work at this share of its speed, from 0 to 100. */
  readonly pace: (
    target: WorkerTarget,
    task: string,
    attempt: number,
    percent: number,
    term: number,
  ) => Promise<Result<OrderAnswer, CallFailed>>
}

export interface Permit {
  readonly worker: string
  readonly ticket: string
}

export interface AdviceCalls {
  /** Asks which of the workers may run the step `job.occurrence.step`. */
  readonly ask: (
    step: string,
    workers: readonly string[],
    timeout: Milliseconds,
  ) => Promise<Result<readonly Permit[], CallFailed>>
}

/** What the platform's store says of workers and configuration, decoded. Unreadable entries are left out. */
export interface FleetReader {
  readonly workerPrefix: string
  readonly operatorPrefix: string
  readonly configurationKey: string
  readonly decodeWorker: (key: string, value: string) => WorkerListing | undefined
  readonly decodeConfiguration: (value: string) => FleetConfiguration | undefined
}
