/**
 * The jobs of one group in memory, with the journal behind them. A step is applied at once; whoever must not go on
 * before it is durable waits for the journal.
 */
import type {Result} from "neverthrow"
import type {NotHolder} from "../core/errors.js"
import {applyJobStep, jobOf} from "../jobs/job.js"
import type {Job, JobStep} from "../jobs/job.js"
import type {Journal} from "./journal.js"

export interface JobRegistry {
  readonly get: (job: string) => Job | undefined
  readonly all: () => IterableIterator<Job>
  readonly size: () => number
  /** Applies steps that were read from the journal. */
  readonly restore: (steps: readonly JobStep[]) => void
  /** Applies steps and resolves once they are durable. */
  readonly record: (...steps: readonly JobStep[]) => Promise<Result<void, NotHolder>>
  /** True when the previous holder marked every task that may have started. */
  readonly hasCompleteMarks: () => boolean
  /** Steps that build the present state. */
  readonly snapshot: () => readonly JobStep[]
}

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

/** Creates an empty book over a journal. */
export function createJobRegistry(journal: Journal): JobRegistry {
  const jobs = new Map<string, Job>()
  let areMarksComplete = false

  function apply(step: JobStep): void {
    areMarksComplete = step.type === "marks-complete"
    const name = jobOf(step)
    if (name === "") return
    const next = applyJobStep(jobs.get(name), step)
    if (next) jobs.set(name, next)
    else jobs.delete(name)
  }

  return {
    get: job => jobs.get(job),
    all: () => jobs.values(),
    size: () => jobs.size,
    restore: steps => steps.forEach(apply),
    record(...steps) {
      steps.forEach(apply)
      return journal.append(steps)
    },
    hasCompleteMarks: () => areMarksComplete,
    snapshot: () => [...jobs.values()].flatMap(snapshotJob),
  }
}
