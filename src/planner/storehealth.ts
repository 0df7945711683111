/**
 * Monitors calls to the store to determine whether it answers this instance. While it does not, nothing new is
 * written, so that a caller that is refused can rely on its job never running. An unresponsive store blocks each call
 * until its timeout, so recovery is detected with short probes on separate connections. Reads that were sent into the
 * silence are then sent again.
 */
import type {Cancel, Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {KeyValueStore} from "../pipelines/ports.js"
import type {Result} from "neverthrow"
import {StoreUnavailable} from "../core/errors.js"

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

/** A read that is open. It can be sent a second time. */
interface OpenRead {
  readonly startedAt: Milliseconds
  readonly sendAgain: () => void
}

/** Monitors the calls to `inner`. `probe` is a cheap call to the store with a short timeout. */
export function watchStoreHealth(
  inner: KeyValueStore,
  clock: Clock,
  log: Logger,
  probe: () => Promise<Result<unknown, unknown>>,
): StoreHealth {
  let failedSince: Milliseconds | undefined
  /** Start of the latest call that was answered. Failures of calls that started earlier are ignored. */
  let latestAnsweredStart = -Infinity
  /** For each open call, when it started and when its answer becomes late. */
  const openCalls = new Map<number, {readonly startedAt: Milliseconds; readonly lateAt: Milliseconds}>()
  let lastCallNumber = 0

  /** Start of the latest call that got no answer. */
  let latestUnansweredStart = -Infinity
  /** Reads that have been sent once. */
  const openReads = new Set<OpenRead>()

  let cancelNextProbe: Cancel | undefined
  /** Since when the store has been logged as failing. */
  let loggedSince: Milliseconds | undefined

  function recordAnswer(startedAt: Milliseconds): void {
    latestAnsweredStart = Math.max(latestAnsweredStart, startedAt)
    if (startedAt >= (failedSince ?? startedAt)) failedSince = undefined
    sendReadsAgain()
  }

  function recordFailure(startedAt: Milliseconds, error: unknown): void {
    if (!(error instanceof StoreUnavailable) || error.certainty !== "unknown") return
    latestUnansweredStart = Math.max(latestUnansweredStart, startedAt)
    sendReadsAgain()
  }

  /** Sends the reads again that were sent while the store was silent, once it has answered a later call. */
  function sendReadsAgain(): void {
    if (latestAnsweredStart <= latestUnansweredStart) return
    const silentUntil = Math.min(latestAnsweredStart, latestUnansweredStart + PROBE_INTERVAL_MS)
    for (const read of [...openReads]) if (read.startedAt < silentUntil) read.sendAgain()
  }

  async function probeOnce(): Promise<void> {
    const startedAt = clock.now()
    const result = await probe()
    if (result.isOk()) recordAnswer(startedAt)
    else recordFailure(startedAt, result.error)
  }

  function logChange(failing: Milliseconds): void {
    if (failing > 0 && loggedSince === undefined) {
      loggedSince = clock.now() - failing
      log.warn({event: "store-failing"}, "calls to the store fail or get no answer")
    } else if (failing === 0 && loggedSince !== undefined) {
      const took = Math.round(clock.now() - loggedSince)
      loggedSince = undefined
      log.info({event: "store-answers", took}, "the store answers again")
    }
  }

  /** Sends probes at a fixed interval, without waiting for earlier ones, until the store answers. */
  function keepProbing(): void {
    if (cancelNextProbe) return
    const failing = failingFor()
    logChange(failing)
    if (failing === 0) return
    void probeOnce()
    cancelNextProbe = clock.after(PROBE_INTERVAL_MS, () => {
      cancelNextProbe = undefined
      keepProbing()
    })
  }

  /** Each part of an answer in several parts is monitored like a call of its own, which begins when `onPart` is called. */
  async function watchCall<T, E>(
    makeCall: (onPart: () => void) => Promise<Result<T, E>>,
    wait: Milliseconds,
  ): Promise<Result<T, E>> {
    lastCallNumber += 1
    const number = lastCallNumber
    const open = (): {readonly startedAt: Milliseconds; readonly cancelLate: Cancel} => {
      const startedAt = clock.now()
      openCalls.set(number, {startedAt, lateAt: startedAt + wait + LATE_ANSWER_MS})
      return {startedAt, cancelLate: clock.after(wait + LATE_ANSWER_MS, keepProbing)}
    }
    let part = open()
    const result = await makeCall(() => {
      part.cancelLate()
      const {startedAt} = part
      part = open()
      recordAnswer(startedAt)
    })
    const {startedAt} = part
    part.cancelLate()
    openCalls.delete(number)
    if (result.isOk()) recordAnswer(startedAt)
    else {
      recordFailure(startedAt, result.error)
      if (startedAt >= latestAnsweredStart) {
        failedSince ??= startedAt
        keepProbing()
      }
    }
    return result
  }

  /**
   * Sends a read, and once more if the store was silent meanwhile and answers again. The first answer counts, so that a
   * read which is only slow, such as a long list, is not lost.
   */
  function watchRead<T, E>(
    read: (onPart: () => void) => Promise<Result<T, E>>,
    wait: Milliseconds,
  ): Promise<Result<T, E>> {
    return new Promise((resolve, reject) => {
      let sent = 0
      const send = (): void => {
        sent += 1
        void watchCall(read, wait).then(result => {
          sent -= 1
          if (result.isErr() && sent > 0) return
          openReads.delete(open)
          resolve(result)
        }, reject)
      }
      const open: OpenRead = {
        startedAt: clock.now(),
        sendAgain() {
          openReads.delete(open)
          send()
        },
      }
      openReads.add(open)
      send()
    })
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
      read: key => watchRead(() => inner.read(key), 0),
      list: (prefix, onPage) =>
        watchRead(
          onPart =>
            inner.list(prefix, items => {
              onPart()
              onPage?.(items)
            }),
          0,
        ),
      watch: (prefix, after, wait) => watchRead(() => inner.watch(prefix, after, wait), wait),
      commit: transaction => watchCall(() => inner.commit(transaction), 0),
    },
    failingFor,
  }
}
