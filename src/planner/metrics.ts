/**
 * Event counters and duration histograms in the Prometheus text format. They are derived from the log lines, so that
 * metrics and log always agree.
 */
import type {Logger} from "../core/logger.js"

/** Upper bounds of the histogram buckets, from the duration of one store call to that of the longest usual job. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000]

interface Histogram {
  readonly counts: number[]
  sum: number
  total: number
}

export interface Metrics {
  /**
   * Returns a logger that forwards to `log` and counts each line by its event and outcome, except debug lines. A field
   * `took` is added to the histogram of the event.
   */
  readonly wrapLogger: (log: Logger) => Logger
  /** Formats all metrics, with the given current values of gauges. */
  readonly format: (gauges: Readonly<Record<string, number>>) => string
}

/** The fields of a log line that metrics use. */
interface LogLine {
  readonly event?: string
  readonly outcome?: string
  readonly end?: string
  readonly reason?: string
  readonly took?: number
}

/** Events whose reason is one of a few fixed words and can serve as a label; other reasons are free text. */
const REASON_EVENTS: ReadonlySet<string> = new Set(["start-refused"])

function labelOf(line: LogLine): string {
  const reason = REASON_EVENTS.has(line.event ?? "") ? line.reason : undefined
  const outcome = line.outcome ?? line.end ?? reason
  return outcome === undefined ? `event="${line.event}"` : `event="${line.event}",outcome="${outcome}"`
}

function histogramText(event: string, {counts, sum, total}: Histogram): string {
  let cumulative = 0
  const rows = BUCKETS_MS.map((bound, index) => {
    cumulative += counts[index] ?? 0
    return `lacewing_took_ms_bucket{event="${event}",le="${bound}"} ${cumulative}\n`
  })
  rows.push(`lacewing_took_ms_bucket{event="${event}",le="+Inf"} ${total}\n`)
  rows.push(`lacewing_took_ms_sum{event="${event}"} ${sum}\n`)
  rows.push(`lacewing_took_ms_count{event="${event}"} ${total}\n`)
  return rows.join("")
}

export function createFleetMetrics(): Metrics {
  const events = new Map<string, number>()
  const histograms = new Map<string, Histogram>()

  function observe(event: string, took: number): void {
    const histogram = histograms.get(event) ?? {counts: [], sum: 0, total: 0}
    histograms.set(event, histogram)
    const bucket = BUCKETS_MS.findIndex(bound => took <= bound)
    if (bucket >= 0) histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) + 1
    histogram.sum += took
    histogram.total += 1
  }

  function count(fields: object): void {
    const line = fields as LogLine
    if (line.event === undefined) return
    const label = labelOf(line)
    events.set(label, (events.get(label) ?? 0) + 1)
    if (typeof line.took === "number") observe(line.event, line.took)
  }

  return {
    wrapLogger(log) {
      const countAndForward = (write: (fields: object, message: string) => void) => {
        return (fields: object, message: string): void => {
          count(fields)
          write(fields, message)
        }
      }
      return {
        debug: (fields, message) => log.debug(fields, message),
        info: countAndForward((fields, message) => log.info(fields, message)),
        warn: countAndForward((fields, message) => log.warn(fields, message)),
        error: countAndForward((fields, message) => log.error(fields, message)),
      }
    },
    format(gauges) {
      const gaugeLines = Object.entries(gauges).map(([name, value]) => `lacewing_${name} ${value}\n`)
      const counterLines = [...events]
        .sort()
        .map(([label, value]) => `lacewing_events_total{${label}} ${value}\n`)
      const histogramLines = [...histograms]
        .sort()
        .map(([event, histogram]) => histogramText(event, histogram))
      return [...gaugeLines, ...counterLines, ...histogramLines].join("")
    },
  }
}
