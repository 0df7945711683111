/**
 * Decides which connection is closed when there are as many as an instance may have. Connections that have never been
 * answered go first, since ordinary callers send a request as soon as they are connected and keep the connection for the
 * next ones; among equals the one goes that has kept the instance waiting for the longest time.
 *
 * Load that it answers: more connections than descriptors, without requests or with requests that never end.
 */
import type {Milliseconds} from "../core/clock.js"

export interface ConnectionView {
  /** Since when the instance waits for the client to send or to read; undefined while a request is handled. */
  readonly waitingSince: Milliseconds | undefined
  /** Whether a request of the connection has been answered and the answer read. */
  readonly answered: boolean
}

/** Returns undefined if every connection has a request that is being handled. */
export function chooseConnectionToClose<T extends ConnectionView>(connections: Iterable<T>): T | undefined {
  let chosen: T | undefined
  let longest = Number.POSITIVE_INFINITY
  for (const connection of connections) {
    const {waitingSince, answered} = connection
    if (waitingSince === undefined) continue
    if (chosen) {
      const goesFirst = chosen.answered && !answered
      const isAsGood = chosen.answered === answered && waitingSince < longest
      if (!goesFirst && !isAsGood) continue
    }
    chosen = connection
    longest = waitingSince
  }
  return chosen
}
