/** Stops the process of an instance for a while: its timers, its calls' answers and the calls to it wait. */
import type {Clock, Milliseconds} from "../../src/core/clock.js"
import type {KeyValueStore, WorkerCalls} from "../../src/pipelines/ports.js"

export interface Pauses {
  readonly pause: (name: string) => void
  /** Stops the whole machine, whose monotonic clock does not count the time until it is resumed. */
  readonly suspend: (name: string) => void
  readonly resume: (name: string) => void
  /** Settles as the promise does, but not while the process is stopped. */
  readonly hold: <T>(name: string, promise: Promise<T>) => Promise<T>
  readonly clockOf: (name: string) => Clock
  readonly storeOf: (name: string, store: KeyValueStore) => KeyValueStore
  readonly workersOf: (name: string, calls: WorkerCalls) => WorkerCalls
}

export function createPauses(clock: Clock): Pauses {
  const waiting = new Map<string, (() => void)[]>()
  const suspendedAt = new Map<string, Milliseconds>()
  /** How much time the monotonic clock of each machine has not counted. */
  const uncounted = new Map<string, Milliseconds>()

  async function hold<T>(name: string, promise: Promise<T>): Promise<T> {
    const result = await promise
    const queue = waiting.get(name)
    if (queue) await new Promise<void>(resolve => queue.push(resolve))
    return result
  }

  return {
    pause: name => void waiting.set(name, []),
    suspend(name) {
      if (waiting.has(name)) return
      waiting.set(name, [])
      suspendedAt.set(name, clock.now())
    },
    resume(name) {
      const queue = waiting.get(name) ?? []
      waiting.delete(name)
      const missed = clock.now() - (suspendedAt.get(name) ?? clock.now())
      suspendedAt.delete(name)
      uncounted.set(name, (uncounted.get(name) ?? 0) + missed)
      for (const proceed of queue) proceed()
    },
    hold,
    clockOf: name => ({
      ...clock,
      now: () => clock.now() - (uncounted.get(name) ?? 0),
      after: (delay, callback) =>
        clock.after(delay, () => {
          const queue = waiting.get(name)
          if (queue) queue.push(callback)
          else callback()
        }),
    }),
    storeOf: (name, store) => ({
      read: key => hold(name, store.read(key)),
      list: (prefix, onPage) => hold(name, store.list(prefix, onPage)),
      watch: (prefix, after, wait) => hold(name, store.watch(prefix, after, wait)),
      commit: transaction => hold(name, store.commit(transaction)),
    }),
    workersOf: (name, calls) => ({
      report: (target, request) => hold(name, calls.report(target, request)),
      start: (target, order) => hold(name, calls.start(target, order)),
      stop: (target, task, attempt, term) => hold(name, calls.stop(target, task, attempt, term)),
      throttle: (target, task, attempt, percent, term) =>
        hold(name, calls.throttle(target, task, attempt, percent, term)),
    }),
  }
}
