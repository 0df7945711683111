/**
 * Measures how busy the leader is: the time that scheduling passes take, and how late its timers run. A summary is
 * logged at a fixed interval, so that the volume does not depend on the load.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"

/** What the leader is waiting for at the time of a summary. */
export interface LeaderBacklog {
  /** Steps with tasks that may start now. */
  readonly openSteps: number
  readonly activeJobs: number
  /** Workers that may still run tasks of an earlier leader, so that inherited jobs of their service are held back. */
  readonly unfencedWorkers: number
  readonly unreachableWorkers: number
}

export interface LeaderLoad {
  readonly recordPass: (duration: Milliseconds) => void
  /** Records how late a timer of the leader ran, which is how long its event loop was busy with other work. */
  readonly recordTimerDelay: (delay: Milliseconds) => void
  /** Logs a summary if the interval has passed since the last one. */
  readonly summarize: (backlog: () => LeaderBacklog) => void
  /** The longest pass and timer delay since the last summary, as gauges for metrics. */
  readonly gauges: () => Readonly<Record<string, number>>
}

/** Short enough to see an overload of a few seconds. */
const SUMMARY_INTERVAL_MS: Milliseconds = 1000

export function createLeaderLoad(clock: Clock, log: Logger, term: number): LeaderLoad {
  let summarizedAt = clock.now()
  let passes = 0
  let passTime: Milliseconds = 0
  let longestPass: Milliseconds = 0
  let longestDelay: Milliseconds = 0

  return {
    recordPass(duration) {
      passes += 1
      passTime += duration
      longestPass = Math.max(longestPass, duration)
    },
    recordTimerDelay(delay) {
      longestDelay = Math.max(longestDelay, delay)
    },
    summarize(backlog) {
      const now = clock.now()
      if (now - summarizedAt < SUMMARY_INTERVAL_MS) return
      log.info(
        {
          event: "leader-load",
          term,
          span: Math.round(now - summarizedAt),
          passes,
          passTime: Math.round(passTime),
          longestPass: Math.round(longestPass),
          timerDelay: Math.round(longestDelay),
          ...backlog(),
        },
        "how busy the leader was since the last summary",
      )
      summarizedAt = now
      passes = 0
      passTime = 0
      longestPass = 0
      longestDelay = 0
    },
    gauges: () => ({longest_pass_ms: Math.round(longestPass), timer_delay_ms: Math.round(longestDelay)}),
  }
}
