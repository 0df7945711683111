/**
 * Sets the deadline of a request from its `Prefer: wait` header (RFC 7240) or else the default of the service, and
 * its urgency from its `Priority` header (RFC 9218).
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sendProblem} from "./problems.js"
import type {Filter} from "./filter.js"

export interface DeadlineRules {
  readonly defaultFor: (service: string) => Milliseconds
  readonly maximum: () => Milliseconds
}

/** Default of RFC 9218; 0 is the most urgent, 7 the least. */
const DEFAULT_URGENCY = 3

/** Seconds given by `Prefer: wait=N`; undefined if the header has no `wait`, NaN if its value is malformed. */
function preferredWait(header: string): number | undefined {
  const match = /(?:^|[,;\s])wait\s*=\s*"?([^",;\s]*)"?/i.exec(header)
  if (!match) return undefined
  return /^\d+(?:\.\d+)?$/.test(match[1] ?? "") ? Number(match[1]) : Number.NaN
}

function urgencyOf(header: string): number {
  const match = /(?:^|[,\s])u\s*=\s*([0-7])(?![0-9])/.exec(header)
  return match ? Number(match[1]) : DEFAULT_URGENCY
}

/** Creates the filter. It refuses a request whose wait is zero or malformed. */
export function deadlineFilter(clock: Clock, rules: DeadlineRules): Filter {
  return async (exchange, next) => {
    const {incoming, outgoing, id} = exchange
    const waitSeconds = preferredWait(String(incoming.headers.prefer ?? ""))
    if (waitSeconds !== undefined && !(waitSeconds > 0)) {
      exchange.execution = "not-run"
      const detail = "Prefer: wait needs a number of seconds greater than zero."
      sendProblem(outgoing, id, {
        status: 400,
        type: "expired-deadline",
        title: "The deadline has passed",
        detail,
        execution: "not-run",
      })
      return
    }
    const timeout = waitSeconds === undefined ? rules.defaultFor(exchange.service) : waitSeconds * 1000
    exchange.deadlineAt = clock.now() + Math.min(timeout, rules.maximum())
    exchange.urgency = urgencyOf(String(incoming.headers.priority ?? ""))
    await next()
  }
}
