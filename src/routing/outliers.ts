/**
 * Backend servers that fail or answer slowly, compared with their peers. At most a third of a service's known
 * servers is put out at once; when more than that look bad, the fault is taken to be on this side and none is.
 */
import type {Milliseconds} from "../core/clock.js"

export interface ServerHealth {
  readonly consecutiveFailures: number
  /** Smoothed time to the first byte. */
  readonly latency: Milliseconds
  readonly putOutUntil: Milliseconds
  readonly putOuts: number
}

export type ServerHealths = ReadonlyMap<string, ServerHealth>

const NEW_HEALTH: ServerHealth = {
  consecutiveFailures: 0,
  latency: 0,
  putOutUntil: Number.NEGATIVE_INFINITY,
  putOuts: 0,
}

const FAILURES_TO_PUT_OUT = 4
const FIRST_PUT_OUT_MS: Milliseconds = 2000
const LARGEST_PUT_OUT_MS: Milliseconds = 60_000
const LARGEST_SHARE_PUT_OUT = 1 / 3
const SMOOTHING = 0.1

export function noteAnswer(healths: ServerHealths, server: string, latency: Milliseconds): ServerHealths {
  const known = healths.get(server) ?? NEW_HEALTH
  const smoothed = known.latency === 0 ? latency : known.latency + SMOOTHING * (latency - known.latency)
  const putOuts = known.consecutiveFailures > 0 ? known.putOuts : Math.max(0, known.putOuts - 0.1)
  return new Map(healths).set(server, {...known, consecutiveFailures: 0, latency: smoothed, putOuts})
}

export function noteFailure(healths: ServerHealths, server: string, now: Milliseconds): ServerHealths {
  const known = healths.get(server) ?? NEW_HEALTH
  const consecutiveFailures = known.consecutiveFailures + 1
  if (consecutiveFailures < FAILURES_TO_PUT_OUT)
    return new Map(healths).set(server, {...known, consecutiveFailures})
  const span = Math.min(LARGEST_PUT_OUT_MS, FIRST_PUT_OUT_MS * 2 ** known.putOuts)
  const putOut = {...known, consecutiveFailures: 0, putOutUntil: now + span, putOuts: known.putOuts + 1}
  return new Map(healths).set(server, putOut)
}

/** Servers that get no requests now. Empty when too many look bad at once. */
export function putOutServers(
  healths: ServerHealths,
  servers: readonly string[],
  now: Milliseconds,
): ReadonlySet<string> {
  const bad = servers.filter(server => (healths.get(server)?.putOutUntil ?? Number.NEGATIVE_INFINITY) > now)
  if (bad.length > Math.max(1, Math.floor(servers.length * LARGEST_SHARE_PUT_OUT))) return new Set()
  return new Set(bad)
}

export function latencyOf(healths: ServerHealths, server: string): Milliseconds {
  return healths.get(server)?.latency ?? 0
}
