/**
 * Monitors calls to the store to determine whether it answers this instance. While it does not, nothing new is
 * written, so that a caller that is refused can rely on its job never running. An unresponsive store blocks each call
 * until its timeout, so recovery is detected with short probes on separate connections.
 */
import type {Cancel, Clock, Milliseconds} from "../core/clock.js"
import type {KeyValueStore} from "../pipelines/ports.js"
import type {Result} from "neverthrow"

export interface StoreHealth {
  /** The given store, with all calls monitored. */
  readonly store: KeyValueStore
  /** How long calls to the store have been failing or late; 0 while the store answers. */
  readonly failingFor: () => Milliseconds
}

/** A call that takes longer than this counts as failing. A slow but working store answers within 0.35 s. */
const LATE_ANSWER_MS: Milliseconds = 600

/** Interval of probes while the store does not answer. Each probe has a cost at the platform. */
const PROBE_INTERVAL_MS: Milliseconds = 150

/** Monitors the calls to `inner`. `probe` is a cheap call to the store with a short timeout. */
export function watchStoreHealth(
  inner: KeyValueStore,
  clock: Clock,
  probe: () => Promise<Result<unknown, unknown>>,
): StoreHealth {
  let failedSince: Milliseconds | undefined
  /** Start of the latest call that was answered. Failures of calls that started earlier are ignored. */
  let latestAnsweredStart = -Infinity
  /** For each open call, when it started and when its answer becomes late. */
  const openCalls = new Map<number, {readonly startedAt: Milliseconds; readonly lateAt: Milliseconds}>()
  let lastCallNumber = 0

  let cancelNextProbe: Cancel | undefined

  function recordAnswer(startedAt: Milliseconds): void {
    latestAnsweredStart = Math.max(latestAnsweredStart, startedAt)
    if (startedAt >= (failedSince ?? startedAt)) failedSince = undefined
  }

  async function probeOnce(): Promise<void> {
    const startedAt = clock.now()
    if ((await probe()).isOk()) recordAnswer(startedAt)
  }

  /** Sends probes at a fixed interval, without waiting for earlier ones, until the store answers. */
  function keepProbing(): void {
    if (cancelNextProbe || failingFor() === 0) return
    void probeOnce()
    cancelNextProbe = clock.after(PROBE_INTERVAL_MS, () => {
      cancelNextProbe = undefined
      keepProbing()
    })
  }

  async function watchCall<T, E>(call: Promise<Result<T, E>>, wait: Milliseconds): Promise<Result<T, E>> {
    lastCallNumber += 1
    const number = lastCallNumber
    const startedAt = clock.now()
    openCalls.set(number, {startedAt, lateAt: startedAt + wait + LATE_ANSWER_MS})
    const cancelLate = clock.after(wait + LATE_ANSWER_MS, keepProbing)
    const result = await call
    cancelLate()
    openCalls.delete(number)
    if (result.isOk()) recordAnswer(startedAt)
    else if (startedAt >= latestAnsweredStart) {
      failedSince ??= startedAt
      keepProbing()
    }
    return result
  }

  function failingFor(): Milliseconds {
    const now = clock.now()
    let since = failedSince ?? Infinity
    for (const {startedAt, lateAt} of openCalls.values())
      if (lateAt <= now && startedAt >= latestAnsweredStart) since = Math.min(since, lateAt - LATE_ANSWER_MS)
    return since === Infinity ? 0 : Math.max(1, now - since)
  }

  return {
    store: {
      read: key => watchCall(inner.read(key), 0),
      list: prefix => watchCall(inner.list(prefix), 0),
      watch: (prefix, after, wait) => watchCall(inner.watch(prefix, after, wait), wait),
      commit: transaction => watchCall(inner.commit(transaction), 0),
    },
    failingFor,
  }
}
