/**
 * An attempt to run a task, and its end. An attempt is started at most once, on at most one worker; a task that has
 * to run again gets a new attempt. Both types are sent between instances and to workers, so their field names are
 * fixed.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import type {WorkloadKind} from "../document/model.js"

export interface Attempt {
  /** Unique name of the attempt. */
  readonly attempt: string
  readonly job: string
  /** Index of the task in the job. */
  readonly task: number
  readonly jobGroup: string
  readonly team: string
  readonly workload: string
  readonly kind: WorkloadKind
  readonly pool: string
  readonly priority: number
  readonly demand: Resources
  /** Run time that the caller declared; 0 if it declared none. */
  readonly declaredRun: Milliseconds
  /** False for work that must run at most once. */
  readonly restartable: boolean
  readonly checkpointable: boolean
  /** Name of the checkpoint to resume from; empty to start from the beginning. */
  readonly checkpoint: string
  /** Input of the task, as the caller gave it. */
  readonly payload: string
  /** Workers to avoid, because the task failed there. */
  readonly avoid: readonly string[]
}

/**
 * How an attempt ended. `lost`: nothing was received from the worker for so long that its leases must have expired;
 * the task may have run. `never-started`: no worker has started the attempt and none will.
 */
export type AttemptOutcome = "succeeded" | "failed" | "stopped" | "checkpointed" | "lost" | "never-started"

export interface AttemptEnd {
  readonly attempt: string
  readonly job: string
  readonly task: number
  readonly jobGroup: string
  readonly outcome: AttemptOutcome
  readonly worker: string
  /** Name of the checkpoint that the attempt wrote; empty if it wrote none. */
  readonly checkpoint: string
  readonly detail: string
  readonly ranFor: Milliseconds
  /** Peak memory use of the attempt; 0 if unknown. */
  readonly peakMemoryMebibytes: number
}
