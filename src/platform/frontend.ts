/**
 * HTTP servers for callers, who submit, query and cancel jobs, and for the platform's readiness checks and metrics
 * scrapes. They use `node:http`, because instances have little memory and must be ready soon after a restart.
 */
import {createServer} from "node:http"
import type {IncomingMessage, Server, ServerResponse} from "node:http"
import {canKeepConnection, endAndClose} from "../callers/answering.js"
import type {BodyOutcome} from "../callers/bodyreader.js"
import type {ClientGuard} from "../callers/guard.js"
import type {Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import type {Logger} from "../core/logger.js"
import type {Caller} from "../pipelines/callers.js"
import {descriptionMemory} from "../pipelines/footprint.js"
import {findQueue} from "../pipelines/model.js"
import type {FleetConfiguration, PipelineJob, Queue} from "../pipelines/model.js"
import type {Authorizer} from "../planner/authorizer.js"
import type {Intake} from "../planner/intake.js"
import {readJobRequest} from "./jobrequest.js"

export interface FrontendPorts {
  readonly intake: Intake
  readonly authorizer: Pick<Authorizer, "check" | "checkAgain">
  readonly configuration: () => FleetConfiguration | undefined
  readonly wallClock: () => Milliseconds
  /** Limit on the record of a job in the store, in bytes. */
  readonly longestRecord: number
  readonly log: Logger
  /** Keeps clients within the limits of the instance. */
  readonly guard: ClientGuard
  /** Whether the instance is about to stop, so that callers should open new connections to other instances. */
  readonly isDraining: () => boolean
}

const JOB_ID = /^[0-9a-f]{16}$/
/** Client timeout for requests without the deadline header. */
const DEFAULT_CLIENT_TIMEOUT_MS: Milliseconds = 3000
/** For requests whose header asks for longer, so that no caller decides how long its request is kept. */
const LONGEST_CLIENT_TIMEOUT_MS: Milliseconds = 60_000
const MILLISECONDS_PER_SECOND = 1000
/**
 * When a caller should retry whose key this instance could not check. Another instance may serve it at once, and this one
 * soon after the store or the leader answers again.
 */
const UNCONFIRMED_RETRY_MS: Milliseconds = 1000
/** Longer than callers leave a connection idle, so that no request arrives while its connection is being closed. */
const KEEP_ALIVE_MS: Milliseconds = 65_000
/** When there is no room for a body, which bodies that stop halfway give up soon. */
const BODY_RETRY_MS: Milliseconds = 1000
/** A job, its record, and the record on its way to the leader or to the store. */
const JOB_COPIES = 3
/** After these, the rest of a body is not waited for. */
const CLOSING_STATUSES: ReadonlySet<number> = new Set([413, 503])

/** The queue or the job that the path of a request refers to. */
interface Target {
  readonly queue: Queue
  /** The job's identity; empty when the request refers to the queue itself. */
  readonly job: string
  readonly bodyLimit: number
}

/** A call on a queue, with the key of its caller; empty without one. */
interface Call extends Target {
  readonly key: string
}

/** What a body has come to. `release` has to be called once the job is stored or refused. */
type DecodedJob = {readonly job: PipelineJob; readonly release: () => void} | {readonly refused: Answer}

/** The response to a caller. */
interface Answer {
  readonly status: number
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
}

function readClientTimeout(request: IncomingMessage): Milliseconds {
  const value = Number(request.headers["x-lacewingstream-deadline-ms"])
  return value > 0 ? Math.min(value, LONGEST_CLIENT_TIMEOUT_MS) : DEFAULT_CLIENT_TIMEOUT_MS
}

function refusal(status: number, problem: string): Answer {
  return {status, body: {Error: problem}}
}

function unavailable(retryAfter: Milliseconds): Answer {
  const seconds = Math.max(1, Math.ceil(retryAfter / MILLISECONDS_PER_SECOND))
  return {...refusal(503, "The service is not available now."), headers: {"Retry-After": String(seconds)}}
}

function readKey(request: IncomingMessage): string {
  const value = request.headers["x-api-key"]
  return typeof value === "string" ? value : ""
}

function denial(reason: "unknown-key" | "unconfirmed"): Answer {
  return reason === "unknown-key" ? refusal(401, "The key is not known.") : unavailable(UNCONFIRMED_RETRY_MS)
}

const FOREIGN_JOB = refusal(403, "The job belongs to another workspace.")

function writeAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  answer: Answer,
  isDraining: boolean,
  guard: ClientGuard,
): void {
  const content = JSON.stringify(answer.body)
  const keep = canKeepConnection(request) && (request.complete || !CLOSING_STATUSES.has(answer.status))
  response.writeHead(answer.status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(content),
    ...answer.headers,
    ...(isDraining || !keep ? {Connection: "close"} : {}),
  })
  guard.discard(request)
  if (keep) response.end(content)
  else endAndClose(request, response, content)
}

/** Creates the server for callers, which is not listening yet. */
export function createFrontend(ports: FrontendPorts): Server {
  const {intake, authorizer, configuration, wallClock, longestRecord, log, guard} = ports

  function resolveTarget(request: IncomingMessage): Target | "no-configuration" | "not-found" {
    const current = configuration()
    if (!current) return "no-configuration"
    const host = (request.headers.host ?? "").replace(/:\d+$/, "")
    const path = (request.url ?? "").replace(/\?.*$/, "")
    const queue = findQueue(current, host, path)
    if (!queue) return "not-found"
    const job = path.slice(queue.prefix.length)
    return job === "" || JOB_ID.test(job) ? {queue, job, bodyLimit: current.bodyLimit} : "not-found"
  }

  /** Decodes the body in the same turn, so that it is not kept while the job is being stored. */
  function decodeBody(outcome: BodyOutcome, call: Call): DecodedJob {
    const {queue, job: id, key, bodyLimit} = call
    if (outcome.type === "too-large")
      return {refused: refusal(413, `The body is longer than ${bodyLimit} bytes.`)}
    if (outcome.type !== "read") return {refused: unavailable(BODY_RETRY_MS)}
    const {body, hold, release} = outcome
    const refuse = (refused: Answer): DecodedJob => {
      release()
      return {refused}
    }
    // The body may have taken seconds. Once the job is on its way, no refusal could say that it never runs.
    const authorization = authorizer.check(queue, key)
    if (authorization.type === "refused") return refuse(denial(authorization.reason))
    const {workspace} = authorization.caller
    const identity = {id, queue, acceptedAt: wallClock(), workspace}
    const job = readJobRequest(body.toString("utf8"), identity, longestRecord)
    if (job.isErr()) {
      log.info(
        {event: "submit-malformed", job: id, queue: queue.name, problems: job.error},
        "submitted job is malformed",
      )
      return refuse(refusal(400, job.error.join(" ")))
    }
    if (!hold(descriptionMemory(job.value) * JOB_COPIES)) return refuse(unavailable(BODY_RETRY_MS))
    return {job: job.value, release}
  }

  async function submit(request: IncomingMessage, call: Call): Promise<Answer> {
    const decoded = await guard.bodies
      .read(request, call.bodyLimit)
      .then(outcome => decodeBody(outcome, call))
    if ("refused" in decoded) return decoded.refused
    try {
      return await submitJob(decoded.job, request, call)
    } finally {
      decoded.release()
    }
  }

  async function submitJob(job: PipelineJob, request: IncomingMessage, call: Call): Promise<Answer> {
    const {queue, key} = call
    const {id, workspace} = job
    const startedAt = wallClock()
    const answer = await intake.submit(job, readClientTimeout(request))
    const took = wallClock() - startedAt
    log.info(
      {event: "submit", job: id, queue: queue.name, workspace, outcome: answer.type, took},
      "job submitted",
    )
    switch (answer.type) {
      case "stored": {
        const {type} = await authorizer.checkAgain(queue, key)
        // The job is stored, so that the caller may not be told that it never runs.
        return type === "allowed" ? {status: 200, body: {}} : refusal(504, "The key could not be checked.")
      }
      case "foreign":
        return refusal(409, "Another workspace has a job under this name.")
      case "refused":
        return unavailable(answer.retryAfter)
      case "unknown":
        return refusal(504, "It is not known whether the job is stored.")
    }
  }

  async function reportState({queue, job}: Target, caller: Caller): Promise<Answer> {
    if (job === "") {
      const pending = intake.pending(queue.name)
      return pending === undefined ? unavailable(0) : {status: 200, body: {Pending: pending}}
    }
    const answer = await intake.state(job, caller)
    switch (answer.type) {
      case "state":
        return {status: 200, body: {State: answer.state}}
      case "unknown-job":
        return refusal(410, "There is no such job.")
      case "unavailable":
        return unavailable(0)
      case "foreign":
        return FOREIGN_JOB
    }
  }

  async function cancel({queue, job}: Target, caller: Caller): Promise<Answer> {
    const outcome = await intake.cancel(job, caller)
    log.info(
      {event: "cancel", job, queue: queue.name, workspace: caller.workspace, outcome},
      "job cancellation requested",
    )
    switch (outcome) {
      case "cancelled":
        return {status: 200, body: {}}
      case "unknown-job":
        return refusal(410, "There is no such job.")
      case "unavailable":
        return unavailable(0)
      case "foreign":
        return FOREIGN_JOB
    }
  }

  /** Gives an answer only if the call would still be served. */
  async function checkAnswer({queue, key}: Call, answer: Answer): Promise<Answer> {
    const {type} = await authorizer.checkAgain(queue, key)
    return type === "allowed" ? answer : unavailable(UNCONFIRMED_RETRY_MS)
  }

  async function handle(request: IncomingMessage): Promise<Answer> {
    const target = resolveTarget(request)
    if (target === "no-configuration") return unavailable(0)
    if (target === "not-found") return refusal(404, "There is no such queue.")
    const call = {...target, key: readKey(request)}
    const authorization = authorizer.check(call.queue, call.key)
    if (authorization.type === "refused") return denial(authorization.reason)
    const {caller} = authorization
    if (request.method === "GET") return checkAnswer(call, await reportState(call, caller))
    if (target.job === "") return refusal(405, "Name a job.")
    if (request.method === "POST") return submit(request, call)
    if (request.method === "DELETE") return checkAnswer(call, await cancel(call, caller))
    return refusal(405, "The method is not known here.")
  }

  function serve(request: IncomingMessage, response: ServerResponse): void {
    if (request.method !== "POST") guard.discard(request)
    handle(request)
      .catch((error: unknown) => {
        log.error({event: "request-failed", reason: describeError(error)}, "request handler failed")
        return refusal(502, "The request could not be handled.")
      })
      .then(answer => {
        writeAnswer(request, response, answer, ports.isDraining(), guard)
      })
      .catch((error: unknown) => {
        log.warn({event: "answer-failed", reason: describeError(error)}, "response could not be sent")
      })
  }

  const server = createServer({...guard.options, keepAliveTimeout: KEEP_ALIVE_MS}, guard.listener(serve))
  guard.attach(server)
  return server
}

/** Creates the server for readiness checks and metrics, which is not listening yet. */
export function createStatusServer(isReady: () => boolean, metrics: () => string): Server {
  return createServer((request, response) => {
    if (request.url === "/metrics") response.end(metrics())
    else {
      response.statusCode = isReady() ? 200 : 503
      response.end()
    }
  })
}
