/**
 * A clock that moves only when it is told to. Tests and benchmarks drive controllers with it, so that their
 * outcome depends on seeds and never on the speed of the machine.
 */
import type {Cancel, Clock, Milliseconds} from "./clock.js"

interface Timer {
  readonly due: Milliseconds
  readonly sequence: number
  readonly callback: () => void
}

export interface VirtualClock extends Clock {
  /** Moves time forward, runs each due callback in order and lets pending promises settle in between. */
  readonly advance: (span: Milliseconds) => Promise<void>
}

const SETTLING_TURNS = 4

/** Lets promise reactions and queued macrotasks run. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLING_TURNS; turn += 1) {
    await new Promise<void>(resolve => {
      setImmediate(resolve)
    })
  }
}

function earliest(timers: ReadonlySet<Timer>, limit: Milliseconds): Timer | undefined {
  let first: Timer | undefined
  for (const timer of timers) {
    if (timer.due > limit) continue
    if (!first || timer.due < first.due || (timer.due === first.due && timer.sequence < first.sequence))
      first = timer
  }
  return first
}

/** Creates a virtual clock that starts at the given instant. */
export function virtualClock(start: Milliseconds = 0): VirtualClock {
  const timers = new Set<Timer>()
  let now = start
  let sequence = 0

  function after(delay: Milliseconds, callback: () => void): Cancel {
    sequence += 1
    const timer = {due: now + Math.max(0, delay), sequence, callback}
    timers.add(timer)
    return () => {
      timers.delete(timer)
    }
  }

  async function advance(span: Milliseconds): Promise<void> {
    const end = now + span
    await settle()
    for (;;) {
      const timer = earliest(timers, end)
      if (!timer) break
      timers.delete(timer)
      now = Math.max(now, timer.due)
      timer.callback()
      await settle()
    }
    now = end
  }

  return {now: () => now, wallClock: () => now, after, advance}
}
