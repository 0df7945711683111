/**
 * The support of this leader, for one term: the instances that follow it, the workers that answer it, and what the store has
 * confirmed. It tells whether the leader may act, and which supporters the record of the term has to name.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {createElapsedTime} from "../core/elapsedtime.js"
import type {Logger} from "../core/logger.js"
import {
  INSTANCE_SUPPORT,
  mayActUnconfirmed,
  SUPPORTED_LIMIT_MS,
  UNSUPPORTED_LIMIT_MS,
  WORKER_SUPPORT,
} from "../pipelines/support.js"
import type {Confirmation} from "./confirmation.js"
import {createFollowers} from "./followers.js"
import type {TermRecord} from "./records.js"
import type {WorkerState} from "./state.js"

/** A leader asks the store whether it still leads when the other calls have not told so for this share of its limit. */
const CONFIRMATION_SHARE = 1 / 3

export interface LeaderSupport {
  /** Records a ping that names this term. `answeredAt` is the time of the latest answer that the follower had, or 0. */
  readonly recordInstance: (name: string, answeredAt: Milliseconds) => void
  /** Records a report of a worker that was asked for it at the given time. */
  readonly recordWorker: (worker: WorkerState, bornAt: number, sentAt: Milliseconds) => void
  /** True if the instance has followed this leader. */
  readonly hasJoined: (name: string) => boolean
  /** True if the worker has answered this leader. */
  readonly hasAnswered: (worker: string) => boolean
  /** False when another instance may have become leader without this one knowing. */
  readonly mayAct: () => boolean
  /** Asks the store whether this instance still leads if that has not been known for a while. */
  readonly check: () => void
  /** True if the record of the term has to name others. */
  readonly needsRecording: () => boolean
  /** Returns what a new record of the term has to name. */
  readonly beginRecording: () => Required<Pick<TermRecord, "followers" | "answeringWorkers">>
  /** The record is stored with the result of the latest `beginRecording`. */
  readonly confirmRecording: () => void
}

export function createLeaderSupport(clock: Clock, log: Logger, confirmation: Confirmation): LeaderSupport {
  const elapsed = createElapsedTime(clock)
  const instances = createFollowers(clock, INSTANCE_SUPPORT, elapsed)
  const workers = createFollowers(clock, WORKER_SUPPORT, elapsed)
  let couldAct = true

  function unconfirmedFor(): Milliseconds {
    return elapsed.since(confirmation.confirmedAt())
  }

  function isSupported(): boolean {
    return instances.isFollowed(INSTANCE_SUPPORT.within) && workers.isFollowed(WORKER_SUPPORT.within)
  }

  function mayAct(): boolean {
    return mayActUnconfirmed(unconfirmedFor(), isSupported)
  }

  function logChange(): void {
    const canAct = mayAct()
    if (canAct === couldAct) return
    couldAct = canAct
    const inputs = {
      unconfirmedFor: Math.round(unconfirmedFor()),
      hasInstances: instances.isFollowed(INSTANCE_SUPPORT.within),
      hasWorkers: workers.isFollowed(WORKER_SUPPORT.within),
    }
    if (canAct) log.info({event: "leader-acts", ...inputs}, "the leader acts again")
    else
      log.warn(
        {event: "leader-pauses", ...inputs},
        "the store does not confirm the leader, which starts nothing and extends no leases until it does",
      )
  }

  return {
    recordInstance: instances.record,
    recordWorker(worker, bornAt, sentAt) {
      // An incarnation that this leader has just met may have answered a later leader before.
      const isMet = worker.incarnation === bornAt
      workers.record(worker.listing.id, isMet ? sentAt : 0)
    },
    hasJoined: instances.hasJoined,
    hasAnswered: workers.hasJoined,
    mayAct,
    check() {
      logChange()
      const unconfirmed = unconfirmedFor()
      if (unconfirmed <= UNSUPPORTED_LIMIT_MS * CONFIRMATION_SHARE) return
      // Other calls are too rare for a leader that nobody supports when it has little to do.
      const limit = isSupported() ? SUPPORTED_LIMIT_MS : UNSUPPORTED_LIMIT_MS
      if (unconfirmed > limit * CONFIRMATION_SHARE) confirmation.request()
    },
    needsRecording: () => (instances.namesToRecord() ?? workers.namesToRecord()) !== undefined,
    beginRecording() {
      const followers = instances.current()
      const answeringWorkers = workers.current()
      instances.beginRecording(followers)
      workers.beginRecording(answeringWorkers)
      return {followers, answeringWorkers}
    },
    confirmRecording() {
      instances.confirmRecording()
      workers.confirmRecording()
    },
  }
}
