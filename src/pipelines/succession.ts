/**
 * Decides who succeeds a leader that has failed, and when a leader hands over to a fitter instance. It answers the load
 * of a fleet of unlike instances: one leader makes all decisions, sends every start order with its payload and reads every
 * answer, so that its processors and its link bound what the whole fleet starts. A cold process needs several times the
 * processor time for the same work. After a failure the instances that restart at once are the first to find the leader
 * dead, so that without an order of succession the least fit ones claim.
 */
import type {Milliseconds} from "../core/clock.js"

/** What an instance brings along as a leader. */
export interface Contender {
  readonly name: string
  readonly processors: number
  /** Megabits a second; 0 or undefined if that is not known. */
  readonly linkMegabits?: number
  readonly isWarm?: boolean
}

/** How busy a leader is. */
export interface LeaderDuty {
  /** How long it has planned; 0 while it has not read its work. */
  readonly plannedFor: Milliseconds
  /** Steps with tasks that may start now. */
  readonly openSteps: number
  /** Workers that may still run tasks of an earlier leader, which other tasks wait for. */
  readonly unreportedWorkers: number
}

/** A leader that keeps one processor busy sends and receives about this much. */
const MEGABITS_PER_PROCESSOR = 20
/**
 * Planning for 245 workers at peak load takes more than this many processors. An instance with less power is weak: it
 * leads only if there is no stronger one.
 */
const MIN_LEADER_POWER = 0.5
/** An instance stands back for one with this many times its fitness. A takeover costs more than a smaller gain. */
const MIN_ADVANTAGE = 1.25
/** The share of its power that a cold process has at first. */
const COLD_SHARE = 0.5
/** How long a process counts as cold. */
const WARM_AFTER_MS: Milliseconds = 5000
/** A leader of some power that has planned for less than this has a backlog of its own takeover to work off. */
const SETTLING_MS: Milliseconds = 5000
/** With more open steps than this, an interruption of a second is felt by their callers. */
const MAX_CALM_STEPS = 20

/** Processors that the instance can use as a leader, as far as its link does not bound them. */
export function leadingPower({processors, linkMegabits = 0}: Contender): number {
  return linkMegabits > 0 ? Math.min(processors, linkMegabits / MEGABITS_PER_PROCESSOR) : processors
}

export function isWeak(contender: Contender): boolean {
  return leadingPower(contender) < MIN_LEADER_POWER
}

export function isWarmAfter(upFor: Milliseconds): boolean {
  return upFor >= WARM_AFTER_MS
}

/** The power of the instance, less while it is cold. */
export function fitness(contender: Contender): number {
  return leadingPower(contender) * (contender.isWarm ? 1 : COLD_SHARE)
}

/** True if the instances differ so much that it matters which of them leads. */
function isUneven(contenders: readonly Contender[]): boolean {
  const powers = contenders.map(leadingPower)
  return Math.max(...powers) >= Math.min(...powers) * MIN_ADVANTAGE
}

/** The given instances, the fittest first. */
export function rankByFitness<T extends Contender>(contenders: readonly T[]): readonly T[] {
  return [...contenders].sort((one, other) => fitness(other) - fitness(one))
}

/**
 * The others that should lead rather than this instance, the fittest first. There are none in a fleet of equal instances,
 * where whoever finds the leader dead first claims.
 */
export function findFitter<T extends Contender>(self: Contender, others: readonly T[]): readonly T[] {
  if (!isUneven([self, ...others])) return []
  const enough = fitness(self) * MIN_ADVANTAGE
  return rankByFitness(others.filter(other => fitness(other) >= enough))
}

/** Those of the given instances that are about as fit as the fittest one; all of them are ranked by fitness. */
export function takeFittestClass<T extends Contender>(ranked: readonly T[]): readonly T[] {
  const [fittest] = ranked
  return fittest ? ranked.filter(one => fitness(one) * MIN_ADVANTAGE > fitness(fittest)) : []
}

/**
 * The followers to which a leader should hand over now, the fittest first. A weak leader does so at once, even to a cold
 * one. Any other leader hands over to a warm one, and only while nothing waits that the change would hold up. Each
 * hand-over goes to more power, so that no two instances hand over to each other.
 */
export function findSuccessors<T extends Contender>(
  self: Contender,
  followers: readonly T[],
  duty: LeaderDuty,
): readonly T[] {
  if (isWeak(self)) return rankByFitness(followers.filter(follower => !isWeak(follower)))
  if (duty.plannedFor < SETTLING_MS || duty.openSteps > MAX_CALM_STEPS) return []
  // A successor would wait for the leases of the earlier leader anew.
  if (duty.unreportedWorkers > 0) return []
  const enough = leadingPower(self) * MIN_ADVANTAGE
  return rankByFitness(followers.filter(one => one.isWarm && leadingPower(one) >= enough))
}
