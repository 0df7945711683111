/**
 * Distributes requests to the advice service over the instances. The advice service decides which workers may run a
 * step. It handles one call at a time for each instance, so each instance has at most one call in flight. Long calls
 * leave some instances free for short ones.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {Permit} from "../pipelines/ports.js"

/** An instance that can call the advice service. */
export interface AdviceRequester {
  readonly name: string
  /** Processing power that the instance may use, in processors of normal speed. */
  readonly processors: number
  /** Resolves to undefined when the service gave no answer. */
  readonly requestAdvice: (
    step: string,
    workers: readonly string[],
    timeout: Milliseconds,
  ) => Promise<readonly Permit[] | undefined>
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
  readonly onAnswer: (permits: readonly Permit[] | undefined, decidedAt: Milliseconds) => void
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

/** Creates a dispatcher. `listRequesters` returns the instances that are available at present. */
export function createAdviceDispatcher(
  clock: Clock,
  log: Logger,
  listRequesters: () => readonly AdviceRequester[],
): AdviceDispatcher {
  const queue: AdviceRequest[] = []
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
  function takeNext(mayBeLong: boolean): AdviceRequest | undefined {
    let found = -1
    queue.forEach((request, index) => {
      if (!mayBeLong && request.duration > LONG_CALL_MS) return
      if (found < 0 || request.priority < (queue[found]?.priority ?? 0)) found = index
    })
    return found < 0 ? undefined : queue.splice(found, 1)[0]
  }

  function mayStartLongCall(): boolean {
    const total = listRequesters().length
    const long = [...isLongCallByInstance.values()].filter(Boolean).length
    return long < Math.max(1, total - Math.max(1, Math.floor(total / INSTANCES_PER_SHORT_CALL_SLOT)))
  }

  async function send(requester: AdviceRequester, request: AdviceRequest): Promise<void> {
    isLongCallByInstance.set(requester.name, request.duration > LONG_CALL_MS)
    const sentAt = clock.now()
    const permits = await requester.requestAdvice(
      request.step,
      request.workers,
      request.duration + ANSWER_SLACK_MS,
    )
    isLongCallByInstance.delete(requester.name)
    if (!permits) {
      avoidedUntil.set(requester.name, clock.now() + AVOID_AFTER_FAILURE_MS)
      clock.after(AVOID_AFTER_FAILURE_MS, dispatch)
      log.warn(
        {event: "advice-failed", instance: requester.name, step: request.step},
        "the advice service did not answer",
      )
    }
    request.onAnswer(permits, Math.min(clock.now(), sentAt + request.duration))
    dispatch()
  }

  /** Like `takeNext`, but drops requests that are no longer wanted. */
  function takeNextWanted(): AdviceRequest | undefined {
    let request = takeNext(mayStartLongCall())
    while (request && !request.isWanted()) {
      request.onAnswer(undefined, clock.now())
      request = takeNext(mayStartLongCall())
    }
    return request
  }

  /**
   * Sends queued requests to available instances. Short calls, for which urgent work waits, go to the most powerful
   * instances and long calls to the least powerful ones.
   */
  function dispatch(): void {
    if (queue.length === 0) return
    const free = [...findAvailable()].sort((one, other) => other.processors - one.processors)
    while (free.length > 0) {
      const request = takeNextWanted()
      if (!request) return
      const requester = request.duration > LONG_CALL_MS ? free.pop() : free.shift()
      if (requester) void send(requester, request)
    }
  }

  return {
    submit(request) {
      queue.push(request)
      dispatch()
    },
    countIdle: () => findAvailable().length - queue.length,
  }
}
