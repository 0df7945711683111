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
 * Work comes in waves, so that usage above the fair share is usual. A workspace has to use this many times its share
 * before its work goes behind that of others, which is otherwise ordered by its due time.
 */
export const TOLERATED_SHARES = 2

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

/** True if the workspace uses more than is tolerated beyond its fair share. */
export function isBeyondShare(used: Resources, weight: number, level: number, whole: Resources): boolean {
  return weightedShare(used, whole, weight) > level * TOLERATED_SHARES
}

/** How many tasks the workspace may start, beside what it uses, before it is beyond its share. */
export function countWithinShare(
  demand: Resources,
  used: Resources,
  weight: number,
  level: number,
  whole: Resources,
): number {
  let count = Infinity
  for (const dimension of DIMENSIONS) {
    const room = level * TOLERATED_SHARES * weight * whole[dimension] - used[dimension]
    if (whole[dimension] === 0) continue
    if (room < -ROUNDING_TOLERANCE) return 0
    if (demand[dimension] > 0) count = Math.min(count, Math.floor(room / demand[dimension]) + 1)
  }
  return count
}
