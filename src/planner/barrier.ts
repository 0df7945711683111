/**
 * The barrier of a new leader. It holds back tasks of inherited jobs while a worker that has not listed everything may
 * still run them for an earlier leader, or have run them, so that no task runs twice. For unreachable workers it is
 * lifted one lease after the last earlier leader has stopped extending leases. An earlier leader has stopped once it
 * follows this leader, once it has lacked the support of instances or of workers for a while (`support.ts`), or, whatever
 * else is known, once the longest time limit has passed since it was replaced.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import {
  hasStoppedWithout,
  INSTANCE_SUPPORT,
  lacksSupport,
  SUPPORTED_LIMIT_MS,
  WORKER_SUPPORT,
} from "../pipelines/support.js"
import type {Supporters} from "../pipelines/support.js"
import type {Confirmation} from "./confirmation.js"
import type {EarlierLeader} from "./records.js"
import type {WorkerState} from "./state.js"

/** Covers workers' clocks that run up to 2% slow, and the delivery time of an order. */
const CLOCK_MARGIN = 1.1

/** Why an earlier leader must have stopped. */
type StopReason = "follows" | "limit-passed" | "lacks-instances" | "lacks-workers"

export interface Barrier {
  readonly add: (worker: WorkerState) => void
  /** Called when the worker has listed all that it ran, holds nothing any more, or is gone for good. */
  readonly remove: (worker: WorkerState) => void
  /** True while the worker may run tasks that an earlier leader started. */
  readonly has: (worker: WorkerState) => boolean
  /** True while the service has a worker that may run tasks which an earlier leader started, or have ends of them. */
  readonly blocks: (service: string) => boolean
  /** Number of workers that have not listed all that they ran. */
  readonly countWorkers: () => number
  /** Sets the leaders that may still act when the term begins; undefined if they are not known. */
  readonly setEarlierLeaders: (leaders: readonly EarlierLeader[] | undefined) => void
  /** The earlier leaders that may still act, and who may still follow them; undefined while they are not known. */
  readonly earlierLeaders: () => readonly EarlierLeader[] | undefined
  /** Lifts the barrier once all leases that an earlier leader can have extended must have expired. */
  readonly check: () => void
}

export interface BarrierContext {
  readonly clock: Clock
  readonly log: Logger
  readonly leaseDuration: Milliseconds
  readonly confirmation: Confirmation
  /** True once the instance of this name follows this leader, so that it no longer leads itself. */
  readonly hasJoined: (name: string) => boolean
  /** True once the worker of this name has answered this leader, so that it answers no earlier one. */
  readonly hasAnswered: (worker: string) => boolean
  /** When this instance first knew of a term later than the given one, as far as it remembers. */
  readonly knewLaterTermAt: (term: number) => Milliseconds | undefined
  /** Called when fewer earlier leaders may still act. */
  readonly onChange: () => void
}

/** Creates the barrier of a leader whose term begins now. */
export function createBarrier(context: BarrierContext): Barrier {
  const {clock, log, confirmation, hasJoined, hasAnswered, knewLaterTermAt, onChange} = context
  const lease = context.leaseDuration * CLOCK_MARGIN
  const startedAt = clock.now()
  const unreportedWorkers = new Set<WorkerState>()
  let earlierLeaders: readonly EarlierLeader[] | undefined
  /** The term in which each instance last led. */
  let lastTerms: ReadonlyMap<string, number> = new Map()
  /** Since when leaders have lacked the support of instances, and of workers, by name. */
  const withoutInstancesSince = new Map<string, Milliseconds>()
  const withoutWorkersSince = new Map<string, Milliseconds>()
  /** Since when no earlier leader acts. */
  let stoppedSince: Milliseconds | undefined

  /** The store confirms no leader that was replaced, so that its limit counts from then at the latest. */
  function hasPassedLimit({term}: Partial<EarlierLeader>): boolean {
    const replacedAt = term === undefined ? undefined : knewLaterTermAt(term)
    return clock.now() - Math.min(startedAt, replacedAt ?? startedAt) > SUPPORTED_LIMIT_MS
  }

  function lackedFor(since: ReadonlyMap<string, Milliseconds>, leader: string): Milliseconds {
    return clock.now() - (since.get(leader) ?? Infinity)
  }

  /** Undefined if the leader may still act. */
  function findStopReason(leader: EarlierLeader): StopReason | undefined {
    const {name} = leader
    if (hasJoined(name)) return "follows"
    if (hasPassedLimit(leader)) return "limit-passed"
    if (hasStoppedWithout(lackedFor(withoutInstancesSince, name), INSTANCE_SUPPORT)) return "lacks-instances"
    if (hasStoppedWithout(lackedFor(withoutWorkersSince, name), WORKER_SUPPORT)) return "lacks-workers"
    return undefined
  }

  /** Leaves out those that support the leader no longer, and notes since when it lacks support. None of them returns. */
  function updateSupporters(
    supporters: Supporters | undefined,
    leader: string,
    lackingSince: Map<string, Milliseconds>,
    hasLeft: (name: string) => boolean,
  ): Supporters | undefined {
    const left = supporters && {...supporters, names: supporters.names.filter(name => !hasLeft(name))}
    if (left && lacksSupport(left) && !lackingSince.has(leader)) lackingSince.set(leader, clock.now())
    return left
  }

  function updateLeader(leader: EarlierLeader): EarlierLeader {
    const {name, term} = leader
    if (term === undefined) return leader
    // An instance that has led later follows no leader before.
    const hasLeft = (other: string): boolean => hasJoined(other) || (lastTerms.get(other) ?? 0) > term
    const following = updateSupporters(leader.following, name, withoutInstancesSince, hasLeft)
    const answering = updateSupporters(leader.answering, name, withoutWorkersSince, hasAnswered)
    return {...leader, following, answering}
  }

  function updateEarlierLeaders(): void {
    const before = earlierLeaders?.length
    if (!earlierLeaders && hasPassedLimit({})) earlierLeaders = []
    earlierLeaders = earlierLeaders?.map(updateLeader).filter(leader => {
      const reason = findStopReason(leader)
      if (reason) {
        const after = Math.round(clock.now() - startedAt)
        const left = {instances: leader.following?.names.length, workers: leader.answering?.names.length}
        log.info(
          {event: "earlier-leader-stopped", leader: leader.name, ledTerm: leader.term, reason, left, after},
          "an earlier leader no longer extends leases",
        )
      }
      return !reason
    })
    if (earlierLeaders?.length === 0) stoppedSince ??= clock.now()
    if (earlierLeaders?.length !== before) onChange()
  }

  return {
    add: worker => void unreportedWorkers.add(worker),
    remove: worker => void unreportedWorkers.delete(worker),
    has: worker => unreportedWorkers.has(worker),
    blocks(service) {
      for (const worker of unreportedWorkers) if (worker.listing.service === service) return true
      return false
    },
    countWorkers: () => unreportedWorkers.size,
    setEarlierLeaders(leaders) {
      earlierLeaders = leaders
      lastTerms = new Map(leaders?.map(({name, term}) => [name, term ?? 0]))
      log.info({event: "earlier-leaders", leaders}, "leaders of earlier terms that may still extend leases")
    },
    earlierLeaders: () => earlierLeaders,
    check() {
      updateEarlierLeaders()
      const expiredAt = (stoppedSince ?? Infinity) + lease
      // A worker that has answered may still have ends to list, and holds its tasks by the leases of this leader.
      const silentWorkers = [...unreportedWorkers].filter(({isFenced}) => !isFenced)
      if (silentWorkers.length === 0 || clock.now() <= expiredAt) return
      // A later leader may have extended the leases since, unless there was none yet when they had expired.
      if (confirmation.confirmedAt() <= expiredAt) {
        confirmation.request()
        return
      }
      log.warn(
        {
          event: "barrier-passed",
          workers: silentWorkers.length,
          after: Math.round(clock.now() - startedAt),
        },
        "barrier lifted: all leases of an earlier leader on unreachable workers have expired",
      )
      for (const worker of silentWorkers) unreportedWorkers.delete(worker)
    },
  }
}
