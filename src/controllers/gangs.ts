/**
 * Starts gangs: all tasks of a job at once, or none. The placer reserves free capacity at the owners of worker groups
 * in one fixed order and commits once every task has a reservation. The gang that is first in rank keeps a partial
 * reservation and may displace the reservations of gangs behind it, so that one gang always makes progress; the others
 * release partial reservations at once. Reservations expire at the owners, so a home that has failed holds none.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import type {Attempt} from "../jobs/attempt.js"
import type {GroupIndex} from "../placement/passplan.js"
import type {ReachableGroup} from "./dispatcher.js"
import type {Logger} from "../core/logger.js"
import type {PlacementClient, AttemptPlacement, PlaceMode} from "./placementclient.js"

export interface WaitingGang {
  readonly job: string
  readonly tasks: readonly number[]
  readonly priority: number
  readonly pool: string
  /** Wall-clock time of acceptance, so that gangs of all homes rank in the same order. */
  readonly acceptedAt: number
  readonly enqueuedAt: Milliseconds
}

export interface GangPlacerPorts {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly client: PlacementClient
  readonly groups: GroupIndex<ReachableGroup>
  readonly mayAct: () => boolean
  /** Creates an attempt for each task of the gang. */
  readonly nextAttempts: (gang: WaitingGang) => readonly Attempt[]
  /** The reason why the team's quota does not allow the gang to start now. */
  readonly quotaBlocker: (gang: WaitingGang) => string | undefined
  /**
   * Called before the attempts of a gang are committed, to track them and, where required, to record them. The gang is
   * not committed if this resolves to false.
   */
  readonly onCommit: (
    gang: WaitingGang,
    placed: ReadonlyMap<string, ReachableGroup>,
    attempts: readonly Attempt[],
  ) => Promise<boolean>
  /** Called with the owners' answers to a commit. */
  readonly onResults: (gang: WaitingGang, answers: readonly AttemptPlacement[]) => void
}

export interface GangPlacer {
  readonly enqueue: (gang: WaitingGang) => void
  /** Removes a waiting gang. */
  readonly withdraw: (job: string) => WaitingGang | undefined
  /** The waiting gangs, in order of rank. */
  readonly waiting: () => readonly WaitingGang[]
  /** The reason why a gang waits, in words. */
  readonly blockerOf: (job: string) => string | undefined
  readonly close: () => void
}

const ROUND_INTERVAL_MS: Milliseconds = 150
/** Exceeds every wall-clock time, so that a higher priority always ranks before an earlier acceptance. */
const PRIORITY_STEP_MS = 1e15

/** Attempts of a gang that are reserved, or asked for, at one worker group. */
interface GroupPlacement {
  readonly group: ReachableGroup
  readonly attempts: readonly Attempt[]
}

/** The rank of a gang; lower ranks go first. */
function rankOf(gang: WaitingGang): number {
  return gang.acceptedAt - gang.priority * PRIORITY_STEP_MS
}

/** Creates the gang placer of one home and starts its loop. */
export function createGangPlacer(ports: GangPlacerPorts): GangPlacer {
  const {clock, client, log} = ports
  const waiting = new Map<string, WaitingGang>()
  const attemptsByJob = new Map<string, readonly Attempt[]>()
  const blockers = new Map<string, string>()
  let closed = false
  let isRoundRunning = false

  /** A function, because the compiler does not see that `closed` may change during an await. */
  function isClosed(): boolean {
    return closed
  }

  function gangsByRank(): readonly WaitingGang[] {
    return [...waiting.values()].sort((one, other) => rankOf(one) - rankOf(other))
  }

  function removeGang(job: string): WaitingGang | undefined {
    const gang = waiting.get(job)
    waiting.delete(job)
    attemptsByJob.delete(job)
    blockers.delete(job)
    return gang
  }

  /** The attempts of a gang, which stay the same while it waits, so that reservations are renewed and not doubled. */
  function attemptsFor(gang: WaitingGang): readonly Attempt[] {
    const known = attemptsByJob.get(gang.job)
    if (known) return known
    const created = ports.nextAttempts(gang)
    attemptsByJob.set(gang.job, created)
    return created
  }

  /** Worker groups of the gang's pool, sorted by name: every home reserves in the same order. */
  function sortedGroups(gang: WaitingGang): readonly ReachableGroup[] {
    return [...ports.groups.ofPool(gang.pool)].sort((one, other) => (one.group < other.group ? -1 : 1))
  }

  function callOwner(
    gang: WaitingGang,
    mode: PlaceMode,
    {group, attempts}: GroupPlacement,
  ): ReturnType<PlacementClient["place"]> {
    const target = {group: group.group, owner: group.owner, rank: rankOf(gang), reservation: gang.job}
    return client.place({...target, mode, attempts, wait: 0, waited: 0})
  }

  /** Returns the attempts that the owner has reserved free capacity for. */
  async function reserveAt(
    gang: WaitingGang,
    group: ReachableGroup,
    attempts: readonly Attempt[],
  ): Promise<readonly Attempt[]> {
    const reply = await callOwner(gang, "reserve", {group, attempts})
    if (reply.isErr()) return []
    const reserved = new Set(
      reply.value.placements.filter(entry => entry.result === "reserved").map(entry => entry.attempt),
    )
    return attempts.filter(attempt => reserved.has(attempt.attempt))
  }

  async function release(gang: WaitingGang, placed: readonly GroupPlacement[]): Promise<void> {
    await Promise.all(placed.map(entry => callOwner(gang, "release", entry)))
  }

  /** Reserves as many attempts as possible; `missing` is the number without a reservation. */
  async function reserveAll(
    gang: WaitingGang,
  ): Promise<{readonly placed: readonly GroupPlacement[]; readonly missing: number}> {
    let missing = attemptsFor(gang)
    const placed: GroupPlacement[] = []
    for (const group of sortedGroups(gang)) {
      if (missing.length === 0) break
      const reserved = await reserveAt(gang, group, missing)
      if (reserved.length === 0) continue
      placed.push({group, attempts: reserved})
      missing = missing.filter(attempt => !reserved.includes(attempt))
    }
    return {placed, missing: missing.length}
  }

  async function commit(gang: WaitingGang, placed: readonly GroupPlacement[]): Promise<void> {
    const attempts = placed.flatMap(entry => entry.attempts)
    const groups = new Map(
      placed.flatMap(({group, attempts: groupAttempts}) =>
        groupAttempts.map(attempt => [attempt.attempt, group] as const),
      ),
    )
    removeGang(gang.job)
    if (!(await ports.onCommit(gang, groups, attempts))) return
    const answers = await Promise.all(placed.map(entry => commitAt(gang, entry)))
    log.info(
      {event: "gang-committed", job: gang.job, tasks: attempts.length, groups: placed.length},
      "committed a gang at the owners of its worker groups",
    )
    ports.onResults(gang, answers.flat())
  }

  async function commitAt(
    gang: WaitingGang,
    {group, attempts}: GroupPlacement,
  ): Promise<readonly AttemptPlacement[]> {
    const reply = await callOwner(gang, "commit", {group, attempts})
    const sameResultForAll = (result: string, reason: string): readonly AttemptPlacement[] =>
      attempts.map(({attempt}) => ({attempt, result, worker: "", reason}))
    if (reply.isErr())
      return sameResultForAll(reply.error.certainty === "not-run" ? "refused" : "unsure", reply.error.message)
    return reply.value.refusal === ""
      ? reply.value.placements
      : sameResultForAll("refused", reply.value.refusal)
  }

  /** Tries to place one gang. Only the first in rank keeps a partial reservation for the next round. */
  async function tryGang(gang: WaitingGang, isFirst: boolean): Promise<void> {
    const quota = ports.quotaBlocker(gang)
    if (quota !== undefined) {
      blockers.set(gang.job, quota)
      return
    }
    const {placed, missing} = await reserveAll(gang)
    if (closed) return
    if (!waiting.has(gang.job)) {
      await release(gang, placed)
      return
    }
    if (missing === 0) {
      await commit(gang, placed)
      return
    }
    blockers.set(
      gang.job,
      `free capacity was found for ${gang.tasks.length - missing} of ${gang.tasks.length} tasks`,
    )
    if (!isFirst) await release(gang, placed)
  }

  /** Tries each waiting gang once, in order of rank. */
  async function runRound(): Promise<void> {
    if (isRoundRunning || closed || !ports.mayAct()) return
    isRoundRunning = true
    let isFirst = true
    for (const gang of gangsByRank()) {
      if (isClosed()) break
      await tryGang(gang, isFirst)
      if (waiting.has(gang.job)) isFirst = false
    }
    isRoundRunning = false
  }

  function roundLoop(): void {
    if (closed) return
    if (waiting.size > 0) void runRound()
    clock.after(ROUND_INTERVAL_MS * (0.75 + ports.random.next() / 2), roundLoop)
  }

  roundLoop()

  return {
    enqueue(gang) {
      waiting.set(gang.job, gang)
      void runRound()
    },
    withdraw: removeGang,
    waiting: gangsByRank,
    blockerOf: job => blockers.get(job),
    close() {
      closed = true
    },
  }
}
