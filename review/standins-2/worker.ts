/**
 * Stand-in of a worker. It starts tasks on orders that are not older than what it has seen, holds them under a lease on
 * its own clock, and lists what runs and what has ended. Ends are listed until they are noted, 500 at a time.
 */
import {asText, pause, serve} from "./http.js"
import type {Body, Call, Listener, Reply} from "./http.js"

const MAX_LEASE_MS = 10_000
const LISTED_ENDS = 500
const STOP_MS = 100
const TICK_MS = 10
const HOLD_POLL_MS = 5
const BEAT_MS = 1500

export interface WorkerEvent {
  readonly at: number
  readonly type: "start" | "end" | "noted"
  readonly worker: string
  readonly task: string
  readonly attempt: number
  /** How the run ended; empty for other events. */
  readonly how: string
}

export interface WorkerOptions {
  readonly id: string
  readonly host: string
  readonly service: string
  readonly zone: string
  readonly rack: string
  readonly processors: number
  readonly memoryMb: number
  /** The fencing token that the worker has seen before the case begins; 0 for none. */
  readonly seenToken: number
  /** How long a task with this text works, in milliseconds. */
  readonly durationOf: (spec: string) => number
  readonly onEvent: (event: WorkerEvent) => void
  /** Called when the lease has lapsed, whether anything runs or not. */
  readonly onLapse?: (worker: string, at: number) => void
  /** Writes the worker's entry to the store. */
  readonly register: (id: string, entry: Body) => void
}

export interface Worker {
  readonly id: string
  readonly address: string
  readonly countRunning: () => number
  /** The most ends that were listed and not yet noted at once. */
  readonly mostUnnoted: () => number
  readonly close: () => void
}

interface Run {
  readonly task: string
  readonly attempt: number
  readonly endsAt: number
  stopsAt: number
}

interface End {
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly how: string
}

export async function startWorker(options: WorkerOptions): Promise<Worker> {
  const {id, host, onEvent} = options
  const born = Date.now()
  const startedAt = performance.now()
  const runs = new Map<string, Run>()
  const highestAttempts = new Map<string, number>()
  let ends: End[] = []
  let lastEnd = 0
  let highestToken = options.seenToken
  let leaseEndsAt = 0
  /** True before the first lease too. */
  let hasLapsed = true
  let mostUnnoted = 0
  let isClosed = false

  function now(): number {
    return performance.now() - startedAt
  }

  function notify(type: WorkerEvent["type"], task: string, attempt: number, how = ""): void {
    onEvent({at: performance.now(), type, worker: id, task, attempt, how})
  }

  function raiseHighest(task: string, attempt: number): void {
    highestAttempts.set(task, Math.max(attempt, highestAttempts.get(task) ?? 0))
  }

  function endRun(run: Run, how: string): void {
    runs.delete(run.task)
    raiseHighest(run.task, run.attempt)
    lastEnd += 1
    ends.push({number: lastEnd, task: run.task, attempt: run.attempt, how})
    mostUnnoted = Math.max(mostUnnoted, ends.length)
    notify("end", run.task, run.attempt, how)
  }

  function tick(): void {
    const time = now()
    if (time > leaseEndsAt && !hasLapsed) options.onLapse?.(id, performance.now())
    hasLapsed = time > leaseEndsAt
    for (const run of [...runs.values()]) {
      if (time > leaseEndsAt) endRun(run, "lapsed")
      else if (time >= run.stopsAt) endRun(run, "stopped")
      else if (time >= run.endsAt) endRun(run, "done")
    }
  }

  function extendLease(deadline: unknown): void {
    // A lease may have lapsed since the last tick.
    tick()
    if (typeof deadline === "number")
      leaseEndsAt = Math.max(leaseEndsAt, Math.min(deadline, now() + MAX_LEASE_MS))
  }

  function reply(status: number, fields: Body = {}): Reply {
    return {status, body: {ServerTimeMs: Math.floor(now()), born, ...fields}}
  }

  function start(body: Body): Reply {
    const task = asText(body.Task)
    const attempt = Number(body.Attempt)
    const running = runs.get(task)
    if (running?.attempt === attempt) return reply(200)
    if (running || attempt <= (highestAttempts.get(task) ?? 0)) {
      extendLease(body.DeadlineMs)
      return reply(409, {Reason: "old"})
    }
    if (Number(body.DeadlineMs) <= now()) return reply(409, {Reason: "late"})
    extendLease(body.DeadlineMs)
    const endsAt = now() + options.durationOf(asText(body.Spec))
    runs.set(task, {task, attempt, endsAt, stopsAt: Infinity})
    notify("start", task, attempt)
    return reply(200)
  }

  function stop(body: Body): Reply {
    const task = asText(body.Task)
    const attempt = Number(body.Attempt)
    raiseHighest(task, attempt)
    const run = runs.get(task)
    if (run && run.attempt <= attempt) run.stopsAt = Math.min(run.stopsAt, now() + STOP_MS)
    return reply(200)
  }

  async function hold(body: Body): Promise<Reply> {
    const observed = Number(body.Observed ?? 0)
    for (const end of ends) if (end.number <= observed) notify("noted", end.task, end.attempt, end.how)
    ends = ends.filter(({number}) => number > observed)
    extendLease(body.DeadlineMs)
    const until = now() + Number(body.WaitMs ?? 0)
    while (ends.length === 0 && now() < until) await pause(HOLD_POLL_MS)
    return reply(200, {
      Running: [...runs.values()].map(({task, attempt}) => [task, attempt, "", 50, 0]),
      Finished: ends
        .slice(0, LISTED_ENDS)
        .map(({number, task, attempt, how}) => [number, task, attempt, how, ""]),
    })
  }

  function answer({path, body, expectedInstance}: Call): Reply | Promise<Reply> {
    if (expectedInstance !== id) return {status: 421}
    const token = Number(body.FencingToken ?? 0)
    if (token < highestToken) return reply(409, {Reason: "fence"})
    highestToken = token
    if (path === "/api/run-start") return start(body)
    if (path === "/api/run-stop") return stop(body)
    if (path === "/api/hold") return hold(body)
    return path === "/api/pace" ? reply(200) : {status: 404}
  }

  const listener: Listener = await serve(host, 0, answer)
  let sequence = 0

  /** The entry changes in the store when more than its sequence changes, so it is written once. */
  function beat(): void {
    sequence += 1
    if (isClosed || sequence > 1) return
    options.register(id, {
      Service: options.service,
      Address: listener.address,
      Zone: options.zone,
      Version: "v1",
      Capacity: 8,
      State: "ready",
      ColdRemainingMs: 0,
      FreeCapacity: {Cpu: options.processors * 1000, MemMb: options.memoryMb, Gpu: 0},
      Labels: ["a", options.rack],
      ServerTimeMs: Math.floor(now()),
      Sequence: sequence,
      born,
    })
  }

  beat()
  const ticking = setInterval(tick, TICK_MS)
  const beating = setInterval(beat, BEAT_MS)
  return {
    id,
    address: listener.address,
    countRunning: () => runs.size,
    mostUnnoted: () => mostUnnoted,
    close() {
      isClosed = true
      clearInterval(ticking)
      clearInterval(beating)
      listener.close()
    },
  }
}
