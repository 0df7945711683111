/** Limits the number of open requests of each caller and of each team at this instance. */
import {sendProblem} from "./problems.js"
import type {Filter} from "./filter.js"

export interface CallerLimits {
  readonly perCaller: () => number
  /** Undefined for a team that the configuration document does not define. */
  readonly perTeam: (team: string) => number | undefined
}

const RETRY_AFTER_MS = 1000

function tryAcquire(counts: Map<string, number>, name: string, limit: number): boolean {
  const open = counts.get(name) ?? 0
  if (open >= limit) return false
  counts.set(name, open + 1)
  return true
}

function release(counts: Map<string, number>, name: string): void {
  const open = (counts.get(name) ?? 1) - 1
  if (open > 0) counts.set(name, open)
  else counts.delete(name)
}

export function callerLimitFilter(limits: CallerLimits): Filter {
  const openByCaller = new Map<string, number>()
  const openByTeam = new Map<string, number>()
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
    if (!tryAcquire(openByCaller, caller, limits.perCaller())) {
      refuse("The caller has reached its limit of open requests.")
      return
    }
    try {
      const teamLimit = team === "" ? Number.POSITIVE_INFINITY : limits.perTeam(team)
      if (teamLimit === undefined || !tryAcquire(openByTeam, team, teamLimit)) {
        refuse(
          teamLimit === undefined
            ? "The configuration document does not define the team."
            : "The team has reached its limit of open requests.",
        )
        return
      }
      try {
        await next()
      } finally {
        release(openByTeam, team)
      }
    } finally {
      release(openByCaller, caller)
    }
  }
}
