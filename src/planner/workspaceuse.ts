/**
 * What each workspace occupies on all workers together, summed anew for each scheduling pass from the leader's state, so
 * that it is right from the first pass of a term. A run counts from its start order until the worker no longer has it.
 * What a worker out of reach may run for an earlier leader is not known and counts as occupied: every waiting task of an
 * inherited job that may run there, within the capacity of the workers that have not listed what they run.
 */
import type {Resources} from "../core/resources.js"
import {add, componentwiseMin, dominantShare, NO_RESOURCES, scale} from "../core/resources.js"
import type {FleetConfiguration, Workspace} from "../pipelines/model.js"
import type {WorkspaceUse} from "../pipelines/workspaceroom.js"
import type {ActiveJob} from "./state.js"

/** What a job that has ended may still occupy. */
export interface RemainingRuns {
  readonly workspace: string
  readonly occupied: Resources
}

export interface OccupancySources {
  readonly activeJobs: Iterable<ActiveJob>
  /** True if tasks of the job that are not assigned here may run on some worker. */
  readonly mayRunUnseen: (active: ActiveJob) => boolean
  /** Total capacity of the workers on which tasks may run that are not assigned here. */
  readonly unseenCapacity: () => Resources
  readonly remainingRuns: Iterable<RemainingRuns>
}

interface Sums {
  occupied: Resources
  longRunning: Resources
  /** What may run on workers without being assigned here. */
  unseen: Resources
}

const NO_SUMS: Readonly<Sums> = {occupied: NO_RESOURCES, longRunning: NO_RESOURCES, unseen: NO_RESOURCES}

/** What the job's runs occupy. The processors of best-effort tasks count in full. */
export function sumRuns(active: ActiveJob): Resources {
  return active.stepRuns.reduce(
    (sum, {step, assignments}) =>
      assignments.size > 0 ? add(sum, scale(step.demand, assignments.size)) : sum,
    NO_RESOURCES,
  )
}

/** What the job's tasks would occupy that are neither done nor assigned. */
export function sumWaiting(active: ActiveJob): Resources {
  return active.stepRuns.reduce(
    (sum, {step, waiting}) => (waiting.size > 0 ? add(sum, scale(step.demand, waiting.size)) : sum),
    NO_RESOURCES,
  )
}

function sumLongRunning({stepRuns}: ActiveJob): Resources {
  return stepRuns.reduce(
    (sum, {step, assignments}) =>
      step.lasting && assignments.size > 0 ? add(sum, scale(step.demand, assignments.size)) : sum,
    NO_RESOURCES,
  )
}

/** Best-effort tasks may demand more processors than a worker has. */
function hasBestEffortTasks({stepRuns}: ActiveJob): boolean {
  return stepRuns.some(({step}) => step.fills)
}

/** Sums what each workspace occupies. Jobs without a workspace are left out. */
function sumByWorkspace(sources: OccupancySources): ReadonlyMap<string, Sums> {
  const byWorkspace = new Map<string, Sums>()
  function sumsOf(workspace: string): Sums {
    const known = byWorkspace.get(workspace)
    if (known) return known
    const sums = {...NO_SUMS}
    byWorkspace.set(workspace, sums)
    return sums
  }
  for (const active of sources.activeJobs) {
    const {workspace} = active.job
    if (workspace === undefined) continue
    const sums = sumsOf(workspace)
    sums.occupied = add(sums.occupied, sumRuns(active))
    sums.longRunning = add(sums.longRunning, sumLongRunning(active))
    if (!sources.mayRunUnseen(active)) continue
    const waiting = sumWaiting(active)
    if (hasBestEffortTasks(active)) sums.occupied = add(sums.occupied, waiting)
    else sums.unseen = add(sums.unseen, waiting)
  }
  for (const {workspace, occupied} of sources.remainingRuns) {
    const sums = sumsOf(workspace)
    sums.unseen = add(sums.unseen, occupied)
  }
  return byWorkspace
}

/** The number of workspaces with gauges of their own. */
const MAXIMUM_GAUGED = 20

/** A name as the label of a gauge. */
function toLabel(name: string): string {
  return name.replaceAll("\\", "\\\\").replaceAll('"', '\\"').replaceAll("\n", "\\n")
}

export interface WorkspaceUses {
  /** Sums what each workspace with a limit occupies now. */
  readonly update: (
    configuration: FleetConfiguration | undefined,
    sources: OccupancySources,
  ) => ReadonlyMap<string, WorkspaceUse>
  /** As of the last update, for the workspaces that occupy the largest shares of the whole. */
  readonly gauges: (whole: Resources) => Readonly<Record<string, number>>
}

/**
 * Creates the sums of a leader. They remember the limit and weight of a workspace that the configuration names no longer, as long as
 * it has jobs: those go on under it. A later leader that has never known the limit applies none.
 */
export function createWorkspaceUses(): WorkspaceUses {
  const known = new Map<string, Workspace>()
  let latest: ReadonlyMap<string, WorkspaceUse> = new Map()

  return {
    update(configuration, sources) {
      const workspaces = configuration?.workspaces ?? []
      for (const workspace of workspaces) known.set(workspace.name, workspace)
      // Without workspaces nothing has to be summed.
      if (known.size === 0) return latest
      const sums = sumByWorkspace(sources)
      const named = new Set(workspaces.map(({name}) => name))
      for (const name of known.keys()) if (!named.has(name) && !sums.has(name)) known.delete(name)
      const unseenCapacity = sources.unseenCapacity()
      const uses = new Map<string, WorkspaceUse>()
      for (const [name, {limit, weight}] of known) {
        const {occupied, longRunning, unseen} = sums.get(name) ?? NO_SUMS
        const bounded = componentwiseMin(unseen, unseenCapacity)
        uses.set(name, {limit, weight, occupied: add(occupied, bounded), longRunning})
      }
      latest = uses
      return uses
    },
    gauges(whole) {
      const rated = [...latest].map(([name, use]) => ({name, use, share: dominantShare(use.occupied, whole)}))
      rated.sort((one, other) => other.share - one.share)
      const gauges: Record<string, number> = {}
      for (const {name, use} of rated.slice(0, MAXIMUM_GAUGED)) {
        const label = `{workspace="${toLabel(name)}"}`
        gauges[`workspace_processors${label}`] = use.occupied.processors
        gauges[`workspace_memory_mebibytes${label}`] = use.occupied.memoryMebibytes
        gauges[`workspace_accelerators${label}`] = use.occupied.accelerators
      }
      return gauges
    },
  }
}
