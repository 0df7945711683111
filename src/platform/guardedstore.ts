/**
 * Protects the platform's store from overload by this instance. It limits the concurrency and the rate of calls, and a
 * circuit breaker opens after repeated failures. After a random delay the breaker lets a single call through to check
 * whether the store has recovered. The random delays keep many instances from returning at the same time.
 */
import {err} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {StoreUnavailable} from "../core/errors.js"
import type {Random} from "../core/random.js"
import type {Store} from "./ports.js"

const MAX_CONCURRENT_CALLS = 6
const MAX_QUEUED_CALLS = 200
const CALLS_PER_SECOND = 60
const BURST_CALLS = 120
const FAILURES_TO_OPEN = 3
const INITIAL_BACK_OFF_MS: Milliseconds = 100
const MAX_BACK_OFF_MS: Milliseconds = 3000

export interface StoreStatistics {
  readonly calls: number
  readonly failures: number
  /** Calls that failed without reaching the store. */
  readonly shed: number
  /** Whether the circuit breaker is open. */
  readonly open: boolean
}

export interface GuardedStore extends Store {
  readonly statistics: () => StoreStatistics
}

/** Wraps a store. A call over a limit fails at once with certainty `not-run`. */
export function guardedStore(store: Store, clock: Clock, random: Random): GuardedStore {
  let calls = 0
  let failures = 0
  let shed = 0
  let consecutiveFailures = 0
  let nextProbeAt: Milliseconds = 0
  let isProbing = false
  let tokens = BURST_CALLS
  let refilledAt = clock.now()
  let activeCalls = 0
  const waiting: (() => void)[] = []

  function takeToken(): boolean {
    const now = clock.now()
    tokens = Math.min(BURST_CALLS, tokens + ((now - refilledAt) * CALLS_PER_SECOND) / 1000)
    refilledAt = now
    if (tokens < 1) return false
    tokens -= 1
    return true
  }

  function findRefusalReason(): string | undefined {
    if (consecutiveFailures >= FAILURES_TO_OPEN && (isProbing || clock.now() < nextProbeAt))
      return "the circuit breaker is open"
    if (waiting.length >= MAX_QUEUED_CALLS) return "too many calls are queued"
    if (!takeToken()) return "the call rate limit is exceeded"
    return undefined
  }

  function recordFailure(): void {
    failures += 1
    consecutiveFailures += 1
    const exponent = Math.min(consecutiveFailures - FAILURES_TO_OPEN, 10)
    const bound = Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** Math.max(0, exponent))
    nextProbeAt = clock.now() + bound * (0.5 + random.next() / 2)
  }

  async function acquireSlot(): Promise<void> {
    if (activeCalls < MAX_CONCURRENT_CALLS) {
      activeCalls += 1
      return
    }
    await new Promise<void>(resolve => waiting.push(resolve))
  }

  function releaseSlot(): void {
    const next = waiting.shift()
    if (next) next()
    else activeCalls -= 1
  }

  async function run<T, E>(
    call: () => Promise<Result<T, E | StoreUnavailable>>,
  ): Promise<Result<T, E | StoreUnavailable>> {
    const reason = findRefusalReason()
    if (reason !== undefined) {
      shed += 1
      return err(new StoreUnavailable(reason, "not-run"))
    }
    const isProbe = consecutiveFailures >= FAILURES_TO_OPEN
    if (isProbe) isProbing = true
    await acquireSlot()
    calls += 1
    try {
      const result = await call()
      if (result.isErr() && result.error instanceof StoreUnavailable) recordFailure()
      else consecutiveFailures = 0
      return result
    } finally {
      if (isProbe) isProbing = false
      releaseSlot()
    }
  }

  return {
    get: key => run(() => store.get(key)),
    list: prefix => run(() => store.list(prefix)),
    compareAndSwap: (key, expectedVersion, value) =>
      run(() => store.compareAndSwap(key, expectedVersion, value)),
    remove: (key, expectedVersion) => run(() => store.remove(key, expectedVersion)),
    async watch(prefix, after, wait) {
      if (consecutiveFailures >= FAILURES_TO_OPEN)
        return err(new StoreUnavailable("the circuit breaker is open", "not-run"))
      calls += 1
      return store.watch(prefix, after, wait)
    },
    statistics: () => ({calls, failures, shed, open: consecutiveFailures >= FAILURES_TO_OPEN}),
  }
}
