/** The platform's HTTP interface for clients and for its readiness checks, over the project's own handlers. */
import type {Server} from "node:http"
import {createAdaptorServer} from "@hono/node-server"
import {Hono} from "hono"
import type {Context} from "hono"
import type {Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import type {Logger} from "../core/logger.js"
import {findQueue} from "../pipelines/model.js"
import type {FleetConfiguration, Queue} from "../pipelines/model.js"
import type {Intake} from "../planner/intake.js"
import {readJobRequest} from "./jobrequest.js"

export interface FrontendPorts {
  readonly intake: Intake
  readonly configuration: () => FleetConfiguration | undefined
  readonly wallClock: () => Milliseconds
  readonly log: Logger
  /** The instance is about to stop: clients should open new connections elsewhere. */
  readonly isDraining: () => boolean
}

const JOB_ID = /^[0-9a-f]{16}$/
/** Used when a client does not say how long it waits. */
const DEFAULT_PATIENCE_MS: Milliseconds = 3000
const MILLISECONDS_PER_SECOND = 1000

interface Target {
  readonly queue: Queue
  /** Empty for the queue itself. */
  readonly job: string
  readonly bodyLimit: number
}

function patienceOf(context: Context): Milliseconds {
  const value = Number(context.req.header("x-lacewingstream-deadline-ms"))
  return Number.isFinite(value) && value > 0 ? value : DEFAULT_PATIENCE_MS
}

function unavailable(context: Context, retryAfter: Milliseconds): Response {
  const seconds = Math.max(1, Math.ceil(retryAfter / MILLISECONDS_PER_SECOND))
  return context.json({Error: "unavailable"}, 503, {"Retry-After": String(seconds)})
}

/** Creates the server for clients; it is not listening yet. */
export function createFrontend(ports: FrontendPorts): Server {
  const {intake, configuration, wallClock, log} = ports
  const app = new Hono()

  function locate(context: Context): Target | "no-configuration" | "not-found" {
    const present = configuration()
    if (!present) return "no-configuration"
    const host = (context.req.header("host") ?? "").replace(/:\d+$/, "")
    const {path} = context.req
    const queue = findQueue(present, host, path)
    if (!queue) return "not-found"
    const job = path.slice(queue.prefix.length)
    return job === "" || JOB_ID.test(job) ? {queue, job, bodyLimit: present.bodyLimit} : "not-found"
  }

  async function submit(context: Context, target: Target): Promise<Response> {
    const {queue, job: id, bodyLimit} = target
    const body = await context.req.text()
    if (Buffer.byteLength(body) > bodyLimit) return context.json({Error: "The body is too long."}, 413)
    const job = readJobRequest(body, {id, queue, acceptedAt: wallClock()})
    if (job.isErr()) {
      log.info(
        {event: "submit-malformed", job: id, queue: queue.name, problems: job.error},
        "a job cannot be read",
      )
      return context.json({Error: job.error.join(" ")}, 400)
    }
    const answer = await intake.submit(job.value, patienceOf(context))
    log.info({event: "submit", job: id, queue: queue.name, outcome: answer.type}, "a job was handed in")
    switch (answer.type) {
      case "stored":
        return context.json({})
      case "refused":
        return unavailable(context, answer.retryAfter)
      case "unknown":
        return context.json({Error: "It is not known whether the job is stored."}, 504)
    }
  }

  async function tellState(context: Context, target: Target): Promise<Response> {
    if (target.job === "") return context.json({Pending: intake.pending(target.queue.name)})
    const answer = await intake.state(target.job)
    switch (answer.type) {
      case "state":
        return context.json({State: answer.state})
      case "unknown-job":
        return context.json({Error: "There is no such job."}, 410)
      case "unavailable":
        return unavailable(context, 0)
    }
  }

  async function cancel(context: Context, target: Target): Promise<Response> {
    const outcome = await intake.cancel(target.job)
    log.info({event: "cancel", job: target.job, queue: target.queue.name, outcome}, "a cancel came in")
    switch (outcome) {
      case "cancelled":
        return context.json({})
      case "unknown-job":
        return context.json({Error: "There is no such job."}, 410)
      case "unavailable":
        return unavailable(context, 0)
    }
  }

  app.all("*", async context => {
    if (ports.isDraining()) context.header("Connection", "close")
    const target = locate(context)
    if (target === "no-configuration") return unavailable(context, 0)
    if (target === "not-found") return context.json({Error: "There is no such queue."}, 404)
    if (context.req.method === "GET") return tellState(context, target)
    if (target.job === "") return context.json({Error: "Name a job."}, 405)
    if (context.req.method === "POST") return submit(context, target)
    if (context.req.method === "DELETE") return cancel(context, target)
    return context.json({Error: "The method is not known here."}, 405)
  })
  app.onError((error, context) => {
    log.error({event: "request-failed", reason: describeError(error)}, "a request could not be handled")
    return context.json({Error: "The request could not be handled."}, 502)
  })
  return createAdaptorServer({fetch: app.fetch}) as Server
}

/** Creates the server for readiness checks and metrics; it is not listening yet. */
export function createStatusServer(isReady: () => boolean, metrics: () => string): Server {
  const app = new Hono()
  app.get("/api/readyz", context => context.text("", isReady() ? 200 : 503))
  app.get("/metrics", context => context.text(metrics()))
  return createAdaptorServer({fetch: app.fetch}) as Server
}
