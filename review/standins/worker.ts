/** A worker, as PROTOCOL.md describes it. Its process may end and start again under the same id. */
import {numberOf, openLink, serve, textOf, wait} from "./network.js"
import type {Call, Fields, HttpServer, Link, Reply} from "./network.js"
import type {Recorder} from "./record.js"
import type {Store} from "./store.js"

export interface Capacity {
  readonly Cpu: number
  readonly MemMb: number
  readonly Gpu: number
}

export interface WorkerOptions {
  readonly id: string
  readonly host: string
  readonly service: string
  readonly capacity: Capacity
  readonly labels: readonly string[]
  /** How long the worker has been up when the script begins. */
  readonly upFor: number
  /** How long a run of the task works; Infinity for a task that lasts. */
  readonly workOf: (task: string) => number
  /** The longest lease; `HoldMaxMs`. */
  readonly longestLease: number
}

export interface Worker {
  readonly id: string
  /** Between the system and the worker. */
  readonly link: Link
  /** The process ends at once; its connections break. */
  readonly crash: () => void
  /** The process starts again under its id, and registers itself. */
  readonly restart: () => Promise<void>
  readonly isUp: () => boolean
  /** The tasks that run at present. */
  readonly running: () => readonly string[]
  readonly close: () => void
}

interface Run {
  readonly task: string
  readonly attempt: number
  readonly doneAt: number
}

interface Life {
  readonly born: number
  readonly startedAt: number
  readonly clockOffset: number
  readonly runs: Map<string, Run>
  readonly highest: Map<string, number>
  finished: (readonly [number, string, number, string, string])[]
  ends: number
  fence: number
  deadline: number
}

const TICK_MS = 10
const STOP_MS = 100
const HEARTBEAT_MS = 1500
const MOST_LISTED = 500

/** Called for each run that begins or ends. */
export interface WorkerEvents {
  readonly onStart: (worker: Worker, task: string, attempt: number) => void
  readonly onEnd: (worker: Worker, task: string, attempt: number, how: string) => void
  /** An end that has been taken note of. */
  readonly onObserved: (worker: Worker, task: string, attempt: number, how: string) => void
}

export async function createWorker(
  options: WorkerOptions,
  store: Store,
  recorder: Recorder,
  events: WorkerEvents,
): Promise<Worker> {
  const {id, host, service} = options
  let life: Life | undefined
  let server: HttpServer | undefined
  let sequence = 0
  let isClosed = false
  const link = await openLink(host, () => server?.address ?? `${host}:1`)

  function clockOf(one: Life): number {
    return Math.floor(one.clockOffset + performance.now() - one.startedAt)
  }

  function end(one: Life, run: Run, how: string): void {
    one.runs.delete(run.task)
    one.highest.set(run.task, Math.max(run.attempt, one.highest.get(run.task) ?? 0))
    one.ends += 1
    one.finished.push([one.ends, run.task, run.attempt, how, ""])
    recorder.note("ended", {worker: id, task: run.task, attempt: run.attempt, how})
    events.onEnd(worker, run.task, run.attempt, how)
  }

  function tick(): void {
    if (isClosed) return
    if (life) {
      const hasLapsed = clockOf(life) > life.deadline
      for (const run of [...life.runs.values()]) {
        if (hasLapsed) end(life, run, "lapsed")
        else if (performance.now() >= run.doneAt) end(life, run, "done")
      }
    }
    setTimeout(tick, TICK_MS)
  }

  function extend(one: Life, deadline: unknown): void {
    if (typeof deadline !== "number") return
    one.deadline = Math.max(one.deadline, Math.min(deadline, clockOf(one) + options.longestLease))
  }

  function refuse(one: Life, reason: string): Reply {
    return {status: 409, body: {ServerTimeMs: clockOf(one), Reason: reason}}
  }

  function start(one: Life, body: Fields): Reply {
    const task = textOf(body.Task)
    const attempt = numberOf(body.Attempt)
    const current = one.runs.get(task)
    if (current?.attempt === attempt) {
      extend(one, body.DeadlineMs)
      return {status: 200, body: {ServerTimeMs: clockOf(one)}}
    }
    if (current || attempt <= (one.highest.get(task) ?? 0)) {
      extend(one, body.DeadlineMs)
      return refuse(one, "old")
    }
    if (numberOf(body.DeadlineMs) <= clockOf(one)) return refuse(one, "late")
    extend(one, body.DeadlineMs)
    one.runs.set(task, {task, attempt, doneAt: performance.now() + options.workOf(task)})
    recorder.note("started", {worker: id, task, attempt, clock: clockOf(one), deadline: body.DeadlineMs})
    events.onStart(worker, task, attempt)
    return {status: 200, body: {ServerTimeMs: clockOf(one)}}
  }

  function stop(one: Life, body: Fields): Reply {
    const task = textOf(body.Task)
    const attempt = numberOf(body.Attempt)
    one.highest.set(task, Math.max(attempt, one.highest.get(task) ?? 0))
    const run = one.runs.get(task)
    if (run && run.attempt <= attempt) {
      setTimeout(() => {
        if (life === one && one.runs.get(task) === run) end(one, run, "stopped")
      }, STOP_MS)
    }
    return {status: 200, body: {ServerTimeMs: clockOf(one)}}
  }

  async function hold(one: Life, body: Fields): Promise<Reply | undefined> {
    const observed = numberOf(body.Observed)
    for (const [number, task, attempt, how] of one.finished)
      if (number <= observed) events.onObserved(worker, task, attempt, how)
    one.finished = one.finished.filter(([number]) => number > observed)
    extend(one, body.DeadlineMs)
    const until = performance.now() + Math.min(2000, numberOf(body.WaitMs))
    while (one.finished.length === 0 && performance.now() < until) {
      await wait(TICK_MS)
      if (life !== one) return undefined
    }
    const running = [...one.runs.values()].map(run => [run.task, run.attempt, "", 50, 100])
    return {
      status: 200,
      body: {
        ServerTimeMs: clockOf(one),
        born: one.born,
        Running: running,
        Finished: one.finished.slice(0, MOST_LISTED),
      },
    }
  }

  function handle(call: Call): Reply | undefined | Promise<Reply | undefined> {
    const one = life
    if (!one) return undefined
    if (call.headers["x-lacewingstream-expect-instance"] !== id) return {status: 421}
    const fence = numberOf(call.body.FencingToken)
    if (fence < one.fence) return refuse(one, "fence")
    one.fence = fence
    if (call.path === "/api/run-start") return start(one, call.body)
    if (call.path === "/api/run-stop") return stop(one, call.body)
    if (call.path === "/api/hold") return hold(one, call.body)
    if (call.path === "/api/pace") return {status: 200, body: {ServerTimeMs: clockOf(one)}}
    return {status: 404}
  }

  function register(one: Life): void {
    if (store.isDown()) return
    sequence += 1
    const entry = {
      Service: service,
      Address: link.address,
      Zone: "a",
      Version: "v1",
      Capacity: 8,
      State: "ready",
      ColdRemainingMs: 0,
      FreeCapacity: options.capacity,
      Labels: options.labels,
      ServerTimeMs: clockOf(one),
      Sequence: sequence,
      Id: id,
      born: one.born,
    }
    store.put(`servers/${id}`, JSON.stringify(entry))
  }

  async function begin(clockOffset: number, born: number): Promise<void> {
    const one: Life = {
      born: Math.floor(born),
      startedAt: performance.now(),
      clockOffset,
      runs: new Map(),
      highest: new Map(),
      finished: [],
      ends: 0,
      fence: 0,
      deadline: 0,
    }
    sequence = 0
    server = await serve(host, handle)
    life = one
    register(one)
    const beat = setInterval(() => {
      if (life === one && !isClosed) register(one)
      else clearInterval(beat)
    }, HEARTBEAT_MS)
    recorder.note("worker-up", {worker: id, address: link.address, born: one.born})
  }

  const worker: Worker = {
    id,
    link,
    crash() {
      recorder.note("worker-crashed", {worker: id, ran: [...(life?.runs.keys() ?? [])]})
      life = undefined
      server?.close()
      server = undefined
    },
    restart: () => begin(0, Date.now()),
    isUp: () => life !== undefined,
    running: () => [...(life?.runs.keys() ?? [])],
    close() {
      isClosed = true
      server?.close()
      link.close()
    },
  }
  tick()
  await begin(options.upFor, Date.now() - options.upFor)
  return worker
}
