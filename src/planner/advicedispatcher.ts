/**
 * Distributes requests to the advice service over the instances. The advice service decides which workers may run a
 * step. It handles one call at a time for each instance, so each instance has at most one call in flight. Long calls
 * leave some instances free for short ones.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {AdviceQuestion, AdviceReply} from "../peer/fleet.js"
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
  /** Until an instance was free. */
  readonly queued: Milliseconds
  /** From sending the call to the instance until its answer was read. */
  readonly roundTrip: Milliseconds
  /** At the instance, until its turn at the service. */
  readonly turn: Milliseconds
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

const LONG_CALL_MS: Milliseconds = 300
/** One in this many instances, and at least one, is left free for short calls. */
const INSTANCES_PER_SHORT_CALL_SLOT = 4
/** Added to the expected duration of a call to get its timeout. */
const ANSWER_SLACK_MS: Milliseconds = 500
/** How long an instance is not used after a failed call. */
const AVOID_AFTER_FAILURE_MS: Milliseconds = 1000

interface QueuedRequest {
  readonly request: AdviceRequest
  readonly submittedAt: Milliseconds
}

/** Creates a dispatcher of the leader of the term. `listRequesters` returns the instances that are available at present. */
export function createAdviceDispatcher(
  clock: Clock,
  log: Logger,
  term: number,
  listRequesters: () => readonly AdviceRequester[],
): AdviceDispatcher {
  const queue: QueuedRequest[] = []
  /** For each instance with a call in flight, by name, whether that call is a long one. */
  const isLongCallByInstance = new Map<string, boolean>()
  const avoidedUntil = new Map<string, Milliseconds>()

  /** Instances without a call in flight that are not avoided. */
  function findAvailable(): readonly AdviceRequester[] {
    const now = clock.now()
    return listRequesters().filter(
      ({name}) => !isLongCallByInstance.has(name) && (avoidedUntil.get(name) ?? 0) <= now,
    )
  }

  /** Removes the most urgent request from the queue; the oldest of equal ones. */
  function takeNext(mayBeLong: boolean): QueuedRequest | undefined {
    let found = -1
    queue.forEach(({request}, index) => {
      if (!mayBeLong && request.duration > LONG_CALL_MS) return
      if (found < 0 || request.priority < (queue[found]?.request.priority ?? 0)) found = index
    })
    return found < 0 ? undefined : queue.splice(found, 1)[0]
  }

  function mayStartLongCall(): boolean {
    const total = listRequesters().length
    const long = [...isLongCallByInstance.values()].filter(Boolean).length
    return long < Math.max(1, total - Math.max(1, Math.floor(total / INSTANCES_PER_SHORT_CALL_SLOT)))
  }

  async function send(requester: AdviceRequester, {request, submittedAt}: QueuedRequest): Promise<void> {
    isLongCallByInstance.set(requester.name, request.duration > LONG_CALL_MS)
    const sentAt = clock.now()
    const {step, workers, priority, duration} = request
    const reply = await requester.requestAdvice({
      step,
      workers,
      timeoutMs: duration + ANSWER_SLACK_MS,
      term,
      priority,
      durationMs: duration,
    })
    const permits = reply?.permits
    isLongCallByInstance.delete(requester.name)
    if (!permits) {
      avoidedUntil.set(requester.name, clock.now() + AVOID_AFTER_FAILURE_MS)
      clock.after(AVOID_AFTER_FAILURE_MS, dispatch)
      log.warn(
        {event: "advice-failed", instance: requester.name, step: request.step},
        "the advice service did not answer",
      )
    }
    request.onAnswer(permits, Math.min(clock.now(), sentAt + request.duration), {
      instance: requester.name,
      queued: Math.round(sentAt - submittedAt),
      roundTrip: Math.round(clock.now() - sentAt),
      turn: Math.round(reply?.queuedMs ?? 0),
      service: Math.round(reply?.serviceMs ?? 0),
    })
    dispatch()
  }

  /** Like `takeNext`, but drops requests that are no longer wanted. */
  function takeNextWanted(): QueuedRequest | undefined {
    let queued = takeNext(mayStartLongCall())
    while (queued && !queued.request.isWanted()) {
      queued.request.onAnswer(undefined, clock.now(), undefined)
      queued = takeNext(mayStartLongCall())
    }
    return queued
  }

  /**
   * Sends queued requests to available instances. Short calls, for which urgent work waits, go to the most powerful
   * instances and long calls to the least powerful ones.
   */
  function dispatch(): void {
    if (queue.length === 0) return
    const free = [...findAvailable()].sort((one, other) => other.processors - one.processors)
    while (free.length > 0) {
      const queued = takeNextWanted()
      if (!queued) return
      const requester = queued.request.duration > LONG_CALL_MS ? free.pop() : free.shift()
      if (requester) void send(requester, queued)
    }
  }

  return {
    submit(request) {
      queue.push({request, submittedAt: clock.now()})
      dispatch()
    },
    countIdle: () => findAvailable().length - queue.length,
  }
}
