/** One attempt to run one task, and how it ended. An attempt is started at most once, on at most one worker. */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"
import type {WorkloadKind} from "../document/model.js"

export interface Attempt {
  /** Unique name of the attempt. */
  readonly attempt: string
  readonly job: string
  readonly task: number
  readonly jobGroup: string
  readonly team: string
  readonly workload: string
  readonly kind: WorkloadKind
  readonly pool: string
  readonly priority: number
  readonly demand: Resources
  /** Run time that the caller declared; 0 when none was. */
  readonly declaredRun: Milliseconds
  /** False for work that may run at most once. */
  readonly restartable: boolean
  readonly checkpointable: boolean
  /** Name of the checkpoint to go on from; empty for a fresh start. */
  readonly checkpoint: string
  /** What the task receives. */
  readonly payload: string
  /** Workers that should not be chosen, because the task failed or ran slowly there. */
  readonly avoid: readonly string[]
}

/**
 * `lost`: the worker was not heard for so long that its leases have surely lapsed; the task may have run.
 * `never-started`: no worker has started the attempt and none will.
 */
export type AttemptOutcome = "succeeded" | "failed" | "stopped" | "checkpointed" | "lost" | "never-started"

export interface AttemptEnd {
  readonly attempt: string
  readonly job: string
  readonly task: number
  readonly jobGroup: string
  readonly outcome: AttemptOutcome
  readonly worker: string
  readonly checkpoint: string
  readonly detail: string
  readonly ranFor: Milliseconds
  /** The most memory that the attempt was seen to use; 0 when not known. */
  readonly peakMemoryMebibytes: number
}
