/**
 * The schedulers that the placement benchmark holds side by side. Two are plain baselines with full knowledge of the
 * fleet and one queue. The others run this project's own decision modules: homes that plan passes from descriptions
 * that are half a second old, and owners that fit exactly, with a message's time between them.
 */
import type {Milliseconds} from "../src/core/clock.js"
import {hash32} from "../src/core/hash.js"
import {seededRandom} from "../src/core/random.js"
import {add, fits, componentwiseMax, NO_RESOURCES, subtract} from "../src/core/resources.js"
import type {Resources} from "../src/core/resources.js"
import type {TeamDefinition} from "../src/document/model.js"
import type {Attempt} from "../src/jobs/attempt.js"
import type {FreeCapacity} from "../src/membership/table.js"
import {chooseWorker} from "../src/placement/choose.js"
import type {GroupSelector, GroupDescription} from "../src/placement/groupchoice.js"
import {applyLedgerStep, EMPTY_LEDGER, freeCapacityOf} from "../src/placement/ledger.js"
import type {GroupLedger} from "../src/placement/ledger.js"
import {planPass} from "../src/placement/passplan.js"
import {placementPolicy} from "../src/placement/policy.js"
import {MINIMUM_RUN_MS, mayBypassQueue, highestPreemptiblePriority} from "../src/placement/precedence.js"
import {choosePreemption} from "../src/placement/preemption.js"
import {taskQueue} from "../src/placement/taskqueue.js"
import type {QueuedItem, TaskQueue} from "../src/placement/taskqueue.js"
import {insertWaiting, splitExpired, removeWaiting} from "../src/placement/waitqueue.js"
import type {WaitQueue} from "../src/placement/waitqueue.js"
import type {Trace, TraceTask} from "./trace.js"

/** What a scheduler tells the simulation to do. */
export interface SchedulerPorts {
  readonly now: () => Milliseconds
  readonly after: (delay: Milliseconds, run: () => void) => void
  readonly start: (task: TraceTask, worker: string) => void
  /** Stops a task and puts it back with what it has done. */
  readonly checkpoint: (task: TraceTask) => void
  readonly countMessage: () => void
  readonly countConflict: () => void
}

export interface Scheduler {
  readonly submit: (task: TraceTask) => void
  readonly ended: (task: TraceTask, worker: string) => void
}

export type SchedulerFactory = (trace: Trace, ports: SchedulerPorts) => Scheduler

/** First come, first served, on the first worker with room. The head of the queue holds up the rest. */
export function firstFit(trace: Trace, ports: SchedulerPorts): Scheduler {
  const free = new Map(trace.workers.map(worker => [worker.name, worker.capacity]))
  const queue: TraceTask[] = []

  function pump(): void {
    for (let head = queue[0]; head; head = queue[0]) {
      const {demand} = head
      const found = [...free].find(([, room]) => fits(demand, room))
      if (!found) return
      queue.shift()
      free.set(found[0], subtract(found[1], demand))
      ports.start(head, found[0])
    }
  }

  return {
    submit(task) {
      queue.push(task)
      pump()
    },
    ended(task, worker) {
      free.set(worker, add(free.get(worker) ?? NO_RESOURCES, task.demand))
      pump()
    },
  }
}

/** In the order of arrival, each task that fits somewhere on the worker with the least room left. */
export function bestFit(trace: Trace, ports: SchedulerPorts): Scheduler {
  const free = new Map(trace.workers.map(worker => [worker.name, worker.capacity]))
  let queue: TraceTask[] = []

  function place(task: TraceTask): boolean {
    let best: string | undefined
    let least = Number.POSITIVE_INFINITY
    for (const [name, room] of free) {
      if (!fits(task.demand, room) || room.processors >= least) continue
      best = name
      least = room.processors
    }
    if (best === undefined) return false
    free.set(best, subtract(free.get(best) ?? NO_RESOURCES, task.demand))
    ports.start(task, best)
    return true
  }

  function pump(): void {
    const failed = new Set<number>()
    queue = queue.filter(task => {
      const size = task.demand.processors * 1e6 + task.demand.memoryMebibytes
      if (failed.has(size) || !place(task)) {
        failed.add(size)
        return true
      }
      return false
    })
  }

  return {
    submit(task) {
      queue.push(task)
      pump()
    },
    ended(task, worker) {
      free.set(worker, add(free.get(worker) ?? NO_RESOURCES, task.demand))
      pump()
    },
  }
}

interface Item extends QueuedItem {
  readonly task: TraceTask
}

interface Home {
  readonly queue: TaskQueue<Item>
  readonly waiting: Map<string, number>
}

interface Owner {
  readonly group: string
  ledger: GroupLedger
  room: WaitQueue
  readonly preempting: Set<string>
}

const MESSAGE_MS: Milliseconds = 1
const DESCRIPTION_AGE_MS: Milliseconds = 500
const WAIT_AT_OWNER_MS: Milliseconds = 700
const SHORT_WAIT_MS: Milliseconds = 150
const HOMES = 8
const PASS_MS: Milliseconds = 100
const ALLOWANCE = 256
const UNLIMITED: Resources = {processors: 1e9, memoryMebibytes: 1e12, accelerators: 1e9}

export function attemptOf(task: TraceTask, run: number): Attempt {
  return {
    attempt: `${task.id}.${run}`,
    job: String(task.id),
    task: 0,
    jobGroup: "j/0",
    team: task.team,
    workload: task.taskClass,
    kind: "batch",
    pool: task.pool,
    priority: task.priority,
    demand: task.demand,
    declaredRun: 0,
    restartable: true,
    checkpointable: task.checkpointable,
    checkpoint: "",
    payload: "",
    avoid: [],
  }
}

/** What the owner of a ledger says of it. */
export function describeLedger(ledger: GroupLedger, waiting: number): FreeCapacity {
  let free = NO_RESOURCES
  let most = NO_RESOURCES
  let total = NO_RESOURCES
  for (const worker of ledger.values()) {
    const left = freeCapacityOf(worker)
    free = add(free, left)
    most = componentwiseMax(most, left)
    total = add(total, worker.capacity)
  }
  return {
    processors: free.processors,
    memoryMebibytes: free.memoryMebibytes,
    accelerators: free.accelerators,
    largestProcessors: most.processors,
    largestMemoryMebibytes: most.memoryMebibytes,
    largestAccelerators: most.accelerators,
    idleSlots: 0,
    waiting,
    totalProcessors: total.processors,
    totalMemoryMebibytes: total.memoryMebibytes,
    totalAccelerators: total.accelerators,
  }
}

/** Ledgers of all racks of a trace, every worker open. */
export function ledgersOf(trace: Trace): Map<string, GroupLedger> {
  const ledgers = new Map<string, GroupLedger>()
  for (const {name: worker, rack, pool, capacity} of trace.workers) {
    const group = `w/${pool}.${rack}`
    const description = {worker, rack, dataCentre: "", pool, capacity}
    const added = applyLedgerStep(ledgers.get(group) ?? EMPTY_LEDGER, {type: "worker-added", description})
    ledgers.set(group, applyLedgerStep(added, {type: "worker-opened", worker, open: true}))
  }
  return ledgers
}

/** How owners let work pass and displace other work. Earlier rules stay here as baselines. */
export interface OwnerRules {
  readonly mayPass: typeof mayBypassQueue
  readonly preemptiblePriority: typeof highestPreemptiblePriority
}

const CURRENT_RULES: OwnerRules = {mayPass: mayBypassQueue, preemptiblePriority: highestPreemptiblePriority}

/** The first version: strict order at the owner, and only urgent work displaces other work. */
export const FIRST_RULES: OwnerRules = {
  mayPass: (room, attempt, rank) => attempt.priority >= 8 || !room.some(waiting => waiting.rank < rank),
  preemptiblePriority: attempt => (attempt.priority >= 8 ? attempt.priority - 1 : -1),
}

/** This project's decisions, with a given way to choose among worker groups. */
export function twoLevels(choice: GroupSelector, rules: OwnerRules = CURRENT_RULES): SchedulerFactory {
  return (trace, ports) => {
    const random = seededRandom(7)
    const owners = new Map<string, Owner>()
    for (const [group, ledger] of ledgersOf(trace))
      owners.set(group, {group, ledger, room: [], preempting: new Set()})
    let described: readonly GroupDescription[] = []
    let fleet = NO_RESOURCES
    const policy = placementPolicy(trace.packingWeight > 0.5 ? "pack" : "balance")
    const tasks = new Map<string, TraceTask>()
    const runs = new Map<number, number>()
    /** Running attempts and when they started. */
    const since = new Map<string, Milliseconds>()
    const usage = new Map<string, Resources>()
    const homes: readonly Home[] = Array.from({length: HOMES}, () => ({
      queue: taskQueue<Item>(),
      waiting: new Map<string, number>(),
    }))
    const team: TeamDefinition = {name: "", weight: 1, quota: UNLIMITED, openRequests: 0}

    function homeOf(task: TraceTask): Home {
      const home = homes[hash32(task.team) % HOMES]
      if (!home) throw new RangeError("The benchmark needs a home.")
      return home
    }

    function describe(): void {
      described = [...owners.values()].map(owner => ({
        group: owner.group,
        pool: "pool",
        free: describeLedger(owner.ledger, owner.room.length),
      }))
      fleet = trace.workers.reduce((sum, worker) => add(sum, worker.capacity), NO_RESOURCES)
      ports.after(DESCRIPTION_AGE_MS, describe)
    }

    function startAt(owner: Owner, attempt: Attempt): boolean {
      const chosen = chooseWorker(owner.ledger, attempt, policy)
      if (chosen.isErr()) return false
      owner.ledger = applyLedgerStep(owner.ledger, {type: "granted", worker: chosen.value.worker, attempt})
      owner.preempting.delete(attempt.attempt)
      since.set(attempt.attempt, ports.now())
      const task = tasks.get(attempt.attempt)
      if (task) ports.start(task, chosen.value.worker)
      return true
    }

    function preempt(owner: Owner, attempt: Attempt, waited: Milliseconds): void {
      const highest = rules.preemptiblePriority(attempt, waited)
      if (highest < 0 || owner.preempting.has(attempt.attempt)) return
      const young = [...since].filter(([, from]) => ports.now() - from < MINIMUM_RUN_MS).map(([name]) => name)
      const plan = choosePreemption(owner.ledger, attempt, highest, new Set(young))
      if (!plan) return
      owner.preempting.add(attempt.attempt)
      for (const victim of plan.victims) {
        const task = tasks.get(victim)
        if (!task) continue
        owner.ledger = applyLedgerStep(owner.ledger, {type: "ended", worker: plan.worker, attempt: victim})
        since.delete(victim)
        usage.set(task.team, subtract(usage.get(task.team) ?? NO_RESOURCES, task.demand))
        ports.checkpoint(task)
      }
    }

    function leaveRoom(owner: Owner, attempt: Attempt): void {
      owner.room = removeWaiting(owner.room, attempt.attempt)
      const task = tasks.get(attempt.attempt)
      const home = task && homeOf(task)
      home?.waiting.set(owner.group, (home.waiting.get(owner.group) ?? 1) - 1)
    }

    function serve(owner: Owner): void {
      const blocked = new Set<string>()
      for (const {attempt, arrivedAt} of owner.room) {
        const shape = `${attempt.demand.processors}/${attempt.demand.memoryMebibytes}`
        if (blocked.has(shape)) continue
        if (!startAt(owner, attempt)) {
          preempt(owner, attempt, ports.now() - arrivedAt)
          if (startAt(owner, attempt)) leaveRoom(owner, attempt)
          else blocked.add(shape)
          continue
        }
        leaveRoom(owner, attempt)
      }
    }

    function receive(owner: Owner, item: Item, mayWait: boolean, rank: number): void {
      const run = (runs.get(item.task.id) ?? 0) + 1
      runs.set(item.task.id, run)
      const attempt = attemptOf(item.task, run)
      tasks.set(attempt.attempt, item.task)
      if (rules.mayPass(owner.room, attempt, rank) && startAt(owner, attempt)) {
        if (mayWait) countWaiting(owner, item.task, -1)
        return
      }
      const waited = ports.now() - item.enqueuedAt
      preempt(owner, attempt, waited)
      if (owner.preempting.has(attempt.attempt) && startAt(owner, attempt)) {
        if (mayWait) countWaiting(owner, item.task, -1)
        return
      }
      const wait = mayWait ? WAIT_AT_OWNER_MS : SHORT_WAIT_MS
      if (!mayWait) {
        ports.countConflict()
        countWaiting(owner, item.task, 1)
      }
      const now = ports.now()
      owner.room = insertWaiting(owner.room, {attempt, rank, arrivedAt: now - waited, expiresAt: now + wait})
      ports.after(wait, () => giveBack(owner, item))
    }

    function countWaiting(owner: Owner, task: TraceTask, change: number): void {
      const {waiting} = homeOf(task)
      waiting.set(owner.group, (waiting.get(owner.group) ?? 0) + change)
    }

    function giveBack(owner: Owner, item: Item): void {
      const {expired, remaining: room} = splitExpired(owner.room, ports.now())
      owner.room = room
      for (const {attempt} of expired) {
        const task = tasks.get(attempt.attempt)
        if (!task) continue
        const home = homeOf(task)
        home.waiting.set(owner.group, (home.waiting.get(owner.group) ?? 1) - 1)
        usage.set(task.team, subtract(usage.get(task.team) ?? NO_RESOURCES, task.demand))
        home.queue.add({
          ...item,
          key: String(task.id),
          task,
          team: task.team,
          priority: task.priority,
          demand: task.demand,
          enqueuedAt: task.arrivesAt,
        })
        wake(home)
      }
    }

    function pass(home: Home): void {
      const index = {
        ofPool: () => described,
        named: (name: string) => described.find(group => group.group === name),
        fleet: () => fleet,
      }
      const plan = planPass({
        now: ports.now(),
        queue: home.queue,
        groups: index,
        selector: choice,
        random,
        packingWeight: trace.packingWeight,
        teamOf: () => team,
        usageOf: name => usage.get(name) ?? NO_RESOURCES,
        waitingPlacementsAt: group => home.waiting.get(group) ?? 0,
        taskLimit: ALLOWANCE,
      })
      for (const {group, items, mayWait, rank} of plan.placements) {
        const owner = owners.get(group.group)
        if (!owner) continue
        ports.countMessage()
        if (mayWait) home.waiting.set(group.group, (home.waiting.get(group.group) ?? 0) + 1)
        for (const item of items) {
          home.queue.remove(item.key)
          usage.set(item.team, add(usage.get(item.team) ?? NO_RESOURCES, item.demand))
          ports.after(MESSAGE_MS, () => receive(owner, item, mayWait, rank))
        }
        ports.after(2 * MESSAGE_MS, () => refresh(owner))
      }
    }

    /** An owner's reply describes its group anew. */
    function refresh(owner: Owner): void {
      described = described.map(group =>
        group.group === owner.group
          ? {...group, free: describeLedger(owner.ledger, owner.room.length)}
          : group,
      )
    }

    const woken = new Set<Home>()

    function wake(home: Home): void {
      if (woken.has(home)) return
      woken.add(home)
      ports.after(1, () => {
        woken.delete(home)
        pass(home)
      })
    }

    function tick(): void {
      for (const owner of owners.values()) if (owner.room.length > 0) serve(owner)
      for (const home of homes) if (home.queue.size() > 0) wake(home)
      ports.after(PASS_MS, tick)
    }

    describe()
    tick()

    return {
      submit(task) {
        const home = homeOf(task)
        const {team: name, priority, pool, demand, arrivesAt} = task
        home.queue.add({
          key: String(task.id),
          team: name,
          priority,
          pool,
          demand,
          enqueuedAt: arrivesAt,
          task,
        })
        wake(home)
      },
      ended(task, worker) {
        const attempt = `${task.id}.${runs.get(task.id) ?? 1}`
        since.delete(attempt)
        usage.set(task.team, subtract(usage.get(task.team) ?? NO_RESOURCES, task.demand))
        for (const owner of owners.values()) {
          if (!owner.ledger.has(worker)) continue
          owner.ledger = applyLedgerStep(owner.ledger, {type: "ended", worker, attempt})
          serve(owner)
        }
        const home = homeOf(task)
        if (home.queue.size() > 0) wake(home)
      },
    }
  }
}
