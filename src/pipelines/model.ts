/**
 * Immutable types for jobs of several steps, the queues that accept them and the workers that run them. The types are
 * independent of the wire format of the platform; the adapters in `src/platform` decode into them.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"

/** One step of a job: a number of identical tasks and the constraints on running them. Stored as part of the job. */
export interface Step {
  /** Number of tasks. */
  readonly count: number
  /** Demand of one task. */
  readonly demand: Resources
  /** Rough estimate of one task's run time, given by the caller. */
  readonly estimate: Milliseconds
  /** Indexes of earlier steps whose tasks must all be done before this step starts. */
  readonly after: readonly number[]
  /** The tasks write checkpoints from which a later attempt may resume. */
  readonly checkpointing: boolean
  /** All tasks run together or none does, under one attempt number. */
  readonly gang: boolean
  /** The tasks run slower when they are spread over several racks. */
  readonly sameRack: boolean
  /** Label that a worker must have; empty for none. */
  readonly label: string
  /** Rack that holds the input data; empty for none. */
  readonly preferredRack: string
  /** Maximum number of the step's tasks on one worker; 0 for no limit. */
  readonly perWorker: number
  /** A task may run in several copies at once, of which the first to finish counts. */
  readonly speculative: boolean
  /** Long-running tasks: they run until the job is cancelled and are restarted however they end. */
  readonly lasting: boolean
  /** Name of the program that the tasks run. Tasks of the same image are expected to behave alike. */
  readonly image: string
  /** Limit on the tail latency of responses, for latency-sensitive tasks; 0 for all other tasks. */
  readonly tailLimit: Milliseconds
  /** Best-effort tasks: they use processors left over by others, so their demand for processors is not counted. */
  readonly fills: boolean
  /** Maximum number of the step's tasks that the scheduler may keep from running at once by its own actions. */
  readonly mayMiss: number
}

/** Call times of the advice service, and the lifetime of a ticket. Stored as part of the queue. */
export interface AdviceTerms {
  /** Fixed time of a call. */
  readonly base: Milliseconds
  /** Additional time for each worker that a call names. */
  readonly perWorker: Milliseconds
  /** Time after which a ticket has expired. */
  readonly ticketLife: Milliseconds
}

/** A queue of the configuration: the host and path at which jobs are submitted, and the service that runs them. */
export interface Queue {
  readonly name: string
  readonly host: string
  /** Start of the request path. */
  readonly prefix: string
  readonly service: string
  /** Lower values come first, from 0. */
  readonly priority: number
  /** Number of failed attempts of one task, or one gang, at which the job fails. */
  readonly attempts: number
  /** The latency objective of a job is `slackFactor` times the length of its critical path, plus `latencyTarget`. */
  readonly slackFactor: number
  readonly latencyTarget: Milliseconds
  /** Undefined for a queue whose tasks need no tickets. */
  readonly advice: AdviceTerms | undefined
  /** Calls need no key of a workspace. Undefined in the records of earlier versions. */
  readonly isPublic?: boolean | undefined
}

/** A job as accepted. It is stored once, as JSON, and never changed. */
export interface PipelineJob {
  readonly id: string
  /** The queue that accepted the job, as configured at that time. */
  readonly queue: Queue
  /** Passed to workers unchanged. */
  readonly payload: string
  readonly steps: readonly Step[]
  /** Number of times that the steps run; 1 for a job without a schedule. */
  readonly occurrences: number
  /** Wall-clock time of the first occurrence, in milliseconds since the Unix epoch; 0 for immediately. */
  readonly firstDue: number
  /** Time from one occurrence to the next. */
  readonly interval: Milliseconds
  /** Wall-clock time of acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number
  /** Name of the workspace that submitted the job. Undefined for jobs without one and in records of earlier versions. */
  readonly workspace?: string | undefined
}

/** A service: the pool of workers that run the jobs of its queues. */
export interface Service {
  readonly name: string
  /** The workers themselves refuse tasks that do not fit. */
  readonly workersCheckFit: boolean
  /** The workers of the pool are switched off. */
  readonly standby: boolean
}

/** A user of a shared deployment, with its share of the workers. */
export interface Workspace {
  readonly name: string
  /** The keys that calls of the workspace carry. They are secrets. */
  readonly keys: readonly string[]
  /** Share relative to that of other workspaces when there is too little for all; above 0. */
  readonly weight: number
  /** Upper limit for what its tasks occupy on all workers together; 0 stands for no limit in that dimension. */
  readonly limit: Resources
}

/** The operator's configuration. A higher version replaces a lower one. */
export interface FleetConfiguration {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly services: readonly Service[]
  /** Empty where the deployment has no workspaces. */
  readonly workspaces: readonly Workspace[]
  /** Maximum size of a request body, in bytes. */
  readonly bodyLimit: number
}

/** A worker as registered in the platform's store. Stored in the leader's roster. */
export interface WorkerListing {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly dataCentre: string
  readonly labels: readonly string[]
  readonly rack: string
  /** Total resources of the worker, whether in use or not. */
  readonly capacity: Resources
  /** The worker is draining and takes no new tasks. */
  readonly leaving: boolean
  /** Wall-clock start of this incarnation of the worker, in milliseconds since the Unix epoch. */
  readonly bornAt: number
}

/** Identifies one task of one occurrence of a job. */
export interface TaskName {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

const TASK_NAME = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/

/** Returns the text form `job.occurrence.step.index`. */
export function formatTask(task: TaskName): string {
  return `${task.job}.${task.occurrence}.${task.step}.${task.index}`
}

/** Parses the text form of a task name; undefined for any other text. */
export function parseTask(text: string): TaskName | undefined {
  const match = TASK_NAME.exec(text)
  if (!match) return undefined
  const [, job = "", occurrence, step, index] = match
  return {job, occurrence: Number(occurrence), step: Number(step), index: Number(index)}
}

/**
 * How a run on a worker ended, in the words of the worker protocol. `lapsed` means that the lease expired; a word that
 * is not known is read as `lapsed` too.
 */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone"

/** Returns the queue with this host that has the longest prefix of the path. */
export function findQueue(configuration: FleetConfiguration, host: string, path: string): Queue | undefined {
  let best: Queue | undefined
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue
    if (!best || queue.prefix.length > best.prefix.length) best = queue
  }
  return best
}
