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
  const heap: Timer[] = []

  function swap(one: number, other: number): void {
    const timer = heap[one] as Timer
    heap[one] = heap[other] as Timer
    heap[other] = timer
  }

  function sinkRoot(): void {
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      let least = index
      for (const child of [left, left + 1]) {
        if (child < heap.length && comesBefore(heap[child] as Timer, heap[least] as Timer)) least = child
      }
      if (least === index) return
      swap(index, least)
      index = least
    }
  }

  return {
    push(timer: Timer): void {
      heap.push(timer)
      let index = heap.length - 1
      while (index > 0) {
        const parent = (index - 1) >> 1
        if (!comesBefore(heap[index] as Timer, heap[parent] as Timer)) return
        swap(index, parent)
        index = parent
      }
    },
    peek: (): Timer | undefined => heap[0],
    pop(): void {
      const last = heap.pop()
      if (!last || heap.length === 0) return
      heap[0] = last
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
