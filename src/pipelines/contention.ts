/**
 * Computes how much of each worker is in demand from waiting steps that may run on few workers only. Placement avoids
 * contended workers, so that a step allowed on many workers does not occupy the only worker on which another step is
 * allowed.
 */
import {dominantShare} from "../core/resources.js"
import type {Resources} from "../core/resources.js"

/** A waiting step that may run on some workers only. */
export interface RestrictedStep {
  /** Number of waiting tasks. */
  readonly tasks: number
  /** Demand of one task. */
  readonly demand: Resources
  readonly allowed: readonly {readonly id: string; readonly capacity: Resources}[]
}

/**
 * For each worker id, the demand of the waiting steps as a share of the worker's capacity. Each step's demand is spread
 * evenly over its allowed workers; the sum over several steps may exceed 1.
 */
export type Contention = ReadonlyMap<string, number>

/** Limit on the share of one worker that a single step adds. */
const MAX_SHARE_PER_STEP = 1

export function computeContention(steps: readonly RestrictedStep[]): Contention {
  const contention = new Map<string, number>()
  for (const {tasks, demand, allowed} of steps) {
    for (const {id, capacity} of allowed) {
      const share = Math.min(MAX_SHARE_PER_STEP, (tasks * dominantShare(demand, capacity)) / allowed.length)
      contention.set(id, (contention.get(id) ?? 0) + share)
    }
  }
  return contention
}
