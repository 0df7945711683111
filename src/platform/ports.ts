/**
 * What the system needs of the platform, as narrow ports. Another platform is another set of adapters; nothing
 * else in the system knows how the platform is reached.
 */
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import type {CallFailed, StoreUnavailable, VersionConflict} from "../core/errors.js"
import type {Resources} from "../core/resources.js"
import type {Attempt, AttemptEnd} from "../jobs/attempt.js"

/** A stored value. Versions of a key grow with each change and are never used again; 0 means absent. */
export interface StoredValue {
  readonly key: string
  readonly value: string
  readonly version: number
}

export interface WatchResult {
  /** Give it as `after` to the next watch. */
  readonly revision: number
  readonly changed: readonly StoredValue[]
}

/** The platform's key-value service. Each call, a waiting watch included, counts against its rates. */
export interface Store {
  readonly get: (key: string) => Promise<Result<StoredValue | undefined, StoreUnavailable>>
  readonly list: (prefix: string) => Promise<Result<readonly StoredValue[], StoreUnavailable>>
  /** Writes when the key is at the expected version, 0 for an absent key. Gives the new version. */
  readonly compareAndSwap: (
    key: string,
    expectedVersion: number,
    value: string,
  ) => Promise<Result<number, StoreUnavailable | VersionConflict>>
  readonly remove: (
    key: string,
    expectedVersion: number,
  ) => Promise<Result<void, StoreUnavailable | VersionConflict>>
  /** Waits until a key under the prefix has changed after the revision, or until the wait ends. */
  readonly watch: (
    prefix: string,
    after: number,
    wait: Milliseconds,
  ) => Promise<Result<WatchResult, StoreUnavailable>>
}

export type ListedKind = "entry" | "worker"

/** One line of the platform's lagging list. */
export interface ListedInstance {
  readonly name: string
  readonly kind: ListedKind
  readonly status: "live" | "leaving"
  readonly dataCentre: string
  /** Entry instances: peer address. Workers: address of the worker's control interface. */
  readonly address: string
  /** Workers only. */
  readonly rack: string
  readonly pool: string
  readonly capacity: Resources
  /** Backend server that the worker hosts; empty when it hosts none. */
  readonly backendAddress: string
  readonly service: string
}

export interface InstanceList {
  readonly read: () => Promise<Result<readonly ListedInstance[], CallFailed>>
}

/** Resources that a running task was seen to use, with the lag of the worker's reports. */
export interface RunningAttempt {
  readonly attempt: Attempt
  readonly used: Resources
  readonly ranFor: Milliseconds
}

/** One exchange with a worker: orders out, a report back. */
export interface WorkerSync {
  readonly owner: string
  readonly epoch: number
  /** The boot of the worker that the orders are meant for; empty when only a report is wanted. */
  readonly boot: string
  /**
   * Instant on the worker's clock, from an earlier report, from which leases count. Negative when none is known:
   * then nothing is started and no lease is renewed.
   */
  readonly basis: Milliseconds
  readonly lease: Milliseconds
  readonly starts: readonly Attempt[]
  readonly stops: readonly string[]
  readonly checkpoints: readonly string[]
  /** Attempts to slow down because they use more than they declared. */
  readonly throttles: readonly string[]
  /** Ended attempts whose outcome has reached its home and need not be kept. */
  readonly acknowledged: readonly string[]
  /** Number of the last end that the owner has seen; the report tells of later ones only. */
  readonly endedAfter: number
  /** How long the worker may hold the call while nothing new has ended. */
  readonly wait: Milliseconds
}

export interface RefusedStart {
  readonly attempt: string
  readonly reason: string
}

export interface WorkerReport {
  /** Changes when the worker restarts and forgets what it ran. */
  readonly boot: string
  /** The worker's clock when it wrote the report. */
  readonly clock: Milliseconds
  /** The highest epoch that the worker has seen. A report for a lower epoch carries out no orders. */
  readonly epoch: number
  readonly running: readonly RunningAttempt[]
  /** Ends that the owner has not seen and that are not acknowledged. */
  readonly ended: readonly AttemptEnd[]
  /** Number of the last end so far. */
  readonly endedThrough: number
  readonly refused: readonly RefusedStart[]
  readonly leaving: boolean
}

export interface WorkerGateway {
  readonly sync: (address: string, request: WorkerSync) => Promise<Result<WorkerReport, CallFailed>>
}

/** What a backend server says of itself. */
export interface BackendHealth {
  readonly inHand: number
  readonly leaving: boolean
}

export interface BackendProbe {
  readonly health: (address: string) => Promise<Result<BackendHealth, CallFailed>>
}
