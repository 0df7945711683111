/**
 * Keeps tasks of earlier jobs from starting while a former leader's runs may be at a worker that the new leader
 * cannot reach. A leader that the store no longer confirms stops extending leases after a while, so the wait ends.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {WorkerState} from "./state.js"

/** After this span without an answer of the store, a leader no longer extends leases or starts tasks. */
const UNCONFIRMED_LIMIT_MS: Milliseconds = 15_000
/** The same for a leader that no follower pings either: another one may lead by now. */
const ISOLATED_LIMIT_MS: Milliseconds = 1500
/** Covers clocks of workers that run 2% slow, and the way of an order. */
const CLOCK_MARGIN = 1.1

/** How long a leader may go on without an answer of the store. */
export function unconfirmedLimit(isFollowed: boolean): Milliseconds {
  return isFollowed ? UNCONFIRMED_LIMIT_MS : ISOLATED_LIMIT_MS
}

export interface Barrier {
  readonly add: (worker: WorkerState) => void
  /** The worker follows this leader, or is gone for good. */
  readonly remove: (worker: WorkerState) => void
  readonly blocks: (service: string) => boolean
  /** Lifts the barrier once the leases that a former leader may have extended have passed. */
  readonly check: () => void
}

/** Creates the barrier of a leader that begins now. `allFollow` is true once all other followers follow it. */
export function createBarrier(
  clock: Clock,
  log: Logger,
  leaseLife: Milliseconds,
  allFollow: () => boolean,
): Barrier {
  const begun = clock.now()
  const unfenced = new Set<WorkerState>()
  let followedSince: Milliseconds | undefined

  return {
    add: worker => void unfenced.add(worker),
    remove: worker => void unfenced.delete(worker),
    blocks(service) {
      for (const worker of unfenced) if (worker.listing.service === service) return true
      return false
    },
    check() {
      const now = clock.now()
      if (allFollow()) followedSince ??= now
      const lease = leaseLife * CLOCK_MARGIN
      const isolated = followedSince !== undefined && now - followedSince > ISOLATED_LIMIT_MS + lease
      if (unfenced.size === 0 || (!isolated && now - begun <= UNCONFIRMED_LIMIT_MS + lease)) return
      log.warn(
        {event: "barrier-passed", workers: unfenced.size},
        "the leases on workers out of reach have passed",
      )
      unfenced.clear()
    },
  }
}
