/**
 * Chooses the instances that carry the leader's calls, and the relay of each worker. It answers the load of a fleet of
 * hundreds of workers, of which each has a report call open all the time: more calls than one instance can make beside
 * its planning. In a small fleet the leader calls all workers itself.
 */
import {hash32, rendezvousOrder} from "../core/hash.js"
import type {Member} from "../peer/fleet.js"

/** In a fleet of up to so many workers the leader calls all of them itself. */
export const MOST_DIRECT_WORKERS = 64
/** There is a relay for each so many workers. */
const WORKERS_PER_RELAY = 32
/** An instance with fewer processors is weak: calls at a peak would take too much of them. */
const MIN_RELAY_PROCESSORS = 0.5
/** Weak instances are relays only if fewer than this share of the relays can be strong ones. */
const MIN_STRONG_SHARE = 0.5

/** The number of relays that the calls to so many workers are divided among. */
export function countRelays(workers: number): number {
  return workers <= MOST_DIRECT_WORKERS ? 0 : Math.ceil(workers / WORKERS_PER_RELAY)
}

function rankOf(member: Member): number {
  return hash32(member.name)
}

/**
 * Up to `count` of the candidates, the strong ones in an order that does not depend on who leads, so that a new leader
 * finds relays which are connected to their workers already. A few strong relays with more workers each are better than
 * some weak ones among them, since a step waits for the slowest of its workers.
 */
export function chooseRelays(candidates: readonly Member[], count: number): readonly Member[] {
  const strong = candidates.filter(({processors}) => processors >= MIN_RELAY_PROCESSORS)
  const eligible = strong.length >= count * MIN_STRONG_SHARE ? strong : candidates
  return [...eligible]
    .sort((one, other) => other.processors - one.processors || rankOf(one) - rankOf(other))
    .slice(0, count)
}

/**
 * The relay of a worker among the present ones, without those that could not reach the worker; undefined if none is left.
 * When one comes or goes, only the workers that it gets or had move.
 */
export function relayOf(
  worker: string,
  relays: readonly string[],
  failed: ReadonlySet<string>,
): string | undefined {
  return rendezvousOrder(worker, relays).find(name => !failed.has(name))
}
