/**
 * Sends a request to a backend server and its answer to the caller. A request is sent a second time only if it is
 * proved not to have run, or is idempotent, and the retry budget allows it. An answer that was cut short is never
 * passed off as whole: the caller's connection is cut too.
 */
import {once} from "node:events"
import type {Clock, Milliseconds} from "../core/clock.js"
import type {BackendAnswer, BackendClient, BackendOutcome} from "../controllers/backendclient.js"
import type {Logger} from "../core/logger.js"
import type {RequestRouter, RequestShed, RoutedRequest} from "../controllers/requestrouter.js"
import type {SilentConnectionDetector, WatchedRequest} from "../controllers/silence.js"
import type {Slot} from "../controllers/slotborrower.js"
import {EXECUTION_HEADER, sendProblem} from "./answers.js"
import type {Problem} from "./answers.js"
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
const LARGEST_ATTEMPTS = 3
const LARGEST_KEPT_ANSWER = 64 * 1024

/** How one attempt ended. `settled` means that nothing more is to be sent to the caller. */
type AttemptResult =
  | {readonly type: "settled"}
  | {readonly type: "not-run"; readonly detail: string}
  | {readonly type: "in-doubt"; readonly detail: string; readonly late: boolean}

/** Method and the path with its numbers and identifiers left out: requests of one class take similar time. */
export function requestClassOf(method: string, path: string): string {
  const [plain = ""] = path.split("?")
  const parts = plain.split("/").slice(0, 4)
  return `${method} ${parts.map(part => (/\d/.test(part) ? "*" : part)).join("/")}`
}

function isRefusal(answer: BackendAnswer): boolean {
  return answer.status === 503 && answer.headers[EXECUTION_HEADER] === "not-run"
}

/** True when the end of the body can be told from a cut connection. */
function hasFraming(answer: BackendAnswer, method: string): boolean {
  if (method === "HEAD" || answer.status === 204 || answer.status === 304) return true
  return answer.headers["content-length"] !== undefined || answer.headers["transfer-encoding"] !== undefined
}

/** One attempt's timers and signals: the deadline, the caller's going, and silence of the connection. */
interface Guard {
  readonly signal: AbortSignal
  readonly reason: () => "deadline" | "gone" | "silent" | undefined
  readonly watched: WatchedRequest
  readonly dispose: () => void
}

/** Creates the last filter of the chain. */
export function forwardFilter(ports: ForwardPorts): Filter {
  const {clock, log} = ports

  function guardFor(exchange: Exchange, slot: Slot): Guard {
    const controller = new AbortController()
    let reason: "deadline" | "gone" | "silent" | undefined
    const abort = (why: "deadline" | "gone" | "silent"): void => {
      reason ??= why
      controller.abort()
    }
    const idempotent = IDEMPOTENT_METHODS.has(exchange.method)
    const onGone = (): void => {
      if (idempotent) abort("gone")
    }
    const cancel = clock.after(exchange.deadlineAt - clock.now(), () => abort("deadline"))
    const watched = ports.silence.watch(slot.server, slot.address, () => abort("silent"))
    exchange.gone.addEventListener("abort", onGone, {once: true})
    return {
      signal: controller.signal,
      reason: () => reason,
      watched,
      dispose() {
        cancel()
        watched.stop()
        exchange.gone.removeEventListener("abort", onGone)
      },
    }
  }

  /** Passes the body on with backpressure. Gives the kept bytes, or undefined when the body was cut short. */
  async function stream(
    exchange: Exchange,
    answer: BackendAnswer,
    guard: Guard,
  ): Promise<Buffer | undefined> {
    const {outgoing} = exchange
    const kept: Buffer[] = []
    let size = 0
    try {
      for await (const part of answer.body) {
        const bytes = part as Buffer
        guard.watched.onBytesReceived()
        size += bytes.length
        if (exchange.keepAnswer && size <= LARGEST_KEPT_ANSWER) kept.push(bytes)
        if (outgoing.destroyed) continue
        if (!outgoing.write(bytes)) await Promise.race([once(outgoing, "drain"), once(outgoing, "close")])
      }
      return Buffer.concat(kept)
    } catch {
      return undefined
    }
  }

  function keep(exchange: Exchange, answer: BackendAnswer, body: Buffer): void {
    if (!exchange.keepAnswer) return
    const announced = Number(answer.headers["content-length"] ?? body.length)
    if (announced > LARGEST_KEPT_ANSWER) return
    const contentType = String(answer.headers["content-type"] ?? "")
    exchange.keptAnswer = {status: answer.status, contentType, body: body.toString("base64")}
  }

  async function deliver(
    exchange: Exchange,
    router: RequestRouter,
    routed: RoutedRequest,
    slot: Slot,
    answer: BackendAnswer,
    guard: Guard,
    sentAt: Milliseconds,
  ): Promise<AttemptResult> {
    const {outgoing, id, method} = exchange
    const firstByte = clock.now() - sentAt
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
      return {type: "in-doubt", detail: "the server's answer has no length", late: false}
    }
    outgoing.writeHead(answer.status, {...headersForCaller(answer.headers, id), [EXECUTION_HEADER]: "ran"})
    const body = await stream(exchange, answer, guard)
    if (!body) {
      exchange.execution = "ran"
      outgoing.destroy()
      ports.client.dropConnection(slot)
      router.recordInDoubt(slot, guard.reason() === undefined)
      return {type: "settled"}
    }
    keep(exchange, answer, body)
    exchange.execution = "ran"
    outgoing.end()
    router.recordSuccess(routed, slot, firstByte, clock.now() - sentAt)
    return {type: "settled"}
  }

  function afterFailure(
    exchange: Exchange,
    router: RequestRouter,
    slot: Slot,
    guard: Guard,
    outcome: Extract<BackendOutcome, {type: "failed"}>,
  ): AttemptResult {
    const reason = guard.reason()
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
    return {type: "in-doubt", detail: reason ?? outcome.detail, late: reason === "deadline"}
  }

  async function attempt(
    exchange: Exchange,
    router: RequestRouter,
    routed: RoutedRequest,
    slot: Slot,
  ): Promise<AttemptResult> {
    const {incoming, id, caller, method, path, body} = exchange
    const guard = guardFor(exchange, slot)
    const sentAt = clock.now()
    exchange.attempts += 1
    try {
      const headers = headersForServer(incoming.headers, id, caller, (exchange.deadlineAt - sentAt) / 1000)
      const outcome = await ports.client.send(slot, {method, path, headers, body, signal: guard.signal})
      if (outcome.type === "failed") return afterFailure(exchange, router, slot, guard, outcome)
      return await deliver(exchange, router, routed, slot, outcome.answer, guard, sentAt)
    } finally {
      guard.dispose()
      ports.client.markIdle(slot)
    }
  }

  function finish(exchange: Exchange, problem: Problem): void {
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

  function lastProblem(
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
    const late = result.type === "in-doubt" && result.late
    const title = late ? "No answer came before the deadline" : "The answer was lost"
    return {
      status: late ? 504 : 502,
      type: late ? "deadline-exceeded" : "answer-lost",
      title,
      detail,
      execution: "unknown",
    }
  }

  return async exchange => {
    const router = ports.routerOf(exchange.service)
    if (!router) {
      const detail = `The document names no service "${exchange.service.slice(0, 64)}".`
      finish(exchange, {
        status: 404,
        type: "no-such-service",
        title: "There is no such service",
        detail,
        execution: "not-run",
      })
      return
    }
    const idempotent = IDEMPOTENT_METHODS.has(exchange.method)
    const requestClass = requestClassOf(exchange.method, exchange.path)
    const {id, urgency, deadlineAt} = exchange
    const avoid = new Set<string>()
    let mayHaveRun = false
    const onGone = (): void => router.cancelWaiting(id)
    exchange.gone.addEventListener("abort", onGone, {once: true})
    for (;;) {
      const routed: RoutedRequest = {id, requestClass, urgency, deadlineAt, avoid}
      const slot = await router.acquire(routed)
      if (slot.isErr()) {
        finish(exchange, shedProblem(slot.error, mayHaveRun))
        return
      }
      const result = await attempt(exchange, router, routed, slot.value)
      if (result.type === "settled") return
      avoid.add(slot.value.server)
      mayHaveRun ||= result.type === "in-doubt"
      const repeatable = idempotent || result.type === "not-run"
      const inTime = clock.now() < deadlineAt && !exchange.gone.aborted
      if (!repeatable || !inTime || exchange.attempts >= LARGEST_ATTEMPTS || !router.mayRetry()) {
        finish(exchange, lastProblem(result, mayHaveRun))
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
        "sends a request again",
      )
    }
  }
}
