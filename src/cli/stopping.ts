/**
 * Planned stop of an instance: it hands over its duties, accepts requests until the platform sends new connections to
 * other instances, closes its listener and answers the open requests.
 */
import type {Server} from "node:http"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"

export interface StopPorts {
  /** Hands duties over; from then on the instance reports to the platform that it is not ready. */
  readonly drain: () => Promise<void>
  /** Counts the requests that were read and have not been answered. */
  readonly countOpenRequests: () => number
  /** Accepts no further connection and closes idle ones. */
  readonly closeListener: () => Promise<void>
}

/** The platform sends new connections until two readiness checks, one second apart, have failed. */
const READINESS_FAILURE_DELAY_MS: Milliseconds = 2500
/**
 * Part of the grace period that is reserved for the process to exit. A request that arrives as the listener closes and
 * waits for a store that does not answer takes 2.8 s, which ends 5.4 s into a grace period of 6 s.
 */
const EXIT_MARGIN_MS: Milliseconds = 400
const DRAIN_POLL_MS: Milliseconds = 50
/** Time for requests that were in transit when the listener closed. */
const LAST_ARRIVALS_MS: Milliseconds = 60

/** Turns of the event loop in which a connection that waits is accepted and its request is read. */
const READ_TURNS = 2

/**
 * Closes the listener of the server and its idle connections. A busy process runs expired timers before it reads
 * sockets, so requests that have arrived are read first: a connection with one looks idle until then.
 */
export async function closeServer(server: Pick<Server, "close" | "closeIdleConnections">): Promise<void> {
  for (let turn = 0; turn < READ_TURNS; turn += 1) await new Promise(setImmediate)
  server.close()
  server.closeIdleConnections()
}

/** Resolves when no request is open any more, or shortly before the grace period ends. */
export async function stopGracefully(clock: Clock, grace: Milliseconds, ports: StopPorts): Promise<void> {
  const begun = clock.now()
  const limit = grace - EXIT_MARGIN_MS
  await ports.drain()
  const noticeLeft = READINESS_FAILURE_DELAY_MS - (clock.now() - begun)
  if (noticeLeft > 0) await sleep(clock, noticeLeft)
  // The listener closes even while requests are open: waiting for them would let in later requests, which would have
  // less of the grace period left.
  await ports.closeListener()
  await sleep(clock, LAST_ARRIVALS_MS)
  while (clock.now() - begun < limit && ports.countOpenRequests() > 0) await sleep(clock, DRAIN_POLL_MS)
}
