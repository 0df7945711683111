/**
 * Starts gangs: all tasks of a job at once, or none. It reserves room at the owners in one fixed order and commits
 * when every task has a place. The oldest gang keeps what it could reserve and may displace younger ones, so that
 * one gang always comes nearer to its start; the others give back what they have at once. Reservations expire at
 * the owners, so that a dead home holds nothing.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import type {Attempt} from "../jobs/attempt.js"
import type {GroupIndex} from "../placement/passplan.js"
import type {ReachableGroup} from "./dispatcher.js"
import type {Logger} from "../core/logger.js"
import type {PlacementClient, PlacedAttempt, PlaceMode} from "./placementclient.js"

export interface WaitingGang {
  readonly job: string
  readonly tasks: readonly number[]
  readonly priority: number
  readonly pool: string
  /** Wall-clock time of acceptance: the same order at every home. */
  readonly acceptedAt: number
  readonly enqueuedAt: Milliseconds
}

export interface GangPorts {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly client: PlacementClient
  readonly groups: GroupIndex<ReachableGroup>
  readonly mayAct: () => boolean
  readonly nextAttempts: (gang: WaitingGang) => readonly Attempt[]
  /** Reason in words why the team may not start the gang now. */
  readonly quotaBlocker: (gang: WaitingGang) => string | undefined
  /** The gang's attempts are about to be committed: they are tracked and, if need be, recorded. */
  readonly onCommit: (
    gang: WaitingGang,
    placed: ReadonlyMap<string, ReachableGroup>,
    attempts: readonly Attempt[],
  ) => Promise<boolean>
  readonly onAnswers: (gang: WaitingGang, answers: readonly PlacedAttempt[]) => void
}

export interface Gangs {
  readonly enqueue: (gang: WaitingGang) => void
  readonly withdraw: (job: string) => WaitingGang | undefined
  readonly waiting: () => readonly WaitingGang[]
  readonly blockerOf: (job: string) => string | undefined
  readonly close: () => void
}

const ROUND_INTERVAL_MS: Milliseconds = 150
const URGENT_HEAD_START = 1e15

interface Placed {
  readonly group: ReachableGroup
  readonly attempts: readonly Attempt[]
}

/** Lower goes first. */
function rankOf(gang: WaitingGang): number {
  return gang.acceptedAt - gang.priority * URGENT_HEAD_START
}

/** Creates the gang placer of one home. */
export function gangs(ports: GangPorts): Gangs {
  const {clock, client, log} = ports
  const waiting = new Map<string, WaitingGang>()
  const attemptsOf = new Map<string, readonly Attempt[]>()
  const blockers = new Map<string, string>()
  let closed = false
  let working = false

  function isClosed(): boolean {
    return closed
  }

  function ordered(): readonly WaitingGang[] {
    return [...waiting.values()].sort((one, other) => rankOf(one) - rankOf(other))
  }

  function forget(job: string): WaitingGang | undefined {
    const gang = waiting.get(job)
    waiting.delete(job)
    attemptsOf.delete(job)
    blockers.delete(job)
    return gang
  }

  function attemptsFor(gang: WaitingGang): readonly Attempt[] {
    const known = attemptsOf.get(gang.job)
    if (known) return known
    const fresh = ports.nextAttempts(gang)
    attemptsOf.set(gang.job, fresh)
    return fresh
  }

  /** Groups in one order at every home; those that could take all tasks alone go first. */
  function usableGroups(gang: WaitingGang): readonly ReachableGroup[] {
    return [...ports.groups.ofPool(gang.pool)].sort((one, other) => (one.group < other.group ? -1 : 1))
  }

  function ask(
    gang: WaitingGang,
    mode: PlaceMode,
    {group, attempts}: Placed,
  ): ReturnType<PlacementClient["place"]> {
    const order = {group: group.group, owner: group.owner, rank: rankOf(gang), reservation: gang.job}
    return client.place({...order, mode, attempts, wait: 0, waited: 0})
  }

  async function reserveAt(
    gang: WaitingGang,
    group: ReachableGroup,
    attempts: readonly Attempt[],
  ): Promise<readonly Attempt[]> {
    const reply = await ask(gang, "reserve", {group, attempts})
    if (reply.isErr()) return []
    const reserved = new Set(
      reply.value.placements.filter(entry => entry.result === "reserved").map(entry => entry.attempt),
    )
    return attempts.filter(attempt => reserved.has(attempt.attempt))
  }

  async function release(gang: WaitingGang, placed: readonly Placed[]): Promise<void> {
    await Promise.all(placed.map(entry => ask(gang, "release", entry)))
  }

  async function reserveAll(
    gang: WaitingGang,
  ): Promise<{readonly placed: readonly Placed[]; readonly missing: number}> {
    let missing = attemptsFor(gang)
    const placed: Placed[] = []
    for (const group of usableGroups(gang)) {
      if (missing.length === 0) break
      const reserved = await reserveAt(gang, group, missing)
      if (reserved.length === 0) continue
      placed.push({group, attempts: reserved})
      missing = missing.filter(attempt => !reserved.includes(attempt))
    }
    return {placed, missing: missing.length}
  }

  async function commit(gang: WaitingGang, placed: readonly Placed[]): Promise<void> {
    const attempts = placed.flatMap(entry => entry.attempts)
    const groups = new Map(
      placed.flatMap(({group, attempts: some}) => some.map(attempt => [attempt.attempt, group] as const)),
    )
    forget(gang.job)
    if (!(await ports.onCommit(gang, groups, attempts))) return
    const answers = await Promise.all(placed.map(entry => commitAt(gang, entry)))
    log.info(
      {event: "gang-committed", job: gang.job, tasks: attempts.length, groups: placed.length},
      "committed a gang",
    )
    ports.onAnswers(gang, answers.flat())
  }

  async function commitAt(gang: WaitingGang, {group, attempts}: Placed): Promise<readonly PlacedAttempt[]> {
    const reply = await ask(gang, "commit", {group, attempts})
    const all = (result: string, reason: string): readonly PlacedAttempt[] =>
      attempts.map(({attempt}) => ({attempt, result, worker: "", reason}))
    if (reply.isErr())
      return all(reply.error.certainty === "not-run" ? "refused" : "unsure", reply.error.message)
    return reply.value.refusal === "" ? reply.value.placements : all("refused", reply.value.refusal)
  }

  /** Tries one gang. Only the oldest keeps a part of its reservations for the next round. */
  async function tryGang(gang: WaitingGang, oldest: boolean): Promise<void> {
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
    blockers.set(gang.job, `room was found for ${gang.tasks.length - missing} of ${gang.tasks.length} tasks`)
    if (!oldest) await release(gang, placed)
  }

  async function round(): Promise<void> {
    if (working || closed || !ports.mayAct()) return
    working = true
    let oldest = true
    for (const gang of ordered()) {
      if (isClosed()) break
      await tryGang(gang, oldest)
      if (waiting.has(gang.job)) oldest = false
    }
    working = false
  }

  function tick(): void {
    if (closed) return
    if (waiting.size > 0) void round()
    clock.after(ROUND_INTERVAL_MS * (0.75 + ports.random.next() / 2), tick)
  }

  tick()

  return {
    enqueue(gang) {
      waiting.set(gang.job, gang)
      void round()
    },
    withdraw: forget,
    waiting: ordered,
    blockerOf: job => blockers.get(job),
    close() {
      closed = true
    },
  }
}
