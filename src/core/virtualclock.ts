/**
 * A clock that moves only when it is told to. Tests and benchmarks drive controllers with it, so that their
 * outcome depends on seeds and never on the speed of the machine.
 */
import type {Cancel, Clock, Milliseconds} from "./clock.js"

interface Timer {
  readonly due: Milliseconds
  readonly sequence: number
  readonly callback: () => void
  cancelled: boolean
}

export interface VirtualClock extends Clock {
  /** Moves time forward, runs each due callback in order and lets pending promises settle in between. */
  readonly advance: (span: Milliseconds) => Promise<void>
}

/** Lets all promise reactions run that do not wait for a timer. */
function settle(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve)
  })
}

function comesBefore(one: Timer, other: Timer): boolean {
  return one.due < other.due || (one.due === other.due && one.sequence < other.sequence)
}

/** A binary heap with the earliest timer at its root. */
function timerHeap() {
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
      let least = index
      for (const child of [left, left + 1])
        if (child < slots.length && comesBefore(at(child), at(least))) least = child
      if (least === index) return
      const timer = at(index)
      slots[index] = at(least)
      slots[least] = timer
      index = least
    }
  }

  return {
    push(timer: Timer): void {
      slots.push(timer)
      let index = slots.length - 1
      while (index > 0) {
        const parent = (index - 1) >> 1
        if (!comesBefore(at(index), at(parent))) return
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
  const timers = timerHeap()
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
    await settle()
    for (let timer = timers.peek(); timer && timer.due <= end; timer = timers.peek()) {
      timers.pop()
      if (timer.cancelled) continue
      now = Math.max(now, timer.due)
      timer.callback()
      await settle()
    }
    now = end
  }

  return {now: () => now, wallClock: () => now, after, advance}
}
