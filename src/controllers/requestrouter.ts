/**
 * Routes the requests of one service at one entry instance: admits or sheds them, gives each a slot of a backend
 * server, and learns from the outcomes. Every decision is logged with its inputs.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {LacewingError} from "../core/errors.js"
import type {Random} from "../core/random.js"
import type {ServiceDefinition} from "../document/model.js"
import {admissionQueue, expectedWait, maxSlotsForLongRequests, serviceTimes} from "../routing/admission.js"
import type {LaneName, WaitingRequest} from "../routing/admission.js"
import {latencyOf, recordResponse, recordFailure, excludedServers} from "../routing/outliers.js"
import type {ServerHealths} from "../routing/outliers.js"
import {canRetry, newRetryBudget, recordFirstAttempt, recordRetry} from "../routing/retrybudget.js"
import type {RetryBudget} from "../routing/retrybudget.js"
import type {PeerNetwork} from "../peer/api.js"
import type {Logger} from "../core/logger.js"
import {slotBorrower} from "./slotborrower.js"
import type {LendingGroup, Slot, SlotBorrower} from "./slotborrower.js"

/** The request was shed: it has certainly not run. */
export class RequestShed extends LacewingError {
  readonly code = "request-shed"
  readonly retryAfter: Milliseconds

  constructor(reason: string, retryAfter: Milliseconds) {
    super(reason)
    this.retryAfter = retryAfter
  }
}

export interface RoutedRequest {
  readonly id: string
  /** Method and the shape of the path, by which service times are learned. */
  readonly requestClass: string
  readonly urgency: number
  readonly deadlineAt: Milliseconds
  /** Servers that this request has failed on. */
  readonly avoid: ReadonlySet<string>
}

export interface RequestRouterPorts {
  readonly clock: Clock
  readonly random: Random
  readonly network: PeerNetwork
  readonly log: Logger
  readonly instance: string
  readonly incarnation: () => string
  readonly dataCentre: string
  readonly definition: () => ServiceDefinition
  readonly groups: () => readonly LendingGroup[]
  readonly onReturned: (slot: Slot) => void
}

export interface RequestRouter {
  readonly acquire: (request: RoutedRequest) => Promise<Result<Slot, RequestShed>>
  /** Takes the request out of the queue, because its caller has gone. */
  readonly withdraw: (id: string) => void
  /** The server has answered the whole request. */
  readonly succeeded: (
    request: RoutedRequest,
    slot: Slot,
    firstByte: Milliseconds,
    took: Milliseconds,
  ) => void
  /** The request has ended at the server, or never reached it, but without a good answer. */
  readonly failed: (slot: Slot, blame: boolean) => void
  /** The request may still be in hand at the server. */
  readonly leftInDoubt: (slot: Slot, blame: boolean) => void
  readonly mayRetry: () => boolean
  readonly noteRetry: () => void
  readonly expectedTime: (requestClass: string) => Milliseconds | undefined
  readonly borrower: () => SlotBorrower
  readonly waiting: () => number
  readonly close: () => void
}

const EXPIRY_MS: Milliseconds = 20
/** Span for which a short request keeps room from long ones. */
const SHORT_MEMORY_MS: Milliseconds = 10_000
/** Cost of a server in another data centre, as time to the first byte. */
const REMOTE_COST_MS: Milliseconds = 2

interface Waiter {
  readonly request: RoutedRequest
  readonly lane: LaneName
  readonly resolve: (result: Result<Slot, RequestShed>) => void
}

/** Creates the router of one service. */
export function requestRouter(service: string, ports: RequestRouterPorts): RequestRouter {
  const {clock, log} = ports
  const queue = admissionQueue()
  const waiters = new Map<string, Waiter>()
  const times = serviceTimes()
  const laneOfSlot = new Map<string, LaneName>()
  let healths: ServerHealths = new Map()
  let budget: RetryBudget = newRetryBudget(ports.definition().retryShare)
  let shortSeenAt: Milliseconds = Number.NEGATIVE_INFINITY
  let closed = false

  const borrower = slotBorrower({
    clock,
    random: ports.random,
    network: ports.network,
    instance: ports.instance,
    incarnation: ports.incarnation,
    service,
    groups: ports.groups,
    waiting: () => queue.size(),
    onSlots: serve,
    onReturned: ports.onReturned,
  })

  function longInUse(): number {
    let count = 0
    for (const lane of laneOfSlot.values()) if (lane === "long") count += 1
    return count
  }

  function serverCost(slot: Slot): number {
    return latencyOf(healths, slot.server) + (slot.dataCentre === ports.dataCentre ? 0 : REMOTE_COST_MS)
  }

  /** The best idle slot for the request. Servers that were put out or failed it before are a last resort. */
  function chooseSlot(request: RoutedRequest): Slot | undefined {
    const idle = borrower.idle()
    if (idle.length === 0) return undefined
    const out = excludedServers(healths, [...new Set(idle.map(slot => slot.server))], clock.now())
    const good = idle.filter(slot => !out.has(slot.server) && !request.avoid.has(slot.server))
    const untried = idle.filter(slot => !request.avoid.has(slot.server))
    const usable = [good, untried, idle].find(slots => slots.length > 0) ?? []
    return usable.reduce<Slot | undefined>(
      (best, slot) => (best && serverCost(best) <= serverCost(slot) ? best : slot),
      undefined,
    )
  }

  function laneFor(requestClass: string): LaneName {
    const expected = times.expected(requestClass)
    return expected !== undefined && expected >= ports.definition().shortUnder ? "long" : "short"
  }

  function tryTake(request: RoutedRequest, lane: LaneName): Slot | undefined {
    const slot = chooseSlot(request)
    if (!slot || !borrower.take(slot)) return undefined
    laneOfSlot.set(slot.id, lane)
    log.info(
      {
        event: "routing",
        service,
        request: request.id,
        server: slot.server,
        lane,
        waiting: queue.size(),
        held: borrower.held(),
      },
      "routed a request",
    )
    return slot
  }

  /** Slots that long requests may use: all of them while no short ones are about. */
  function longAllowance(): number {
    const shortsAreAbout = clock.now() < shortSeenAt + SHORT_MEMORY_MS
    return shortsAreAbout ? maxSlotsForLongRequests(borrower.held()) : borrower.held()
  }

  /** A short request passes long ones that wait; nothing passes its own kind. */
  function mayTakeAtOnce(lane: LaneName): boolean {
    if (lane === "short") return queue.lengthOf("short") === 0
    return queue.size() === 0 && longInUse() < longAllowance()
  }

  function serve(): void {
    while (queue.size() > 0 && borrower.idle().length > 0) {
      const next = queue.next(longInUse() < longAllowance())
      if (!next) return
      const waiter = waiters.get(next.id)
      if (!waiter) continue
      const slot = tryTake(waiter.request, waiter.lane)
      if (!slot) {
        queue.add(next)
        return
      }
      waiters.delete(next.id)
      waiter.resolve(ok(slot))
    }
  }

  function shed(request: RoutedRequest, reason: string, retryAfter: Milliseconds): Result<Slot, RequestShed> {
    log.info(
      {event: "shed", service, request: request.id, reason, waiting: queue.size(), held: borrower.held()},
      "shed a request",
    )
    return err(new RequestShed(reason, retryAfter))
  }

  function acquire(request: RoutedRequest): Promise<Result<Slot, RequestShed>> {
    const now = clock.now()
    const lane = laneFor(request.requestClass)
    if (request.deadlineAt <= now) return Promise.resolve(shed(request, "the deadline has passed", 0))
    if (lane === "short") shortSeenAt = now
    const slot = mayTakeAtOnce(lane) ? tryTake(request, lane) : undefined
    if (slot) return Promise.resolve(ok(slot))
    const wait = expectedWait(queue.lengthOf(lane), borrower.held(), times.mean())
    if (queue.size() >= ports.definition().queue)
      return Promise.resolve(shed(request, "the queue is full", Math.max(1000, wait)))
    const expected = times.expected(request.requestClass) ?? 0
    if (wait > 0 && now + wait + expected > request.deadlineAt) {
      return Promise.resolve(
        shed(request, "it could not be answered before its deadline", Math.max(1000, wait)),
      )
    }
    return new Promise(resolve => {
      waiters.set(request.id, {request, lane, resolve})
      const {id, urgency, deadlineAt} = request
      const waiting: WaitingRequest = {id, lane, urgency, deadlineAt}
      queue.add(waiting)
      borrower.wake()
      serve()
    })
  }

  function expire(): void {
    if (closed) return
    for (const {id} of queue.expire(clock.now())) {
      const waiter = waiters.get(id)
      waiters.delete(id)
      waiter?.resolve(shed(waiter.request, "the deadline passed while it waited", 1000))
    }
    clock.after(EXPIRY_MS, expire)
  }

  function blameServer(slot: Slot, blame: boolean): void {
    if (blame) healths = recordFailure(healths, slot.server, clock.now())
  }

  expire()

  return {
    acquire(request) {
      budget = request.avoid.size === 0 ? recordFirstAttempt(budget) : budget
      return acquire(request)
    },
    withdraw(id) {
      queue.remove(id)
      const waiter = waiters.get(id)
      waiters.delete(id)
      waiter?.resolve(err(new RequestShed("the caller has gone", 0)))
    },
    succeeded(request, slot, firstByte, took) {
      laneOfSlot.delete(slot.id)
      times.record(request.requestClass, took)
      healths = recordResponse(healths, slot.server, firstByte)
      borrower.release(slot)
      serve()
    },
    failed(slot, blame) {
      laneOfSlot.delete(slot.id)
      blameServer(slot, blame)
      borrower.release(slot)
      serve()
    },
    leftInDoubt(slot, blame) {
      laneOfSlot.delete(slot.id)
      blameServer(slot, blame)
      borrower.forfeit(slot)
      serve()
    },
    mayRetry: () => canRetry(budget),
    noteRetry() {
      budget = recordRetry(budget)
    },
    expectedTime: requestClass => times.expected(requestClass),
    borrower: () => borrower,
    waiting: () => queue.size(),
    close() {
      closed = true
      for (const waiter of waiters.values())
        waiter.resolve(err(new RequestShed("the instance is stopping", 0)))
      waiters.clear()
      borrower.close()
    },
  }
}
