/**
 * Routes the requests of one service at one entry instance: admits or sheds each request, assigns it a slot of a
 * backend server, and updates its estimates of service times and server health from the outcomes. Each routing and
 * shedding decision is logged with its inputs.
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

/** The request was shed instead of being sent to a backend server: this attempt at it has certainly not run. */
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
  /** Method and path pattern. Service times are estimated for each class. */
  readonly requestClass: string
  /** RFC 9218 urgency: 0 is served first, 7 last. */
  readonly urgency: number
  readonly deadlineAt: Milliseconds
  /** Servers on which this request has already failed. */
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
  /** Called when a slot was returned to its owner and its connection is not needed any more. */
  readonly onReturned: (slot: Slot) => void
}

export interface RequestRouter {
  readonly acquire: (request: RoutedRequest) => Promise<Result<Slot, RequestShed>>
  /** Removes the request from the queue because its caller has disconnected. */
  readonly cancelWaiting: (id: string) => void
  /** The server has answered the request completely. */
  readonly recordSuccess: (
    request: RoutedRequest,
    slot: Slot,
    timeToFirstByte: Milliseconds,
    duration: Milliseconds,
  ) => void
  /** The request failed, and is certainly not in progress at the server: it has ended there or never reached it. */
  readonly recordFailure: (slot: Slot, isServerFault: boolean) => void
  /** The request failed, but may still be in progress at the server: its slot is in doubt. */
  readonly recordInDoubt: (slot: Slot, isServerFault: boolean) => void
  readonly mayRetry: () => boolean
  readonly recordRetry: () => void
  /** Estimated service time of the class; undefined when there is none yet. */
  readonly expectedTime: (requestClass: string) => Milliseconds | undefined
  readonly borrower: () => SlotBorrower
  readonly waiting: () => number
  readonly close: () => void
}

const EXPIRY_CHECK_INTERVAL_MS: Milliseconds = 20
/** After a short request, part of the slots is kept free of long requests for this span. */
const SHORT_REQUEST_RESERVE_MS: Milliseconds = 10_000
/** Added to the time to the first byte of servers in other data centres when servers are compared. */
const REMOTE_PENALTY_MS: Milliseconds = 2

interface QueuedRequest {
  readonly request: RoutedRequest
  readonly lane: LaneName
  readonly resolve: (result: Result<Slot, RequestShed>) => void
}

/** Creates the router of one service. */
export function requestRouter(service: string, ports: RequestRouterPorts): RequestRouter {
  const {clock, log} = ports
  const queue = admissionQueue()
  const queuedRequests = new Map<string, QueuedRequest>()
  const serviceTimeEstimates = serviceTimes()
  const laneOfSlot = new Map<string, LaneName>()
  let healths: ServerHealths = new Map()
  let budget: RetryBudget = newRetryBudget(ports.definition().retryShare)
  let lastShortRequestAt: Milliseconds = Number.NEGATIVE_INFINITY
  let closed = false

  const borrower = slotBorrower({
    clock,
    random: ports.random,
    network: ports.network,
    instance: ports.instance,
    incarnation: ports.incarnation,
    service,
    groups: ports.groups,
    waitingCount: () => queue.size(),
    onSlotsAvailable: serveQueue,
    onReturned: ports.onReturned,
  })

  function slotsInLongUse(): number {
    let count = 0
    for (const lane of laneOfSlot.values()) if (lane === "long") count += 1
    return count
  }

  function serverCost(slot: Slot): number {
    return latencyOf(healths, slot.server) + (slot.dataCentre === ports.dataCentre ? 0 : REMOTE_PENALTY_MS)
  }

  /**
   * The idle slot with the lowest cost. Servers that are ejected as outliers are used only when no others have idle
   * slots, and servers on which the request has already failed only as a last resort.
   */
  function chooseSlot(request: RoutedRequest): Slot | undefined {
    const idle = borrower.idle()
    if (idle.length === 0) return undefined
    const ejected = excludedServers(healths, [...new Set(idle.map(slot => slot.server))], clock.now())
    const preferred = idle.filter(slot => !ejected.has(slot.server) && !request.avoid.has(slot.server))
    const notFailedBefore = idle.filter(slot => !request.avoid.has(slot.server))
    const usable = [preferred, notFailedBefore, idle].find(slots => slots.length > 0) ?? []
    return usable.reduce<Slot | undefined>(
      (best, slot) => (best && serverCost(best) <= serverCost(slot) ? best : slot),
      undefined,
    )
  }

  function chooseLane(requestClass: string): LaneName {
    const expected = serviceTimeEstimates.expected(requestClass)
    return expected !== undefined && expected >= ports.definition().shortUnder ? "long" : "short"
  }

  function tryTakeSlot(request: RoutedRequest, lane: LaneName): Slot | undefined {
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

  /** Number of slots that long requests may use: all of them when there was no short request lately. */
  function longSlotLimit(): number {
    const hasRecentShortRequest = clock.now() < lastShortRequestAt + SHORT_REQUEST_RESERVE_MS
    return hasRecentShortRequest ? maxSlotsForLongRequests(borrower.held()) : borrower.held()
  }

  /** True when the request need not queue. A short request may pass queued long ones, but no request its own lane. */
  function mayBypassQueue(lane: LaneName): boolean {
    if (lane === "short") return queue.lengthOf("short") === 0
    return queue.size() === 0 && slotsInLongUse() < longSlotLimit()
  }

  /** Assigns idle slots to queued requests. */
  function serveQueue(): void {
    while (queue.size() > 0 && borrower.idle().length > 0) {
      const next = queue.next(slotsInLongUse() < longSlotLimit())
      if (!next) return
      const queued = queuedRequests.get(next.id)
      if (!queued) continue
      const slot = tryTakeSlot(queued.request, queued.lane)
      if (!slot) {
        queue.add(next)
        return
      }
      queuedRequests.delete(next.id)
      queued.resolve(ok(slot))
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
    const lane = chooseLane(request.requestClass)
    if (request.deadlineAt <= now) return Promise.resolve(shed(request, "the deadline has passed", 0))
    if (lane === "short") lastShortRequestAt = now
    const slot = mayBypassQueue(lane) ? tryTakeSlot(request, lane) : undefined
    if (slot) return Promise.resolve(ok(slot))
    const wait = expectedWait(queue.lengthOf(lane), borrower.held(), serviceTimeEstimates.mean())
    if (queue.size() >= ports.definition().queue)
      return Promise.resolve(shed(request, "the queue is full", Math.max(1000, wait)))
    const expected = serviceTimeEstimates.expected(request.requestClass) ?? 0
    if (wait > 0 && now + wait + expected > request.deadlineAt) {
      return Promise.resolve(
        shed(request, "the request could not be answered before its deadline", Math.max(1000, wait)),
      )
    }
    return new Promise(resolve => {
      queuedRequests.set(request.id, {request, lane, resolve})
      const {id, urgency, deadlineAt} = request
      const waiting: WaitingRequest = {id, lane, urgency, deadlineAt}
      queue.add(waiting)
      borrower.wake()
      serveQueue()
    })
  }

  /** Sheds queued requests whose deadline has passed, at a fixed interval. */
  function expire(): void {
    if (closed) return
    for (const {id} of queue.expire(clock.now())) {
      const queued = queuedRequests.get(id)
      queuedRequests.delete(id)
      queued?.resolve(shed(queued.request, "the deadline passed while the request was queued", 1000))
    }
    clock.after(EXPIRY_CHECK_INTERVAL_MS, expire)
  }

  function recordServerFault(slot: Slot, isServerFault: boolean): void {
    if (isServerFault) healths = recordFailure(healths, slot.server, clock.now())
  }

  expire()

  return {
    acquire(request) {
      budget = request.avoid.size === 0 ? recordFirstAttempt(budget) : budget
      return acquire(request)
    },
    cancelWaiting(id) {
      queue.remove(id)
      const queued = queuedRequests.get(id)
      queuedRequests.delete(id)
      queued?.resolve(err(new RequestShed("the caller has disconnected", 0)))
    },
    recordSuccess(request, slot, timeToFirstByte, duration) {
      laneOfSlot.delete(slot.id)
      serviceTimeEstimates.record(request.requestClass, duration)
      healths = recordResponse(healths, slot.server, timeToFirstByte)
      borrower.release(slot)
      serveQueue()
    },
    recordFailure(slot, isServerFault) {
      laneOfSlot.delete(slot.id)
      recordServerFault(slot, isServerFault)
      borrower.release(slot)
      serveQueue()
    },
    recordInDoubt(slot, isServerFault) {
      laneOfSlot.delete(slot.id)
      recordServerFault(slot, isServerFault)
      borrower.markInDoubt(slot)
      serveQueue()
    },
    mayRetry: () => canRetry(budget),
    recordRetry() {
      budget = recordRetry(budget)
    },
    expectedTime: requestClass => serviceTimeEstimates.expected(requestClass),
    borrower: () => borrower,
    waiting: () => queue.size(),
    close() {
      closed = true
      for (const queued of queuedRequests.values())
        queued.resolve(err(new RequestShed("the instance is stopping", 0)))
      queuedRequests.clear()
      borrower.close()
    },
  }
}
