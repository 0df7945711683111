/**
 * The state of the store's stand-in: keys with versions, compare-and-swap, leases that remove their keys when they
 * end, and watches. It counts every call, as the platform does.
 */
import type {Clock, Milliseconds} from "../src/core/clock.js"
import type {StoredValue, WatchResult} from "../src/platform/ports.js"

export type WriteOutcome = {readonly version: number} | {readonly actual: number}

export interface StoreCore {
  readonly get: (key: string) => StoredValue | undefined
  readonly list: (prefix: string) => readonly StoredValue[]
  readonly compareAndSwap: (
    key: string,
    expectedVersion: number,
    value: string,
    lease?: number,
  ) => WriteOutcome
  readonly remove: (key: string, expectedVersion: number) => WriteOutcome
  readonly watch: (prefix: string, after: number, wait: Milliseconds) => Promise<WatchResult>
  readonly grantLease: (term: Milliseconds) => number
  readonly keepLease: (lease: number) => boolean
  readonly writes: () => number
  /** Ends every watch that waits. */
  readonly wakeAll: () => void
}

export const LARGEST_VALUE_CHARACTERS = 1024 * 1024

interface Lease {
  readonly term: Milliseconds
  endsAt: Milliseconds
}

interface Watcher {
  readonly prefix: string
  readonly notify: () => void
}

/** Creates an empty store. */
export function storeCore(clock: Clock): StoreCore {
  const values = new Map<string, StoredValue>()
  const leaseOf = new Map<string, number>()
  const leases = new Map<number, Lease>()
  const watchers = new Set<Watcher>()
  let revision = 0
  let nextLease = 1
  let writes = 0

  function expire(): void {
    for (const [id, lease] of leases) if (lease.endsAt <= clock.now()) leases.delete(id)
    for (const [key, id] of leaseOf) {
      if (leases.has(id)) continue
      leaseOf.delete(key)
      values.delete(key)
    }
  }

  function notify(key: string): void {
    for (const watcher of [...watchers]) if (key.startsWith(watcher.prefix)) watcher.notify()
  }

  function changed(prefix: string, after: number): readonly StoredValue[] {
    return [...values.values()].filter(item => item.key.startsWith(prefix) && item.version > after)
  }

  function write(key: string, expectedVersion: number, change: (version: number) => void): WriteOutcome {
    expire()
    const actual = values.get(key)?.version ?? 0
    if (actual !== expectedVersion) return {actual}
    revision += 1
    writes += 1
    change(revision)
    notify(key)
    return {version: revision}
  }

  return {
    get(key) {
      expire()
      return values.get(key)
    },
    list(prefix) {
      expire()
      return [...values.values()]
        .filter(item => item.key.startsWith(prefix))
        .sort((one, other) => (one.key < other.key ? -1 : 1))
    },
    compareAndSwap(key, expectedVersion, value, lease) {
      if (value.length > LARGEST_VALUE_CHARACTERS)
        throw new RangeError("A value may have at most one mebibyte.")
      return write(key, expectedVersion, version => {
        values.set(key, {key, value, version})
        if (lease !== undefined) leaseOf.set(key, lease)
      })
    },
    remove: (key, expectedVersion) =>
      write(key, expectedVersion, () => {
        values.delete(key)
      }),
    watch(prefix, after, wait) {
      const found = changed(prefix, after)
      if (found.length > 0 || wait <= 0) return Promise.resolve({revision, changed: found})
      return new Promise(resolve => {
        const finish = (): void => {
          cancel()
          watchers.delete(watcher)
          resolve({revision, changed: changed(prefix, after)})
        }
        const cancel = clock.after(wait, finish)
        const watcher: Watcher = {prefix, notify: finish}
        watchers.add(watcher)
      })
    },
    grantLease(term) {
      const id = nextLease
      nextLease += 1
      leases.set(id, {term, endsAt: clock.now() + term})
      return id
    },
    keepLease(id) {
      expire()
      const lease = leases.get(id)
      if (lease) lease.endsAt = clock.now() + lease.term
      return lease !== undefined
    },
    writes: () => writes,
    wakeAll() {
      for (const watcher of [...watchers]) watcher.notify()
    },
  }
}
