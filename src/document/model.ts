/** The operators' configuration document as immutable values. One document describes one environment. */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"

export interface ServiceDefinition {
  readonly name: string
  /** Pool of workers that host the backend servers of the service. */
  readonly pool: string
  /** Requests that one backend server may have in hand. */
  readonly slots: number
  /** Connections that one backend server may have open. */
  readonly connections: number
  /** Requests that may wait at one entry instance. */
  readonly queue: number
  /** Deadline of a request that states none. */
  readonly deadline: Milliseconds
  /** Requests expected to take less than this are queued apart from longer ones. */
  readonly shortUnder: Milliseconds
  /** Retries allowed, as a share of first attempts. */
  readonly retryShare: number
}

export type WorkloadKind = "batch" | "gang" | "service"
export type PlacementPolicyName = "pack" | "balance" | "spread"

export interface WorkloadDefinition {
  readonly name: string
  readonly kind: WorkloadKind
  readonly pool: string
  readonly policy: PlacementPolicyName
  /** From 0 (lowest) to 9. Tasks at or above `URGENT_PRIORITY` are urgent. */
  readonly priority: number
  /** False for work that may run at most once. */
  readonly restartable: boolean
  /** True when tasks may be checkpointed to make room. */
  readonly checkpointable: boolean
  /** Replicas of a service that stay up during planned changes. */
  readonly minimumAvailable: number
}

export interface TeamDefinition {
  readonly name: string
  /** Share of the fleet relative to other teams. */
  readonly weight: number
  /** The most that the team's running tasks may use together. */
  readonly quota: Resources
  /** Requests that the team may have open at one entry instance. */
  readonly openRequests: number
}

export interface Limits {
  readonly maximumBodyBytes: number
  readonly maximumDeadline: Milliseconds
  readonly maximumTasks: number
  readonly openRequestsPerCaller: number
}

/** Order in which a new document takes force, for changes that are tried on part of the environment first. */
export interface Rollout {
  /** Data centres that go first; empty when the document takes force everywhere at once. */
  readonly first: readonly string[]
  readonly hold: Milliseconds
  /** Share of requests answered `not run` or `unknown` in the first data centres that holds the rest back. */
  readonly maximumFailureShare: number
}

export interface EnvironmentDocument {
  readonly environment: string
  readonly jobGroups: number
  /** Weight of tight packing against short waiting, from 0 to 1. */
  readonly packingWeight: number
  readonly dataCentres: readonly string[]
  readonly services: ReadonlyMap<string, ServiceDefinition>
  readonly workloads: ReadonlyMap<string, WorkloadDefinition>
  readonly teams: ReadonlyMap<string, TeamDefinition>
  readonly limits: Limits
  readonly rollout: Rollout
}

/** Tasks at or above this priority are urgent. */
export const URGENT_PRIORITY = 8
