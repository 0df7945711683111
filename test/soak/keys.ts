/**
 * Keys of a soak. Each configuration brings a new key and takes the former one away, beside a key that stays. Callers also
 * try the keys that were taken away, and note which calls are answered as they may not be.
 */
import type {Milliseconds} from "../../src/core/clock.js"
import type {Random} from "../../src/core/random.js"

export const STEADY_KEY = "steady-key"
/** What the instances are told to keep to. */
export const WITHDRAWAL_LIMIT_MS: Milliseconds = 5000
const REMEMBERED_KEYS = 3

export interface SoakKeys {
  /** Takes the present key away, and gives the keys of the next configuration. */
  readonly replace: () => readonly string[]
  /** A key to try: one that stays, that is new, or that was taken away lately. */
  readonly pick: () => string
  /** What is wrong with the answer to a call that was sent with the key; undefined if nothing is. */
  readonly findFault: (key: string, sentAt: Milliseconds, status: number) => string | undefined
}

export function createSoakKeys(random: Random): SoakKeys {
  let count = 0
  let lately: readonly string[] = []
  const withdrawnAt = new Map<string, Milliseconds>()

  return {
    replace() {
      const former = lately.at(-1)
      if (former !== undefined) withdrawnAt.set(former, performance.now())
      count += 1
      const next = `key-${count}`
      lately = [...lately, next].slice(-REMEMBERED_KEYS)
      return [STEADY_KEY, next]
    },
    pick: () => lately[random.below(lately.length + 1)] ?? STEADY_KEY,
    findFault(key, sentAt, status) {
      if (key === STEADY_KEY && status === 401) return "did not know a key that stays"
      const late = sentAt - (withdrawnAt.get(key) ?? Infinity) - WITHDRAWAL_LIMIT_MS
      return status < 300 && late > 0 ? `served a key ${Math.round(late)} ms after the limit` : undefined
    },
  }
}
