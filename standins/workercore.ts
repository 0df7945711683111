/**
 * The stand-in of one worker: runs tasks under leases, reports with a lag, checkpoints, throttles and stops. It
 * keeps the outcome of an ended attempt until it is acknowledged, refuses orders of a lower epoch than it has seen,
 * of another boot, or after their lease would have ended. It gives in to every other order, also one that exceeds
 * its capacity: that is written down as an oversubscription.
 */
import type {Cancel, Clock, Milliseconds} from "../src/core/clock.js"
import {add, NO_RESOURCES} from "../src/core/resources.js"
import type {Resources} from "../src/core/resources.js"
import type {Attempt, AttemptEnd, AttemptOutcome} from "../src/jobs/attempt.js"
import type {RefusedStart, RunningAttempt, WorkerReport, WorkerSync} from "../src/platform/ports.js"
import type {Truth} from "./truth.js"

export interface WorkerDefinition {
  readonly name: string
  readonly capacity: Resources
}

/** What a task's payload tells the stand-in to do. */
export interface TaskScript {
  /** How long the task runs when it is not throttled. */
  readonly run?: Milliseconds
  readonly fail?: boolean
  /** Names of workers on which the task fails. */
  readonly failOn?: readonly string[]
  /** Memory that the task really uses, relative to its demand. */
  readonly memory?: number
}

export interface WorkerCore {
  readonly sync: (request: WorkerSync) => Promise<WorkerReport>
  readonly running: () => readonly Attempt[]
  readonly used: () => Resources
  /** Everything that runs is lost, and so is all that the worker remembers. */
  readonly crash: () => void
  /** Every task fails soon after it starts. */
  readonly setFailing: (failing: boolean) => void
  readonly setLeaving: (leaving: boolean) => void
  readonly close: () => void
}

interface NumberedEnd {
  readonly number: number
  readonly end: AttemptEnd
}

interface Running {
  readonly attempt: Attempt
  readonly startedAt: Milliseconds
  leaseEndsAt: Milliseconds
  cancel: Cancel
  script: TaskScript
  /** Slowed down to half its speed, and held to the memory that it declared. */
  throttled: boolean
}

const DEFAULT_RUN_MS: Milliseconds = 500
const FAIL_AFTER_MS: Milliseconds = 20
const LEASE_CHECK_MS: Milliseconds = 100
/** Memory that a task uses of what it declared, unless its script says otherwise. */
const USUAL_MEMORY = 0.8
const THROTTLED_SLOWNESS = 2
const USAGE_LAG_MS: Milliseconds = 500
const CLOCK_STEP_MS: Milliseconds = 0.001
const SERVICE_RUN_MS: Milliseconds = 365 * 24 * 3_600_000

function readScript(payload: string): TaskScript {
  try {
    const parsed: unknown = JSON.parse(payload)
    return typeof parsed === "object" && parsed !== null ? parsed : {}
  } catch {
    return {}
  }
}

/** Work done before a checkpoint, carried in the checkpoint's name. */
function doneBefore(checkpoint: string): Milliseconds {
  const done = Number(checkpoint.split("@")[1] ?? 0)
  return Number.isFinite(done) ? done : 0
}

/** Creates a worker that has just booted. `clockOffset` makes its clock differ from all others. */
export function workerCore(
  definition: WorkerDefinition,
  clock: Clock,
  truth: Truth,
  clockOffset: Milliseconds,
): WorkerCore {
  const running = new Map<string, Running>()
  const ended = new Map<string, NumberedEnd>()
  const waiters = new Set<() => void>()
  let boots = 1
  let ends = 0
  let epoch = 0
  let lastClock: Milliseconds = 0
  let failing = false
  let leaving = false
  let closed = false

  function now(): Milliseconds {
    lastClock = Math.max(lastClock + CLOCK_STEP_MS, clock.now() + clockOffset)
    return lastClock
  }

  function used(): Resources {
    return [...running.values()].reduce((sum, entry) => add(sum, entry.attempt.demand), NO_RESOURCES)
  }

  function wake(): void {
    for (const waiter of [...waiters]) waiter()
  }

  function end(name: string, outcome: AttemptOutcome, detail: string): void {
    const entry = running.get(name)
    if (!entry) return
    running.delete(name)
    entry.cancel()
    const ranFor = clock.now() - entry.startedAt
    const {job, task, jobGroup, demand, checkpoint: before} = entry.attempt
    const checkpoint = outcome === "checkpointed" ? `${name}@${doneBefore(before) + ranFor}` : ""
    const peakMemoryMebibytes = demand.memoryMebibytes * (entry.script.memory ?? USUAL_MEMORY)
    const worker = definition.name
    ends += 1
    const result = {
      attempt: name,
      job,
      task,
      jobGroup,
      outcome,
      worker,
      checkpoint,
      detail,
      ranFor,
      peakMemoryMebibytes,
    }
    ended.set(name, {number: ends, end: result})
    truth.taskEnded(name, worker, outcome, clock.now())
    wake()
  }

  function finishAfter(attempt: Attempt, script: TaskScript, ranFor: Milliseconds, slowness: number): Cancel {
    const fails = failing || script.fail === true || (script.failOn?.includes(definition.name) ?? false)
    if (fails) return clock.after(FAIL_AFTER_MS, () => end(attempt.attempt, "failed", "the task failed"))
    const whole = attempt.kind === "service" ? SERVICE_RUN_MS : (script.run ?? DEFAULT_RUN_MS)
    const left = Math.max(1, (whole - doneBefore(attempt.checkpoint) - ranFor) * slowness)
    if (left > 2 ** 31 - 1) return () => undefined
    return clock.after(left, () => end(attempt.attempt, "succeeded", ""))
  }

  function start(attempt: Attempt, leaseEndsAt: Milliseconds): void {
    const script = readScript(attempt.payload)
    running.set(attempt.attempt, {
      attempt,
      startedAt: clock.now(),
      leaseEndsAt,
      cancel: () => undefined,
      script,
      throttled: false,
    })
    truth.taskStarted(attempt, definition.name, clock.now())
    truth.capacityUsed(definition.name, used(), definition.capacity)
    const entry = running.get(attempt.attempt)
    if (entry) entry.cancel = finishAfter(attempt, script, 0, 1)
  }

  function throttle(name: string): void {
    const entry = running.get(name)
    if (!entry || entry.throttled) return
    entry.throttled = true
    entry.cancel()
    entry.cancel = finishAfter(entry.attempt, entry.script, clock.now() - entry.startedAt, THROTTLED_SLOWNESS)
  }

  function carryOut(request: WorkerSync, at: Milliseconds): readonly RefusedStart[] {
    const refused: RefusedStart[] = []
    const leaseEndsAt = request.basis + request.lease
    if (request.basis >= 0)
      for (const entry of running.values()) entry.leaseEndsAt = Math.max(entry.leaseEndsAt, leaseEndsAt)
    for (const attempt of request.starts) {
      const name = attempt.attempt
      if (running.has(name) || ended.has(name)) continue
      if (request.basis < 0 || leaseEndsAt <= at)
        refused.push({attempt: name, reason: "the order came after its lease would have ended"})
      else if (leaving) refused.push({attempt: name, reason: "the worker is leaving"})
      else start(attempt, leaseEndsAt)
    }
    for (const name of request.stops) end(name, "stopped", "it was told to stop")
    for (const name of request.checkpoints) end(name, "checkpointed", "it was told to checkpoint")
    for (const name of request.throttles) throttle(name)
    for (const name of request.acknowledged) ended.delete(name)
    return refused
  }

  function reportRunning(): readonly RunningAttempt[] {
    return [...running.values()].map(entry => {
      const ranFor = clock.now() - entry.startedAt
      const wanted = entry.script.memory ?? USUAL_MEMORY
      const factor = ranFor > USAGE_LAG_MS ? (entry.throttled ? Math.min(1, wanted) : wanted) : 0
      const {demand} = entry.attempt
      return {
        attempt: entry.attempt,
        ranFor,
        used: {...demand, memoryMebibytes: demand.memoryMebibytes * factor},
      }
    })
  }

  function endsAfter(number: number): readonly AttemptEnd[] {
    return [...ended.values()].filter(entry => entry.number > number).map(entry => entry.end)
  }

  function report(refused: readonly RefusedStart[], endedAfter: number): WorkerReport {
    const boot = `${definition.name}/${boots}`
    const clockNow = now()
    return {
      boot,
      clock: clockNow,
      epoch,
      running: reportRunning(),
      ended: endsAfter(endedAfter),
      endedThrough: ends,
      refused,
      leaving,
    }
  }

  function untilEnded(wait: Milliseconds, endedAfter: number): Promise<void> {
    if (wait <= 0 || endsAfter(endedAfter).length > 0) return Promise.resolve()
    return new Promise(resolve => {
      const finish = (): void => {
        cancel()
        waiters.delete(finish)
        resolve()
      }
      const cancel = clock.after(wait, finish)
      waiters.add(finish)
    })
  }

  function checkLeases(): void {
    if (closed) return
    const at = clock.now() + clockOffset
    for (const [name, entry] of running)
      if (entry.leaseEndsAt <= at) end(name, "stopped", "its lease has lapsed")
    clock.after(LEASE_CHECK_MS, checkLeases)
  }

  checkLeases()

  return {
    async sync(request) {
      if (request.epoch < epoch) return report([], request.endedAfter)
      epoch = request.epoch
      const boot = `${definition.name}/${boots}`
      const obeys = request.boot === boot
      const refused = obeys ? carryOut(request, now()) : []
      await untilEnded(request.wait, request.endedAfter)
      return report(refused, request.endedAfter)
    },
    running: () => [...running.values()].map(entry => entry.attempt),
    used,
    crash() {
      for (const [name, entry] of running) {
        entry.cancel()
        truth.taskEnded(name, definition.name, "crashed", clock.now())
      }
      running.clear()
      ended.clear()
      boots += 1
      epoch = 0
      wake()
    },
    setFailing(value) {
      failing = value
    },
    setLeaving(value) {
      leaving = value
      wake()
    },
    close() {
      closed = true
      for (const entry of running.values()) entry.cancel()
    },
  }
}
