/**
 * Distributes requests to the advice service over the instances. The advice service decides which workers may run a
 * step. It handles one call at a time for each instance, so each instance has at most one call in flight. An instance
 * whose turn is taken otherwise, as by a call of a former leader, says for how long. `adviceturns.ts` decides which call
 * is made next.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {AdviceQuestion, AdviceReply} from "../peer/fleet.js"
import {chooseCallMaker, findNextCall, isLongCall, mayMakeLongCall} from "../pipelines/adviceturns.js"
import type {Permit} from "../pipelines/ports.js"

/** An instance that can call the advice service. */
export interface AdviceRequester {
  readonly name: string
  /** Processing power that the instance may use, in processors of normal speed. */
  readonly processors: number
  /** Resolves to undefined when the instance gave no answer. */
  readonly requestAdvice: (question: AdviceQuestion) => Promise<AdviceReply | undefined>
}

/** Where the time of a call went, in milliseconds. */
export interface AdviceWaits {
  readonly instance: string
  /** Until it was sent to the instance that made it. */
  readonly queued: Milliseconds
  /** From sending the call to the instance until its answer was read. */
  readonly roundTrip: Milliseconds
  /** At the service, as the instance saw it. */
  readonly service: Milliseconds
}

export interface AdviceRequest {
  readonly step: string
  readonly workers: readonly string[]
  /** Requests with a lower number are sent first. */
  readonly priority: number
  /** Expected processing time at the advice service. */
  readonly duration: Milliseconds
  /** False when the answer is no longer needed. */
  readonly isWanted: () => boolean
  /**
   * Called once; with undefined when the call failed or the request was dropped as no longer wanted. The service has
   * decided at `decidedAt` or later.
   */
  readonly onAnswer: (
    permits: readonly Permit[] | undefined,
    decidedAt: Milliseconds,
    waits: AdviceWaits | undefined,
  ) => void
}

export interface AdviceDispatcher {
  readonly submit: (request: AdviceRequest) => void
  /** Available instances less the queued requests. */
  readonly countIdle: () => number
}

/** Added to the expected duration of a call to get its timeout. */
const ANSWER_SLACK_MS: Milliseconds = 500
/** How long an instance is not used after a failed call. */
const AVOID_AFTER_FAILURE_MS: Milliseconds = 1000

interface QueuedRequest {
  readonly request: AdviceRequest
  readonly submittedAt: Milliseconds
}

/** Creates a dispatcher. `listRequesters` returns the instances that are available at present. */
export function createAdviceDispatcher(
  clock: Clock,
  log: Logger,
  listRequesters: () => readonly AdviceRequester[],
): AdviceDispatcher {
  const queue: QueuedRequest[] = []
  /** For each instance with a call in flight, by name, whether that call is a long one. */
  const isLongCallByInstance = new Map<string, boolean>()
  const avoidedUntil = new Map<string, Milliseconds>()

  /** Instances without a call in flight that are not avoided. */
  function findAvailable(requesters: readonly AdviceRequester[]): readonly AdviceRequester[] {
    const now = clock.now()
    return requesters.filter(
      ({name}) => !isLongCallByInstance.has(name) && (avoidedUntil.get(name) ?? 0) <= now,
    )
  }

  /** Removes the most urgent request from the queue that may be sent. */
  function takeNext(instances: number): QueuedRequest | undefined {
    const longCalls = [...isLongCallByInstance.values()].filter(Boolean).length
    const waiting = queue.map(({request}) => request)
    const next = findNextCall(waiting, mayMakeLongCall(instances, longCalls))
    return next < 0 ? undefined : queue.splice(next, 1)[0]
  }

  async function send(requester: AdviceRequester, queued: QueuedRequest): Promise<void> {
    const {name} = requester
    const {request, submittedAt} = queued
    isLongCallByInstance.set(name, isLongCall(request))
    const sentAt = clock.now()
    const {step, workers, duration} = request
    const reply = await requester.requestAdvice({
      step,
      workers,
      timeoutMs: duration + ANSWER_SLACK_MS,
      durationMs: duration,
    })
    const {permits, busyMs = 0, serviceMs = 0} = reply ?? {}
    isLongCallByInstance.delete(name)
    if (busyMs > 0) {
      avoid(name, busyMs)
      queue.unshift(queued)
      dispatch()
      return
    }
    if (!permits) {
      avoid(name, AVOID_AFTER_FAILURE_MS)
      log.warn({event: "advice-failed", instance: name, step}, "the advice service did not answer")
    }
    request.onAnswer(permits, Math.min(clock.now(), sentAt + duration), {
      instance: name,
      queued: Math.round(sentAt - submittedAt),
      roundTrip: Math.round(clock.now() - sentAt),
      service: Math.round(serviceMs),
    })
    dispatch()
  }

  function avoid(name: string, span: Milliseconds): void {
    avoidedUntil.set(name, clock.now() + span)
    clock.after(span, dispatch)
  }

  /** Like `takeNext`, but drops requests that are no longer wanted. */
  function takeNextWanted(instances: number): QueuedRequest | undefined {
    let queued = takeNext(instances)
    while (queued && !queued.request.isWanted()) {
      queued.request.onAnswer(undefined, clock.now(), undefined)
      queued = takeNext(instances)
    }
    return queued
  }

  /** Sends queued requests to available instances. */
  function dispatch(): void {
    if (queue.length === 0) return
    const requesters = listRequesters()
    const free = new Set(findAvailable(requesters))
    while (free.size > 0) {
      const queued = takeNextWanted(requesters.length)
      if (!queued) return
      const requester = chooseCallMaker(queued.request, [...free])
      if (!requester) return
      free.delete(requester)
      void send(requester, queued)
    }
  }

  return {
    submit(request) {
      queue.push({request, submittedAt: clock.now()})
      dispatch()
    },
    countIdle: () => findAvailable(listRequesters()).length - queue.length,
  }
}
