/**
 * Requests that wait for a slot of one service at one entry instance. Short and long requests wait in lanes of
 * their own, told apart by what requests of their class took before; a share of the slots is kept from long ones,
 * so that short work is not held up behind it. What cannot be served before its deadline is shed at once.
 */
import type {Milliseconds} from "../core/clock.js"

export type LaneName = "short" | "long"

export interface WaitingRequest {
  readonly id: string
  readonly lane: LaneName
  /** RFC 9218 urgency: 0 goes first, 7 last. */
  readonly urgency: number
  readonly deadlineAt: Milliseconds
}

/** Share of an instance's slots that long requests may take while short ones are about. */
const LONG_SHARE = 0.75

/** Slots that long requests may use of those held, while short ones are about. */
export function longSlots(held: number): number {
  return Math.max(1, Math.floor(held * LONG_SHARE))
}

/** Short requests served before a waiting long one is served. */
const SHORTS_PER_LONG = 4

export interface AdmissionQueue {
  readonly add: (request: WaitingRequest) => void
  readonly remove: (id: string) => boolean
  readonly size: () => number
  readonly lengthOf: (lane: LaneName) => number
  /** The next request to serve, given whether a long one may be. */
  readonly next: (longAllowed: boolean) => WaitingRequest | undefined
  /** Removes and gives the requests whose deadline has passed. */
  readonly expire: (now: Milliseconds) => readonly WaitingRequest[]
}

const URGENCIES = 8

/** Creates an empty queue. */
export function admissionQueue(): AdmissionQueue {
  const lanes: Readonly<Record<LaneName, Map<string, WaitingRequest>[]>> = {
    short: Array.from({length: URGENCIES}, () => new Map<string, WaitingRequest>()),
    long: Array.from({length: URGENCIES}, () => new Map<string, WaitingRequest>()),
  }
  let shortsInRow = 0

  function lengthOf(lane: LaneName): number {
    return lanes[lane].reduce((sum, level) => sum + level.size, 0)
  }

  function take(lane: LaneName): WaitingRequest | undefined {
    for (const level of lanes[lane]) {
      const first = level.values().next().value
      if (!first) continue
      level.delete(first.id)
      return first
    }
    return undefined
  }

  function levelOf(request: WaitingRequest): Map<string, WaitingRequest> | undefined {
    return lanes[request.lane][Math.min(URGENCIES - 1, Math.max(0, request.urgency))]
  }

  return {
    add(request) {
      levelOf(request)?.set(request.id, request)
    },
    remove: id => [...lanes.short, ...lanes.long].some(level => level.delete(id)),
    size: () => lengthOf("short") + lengthOf("long"),
    lengthOf,
    next(longAllowed) {
      const longDue = longAllowed && shortsInRow >= SHORTS_PER_LONG && lengthOf("long") > 0
      const short = longDue ? undefined : take("short")
      if (short) {
        shortsInRow += 1
        return short
      }
      const long = longAllowed ? take("long") : undefined
      if (long) shortsInRow = 0
      return long ?? take("short")
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
  /** Expected service time of a class of requests; undefined when none was seen. */
  readonly expected: (requestClass: string) => Milliseconds | undefined
  readonly note: (requestClass: string, took: Milliseconds) => void
  /** Mean over all classes, weighted by how often they come. */
  readonly mean: () => Milliseconds
}

const SMOOTHING = 0.2
const KNOWN_CLASSES = 500

/** Learns service times by class. The classes seen least recently are forgotten. */
export function serviceTimes(): ServiceTimes {
  const times = new Map<string, Milliseconds>()
  let overall: Milliseconds = 0

  function blend(known: Milliseconds | undefined, took: Milliseconds): Milliseconds {
    return known === undefined ? took : known + SMOOTHING * (took - known)
  }

  return {
    expected: requestClass => times.get(requestClass),
    note(requestClass, took) {
      const next = blend(times.get(requestClass), took)
      times.delete(requestClass)
      times.set(requestClass, next)
      overall = blend(overall === 0 ? undefined : overall, took)
      if (times.size <= KNOWN_CLASSES) return
      const oldest = times.keys().next().value
      if (oldest !== undefined) times.delete(oldest)
    },
    mean: () => overall,
  }
}

/** How long a new request would wait, judged by what waits before it and by how fast slots come free. */
export function expectedWait(
  waitingBefore: number,
  slotsHeld: number,
  meanServiceTime: Milliseconds,
): Milliseconds {
  if (slotsHeld === 0) return 0
  return (waitingBefore * meanServiceTime) / slotsHeld
}
