/** Bounds the requests that one caller, and one team, may have open at this instance. */
import {sendProblem} from "./answers.js"
import type {Filter} from "./filter.js"

export interface CallerLimits {
  readonly perCaller: () => number
  /** Undefined for a team that the document does not name. */
  readonly perTeam: (team: string) => number | undefined
}

const RETRY_AFTER_MS = 1000

function take(counts: Map<string, number>, name: string, limit: number): boolean {
  const open = counts.get(name) ?? 0
  if (open >= limit) return false
  counts.set(name, open + 1)
  return true
}

function giveBack(counts: Map<string, number>, name: string): void {
  const open = (counts.get(name) ?? 1) - 1
  if (open > 0) counts.set(name, open)
  else counts.delete(name)
}

export function callerLimitFilter(limits: CallerLimits): Filter {
  const callers = new Map<string, number>()
  const teams = new Map<string, number>()
  return async (exchange, next) => {
    const {caller, team, outgoing, id} = exchange
    const refuse = (detail: string): void => {
      exchange.execution = "not-run"
      const title = "Too many open requests"
      sendProblem(outgoing, id, {
        status: 429,
        type: "too-many-requests",
        title,
        detail,
        execution: "not-run",
        retryAfter: RETRY_AFTER_MS,
      })
    }
    if (!take(callers, caller, limits.perCaller())) {
      refuse("This caller has as many open requests as it may have.")
      return
    }
    try {
      const teamLimit = team === "" ? Number.POSITIVE_INFINITY : limits.perTeam(team)
      if (teamLimit === undefined || !take(teams, team, teamLimit)) {
        refuse(
          teamLimit === undefined
            ? "The team is not known."
            : "The team has as many open requests as it may have.",
        )
        return
      }
      try {
        await next()
      } finally {
        giveBack(teams, team)
      }
    } finally {
      giveBack(callers, caller)
    }
  }
}
