/**
 * The HTTP interface of one entry instance: requests to services go through the filter chain; jobs, operators'
 * calls and the status page are small routes.
 */
import {timingSafeEqual, createHash, randomUUID} from "node:crypto"
import {readFileSync, watchFile, unwatchFile} from "node:fs"
import {createServer} from "node:http"
import type {IncomingMessage, Server, ServerResponse} from "node:http"
import {createServer as createTlsServer} from "node:https"
import type {Server as TlsServer} from "node:https"
import type {Socket} from "node:net"
import {getRequestListener} from "@hono/node-server"
import {Hono} from "hono"
import type {Context} from "hono"
import type {Clock} from "../core/clock.js"
import type {JobAnswer} from "../controllers/jobanswers.js"
import {problem} from "../controllers/jobanswers.js"
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
  readonly serve: (exchange: Exchange) => Promise<void>
  readonly isLeaving: () => boolean
  readonly largestBody: () => number
}

export interface CallerServer {
  readonly address: string
  /** Requests to services that are open now. */
  readonly open: () => number
  /** Stops to accept, waits for open requests, then closes. Resolves at the latest when the limit has passed. */
  readonly close: (limit: number) => Promise<void>
}

const HEADERS_TIMEOUT_MS = 10_000
const KEEP_ALIVE_MS = 5000
const LARGEST_HEADERS_BYTES = 16 * 1024
const CERTIFICATE_CHECK_MS = 2000
const SERVICE_PATH = /^\/services\/([^/?#]+)(.*)$/s
const PROBLEM_TYPE = "application/problem+json"

function sameSecret(given: string, expected: string): boolean {
  const digest = (text: string): Buffer => createHash("sha256").update(text).digest()
  return timingSafeEqual(digest(given), digest(expected))
}

function reply(context: Context, answer: JobAnswer): Response {
  const type = answer.status >= 400 ? PROBLEM_TYPE : "application/json"
  const execution = (answer.body as {readonly execution?: string}).execution ?? "unknown"
  const headers: Record<string, string> = {"content-type": type, "lacewing-execution": execution}
  if (answer.status === 503) headers["retry-after"] = "1"
  const {job} = answer.body as {readonly job?: string}
  if (answer.status === 202 && job !== undefined) headers.location = `/jobs/${job}`
  return context.body(JSON.stringify(answer.body), answer.status as 200, headers)
}

/** Reads a JSON body within a bound; a problem when it is too large or no JSON. */
async function readJson(
  context: Context,
  limit: number,
): Promise<{readonly value: unknown} | {readonly refusal: JobAnswer}> {
  const announced = Number(context.req.header("content-length") ?? 0)
  const tooLarge = problem(
    413,
    "body-too-large",
    "The body is too large",
    `At most ${limit} bytes are taken.`,
    "not-run",
  )
  if (announced > limit) return {refusal: tooLarge}
  const text = await context.req.text()
  if (text.length > limit) return {refusal: tooLarge}
  try {
    return {value: JSON.parse(text) as unknown}
  } catch {
    return {
      refusal: problem(400, "malformed-json", "The body is not JSON", "Send one JSON object.", "not-run"),
    }
  }
}

function createApplication(ports: CallerServerPorts): Hono {
  const app = new Hono()

  function isOperator(context: Context): boolean {
    const given = /^Bearer (.+)$/.exec(context.req.header("authorization") ?? "")?.[1] ?? ""
    return sameSecret(given, ports.operatorKey)
  }

  function forbidden(context: Context): Response {
    return reply(
      context,
      problem(
        401,
        "no-operator-key",
        "An operator key is needed",
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
    const body = await readJson(context, ports.largestBody())
    if ("refusal" in body) return reply(context, body.refusal)
    return reply(
      context,
      await ports.jobs.submit({key: context.req.header("idempotency-key") ?? "", request: body.value}),
    )
  })
  app.get("/jobs", async context => reply(context, await ports.jobs.list(context.req.query("team") ?? "")))
  app.get("/jobs/:job", async context => reply(context, await ports.jobs.get(context.req.param("job"))))
  app.delete("/jobs/:job", async context => reply(context, await ports.jobs.cancel(context.req.param("job"))))
  app.get("/documents/current", async context =>
    isOperator(context) ? reply(context, await ports.operators.current()) : forbidden(context),
  )
  app.get("/documents", async context =>
    isOperator(context) ? reply(context, await ports.operators.history()) : forbidden(context),
  )
  app.post("/documents", async context => {
    if (!isOperator(context)) return forbidden(context)
    const body = await readJson(context, ports.largestBody())
    return reply(context, "refusal" in body ? body.refusal : await ports.operators.propose(body.value))
  })
  app.post("/documents/trial", async context => {
    if (!isOperator(context)) return forbidden(context)
    const body = await readJson(context, ports.largestBody())
    return reply(context, "refusal" in body ? body.refusal : await ports.operators.tryDocument(body.value))
  })
  app.notFound(context =>
    reply(
      context,
      problem(404, "no-such-resource", "There is nothing here", "See docs/interface.md.", "not-run"),
    ),
  )
  app.onError((error, context) =>
    reply(context, problem(500, "internal", "The call failed", error.message, "unknown")),
  )
  return app
}

function exchangeFor(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  match: RegExpExecArray,
  clock: Clock,
): Exchange {
  const gone = new AbortController()
  outgoing.once("close", () => {
    if (!outgoing.writableFinished) gone.abort()
  })
  const rest = match[2] ?? ""
  const given = String(incoming.headers["request-id"] ?? "")
  return {
    incoming,
    outgoing,
    service: match[1] ?? "",
    path: rest.startsWith("/") ? rest : `/${rest}`,
    method: incoming.method ?? "GET",
    caller: incoming.socket.remoteAddress ?? "unknown",
    startedAt: clock.now(),
    callerClosed: gone.signal,
    id: /^[\w.-]{8,64}$/.test(given) ? given : randomUUID(),
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
): Server | TlsServer {
  const options = {
    maxHeaderSize: LARGEST_HEADERS_BYTES,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
  }
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
      // A half-written pair of files is read again at the next change; the old certificate stays in use.
    }
  }
  for (const file of [tls.certificate, tls.key]) watchFile(file, {interval: CERTIFICATE_CHECK_MS}, reload)
  server.on("close", () => {
    for (const file of [tls.certificate, tls.key]) unwatchFile(file, reload)
  })
  return server
}

/** Starts to serve callers on `host:port`; port 0 takes a free one. */
export async function serveCallers(
  ports: CallerServerPorts,
  listenAddress: string,
  tls: TlsFiles | undefined,
): Promise<CallerServer> {
  const application = getRequestListener(createApplication(ports).fetch, {overrideGlobalObjects: false})
  const sockets = new Set<Socket>()
  let open = 0
  let closing = false
  let onIdle: () => void = () => undefined

  async function serveRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    match: RegExpExecArray,
  ): Promise<void> {
    const exchange = exchangeFor(incoming, outgoing, match, ports.clock)
    open += 1
    if (closing) outgoing.setHeader("connection", "close")
    try {
      await ports.serve(exchange)
    } catch {
      sendProblem(outgoing, exchange.id, {
        status: 500,
        type: "internal",
        title: "The request failed inside",
        detail: "Whether it has run is not known.",
        execution: "unknown",
      })
    } finally {
      open -= 1
      if (open === 0) onIdle()
    }
  }

  const server = createListener((incoming, outgoing) => {
    const match = SERVICE_PATH.exec(incoming.url ?? "")
    if (match) void serveRequest(incoming, outgoing, match)
    else void application(incoming, outgoing)
  }, tls)

  server.on("connection", (socket: Socket) => {
    sockets.add(socket)
    socket.on("close", () => sockets.delete(socket))
  })

  async function close(limit: number): Promise<void> {
    closing = true
    const closed = new Promise<void>(resolve => server.close(() => resolve()))
    server.closeIdleConnections()
    if (open > 0) {
      await Promise.race([
        new Promise<void>(resolve => {
          onIdle = resolve
        }),
        new Promise<void>(resolve => ports.clock.after(limit, resolve)),
      ])
    }
    server.closeIdleConnections()
    const grace = new Promise<void>(resolve => ports.clock.after(500, resolve))
    await Promise.race([closed, grace])
    for (const socket of sockets) socket.destroy()
    await closed
  }

  const address = await listen(server, listenAddress)
  return {address, open: () => open, close}
}
