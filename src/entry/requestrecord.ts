/** Counts the outcomes of the requests that this instance received, by service. */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Exchange} from "../filters/filter.js"
import type {Metrics} from "./metrics.js"

export interface ServiceCounts {
  /** Requests received. */
  readonly asked: number
  readonly ran: number
  readonly notRun: number
  /** Requests of which it is unknown whether they ran. */
  readonly unknown: number
}

export interface RequestRecord {
  readonly addOutcome: (exchange: Exchange) => void
  readonly countsOf: (service: string) => ServiceCounts
  /** Smoothed share of requests that did not run or whose outcome is unknown. */
  readonly failureShare: () => number
}

const NO_COUNTS: ServiceCounts = {asked: 0, ran: 0, notRun: 0, unknown: 0}
const SMOOTHING_FACTOR = 0.02
/** Bounds the memory for counts, because a caller can send any service name. */
const MAX_SERVICES = 1000
/** The reported share is rounded to hundredths. */
const STEPS_PER_UNIT = 100

/** Creates an empty record. */
export function createRequestRecord(clock: Clock, metrics: Metrics): RequestRecord {
  const services = new Map<string, ServiceCounts>()
  let share = 0

  return {
    addOutcome(exchange) {
      const {service, execution, startedAt} = exchange
      const took: Milliseconds = clock.now() - startedAt
      const counts = services.get(service) ?? NO_COUNTS
      const outcome = execution ?? "unknown"
      share += SMOOTHING_FACTOR * ((outcome === "ran" ? 0 : 1) - share)
      metrics.timing("request", took, {service, outcome})
      if (!services.has(service) && services.size >= MAX_SERVICES) return
      services.set(service, {
        asked: counts.asked + 1,
        ran: counts.ran + (outcome === "ran" ? 1 : 0),
        notRun: counts.notRun + (outcome === "not-run" ? 1 : 0),
        unknown: counts.unknown + (outcome === "unknown" ? 1 : 0),
      })
    },
    countsOf: service => services.get(service) ?? NO_COUNTS,
    failureShare: () => Math.round(share * STEPS_PER_UNIT) / STEPS_PER_UNIT,
  }
}
