/**
 * Makes calls to the advice service for the leader, which may be another instance. It knows which calls the service should
 * still be working on, also those of a former leader, and makes none that would only wait behind them.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {AdviceQuestion, AdviceReply} from "../peer/fleet.js"
import {busyFor} from "../pipelines/adviceturns.js"
import type {AdviceCalls} from "../pipelines/ports.js"

export interface AdviceCaller {
  readonly ask: (question: AdviceQuestion) => Promise<AdviceReply>
  /** Calls not made, since the turn of this instance was taken. */
  readonly countBusy: () => number
}

export function createAdviceCaller(
  clock: Clock,
  log: Logger,
  advice: AdviceCalls,
  isStopping: () => boolean,
): AdviceCaller {
  /** When the service should have handled the calls in flight. */
  let takenUntil: Milliseconds = 0
  let callsInFlight = 0
  let busyCount = 0

  return {
    async ask({step, workers, timeoutMs, durationMs}) {
      const askedAt = clock.now()
      const busyMs = busyFor({takenUntil, isStopping: isStopping()}, durationMs, askedAt)
      if (busyMs > 0) {
        busyCount += 1
        return {permits: undefined, busyMs, serviceMs: 0}
      }
      takenUntil = Math.max(takenUntil, askedAt) + durationMs
      callsInFlight += 1
      const answer = await advice.ask(step, workers, timeoutMs)
      callsInFlight -= 1
      const isHandled = answer.isOk() || answer.error.certainty === "not-run"
      if (isHandled && callsInFlight === 0) takenUntil = clock.now()
      const serviceMs = clock.now() - askedAt
      if (answer.isErr())
        log.warn(
          {event: "advice-error", step, took: Math.round(serviceMs), reason: answer.error.message},
          "a request for advice failed",
        )
      return {permits: answer.unwrapOr(undefined), busyMs: 0, serviceMs}
    },
    countBusy: () => busyCount,
  }
}
