/**
 * Sets the deadline of a request from `Prefer: wait` (RFC 7240) or the service's default, and its urgency from
 * `Priority` (RFC 9218).
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sendProblem} from "./answers.js"
import type {Filter} from "./filter.js"

export interface DeadlineRules {
  readonly defaultFor: (service: string) => Milliseconds
  readonly longest: () => Milliseconds
}

const DEFAULT_URGENCY = 3

/** The seconds that `Prefer: wait=N` names; undefined when there is none, NaN when it is malformed. */
function preferredWait(header: string): number | undefined {
  const match = /(?:^|[,;\s])wait\s*=\s*"?([^",;\s]*)"?/i.exec(header)
  if (!match) return undefined
  return /^\d+(?:\.\d+)?$/.test(match[1] ?? "") ? Number(match[1]) : Number.NaN
}

function urgencyOf(header: string): number {
  const match = /(?:^|[,\s])u\s*=\s*([0-7])(?![0-9])/.exec(header)
  return match ? Number(match[1]) : DEFAULT_URGENCY
}

/** Creates the filter. A deadline that has passed or is malformed is refused before anything runs. */
export function deadlineFilter(clock: Clock, rules: DeadlineRules): Filter {
  return async (exchange, next) => {
    const {incoming, outgoing, id} = exchange
    const wait = preferredWait(String(incoming.headers.prefer ?? ""))
    if (wait !== undefined && !(wait > 0)) {
      exchange.execution = "not-run"
      const detail = "Prefer: wait takes a number of seconds above zero."
      sendProblem(outgoing, id, {
        status: 400,
        type: "expired-deadline",
        title: "The deadline has passed",
        detail,
        execution: "not-run",
      })
      return
    }
    const span = wait === undefined ? rules.defaultFor(exchange.service) : wait * 1000
    exchange.deadlineAt = clock.now() + Math.min(span, rules.longest())
    exchange.urgency = urgencyOf(String(incoming.headers.priority ?? ""))
    await next()
  }
}
