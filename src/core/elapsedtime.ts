/**
 * Time that has passed in the world, for limits that hold while the process or its machine is suspended. The monotonic
 * clock does not count the suspension of a machine; the time of day does, but it may be set. The longer of the two counts,
 * so that a time of day that is set forward makes an instant look older than it is, and never younger.
 */
import type {Clock, Milliseconds} from "./clock.js"

export interface ElapsedTime {
  /** How long ago the instant of the monotonic clock was, at least. */
  readonly since: (instant: Milliseconds) => Milliseconds
}

interface Jump {
  readonly noticedAt: Milliseconds
  readonly length: Milliseconds
}

/** A smaller difference between the two clocks is due to their resolution. */
const TOLERANCE_MS: Milliseconds = 50
/** An instant from before the last of these counts as long ago. */
const MAX_JUMPS = 16

export function createElapsedTime(clock: Pick<Clock, "now" | "wallClock">): ElapsedTime {
  let offset = clock.wallClock() - clock.now()
  /** By how much the time of day got ahead of the monotonic clock, and when that was noticed. */
  let jumps: readonly Jump[] = []
  let forgottenUntil = -Infinity

  function observe(now: Milliseconds): void {
    const change = clock.wallClock() - now - offset
    if (Math.abs(change) <= TOLERANCE_MS) return
    offset += change
    if (change < 0) return
    jumps = [...jumps, {noticedAt: now, length: change}]
    if (jumps.length <= MAX_JUMPS) return
    forgottenUntil = jumps[0]?.noticedAt ?? forgottenUntil
    jumps = jumps.slice(1)
  }

  return {
    since(instant) {
      const now = clock.now()
      observe(now)
      if (instant <= forgottenUntil) return Infinity
      const jumped = jumps.filter(({noticedAt}) => noticedAt >= instant)
      return jumped.reduce((sum, {length}) => sum + length, now - instant)
    },
  }
}
