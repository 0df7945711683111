/**
 * State of the workers of one group at the group's owner: a ledger of the capacity granted on each worker, a link
 * to each worker, and the ends of attempts that their homes have not acknowledged yet. A new owner rebuilds all of
 * it from the workers' reports alone.
 */
import type {Clock} from "../core/clock.js"
import type {Attempt, AttemptEnd, AttemptOutcome} from "../jobs/attempt.js"
import {applyLedgerStep, EMPTY_LEDGER, findWorkerHolding} from "../placement/ledger.js"
import type {GroupLedger, LedgerStep} from "../placement/ledger.js"
import {
  admissionOf,
  cancelTest,
  INITIAL_HEALTH,
  recordOutcome,
  recordTest,
} from "../placement/workerhealth.js"
import type {GroupHealth} from "../placement/workerhealth.js"
import type {ListedInstance, RunningAttempt, WorkerGateway, WorkerReport} from "../platform/ports.js"
import type {Logger} from "../core/logger.js"
import {workerLink} from "./workerlink.js"
import type {StartResult, WorkerLink} from "./workerlink.js"

export interface GroupWorkersPorts {
  readonly clock: Clock
  readonly gateway: WorkerGateway
  readonly log: Logger
  readonly instance: string
  readonly epoch: () => number | undefined
  /** Called when capacity may have become free. */
  readonly onFreeCapacity: () => void
  /** Called when there are ends to report to their homes. */
  readonly onEnds: () => void
}

export interface GroupWorkers {
  readonly ledger: () => GroupLedger
  readonly trust: () => GroupHealth
  /** Adds and removes workers to match the platform's instance list. */
  readonly reconcile: (listed: readonly ListedInstance[]) => void
  readonly grant: (worker: string, attempt: Attempt) => Promise<StartResult>
  readonly apply: (step: LedgerStep) => void
  /** Stops the attempt. Returns false when no worker holds it. */
  readonly stop: (attempt: string) => boolean
  /** Has the attempt checkpointed. Returns false when no worker holds it. */
  readonly checkpoint: (attempt: string) => boolean
  /** Ends that their homes have not acknowledged. */
  readonly pendingEnds: () => ReadonlyMap<string, AttemptEnd>
  readonly acknowledge: (attempt: string) => void
  /** True when the running attempts of every worker are known. */
  readonly isSettled: () => boolean
  readonly running: () => readonly {readonly worker: string; readonly attempt: Attempt}[]
  /** The last reported state of each running attempt. */
  readonly usage: () => ReadonlyMap<string, RunningAttempt>
  /** Number of exchanges with the workers so far. */
  readonly syncCount: () => number
  readonly close: () => void
}

/** A task is throttled when the ratio of its used to its declared memory exceeds this. */
const THROTTLE_MEMORY_RATIO = 1.1
/** A checkpointable task is checkpointed when the ratio of its used to its declared memory exceeds this. */
const CHECKPOINT_MEMORY_RATIO = 1.5

/** Creates the worker state for one epoch of the group. */
export function groupWorkers(ports: GroupWorkersPorts): GroupWorkers {
  const links = new Map<string, WorkerLink>()
  const listedWorkers = new Map<string, ListedInstance>()
  /** Workers that are leaving the group, as they or the platform report. They receive no new work. */
  const leavingWorkers = new Set<string>()
  const pendingEnds = new Map<string, AttemptEnd>()
  const usage = new Map<string, RunningAttempt>()
  let ledger: GroupLedger = EMPTY_LEDGER
  let trust: GroupHealth = INITIAL_HEALTH
  let closed = false

  function apply(step: LedgerStep): void {
    ledger = applyLedgerStep(ledger, step)
  }

  /** Opens or closes the worker for new work: it must be admitted, responsive and not leaving. */
  function updateOpen(worker: string): void {
    const entry = ledger.get(worker)
    if (!entry) return
    const isAdmitted = admissionOf(trust, worker, ports.clock.now()) !== "shut-out"
    const isResponsive = links.get(worker)?.isResponsive() ?? false
    const open = isAdmitted && isResponsive && !leavingWorkers.has(worker)
    if (open !== entry.isAcceptingWork) apply({type: "worker-opened", worker, open})
  }

  function updateAllOpen(): void {
    for (const worker of ledger.keys()) updateOpen(worker)
  }

  function createEnd(attempt: Attempt, worker: string, outcome: AttemptOutcome, detail: string): AttemptEnd {
    const {attempt: name, job, task, jobGroup} = attempt
    return {
      attempt: name,
      job,
      task,
      jobGroup,
      outcome,
      worker,
      checkpoint: "",
      detail,
      ranFor: 0,
      peakMemoryMebibytes: 0,
    }
  }

  /** Frees the capacity that the attempt held, and keeps its end until its home has acknowledged it. */
  function recordEnd(end: AttemptEnd): void {
    const attempt = ledger.get(end.worker)?.held.get(end.attempt)
    if (ledger.has(end.worker)) apply({type: "ended", worker: end.worker, attempt: end.attempt})
    usage.delete(end.attempt)
    if (pendingEnds.has(end.attempt)) return
    pendingEnds.set(end.attempt, end)
    if (!attempt) return
    if (end.outcome === "succeeded" || end.outcome === "failed") {
      const failed = end.outcome === "failed"
      const {job, workload} = attempt
      trust = recordOutcome(
        trust,
        {worker: end.worker, job, workload, failed, at: ports.clock.now()},
        ledger.size,
      )
    } else {
      trust = cancelTest(trust, end.worker)
    }
  }

  /** Ends every attempt on the worker with the outcome `lost`. */
  function endAllAsLost(worker: string, detail: string): void {
    const held = ledger.get(worker)?.held ?? new Map<string, Attempt>()
    for (const attempt of held.values()) recordEnd(createEnd(attempt, worker, "lost", detail))
    updateOpen(worker)
    ports.onEnds()
  }

  function applyRunningAttempt(worker: string, entry: RunningAttempt): void {
    const {attempt} = entry
    apply({type: "found-running", worker, attempt})
    usage.set(attempt.attempt, entry)
    const link = links.get(worker)
    if (pendingEnds.has(attempt.attempt)) {
      link?.stop(attempt.attempt)
      return
    }
    const {demand} = attempt
    if (demand.memoryMebibytes <= 0) return
    const ratio = entry.used.memoryMebibytes / demand.memoryMebibytes
    if (ratio > CHECKPOINT_MEMORY_RATIO && attempt.checkpointable) link?.checkpoint(attempt.attempt)
    else if (ratio > THROTTLE_MEMORY_RATIO) link?.throttle(attempt.attempt)
  }

  /** Records as lost the attempts that the worker does not report, except those whose start is unconfirmed. */
  function endUnreportedAsLost(worker: string, report: WorkerReport): void {
    const reported = new Set(report.running.map(entry => entry.attempt.attempt))
    const link = links.get(worker)
    for (const attempt of ledger.get(worker)?.held.values() ?? []) {
      if (
        reported.has(attempt.attempt) ||
        startingAttempts.has(attempt.attempt) ||
        link?.isUnconfirmed(attempt.attempt)
      )
        continue
      recordEnd(createEnd(attempt, worker, "lost", "the worker no longer knows the attempt"))
    }
  }

  /** Attempts whose start order has not been answered yet. */
  const startingAttempts = new Set<string>()

  function applyReport(worker: string, report: WorkerReport): void {
    if (report.leaving) leavingWorkers.add(worker)
    for (const entry of report.running) applyRunningAttempt(worker, entry)
    for (const end of report.ended) recordEnd(end)
    endUnreportedAsLost(worker, report)
    updateOpen(worker)
    if (pendingEnds.size > 0) ports.onEnds()
    ports.onFreeCapacity()
  }

  /** Handles the result of a start order that was unconfirmed for a while. */
  function handleLateStart(worker: string, name: string, result: StartResult): void {
    const attempt = ledger.get(worker)?.held.get(name)
    if (!attempt || result.type === "started" || result.type === "unsure") return
    recordEnd(createEnd(attempt, worker, "never-started", "the worker did not accept the start order"))
    ports.onEnds()
  }

  function addWorker(entry: ListedInstance): void {
    const {name, rack, dataCentre, pool, capacity} = entry
    apply({type: "worker-added", description: {worker: name, rack, dataCentre, pool, capacity}})
    if (links.has(name)) return
    const link = workerLink(entry.address, {
      clock: ports.clock,
      gateway: ports.gateway,
      owner: ports.instance,
      epoch: ports.epoch,
      onReport: report => applyReport(name, report),
      onRestart: () => endAllAsLost(name, "the worker restarted"),
      onLeasesExpired: () =>
        endAllAsLost(name, "the worker sent no report until its task leases had expired"),
      onLateStart: (attempt, result) => handleLateStart(name, attempt, result),
    })
    links.set(name, link)
  }

  /** Removes a worker that is no longer listed, once it is unresponsive and holds no attempt. */
  function removeWorker(name: string): void {
    const link = links.get(name)
    const held = ledger.get(name)?.held.size ?? 0
    if (held > 0 || !link?.isSettled() || link.isResponsive()) return
    link.close()
    links.delete(name)
    apply({type: "worker-removed", worker: name})
  }

  async function grant(worker: string, attempt: Attempt): Promise<StartResult> {
    const link = links.get(worker)
    if (!link) return {type: "refused", reason: "the worker has left the group"}
    const isTest = admissionOf(trust, worker, ports.clock.now()) === "test"
    apply({type: "granted", worker, attempt})
    if (isTest) {
      trust = recordTest(trust, worker)
      updateOpen(worker)
    }
    startingAttempts.add(attempt.attempt)
    const result = await link.start(attempt)
    startingAttempts.delete(attempt.attempt)
    if (result.type === "refused" || result.type === "never-started") {
      apply({type: "ended", worker, attempt: attempt.attempt})
      trust = cancelTest(trust, worker)
      ports.onFreeCapacity()
    }
    return result
  }

  return {
    ledger: () => ledger,
    trust: () => trust,
    reconcile(entries) {
      const names = new Set(entries.map(entry => entry.name))
      for (const entry of entries) {
        listedWorkers.set(entry.name, entry)
        if (entry.status === "leaving") leavingWorkers.add(entry.name)
        else leavingWorkers.delete(entry.name)
        addWorker(entry)
      }
      for (const name of [...listedWorkers.keys()]) {
        if (names.has(name)) continue
        leavingWorkers.add(name)
        removeWorker(name)
        if (!links.has(name)) listedWorkers.delete(name)
      }
      updateAllOpen()
    },
    grant,
    apply,
    stop(attempt) {
      const worker = findWorkerHolding(ledger, attempt)
      if (worker) links.get(worker.worker)?.stop(attempt)
      return worker !== undefined
    },
    checkpoint(attempt) {
      const worker = findWorkerHolding(ledger, attempt)
      if (worker) links.get(worker.worker)?.checkpoint(attempt)
      return worker !== undefined
    },
    pendingEnds: () => pendingEnds,
    acknowledge(attempt) {
      const end = pendingEnds.get(attempt)
      if (!end) return
      pendingEnds.delete(attempt)
      links.get(end.worker)?.acknowledge(attempt)
    },
    isSettled: () => !closed && [...links.values()].every(link => link.isSettled()),
    running: () =>
      [...ledger.values()].flatMap(worker =>
        [...worker.held.values()].map(attempt => ({worker: worker.worker, attempt})),
      ),
    usage: () => usage,
    syncCount: () => [...links.values()].reduce((sum, link) => sum + link.syncCount(), 0),
    close() {
      closed = true
      for (const link of links.values()) link.close()
    },
  }
}
