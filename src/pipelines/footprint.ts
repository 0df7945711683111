/**
 * Estimates how much memory a job takes at the leader, and says how much of it may be in use. The load that it answers:
 * schedules with thousands of occurrences and steps with many thousands of tasks. A leader that accepted more than it can
 * hold would end for want of memory, and each leader after it, which reads the same jobs.
 */
import type {PipelineJob, Step} from "./model.js"

/**
 * Bytes of a job without its steps, of the description of a step, of a step of an open occurrence and of a task of it,
 * rounded up from the heap that many of them took on Node.js 20.
 */
const JOB_BYTES = 2000
const STEP_BYTES = 600
const OPEN_STEP_BYTES = 1200
const OPEN_TASK_BYTES = 48
/** An element of a list of earlier steps, and the longest form of a character. */
const REFERENCE_BYTES = 8
const CHARACTER_BYTES = 2

/** Of the occurrences that are due, a job opens the first one, and others while there are no more steps and tasks. */
const MAX_OPEN_STEPS = 32
const MAX_OPEN_TASKS = 500

/** Limit on one job: a step of 100,000 tasks fits. */
export const MAX_JOB_BYTES = 8 * 2 ** 20
/**
 * Limit on all accepted jobs, under a third of the heap that the deploy file gives an instance (160 MB). The rest is for
 * the program, for the texts of the jobs while a new leader reads them, and for jobs that were stored without the leader.
 */
export const MAX_ACCEPTED_BYTES = 48 * 2 ** 20

function countTasks({steps}: Pick<PipelineJob, "steps">): number {
  return steps.reduce((sum, {count}) => sum + count, 0)
}

/** How many occurrences of the job may be open at once. */
export function maxOpenOccurrences(job: Pick<PipelineJob, "steps" | "occurrences">): number {
  const fitting = Math.min(MAX_OPEN_STEPS / job.steps.length, MAX_OPEN_TASKS / countTasks(job))
  return Math.min(job.occurrences, Math.max(1, Math.floor(fitting)))
}

/** Bytes of the parts of a step that may have any length. */
function variableBytes({after, label, preferredRack, image}: Step): number {
  return (
    after.length * REFERENCE_BYTES + (label.length + preferredRack.length + image.length) * CHARACTER_BYTES
  )
}

/** Bytes of the job without what is open of it. */
export function descriptionMemory({steps, payload}: Pick<PipelineJob, "steps" | "payload">): number {
  const variable = steps.reduce((sum, step) => sum + variableBytes(step), payload.length * CHARACTER_BYTES)
  return JOB_BYTES + steps.length * STEP_BYTES + variable
}

/** Bytes that the job takes at the leader when as many of its occurrences are open as may be. */
export function estimateMemory(job: Pick<PipelineJob, "steps" | "occurrences" | "payload">): number {
  const occurrence = job.steps.length * OPEN_STEP_BYTES + countTasks(job) * OPEN_TASK_BYTES
  return descriptionMemory(job) + maxOpenOccurrences(job) * occurrence
}
