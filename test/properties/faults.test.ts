import test from "ava"
import fc from "fast-check"
import {createCluster, TEST_DOCUMENT} from "../support/cluster.js"
import type {Cluster, ClusterInstance} from "../support/cluster.js"

/** Random faults, one after another and at once, against the promises of the brief. Seeds are fixed. */

type Command =
  | {readonly type: "advance"; readonly span: number}
  | {
      readonly type: "submit"
      readonly workload: string
      readonly team: string
      readonly tasks: number
      readonly run: number
    }
  | {readonly type: "cancel"; readonly index: number}
  | {readonly type: "pause" | "resume" | "kill" | "cut-store"; readonly node: number}
  | {readonly type: "restart"}
  | {readonly type: "cut"; readonly one: number; readonly other: number}
  | {readonly type: "heal"}
  | {readonly type: "store-down" | "store-up"}
  | {readonly type: "lost-replies"; readonly count: number}
  | {readonly type: "silence-worker" | "crash-worker"; readonly worker: number}

const CAPACITY = {processors: 4, memoryMebibytes: 4096, accelerators: 2}
const DEMAND = {processors: 1, memoryMebibytes: 512, accelerators: 0}

const node = fc.nat({max: 5})
const worker = fc.nat({max: 5})

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({type: fc.constant("advance" as const), span: fc.integer({min: 100, max: 5000})}),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("submit" as const),
      workload: fc.constantFrom("batch", "once", "gang", "service"),
      team: fc.constantFrom("red", "blue", "green"),
      tasks: fc.integer({min: 1, max: 6}),
      run: fc.integer({min: 100, max: 9000}),
    }),
  },
  {weight: 1, arbitrary: fc.record({type: fc.constant("cancel" as const), index: fc.nat({max: 9})})},
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constantFrom("pause" as const, "resume" as const, "kill" as const, "cut-store" as const),
      node,
    }),
  },
  {weight: 2, arbitrary: fc.constant({type: "restart" as const})},
  {weight: 2, arbitrary: fc.record({type: fc.constant("cut" as const), one: node, other: node})},
  {weight: 2, arbitrary: fc.constant({type: "heal" as const})},
  {weight: 2, arbitrary: fc.record({type: fc.constantFrom("store-down" as const, "store-up" as const)})},
  {
    weight: 1,
    arbitrary: fc.record({type: fc.constant("lost-replies" as const), count: fc.integer({min: 1, max: 6})}),
  },
  {
    weight: 1,
    arbitrary: fc.record({type: fc.constantFrom("silence-worker" as const, "crash-worker" as const), worker}),
  },
)

interface Run {
  readonly cluster: Cluster
  readonly jobs: string[]
}

function nodeAt(run: Run, index: number): ClusterInstance | undefined {
  return run.cluster.instances[index]
}

function heal(cluster: Cluster): void {
  cluster.faults.down = false
  cluster.faults.cutOff.clear()
  cluster.faults.lostReplies = 0
  cluster.partitions.clear()
  cluster.silentWorkers.clear()
  for (const entry of cluster.instances) if (entry.paused && !entry.dead) cluster.resume(entry)
}

async function apply(run: Run, step: Command): Promise<void> {
  const {cluster, jobs} = run
  switch (step.type) {
    case "advance":
      return cluster.advance(step.span)
    case "submit": {
      if (cluster.liveInstances().length === 0) return
      const {workload, team, tasks, run: time} = step
      const answer = await cluster.submit({
        team,
        workload,
        tasks,
        demand: DEMAND,
        payload: JSON.stringify({run: time}),
      })
      if (answer.status === 202) jobs.push(answer.body.job)
      return
    }
    case "cancel": {
      const job = jobs[step.index]
      if (job !== undefined && cluster.liveInstances().length > 0) await cluster.cancel(job)
      return
    }
    case "restart":
      if (cluster.liveInstances().length < 5) await cluster.start()
      return
    case "cut": {
      const names = [nodeAt(run, step.one)?.name, nodeAt(run, step.other)?.name].sort()
      cluster.partitions.add(names.join("|"))
      return
    }
    case "heal":
      heal(cluster)
      return
    case "store-down":
    case "store-up":
      cluster.faults.down = step.type === "store-down"
      return
    case "lost-replies":
      cluster.faults.lostReplies = step.count
      return
    case "silence-worker":
    case "crash-worker": {
      const [name, core] = [...cluster.workers][step.worker] ?? []
      if (name === undefined) return
      if (step.type === "crash-worker") core?.crash()
      else cluster.silentWorkers.add(name)
      return
    }
    default: {
      const target = nodeAt(run, step.node)
      if (!target || target.dead) return
      if (step.type === "pause") cluster.pause(target)
      if (step.type === "resume") cluster.resume(target)
      if (step.type === "cut-store") cluster.faults.cutOff.add(target.name)
      if (step.type === "kill" && cluster.liveInstances().length > 1) cluster.kill(target)
    }
  }
}

/** What callers were told, against what the workers saw. */
async function untrueAnswers(run: Run): Promise<string[]> {
  const {cluster, jobs} = run
  const started = new Set(cluster.truth.tasks().map(entry => `${entry.job}.${entry.task}`))
  const succeeded = new Set(
    cluster.truth
      .tasks()
      .filter(entry => entry.outcome === "succeeded")
      .map(entry => `${entry.job}.${entry.task}`),
  )
  const untrue: string[] = []
  for (const job of jobs) {
    const body = await cluster.get(job)
    if (body.state === undefined) {
      untrue.push(`job ${job} was accepted and is not known: ${JSON.stringify(body).slice(0, 200)}`)
      continue
    }
    for (const task of body.tasks) {
      const name = `${job}.${task.index}`
      if (task.state === "not-run" && started.has(name))
        untrue.push(`${name} was said not to have run, and had`)
      if (task.state === "ran" && !succeeded.has(name))
        untrue.push(`${name} was said to have run, and had not`)
    }
  }
  return untrue
}

async function check(commands: readonly Command[], seed: number): Promise<void> {
  const cluster = createCluster({instances: 4, racks: 3, workersPerRack: 2, capacity: CAPACITY, seed})
  const run: Run = {cluster, jobs: []}
  for (let index = 0; index < 4; index += 1) await cluster.start()
  await cluster.advance(1200)
  const text = TEST_DOCUMENT.replace("JOB_GROUPS", "3")
  void cluster.instances[0]?.core.configuration.propose({
    text,
    baseNumber: 0,
    operator: "test",
    proposal: "p",
  })
  await cluster.advance(4000)
  try {
    for (const step of commands) {
      await apply(run, step)
      const violations = cluster.violations()
      if (violations.length > 0) throw new Error(violations.join("; "))
    }
    heal(cluster)
    for (let count = cluster.liveInstances().length; count < 3; count += 1) await cluster.start()
    await cluster.advance(20_000)
    const faults = [...cluster.violations(), ...(await untrueAnswers(run))]
    if (faults.length > 0) throw new Error(faults.join("; "))
  } finally {
    cluster.close()
  }
}

/** More runs, and other seeds, for a search outside CI. */
const RUNS = Number(process.env.FAULT_RUNS ?? 6)
const FIRST_SEED = Number(process.env.FAULT_SEED ?? 11)

for (const seed of [0, 1, 2, 3].map(index => FIRST_SEED + index)) {
  test(`promises hold under random faults, seed ${seed}`, async t => {
    await fc.assert(
      fc.asyncProperty(fc.array(command, {minLength: 25, maxLength: 45}), commands => check(commands, seed)),
      {seed, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true},
    )
    t.pass()
  })
}
