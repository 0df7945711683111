/**
 * Finds which waiting steps, and which running tasks, belong to workspaces beyond their fair share, for one scheduling
 * pass. Shares are taken for each service and each priority: of what the steps up to that priority use and what is free.
 * Where all that waits up to a priority could start now, nobody is beyond a share. The tasks of a step that are within it
 * rank before the rest of the step.
 */
import type {Resources} from "../core/resources.js"
import {add, dominantShare, NO_RESOURCES, scale, subtract} from "../core/resources.js"
import {
  BEYOND_SHARE,
  CROSSING_SHARE,
  fairLevel,
  hasItsShare,
  rankTasks,
  wantsTooMuch,
  WITHIN_SHARE,
} from "../pipelines/fairshare.js"
import type {ShareRank} from "../pipelines/fairshare.js"
import type {Queue} from "../pipelines/model.js"
import {compareWaitingSteps} from "../pipelines/order.js"
import type {WorkspaceUse} from "../pipelines/workspaceroom.js"
import {requiredCapacity} from "../pipelines/placing.js"
import {freeCapacityOf} from "./candidates.js"
import type {OpenStep, PassView} from "./opensteps.js"
import type {StepRun, WorkerState} from "./state.js"

/** A workspace that wants far more than its share of what the steps up to a priority may have of a service. */
export interface ExceededShare {
  readonly service: string
  readonly priority: number
  readonly workspace: string
  /** Parts of its dominant resource: its fair share, what it uses and what it wants. */
  readonly share: number
  readonly used: number
  readonly wanted: number
}

export interface StepShares {
  /** The steps in their new order. One whose tasks have different ranks is listed once for each. */
  readonly steps: readonly OpenStep[]
  /** The rank of a running task of a step, or of its gang. */
  readonly shareRankOf: (run: StepRun, queue: Queue) => ShareRank
  readonly exceeded: readonly ExceededShare[]
}

/** Jobs without a workspace share as one with an average weight. */
const NO_WORKSPACE = ""

interface Usage {
  used: Resources
  waiting: Resources
}

/** What is used and wanted of a service by the steps of one priority, or of those up to it. */
type PriorityUsage = Map<string, Usage>

interface ServicePriority {
  readonly level: number
  readonly whole: Resources
  /** What the workspaces that want far more than their share use for steps up to the priority. */
  readonly used: ReadonlyMap<string, Resources>
  readonly exceeded: readonly ExceededShare[]
}

function usageOf(usages: PriorityUsage, workspace: string): Usage {
  const known = usages.get(workspace)
  if (known) return known
  const usage = {used: NO_RESOURCES, waiting: NO_RESOURCES}
  usages.set(workspace, usage)
  return usage
}

/** Usage by service, priority and workspace. */
function sumUsage(steps: readonly OpenStep[], view: PassView): Map<string, Map<number, PriorityUsage>> {
  const services = new Map<string, Map<number, PriorityUsage>>()
  function usagesOf({service, priority}: Queue): PriorityUsage {
    const priorities = services.get(service) ?? new Map<number, PriorityUsage>()
    services.set(service, priorities)
    const usages = priorities.get(priority) ?? new Map<string, Usage>()
    priorities.set(priority, usages)
    return usages
  }
  for (const active of view.activeJobs) {
    const usages = usagesOf(view.queueOf(active))
    const usage = usageOf(usages, active.job.workspace ?? NO_WORKSPACE)
    for (const {step, assignments} of active.stepRuns)
      if (assignments.size > 0) usage.used = add(usage.used, scale(requiredCapacity(step), assignments.size))
  }
  for (const {run, queue, startable} of steps) {
    const usage = usageOf(usagesOf(queue), run.owner.job.workspace ?? NO_WORKSPACE)
    usage.waiting = add(usage.waiting, scale(requiredCapacity(run.step), startable))
  }
  return services
}

function sumPool(pool: readonly WorkerState[]): ReadonlyMap<string, {whole: Resources; free: Resources}> {
  const services = new Map<string, {whole: Resources; free: Resources}>()
  for (const worker of pool) {
    const {service, capacity} = worker.listing
    const sums = services.get(service) ?? {whole: NO_RESOURCES, free: NO_RESOURCES}
    services.set(service, {whole: add(sums.whole, capacity), free: add(sums.free, freeCapacityOf(worker))})
  }
  return services
}

function averageWeight(uses: ReadonlyMap<string, WorkspaceUse>): number {
  let sum = 0
  for (const {weight} of uses.values()) sum += weight
  return uses.size > 0 ? sum / uses.size : 1
}

/** Computes the fair levels of each service for each priority up to which there is too little. */
function computeLevels(
  steps: readonly OpenStep[],
  view: PassView,
  pool: readonly WorkerState[],
  weightOf: (workspace: string) => number,
): ReadonlyMap<string, ReadonlyMap<number, ServicePriority>> {
  const capacities = sumPool(pool)
  const levels = new Map<string, ReadonlyMap<number, ServicePriority>>()
  for (const [service, priorities] of sumUsage(steps, view)) {
    const capacity = capacities.get(service)
    if (!capacity) continue
    const scarce = new Map<number, ServicePriority>()
    const upTo: PriorityUsage = new Map()
    for (const [priority, usages] of [...priorities].sort(([one], [other]) => one - other)) {
      for (const [workspace, {used, waiting}] of usages) {
        const sum = usageOf(upTo, workspace)
        sum.used = add(sum.used, used)
        sum.waiting = add(sum.waiting, waiting)
      }
      const claims = [...upTo].map(([workspace, {used, waiting}]) => ({
        workspace,
        weight: weightOf(workspace),
        used,
        wanted: add(used, waiting),
      }))
      const available = claims.reduce((sum, claim) => add(sum, claim.used), capacity.free)
      const {whole} = capacity
      const level = fairLevel(claims, available, whole)
      const tooMuch = claims.filter(claim => wantsTooMuch(claim, level, whole))
      if (tooMuch.length === 0) continue
      scarce.set(priority, {
        level,
        whole,
        used: new Map(tooMuch.map(({workspace, used}) => [workspace, used])),
        exceeded: tooMuch.map(({workspace, weight, used, wanted}) => ({
          service,
          priority,
          workspace,
          share: level * weight,
          used: dominantShare(used, whole),
          wanted: dominantShare(wanted, whole),
        })),
      })
    }
    if (scarce.size > 0) levels.set(service, scarce)
  }
  return levels
}

/**
 * Orders the steps by the shares of their workspaces. Without workspaces, or with enough for all, they stay as they are.
 * `wanted` are the steps as far as the limits of their workspaces admit them.
 */
export function shareSteps(
  steps: readonly OpenStep[],
  wanted: readonly OpenStep[],
  view: PassView,
  pool: readonly WorkerState[],
): StepShares {
  const {workspaceUses: uses} = view
  if (uses.size === 0) return {steps, shareRankOf: () => WITHIN_SHARE, exceeded: []}
  const average = averageWeight(uses)
  const weightOf = (workspace: string): number => uses.get(workspace)?.weight ?? average
  const levels = computeLevels(wanted, view, pool, weightOf)
  if (levels.size === 0) return {steps, shareRankOf: () => WITHIN_SHARE, exceeded: []}

  /** What a workspace uses together with its waiting tasks that were ranked so far, as far as they may start. */
  const claimed = new Map<ServicePriority, Map<string, Resources>>()

  /** Divides the step into parts of equal rank. A gang has the rank of all of its tasks. */
  function divide(open: OpenStep): readonly OpenStep[] {
    const {run, queue, rank, startable} = open
    const shares = levels.get(queue.service)?.get(queue.priority)
    const workspace = run.owner.job.workspace ?? NO_WORKSPACE
    const running = shares?.used.get(workspace)
    if (!shares || !running) return [open]
    const claims = claimed.get(shares) ?? new Map<string, Resources>()
    claimed.set(shares, claims)
    const used = claims.get(workspace) ?? running
    const size = run.step.gang ? startable : 1
    const demand = scale(requiredCapacity(run.step), size)
    const units = startable / size
    const counts = rankTasks(units, demand, used, weightOf(workspace), shares.level, shares.whole)
    claims.set(workspace, add(used, scale(demand, units - counts[BEYOND_SHARE])))
    return ([WITHIN_SHARE, CROSSING_SHARE, BEYOND_SHARE] as const)
      .filter(shareRank => counts[shareRank] > 0)
      .map(shareRank => ({...open, startable: counts[shareRank] * size, rank: {...rank, shareRank}}))
  }

  return {
    steps: steps.flatMap(divide).sort((one, other) => compareWaitingSteps(one.rank, other.rank, view.now)),
    shareRankOf({owner, step}, {service, priority}) {
      const {workspace = NO_WORKSPACE} = owner.job
      const shares = levels.get(service)?.get(priority)
      const used = shares?.used.get(workspace)
      if (!shares || !used) return WITHIN_SHARE
      // Without the task, or the gang, the workspace must still have its share.
      const left = subtract(used, scale(requiredCapacity(step), step.gang ? step.count : 1))
      return hasItsShare(left, weightOf(workspace), shares.level, shares.whole) ? BEYOND_SHARE : WITHIN_SHARE
    },
    exceeded: [...levels.values()].flatMap(scarce => [...scarce.values()].flatMap(({exceeded}) => exceeded)),
  }
}
