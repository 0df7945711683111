/** A worker, as PROTOCOL.md tells it. Its tasks are plans: how long they take, and how they end. */
import type {Json, Listener, Reply} from "./http.js"
import {asNumber, asText, serveJson} from "./http.js"
import type {Store} from "./store.js"

export interface Plan {
  readonly ms: number
  readonly how: "done" | "failed"
}

export interface WorkerOptions {
  readonly id: string
  readonly service: string
  readonly capacity: {readonly Cpu: number; readonly MemMb: number; readonly Gpu: number}
  readonly rack: string
  /** The worker's kind, its first label. */
  readonly kind?: string
  /** What a run of the task does. */
  readonly planOf: (task: string, attempt: number) => Plan
  /** Called with what happens, for the record. */
  readonly onEvent: (event: string) => void
}

interface Run {
  readonly task: string
  readonly attempt: number
  readonly startedAt: number
  readonly plan: Plan
  timer: NodeJS.Timeout | undefined
}

interface End {
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly how: string
}

export interface Worker {
  readonly id: string
  readonly address: string
  readonly runningTasks: () => readonly string[]
  /** Ends that no `Observed` has reached. */
  readonly unobserved: () => number
  readonly close: () => void
}

const HOLD_MAX_MS = 10_000
const STOP_MS = 100
const LISTED_ENDS = 500

/** Starts a worker and registers it. */
export async function startWorker(host: string, store: Store, options: WorkerOptions): Promise<Worker> {
  const {id, service, capacity, rack, kind = "a", planOf, onEvent} = options
  const born = Date.now()
  const startedAt = performance.now()
  const runs = new Map<string, Run>()
  let ends: End[] = []
  let lastEnd = 0
  let token = 0
  let deadline = 0
  /** The highest attempt of each task that was stopped or ended here. */
  const highest = new Map<string, number>()
  const waiting = new Set<() => void>()

  function clock(): number {
    return Math.floor(performance.now() - startedAt)
  }

  function end(run: Run, how: string): void {
    if (runs.get(run.task) !== run) return
    clearTimeout(run.timer)
    runs.delete(run.task)
    highest.set(run.task, Math.max(run.attempt, highest.get(run.task) ?? 0))
    lastEnd += 1
    ends.push({number: lastEnd, task: run.task, attempt: run.attempt, how})
    onEvent(`${id} end ${run.task} run ${run.attempt} ${how}`)
    for (const wake of [...waiting]) wake()
  }

  function extend(value: unknown): void {
    if (typeof value === "number") deadline = Math.max(deadline, Math.min(value, clock() + HOLD_MAX_MS))
  }

  const lapse = setInterval(() => {
    if (runs.size > 0 && clock() > deadline) for (const run of [...runs.values()]) end(run, "lapsed")
  }, 20)

  function refuse(reason: string): Reply {
    return {status: 409, body: {ServerTimeMs: clock(), born, Reason: reason}}
  }

  /** False for a fencing token below the highest one seen. */
  function accepts(body: Json): boolean {
    const given = asNumber(body.FencingToken)
    if (given < token) return false
    token = given
    return true
  }

  function start(body: Json): Reply {
    const [task, attempt] = [asText(body.Task), asNumber(body.Attempt)]
    const current = runs.get(task)
    if (current?.attempt === attempt) return {status: 200, body: {ServerTimeMs: clock(), born}}
    if (current || attempt <= (highest.get(task) ?? 0)) {
      extend(body.DeadlineMs)
      return refuse("old")
    }
    if (asNumber(body.DeadlineMs) < clock()) return refuse("late")
    extend(body.DeadlineMs)
    const plan = planOf(task, attempt)
    const run: Run = {task, attempt, startedAt: performance.now(), plan, timer: undefined}
    run.timer = setTimeout(() => end(run, plan.how), plan.ms)
    runs.set(task, run)
    onEvent(`${id} start ${task} run ${attempt}`)
    return {status: 200, body: {ServerTimeMs: clock(), born}}
  }

  function stop(body: Json): Reply {
    const [task, attempt] = [asText(body.Task), asNumber(body.Attempt)]
    highest.set(task, Math.max(attempt, highest.get(task) ?? 0))
    const run = runs.get(task)
    if (run && run.attempt <= attempt) setTimeout(() => end(run, "stopped"), STOP_MS)
    return {status: 200, body: {ServerTimeMs: clock(), born}}
  }

  async function hold(body: Json): Promise<Reply> {
    extend(body.DeadlineMs)
    const observed = asNumber(body.Observed)
    if (observed > 0) ends = ends.filter(({number}) => number > observed)
    const wait = Math.min(2000, asNumber(body.WaitMs))
    if (ends.length === 0 && wait > 0)
      await new Promise<void>(resolve => {
        const finish = (): void => {
          waiting.delete(finish)
          clearTimeout(timer)
          resolve()
        }
        const timer = setTimeout(finish, wait)
        waiting.add(finish)
      })
    const now = performance.now()
    return {
      status: 200,
      body: {
        ServerTimeMs: clock(),
        born,
        Running: [...runs.values()].map(run => [
          run.task,
          run.attempt,
          "",
          Math.min(100, Math.floor(((now - run.startedAt) * 100) / Math.max(1, run.plan.ms))),
          0,
        ]),
        Finished: ends
          .slice(0, LISTED_ENDS)
          .map(({number, task, attempt, how}) => [number, task, attempt, how, ""]),
      },
    }
  }

  const listener: Listener = await serveJson(host, ({path, body, expected}) => {
    if (expected !== "" && expected !== id) return {status: 421, body: {ServerTimeMs: clock(), born}}
    if (!accepts(body)) return refuse("fence")
    if (path === "/api/hold") return hold(body)
    if (path === "/api/run-start") return start(body)
    if (path === "/api/run-stop") return stop(body)
    return {status: 200, body: {ServerTimeMs: clock(), born}}
  })
  store.put(`servers/${id}`, {
    Service: service,
    Address: listener.address,
    Zone: "a",
    Version: "1",
    Capacity: 8,
    State: "ready",
    ColdRemainingMs: 0,
    Sequence: 1,
    FreeCapacity: capacity,
    Labels: [kind, rack],
    born,
  })
  return {
    id,
    address: listener.address,
    runningTasks: () => [...runs.keys()],
    unobserved: () => ends.length,
    close() {
      clearInterval(lapse)
      for (const run of runs.values()) clearTimeout(run.timer)
      listener.close()
    },
  }
}
