/**
 * Jobs of several steps, the queues that take them and the workers that run them, as immutable values. Nothing
 * here knows how a platform spells these things; adapters decode into these types.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Resources} from "../core/resources.js"

/** One step of a job: a number of equal tasks and the conditions under which they may run. */
export interface Step {
  readonly count: number
  /** Demand of one task. */
  readonly demand: Resources
  /** The submitter's rough guess of one task's run time. */
  readonly estimate: Milliseconds
  /** Earlier steps, by index, whose tasks must all have ended as done. */
  readonly after: readonly number[]
  /** The task writes checkpoints from which a later attempt may resume. */
  readonly checkpointing: boolean
  /** All tasks run together or not at all, under one attempt number. */
  readonly gang: boolean
  /** The tasks slow each other down when they run on more than one rack. */
  readonly sameRack: boolean
  /** A label that the worker must carry; empty for none. */
  readonly label: string
  /** The rack where the data lies; empty for none. */
  readonly preferredRack: string
  /** The most tasks of the step on one worker; 0 for no limit. */
  readonly perWorker: number
  /** Several copies of a task may run; the first to finish counts. */
  readonly speculative: boolean
  /** The tasks run until the job is cancelled and are restarted however they end. */
  readonly lasting: boolean
  /** What the tasks run. Tasks of one image behave alike. */
  readonly image: string
  /** Limit for the tail of the response times of a task that serves; 0 for none. */
  readonly tailLimit: Milliseconds
  /** The tasks use processors that others leave unused, so their processors are not counted. */
  readonly fills: boolean
  /** Tasks of the step that may be away at once through acts of this system. */
  readonly mayMiss: number
}

/** How long the advice service takes, and for how long a ticket is good. */
export interface AdviceTerms {
  readonly base: Milliseconds
  readonly perWorker: Milliseconds
  readonly ticketLife: Milliseconds
}

/** A queue of the configuration: where jobs come in and which service's workers run them. */
export interface Queue {
  readonly name: string
  readonly host: string
  readonly prefix: string
  readonly service: string
  /** 0 comes first. */
  readonly priority: number
  /** Failed attempts of one task (or one gang) after which its job has failed. */
  readonly attempts: number
  /** The latency objective is this factor times the job's longest chain of work, and `latencyTarget` more. */
  readonly slackFactor: number
  readonly latencyTarget: Milliseconds
  readonly advice: AdviceTerms | undefined
}

/** A job as it was accepted. Written once and never changed. */
export interface PipelineJob {
  readonly id: string
  /** The queue that took the job, as it was then. */
  readonly queue: Queue
  /** Passed on to workers as it came. */
  readonly payload: string
  readonly steps: readonly Step[]
  /** How often the steps run; 1 for a job without a schedule. */
  readonly occurrences: number
  /** Wall-clock time at which the first occurrence is due, in milliseconds since 1970; 0 for at once. */
  readonly firstDue: number
  readonly interval: Milliseconds
  /** Wall-clock time of acceptance, in milliseconds since 1970. */
  readonly acceptedAt: number
}

/** A service: the pool of workers that its queues use. */
export interface Service {
  readonly name: string
  /** Workers refuse by themselves what does not fit. */
  readonly workersCheckFit: boolean
  /** A pool of machines that are off. */
  readonly standby: boolean
}

/** The operator's configuration. A higher version replaces a lower one. */
export interface FleetConfiguration {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly services: readonly Service[]
  readonly bodyLimit: number
}

/** A worker as its registration tells of it. */
export interface WorkerListing {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly dataCentre: string
  readonly labels: readonly string[]
  readonly rack: string
  /** Everything that the worker has, whether in use or not. */
  readonly capacity: Resources
  readonly leaving: boolean
  /** Wall-clock start of this life of the worker, in milliseconds since 1970. */
  readonly bornAt: number
}

/** The name of one task of one occurrence. */
export interface TaskName {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

const TASK_NAME = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/

/** `job.occurrence.step.index`. */
export function formatTask(task: TaskName): string {
  return `${task.job}.${task.occurrence}.${task.step}.${task.index}`
}

/** Undefined for a text that names no task. */
export function parseTask(text: string): TaskName | undefined {
  const match = TASK_NAME.exec(text)
  if (!match) return undefined
  const [, job = "", occurrence, step, index] = match
  return {job, occurrence: Number(occurrence), step: Number(step), index: Number(index)}
}

/** How a run on a worker ended. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone"

/** The queue whose host matches and whose prefix is the longest that the path begins with. */
export function findQueue(configuration: FleetConfiguration, host: string, path: string): Queue | undefined {
  let found: Queue | undefined
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue
    if (!found || queue.prefix.length > found.prefix.length) found = queue
  }
  return found
}
