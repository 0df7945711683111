/** Counts what became of the requests that this instance took, by service. */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Exchange} from "../filters/filter.js"
import type {Metrics} from "./metrics.js"

export interface ServiceCounts {
  readonly asked: number
  readonly ran: number
  readonly notRun: number
  readonly unknown: number
}

export interface RequestRecord {
  readonly note: (exchange: Exchange) => void
  readonly countsOf: (service: string) => ServiceCounts
  /** Smoothed share of requests that did not run or have no known outcome. */
  readonly failureShare: () => number
}

const NO_COUNTS: ServiceCounts = {asked: 0, ran: 0, notRun: 0, unknown: 0}
const SMOOTHING = 0.02
const KNOWN_SERVICES = 1000
const SHARE_STEPS = 100

/** Creates an empty record. */
export function requestRecord(clock: Clock, metrics: Metrics): RequestRecord {
  const services = new Map<string, ServiceCounts>()
  let share = 0

  return {
    note(exchange) {
      const {service, execution, startedAt} = exchange
      const took: Milliseconds = clock.now() - startedAt
      const known = services.get(service) ?? NO_COUNTS
      const outcome = execution ?? "unknown"
      share += SMOOTHING * ((outcome === "ran" ? 0 : 1) - share)
      metrics.timing("request", took, {service, outcome})
      if (!services.has(service) && services.size >= KNOWN_SERVICES) return
      services.set(service, {
        asked: known.asked + 1,
        ran: known.ran + (outcome === "ran" ? 1 : 0),
        notRun: known.notRun + (outcome === "not-run" ? 1 : 0),
        unknown: known.unknown + (outcome === "unknown" ? 1 : 0),
      })
    },
    countsOf: service => services.get(service) ?? NO_COUNTS,
    failureShare: () => Math.round(share * SHARE_STEPS) / SHARE_STEPS,
  }
}
