/**
 * Admission queue of one service at one entry instance: requests that wait for a slot of a backend server. Short and
 * long requests, classified by the past service times of their class, wait in separate lanes. Long requests may use
 * only a share of the slots, so that short requests are not blocked behind them. `expectedWait` lets the caller shed
 * at once a request that cannot be served before its deadline.
 */
import type {Milliseconds} from "../core/clock.js"

export type LaneName = "short" | "long"

export interface WaitingRequest {
  readonly id: string
  readonly lane: LaneName
  /** RFC 9218 urgency: 0 is served first, 7 last. */
  readonly urgency: number
  readonly deadlineAt: Milliseconds
}

/** Share of an instance's slots that long requests may use while there are short requests. */
const LONG_REQUEST_SHARE = 0.75

/** The number of the held slots that long requests may use while there are short requests. */
export function maxSlotsForLongRequests(held: number): number {
  return Math.max(1, Math.floor(held * LONG_REQUEST_SHARE))
}

/** Number of short requests served in a row before a waiting long request is served, which prevents starvation. */
const SHORT_REQUESTS_PER_LONG = 4

export interface AdmissionQueue {
  readonly add: (request: WaitingRequest) => void
  readonly remove: (id: string) => boolean
  readonly size: () => number
  readonly lengthOf: (lane: LaneName) => number
  /** Removes and returns the next request to serve. Long requests are considered only if `mayServeLong` is set. */
  readonly next: (mayServeLong: boolean) => WaitingRequest | undefined
  /** Removes and returns the requests whose deadline has passed. */
  readonly expire: (now: Milliseconds) => readonly WaitingRequest[]
}

const URGENCY_LEVELS = 8

export function admissionQueue(): AdmissionQueue {
  const lanes: Readonly<Record<LaneName, Map<string, WaitingRequest>[]>> = {
    short: Array.from({length: URGENCY_LEVELS}, () => new Map<string, WaitingRequest>()),
    long: Array.from({length: URGENCY_LEVELS}, () => new Map<string, WaitingRequest>()),
  }
  let consecutiveShort = 0

  function lengthOf(lane: LaneName): number {
    return lanes[lane].reduce((sum, level) => sum + level.size, 0)
  }

  function takeFirst(lane: LaneName): WaitingRequest | undefined {
    for (const level of lanes[lane]) {
      const first = level.values().next().value
      if (!first) continue
      level.delete(first.id)
      return first
    }
    return undefined
  }

  function levelOf(request: WaitingRequest): Map<string, WaitingRequest> | undefined {
    return lanes[request.lane][Math.min(URGENCY_LEVELS - 1, Math.max(0, request.urgency))]
  }

  return {
    add(request) {
      levelOf(request)?.set(request.id, request)
    },
    remove: id => [...lanes.short, ...lanes.long].some(level => level.delete(id)),
    size: () => lengthOf("short") + lengthOf("long"),
    lengthOf,
    next(mayServeLong) {
      const isLongDue = mayServeLong && consecutiveShort >= SHORT_REQUESTS_PER_LONG && lengthOf("long") > 0
      const short = isLongDue ? undefined : takeFirst("short")
      if (short) {
        consecutiveShort += 1
        return short
      }
      const long = mayServeLong ? takeFirst("long") : undefined
      if (long) consecutiveShort = 0
      return long ?? takeFirst("short")
    },
    expire(now) {
      const expired = [...lanes.short, ...lanes.long].flatMap(level =>
        [...level.values()].filter(entry => entry.deadlineAt <= now),
      )
      for (const entry of expired) levelOf(entry)?.delete(entry.id)
      return expired
    },
  }
}

export interface ServiceTimes {
  /** Expected service time of a class of requests; undefined if none has been recorded. */
  readonly expected: (requestClass: string) => Milliseconds | undefined
  readonly record: (requestClass: string, took: Milliseconds) => void
  /** Smoothed mean over all recorded requests; 0 before the first. */
  readonly mean: () => Milliseconds
}

/** Weight of a new sample in the moving averages. */
const SMOOTHING = 0.2
const MAX_CLASSES = 500

/**
 * Estimates service times per request class with an exponential moving average. Beyond `MAX_CLASSES` the least
 * recently recorded class is evicted.
 */
export function serviceTimes(): ServiceTimes {
  const times = new Map<string, Milliseconds>()
  let overall: Milliseconds = 0

  function smooth(known: Milliseconds | undefined, took: Milliseconds): Milliseconds {
    return known === undefined ? took : known + SMOOTHING * (took - known)
  }

  return {
    expected: requestClass => times.get(requestClass),
    record(requestClass, took) {
      const next = smooth(times.get(requestClass), took)
      times.delete(requestClass)
      times.set(requestClass, next)
      overall = smooth(overall === 0 ? undefined : overall, took)
      if (times.size <= MAX_CLASSES) return
      const oldest = times.keys().next().value
      if (oldest !== undefined) times.delete(oldest)
    },
    mean: () => overall,
  }
}

/** Estimates how long a new request would wait, from the queue length and the rate at which slots become free. */
export function expectedWait(
  waitingBefore: number,
  slotsHeld: number,
  meanServiceTime: Milliseconds,
): Milliseconds {
  if (slotsHeld === 0) return 0
  return (waitingBefore * meanServiceTime) / slotsHeld
}
