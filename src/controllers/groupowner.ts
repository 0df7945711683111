/**
 * The owner of one worker group: the only instance that grants what its workers have. It chooses workers for the
 * attempts that homes ask for, keeps a short queue of those that wait for room, holds reservations for gangs,
 * makes room for urgent work, and reports the ends of attempts to their homes until they are acknowledged.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {add, componentwiseMax, NO_RESOURCES} from "../core/resources.js"
import type {PlacementPolicyName} from "../document/model.js"
import type {Attempt, AttemptEnd} from "../jobs/attempt.js"
import type {FreeCapacity} from "../membership/table.js"
import {chooseWorker} from "../placement/choose.js"
import {freeCapacityOf} from "../placement/ledger.js"
import type {Reservation} from "../placement/ledger.js"
import {placementPolicy} from "../placement/policy.js"
import {choosePreemption} from "../placement/preemption.js"
import {MINIMUM_RUN_MS, mayBypassQueue, highestPreemptiblePriority} from "../placement/precedence.js"
import {insertWaiting, splitExpired, removeWaiting} from "../placement/waitqueue.js"
import type {WaitQueue} from "../placement/waitqueue.js"
import {allowForDrift, TASK_LEASE_MS} from "../ownership/timing.js"
import type {ListedInstance, WorkerGateway} from "../platform/ports.js"
import {createEndReporter} from "./endreporter.js"
import {groupWorkers} from "./groupworkers.js"
import type {GroupWorkers} from "./groupworkers.js"
import type {Logger} from "../core/logger.js"

export interface GroupOwnerPorts {
  readonly clock: Clock
  readonly random: Random
  readonly gateway: WorkerGateway
  readonly log: Logger
  readonly instance: string
  /** The epoch under which this instance may decide for the group now. */
  readonly epoch: () => number | undefined
  readonly policyOf: (workload: string) => PlacementPolicyName
  /** Sends ends to the home of a job group. Gives the names of the attempts that it took. */
  readonly reportEnds: (jobGroup: string, ends: readonly AttemptEnd[]) => Promise<readonly string[]>
}

export type PlacementResult = "started" | "reserved" | "refused" | "unsure"

export interface PlacementAnswer {
  readonly attempt: string
  readonly result: PlacementResult
  readonly worker: string
  readonly reason: string
}

export interface PlaceOrder {
  readonly ownerEpoch: number
  readonly jobGroup: string
  readonly homeEpoch: number
  readonly attempts: readonly Attempt[]
  readonly wait: Milliseconds
  readonly rank: number
  /** How long the attempts have waited at their home. */
  readonly waited: Milliseconds
}

export interface ReserveOrder extends PlaceOrder {
  readonly reservation: string
}

export type Fate = "stopping" | "ended" | "never-started" | "unknown"

export interface FateAnswer {
  readonly attempt: string
  readonly fate: Fate
}

export interface Inventory {
  readonly complete: boolean
  readonly running: readonly {readonly worker: string; readonly attempt: Attempt}[]
  readonly ended: readonly AttemptEnd[]
}

/** The caller's epochs are not those in force: it must look up the holder again. */
export interface Refusal {
  readonly refusal: string
}

export interface GroupOwner {
  readonly place: (order: PlaceOrder) => Promise<readonly PlacementAnswer[] | Refusal>
  readonly reserve: (order: ReserveOrder) => readonly PlacementAnswer[] | Refusal
  readonly commit: (order: ReserveOrder) => Promise<readonly PlacementAnswer[] | Refusal>
  readonly releaseReservation: (reservation: string) => void
  readonly abandon: (
    ownerEpoch: number,
    jobGroup: string,
    homeEpoch: number,
    attempts: readonly string[],
    checkpoint: boolean,
  ) => readonly FateAnswer[] | Refusal
  readonly inventory: (ownerEpoch: number, jobGroup: string, homeEpoch: number) => Inventory | Refusal
  readonly free: () => FreeCapacity
  readonly reconcile: (listed: readonly ListedInstance[]) => void
  readonly workers: () => GroupWorkers
  /** Refuses new work and resolves when no start is in doubt. */
  readonly drain: () => Promise<void>
  readonly close: () => void
}

const RESERVATION_TERM_MS: Milliseconds = 2500
const SWEEP_MS: Milliseconds = 200
const BARRED_FOR_MS: Milliseconds = 15 * 60_000
const PREEMPTION_TERM_MS: Milliseconds = 5000
const MEBIBYTES_IN_STEP = 256

interface Waiter {
  readonly resolve: (answer: PlacementAnswer) => void
}

interface RunningPreemption {
  readonly worker: string
  readonly victims: ReadonlySet<string>
  readonly until: Milliseconds
}

function refused(attempt: string, reason: string): PlacementAnswer {
  return {attempt, result: "refused", worker: "", reason}
}

/** Creates the owner for one epoch of the group. */
export function groupOwner(group: string, ports: GroupOwnerPorts): GroupOwner {
  const {clock, log} = ports
  const homeEpochs = new Map<string, number>()
  /** Attempts that must not start any more, with the instant at which this may be forgotten. */
  const barred = new Map<string, Milliseconds>()
  const waiters = new Map<string, Waiter>()
  const preemptions = new Map<string, RunningPreemption>()
  const inFlight = new Set<Promise<unknown>>()
  /** A group without any listed worker is taken to run nothing only after this instant. */
  const emptyUntil = clock.now() + allowForDrift(TASK_LEASE_MS)
  let room: WaitQueue = []
  let draining = false
  let closed = false

  const workers = groupWorkers({
    clock,
    gateway: ports.gateway,
    log,
    instance: ports.instance,
    epoch: ports.epoch,
    onRoom: serveRoom,
    onEnds: () => reporter.reportDueEnds(),
  })

  const reporter = createEndReporter({
    clock,
    random: ports.random,
    pending: workers.pendingEnds,
    report: ports.reportEnds,
    onAcknowledged: workers.acknowledge,
  })

  function checkEpochs(ownerEpoch: number, jobGroup: string, homeEpoch: number): Refusal | undefined {
    const epoch = ports.epoch()
    if (epoch === undefined || closed) return {refusal: "this instance does not hold the group now"}
    if (epoch !== ownerEpoch) return {refusal: `the group is at epoch ${epoch}, not ${ownerEpoch}`}
    const known = homeEpochs.get(jobGroup) ?? 0
    if (homeEpoch < known) return {refusal: `the job group is at epoch ${known}, not ${homeEpoch}`}
    homeEpochs.set(jobGroup, homeEpoch)
    return undefined
  }

  /** Workers that an urgent attempt is making room on, which no other attempt may take. */
  function withheldFrom(attempt: string): ReadonlySet<string> {
    const now = clock.now()
    const withheld = new Set<string>()
    for (const [name, preemption] of preemptions) {
      if (name !== attempt && preemption.until > now) withheld.add(preemption.worker)
    }
    return withheld
  }

  function track<T>(work: Promise<T>): Promise<T> {
    inFlight.add(work)
    void work.finally(() => inFlight.delete(work)).catch(() => undefined)
    return work
  }

  async function startOn(worker: string, attempt: Attempt): Promise<PlacementAnswer> {
    const name = attempt.attempt
    const result = await workers.grant(worker, attempt)
    log.info(
      {
        event: "placement",
        group,
        job: attempt.job,
        attempt: name,
        worker,
        result: result.type,
        workload: attempt.workload,
      },
      "placed an attempt",
    )
    switch (result.type) {
      case "started":
        return {attempt: name, result: "started", worker, reason: ""}
      case "unsure":
        return {attempt: name, result: "unsure", worker, reason: "the worker has not confirmed the start"}
      case "refused":
        return refused(name, result.reason)
      case "never-started":
        return refused(name, "the worker did not take the start order")
    }
  }

  /** Chooses a worker and starts the attempt there, or gives undefined when there is no room. */
  function tryStart(attempt: Attempt): Promise<PlacementAnswer> | undefined {
    const policy = placementPolicy(ports.policyOf(attempt.workload))
    const choice = chooseWorker(workers.ledger(), attempt, policy, withheldFrom(attempt.attempt))
    if (choice.isErr()) return undefined
    preemptions.delete(attempt.attempt)
    return track(startOn(choice.value.worker, attempt))
  }

  /** Attempts that must not be checkpointed now: they are being stopped already, or have hardly run. */
  function sparedAttempts(): ReadonlySet<string> {
    const spared = new Set([...preemptions.values()].flatMap(preemption => [...preemption.victims]))
    for (const [name, entry] of workers.usage()) if (entry.ranFor < MINIMUM_RUN_MS) spared.add(name)
    return spared
  }

  function preemptFor(attempt: Attempt, waited: Milliseconds): void {
    const highest = highestPreemptiblePriority(attempt, waited)
    if (highest < 0 || preemptions.has(attempt.attempt)) return
    const plan = choosePreemption(workers.ledger(), attempt, highest, sparedAttempts())
    if (!plan) return
    const until = clock.now() + PREEMPTION_TERM_MS
    preemptions.set(attempt.attempt, {worker: plan.worker, victims: new Set(plan.victims), until})
    const {worker, victims} = plan
    log.info(
      {event: "preemption", group, attempt: attempt.attempt, worker, victims},
      "checkpoints lower work",
    )
    for (const victim of plan.victims) workers.checkpoint(victim)
  }

  function serveRoom(): void {
    if (draining || closed || ports.epoch() === undefined) return
    const blocked = new Set<string>()
    for (const waiting of room) {
      const {attempt} = waiting
      const shape = `${attempt.pool}/${attempt.demand.processors}/${attempt.demand.memoryMebibytes}/${attempt.demand.accelerators}`
      if (blocked.has(shape)) continue
      const started = tryStart(attempt)
      if (!started) {
        blocked.add(shape)
        preemptFor(attempt, clock.now() - waiting.arrivedAt)
        continue
      }
      room = removeWaiting(room, attempt.attempt)
      answerWith(attempt.attempt, started)
    }
  }

  function answerWith(attempt: string, answer: Promise<PlacementAnswer>): void {
    const waiter = waiters.get(attempt)
    waiters.delete(attempt)
    if (waiter) void answer.then(waiter.resolve)
  }

  function known(attempt: Attempt): PlacementAnswer | undefined {
    const name = attempt.attempt
    if (barred.has(name)) return refused(name, "the attempt was abandoned")
    if (workers.pendingEnds().has(name))
      return {attempt: name, result: "started", worker: "", reason: "it has ended already"}
    const holder = [...workers.ledger().values()].find(worker => worker.held.has(name))
    return (
      holder && {
        attempt: name,
        result: "unsure",
        worker: holder.worker,
        reason: "the attempt is known already",
      }
    )
  }

  function placeOne(
    attempt: Attempt,
    wait: Milliseconds,
    rank: number,
    waited: Milliseconds,
  ): Promise<PlacementAnswer> {
    const repeated = known(attempt)
    if (repeated) return Promise.resolve(repeated)
    const started = mayBypassQueue(room, attempt, rank) ? tryStart(attempt) : undefined
    if (started) return started
    preemptFor(attempt, waited)
    if (wait <= 0) return Promise.resolve(refused(attempt.attempt, explainRefusal(attempt)))
    const now = clock.now()
    room = insertWaiting(room, {attempt, rank, arrivedAt: now - waited, expiresAt: now + wait})
    return new Promise(resolve => waiters.set(attempt.attempt, {resolve}))
  }

  function explainRefusal(attempt: Attempt): string {
    const choice = chooseWorker(workers.ledger(), attempt, placementPolicy("pack"))
    return choice.isErr() ? choice.error.explanation : "others wait before it"
  }

  async function place(order: PlaceOrder): Promise<readonly PlacementAnswer[] | Refusal> {
    const refusal = checkEpochs(order.ownerEpoch, order.jobGroup, order.homeEpoch)
    if (refusal) return refusal
    if (draining)
      return order.attempts.map(attempt => refused(attempt.attempt, "the group is being handed over"))
    return Promise.all(order.attempts.map(attempt => placeOne(attempt, order.wait, order.rank, order.waited)))
  }

  /** Releases younger reservations until the attempt fits on some worker. */
  function displaceFor(attempt: Attempt, rank: number): void {
    const policy = placementPolicy("pack")
    for (const worker of workers.ledger().values()) {
      if (worker.pool !== attempt.pool || !worker.isAcceptingWork) continue
      const younger = [...worker.reserved.values()].filter(held => held.rank > rank)
      for (const held of younger) {
        if (chooseWorker(workers.ledger(), attempt, policy).isOk()) return
        releaseReservation(held.reservation)
      }
    }
  }

  function reserveOne(order: ReserveOrder, attempt: Attempt): PlacementAnswer {
    const name = attempt.attempt
    if (barred.has(name)) return refused(name, "the attempt was abandoned")
    const {reservation, rank} = order
    const renewed: Reservation = {reservation, attempt, expiresAt: clock.now() + RESERVATION_TERM_MS, rank}
    const holder = [...workers.ledger().values()].find(worker => worker.reserved.has(name))
    if (holder) {
      workers.apply({type: "reserved", worker: holder.worker, reservation: renewed})
      return {attempt: name, result: "reserved", worker: holder.worker, reason: ""}
    }
    const policy = placementPolicy(ports.policyOf(attempt.workload))
    let choice = chooseWorker(workers.ledger(), attempt, policy, withheldFrom(name))
    if (choice.isErr()) {
      displaceFor(attempt, rank)
      choice = chooseWorker(workers.ledger(), attempt, policy, withheldFrom(name))
    }
    if (choice.isErr()) return refused(name, choice.error.explanation)
    workers.apply({type: "reserved", worker: choice.value.worker, reservation: renewed})
    return {attempt: name, result: "reserved", worker: choice.value.worker, reason: ""}
  }

  function reserve(order: ReserveOrder): readonly PlacementAnswer[] | Refusal {
    const refusal = checkEpochs(order.ownerEpoch, order.jobGroup, order.homeEpoch)
    if (refusal) return refusal
    if (draining)
      return order.attempts.map(attempt => refused(attempt.attempt, "the group is being handed over"))
    return order.attempts.map(attempt => reserveOne(order, attempt))
  }

  function releaseReservation(reservation: string): void {
    for (const worker of workers.ledger().values()) {
      for (const held of worker.reserved.values()) {
        if (held.reservation !== reservation) continue
        workers.apply({type: "unreserved", worker: worker.worker, attempt: held.attempt.attempt})
      }
    }
  }

  async function commit(order: ReserveOrder): Promise<readonly PlacementAnswer[] | Refusal> {
    const refusal = checkEpochs(order.ownerEpoch, order.jobGroup, order.homeEpoch)
    if (refusal) return refusal
    const answers = order.attempts.map(attempt => {
      const repeated = known(attempt)
      if (repeated) return Promise.resolve(repeated)
      const name = attempt.attempt
      const holder = [...workers.ledger().values()].find(worker => worker.reserved.has(name))
      if (!holder) return Promise.resolve(refused(name, "the reservation has ended"))
      workers.apply({type: "unreserved", worker: holder.worker, attempt: name})
      if (!holder.isAcceptingWork)
        return Promise.resolve(refused(name, "the worker takes no new work any more"))
      return track(startOn(holder.worker, attempt))
    })
    return Promise.all(answers)
  }

  function bar(attempt: string): void {
    barred.set(attempt, clock.now() + BARRED_FOR_MS)
  }

  function fateOf(attempt: string, checkpoint: boolean): Fate {
    if (workers.pendingEnds().has(attempt)) return "ended"
    if (room.some(waiting => waiting.attempt.attempt === attempt)) {
      room = removeWaiting(room, attempt)
      bar(attempt)
      answerWith(attempt, Promise.resolve(refused(attempt, "the attempt was abandoned")))
      return "never-started"
    }
    const acted = checkpoint ? workers.checkpoint(attempt) : workers.stop(attempt)
    if (acted) return "stopping"
    bar(attempt)
    return "unknown"
  }

  function sweep(): void {
    if (closed) return
    const now = clock.now()
    const {expired, remaining: rest} = splitExpired(room, now)
    room = rest
    for (const {attempt} of expired) {
      answerWith(attempt.attempt, Promise.resolve(refused(attempt.attempt, explainRefusal(attempt))))
    }
    for (const [name, until] of barred) if (until < now) barred.delete(name)
    for (const [name, preemption] of preemptions) if (preemption.until < now) preemptions.delete(name)
    for (const worker of workers.ledger().values()) {
      for (const held of worker.reserved.values()) {
        if (held.expiresAt > now) continue
        workers.apply({type: "unreserved", worker: worker.worker, attempt: held.attempt.attempt})
      }
    }
    serveRoom()
    if (workers.pendingEnds().size > 0) reporter.reportDueEnds()
    clock.after(SWEEP_MS, sweep)
  }

  function free(): FreeCapacity {
    const open = [...workers.ledger().values()].filter(worker => worker.isAcceptingWork)
    const total = open.reduce((amount, worker) => add(amount, freeCapacityOf(worker)), NO_RESOURCES)
    const most = open.reduce(
      (amount, worker) => componentwiseMax(amount, freeCapacityOf(worker)),
      NO_RESOURCES,
    )
    const whole = [...workers.ledger().values()].reduce(
      (amount, worker) => add(amount, worker.capacity),
      NO_RESOURCES,
    )
    const memory = (amount: number): number => Math.floor(amount / MEBIBYTES_IN_STEP) * MEBIBYTES_IN_STEP
    return {
      processors: Math.floor(total.processors),
      memoryMebibytes: memory(total.memoryMebibytes),
      accelerators: total.accelerators,
      largestProcessors: Math.floor(most.processors),
      largestMemoryMebibytes: memory(most.memoryMebibytes),
      largestAccelerators: most.accelerators,
      idleSlots: 0,
      waiting: room.length,
      totalProcessors: Math.floor(whole.processors),
      totalMemoryMebibytes: memory(whole.memoryMebibytes),
      totalAccelerators: whole.accelerators,
    }
  }

  sweep()

  return {
    place,
    reserve,
    commit,
    releaseReservation,
    abandon(ownerEpoch, jobGroup, homeEpoch, attempts, checkpoint) {
      const refusal = checkEpochs(ownerEpoch, jobGroup, homeEpoch)
      if (refusal) return refusal
      return attempts.map(attempt => ({attempt, fate: fateOf(attempt, checkpoint)}))
    },
    inventory(ownerEpoch, jobGroup, homeEpoch) {
      const refusal = checkEpochs(ownerEpoch, jobGroup, homeEpoch)
      if (refusal) return refusal
      return {
        complete: workers.settled() && (workers.ledger().size > 0 || clock.now() > emptyUntil),
        running: workers.running().filter(entry => entry.attempt.jobGroup === jobGroup),
        ended: [...workers.pendingEnds().values()].filter(end => end.jobGroup === jobGroup),
      }
    },
    free,
    reconcile: workers.reconcile,
    workers: () => workers,
    async drain() {
      draining = true
      for (const {attempt} of room) {
        answerWith(
          attempt.attempt,
          Promise.resolve(refused(attempt.attempt, "the group is being handed over")),
        )
      }
      room = []
      await Promise.allSettled([...inFlight])
    },
    close() {
      closed = true
      reporter.close()
      for (const [attempt, waiter] of waiters) waiter.resolve(refused(attempt, "the group was lost"))
      waiters.clear()
      workers.close()
    },
  }
}
