/**
 * Reports the ends of attempts from the owner of a worker group to the homes of their job groups until the homes have
 * acknowledged them. An end that is not acknowledged, because its home is changing or the store is unreachable, is
 * reported again with exponential backoff.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import type {AttemptEnd} from "../jobs/attempt.js"

export interface EndReporterPorts {
  readonly clock: Clock
  readonly random: Random
  /** Ends that their homes have not acknowledged, by name of the attempt. */
  readonly pending: () => ReadonlyMap<string, AttemptEnd>
  /** Sends ends to the home of a job group. Resolves to the names of the attempts whose ends it acknowledged. */
  readonly report: (jobGroup: string, ends: readonly AttemptEnd[]) => Promise<readonly string[]>
  readonly onAcknowledged: (attempt: string) => void
}

export interface EndReporter {
  /** Reports the ends that are due now; if a report is under way, another follows it. */
  readonly reportDueEnds: () => void
  readonly close: () => void
}

const FIRST_DELAY_MS: Milliseconds = 400
const MAX_DELAY_MS: Milliseconds = 6000
/** Limit for each job group. */
const ENDS_PER_REPORT = 256

interface RetrySchedule {
  readonly delay: Milliseconds
  readonly nextAt: Milliseconds
}

/** Creates the reporter of one worker group owner. */
export function createEndReporter(ports: EndReporterPorts): EndReporter {
  const {clock} = ports
  const schedules = new Map<string, RetrySchedule>()
  let isRunning = false
  let isRerunRequested = false
  let closed = false

  /** Ends that are due to be reported, by job group. */
  function collectDueEnds(): ReadonlyMap<string, readonly AttemptEnd[]> {
    const now = clock.now()
    const byGroup = new Map<string, AttemptEnd[]>()
    for (const end of ports.pending().values()) {
      if ((schedules.get(end.attempt)?.nextAt ?? 0) > now) continue
      const ends = byGroup.get(end.jobGroup) ?? []
      if (ends.length < ENDS_PER_REPORT) ends.push(end)
      byGroup.set(end.jobGroup, ends)
    }
    return byGroup
  }

  /** Doubles the delay with each report of an end and adds jitter. */
  function scheduleRetry(attempt: string): void {
    const delay = Math.min(MAX_DELAY_MS, 2 * (schedules.get(attempt)?.delay ?? FIRST_DELAY_MS / 2))
    schedules.set(attempt, {delay, nextAt: clock.now() + delay * (0.75 + ports.random.next() / 2)})
  }

  async function reportGroup(jobGroup: string, ends: readonly AttemptEnd[]): Promise<void> {
    for (const end of ends) scheduleRetry(end.attempt)
    for (const acknowledged of await ports.report(jobGroup, ends)) {
      ports.onAcknowledged(acknowledged)
      schedules.delete(acknowledged)
    }
  }

  /** A function, because the compiler does not see that these variables may change during an await. */
  function mayRunAgain(): boolean {
    return isRerunRequested && !closed
  }

  async function run(): Promise<void> {
    isRunning = true
    do {
      isRerunRequested = false
      await Promise.all([...collectDueEnds()].map(([jobGroup, ends]) => reportGroup(jobGroup, ends)))
    } while (mayRunAgain())
    isRunning = false
  }

  return {
    reportDueEnds() {
      if (closed) return
      if (isRunning) isRerunRequested = true
      else void run()
    },
    close() {
      closed = true
    },
  }
}
