/** The store as callers use it: their calls are limited, so that the instance's own are made beside any number of them. */
import {err} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock} from "../core/clock.js"
import {StoreUnavailable} from "../core/errors.js"
import type {Logger} from "../core/logger.js"
import {decideCall, smoothTime} from "../pipelines/callerreads.js"
import type {KeyValueStore} from "../pipelines/ports.js"

export type CallerStorePort = Pick<KeyValueStore, "read" | "commit">

export interface CallerStore extends CallerStorePort {
  /** Number of calls that were refused because too many waited. */
  readonly refused: () => number
}

const LOG_INTERVAL_MS = 1000

export function createCallerStore(
  store: CallerStorePort,
  clock: Pick<Clock, "now">,
  log: Logger,
): CallerStore {
  const waiting: (() => void)[] = []
  let open = 0
  let usualTime = 0
  let refused = 0
  let loggedAt = -Infinity

  function refuse(): StoreUnavailable {
    refused += 1
    if (clock.now() - loggedAt >= LOG_INTERVAL_MS) {
      loggedAt = clock.now()
      log.warn(
        {event: "store-calls-refused", open, waiting: waiting.length, usualTime, total: refused},
        "more calls of callers to the store than it answers in time",
      )
    }
    return new StoreUnavailable("too many calls for callers wait", "not-run")
  }

  async function limited<T>(
    call: () => Promise<Result<T, StoreUnavailable>>,
  ): Promise<Result<T, StoreUnavailable>> {
    const decision = decideCall({open, waiting: waiting.length, usualTime})
    if (decision === "refuse") return err(refuse())
    // A call that waits takes the place of the one that ends.
    if (decision === "wait") await new Promise<void>(resolve => waiting.push(resolve))
    else open += 1
    const startedAt = clock.now()
    try {
      return await call()
    } finally {
      usualTime = smoothTime(usualTime, clock.now() - startedAt)
      const next = waiting.shift()
      if (next) next()
      else open -= 1
    }
  }

  return {
    read: key => limited(() => store.read(key)),
    commit: transaction => limited(() => store.commit(transaction)),
    refused: () => refused,
  }
}
