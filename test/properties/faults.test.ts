/**
 * Random faults, one after another and at the same time, in a simulated cluster. After each step the invariants of the
 * cluster must hold, and after the faults have healed the answers to callers must agree with what the workers ran.
 * Seeds are fixed, so that a failure can be reproduced.
 */
import test from "ava"
import fc from "fast-check"
import {createCluster, TEST_DOCUMENT} from "../support/cluster.js"
import type {Cluster, ClusterInstance} from "../support/cluster.js"

/** A request of a caller, a fault, the end of a fault, or the passage of time. */
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
  | {readonly type: "pause" | "resume" | "kill" | "cut-store"; readonly instance: number}
  | {readonly type: "restart"}
  | {readonly type: "cut"; readonly one: number; readonly other: number}
  | {readonly type: "heal"}
  | {readonly type: "store-down" | "store-up"}
  | {readonly type: "lost-replies"; readonly count: number}
  | {readonly type: "silence-worker" | "crash-worker"; readonly worker: number}

const CAPACITY = {processors: 4, memoryMebibytes: 4096, accelerators: 2}
const DEMAND = {processors: 1, memoryMebibytes: 512, accelerators: 0}

const instance = fc.nat({max: 5})
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
      instance,
    }),
  },
  {weight: 2, arbitrary: fc.constant({type: "restart" as const})},
  {weight: 2, arbitrary: fc.record({type: fc.constant("cut" as const), one: instance, other: instance})},
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

/** The cluster under test and the jobs that it accepted. */
interface Run {
  readonly cluster: Cluster
  readonly jobs: string[]
}

function instanceAt(run: Run, index: number): ClusterInstance | undefined {
  return run.cluster.instances[index]
}

/** Ends all faults except killed instances and crashed workers. */
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
      const names = [instanceAt(run, step.one)?.name, instanceAt(run, step.other)?.name].sort()
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
      const target = instanceAt(run, step.instance)
      if (!target || target.dead) return
      if (step.type === "pause") cluster.pause(target)
      if (step.type === "resume") cluster.resume(target)
      if (step.type === "cut-store") cluster.faults.cutOff.add(target.name)
      if (step.type === "kill" && cluster.liveInstances().length > 1) cluster.kill(target)
    }
  }
}

/** Compares the task states reported to callers with what the workers ran, and describes each false one. */
async function falseAnswers(run: Run): Promise<string[]> {
  const {cluster, jobs} = run
  const started = new Set(cluster.truth.tasks().map(entry => `${entry.job}.${entry.task}`))
  const succeeded = new Set(
    cluster.truth
      .tasks()
      .filter(entry => entry.outcome === "succeeded")
      .map(entry => `${entry.job}.${entry.task}`),
  )
  const falseStates: string[] = []
  for (const job of jobs) {
    const body = await cluster.get(job)
    if (body.state === undefined) {
      falseStates.push(`job ${job} was accepted but is not known: ${JSON.stringify(body).slice(0, 200)}`)
      continue
    }
    for (const task of body.tasks) {
      const name = `${job}.${task.index}`
      if (task.state === "not-run" && started.has(name))
        falseStates.push(`${name} was reported as not run, but a worker started it`)
      if (task.state === "ran" && !succeeded.has(name))
        falseStates.push(`${name} was reported as run, but did not succeed on any worker`)
    }
  }
  return falseStates
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
    const failures = [...cluster.violations(), ...(await falseAnswers(run))]
    if (failures.length > 0) throw new Error(failures.join("; "))
  } finally {
    cluster.close()
  }
}

/** The environment sets more runs and other seeds for a longer search outside CI. */
const RUNS = Number(process.env.FAULT_RUNS ?? 6)
const FIRST_SEED = Number(process.env.FAULT_SEED ?? 11)

for (const seed of [0, 1, 2, 3].map(index => FIRST_SEED + index)) {
  test(`the cluster's guarantees hold under random faults, seed ${seed}`, async t => {
    await fc.assert(
      fc.asyncProperty(fc.array(command, {minLength: 25, maxLength: 45}), commands => check(commands, seed)),
      {seed, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true},
    )
    t.pass()
  })
}
