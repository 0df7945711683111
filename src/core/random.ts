/**
 * Seeded pseudo-random numbers. Every random choice takes its numbers from a `Random`, so that a run can be reproduced
 * from its seed.
 */

export interface Random {
  /** Returns a number from 0, inclusive, to 1, exclusive. */
  readonly next: () => number
  /** Returns an integer from 0, inclusive, to the bound, exclusive. */
  readonly below: (bound: number) => number
}

/** Number of values of a 32-bit unsigned integer. */
const UINT32_RANGE = 0x1_0000_0000

/** Creates a generator (mulberry32) from a 32-bit seed. */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0
  function next(): number {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE
  }
  return {next, below: bound => Math.floor(next() * bound)}
}

/** Returns a copy of the items in random order (Fisher-Yates). */
export function shuffled<T>(random: Random, items: readonly T[]): T[] {
  const result = [...items]
  for (let index = result.length - 1; index > 0; index -= 1) {
    const other = random.below(index + 1)
    const item = result[index] as T
    result[index] = result[other] as T
    result[other] = item
  }
  return result
}

/** Returns an exponentially distributed number with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}
