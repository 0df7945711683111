/**
 * Summarizes decision logs: waiting times, outcomes, the second of peak load, latencies of the short and the long lane,
 * and incidents such as fenced instances and preemptions.
 */
import type {LogRecord} from "./records.js"

export interface Distribution {
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
}

/** Counts for one second; `second` counts from the first record of the logs. */
export interface Second {
  readonly second: number
  readonly requests: number
  readonly failed: number
  readonly starts: number
}

export interface ServiceSummary {
  readonly service: string
  readonly asked: number
  readonly ran: number
  readonly notRun: number
  readonly unknown: number
  readonly time: Distribution
}

export interface ReportSummary {
  readonly from: number
  readonly to: number
  readonly requests: {readonly total: number; readonly services: readonly ServiceSummary[]}
  readonly tasks: {
    readonly started: number
    readonly waits: Distribution
    readonly outcomes: Readonly<Record<string, number>>
  }
  /** The second with the most requests. */
  readonly crest: {readonly second: number; readonly requests: number; readonly answeredShare: number}
  readonly lanes: {readonly short: Distribution; readonly long: Distribution}
  readonly seconds: readonly Second[]
  /** Tasks of which two attempts ran at the same time according to the logs. */
  readonly doubled: readonly string[]
  readonly fenced: number
  readonly preemptions: number
  readonly stops: number
}

export function distribution(values: readonly number[]): Distribution {
  const sorted = [...values].sort((one, other) => one - other)
  const at = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
  return {count: sorted.length, p50: at(0.5), p99: at(0.99), p999: at(0.999)}
}

function countBy(
  records: readonly LogRecord[],
  key: (record: LogRecord) => string,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const record of records) counts[key(record)] = (counts[key(record)] ?? 0) + 1
  return counts
}

function summarizeService(service: string, records: readonly LogRecord[]): ServiceSummary {
  const own = records.filter(record => record.service === service)
  const outcomes = countBy(own, record => record.execution ?? "unknown")
  const times = own.filter(record => record.execution === "ran").map(record => record.took ?? 0)
  return {
    service,
    asked: own.length,
    ran: outcomes.ran ?? 0,
    notRun: outcomes["not-run"] ?? 0,
    unknown: outcomes.unknown ?? 0,
    time: distribution(times),
  }
}

function countBySecond(
  from: number,
  ended: readonly LogRecord[],
  starts: readonly LogRecord[],
): readonly Second[] {
  const seconds = new Map<number, {requests: number; failed: number; starts: number}>()
  const entry = (record: LogRecord): {requests: number; failed: number; starts: number} => {
    const second = Math.floor((record.time - from) / 1000)
    const known = seconds.get(second) ?? {requests: 0, failed: 0, starts: 0}
    seconds.set(second, known)
    return known
  }
  for (const record of ended) {
    const second = entry(record)
    second.requests += 1
    if (record.execution !== "ran") second.failed += 1
  }
  for (const record of starts) entry(record).starts += 1
  return [...seconds]
    .map(([second, values]) => ({second, ...values}))
    .sort((one, other) => one.second - other.second)
}

/** Finds attempts of one task that overlap in time, from the records of their starts and ends. */
function findDoubled(starts: readonly LogRecord[], ends: readonly LogRecord[]): readonly string[] {
  const endedAt = new Map<string, number>()
  for (const record of ends) if (record.attempt !== undefined) endedAt.set(record.attempt, record.time)
  const open = new Map<string, LogRecord>()
  const doubled: string[] = []
  for (const start of starts) {
    const [job = "", task = ""] = (start.attempt ?? "").split(".")
    const before = open.get(`${job}.${task}`)
    const end = before && (endedAt.get(before.attempt ?? "") ?? Number.POSITIVE_INFINITY)
    if (before && before.attempt !== start.attempt && end !== undefined && end > start.time) {
      doubled.push(`${job}.${task}: ${before.attempt ?? ""} and ${start.attempt ?? ""}`)
    }
    open.set(`${job}.${task}`, start)
  }
  return doubled
}

/** Summarizes records, which must be sorted by time. */
export function summarize(records: readonly LogRecord[]): ReportSummary {
  const from = records[0]?.time ?? 0
  const of = (event: string): readonly LogRecord[] => records.filter(record => record.event === event)
  const ended = of("request-ended")
  const starts = of("placement").filter(record => record.result === "started")
  const ends = of("attempt-ended")
  const waits = of("placement-answer")
    .filter(record => record.result === "started")
    .map(record => record.waited ?? 0)
  const seconds = countBySecond(from, ended, starts)
  const peakSecond = seconds.reduce((most, second) => (second.requests > most.requests ? second : most), {
    second: 0,
    requests: 0,
    failed: 0,
    starts: 0,
  })
  const laneOf = new Map(of("routing").map(record => [record.request, record.lane]))
  const lane = (name: string): Distribution =>
    distribution(ended.filter(record => laneOf.get(record.request) === name).map(record => record.took ?? 0))
  const services = [...new Set(ended.map(record => record.service ?? ""))].sort()
  return {
    from,
    to: records.at(-1)?.time ?? 0,
    requests: {total: ended.length, services: services.map(service => summarizeService(service, ended))},
    tasks: {
      started: starts.length,
      waits: distribution(waits),
      outcomes: countBy(ends, record => record.outcome ?? "unknown"),
    },
    crest: {
      second: peakSecond.second,
      requests: peakSecond.requests,
      answeredShare: peakSecond.requests > 0 ? 1 - peakSecond.failed / peakSecond.requests : 1,
    },
    lanes: {short: lane("short"), long: lane("long")},
    seconds,
    doubled: findDoubled(starts, ends),
    fenced: of("fenced").length,
    preemptions: of("preemption").length,
    stops: of("stopped").length,
  }
}
