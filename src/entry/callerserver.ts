/**
 * HTTP server of one entry instance. Requests to services go through the filter chain; the job API, the operator API
 * and the status page are routes of a small application.
 */
import {timingSafeEqual, createHash, randomUUID} from "node:crypto"
import {readFileSync, watchFile, unwatchFile} from "node:fs"
import {createServer} from "node:http"
import type {IncomingMessage, Server, ServerResponse} from "node:http"
import {createServer as createTlsServer} from "node:https"
import type {Server as TlsServer} from "node:https"
import type {Socket} from "node:net"
import {getRequestListener} from "@hono/node-server"
import type {HttpBindings} from "@hono/node-server"
import {Hono} from "hono"
import type {Context} from "hono"
import type {BodyReader} from "../callers/bodyreader.js"
import type {ClientGuard} from "../callers/guard.js"
import type {Clock} from "../core/clock.js"
import type {JobResponse} from "../controllers/jobresponses.js"
import {problem} from "../controllers/jobresponses.js"
import {sendProblem} from "../filters/problems.js"
import {listen} from "../platform/listen.js"
import type {Exchange} from "../filters/filter.js"
import type {TlsFiles} from "../settings/settings.js"
import type {JobCalls} from "./jobcalls.js"
import type {OperatorCalls} from "./operatorcalls.js"
import {renderStatusPage} from "./statuspage.js"
import type {InstanceStatus} from "./status.js"

export interface CallerServerPorts {
  readonly clock: Clock
  readonly jobs: JobCalls
  readonly operators: OperatorCalls
  readonly status: () => InstanceStatus
  readonly operatorKey: string
  /** Runs a request to a service through the filter chain. */
  readonly serve: (exchange: Exchange) => Promise<void>
  readonly isLeaving: () => boolean
  readonly maxBodyBytes: () => number
  /** Keeps callers within the limits of the instance. */
  readonly guard: ClientGuard
}

type CallContext = Context<{Bindings: HttpBindings}>

export interface CallerServer {
  readonly address: string
  /** Number of requests to services in progress. */
  readonly openRequestCount: () => number
  /** Stops accepting connections, waits at most `timeoutMs` for open requests, then closes all connections. */
  readonly close: (timeoutMs: number) => Promise<void>
}

const KEEP_ALIVE_TIMEOUT_MS = 5000
const CERTIFICATE_POLL_INTERVAL_MS = 2000
const SERVICE_PATH = /^\/services\/([^/?#]+)(.*)$/s
const PROBLEM_CONTENT_TYPE = "application/problem+json"

function isSameSecret(given: string, expected: string): boolean {
  const digest = (text: string): Buffer => createHash("sha256").update(text).digest()
  return timingSafeEqual(digest(given), digest(expected))
}

function createResponse(context: CallContext, answer: JobResponse): Response {
  const type = answer.status >= 400 ? PROBLEM_CONTENT_TYPE : "application/json"
  const execution = (answer.body as {readonly execution?: string}).execution ?? "unknown"
  const headers: Record<string, string> = {"content-type": type, "lacewing-execution": execution}
  if (answer.status === 503) {
    const {retryAfter = 1} = answer.body as {readonly retryAfter?: number}
    headers["retry-after"] = String(retryAfter)
  }
  if (answer.status === 413) headers.connection = "close"
  const {job} = answer.body as {readonly job?: string}
  if (answer.status === 202 && job !== undefined) headers.location = `/jobs/${job}`
  return context.body(JSON.stringify(answer.body), answer.status as 200, headers)
}

/** Reads a JSON body of limited size. Returns a problem when it is refused or is not JSON. */
async function readJson(
  context: CallContext,
  bodies: BodyReader,
  maxLength: number,
): Promise<{readonly value: unknown} | {readonly refusal: JobResponse}> {
  const outcome = await bodies.read(context.env.incoming, maxLength)
  if (outcome.type === "too-large") {
    const detail = `The body may have at most ${maxLength} bytes.`
    return {refusal: problem(413, "body-too-large", "The body is too large", detail, "not-run")}
  }
  if (outcome.type !== "read") {
    const title = "There is no room for the body"
    return {refusal: problem(503, "no-room-for-body", title, "Send the call again.", "not-run")}
  }
  try {
    return {value: JSON.parse(outcome.body.toString("utf8")) as unknown}
  } catch {
    return {
      refusal: problem(400, "malformed-json", "The body is not JSON", "Send one JSON object.", "not-run"),
    }
  } finally {
    outcome.release()
  }
}

function createApplication(ports: CallerServerPorts): Hono<{Bindings: HttpBindings}> {
  const app = new Hono<{Bindings: HttpBindings}>()
  const readBody = (context: CallContext) => readJson(context, ports.guard.bodies, ports.maxBodyBytes())

  function isOperator(context: CallContext): boolean {
    const givenKey = /^Bearer (.+)$/.exec(context.req.header("authorization") ?? "")?.[1] ?? ""
    return isSameSecret(givenKey, ports.operatorKey)
  }

  function unauthorized(context: CallContext): Response {
    return createResponse(
      context,
      problem(
        401,
        "no-operator-key",
        "An operator key is required",
        "Send Authorization: Bearer KEY.",
        "not-run",
      ),
    )
  }

  app.get("/.well-known/health", context =>
    context.json({leaving: ports.isLeaving()}, ports.isLeaving() ? 503 : 200),
  )
  app.get("/status", context => context.json(ports.status()))
  app.get("/", context => context.html(renderStatusPage(ports.status())))
  app.post("/jobs", async context => {
    const body = await readBody(context)
    if ("refusal" in body) return createResponse(context, body.refusal)
    return createResponse(
      context,
      await ports.jobs.submit({key: context.req.header("idempotency-key") ?? "", request: body.value}),
    )
  })
  app.get("/jobs", async context =>
    createResponse(context, await ports.jobs.list(context.req.query("team") ?? "")),
  )
  app.get("/jobs/:job", async context =>
    createResponse(context, await ports.jobs.get(context.req.param("job"))),
  )
  app.delete("/jobs/:job", async context =>
    createResponse(context, await ports.jobs.cancel(context.req.param("job"))),
  )
  app.get("/documents/current", async context =>
    isOperator(context) ? createResponse(context, await ports.operators.current()) : unauthorized(context),
  )
  app.get("/documents", async context =>
    isOperator(context) ? createResponse(context, await ports.operators.history()) : unauthorized(context),
  )
  app.post("/documents", async context => {
    if (!isOperator(context)) return unauthorized(context)
    const body = await readBody(context)
    return createResponse(
      context,
      "refusal" in body ? body.refusal : await ports.operators.propose(body.value),
    )
  })
  app.post("/documents/trial", async context => {
    if (!isOperator(context)) return unauthorized(context)
    const body = await readBody(context)
    return createResponse(
      context,
      "refusal" in body ? body.refusal : await ports.operators.tryDocument(body.value),
    )
  })
  app.notFound(context =>
    createResponse(
      context,
      problem(404, "no-such-resource", "There is no such resource", "See docs/interface.md.", "not-run"),
    ),
  )
  app.onError((error, context) =>
    createResponse(context, problem(500, "internal", "The call failed", error.message, "unknown")),
  )
  return app
}

function createExchange(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  match: RegExpExecArray,
  clock: Clock,
): Exchange {
  const callerGone = new AbortController()
  outgoing.once("close", () => {
    if (!outgoing.writableFinished) callerGone.abort()
  })
  const rest = match[2] ?? ""
  const givenId = String(incoming.headers["request-id"] ?? "")
  return {
    incoming,
    outgoing,
    service: match[1] ?? "",
    path: rest.startsWith("/") ? rest : `/${rest}`,
    method: incoming.method ?? "GET",
    caller: incoming.socket.remoteAddress ?? "unknown",
    startedAt: clock.now(),
    callerClosed: callerGone.signal,
    id: /^[\w.-]{8,64}$/.test(givenId) ? givenId : randomUUID(),
    deadlineAt: 0,
    urgency: 0,
    body: Buffer.alloc(0),
    team: String(incoming.headers["lacewing-team"] ?? ""),
    execution: undefined,
    attempts: 0,
    detail: "",
    mustKeepAnswer: false,
    keptAnswer: undefined,
  }
}

function createListener(
  handler: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
  tls: TlsFiles | undefined,
  guard: ClientGuard,
): Server | TlsServer {
  const options = {...guard.options, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS}
  if (!tls) return createServer(options, handler)
  const read = (): {cert: Buffer; key: Buffer} => ({
    cert: readFileSync(tls.certificate),
    key: readFileSync(tls.key),
  })
  const server = createTlsServer({...options, ...read()}, handler)
  const reload = (): void => {
    try {
      server.setSecureContext(read())
    } catch {
      // The files may be half written. The old certificate stays in use until their next change is read.
    }
  }
  for (const file of [tls.certificate, tls.key])
    watchFile(file, {interval: CERTIFICATE_POLL_INTERVAL_MS}, reload)
  server.on("close", () => {
    for (const file of [tls.certificate, tls.key]) unwatchFile(file, reload)
  })
  return server
}

/** Starts serving callers on `host:port`. Port 0 selects a free port. */
export async function serveCallers(
  ports: CallerServerPorts,
  listenAddress: string,
  tls: TlsFiles | undefined,
): Promise<CallerServer> {
  const applicationListener = getRequestListener(createApplication(ports).fetch, {
    overrideGlobalObjects: false,
  })
  const sockets = new Set<Socket>()
  let openRequests = 0
  let closing = false
  let onIdle: () => void = () => undefined

  async function serveRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    match: RegExpExecArray,
  ): Promise<void> {
    const exchange = createExchange(incoming, outgoing, match, ports.clock)
    openRequests += 1
    if (closing) outgoing.setHeader("connection", "close")
    try {
      await ports.serve(exchange)
    } catch {
      sendProblem(outgoing, exchange.id, {
        status: 500,
        type: "internal",
        title: "Internal error",
        detail: "It is unknown whether the request has run.",
        execution: "unknown",
      })
    } finally {
      openRequests -= 1
      if (openRequests === 0) onIdle()
    }
  }

  const handle = ports.guard.listener((incoming, outgoing) => {
    const match = SERVICE_PATH.exec(incoming.url ?? "")
    if (match) void serveRequest(incoming, outgoing, match)
    else {
      if (incoming.method !== "POST") ports.guard.discard(incoming)
      void applicationListener(incoming, outgoing)
    }
  })
  const server = createListener(handle, tls, ports.guard)
  ports.guard.attach(server, tls ? "tls" : "plain")

  server.on("connection", (socket: Socket) => {
    sockets.add(socket)
    socket.on("close", () => sockets.delete(socket))
  })

  async function close(timeoutMs: number): Promise<void> {
    closing = true
    const closed = new Promise<void>(resolve => server.close(() => resolve()))
    server.closeIdleConnections()
    if (openRequests > 0) {
      await Promise.race([
        new Promise<void>(resolve => {
          onIdle = resolve
        }),
        new Promise<void>(resolve => ports.clock.after(timeoutMs, resolve)),
      ])
    }
    server.closeIdleConnections()
    const graceOver = new Promise<void>(resolve => ports.clock.after(500, resolve))
    await Promise.race([closed, graceOver])
    for (const socket of sockets) socket.destroy()
    await closed
  }

  const address = await listen(server, listenAddress)
  return {address, openRequestCount: () => openRequests, close}
}
