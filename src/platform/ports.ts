/**
 * Interfaces between the scheduler and the platform that it runs on: the store, the instance list, the workers and the
 * health checks of backend servers. Only the adapters that implement them know how the platform is reached, so another
 * platform needs nothing but another set of adapters.
 */
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import type {CallFailed, StoreUnavailable, VersionConflict} from "../core/errors.js"
import type {Resources} from "../core/resources.js"
import type {Attempt, AttemptEnd} from "../jobs/attempt.js"

/** A key with its value. The version of a key grows with each change and is never reused; 0 means absent. */
export interface StoredValue {
  readonly key: string
  readonly value: string
  readonly version: number
}

export interface WatchResult {
  /** Revision of the store up to which `changed` is complete; passed as `after` to the next watch. */
  readonly revision: number
  readonly changed: readonly StoredValue[]
}

/** The platform's key-value service. Each call, also a watch that waits, counts towards its rate limits. */
export interface Store {
  readonly get: (key: string) => Promise<Result<StoredValue | undefined, StoreUnavailable>>
  readonly list: (prefix: string) => Promise<Result<readonly StoredValue[], StoreUnavailable>>
  /** Writes the value if the key is at the expected version (0 for an absent key). Returns the new version. */
  readonly compareAndSwap: (
    key: string,
    expectedVersion: number,
    value: string,
  ) => Promise<Result<number, StoreUnavailable | VersionConflict>>
  readonly remove: (
    key: string,
    expectedVersion: number,
  ) => Promise<Result<void, StoreUnavailable | VersionConflict>>
  /** Resolves when a key under the prefix has changed after the given revision, or when the wait is over. */
  readonly watch: (
    prefix: string,
    after: number,
    wait: Milliseconds,
  ) => Promise<Result<WatchResult, StoreUnavailable>>
}

export type ListedKind = "entry" | "worker"

/** An entry of the platform's instance list, which lags behind the actual state. */
export interface ListedInstance {
  readonly name: string
  readonly kind: ListedKind
  readonly status: "live" | "leaving"
  readonly dataCentre: string
  /** The peer address of an entry instance, or the address of a worker's control interface. */
  readonly address: string
  /** Like the fields below, set for workers only. */
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

/** An attempt that runs on a worker, and the resources that it used when the worker last measured them. */
export interface RunningAttempt {
  readonly attempt: Attempt
  readonly used: Resources
  readonly ranFor: Milliseconds
}

/** A request that carries orders to a worker. The worker answers with a report. */
export interface WorkerSync {
  readonly owner: string
  readonly epoch: number
  /** The worker's incarnation that the orders are meant for; empty to request only a report. */
  readonly boot: string
  /**
   * Time on the worker's clock, taken from an earlier report, at which leases begin. Negative when no report is known:
   * then the worker starts nothing and renews no lease.
   */
  readonly basis: Milliseconds
  readonly lease: Milliseconds
  readonly starts: readonly Attempt[]
  readonly stops: readonly string[]
  readonly checkpoints: readonly string[]
  /** Attempts to throttle because they use more resources than they declared. */
  readonly throttles: readonly string[]
  /** Ended attempts whose outcome has reached the home of their job, so that the worker need not keep it. */
  readonly acknowledged: readonly string[]
  /** Number of the last end that the owner has received; the report contains only later ones. */
  readonly endedAfter: number
  /** How long the worker may delay its answer while no further attempt ends. */
  readonly wait: Milliseconds
}

export interface RefusedStart {
  readonly attempt: string
  readonly reason: string
}

export interface WorkerReport {
  /** The worker's incarnation. It changes when the worker restarts, which loses all that it ran. */
  readonly boot: string
  /** Time on the worker's clock at which the report was written. */
  readonly clock: Milliseconds
  /** The highest epoch that the worker has seen. It ignores the orders of a request with a lower epoch. */
  readonly epoch: number
  readonly running: readonly RunningAttempt[]
  /** Ends that the owner has neither received nor acknowledged. */
  readonly ended: readonly AttemptEnd[]
  /** Number of the worker's latest end. */
  readonly endedThrough: number
  readonly refused: readonly RefusedStart[]
  readonly leaving: boolean
}

export interface WorkerGateway {
  readonly sync: (address: string, request: WorkerSync) => Promise<Result<WorkerReport, CallFailed>>
}

/** The health that a backend server reports. */
export interface BackendHealth {
  /** Requests that the backend server is processing. */
  readonly inHand: number
  readonly leaving: boolean
}

export interface BackendProbe {
  readonly health: (address: string) => Promise<Result<BackendHealth, CallFailed>>
}
