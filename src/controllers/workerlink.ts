/**
 * The exchange with one worker: renews the leases of what runs there, carries orders out and takes reports in.
 *
 * Leases and starts count from an instant on the worker's own clock that an earlier report gave. An order that
 * arrives late therefore extends nothing beyond what the owner already reckons with, and a start that arrives
 * after its lease would have ended is refused. Orders are repeated until a report settles them; they name the
 * boot of the worker that they are meant for, so that a restarted worker never runs an attempt a second time.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Attempt} from "../jobs/attempt.js"
import {allowForDrift, TASK_LEASE_MS} from "../ownership/timing.js"
import type {WorkerGateway, WorkerReport, WorkerSync} from "../platform/ports.js"

export type StartResult =
  | {readonly type: "started"}
  | {readonly type: "refused"; readonly reason: string}
  | {readonly type: "never-started"}
  | {readonly type: "unsure"}

export interface WorkerLinkPorts {
  readonly clock: Clock
  readonly gateway: WorkerGateway
  readonly owner: string
  /** The epoch under which orders may be sent now, or undefined. Asked next to each send. */
  readonly epoch: () => number | undefined
  readonly onReport: (report: WorkerReport, first: boolean) => void
  /** The worker has restarted: nothing that was given to its earlier boot runs any more. */
  readonly onRestart: () => void
  /** The worker was not heard for so long that every lease on it has lapsed. */
  readonly onLapsed: () => void
  /** A start that was left unsure has turned out one way or the other. */
  readonly onLateStart: (attempt: string, result: StartResult) => void
}

export interface WorkerLink {
  readonly start: (attempt: Attempt) => Promise<StartResult>
  readonly stop: (attempt: string) => void
  readonly checkpoint: (attempt: string) => void
  readonly throttle: (attempt: string) => void
  readonly acknowledge: (attempt: string) => void
  /** True once this owner has had a report, and the worker answers. */
  readonly responsive: () => boolean
  /** True when it is known what runs on the worker: it was heard, or its leases have lapsed. */
  readonly settled: () => boolean
  /** True while the start has been sent and its fate is not known. */
  readonly isUnsure: (attempt: string) => boolean
  readonly syncs: () => number
  readonly close: () => void
}

const LISTEN_MS: Milliseconds = 1000
const RETRY_MS: Milliseconds = 300
const IDLE_MS: Milliseconds = 200
const UNSURE_AFTER_MS: Milliseconds = 1500
const SILENT_AFTER_FAILURES = 2

interface PendingStart {
  readonly attempt: Attempt
  /** Latest instant on the worker's clock until which a copy of the order is valid. */
  validUntil: Milliseconds
  sent: boolean
  resolve: ((result: StartResult) => void) | undefined
}

/** Opens the exchange. The first call asks for a report only. */
export function workerLink(address: string, ports: WorkerLinkPorts): WorkerLink {
  const {clock, gateway} = ports
  const starts = new Map<string, PendingStart>()
  const stops = new Set<string>()
  const checkpoints = new Set<string>()
  const throttles = new Set<string>()
  const acknowledged = new Set<string>()
  const openedAt = clock.now()
  let boot = ""
  let endedAfter = 0
  let basis: Milliseconds = -1
  let heardAt: Milliseconds | undefined
  let failures = 0
  let lapsed = false
  let closed = false
  let flushing = false
  let flushWanted = false
  let syncs = 0

  function isClosed(): boolean {
    return closed
  }

  function settleStart(name: string, result: StartResult): void {
    const pending = starts.get(name)
    if (!pending) return
    starts.delete(name)
    if (pending.resolve) pending.resolve(result)
    else ports.onLateStart(name, result)
  }

  function settleStarts(report: WorkerReport): void {
    const present = new Set([
      ...report.running.map(entry => entry.attempt.attempt),
      ...report.ended.map(end => end.attempt),
    ])
    const refused = new Map(report.refused.map(entry => [entry.attempt, entry.reason]))
    for (const [name, pending] of starts) {
      const reason = refused.get(name)
      if (present.has(name)) settleStart(name, {type: "started"})
      else if (reason !== undefined) settleStart(name, {type: "refused", reason})
      else if (pending.sent && report.clock > pending.validUntil) settleStart(name, {type: "never-started"})
    }
  }

  /** Gives up every unsettled start. One that was never sent has certainly not run. */
  function abandonStarts(): void {
    for (const [name, pending] of [...starts])
      settleStart(name, {type: pending.sent ? "unsure" : "never-started"})
  }

  function forgetBoot(): void {
    abandonStarts()
    stops.clear()
    checkpoints.clear()
    acknowledged.clear()
    ports.onRestart()
  }

  function takeReport(report: WorkerReport): void {
    const first = heardAt === undefined
    if (boot !== "" && report.boot !== boot) {
      boot = report.boot
      basis = -1
      endedAfter = 0
      forgetBoot()
    }
    boot = report.boot
    if (report.clock < basis) return
    basis = report.clock
    endedAfter = report.endedThrough
    heardAt = clock.now()
    failures = 0
    lapsed = false
    settleStarts(report)
    const running = new Set(report.running.map(entry => entry.attempt.attempt))
    for (const orders of [stops, checkpoints, throttles]) {
      for (const name of orders) if (!running.has(name) && !starts.has(name)) orders.delete(name)
    }
    ports.onReport(report, first)
  }

  function lapseIfDue(): void {
    if (lapsed || clock.now() <= (heardAt ?? openedAt) + allowForDrift(TASK_LEASE_MS)) return
    lapsed = true
    abandonStarts()
    ports.onLapsed()
  }

  function compose(epoch: number, wait: Milliseconds): WorkerSync {
    const lease = TASK_LEASE_MS
    const ordered: Attempt[] = []
    if (basis >= 0) {
      for (const pending of starts.values()) {
        pending.sent = true
        pending.validUntil = Math.max(pending.validUntil, basis + lease)
        ordered.push(pending.attempt)
      }
    }
    return {
      owner: ports.owner,
      epoch,
      boot,
      basis,
      lease,
      starts: ordered,
      stops: [...stops],
      checkpoints: [...checkpoints],
      throttles: [...throttles],
      acknowledged: [...acknowledged],
      endedAfter,
      wait,
    }
  }

  /** One exchange. Gives false when it failed or may not be sent. */
  async function exchange(wait: Milliseconds): Promise<boolean> {
    const epoch = ports.epoch()
    if (epoch === undefined || closed) return false
    syncs += 1
    const request = compose(epoch, wait)
    const report = await gateway.sync(address, request)
    if (isClosed()) return false
    if (report.isErr()) {
      failures += 1
      return false
    }
    if (report.value.epoch > epoch) return false
    if (report.value.boot === request.boot) for (const name of request.acknowledged) acknowledged.delete(name)
    takeReport(report.value)
    return true
  }

  async function listen(): Promise<void> {
    while (!closed) {
      const heard = await exchange(heardAt === undefined || failures > 0 ? 0 : LISTEN_MS)
      lapseIfDue()
      if (!heard)
        await new Promise<void>(resolve =>
          clock.after(ports.epoch() === undefined ? IDLE_MS : RETRY_MS, resolve),
        )
    }
  }

  async function flush(): Promise<void> {
    if (flushing) {
      flushWanted = true
      return
    }
    flushing = true
    do {
      flushWanted = false
      await Promise.resolve()
      await exchange(0)
    } while (flushWanted as boolean)
    flushing = false
  }

  function start(attempt: Attempt): Promise<StartResult> {
    return new Promise(resolve => {
      const pending: PendingStart = {attempt, validUntil: -1, sent: false, resolve}
      starts.set(attempt.attempt, pending)
      clock.after(UNSURE_AFTER_MS, () => {
        if (starts.get(attempt.attempt) !== pending) return
        pending.resolve = undefined
        resolve({type: "unsure"})
      })
      void flush()
    })
  }

  void listen()

  return {
    start,
    stop(attempt) {
      stops.add(attempt)
      void flush()
    },
    checkpoint(attempt) {
      checkpoints.add(attempt)
      void flush()
    },
    throttle(attempt) {
      throttles.add(attempt)
      void flush()
    },
    acknowledge(attempt) {
      acknowledged.add(attempt)
    },
    responsive: () => heardAt !== undefined && failures < SILENT_AFTER_FAILURES && !lapsed,
    settled: () => lapsed || heardAt !== undefined,
    isUnsure: attempt => starts.get(attempt)?.sent ?? false,
    syncs: () => syncs,
    close() {
      closed = true
      for (const pending of starts.values()) pending.resolve?.({type: "unsure"})
      starts.clear()
    },
  }
}
