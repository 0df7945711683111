/**
 * The workers of one group as their owner sees them: the ledger of what each was given, a link to each, and the
 * ends that have not reached their homes yet. It is rebuilt from the workers' reports alone.
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
  /** Room may have become free. */
  readonly onRoom: () => void
  readonly onEnds: () => void
}

export interface GroupWorkers {
  readonly ledger: () => GroupLedger
  readonly trust: () => GroupHealth
  /** Brings the set of workers in line with the platform's list. */
  readonly reconcile: (listed: readonly ListedInstance[]) => void
  readonly grant: (worker: string, attempt: Attempt) => Promise<StartResult>
  readonly apply: (step: LedgerStep) => void
  readonly stop: (attempt: string) => boolean
  readonly checkpoint: (attempt: string) => boolean
  /** Ends that their homes have not acknowledged. */
  readonly pendingEnds: () => ReadonlyMap<string, AttemptEnd>
  readonly acknowledge: (attempt: string) => void
  /** True when it is known of every worker what runs there. */
  readonly settled: () => boolean
  readonly running: () => readonly {readonly worker: string; readonly attempt: Attempt}[]
  readonly usage: () => ReadonlyMap<string, RunningAttempt>
  readonly syncs: () => number
  readonly close: () => void
}

/** A task that uses this much more memory than it declared is throttled. */
const MEMORY_OVERUSE = 1.1
/** A checkpointable task that uses this much more memory than it declared is checkpointed. */
const MEMORY_EXCESS = 1.5

/** Creates the workers of a group for the current holder. */
export function groupWorkers(ports: GroupWorkersPorts): GroupWorkers {
  const links = new Map<string, WorkerLink>()
  const listed = new Map<string, ListedInstance>()
  const leaving = new Set<string>()
  const pending = new Map<string, AttemptEnd>()
  const usage = new Map<string, RunningAttempt>()
  /** Attempt name to the worker and the attempt, while its start is being settled. */
  let ledger: GroupLedger = EMPTY_LEDGER
  let trust: GroupHealth = INITIAL_HEALTH
  let closed = false

  function apply(step: LedgerStep): void {
    ledger = applyLedgerStep(ledger, step)
  }

  function setOpen(worker: string): void {
    const entry = ledger.get(worker)
    if (!entry) return
    const admitted = admissionOf(trust, worker, ports.clock.now()) !== "shut-out"
    const responsive = links.get(worker)?.responsive() ?? false
    const open = admitted && responsive && !leaving.has(worker)
    if (open !== entry.isAcceptingWork) apply({type: "worker-opened", worker, open})
  }

  function refreshOpen(): void {
    for (const worker of ledger.keys()) setOpen(worker)
  }

  function endFor(attempt: Attempt, worker: string, outcome: AttemptOutcome, detail: string): AttemptEnd {
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

  /** Frees what the attempt held and keeps its end until the home has taken it. */
  function finish(end: AttemptEnd): void {
    const attempt = ledger.get(end.worker)?.held.get(end.attempt)
    if (ledger.has(end.worker)) apply({type: "ended", worker: end.worker, attempt: end.attempt})
    usage.delete(end.attempt)
    if (pending.has(end.attempt)) return
    pending.set(end.attempt, end)
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

  function loseAll(worker: string, detail: string): void {
    const held = ledger.get(worker)?.held ?? new Map<string, Attempt>()
    for (const attempt of held.values()) finish(endFor(attempt, worker, "lost", detail))
    setOpen(worker)
    ports.onEnds()
  }

  function takeRunning(worker: string, entry: RunningAttempt): void {
    const {attempt} = entry
    apply({type: "found-running", worker, attempt})
    usage.set(attempt.attempt, entry)
    const link = links.get(worker)
    if (pending.has(attempt.attempt)) {
      link?.stop(attempt.attempt)
      return
    }
    const {demand} = attempt
    if (demand.memoryMebibytes <= 0) return
    const ratio = entry.used.memoryMebibytes / demand.memoryMebibytes
    if (ratio > MEMORY_EXCESS && attempt.checkpointable) link?.checkpoint(attempt.attempt)
    else if (ratio > MEMORY_OVERUSE) link?.throttle(attempt.attempt)
  }

  /** Attempts that are held but neither reported nor in question have ended without a trace. */
  function loseUnreported(worker: string, report: WorkerReport): void {
    const known = new Set(report.running.map(entry => entry.attempt.attempt))
    const link = links.get(worker)
    for (const attempt of ledger.get(worker)?.held.values() ?? []) {
      if (known.has(attempt.attempt) || starting.has(attempt.attempt) || link?.isUnsure(attempt.attempt))
        continue
      finish(endFor(attempt, worker, "lost", "the worker no longer knows the attempt"))
    }
  }

  const starting = new Set<string>()

  function takeReport(worker: string, report: WorkerReport): void {
    if (report.leaving) leaving.add(worker)
    for (const entry of report.running) takeRunning(worker, entry)
    for (const end of report.ended) finish(end)
    loseUnreported(worker, report)
    setOpen(worker)
    if (pending.size > 0) ports.onEnds()
    ports.onRoom()
  }

  function lateStart(worker: string, name: string, result: StartResult): void {
    const attempt = ledger.get(worker)?.held.get(name)
    if (!attempt || result.type === "started" || result.type === "unsure") return
    finish(endFor(attempt, worker, "never-started", "the worker did not take the start order"))
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
      onReport: report => takeReport(name, report),
      onRestart: () => loseAll(name, "the worker restarted"),
      onLapsed: () => loseAll(name, "the worker was not heard until its leases had lapsed"),
      onLateStart: (attempt, result) => lateStart(name, attempt, result),
    })
    links.set(name, link)
  }

  function removeWorker(name: string): void {
    const link = links.get(name)
    const held = ledger.get(name)?.held.size ?? 0
    if (held > 0 || !link?.settled() || link.responsive()) return
    link.close()
    links.delete(name)
    apply({type: "worker-removed", worker: name})
  }

  async function grant(worker: string, attempt: Attempt): Promise<StartResult> {
    const link = links.get(worker)
    if (!link) return {type: "refused", reason: "the worker has left the group"}
    const testing = admissionOf(trust, worker, ports.clock.now()) === "test"
    apply({type: "granted", worker, attempt})
    if (testing) {
      trust = recordTest(trust, worker)
      setOpen(worker)
    }
    starting.add(attempt.attempt)
    const result = await link.start(attempt)
    starting.delete(attempt.attempt)
    if (result.type === "refused" || result.type === "never-started") {
      apply({type: "ended", worker, attempt: attempt.attempt})
      trust = cancelTest(trust, worker)
      ports.onRoom()
    }
    return result
  }

  return {
    ledger: () => ledger,
    trust: () => trust,
    reconcile(entries) {
      const names = new Set(entries.map(entry => entry.name))
      for (const entry of entries) {
        listed.set(entry.name, entry)
        if (entry.status === "leaving") leaving.add(entry.name)
        else leaving.delete(entry.name)
        addWorker(entry)
      }
      for (const name of [...listed.keys()]) {
        if (names.has(name)) continue
        leaving.add(name)
        removeWorker(name)
        if (!links.has(name)) listed.delete(name)
      }
      refreshOpen()
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
    pendingEnds: () => pending,
    acknowledge(attempt) {
      const end = pending.get(attempt)
      if (!end) return
      pending.delete(attempt)
      links.get(end.worker)?.acknowledge(attempt)
    },
    settled: () => !closed && [...links.values()].every(link => link.settled()),
    running: () =>
      [...ledger.values()].flatMap(worker =>
        [...worker.held.values()].map(attempt => ({worker: worker.worker, attempt})),
      ),
    usage: () => usage,
    syncs: () => [...links.values()].reduce((sum, link) => sum + link.syncs(), 0),
    close() {
      closed = true
      for (const link of links.values()) link.close()
    },
  }
}
