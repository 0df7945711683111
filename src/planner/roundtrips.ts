/**
 * The timeout of followers' pings to the leader, after which they consider it dead. It adapts to the round-trip times
 * of earlier answers like a retransmission timer, and doubles with each leader that was replaced for not answering. In
 * a large fleet a new leader is busy connecting to all workers: with a fixed timeout it was replaced every few seconds,
 * and each successor had to start the same work again.
 */
import type {Milliseconds} from "../core/clock.js"

/** Round-trip statistics of the pings so far. */
export interface RoundTrips {
  /** Exponentially weighted mean of the round-trip times. */
  readonly smoothed: Milliseconds
  /** Exponentially weighted mean deviation of the round-trip times. */
  readonly deviation: Milliseconds
  /** Number of leaders replaced for not answering since the last answer within the minimum timeout, up to a limit. */
  readonly silentLeaders: number
}

/** Weights and factor of the retransmission timer in RFC 6298. */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
const DEVIATION_FACTOR = 4
/** An idle leader answers in about 20 ms; the rest allows for packet loss and for brief stalls of its host. */
const MINIMUM_TIMEOUT_MS: Milliseconds = 350
/** With the second ping, a dead leader is detected before twice the lease duration of its tasks (3 s). */
const MAXIMUM_TIMEOUT_MS: Milliseconds = 2000
/** Minimum for the second ping, which is sent at once so that one lost packet does not count as a dead leader. */
const MINIMUM_SECOND_TIMEOUT_MS: Milliseconds = 250
const SECOND_TIMEOUT_SHARE = 0.7
const MAXIMUM_DOUBLINGS = 2

export const NO_ROUND_TRIPS: RoundTrips = {smoothed: 0, deviation: 0, silentLeaders: 0}

/** Records an answer with its round-trip time. */
export function observeAnswer(trips: RoundTrips, roundTrip: Milliseconds): RoundTrips {
  const error = Math.abs(roundTrip - trips.smoothed)
  return {
    smoothed: trips.smoothed + MEAN_WEIGHT * (roundTrip - trips.smoothed),
    deviation: trips.deviation + DEVIATION_WEIGHT * (error - trips.deviation),
    silentLeaders: roundTrip < MINIMUM_TIMEOUT_MS ? 0 : trips.silentLeaders,
  }
}

/** Records that a leader is replaced for not answering. Its successor has the same work, and more of it at first. */
export function observeSilence(trips: RoundTrips): RoundTrips {
  return {...trips, silentLeaders: Math.min(MAXIMUM_DOUBLINGS, trips.silentLeaders + 1)}
}

/** The timeout of the first ping. */
export function pingTimeout(trips: RoundTrips): Milliseconds {
  const expected = trips.smoothed + DEVIATION_FACTOR * trips.deviation
  const timeout = Math.max(MINIMUM_TIMEOUT_MS, expected) * 2 ** trips.silentLeaders
  return Math.round(Math.min(MAXIMUM_TIMEOUT_MS, timeout))
}

/** The timeout of the second ping, sent at once when the first one got no answer. */
export function secondPingTimeout(trips: RoundTrips): Milliseconds {
  return Math.max(MINIMUM_SECOND_TIMEOUT_MS, Math.round(pingTimeout(trips) * SECOND_TIMEOUT_SHARE))
}
