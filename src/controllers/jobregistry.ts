/**
 * The jobs of one job group in memory, backed by the journal. A step is applied to memory at once; code that may only
 * continue once the step is durable awaits the result of `record`.
 */
import type {Result} from "neverthrow"
import type {NotHolder} from "../core/errors.js"
import {estimateJobMemory} from "../jobs/footprint.js"
import {applyJobStep, jobNameOf} from "../jobs/job.js"
import type {Job, JobStep} from "../jobs/job.js"
import type {Journal} from "./journal.js"

export interface JobRegistry {
  readonly get: (job: string) => Job | undefined
  readonly all: () => IterableIterator<Job>
  readonly size: () => number
  /** Bytes that the jobs are estimated to take. */
  readonly memory: () => number
  /** Applies steps that were read from the journal. */
  readonly restore: (steps: readonly JobStep[]) => void
  /** Applies steps at once and resolves when they are durable. */
  readonly record: (...steps: readonly JobStep[]) => Promise<Result<void, NotHolder>>
  /** True if the previous holder of the job group marked every task that may have started. */
  readonly hasCompleteMarks: () => boolean
  /** Steps that rebuild the current state. */
  readonly snapshot: () => readonly JobStep[]
}

/**
 * Returns steps that rebuild one job. The checkpoint step closes the open attempt, so an attempt that is open is voided
 * and opened again after it.
 */
function snapshotJob(job: Job): readonly JobStep[] {
  const {specification} = job
  const name = specification.job
  const steps: JobStep[] = [{type: "accepted", specification}]
  for (const task of job.tasks) {
    const {index} = task
    for (let count = 0; count < task.attempts; count += 1)
      steps.push({type: "may-start", job: name, tasks: [index]})
    for (let count = 0; count < task.failures; count += 1) {
      const worker = task.failedOn[Math.min(count, task.failedOn.length - 1)] ?? ""
      steps.push({type: "task-failed", job: name, task: index, worker})
    }
    const {checkpoint} = task
    if (checkpoint !== "") steps.push({type: "task-checkpointed", job: name, task: index, checkpoint})
    if (checkpoint !== "" && task.openAttempt) {
      steps.push(
        {type: "attempt-void", job: name, task: index},
        {type: "may-start", job: name, tasks: [index]},
      )
    }
  }
  if (job.cancelled) steps.push({type: "cancelled", job: name})
  for (const task of job.tasks) {
    if (task.result === undefined) continue
    const {index, result, detail} = task
    steps.push({type: "task-ended", job: name, task: index, result, detail, at: job.endedAt})
  }
  return steps
}

/** Creates an empty registry that records its steps in the journal. */
export function createJobRegistry(journal: Journal): JobRegistry {
  const jobs = new Map<string, Job>()
  let memory = 0
  let areMarksComplete = false

  function apply(step: JobStep): void {
    areMarksComplete = step.type === "marks-complete"
    const name = jobNameOf(step)
    if (name === "") return
    const known = jobs.get(name)
    const next = applyJobStep(known, step)
    if (next) jobs.set(name, next)
    else jobs.delete(name)
    if (known && !next) memory -= estimateJobMemory(known.specification)
    if (next && !known) memory += estimateJobMemory(next.specification)
  }

  return {
    get: job => jobs.get(job),
    all: () => jobs.values(),
    size: () => jobs.size,
    memory: () => memory,
    restore: steps => steps.forEach(apply),
    record(...steps) {
      steps.forEach(apply)
      return journal.append(steps)
    },
    hasCompleteMarks: () => areMarksComplete,
    snapshot: () => [...jobs.values()].flatMap(snapshotJob),
  }
}
