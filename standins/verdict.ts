/** Holds what callers were told against what the stand-ins saw. */
import type {AskedJob, AskedRequest, RequestClass} from "./load.js"
import {doubledRequests, doubledTasks} from "./truth.js"
import type {TaskRun, Truth} from "./truth.js"

export interface ClassRow {
  readonly kind: string
  readonly asked: number
  readonly answered: number
  readonly notRun: number
  readonly unknown: number
  readonly p50: number
  readonly p99: number
}

export interface Verdict {
  readonly rows: readonly ClassRow[]
  readonly doubled: readonly string[]
  readonly lost: readonly string[]
  readonly oversubscribed: readonly string[]
  /** Work that a caller was told had not run, and that had. */
  readonly untrue: readonly string[]
  readonly wrongAnswers: readonly string[]
}

function percentile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((one, other) => one - other)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function requestRow(kind: RequestClass, requests: readonly AskedRequest[]): ClassRow {
  const own = requests.filter(asked => asked.kind === kind)
  const ran = own.filter(asked => asked.told === "ran")
  const times = ran.map(asked => asked.took)
  return {
    kind: `request ${kind}`,
    asked: own.length,
    answered: ran.length,
    notRun: own.filter(asked => asked.told === "not-run").length,
    unknown: own.length - ran.length - own.filter(asked => asked.told === "not-run").length,
    p50: percentile(times, 0.5),
    p99: percentile(times, 0.99),
  }
}

function jobRow(kind: AskedJob["kind"], jobs: readonly AskedJob[], runs: readonly TaskRun[]): ClassRow {
  const own = jobs.filter(job => job.kind === kind)
  const firstStart = new Map<string, number>()
  for (const run of runs) if (!firstStart.has(run.job)) firstStart.set(run.job, run.startedAt)
  const waits = own.flatMap(job => {
    const start = firstStart.get(job.job)
    return start === undefined ? [] : [start - job.submittedAt]
  })
  const settled = (results: readonly string[], word: string): boolean =>
    results.length > 0 && results.every(result => result === word)
  return {
    kind: `job ${kind}`,
    asked: own.length,
    answered: own.filter(job => settled(job.results, "ran") || settled(job.results, "stopped")).length,
    notRun: own.filter(job => !job.accepted || settled(job.results, "not-run")).length,
    unknown: own.filter(job => job.results.includes("unknown")).length,
    p50: percentile(waits, 0.5),
    p99: percentile(waits, 0.99),
  }
}

function lostJobs(jobs: readonly AskedJob[], runs: readonly TaskRun[]): readonly string[] {
  const succeeded = new Set(
    runs.filter(run => run.outcome === "succeeded").map(run => `${run.job}.${run.task}`),
  )
  const lost: string[] = []
  for (const job of jobs) {
    if (!job.accepted) continue
    if (job.results.length === 0) lost.push(`job ${job.job} (${job.workload}) has not ended`)
    job.results.forEach((result, task) => {
      const claimed = result === "ran" && !succeeded.has(`${job.job}.${task}`)
      if (claimed) lost.push(`task ${job.job}.${task} was said to have run and did not`)
      if (result === "failed") lost.push(`task ${job.job}.${task} (${job.workload}) was said to have failed`)
    })
  }
  return lost
}

function untrueJobs(jobs: readonly AskedJob[], runs: readonly TaskRun[]): readonly string[] {
  const started = new Set(runs.map(run => `${run.job}.${run.task}`))
  return jobs.flatMap(job =>
    job.results.flatMap((result, task) =>
      result === "not-run" && started.has(`${job.job}.${task}`)
        ? [`task ${job.job}.${task} was said not to have run, and had`]
        : [],
    ),
  )
}

/** Judges a whole run. */
export function judge(truth: Truth, requests: readonly AskedRequest[], jobs: readonly AskedJob[]): Verdict {
  const ran = new Set(truth.requests().map(run => run.request))
  const kinds: readonly RequestClass[] = ["short", "long", "receipt"]
  const jobKinds: readonly AskedJob["kind"][] = ["batch", "gang", "service", "once", "urgent"]
  const untrueRequests = requests
    .filter(asked => asked.told === "not-run" && ran.has(asked.id))
    .map(asked => `request ${asked.id} was said not to have run, and had`)
  return {
    rows: [
      ...kinds.map(kind => requestRow(kind, requests)),
      ...jobKinds.map(kind => jobRow(kind, jobs, truth.tasks())),
    ],
    doubled: [...doubledTasks(truth.tasks()), ...doubledRequests(truth.requests())],
    lost: [
      ...requests
        .filter(asked => asked.told === "silent")
        .map(asked => `request ${asked.id} was never answered`),
      ...requests
        .filter(asked => asked.told === "ran" && !ran.has(asked.id) && asked.key === "")
        .map(asked => `request ${asked.id} was answered and did not run`),
      ...lostJobs(jobs, truth.tasks()),
    ],
    oversubscribed: truth.oversubscriptions(),
    untrue: [...untrueRequests, ...untrueJobs(jobs, truth.tasks())],
    wrongAnswers: requests
      .filter(asked => asked.told === "wrong")
      .map(asked => `request ${asked.id} got an answer that is not whole or not its own`),
  }
}
