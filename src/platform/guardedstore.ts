/**
 * Guards the platform's store against this instance: bounded concurrency, a budget of calls, and a breaker that
 * opens after failures and lets a single call through, after a random delay, to see whether the store is back.
 * With many instances the random delays spread their return.
 */
import {err} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {StoreUnavailable} from "../core/errors.js"
import type {Random} from "../core/random.js"
import type {Store} from "./ports.js"

const CONCURRENT_CALLS = 6
const QUEUED_CALLS = 200
const CALLS_PER_SECOND = 60
const BURST_CALLS = 120
const FAILURES_TO_OPEN = 3
const FIRST_BACK_OFF_MS: Milliseconds = 100
const LARGEST_BACK_OFF_MS: Milliseconds = 3000

export interface StoreStatistics {
  readonly calls: number
  readonly failures: number
  readonly shed: number
  readonly open: boolean
}

export interface GuardedStore extends Store {
  readonly statistics: () => StoreStatistics
}

/** Wraps a store. Calls that the guard does not let through fail at once as `not-run`. */
export function guardedStore(store: Store, clock: Clock, random: Random): GuardedStore {
  let calls = 0
  let failures = 0
  let shed = 0
  let consecutive = 0
  let reopenAt: Milliseconds = 0
  let probing = false
  let tokens = BURST_CALLS
  let refilledAt = clock.now()
  let active = 0
  const waiting: (() => void)[] = []

  function takeToken(): boolean {
    const now = clock.now()
    tokens = Math.min(BURST_CALLS, tokens + ((now - refilledAt) * CALLS_PER_SECOND) / 1000)
    refilledAt = now
    if (tokens < 1) return false
    tokens -= 1
    return true
  }

  function refusal(): string | undefined {
    if (consecutive >= FAILURES_TO_OPEN && (probing || clock.now() < reopenAt)) return "the breaker is open"
    if (waiting.length >= QUEUED_CALLS) return "too many calls wait"
    if (!takeToken()) return "the budget of calls is used up"
    return undefined
  }

  function noteFailure(): void {
    failures += 1
    consecutive += 1
    const exponent = Math.min(consecutive - FAILURES_TO_OPEN, 10)
    const bound = Math.min(LARGEST_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** Math.max(0, exponent))
    reopenAt = clock.now() + bound * (0.5 + random.next() / 2)
  }

  async function acquire(): Promise<void> {
    if (active < CONCURRENT_CALLS) {
      active += 1
      return
    }
    await new Promise<void>(resolve => waiting.push(resolve))
  }

  function release(): void {
    const next = waiting.shift()
    if (next) next()
    else active -= 1
  }

  async function run<T, E>(
    call: () => Promise<Result<T, E | StoreUnavailable>>,
  ): Promise<Result<T, E | StoreUnavailable>> {
    const reason = refusal()
    if (reason !== undefined) {
      shed += 1
      return err(new StoreUnavailable(reason, "not-run"))
    }
    const probe = consecutive >= FAILURES_TO_OPEN
    if (probe) probing = true
    await acquire()
    calls += 1
    try {
      const result = await call()
      if (result.isErr() && result.error instanceof StoreUnavailable) noteFailure()
      else consecutive = 0
      return result
    } finally {
      if (probe) probing = false
      release()
    }
  }

  return {
    get: key => run(() => store.get(key)),
    list: prefix => run(() => store.list(prefix)),
    compareAndSwap: (key, expectedVersion, value) =>
      run(() => store.compareAndSwap(key, expectedVersion, value)),
    remove: (key, expectedVersion) => run(() => store.remove(key, expectedVersion)),
    async watch(prefix, after, wait) {
      if (consecutive >= FAILURES_TO_OPEN) return err(new StoreUnavailable("the breaker is open", "not-run"))
      calls += 1
      return store.watch(prefix, after, wait)
    },
    statistics: () => ({calls, failures, shed, open: consecutive >= FAILURES_TO_OPEN}),
  }
}
