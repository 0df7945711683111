/**
 * What really happened, as the stand-ins of workers and backend servers saw it. Judgements about doubled, lost and
 * oversubscribed work use this record alone, never what the system says of itself.
 */
import type {Resources} from "../src/core/resources.js"
import type {Attempt} from "../src/jobs/attempt.js"

export interface TaskRun {
  readonly attempt: string
  readonly job: string
  readonly task: number
  readonly workload: string
  readonly restartable: boolean
  readonly resumed: boolean
  readonly worker: string
  readonly startedAt: number
  endedAt: number | undefined
  outcome: string
}

export interface RequestRun {
  readonly request: string
  readonly key: string
  readonly server: string
  readonly startedAt: number
}

export interface Truth {
  readonly taskStarted: (attempt: Attempt, worker: string, at: number) => void
  readonly taskEnded: (attempt: string, worker: string, outcome: string, at: number) => void
  readonly capacityUsed: (worker: string, used: Resources, capacity: Resources) => void
  readonly requestStarted: (run: RequestRun) => void
  readonly slotsUsed: (server: string, inHand: number, slots: number) => void
  readonly connectionsUsed: (server: string, open: number, connections: number) => void
  readonly tasks: () => readonly TaskRun[]
  readonly requests: () => readonly RequestRun[]
  /** Each time a worker or a backend server had more than it can hold, in words. */
  readonly oversubscriptions: () => readonly string[]
}

const ROUNDING = 1e-6

/** Creates an empty record. */
export function truthRecord(): Truth {
  const tasks: TaskRun[] = []
  const open = new Map<string, TaskRun>()
  const requests: RequestRun[] = []
  const oversubscriptions: string[] = []

  return {
    taskStarted(attempt, worker, at) {
      const {attempt: name, job, task, workload, restartable, checkpoint} = attempt
      const run: TaskRun = {
        attempt: name,
        job,
        task,
        workload,
        restartable,
        resumed: checkpoint !== "",
        worker,
        startedAt: at,
        endedAt: undefined,
        outcome: "running",
      }
      tasks.push(run)
      open.set(`${name}@${worker}`, run)
    },
    taskEnded(attempt, worker, outcome, at) {
      const run = open.get(`${attempt}@${worker}`)
      if (!run) return
      open.delete(`${attempt}@${worker}`)
      run.endedAt = at
      run.outcome = outcome
    },
    capacityUsed(worker, used, capacity) {
      const over =
        used.processors > capacity.processors + ROUNDING ||
        used.memoryMebibytes > capacity.memoryMebibytes + ROUNDING ||
        used.accelerators > capacity.accelerators
      if (over)
        oversubscriptions.push(
          `worker ${worker} was given ${JSON.stringify(used)} of ${JSON.stringify(capacity)}`,
        )
    },
    requestStarted(run) {
      requests.push(run)
    },
    slotsUsed(server, inHand, slots) {
      if (inHand > slots)
        oversubscriptions.push(`backend server ${server} had ${inHand} requests in hand, with ${slots} slots`)
    },
    connectionsUsed(server, count, connections) {
      if (count > connections)
        oversubscriptions.push(`backend server ${server} had ${count} connections, of ${connections}`)
    },
    tasks: () => tasks,
    requests: () => requests,
    oversubscriptions: () => oversubscriptions,
  }
}

/** Tasks that ran in two places at once, or twice although they may run at most once, in words. */
export function doubledTasks(runs: readonly TaskRun[]): readonly string[] {
  const byTask = new Map<string, TaskRun[]>()
  for (const run of runs) {
    const key = `${run.job}.${run.task}`
    byTask.set(key, [...(byTask.get(key) ?? []), run])
  }
  const doubled: string[] = []
  for (const [task, list] of byTask) {
    const sorted = [...list].sort((one, other) => one.startedAt - other.startedAt)
    sorted.forEach((run, index) => {
      const next = sorted[index + 1]
      if (!next) return
      if (run.endedAt === undefined || next.startedAt < run.endedAt) {
        doubled.push(`task ${task} ran on ${run.worker} and on ${next.worker} at once`)
      }
    })
    const fresh = sorted.filter(run => !run.resumed)
    if (fresh.length > 1 && fresh.some(run => !run.restartable))
      doubled.push(`task ${task} may run at most once and was started ${fresh.length} times`)
  }
  return doubled
}

/** Requests with an idempotency key that ran more than once, in words. */
export function doubledRequests(runs: readonly RequestRun[]): readonly string[] {
  const counts = new Map<string, number>()
  for (const {key} of runs) if (key !== "") counts.set(key, (counts.get(key) ?? 0) + 1)
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `the request with key ${key} ran ${count} times`)
}
