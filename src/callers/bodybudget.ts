/**
 * Decides which bodies an instance keeps in memory. All bodies in hand share one budget. When it is used up, the body
 * that has taken most memory for the longest time gives way to the others, so that the short bodies of ordinary callers,
 * which are complete within milliseconds, have room beside any number of clients that stop halfway.
 *
 * Load that it answers: hundreds of clients that each send nearly a whole body and leave it without its end.
 */
import type {Milliseconds} from "../core/clock.js"

/** The part of the budget that one body has. */
export interface BodyShare {
  /** Asks for this many bytes in all. Returns false if the body has to be refused. */
  readonly grow: (bytes: number, now: Milliseconds) => boolean
  /** The body is complete and its request is handled, so that it can no longer give way. */
  readonly settle: () => void
  readonly release: () => void
}

export interface BodyBudget {
  /** Opens a share for a body. `giveWay` is called when the body has to be refused for the sake of others. */
  readonly open: (now: Milliseconds, giveWay: () => void) => BodyShare
  /** Memory of all bodies in hand, in bytes. */
  readonly used: () => number
}

interface HeldBody {
  readonly since: Milliseconds
  readonly giveWay: () => void
  bytes: number
  settled: boolean
}

/** Memory that the body has taken so far, in byte milliseconds. */
function cost(body: HeldBody, now: Milliseconds): number {
  return body.bytes * (now - body.since)
}

/** Chooses the body that gives way; undefined if there is none that may. */
export function chooseBodyToRefuse<T extends Pick<HeldBody, "since" | "bytes" | "settled">>(
  bodies: Iterable<T>,
  now: Milliseconds,
): T | undefined {
  let chosen: T | undefined
  let highest = -1
  for (const body of bodies) {
    if (body.settled) continue
    const candidate = body.bytes * (now - body.since)
    if (candidate <= highest) continue
    highest = candidate
    chosen = body
  }
  return chosen
}

export function createBodyBudget(limit: number): BodyBudget {
  const bodies = new Set<HeldBody>()
  let used = 0

  function release(body: HeldBody): void {
    if (bodies.delete(body)) used -= body.bytes
  }

  return {
    used: () => used,
    open(now, giveWay) {
      const body: HeldBody = {since: now, giveWay, bytes: 0, settled: false}
      bodies.add(body)
      return {
        grow(bytes, at) {
          if (!bodies.has(body)) return false
          // A body that is alone always has room, however small the machine.
          while (used - body.bytes + bytes > limit && bodies.size > 1) {
            const refused = chooseBodyToRefuse(bodies, at)
            if (!refused || refused === body || cost(refused, at) < cost(body, at)) return false
            release(refused)
            refused.giveWay()
          }
          used += bytes - body.bytes
          body.bytes = bytes
          return true
        },
        settle() {
          body.settled = true
        },
        release: () => release(body),
      }
    },
  }
}
