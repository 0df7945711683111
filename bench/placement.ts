/** `npm run bench -- placement`: the schedulers on both traces, and the time of a decision by size of the fleet. */
import {seededRandom} from "../src/core/random.js"
import {add, NO_RESOURCES} from "../src/core/resources.js"
import {chooseWorker} from "../src/placement/choose.js"
import {BestOfAll, BestOfSample, WeightedRandom} from "../src/placement/groupchoice.js"
import {applyLedgerStep} from "../src/placement/ledger.js"
import {planPass} from "../src/placement/passplan.js"
import {placementPolicy} from "../src/placement/policy.js"
import {taskQueue} from "../src/placement/taskqueue.js"
import type {QueuedItem} from "../src/placement/taskqueue.js"
import {distribution} from "../src/report/summary.js"
import type {Distribution} from "../src/report/summary.js"
import {
  attemptOf,
  bestFit,
  describeLedger,
  FIRST_RULES,
  firstFit,
  ledgersOf,
  twoLevels,
} from "./schedulers.js"
import type {SchedulerFactory} from "./schedulers.js"
import {FOLDWIND_TRACE, KORKKREIS_TRACE, makeTrace} from "./trace.js"
import type {Trace, TraceTask} from "./trace.js"

export interface PlacementRow {
  readonly trace: string
  readonly scheduler: string
  readonly short: Distribution
  readonly long: Distribution
  readonly urgent: Distribution
  readonly crest: Distribution
  /** Processors in use while tasks wait, as a share of what any schedule could use at those times. */
  readonly packing: number
  readonly preemptions: number
  readonly messagesPerStart: number
  readonly conflictShare: number
  /** Processor time of the decisions for one start, in microseconds. */
  readonly cpuPerStart: number
  readonly waitsAtCrest: readonly number[]
}

interface Event {
  readonly at: number
  readonly sequence: number
  readonly run: () => void
}

/** A queue of events in the order of time. */
function eventQueue() {
  const heap: Event[] = []
  const before = (one: Event, other: Event): boolean =>
    one.at < other.at || (one.at === other.at && one.sequence < other.sequence)
  return {
    push(event: Event): void {
      heap.push(event)
      let index = heap.length - 1
      while (index > 0) {
        const parent = (index - 1) >> 1
        const above = heap[parent]
        if (!above || !before(event, above)) break
        heap[index] = above
        heap[parent] = event
        index = parent
      }
    },
    pop(): Event | undefined {
      const first = heap[0]
      const last = heap.pop()
      if (!first || !last || heap.length === 0) return first
      let index = 0
      for (;;) {
        const left = 2 * index + 1
        const one = heap[left]
        const other = heap[left + 1]
        const child = other && one && before(other, one) ? left + 1 : left
        const least = heap[child]
        if (!least || !before(least, last)) break
        heap[index] = least
        index = child
      }
      heap[index] = last
      return first
    },
  }
}

const SAMPLE_MS = 100

/** Runs one scheduler over one trace. */
export function runTrace(trace: Trace, name: string, factory: SchedulerFactory): PlacementRow {
  const events = eventQueue()
  const startedAt = new Map<number, number>()
  const done = new Map<number, number>()
  const running = new Map<
    number,
    {readonly task: TraceTask; readonly since: number; readonly version: number; readonly worker: string}
  >()
  const versions = new Map<number, number>()
  const total = trace.workers.reduce((sum, worker) => add(sum, worker.capacity), NO_RESOURCES)
  const waiting = new Map<number, TraceTask>()
  let now = 0
  let sequence = 0
  let messages = 0
  let conflicts = 0
  let starts = 0
  let preemptions = 0
  let used = 0
  let usedSum = 0
  let boundSum = 0
  let spent = 0

  function after(delay: number, run: () => void): void {
    sequence += 1
    events.push({at: now + delay, sequence, run})
  }

  function timed(run: () => void): void {
    const from = performance.now()
    run()
    spent += performance.now() - from
  }

  const scheduler = factory(trace, {
    now: () => now,
    after: (delay, run) => after(delay, () => timed(run)),
    start(task, worker) {
      starts += 1
      if (!startedAt.has(task.id)) startedAt.set(task.id, now)
      waiting.delete(task.id)
      const version = (versions.get(task.id) ?? 0) + 1
      versions.set(task.id, version)
      running.set(task.id, {task, since: now, version, worker})
      used += task.demand.processors
      after(Math.max(1, task.run - (done.get(task.id) ?? 0)), () => {
        if (running.get(task.id)?.version !== version) return
        running.delete(task.id)
        used -= task.demand.processors
        timed(() => scheduler.ended(task, worker))
      })
    },
    checkpoint(task) {
      const entry = running.get(task.id)
      if (!entry) return
      preemptions += 1
      running.delete(task.id)
      used -= task.demand.processors
      done.set(task.id, (done.get(task.id) ?? 0) + now - entry.since)
      waiting.set(task.id, task)
      after(1, () => timed(() => scheduler.submit(task)))
    },
    countMessage: () => {
      messages += 1
    },
    countConflict: () => {
      conflicts += 1
    },
  })

  for (const task of trace.tasks) {
    sequence += 1
    events.push({
      at: task.arrivesAt,
      sequence,
      run: () => {
        waiting.set(task.id, task)
        timed(() => scheduler.submit(task))
      },
    })
  }

  function sample(): void {
    if (waiting.size > 3) {
      const wanted = [...waiting.values()].reduce((sum, task) => sum + task.demand.processors, 0)
      usedSum += used
      boundSum += Math.min(total.processors, used + wanted)
    }
    if (now < trace.length) after(SAMPLE_MS, sample)
  }
  after(0, sample)

  const limit = trace.length * 4
  for (let event = events.pop(); event && event.at < limit; event = events.pop()) {
    now = event.at
    event.run()
    if (startedAt.size === trace.tasks.length && running.size === 0) break
  }

  const waitOf = (task: TraceTask): number => (startedAt.get(task.id) ?? limit) - task.arrivesAt
  const waits = (keep: (task: TraceTask) => boolean): number[] => trace.tasks.filter(keep).map(waitOf)
  const waitsAtCrest = waits(task => task.atCrest && task.taskClass !== "long")
  return {
    trace: trace.name,
    scheduler: name,
    short: distribution(waits(task => task.taskClass === "short")),
    long: distribution(waits(task => task.taskClass === "long")),
    urgent: distribution(waits(task => task.taskClass === "urgent")),
    crest: distribution(waitsAtCrest),
    packing: boundSum > 0 ? usedSum / boundSum : 1,
    preemptions,
    messagesPerStart: messages / Math.max(1, starts),
    conflictShare: conflicts / Math.max(1, starts),
    cpuPerStart: (spent * 1000) / Math.max(1, starts),
    waitsAtCrest,
  }
}

const SCHEDULERS: readonly (readonly [string, SchedulerFactory])[] = [
  ["first come, first fit", firstFit],
  ["best fit", bestFit],
  ["two levels, best of all", twoLevels(new BestOfAll())],
  ["two levels, best of drawn", twoLevels(new BestOfSample())],
  ["two levels, first rules", twoLevels(new BestOfSample(), FIRST_RULES)],
  ["two levels, weighted random (current)", twoLevels(new WeightedRandom())],
]

export interface DecisionRow {
  readonly workers: number
  readonly running: number
  /** Time of one pass that plans 32 tasks, per task, and of one fit at the owner, in microseconds. */
  readonly plan: Distribution
  readonly fit: Distribution
  readonly placementsPerSecond: number
}

const TASKS_PER_PASS = 32
const PASSES = 600

/** Times the home's plan and the owner's fit on a fleet that is nearly full. */
export function timeDecisions(workers: number, running: number): DecisionRow {
  const shape = {...FOLDWIND_TRACE, workers, perRack: workers > 100 ? 20 : 5, seconds: 1}
  const trace = makeTrace(shape, 5)
  const ledgers = ledgersOf(trace)
  const groups = [...ledgers.keys()]
  const random = seededRandom(3)
  const small = {processors: 1, memoryMebibytes: 1024, accelerators: 0}
  const perGroup = Math.floor(running / groups.length)
  for (const [group, first] of ledgers) {
    let ledger = first
    for (let index = 0; index < perGroup; index += 1) {
      const task: TraceTask = {
        id: index,
        team: "one",
        taskClass: "short",
        priority: 5,
        pool: "pool",
        demand: small,
        arrivesAt: 0,
        run: 1,
        checkpointable: false,
        atCrest: false,
      }
      const attempt = {...attemptOf(task, 1), attempt: `${group}/${index}`}
      const chosen = chooseWorker(ledger, attempt, placementPolicy("balance"))
      if (chosen.isOk())
        ledger = applyLedgerStep(ledger, {type: "granted", worker: chosen.value.worker, attempt})
    }
    ledgers.set(group, ledger)
  }
  const described = groups.map(group => ({
    group,
    pool: "pool",
    free: describeLedger(ledgers.get(group) ?? new Map(), 0),
  }))
  const byName = new Map(described.map(group => [group.group, group]))
  const fleet = trace.workers.reduce((sum, worker) => add(sum, worker.capacity), NO_RESOURCES)
  const index = {ofPool: () => described, named: (name: string) => byName.get(name), fleet: () => fleet}
  const team = {
    name: "",
    weight: 1,
    quota: {processors: 1e9, memoryMebibytes: 1e12, accelerators: 1e9},
    openRequests: 0,
  }
  const plans: number[] = []
  const fitTimes: number[] = []
  const policy = placementPolicy("pack")
  const from = performance.now()
  for (let pass = 0; pass < PASSES; pass += 1) {
    const queue = taskQueue<QueuedItem>()
    for (let item = 0; item < TASKS_PER_PASS; item += 1) {
      queue.add({
        key: String(item),
        team: `team-${item % 8}`,
        priority: 5,
        pool: "pool",
        demand: small,
        enqueuedAt: item,
      })
    }
    const planFrom = performance.now()
    const plan = planPass({
      now: 100,
      queue,
      groups: index,
      selector: new BestOfSample(),
      random,
      packingWeight: 0.5,
      teamOf: () => team,
      usageOf: () => NO_RESOURCES,
      waitingPlacementsAt: () => 0,
      taskLimit: 256,
    })
    plans.push(((performance.now() - planFrom) * 1000) / TASKS_PER_PASS)
    for (const ask of plan.placements) {
      const ledger = ledgers.get(ask.group.group)
      if (!ledger) continue
      for (const item of ask.items) {
        const fitFrom = performance.now()
        const task: TraceTask = {
          id: pass,
          team: "one",
          taskClass: "short",
          priority: 5,
          pool: "pool",
          demand: small,
          arrivesAt: 0,
          run: 1,
          checkpointable: false,
          atCrest: false,
        }
        const attempt = {...attemptOf(task, 1), attempt: `new/${pass}/${item.key}`}
        const chosen = chooseWorker(ledger, attempt, policy)
        if (chosen.isOk()) {
          const granted = applyLedgerStep(ledger, {type: "granted", worker: chosen.value.worker, attempt})
          applyLedgerStep(granted, {type: "ended", worker: chosen.value.worker, attempt: attempt.attempt})
        }
        fitTimes.push((performance.now() - fitFrom) * 1000)
      }
    }
  }
  const seconds = (performance.now() - from) / 1000
  return {
    workers,
    running,
    plan: distribution(plans),
    fit: distribution(fitTimes),
    placementsPerSecond: fitTimes.length / seconds,
  }
}

export interface PlacementResults {
  readonly rows: readonly PlacementRow[]
  readonly decisions: readonly DecisionRow[]
  /** p99 wait of short tasks with long work present, as a multiple of that without. */
  readonly shortBehindLong: readonly {
    readonly trace: string
    readonly scheduler: string
    readonly ratio: number
  }[]
}

const RATIO_FLOOR_MS = 1

/** Runs the whole benchmark. */
export function benchPlacement(): PlacementResults {
  const rows: PlacementRow[] = []
  const shortBehindLong: {trace: string; scheduler: string; ratio: number}[] = []
  for (const shape of [FOLDWIND_TRACE, KORKKREIS_TRACE]) {
    const trace = makeTrace(shape, 11)
    const without = makeTrace(shape, 11, false)
    for (const [name, factory] of SCHEDULERS) {
      const row = runTrace(trace, name, factory)
      rows.push(row)
      const alone = runTrace(without, name, factory)
      const ratio = Math.max(RATIO_FLOOR_MS, row.short.p99) / Math.max(RATIO_FLOOR_MS, alone.short.p99)
      shortBehindLong.push({trace: shape.name, scheduler: name, ratio})
    }
  }
  const decisions = [timeDecisions(34, 130), timeDecisions(1000, 4000), timeDecisions(28_000, 110_000)]
  return {rows, decisions, shortBehindLong}
}
