/** Stops the process of an instance for a while: its timers, its calls' answers and the calls to it wait. */
import type {Clock} from "../../src/core/clock.js"
import type {KeyValueStore} from "../../src/pipelines/ports.js"

export interface Pauses {
  readonly pause: (name: string) => void
  readonly resume: (name: string) => void
  /** Settles as the promise does, but not while the process is stopped. */
  readonly hold: <T>(name: string, promise: Promise<T>) => Promise<T>
  readonly clockOf: (name: string) => Clock
  readonly storeOf: (name: string, store: KeyValueStore) => KeyValueStore
}

export function createPauses(clock: Clock): Pauses {
  const waiting = new Map<string, (() => void)[]>()

  async function hold<T>(name: string, promise: Promise<T>): Promise<T> {
    const result = await promise
    const queue = waiting.get(name)
    if (queue) await new Promise<void>(resolve => queue.push(resolve))
    return result
  }

  return {
    pause: name => void waiting.set(name, []),
    resume(name) {
      const queue = waiting.get(name) ?? []
      waiting.delete(name)
      for (const proceed of queue) proceed()
    },
    hold,
    clockOf: name => ({
      ...clock,
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
  }
}
