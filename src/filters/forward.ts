/**
 * Forwards a request to a backend server and streams the answer to the caller. A request is retried only if the retry
 * budget allows it and the request is idempotent or provably has not run. A truncated answer is never presented as
 * complete: the caller's connection is closed as well.
 */
import {once} from "node:events"
import type {Writable} from "node:stream"
import type {Clock, Milliseconds} from "../core/clock.js"
import type {BackendAnswer, BackendClient, BackendOutcome} from "../controllers/backendclient.js"
import type {Logger} from "../core/logger.js"
import type {RequestRouter, RequestShed, RoutedRequest} from "../controllers/requestrouter.js"
import type {SilentConnectionDetector, WatchedRequest} from "../controllers/silence.js"
import type {Slot} from "../controllers/slotborrower.js"
import {EXECUTION_HEADER, sendProblem} from "./problems.js"
import type {Problem} from "./problems.js"
import type {Exchange, Filter} from "./filter.js"
import {headersForCaller, headersForServer} from "./headers.js"

export interface ForwardPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly client: BackendClient
  readonly silence: SilentConnectionDetector
  readonly routerOf: (service: string) => RequestRouter | undefined
}

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"])
const MAXIMUM_ATTEMPTS = 3
const MAXIMUM_KEPT_ANSWER_BYTES = 64 * 1024

/** Result of one attempt. `settled` means that nothing more is to be sent to the caller. */
type AttemptResult =
  | {readonly type: "settled"}
  | {readonly type: "not-run"; readonly detail: string}
  | {readonly type: "in-doubt"; readonly detail: string; readonly isPastDeadline: boolean}

/**
 * Method and the first three path segments, with `*` for each segment that contains a digit, such as an identifier.
 * Requests of one class are expected to take similar time.
 */
export function requestClassOf(method: string, path: string): string {
  const [pathname = ""] = path.split("?")
  const segments = pathname.split("/").slice(0, 4)
  return `${method} ${segments.map(segment => (/\d/.test(segment) ? "*" : segment)).join("/")}`
}

/** True if the backend server states that it refused the request without running it. */
function isRefusal(answer: BackendAnswer): boolean {
  return answer.status === 503 && answer.headers[EXECUTION_HEADER] === "not-run"
}

/** True if a complete body can be distinguished from one truncated by a closed connection. */
function hasFraming(answer: BackendAnswer, method: string): boolean {
  if (method === "HEAD" || answer.status === 204 || answer.status === 304) return true
  return answer.headers["content-length"] !== undefined || answer.headers["transfer-encoding"] !== undefined
}

/**
 * Aborts one attempt at its deadline, when its connection has gone silent, or, if the request is idempotent, when the
 * caller's connection closes.
 */
interface AttemptGuard {
  readonly signal: AbortSignal
  readonly abortReason: () => "deadline" | "gone" | "silent" | undefined
  readonly watched: WatchedRequest
  readonly dispose: () => void
}

/**
 * Resolves when the caller has taken what was written, or its connection is closed. Rejects when the attempt is aborted:
 * a caller that reads slowly must not keep the slot beyond the deadline.
 */
async function untilWritable(outgoing: Writable, aborted: AbortSignal): Promise<void> {
  const settled = new AbortController()
  const signal = AbortSignal.any([aborted, settled.signal])
  try {
    await Promise.race([once(outgoing, "drain", {signal}), once(outgoing, "close", {signal})])
  } finally {
    settled.abort()
  }
}

/** Creates the last filter of the chain. */
export function forwardFilter(ports: ForwardPorts): Filter {
  const {clock, log} = ports

  function startGuard(exchange: Exchange, slot: Slot): AttemptGuard {
    const controller = new AbortController()
    let abortReason: "deadline" | "gone" | "silent" | undefined
    const abort = (reason: "deadline" | "gone" | "silent"): void => {
      abortReason ??= reason
      controller.abort()
    }
    const isIdempotent = IDEMPOTENT_METHODS.has(exchange.method)
    const onCallerClosed = (): void => {
      if (isIdempotent) abort("gone")
    }
    const cancelDeadline = clock.after(exchange.deadlineAt - clock.now(), () => abort("deadline"))
    const watched = ports.silence.watch(slot.server, slot.address, () => abort("silent"))
    exchange.callerClosed.addEventListener("abort", onCallerClosed, {once: true})
    return {
      signal: controller.signal,
      abortReason: () => abortReason,
      watched,
      dispose() {
        cancelDeadline()
        watched.stop()
        exchange.callerClosed.removeEventListener("abort", onCallerClosed)
      },
    }
  }

  /**
   * Streams the body to the caller with backpressure. Returns the bytes to keep for repeated keys, or undefined if the
   * body was truncated.
   */
  async function streamBody(
    exchange: Exchange,
    answer: BackendAnswer,
    guard: AttemptGuard,
  ): Promise<Buffer | undefined> {
    const {outgoing} = exchange
    const keptChunks: Buffer[] = []
    let sizeBytes = 0
    try {
      for await (const chunk of answer.body) {
        const bytes = chunk as Buffer
        guard.watched.onBytesReceived()
        sizeBytes += bytes.length
        if (exchange.mustKeepAnswer && sizeBytes <= MAXIMUM_KEPT_ANSWER_BYTES) keptChunks.push(bytes)
        if (outgoing.destroyed) continue
        if (!outgoing.write(bytes)) await untilWritable(outgoing, guard.signal)
      }
      return Buffer.concat(keptChunks)
    } catch {
      return undefined
    }
  }

  function keepAnswer(exchange: Exchange, answer: BackendAnswer, body: Buffer): void {
    if (!exchange.mustKeepAnswer) return
    const contentLength = Number(answer.headers["content-length"] ?? body.length)
    if (contentLength > MAXIMUM_KEPT_ANSWER_BYTES) return
    const contentType = String(answer.headers["content-type"] ?? "")
    exchange.keptAnswer = {status: answer.status, contentType, body: body.toString("base64")}
  }

  async function deliverAnswer(
    exchange: Exchange,
    router: RequestRouter,
    routed: RoutedRequest,
    slot: Slot,
    answer: BackendAnswer,
    guard: AttemptGuard,
    sentAt: Milliseconds,
  ): Promise<AttemptResult> {
    const {outgoing, id, method} = exchange
    const timeToFirstByte = clock.now() - sentAt
    guard.watched.onBytesReceived()
    if (isRefusal(answer)) {
      await answer.body
        .resume()
        .toArray()
        .catch(() => undefined)
      router.recordFailure(slot, false)
      return {type: "not-run", detail: "the server refused the request"}
    }
    if (!hasFraming(answer, method)) {
      ports.client.dropConnection(slot)
      router.recordInDoubt(slot, true)
      return {
        type: "in-doubt",
        detail: "the server's answer has neither a content-length nor a transfer-encoding",
        isPastDeadline: false,
      }
    }
    outgoing.writeHead(answer.status, {...headersForCaller(answer.headers, id), [EXECUTION_HEADER]: "ran"})
    const body = await streamBody(exchange, answer, guard)
    if (!body) {
      exchange.execution = "ran"
      outgoing.destroy()
      ports.client.dropConnection(slot)
      router.recordInDoubt(slot, guard.abortReason() === undefined)
      return {type: "settled"}
    }
    keepAnswer(exchange, answer, body)
    exchange.execution = "ran"
    outgoing.end()
    router.recordSuccess(routed, slot, timeToFirstByte, clock.now() - sentAt)
    return {type: "settled"}
  }

  function handleSendFailure(
    exchange: Exchange,
    router: RequestRouter,
    slot: Slot,
    guard: AttemptGuard,
    outcome: Extract<BackendOutcome, {type: "failed"}>,
  ): AttemptResult {
    const reason = guard.abortReason()
    if (!outcome.sent) {
      router.recordFailure(slot, true)
      return {type: "not-run", detail: outcome.detail}
    }
    router.recordInDoubt(slot, reason === undefined)
    if (reason === "silent") ports.client.dropIdle()
    if (reason === "gone") {
      exchange.execution = "unknown"
      return {type: "settled"}
    }
    return {type: "in-doubt", detail: reason ?? outcome.detail, isPastDeadline: reason === "deadline"}
  }

  async function runAttempt(
    exchange: Exchange,
    router: RequestRouter,
    routed: RoutedRequest,
    slot: Slot,
  ): Promise<AttemptResult> {
    const {incoming, id, caller, method, path, body} = exchange
    const guard = startGuard(exchange, slot)
    const sentAt = clock.now()
    exchange.attempts += 1
    try {
      const headers = headersForServer(incoming.headers, id, caller, (exchange.deadlineAt - sentAt) / 1000)
      const outcome = await ports.client.send(slot, {method, path, headers, body, signal: guard.signal})
      if (outcome.type === "failed") return handleSendFailure(exchange, router, slot, guard, outcome)
      return await deliverAnswer(exchange, router, routed, slot, outcome.answer, guard, sentAt)
    } finally {
      guard.dispose()
      ports.client.markIdle(slot)
    }
  }

  function answerWithProblem(exchange: Exchange, problem: Problem): void {
    exchange.execution = problem.execution
    exchange.detail = problem.detail
    sendProblem(exchange.outgoing, exchange.id, problem)
  }

  function shedProblem(shed: RequestShed, mayHaveRun: boolean): Problem {
    const execution = mayHaveRun ? "unknown" : "not-run"
    const title = mayHaveRun ? "The request could not be repeated" : "The request was not run"
    return {
      status: 503,
      type: "overloaded",
      title,
      detail: shed.message,
      execution,
      retryAfter: shed.retryAfter,
    }
  }

  function finalProblem(
    result: Extract<AttemptResult, {type: "not-run" | "in-doubt"}>,
    mayHaveRun: boolean,
  ): Problem {
    const {detail} = result
    if (!mayHaveRun)
      return {
        status: 503,
        type: "not-run",
        title: "The request was not run",
        detail,
        execution: "not-run",
        retryAfter: 1000,
      }
    const isPastDeadline = result.type === "in-doubt" && result.isPastDeadline
    const title = isPastDeadline ? "No answer came before the deadline" : "The answer was lost"
    return {
      status: isPastDeadline ? 504 : 502,
      type: isPastDeadline ? "deadline-exceeded" : "answer-lost",
      title,
      detail,
      execution: "unknown",
    }
  }

  return async exchange => {
    const router = ports.routerOf(exchange.service)
    if (!router) {
      const detail = `The configuration document defines no service "${exchange.service.slice(0, 64)}".`
      answerWithProblem(exchange, {
        status: 404,
        type: "no-such-service",
        title: "There is no such service",
        detail,
        execution: "not-run",
      })
      return
    }
    const isIdempotent = IDEMPOTENT_METHODS.has(exchange.method)
    const requestClass = requestClassOf(exchange.method, exchange.path)
    const {id, urgency, deadlineAt} = exchange
    const avoid = new Set<string>()
    let mayHaveRun = false
    const onCallerClosed = (): void => router.cancelWaiting(id)
    exchange.callerClosed.addEventListener("abort", onCallerClosed, {once: true})
    for (;;) {
      const routed: RoutedRequest = {id, requestClass, urgency, deadlineAt, avoid}
      const slot = await router.acquire(routed)
      if (slot.isErr()) {
        answerWithProblem(exchange, shedProblem(slot.error, mayHaveRun))
        return
      }
      const result = await runAttempt(exchange, router, routed, slot.value)
      if (result.type === "settled") return
      avoid.add(slot.value.server)
      mayHaveRun ||= result.type === "in-doubt"
      const isRepeatable = isIdempotent || result.type === "not-run"
      const hasTimeLeft = clock.now() < deadlineAt && !exchange.callerClosed.aborted
      if (!isRepeatable || !hasTimeLeft || exchange.attempts >= MAXIMUM_ATTEMPTS || !router.mayRetry()) {
        answerWithProblem(exchange, finalProblem(result, mayHaveRun))
        return
      }
      router.recordRetry()
      log.info(
        {
          event: "retry",
          request: id,
          service: exchange.service,
          detail: result.detail,
          attempts: exchange.attempts,
        },
        "retrying a request",
      )
    }
  }
}
