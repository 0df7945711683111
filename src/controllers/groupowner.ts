/**
 * The owner of one worker group: the only instance that allocates the capacity of the group's workers. It chooses
 * workers for the attempts that job homes ask it to place, keeps a short wait queue of those that find no free
 * capacity, holds reservations for gangs, preempts lower-priority work, and reports the ends of attempts to their
 * homes until they are acknowledged.
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
  /** The epoch under which this instance may decide for the group now; undefined when it may not. */
  readonly epoch: () => number | undefined
  readonly policyOf: (workload: string) => PlacementPolicyName
  /** Sends ends to the home of a job group. Resolves to the names of the attempts that it acknowledged. */
  readonly reportEnds: (jobGroup: string, ends: readonly AttemptEnd[]) => Promise<readonly string[]>
}

/** `unsure`: a start order was sent, but the worker has not confirmed it; the attempt may be running. */
export type PlacementResult = "started" | "reserved" | "refused" | "unsure"

export interface PlacementAnswer {
  readonly attempt: string
  readonly result: PlacementResult
  readonly worker: string
  readonly reason: string
}

/** A home's request to place attempts of one job group. The epochs are those that the home knows. */
export interface PlaceOrder {
  readonly ownerEpoch: number
  readonly jobGroup: string
  readonly homeEpoch: number
  readonly attempts: readonly Attempt[]
  /** How long the attempts may stay in the wait queue; none are queued when it is 0. */
  readonly wait: Milliseconds
  /** Position in the order of precedence: attempts with a lower rank go first. */
  readonly rank: number
  /** How long the attempts have waited at their home. */
  readonly waited: Milliseconds
}

export interface ReserveOrder extends PlaceOrder {
  readonly reservation: string
}

/**
 * State of an attempt that its home has abandoned. `never-started`: it was still in the wait queue. `unknown`: the
 * owner does not know it and will not start it from now on.
 */
export type Fate = "stopping" | "ended" | "never-started" | "unknown"

export interface FateAnswer {
  readonly attempt: string
  readonly fate: Fate
}

/** The attempts of one job group that the owner knows of. */
export interface Inventory {
  /** True when the state of every worker is known, so that attempts not named here do not run in the group. */
  readonly complete: boolean
  readonly running: readonly {readonly worker: string; readonly attempt: Attempt}[]
  readonly ended: readonly AttemptEnd[]
}

/** The epochs in the request are not current: the sender must look up the holder again. */
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
  readonly freeCapacity: () => FreeCapacity
  readonly reconcile: (listed: readonly ListedInstance[]) => void
  readonly workers: () => GroupWorkers
  /** Refuses new work, and resolves when every start order under way has been answered. */
  readonly drain: () => Promise<void>
  readonly close: () => void
}

/** A reservation that is not renewed within this span expires. */
const RESERVATION_TERM_MS: Milliseconds = 2500
const SWEEP_INTERVAL_MS: Milliseconds = 200
/** How long abandoned attempts are remembered, to refuse delayed or repeated start requests for them. */
const ABANDONED_RETENTION_MS: Milliseconds = 15 * 60_000
/** How long a worker stays set aside for the attempt that caused a preemption on it. */
const PREEMPTION_TERM_MS: Milliseconds = 5000
/** Free memory is advertised in whole multiples of this. */
const FREE_MEMORY_STEP_MEBIBYTES = 256

interface WaitingPlacement {
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
  /** Abandoned attempts, which must not be started any more, with the instant at which the entry is removed. */
  const abandonedAttempts = new Map<string, Milliseconds>()
  const waitingPlacements = new Map<string, WaitingPlacement>()
  /** Preemptions in progress, by the name of the attempt that they are for. */
  const preemptions = new Map<string, RunningPreemption>()
  const inFlight = new Set<Promise<unknown>>()
  /**
   * Only after this instant may a group without listed workers be taken to run nothing: task leases that an earlier
   * owner granted have expired by then.
   */
  const emptyGroupSettledAt = clock.now() + allowForDrift(TASK_LEASE_MS)
  let waitQueue: WaitQueue = []
  let draining = false
  let closed = false

  const workers = groupWorkers({
    clock,
    gateway: ports.gateway,
    log,
    instance: ports.instance,
    epoch: ports.epoch,
    onFreeCapacity: serveWaitQueue,
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
    const knownEpoch = homeEpochs.get(jobGroup) ?? 0
    if (homeEpoch < knownEpoch) return {refusal: `the job group is at epoch ${knownEpoch}, not ${homeEpoch}`}
    homeEpochs.set(jobGroup, homeEpoch)
    return undefined
  }

  /** Workers on which other attempts are preempting lower-priority work; the given attempt must not use them. */
  function preemptionTargetsOfOthers(attempt: string): ReadonlySet<string> {
    const now = clock.now()
    const targets = new Set<string>()
    for (const [name, preemption] of preemptions) {
      if (name !== attempt && preemption.until > now) targets.add(preemption.worker)
    }
    return targets
  }

  function trackInFlight<T>(work: Promise<T>): Promise<T> {
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
      "ordered a worker to start an attempt",
    )
    switch (result.type) {
      case "started":
        return {attempt: name, result: "started", worker, reason: ""}
      case "unsure":
        return {attempt: name, result: "unsure", worker, reason: "the worker has not confirmed the start"}
      case "refused":
        return refused(name, result.reason)
      case "never-started":
        return refused(name, "the worker did not accept the start order")
    }
  }

  /** Chooses a worker and starts the attempt there. Returns undefined when no worker has enough free capacity. */
  function tryStart(attempt: Attempt): Promise<PlacementAnswer> | undefined {
    const policy = placementPolicy(ports.policyOf(attempt.workload))
    const choice = chooseWorker(workers.ledger(), attempt, policy, preemptionTargetsOfOthers(attempt.attempt))
    if (choice.isErr()) return undefined
    preemptions.delete(attempt.attempt)
    return trackInFlight(startOn(choice.value.worker, attempt))
  }

  /** Attempts that must not be preempted now: they are being preempted already, or have run too briefly. */
  function nonPreemptibleAttempts(): ReadonlySet<string> {
    const protectedAttempts = new Set(
      [...preemptions.values()].flatMap(preemption => [...preemption.victims]),
    )
    for (const [name, entry] of workers.usage())
      if (entry.ranFor < MINIMUM_RUN_MS) protectedAttempts.add(name)
    return protectedAttempts
  }

  function preemptFor(attempt: Attempt, waited: Milliseconds): void {
    const highestPriority = highestPreemptiblePriority(attempt, waited)
    if (highestPriority < 0 || preemptions.has(attempt.attempt)) return
    const plan = choosePreemption(workers.ledger(), attempt, highestPriority, nonPreemptibleAttempts())
    if (!plan) return
    const until = clock.now() + PREEMPTION_TERM_MS
    preemptions.set(attempt.attempt, {worker: plan.worker, victims: new Set(plan.victims), until})
    const {worker, victims} = plan
    log.info(
      {event: "preemption", group, attempt: attempt.attempt, worker, victims},
      "checkpointing lower-priority work to free capacity for an attempt",
    )
    for (const victim of plan.victims) workers.checkpoint(victim)
  }

  /**
   * Starts the queued attempts that fit, in the order of the queue. After one attempt does not fit, others of the
   * same pool and demand are skipped in this pass.
   */
  function serveWaitQueue(): void {
    if (draining || closed || ports.epoch() === undefined) return
    const unplaceableShapes = new Set<string>()
    for (const waiting of waitQueue) {
      const {attempt} = waiting
      const shape = `${attempt.pool}/${attempt.demand.processors}/${attempt.demand.memoryMebibytes}/${attempt.demand.accelerators}`
      if (unplaceableShapes.has(shape)) continue
      const started = tryStart(attempt)
      if (!started) {
        unplaceableShapes.add(shape)
        preemptFor(attempt, clock.now() - waiting.arrivedAt)
        continue
      }
      waitQueue = removeWaiting(waitQueue, attempt.attempt)
      answerWaiting(attempt.attempt, started)
    }
  }

  function answerWaiting(attempt: string, answer: Promise<PlacementAnswer>): void {
    const placement = waitingPlacements.get(attempt)
    waitingPlacements.delete(attempt)
    if (placement) void answer.then(placement.resolve)
  }

  /** The answer to a repeated request for an attempt, or undefined when the attempt is new here. */
  function answerIfKnown(attempt: Attempt): PlacementAnswer | undefined {
    const name = attempt.attempt
    if (abandonedAttempts.has(name)) return refused(name, "the attempt was abandoned")
    if (workers.pendingEnds().has(name))
      return {attempt: name, result: "started", worker: "", reason: "the attempt has already ended"}
    const holder = [...workers.ledger().values()].find(worker => worker.held.has(name))
    return (
      holder && {
        attempt: name,
        result: "unsure",
        worker: holder.worker,
        reason: "the attempt is already held by a worker",
      }
    )
  }

  function placeOne(
    attempt: Attempt,
    wait: Milliseconds,
    rank: number,
    waited: Milliseconds,
  ): Promise<PlacementAnswer> {
    const repeated = answerIfKnown(attempt)
    if (repeated) return Promise.resolve(repeated)
    const started = mayBypassQueue(waitQueue, attempt, rank) ? tryStart(attempt) : undefined
    if (started) return started
    preemptFor(attempt, waited)
    if (wait <= 0) return Promise.resolve(refused(attempt.attempt, explainRefusal(attempt)))
    const now = clock.now()
    waitQueue = insertWaiting(waitQueue, {attempt, rank, arrivedAt: now - waited, expiresAt: now + wait})
    return new Promise(resolve => waitingPlacements.set(attempt.attempt, {resolve}))
  }

  function explainRefusal(attempt: Attempt): string {
    const choice = chooseWorker(workers.ledger(), attempt, placementPolicy("pack"))
    return choice.isErr() ? choice.error.explanation : "other attempts are ahead of it in the wait queue"
  }

  async function place(order: PlaceOrder): Promise<readonly PlacementAnswer[] | Refusal> {
    const refusal = checkEpochs(order.ownerEpoch, order.jobGroup, order.homeEpoch)
    if (refusal) return refusal
    if (draining)
      return order.attempts.map(attempt => refused(attempt.attempt, "the group is being handed over"))
    return Promise.all(order.attempts.map(attempt => placeOne(attempt, order.wait, order.rank, order.waited)))
  }

  /** Releases reservations of higher rank, which belong to younger work, until the attempt fits on some worker. */
  function releaseYoungerReservations(attempt: Attempt, rank: number): void {
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
    if (abandonedAttempts.has(name)) return refused(name, "the attempt was abandoned")
    const {reservation, rank} = order
    const renewed: Reservation = {reservation, attempt, expiresAt: clock.now() + RESERVATION_TERM_MS, rank}
    const holder = [...workers.ledger().values()].find(worker => worker.reserved.has(name))
    if (holder) {
      workers.apply({type: "reserved", worker: holder.worker, reservation: renewed})
      return {attempt: name, result: "reserved", worker: holder.worker, reason: ""}
    }
    const policy = placementPolicy(ports.policyOf(attempt.workload))
    let choice = chooseWorker(workers.ledger(), attempt, policy, preemptionTargetsOfOthers(name))
    if (choice.isErr()) {
      releaseYoungerReservations(attempt, rank)
      choice = chooseWorker(workers.ledger(), attempt, policy, preemptionTargetsOfOthers(name))
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
      const repeated = answerIfKnown(attempt)
      if (repeated) return Promise.resolve(repeated)
      const name = attempt.attempt
      const holder = [...workers.ledger().values()].find(worker => worker.reserved.has(name))
      if (!holder) return Promise.resolve(refused(name, "the reservation has expired or was released"))
      workers.apply({type: "unreserved", worker: holder.worker, attempt: name})
      if (!holder.isAcceptingWork)
        return Promise.resolve(refused(name, "the worker no longer accepts new work"))
      return trackInFlight(startOn(holder.worker, attempt))
    })
    return Promise.all(answers)
  }

  function markAbandoned(attempt: string): void {
    abandonedAttempts.set(attempt, clock.now() + ABANDONED_RETENTION_MS)
  }

  /** Withdraws the attempt from the wait queue, or stops or checkpoints it where it runs. */
  function abandonOne(attempt: string, checkpoint: boolean): Fate {
    if (workers.pendingEnds().has(attempt)) return "ended"
    if (waitQueue.some(waiting => waiting.attempt.attempt === attempt)) {
      waitQueue = removeWaiting(waitQueue, attempt)
      markAbandoned(attempt)
      answerWaiting(attempt, Promise.resolve(refused(attempt, "the attempt was abandoned")))
      return "never-started"
    }
    const acted = checkpoint ? workers.checkpoint(attempt) : workers.stop(attempt)
    if (acted) return "stopping"
    markAbandoned(attempt)
    return "unknown"
  }

  /** Removes expired entries and serves the wait queue, at a fixed interval. */
  function sweep(): void {
    if (closed) return
    const now = clock.now()
    const {expired, remaining: rest} = splitExpired(waitQueue, now)
    waitQueue = rest
    for (const {attempt} of expired) {
      answerWaiting(attempt.attempt, Promise.resolve(refused(attempt.attempt, explainRefusal(attempt))))
    }
    for (const [name, until] of abandonedAttempts) if (until < now) abandonedAttempts.delete(name)
    for (const [name, preemption] of preemptions) if (preemption.until < now) preemptions.delete(name)
    for (const worker of workers.ledger().values()) {
      for (const held of worker.reserved.values()) {
        if (held.expiresAt > now) continue
        workers.apply({type: "unreserved", worker: worker.worker, attempt: held.attempt.attempt})
      }
    }
    serveWaitQueue()
    if (workers.pendingEnds().size > 0) reporter.reportDueEnds()
    clock.after(SWEEP_INTERVAL_MS, sweep)
  }

  function freeCapacity(): FreeCapacity {
    const open = [...workers.ledger().values()].filter(worker => worker.isAcceptingWork)
    const totalFree = open.reduce((amount, worker) => add(amount, freeCapacityOf(worker)), NO_RESOURCES)
    const largestFree = open.reduce(
      (amount, worker) => componentwiseMax(amount, freeCapacityOf(worker)),
      NO_RESOURCES,
    )
    const totalCapacity = [...workers.ledger().values()].reduce(
      (amount, worker) => add(amount, worker.capacity),
      NO_RESOURCES,
    )
    const roundMemoryDown = (amount: number): number =>
      Math.floor(amount / FREE_MEMORY_STEP_MEBIBYTES) * FREE_MEMORY_STEP_MEBIBYTES
    return {
      processors: Math.floor(totalFree.processors),
      memoryMebibytes: roundMemoryDown(totalFree.memoryMebibytes),
      accelerators: totalFree.accelerators,
      largestProcessors: Math.floor(largestFree.processors),
      largestMemoryMebibytes: roundMemoryDown(largestFree.memoryMebibytes),
      largestAccelerators: largestFree.accelerators,
      idleSlots: 0,
      waiting: waitQueue.length,
      totalProcessors: Math.floor(totalCapacity.processors),
      totalMemoryMebibytes: roundMemoryDown(totalCapacity.memoryMebibytes),
      totalAccelerators: totalCapacity.accelerators,
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
      return attempts.map(attempt => ({attempt, fate: abandonOne(attempt, checkpoint)}))
    },
    inventory(ownerEpoch, jobGroup, homeEpoch) {
      const refusal = checkEpochs(ownerEpoch, jobGroup, homeEpoch)
      if (refusal) return refusal
      return {
        complete: workers.isSettled() && (workers.ledger().size > 0 || clock.now() > emptyGroupSettledAt),
        running: workers.running().filter(entry => entry.attempt.jobGroup === jobGroup),
        ended: [...workers.pendingEnds().values()].filter(end => end.jobGroup === jobGroup),
      }
    },
    freeCapacity,
    reconcile: workers.reconcile,
    workers: () => workers,
    async drain() {
      draining = true
      for (const {attempt} of waitQueue) {
        answerWaiting(
          attempt.attempt,
          Promise.resolve(refused(attempt.attempt, "the group is being handed over")),
        )
      }
      waitQueue = []
      await Promise.allSettled([...inFlight])
    },
    close() {
      closed = true
      reporter.close()
      for (const [attempt, placement] of waitingPlacements)
        placement.resolve(refused(attempt, "this instance no longer holds the group"))
      waitingPlacements.clear()
      workers.close()
    },
  }
}
