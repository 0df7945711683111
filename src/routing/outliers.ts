/**
 * Outlier detection for the backend servers of a service. A server that fails repeatedly is excluded from routing for
 * a time that doubles with each exclusion. At most a third of the servers, or one, may be excluded at once: if
 * more look bad, the fault is assumed to be at this instance, and none is. Latency is recorded for the choice among
 * servers; it excludes none.
 */
import type {Milliseconds} from "../core/clock.js"

export interface ServerHealth {
  readonly consecutiveFailures: number
  /** Smoothed time to the first byte of a response; 0 before the first response. */
  readonly latency: Milliseconds
  readonly excludedUntil: Milliseconds
  /** Exponent of the next exclusion time. Each exclusion adds 1, and successes lower it slowly. */
  readonly exclusions: number
}

export type ServerHealths = ReadonlyMap<string, ServerHealth>

const NEW_HEALTH: ServerHealth = {
  consecutiveFailures: 0,
  latency: 0,
  excludedUntil: Number.NEGATIVE_INFINITY,
  exclusions: 0,
}

/** Consecutive failures after which a server is excluded. */
const FAILURES_TO_EXCLUDE = 4
const FIRST_EXCLUSION_MS: Milliseconds = 2000
const MAX_EXCLUSION_MS: Milliseconds = 60_000
const MAX_EXCLUDED_SHARE = 1 / 3
/** Weight of a new sample in the smoothed latency. */
const SMOOTHING = 0.1

export function recordResponse(healths: ServerHealths, server: string, latency: Milliseconds): ServerHealths {
  const known = healths.get(server) ?? NEW_HEALTH
  const smoothed = known.latency === 0 ? latency : known.latency + SMOOTHING * (latency - known.latency)
  const exclusions = known.consecutiveFailures > 0 ? known.exclusions : Math.max(0, known.exclusions - 0.1)
  return new Map(healths).set(server, {
    ...known,
    consecutiveFailures: 0,
    latency: smoothed,
    exclusions,
  })
}

export function recordFailure(healths: ServerHealths, server: string, now: Milliseconds): ServerHealths {
  const known = healths.get(server) ?? NEW_HEALTH
  const consecutiveFailures = known.consecutiveFailures + 1
  if (consecutiveFailures < FAILURES_TO_EXCLUDE)
    return new Map(healths).set(server, {...known, consecutiveFailures})
  const span = Math.min(MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2 ** known.exclusions)
  const excluded = {
    ...known,
    consecutiveFailures: 0,
    excludedUntil: now + span,
    exclusions: known.exclusions + 1,
  }
  return new Map(healths).set(server, excluded)
}

/** Servers that get no requests now. Empty if too many of the servers look bad at once. */
export function excludedServers(
  healths: ServerHealths,
  servers: readonly string[],
  now: Milliseconds,
): ReadonlySet<string> {
  const candidates = servers.filter(
    server => (healths.get(server)?.excludedUntil ?? Number.NEGATIVE_INFINITY) > now,
  )
  if (candidates.length > Math.max(1, Math.floor(servers.length * MAX_EXCLUDED_SHARE))) return new Set()
  return new Set(candidates)
}

export function latencyOf(healths: ServerHealths, server: string): Milliseconds {
  return healths.get(server)?.latency ?? 0
}
