/**
 * Seeded pseudo-random numbers. Every random choice in the system takes a `Random`, so that a run can be
 * repeated from its seed.
 */

export interface Random {
  /** A number in the half-open range from 0 to 1. */
  readonly next: () => number
  /** An integer in the half-open range from 0 to the bound. */
  readonly below: (bound: number) => number
}

const WORD = 0x1_0000_0000

/** Creates a generator (mulberry32) from a 32-bit seed. */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0
  function next(): number {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / WORD
  }
  return {next, below: bound => Math.floor(next() * bound)}
}

/** Returns the items in a random order. */
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

/** An exponentially distributed number with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}
