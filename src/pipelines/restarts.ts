/**
 * How long a task that lasts stays down before it is started again. Such a task has no limit of attempts. One that fails as
 * soon as it starts, by a fault of its own, would otherwise be started hundreds of times a second, and the leader would have
 * no time for other work. A task that had run for a while is started again nearly at once, and none stays down for long.
 */
import type {Milliseconds} from "../core/clock.js"

/** A run that ends sooner than this counts as one that failed at its start. */
const SHORT_RUN_MS: Milliseconds = 1000
const FIRST_PAUSE_MS: Milliseconds = 100
/** Users expect the task back within three seconds. */
const LONGEST_PAUSE_MS: Milliseconds = 1600

/** The number of short runs in a row, after one more run of the given length. */
export function countShortRuns(before: number, ranFor: Milliseconds): number {
  return ranFor < SHORT_RUN_MS ? before + 1 : 0
}

export function pauseBeforeRestart(shortRuns: number): Milliseconds {
  return Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.max(0, shortRuns - 1))
}
