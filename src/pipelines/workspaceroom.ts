/**
 * What workspaces may still start under their limits during one scheduling pass. The loads that it answers: a workspace
 * with more waiting tasks than its limit admits, whose large tasks and gangs must not starve behind its small ones; a
 * limit that was lowered below what runs; and tasks or gangs that are larger than the limit.
 *
 * A task that is larger than the limit by itself runs when the workspace has nothing else but long-running tasks. A gang
 * may likewise exceed the limit by one task. More than that never starts under the limit.
 */
import type {Resources} from "../core/resources.js"
import {add, isNothing, NO_RESOURCES, scale, subtract} from "../core/resources.js"
import type {Step} from "./model.js"

/** What the tasks of a workspace occupy, with its limit and weight. */
export interface WorkspaceUse {
  /** Share relative to that of other workspaces when there is too little for all. */
  readonly weight: number
  /** Upper limit; 0 stands for no limit in that dimension. */
  readonly limit: Resources
  /** What runs, is being started or stopped, or may run unseen. */
  readonly occupied: Resources
  /** The part of it that long-running tasks occupy, which do not end by themselves. */
  readonly longRunning: Resources
}

/** Waiting tasks of one step. */
export interface WaitingTasks {
  readonly workspace: string | undefined
  readonly step: Pick<Step, "demand" | "gang" | "lasting">
  readonly waiting: number
  /** How many of them have run before. */
  readonly restarts: number
}

/** Why a step starts no task: its workspace has no room left now, or its limit admits the step at no time. */
export type HoldReason = "limit" | "exceeds-limit"

export interface WorkspaceRoom {
  /** The number of the tasks that may start now; of a gang all or none. */
  readonly countStartable: (tasks: WaitingTasks) => number
  /** Deducts what the number of tasks takes, as they have been started. */
  readonly occupy: (tasks: WaitingTasks, count: number) => void
  /**
   * Keeps room for a task or gang that has to wait for it, so that steps of the same workspace that rank after it do not
   * take what becomes free. Once in a pass for each workspace, and only if the room can become free by itself.
   */
  readonly hold: (tasks: WaitingTasks) => void
  readonly whyHeld: (tasks: WaitingTasks) => HoldReason
  /** An independent copy. */
  readonly copy: () => WorkspaceRoom
}

/** Allowance for rounding errors in sums of fractional amounts. */
const ROUNDING_TOLERANCE = 1e-9

type Dimension = keyof Resources
const DIMENSIONS: readonly Dimension[] = ["processors", "memoryMebibytes", "accelerators"]

function isWithin(amount: Resources, limit: Resources): boolean {
  return DIMENSIONS.every(
    dimension => limit[dimension] === 0 || amount[dimension] <= limit[dimension] + ROUNDING_TOLERANCE,
  )
}

/** The tasks that have to start together. */
function unitSize({step, waiting}: WaitingTasks): number {
  return step.gang ? waiting : 1
}

/** True if the tasks that have to start together, less one, are within the limit beside the given amount. */
function fitsAtBest(tasks: WaitingTasks, limit: Resources, beside: Resources): boolean {
  const {demand} = tasks.step
  const size = unitSize(tasks)
  const whole = scale(demand, size)
  return isWithin(add(beside, isWithin(whole, limit) ? whole : scale(demand, size - 1)), limit)
}

interface Account {
  readonly limit: Resources
  occupied: Resources
  longRunning: Resources
  held: Resources
}

/**
 * How many tasks of the demand fit under the limit, beside the room that is held. No task does while the limit is exceeded
 * in any dimension.
 */
function countFitting({limit, occupied}: Account, held: Resources, demand: Resources): number {
  if (!isWithin(occupied, limit)) return 0
  let count = Infinity
  for (const dimension of DIMENSIONS) {
    if (limit[dimension] === 0 || demand[dimension] === 0) continue
    const room = limit[dimension] - occupied[dimension] - held[dimension]
    count = Math.min(count, Math.floor(room / demand[dimension] + ROUNDING_TOLERANCE))
  }
  return Math.max(0, count)
}

/**
 * How many of the tasks fit beside the room that is held for others. Tasks that last have to run whatever waits: those that
 * have run before take held room, since it was not there before either, and any other if there is room for two.
 */
function countFittingBesideHeld(account: Account, {step, waiting, restarts}: WaitingTasks): number {
  const fitting = Math.min(waiting, countFitting(account, account.held, step.demand))
  if (!step.lasting || fitting === waiting || isNothing(account.held)) return fitting
  const room = countFitting(account, NO_RESOURCES, step.demand)
  const left = waiting - fitting
  const further = Math.max(restarts - fitting, Math.floor((room - fitting) / 2))
  return fitting + Math.max(0, Math.min(left, further, room - fitting))
}

function createRoom(accounts: ReadonlyMap<string, Account>): WorkspaceRoom {
  function accountOf({workspace}: WaitingTasks): Account | undefined {
    return workspace === undefined ? undefined : accounts.get(workspace)
  }

  return {
    countStartable(tasks) {
      const {step, waiting} = tasks
      const account = accountOf(tasks)
      if (!account) return waiting
      const {limit, occupied, longRunning, held} = account
      const size = unitSize(tasks)
      if (isWithin(scale(step.demand, size), limit)) {
        const fitting = countFittingBesideHeld(account, tasks)
        return fitting < size ? 0 : fitting
      }
      const isAlone = isNothing(subtract(occupied, longRunning)) && isNothing(held)
      return isAlone && fitsAtBest(tasks, limit, longRunning) ? size : 0
    },
    occupy(tasks, count) {
      const account = accountOf(tasks)
      if (!account) return
      const amount = scale(tasks.step.demand, count)
      account.occupied = add(account.occupied, amount)
      if (tasks.step.lasting) account.longRunning = add(account.longRunning, amount)
    },
    hold(tasks) {
      const account = accountOf(tasks)
      if (!account || !isNothing(account.held)) return
      if (!fitsAtBest(tasks, account.limit, account.longRunning)) return
      account.held = scale(tasks.step.demand, unitSize(tasks))
    },
    whyHeld(tasks) {
      const account = accountOf(tasks)
      return !account || fitsAtBest(tasks, account.limit, NO_RESOURCES) ? "limit" : "exceeds-limit"
    },
    copy: () => createRoom(new Map([...accounts].map(([name, account]) => [name, {...account}]))),
  }
}

/** Creates the room of a pass. Workspaces that are not listed have no limit. */
export function createWorkspaceRoom(uses: ReadonlyMap<string, WorkspaceUse>): WorkspaceRoom {
  return createRoom(new Map([...uses].map(([name, use]) => [name, {...use, held: NO_RESOURCES}])))
}
