/** Immutable model of the configuration document that operators write. One document describes one environment. */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"

/** A `[service.NAME]` section. */
export interface ServiceDefinition {
  readonly name: string
  /** Pool of the workers that run the backend servers of the service. */
  readonly pool: string
  /** Maximum number of requests that one backend server handles at a time. */
  readonly slots: number
  /** Maximum number of open connections to one backend server; at least `slots`. */
  readonly connections: number
  /** Maximum length of the request queue at one entry instance. */
  readonly queue: number
  /** Deadline of a request that sets none, counted from its arrival. */
  readonly deadline: Milliseconds
  /** Requests expected to take less than this are queued separately from longer ones. */
  readonly shortUnder: Milliseconds
  /** Retry budget as a share of first attempts. */
  readonly retryShare: number
}

export type WorkloadKind = "batch" | "gang" | "service"
export type PlacementPolicyName = "pack" | "balance" | "spread"

/** A `[workload.NAME]` section. */
export interface WorkloadDefinition {
  readonly name: string
  readonly kind: WorkloadKind
  readonly pool: string
  readonly policy: PlacementPolicyName
  /** From 0 (lowest) to 9. Tasks at or above `URGENT_PRIORITY` are urgent. */
  readonly priority: number
  /** False if a task may run at most once. */
  readonly restartable: boolean
  /** True if tasks may be checkpointed to free capacity for others. */
  readonly checkpointable: boolean
  /** Minimum number of replicas of a service that stay available during planned changes. */
  readonly minimumAvailable: number
}

/** A `[team.NAME]` section. */
export interface TeamDefinition {
  readonly name: string
  /** Weight of the team's share of the fleet, relative to other teams. */
  readonly weight: number
  /** Maximum resources used by all running tasks of the team together. */
  readonly quota: Resources
  /** Maximum number of open requests of the team at one entry instance. */
  readonly openRequests: number
}

/** The `[limits]` section. */
export interface Limits {
  readonly maximumBodyBytes: number
  readonly maximumDeadline: Milliseconds
  readonly maximumTasks: number
  readonly openRequestsPerCaller: number
}

/** The `[rollout]` section: staged rollout of a new document, which applies to some data centres before the others. */
export interface Rollout {
  /** Data centres where the document takes effect first; empty if it takes effect everywhere at once. */
  readonly first: readonly string[]
  /** Time from the acceptance of the document during which the other data centres keep the previous one. */
  readonly hold: Milliseconds
  /**
   * Largest share of requests with execution `not-run` or `unknown` at an instance of the first data centres. While it
   * is exceeded, the other data centres keep the previous document.
   */
  readonly maximumFailureShare: number
}

export interface EnvironmentDocument {
  readonly environment: string
  readonly jobGroups: number
  /** Weight of dense packing against short waiting times, from 0 to 1. */
  readonly packingWeight: number
  readonly dataCentres: readonly string[]
  readonly services: ReadonlyMap<string, ServiceDefinition>
  readonly workloads: ReadonlyMap<string, WorkloadDefinition>
  readonly teams: ReadonlyMap<string, TeamDefinition>
  readonly limits: Limits
  readonly rollout: Rollout
}

/** Lowest priority of urgent tasks. */
export const URGENT_PRIORITY = 8
