/**
 * A clock that advances only on request. Tests and benchmarks run controllers on it, so that their outcome depends on
 * the seed and not on the speed of the machine.
 */
import type {Cancel, Clock, Milliseconds} from "./clock.js"

interface Timer {
  readonly due: Milliseconds
  readonly sequence: number
  readonly callback: () => void
  cancelled: boolean
}

export interface VirtualClock extends Clock {
  /** Advances the time by the span. Runs the callbacks that fall due in order, and settles promises after each. */
  readonly advance: (span: Milliseconds) => Promise<void>
}

/** Resolves when all pending promise reactions have run, except those that wait for a timer. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve)
  })
}

function isBefore(one: Timer, other: Timer): boolean {
  return one.due < other.due || (one.due === other.due && one.sequence < other.sequence)
}

/** Creates a binary heap with the earliest timer at its root. */
function createTimerHeap() {
  const slots: Timer[] = []

  function at(index: number): Timer {
    const timer = slots[index]
    if (!timer) throw new RangeError(`The heap has no timer at ${index}.`)
    return timer
  }

  function sinkRoot(): void {
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      let earliest = index
      for (const child of [left, left + 1])
        if (child < slots.length && isBefore(at(child), at(earliest))) earliest = child
      if (earliest === index) return
      const timer = at(index)
      slots[index] = at(earliest)
      slots[earliest] = timer
      index = earliest
    }
  }

  return {
    push(timer: Timer): void {
      slots.push(timer)
      let index = slots.length - 1
      while (index > 0) {
        const parent = (index - 1) >> 1
        if (!isBefore(at(index), at(parent))) return
        slots[index] = at(parent)
        slots[parent] = timer
        index = parent
      }
    },
    peek: (): Timer | undefined => slots[0],
    pop(): void {
      const last = slots.pop()
      if (!last || slots.length === 0) return
      slots[0] = last
      sinkRoot()
    },
  }
}

/** Creates a virtual clock that starts at the given instant. */
export function virtualClock(start: Milliseconds = 0): VirtualClock {
  const timers = createTimerHeap()
  let now = start
  let sequence = 0

  function after(delay: Milliseconds, callback: () => void): Cancel {
    sequence += 1
    const timer: Timer = {due: now + Math.max(0, delay), sequence, callback, cancelled: false}
    timers.push(timer)
    return () => {
      timer.cancelled = true
    }
  }

  async function advance(span: Milliseconds): Promise<void> {
    const end = now + span
    await settlePromises()
    for (let timer = timers.peek(); timer && timer.due <= end; timer = timers.peek()) {
      timers.pop()
      if (timer.cancelled) continue
      now = Math.max(now, timer.due)
      timer.callback()
      await settlePromises()
    }
    now = end
  }

  return {now: () => now, wallClock: () => now, after, advance}
}
