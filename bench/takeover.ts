/**
 * `npm run bench -- takeover`: what a death costs, under a virtual clock with whole instances over the stand-ins:
 * time until every group has a holder again and until the next task starts, and the store's calls at rest.
 */
import {distribution} from "../src/report/summary.js"
import type {Distribution} from "../src/report/summary.js"
import {readyCluster} from "../test/support/cluster.js"

export interface TakeoverResults {
  readonly instances: number
  /** Milliseconds from the death until every group is held by a live instance. */
  readonly groupsHeld: Distribution
  /** Milliseconds from the death until the next task starts, which may have waited at an owner that lives. */
  readonly firstStart: Distribution
  readonly storeCallsAtRest: number
}

const SEEDS = 12
const STEP_MS = 50
const LIMIT_MS = 20_000
const REST_MS = 20_000
const CAPACITY = {processors: 8, memoryMebibytes: 8192, accelerators: 0}

async function measure(
  instances: number,
  seed: number,
): Promise<{readonly held: number; readonly start: number; readonly calls: number}> {
  const cluster = await readyCluster({
    instances,
    racks: instances,
    workersPerRack: 2,
    capacity: CAPACITY,
    seed,
    jobGroups: instances,
  })
  const groups = 2 * instances
  const callsBefore = cluster.storeCalls()
  await cluster.advance(REST_MS)
  const calls = ((cluster.storeCalls() - callsBefore) * 1000) / REST_MS
  const demand = {processors: 1, memoryMebibytes: 512, accelerators: 0}
  const accepted = await cluster.submit({
    team: "red",
    workload: "batch",
    tasks: 600,
    demand,
    payload: JSON.stringify({run: 700}),
  })
  await cluster.advance(1000)
  const group = `j/${accepted.body.job.split("-")[0] ?? ""}`
  const home = cluster.liveInstances().find(node => node.core.ownership.epochOf(group) !== undefined)
  if (!home) throw new RangeError("The job has no home.")
  cluster.kill(home)
  const started = cluster.truth.tasks().length
  let held = LIMIT_MS
  let start = LIMIT_MS
  for (
    let passed = STEP_MS;
    passed <= LIMIT_MS && (held === LIMIT_MS || start === LIMIT_MS);
    passed += STEP_MS
  ) {
    await cluster.advance(STEP_MS)
    const live = cluster.liveInstances().reduce((sum, node) => sum + node.core.ownership.held().size, 0)
    if (held === LIMIT_MS && live === groups) held = passed
    if (start === LIMIT_MS && cluster.truth.tasks().length > started) start = passed
  }
  const violations = cluster.violations()
  cluster.close()
  if (violations.length > 0) throw new RangeError(violations.join("; "))
  return {held, start, calls}
}

/** Runs the benchmark. */
export async function benchTakeover(): Promise<readonly TakeoverResults[]> {
  const results: TakeoverResults[] = []
  for (const instances of [4, 8]) {
    const runs: Awaited<ReturnType<typeof measure>>[] = []
    for (let seed = 1; seed <= SEEDS; seed += 1) runs.push(await measure(instances, seed))
    results.push({
      instances,
      groupsHeld: distribution(runs.map(run => run.held)),
      firstStart: distribution(runs.map(run => run.start)),
      storeCallsAtRest: runs.reduce((sum, run) => sum + run.calls, 0) / runs.length,
    })
  }
  return results
}
