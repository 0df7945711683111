/**
 * Weighted fair shares of workspaces by their dominant resource, after "dominant resource fairness". The loads that it
 * answers: one workspace, or several, that send many times their usual; one that comes back after silence; a wide step
 * against many small ones; and all at once after a change of the leader. When there is too little for all, each workspace
 * may have the same share of its dominant resource, relative to its weight, and what one does not want is the others'.
 */
import type {Resources} from "../core/resources.js"
import {add, NO_RESOURCES, weightedShare} from "../core/resources.js"

/** What one workspace uses and wants of a service. */
export interface Claim {
  readonly weight: number
  /** What its tasks occupy now. */
  readonly used: Resources
  /** What they would occupy if all of its waiting tasks had started. */
  readonly wanted: Resources
}

/**
 * Work comes in waves, so that a workspace often wants more than its fair share for a moment. Only one that wants more
 * than this many times its share goes behind the others; until then the due time of its work decides.
 */
export const USUAL_SHARES = 3

type Dimension = keyof Resources
const DIMENSIONS: readonly Dimension[] = ["processors", "memoryMebibytes", "accelerators"]

/** Allowance for rounding errors in sums of fractional amounts. */
const ROUNDING_TOLERANCE = 1e-9

function isEnough(wanted: Resources, available: Resources): boolean {
  return DIMENSIONS.every(dimension => wanted[dimension] <= available[dimension] + ROUNDING_TOLERANCE)
}

/** The level up to which one dimension can be filled, given the levels that the claims want, the lowest first. */
function fillDimension(
  claims: readonly {readonly level: number; readonly amount: number}[],
  available: number,
): number {
  let left = available
  let slope = claims.reduce((sum, {level, amount}) => sum + (level > 0 ? amount / level : 0), 0)
  for (const {level, amount} of claims) {
    if (slope <= 0) return Infinity
    if (level * slope > left + ROUNDING_TOLERANCE) return Math.max(0, left / slope)
    left -= amount
    slope -= level > 0 ? amount / level : 0
  }
  return Infinity
}

/**
 * The weighted share that each workspace may have of the whole, where those that want less have what they want; Infinity
 * if there is enough for all. `available` is what all of them use and may still use.
 */
export function fairLevel(claims: readonly Claim[], available: Resources, whole: Resources): number {
  const wanted = claims.reduce((sum, claim) => add(sum, claim.wanted), NO_RESOURCES)
  if (isEnough(wanted, available)) return Infinity
  const levels = claims
    .map(claim => ({...claim, level: weightedShare(claim.wanted, whole, claim.weight)}))
    .sort((one, other) => one.level - other.level)
  return Math.min(
    ...DIMENSIONS.filter(dimension => whole[dimension] > 0).map(dimension =>
      fillDimension(
        levels.map(({level, wanted: amounts}) => ({level, amount: amounts[dimension]})),
        available[dimension],
      ),
    ),
  )
}

/** True if the workspace wants so much more than its fair share that the rest of it goes behind the work of others. */
export function wantsTooMuch({wanted, weight}: Claim, level: number, whole: Resources): boolean {
  return weightedShare(wanted, whole, weight) > level * USUAL_SHARES
}

/** True if the workspace uses more than its fair share. */
export function isBeyondShare({used, weight}: Claim, level: number, whole: Resources): boolean {
  return weightedShare(used, whole, weight) > level
}

/** Where tasks stand in relation to the fair share of their workspace. Lower ranks come first. */
export const WITHIN_SHARE = 0
/** The task, or gang, that begins within the share and exceeds it. A share may be smaller than any task. */
export const CROSSING_SHARE = 1
export const BEYOND_SHARE = 2
export type ShareRank = typeof WITHIN_SHARE | typeof CROSSING_SHARE | typeof BEYOND_SHARE

/** How many of so many tasks of a demand have which rank. */
export type RankCounts = Readonly<Record<ShareRank, number>>

/** Ranks tasks that a workspace may start one after the other beside what it uses. */
export function rankTasks(
  count: number,
  demand: Resources,
  used: Resources,
  weight: number,
  level: number,
  whole: Resources,
): RankCounts {
  let within = count
  let hasRoom = true
  for (const dimension of DIMENSIONS) {
    if (whole[dimension] === 0) continue
    const room = level * weight * whole[dimension] - used[dimension]
    if (room < -ROUNDING_TOLERANCE) hasRoom = false
    if (demand[dimension] === 0) continue
    if (room <= ROUNDING_TOLERANCE) hasRoom = false
    within = Math.min(within, Math.max(0, Math.floor(room / demand[dimension] + ROUNDING_TOLERANCE)))
  }
  if (!hasRoom) return {[WITHIN_SHARE]: 0, [CROSSING_SHARE]: 0, [BEYOND_SHARE]: count}
  const isExact = DIMENSIONS.some(
    dimension =>
      whole[dimension] > 0 &&
      demand[dimension] > 0 &&
      level * weight * whole[dimension] - used[dimension] - within * demand[dimension] <= ROUNDING_TOLERANCE,
  )
  const crossing = within < count && !isExact ? 1 : 0
  return {[WITHIN_SHARE]: within, [CROSSING_SHARE]: crossing, [BEYOND_SHARE]: count - within - crossing}
}
