/**
 * Estimates how much memory jobs take at the instance that is their home, and says how much of it they may have. The
 * load that it answers: clients that hand in jobs with the most tasks faster than those can run.
 */
import type {JobSpecification} from "./job.js"

/** Bytes of a job without its tasks, and of a task with its entry in the queue, rounded up from heaps of Node.js 20. */
const JOB_BYTES = 3000
const TASK_BYTES = 500
const CHARACTER_BYTES = 2

const BYTES_PER_MEBIBYTE = 2 ** 20
const JOB_SHARE_OF_MEMORY = 0.1
/** Where the memory of the machine is not known. */
const DEFAULT_JOB_BYTES = 64 * BYTES_PER_MEBIBYTE

export function estimateJobMemory({tasks, payload}: Pick<JobSpecification, "tasks" | "payload">): number {
  return JOB_BYTES + payload.length * CHARACTER_BYTES + tasks * TASK_BYTES
}

/** Bytes that all jobs of an instance may take before it refuses further ones; 0 stands for a memory that is not known. */
export function jobMemoryLimit(memoryMebibytes: number): number {
  return memoryMebibytes > 0
    ? Math.floor(memoryMebibytes * BYTES_PER_MEBIBYTE * JOB_SHARE_OF_MEMORY)
    : DEFAULT_JOB_BYTES
}
