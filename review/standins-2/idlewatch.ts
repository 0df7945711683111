/**
 * Watches for the broken promise that work waits beside idle workers: for 3 s on end an accepted job has nothing running
 * though it has tasks to run, and under half of the service's capacity is in use, so that there is room for it twice over.
 */
import type {WorkerEvent} from "./worker.js"

/** The pages' limit. */
const IDLE_LIMIT_MS = 3000
const SAMPLE_MS = 50

export interface IdleWatch {
  readonly onEvent: (event: WorkerEvent) => void
  readonly accept: (job: string) => void
  /** Samples for somewhat more than the limit. Returns the jobs that were idle all the while. */
  readonly findIdleJobs: () => Promise<readonly string[]>
  /** The most tasks that ran at once while `findIdleJobs` sampled. */
  readonly mostRunning: () => number
  readonly countStarted: (job: string) => number
  readonly countDone: (job: string) => number
}

/** `tasks` is the number of tasks of each job, `room` the number that fit on all workers together. */
export function createIdleWatch(tasks: number, room: number): IdleWatch {
  const accepted = new Set<string>()
  const running = new Map<string, Set<string>>()
  const started = new Map<string, Set<string>>()
  const done = new Map<string, Set<string>>()
  let mostRunning = 0

  function add(sets: Map<string, Set<string>>, job: string, member: string): void {
    const set = sets.get(job) ?? new Set()
    sets.set(job, set.add(member))
  }

  function countRunning(): number {
    let count = 0
    for (const set of running.values()) count += set.size
    return count
  }

  function isIdle(job: string): boolean {
    return (done.get(job)?.size ?? 0) < tasks && (running.get(job)?.size ?? 0) === 0
  }

  return {
    onEvent({type, worker, task, attempt, how}) {
      const job = task.slice(0, task.indexOf("."))
      const run = `${worker} ${task} ${attempt}`
      if (type === "start") {
        add(running, job, run)
        add(started, job, task)
      } else if (type === "end") {
        running.get(job)?.delete(run)
        if (how === "done") add(done, job, task)
      }
    },
    accept: job => void accepted.add(job),
    async findIdleJobs() {
      let idle = [...accepted]
      const until = performance.now() + IDLE_LIMIT_MS + SAMPLE_MS
      while (performance.now() < until) {
        const inUse = countRunning()
        mostRunning = Math.max(mostRunning, inUse)
        idle = inUse * 2 < room ? idle.filter(isIdle) : []
        await new Promise(resolve => setTimeout(resolve, SAMPLE_MS))
      }
      return idle
    },
    mostRunning: () => mostRunning,
    countStarted: job => started.get(job)?.size ?? 0,
    countDone: job => done.get(job)?.size ?? 0,
  }
}
