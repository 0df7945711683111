/** Describes in sentences what a document would change for running and waiting work. It changes nothing itself. */
import type {HeldGroups} from "../controllers/heldgroups.js"
import type {PoolCapacity} from "../placement/feasibility.js"
import {add, describeResources, fits, NO_RESOURCES} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {EnvironmentDocument} from "../document/model.js"
import type {Attempt} from "../jobs/attempt.js"

function runningAttempts(held: HeldGroups): readonly Attempt[] {
  return [...held.workerGroups().values()].flatMap(group =>
    group.owner
      .workers()
      .running()
      .map(entry => entry.attempt),
  )
}

function usageByTeam(running: readonly Attempt[]): ReadonlyMap<string, Resources> {
  const usage = new Map<string, Resources>()
  for (const {team, demand} of running) usage.set(team, add(usage.get(team) ?? NO_RESOURCES, demand))
  return usage
}

function removedNames<T>(
  before: ReadonlyMap<string, T> | undefined,
  after: ReadonlyMap<string, T>,
): readonly string[] {
  return [...(before?.keys() ?? [])].filter(name => !after.has(name))
}

/** Returns the effects, one sentence each. Tasks in worker groups that other instances hold are not counted. */
export function describeEffects(
  next: EnvironmentDocument,
  current: EnvironmentDocument | undefined,
  held: HeldGroups,
  poolShape: (pool: string) => PoolCapacity | undefined,
): readonly string[] {
  const effects: string[] = []
  const running = runningAttempts(held)
  for (const [team, used] of usageByTeam(running)) {
    const quota = next.teams.get(team)?.quota
    if (!quota)
      effects.push(`Team ${team} is removed: its running tasks continue, and no more of its tasks start.`)
    else if (!fits(used, quota))
      effects.push(
        `Team ${team} uses ${describeResources(used)} here, more than its new quota: it starts no tasks until it uses less.`,
      )
  }
  for (const service of removedNames(current?.services, next.services)) {
    effects.push(
      `Service ${service} is removed: requests in progress are finished; waiting and new requests are refused without being run.`,
    )
  }
  for (const workload of removedNames(current?.workloads, next.workloads)) {
    const count = running.filter(attempt => attempt.workload === workload).length
    effects.push(
      `Workload ${workload} is removed: its ${count} tasks running here continue; new jobs of it are refused.`,
    )
  }
  for (const {name, pool} of [...next.services.values(), ...next.workloads.values()]) {
    if (!poolShape(pool))
      effects.push(`${name} names the pool ${pool}, which has no workers: its work would never start.`)
  }
  return effects
}
