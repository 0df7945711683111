/**
 * Deterministic hashes that distribute keys over groups and members. All instances must compute the same
 * values.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Returns the 32-bit FNV-1a hash of a string, followed by an avalanche step, as an unsigned integer. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index)
    hash = Math.imul(hash, FNV_PRIME)
  }
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x7feb352d)
  hash ^= hash >>> 15
  return hash >>> 0
}

/**
 * Sorts the members by rendezvous hashing for a key, highest score first. When a member joins or leaves, the others keep
 * their relative order.
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  const scored = members.map(member => ({member, score: hash32(`${key}|${member}`)}))
  scored.sort((one, other) => other.score - one.score || (one.member < other.member ? -1 : 1))
  return scored.map(entry => entry.member)
}
