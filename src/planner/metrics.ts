/**
 * Counters and latency histograms, as text for a metrics scraper. They are taken from the same lines that are
 * logged, so that a figure and the lines behind it always agree.
 */
import type {Logger} from "../core/logger.js"

/** Upper bounds of the buckets in milliseconds: from one call to the store to the longest usual job. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000]

interface Histogram {
  readonly counts: number[]
  sum: number
  total: number
}

export interface Metrics {
  /** Passes lines on and counts them by event and outcome; a field `took` goes to a histogram. */
  readonly counting: (log: Logger) => Logger
  /** The text, with the given gauges of this moment. */
  readonly text: (gauges: Readonly<Record<string, number>>) => string
}

interface Line {
  readonly event?: string
  readonly outcome?: string
  readonly end?: string
  readonly reason?: string
  readonly took?: number
}

/** Events whose reason is one of a few words; other reasons are sentences. */
const REASON_EVENTS: ReadonlySet<string> = new Set(["start-refused"])

function labelOf(line: Line): string {
  const reason = REASON_EVENTS.has(line.event ?? "") ? line.reason : undefined
  const outcome = line.outcome ?? line.end ?? reason
  return outcome === undefined ? `event="${line.event}"` : `event="${line.event}",outcome="${outcome}"`
}

function histogramText(event: string, {counts, sum, total}: Histogram): string {
  let below = 0
  const rows = BUCKETS_MS.map((bound, index) => {
    below += counts[index] ?? 0
    return `lacewing_took_ms_bucket{event="${event}",le="${bound}"} ${below}\n`
  })
  rows.push(`lacewing_took_ms_bucket{event="${event}",le="+Inf"} ${total}\n`)
  rows.push(`lacewing_took_ms_sum{event="${event}"} ${sum}\n`)
  rows.push(`lacewing_took_ms_count{event="${event}"} ${total}\n`)
  return rows.join("")
}

/** Creates empty metrics. */
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
    const line = fields as Line
    if (line.event === undefined) return
    const label = labelOf(line)
    events.set(label, (events.get(label) ?? 0) + 1)
    if (typeof line.took === "number") observe(line.event, line.took)
  }

  return {
    counting(log) {
      const through = (write: (fields: object, message: string) => void) => {
        return (fields: object, message: string): void => {
          count(fields)
          write(fields, message)
        }
      }
      return {
        debug: (fields, message) => log.debug(fields, message),
        info: through((fields, message) => log.info(fields, message)),
        warn: through((fields, message) => log.warn(fields, message)),
        error: through((fields, message) => log.error(fields, message)),
      }
    },
    text(gauges) {
      const now = Object.entries(gauges).map(([name, value]) => `lacewing_${name} ${value}\n`)
      const counted = [...events].sort().map(([label, value]) => `lacewing_events_total{${label}} ${value}\n`)
      const timed = [...histograms].sort().map(([event, histogram]) => histogramText(event, histogram))
      return [...now, ...counted, ...timed].join("")
    },
  }
}
