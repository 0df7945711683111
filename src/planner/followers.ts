/**
 * The followers of a leader, for one term: the instances that ping it, or the workers that answer it. A leader whose store
 * is silent goes on as long as enough of them follow it (`support.ts`), so its successor has to know all that can count. A
 * follower therefore counts only while the term record in the store names it, and only by answers to recent calls: an
 * answer that was delivered late proves nothing. Time counts while the machine is suspended, since other leaders may
 * come meanwhile.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {createElapsedTime} from "../core/elapsedtime.js"
import type {ElapsedTime} from "../core/elapsedtime.js"
import {hash32} from "../core/hash.js"
import {countMissable, INSTANCE_SUPPORT} from "../pipelines/support.js"
import type {SupportRule} from "../pipelines/support.js"

/** A follower that has not been heard for this long is taken out of the record. Members of a large fleet ping every 0.6 s. */
const RECORD_TIMEOUT_MS: Milliseconds = 3000

export interface Followers {
  /**
   * Records that the follower was heard under this term. `answeredAt` is the time on this leader's clock at which an
   * instance had its latest answer from the leader, or a worker was asked; 0 for a process that has just been met.
   */
  readonly record: (name: string, answeredAt: Milliseconds) => void
  /** True if the follower was heard in this term. It follows no earlier leader any more. */
  readonly hasJoined: (name: string) => boolean
  /** True if enough recorded followers have followed this leader within the given time. */
  readonly isFollowed: (within: Milliseconds) => boolean
  /** The followers that are heard at present, as far as they are recorded. */
  readonly current: () => readonly string[]
  /** The names that the record should have; undefined if it has them or is being written. */
  readonly namesToRecord: () => readonly string[] | undefined
  /** The record is going to be written with these names. */
  readonly beginRecording: (names: readonly string[]) => void
  /** The record is stored with the names of the latest `beginRecording`. */
  readonly confirmRecording: () => void
}

interface Follower {
  readonly heardAt: Milliseconds
  /** -Infinity before the first answer. */
  readonly answeredAt: Milliseconds
}

export function createFollowers(
  clock: Clock,
  rule: SupportRule = INSTANCE_SUPPORT,
  elapsed: ElapsedTime = createElapsedTime(clock),
): Followers {
  const followers = new Map<string, Follower>()
  /** All names that were heard, in an order that has nothing to do with where the followers are. */
  let sampleOrder: readonly string[] = []
  /** Names in the stored record and in those written since, less processes that have started since. */
  let recorded = new Set<string>()
  let recording: Set<string> | undefined
  /** The number of names in each record that the store may hold. */
  let recordSizes: readonly number[] = [0]

  function listCurrent(): readonly string[] {
    if (sampleOrder.length < followers.size)
      sampleOrder = [...followers.keys()].sort((one, other) => hash32(one) - hash32(other))
    const now = clock.now()
    const current: string[] = []
    for (const name of sampleOrder) {
      if (current.length >= rule.most) break
      if (now - (followers.get(name)?.heardAt ?? -Infinity) < RECORD_TIMEOUT_MS) current.push(name)
    }
    return current
  }

  return {
    record(name, answeredAt) {
      const isNew = answeredAt === 0
      // Another process of this name may have left this leader before, so that the name has to be recorded again.
      if (isNew) {
        recorded.delete(name)
        recording?.delete(name)
      }
      const earlier = followers.get(name)?.answeredAt ?? -Infinity
      followers.set(name, {
        heardAt: clock.now(),
        answeredAt: isNew ? earlier : Math.max(answeredAt, earlier),
      })
    },
    hasJoined: name => followers.has(name),
    isFollowed(within) {
      const recent = [...recorded].filter(
        name => elapsed.since(followers.get(name)?.answeredAt ?? -Infinity) < within,
      )
      return recent.length > countMissable(Math.max(...recordSizes), rule)
    },
    current: listCurrent,
    namesToRecord() {
      if (recording) return undefined
      const current = listCurrent()
      const isRecorded = current.length === recorded.size && current.every(name => recorded.has(name))
      return isRecorded ? undefined : current
    },
    beginRecording(names) {
      recording = new Set(names)
      recordSizes = [...recordSizes, names.length]
      recorded = new Set(names.filter(name => recorded.has(name)))
    },
    confirmRecording() {
      recorded = recording ?? recorded
      recordSizes = recordSizes.slice(-1)
      recording = undefined
    },
  }
}
