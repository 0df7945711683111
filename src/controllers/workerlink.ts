/**
 * The owner's link to one worker: renews the leases of the attempts that run there, sends orders and receives
 * reports.
 *
 * Leases and start orders count from an instant on the worker's own clock, taken from an earlier report. An order
 * that arrives late therefore extends no lease beyond what the owner already assumes, and a start order that arrives
 * after its lease would have ended is refused. Orders are repeated until a report settles them. They carry the boot
 * identifier of the worker that they are meant for, so that a restarted worker never runs an attempt a second time.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Attempt} from "../jobs/attempt.js"
import {allowForDrift, TASK_LEASE_MS} from "../ownership/timing.js"
import type {WorkerGateway, WorkerReport, WorkerSync} from "../platform/ports.js"

/**
 * Result of a start order. `never-started`: the attempt has not run and will not run. `unsure`: the order may have
 * been sent, but no report has settled it yet.
 */
export type StartResult =
  | {readonly type: "started"}
  | {readonly type: "refused"; readonly reason: string}
  | {readonly type: "never-started"}
  | {readonly type: "unsure"}

export interface WorkerLinkPorts {
  readonly clock: Clock
  readonly gateway: WorkerGateway
  readonly owner: string
  /** The epoch under which orders may be sent now, or undefined when none may be. Read directly before each send. */
  readonly epoch: () => number | undefined
  readonly onReport: (report: WorkerReport, first: boolean) => void
  /** Called when the worker has restarted: no attempt that was started before the restart runs any more. */
  readonly onRestart: () => void
  /** Called when there was no report for so long that every lease on the worker has expired. */
  readonly onLeasesExpired: () => void
  /** Called with the result of a start order that was reported as `unsure` before. */
  readonly onLateStart: (attempt: string, result: StartResult) => void
}

export interface WorkerLink {
  readonly start: (attempt: Attempt) => Promise<StartResult>
  readonly stop: (attempt: string) => void
  readonly checkpoint: (attempt: string) => void
  readonly throttle: (attempt: string) => void
  readonly acknowledge: (attempt: string) => void
  /** True when the worker has sent a report to this owner and still answers. */
  readonly isResponsive: () => boolean
  /** True when it is known what runs on the worker: it has sent a report, or its leases have expired. */
  readonly isSettled: () => boolean
  /** True while the start order has been sent and its result is not known. */
  readonly isUnconfirmed: (attempt: string) => boolean
  /** Number of exchanges with the worker so far. */
  readonly syncCount: () => number
  readonly close: () => void
}

/** How long the worker may hold a call while it has nothing new to report. */
const LONG_POLL_MS: Milliseconds = 1000
const RETRY_DELAY_MS: Milliseconds = 300
/** Delay while this instance may not decide for the group. */
const NO_EPOCH_RETRY_DELAY_MS: Milliseconds = 200
/** A start that no report has settled after this is answered with `unsure`. */
const START_CONFIRMATION_TIMEOUT_MS: Milliseconds = 1500
const FAILURES_TO_UNRESPONSIVE = 2

interface PendingStart {
  readonly attempt: Attempt
  /** Latest instant on the worker's clock until which a copy of the order is valid. */
  validUntil: Milliseconds
  sent: boolean
  resolve: ((result: StartResult) => void) | undefined
}

/** Opens the link. The first call carries no orders and only requests a report. */
export function workerLink(address: string, ports: WorkerLinkPorts): WorkerLink {
  const {clock, gateway} = ports
  const starts = new Map<string, PendingStart>()
  const stops = new Set<string>()
  const checkpoints = new Set<string>()
  const throttles = new Set<string>()
  const acknowledged = new Set<string>()
  const openedAt = clock.now()
  /** Boot identifier in the last report, which changes when the worker restarts. Empty before the first report. */
  let boot = ""
  /** Number of the last end that was received; the worker reports later ones only. */
  let endedAfter = 0
  /** The worker's clock in the last report, from which leases count. Negative when it is not known. */
  let basis: Milliseconds = -1
  let lastReportAt: Milliseconds | undefined
  let failures = 0
  let leasesExpired = false
  let closed = false
  let isSendingOrders = false
  let hasUnsentOrders = false
  let syncs = 0

  /** Reads the flag through a call, since the compiler does not see that it may change during an await. */
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

  /** Answers every unsettled start. One that was never sent has certainly not run. */
  function abandonStarts(): void {
    for (const [name, pending] of [...starts])
      settleStart(name, {type: pending.sent ? "unsure" : "never-started"})
  }

  function handleRestart(): void {
    abandonStarts()
    stops.clear()
    checkpoints.clear()
    acknowledged.clear()
    ports.onRestart()
  }

  function applyReport(report: WorkerReport): void {
    const first = lastReportAt === undefined
    if (boot !== "" && report.boot !== boot) {
      boot = report.boot
      basis = -1
      endedAfter = 0
      handleRestart()
    }
    boot = report.boot
    if (report.clock < basis) return
    basis = report.clock
    endedAfter = report.endedThrough
    lastReportAt = clock.now()
    failures = 0
    leasesExpired = false
    settleStarts(report)
    const running = new Set(report.running.map(entry => entry.attempt.attempt))
    for (const orders of [stops, checkpoints, throttles]) {
      for (const name of orders) if (!running.has(name) && !starts.has(name)) orders.delete(name)
    }
    ports.onReport(report, first)
  }

  function expireLeasesIfDue(): void {
    if (leasesExpired || clock.now() <= (lastReportAt ?? openedAt) + allowForDrift(TASK_LEASE_MS)) return
    leasesExpired = true
    abandonStarts()
    ports.onLeasesExpired()
  }

  /** Builds a request with all orders that are not settled yet. */
  function composeSync(epoch: number, wait: Milliseconds): WorkerSync {
    const lease = TASK_LEASE_MS
    const startOrders: Attempt[] = []
    if (basis >= 0) {
      for (const pending of starts.values()) {
        pending.sent = true
        pending.validUntil = Math.max(pending.validUntil, basis + lease)
        startOrders.push(pending.attempt)
      }
    }
    return {
      owner: ports.owner,
      epoch,
      boot,
      basis,
      lease,
      starts: startOrders,
      stops: [...stops],
      checkpoints: [...checkpoints],
      throttles: [...throttles],
      acknowledged: [...acknowledged],
      endedAfter,
      wait,
    }
  }

  /** Sends one request. Returns false when it failed, may not be sent, or the worker knows a newer epoch. */
  async function exchange(wait: Milliseconds): Promise<boolean> {
    const epoch = ports.epoch()
    if (epoch === undefined || closed) return false
    syncs += 1
    const request = composeSync(epoch, wait)
    const report = await gateway.sync(address, request)
    if (isClosed()) return false
    if (report.isErr()) {
      failures += 1
      return false
    }
    if (report.value.epoch > epoch) return false
    if (report.value.boot === request.boot) for (const name of request.acknowledged) acknowledged.delete(name)
    applyReport(report.value)
    return true
  }

  /** Requests reports until the link is closed. */
  async function pollReports(): Promise<void> {
    while (!closed) {
      const wasAnswered = await exchange(lastReportAt === undefined || failures > 0 ? 0 : LONG_POLL_MS)
      expireLeasesIfDue()
      if (!wasAnswered)
        await new Promise<void>(resolve =>
          clock.after(ports.epoch() === undefined ? NO_EPOCH_RETRY_DELAY_MS : RETRY_DELAY_MS, resolve),
        )
    }
  }

  /** Sends the orders given in the current turn in one request. Orders given meanwhile follow in another. */
  async function sendOrders(): Promise<void> {
    if (isSendingOrders) {
      hasUnsentOrders = true
      return
    }
    isSendingOrders = true
    do {
      hasUnsentOrders = false
      await Promise.resolve()
      await exchange(0)
    } while (hasUnsentOrders as boolean)
    isSendingOrders = false
  }

  function start(attempt: Attempt): Promise<StartResult> {
    return new Promise(resolve => {
      const pending: PendingStart = {attempt, validUntil: -1, sent: false, resolve}
      starts.set(attempt.attempt, pending)
      clock.after(START_CONFIRMATION_TIMEOUT_MS, () => {
        if (starts.get(attempt.attempt) !== pending) return
        pending.resolve = undefined
        resolve({type: "unsure"})
      })
      void sendOrders()
    })
  }

  void pollReports()

  return {
    start,
    stop(attempt) {
      stops.add(attempt)
      void sendOrders()
    },
    checkpoint(attempt) {
      checkpoints.add(attempt)
      void sendOrders()
    },
    throttle(attempt) {
      throttles.add(attempt)
      void sendOrders()
    },
    acknowledge(attempt) {
      acknowledged.add(attempt)
    },
    isResponsive: () => lastReportAt !== undefined && failures < FAILURES_TO_UNRESPONSIVE && !leasesExpired,
    isSettled: () => leasesExpired || lastReportAt !== undefined,
    isUnconfirmed: attempt => starts.get(attempt)?.sent ?? false,
    syncCount: () => syncs,
    close() {
      closed = true
      for (const pending of starts.values()) pending.resolve?.({type: "unsure"})
      starts.clear()
    },
  }
}
