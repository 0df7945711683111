/** The worker port over the workers' HTTP interface. Every call names the worker that it is meant for. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import {CallFailed} from "../core/errors.js"
import type {RunEnd} from "../pipelines/model.js"
import type {
  EndedTask,
  CommandAnswer,
  ReportAnswer,
  RunningTask,
  StartAnswer,
  WorkerCalls,
  WorkerTarget,
} from "../pipelines/ports.js"
import type {JsonCaller, JsonReply} from "./http.js"
import {asList, asNumber, asObject, asText} from "./wire.js"

/** A worker answers an order in a few milliseconds; beyond this its fate is settled by asking again. */
const ORDER_TIMEOUT_MS: Milliseconds = 500
/** What a report may take beyond the wait that was asked for. */
const REPORT_SLACK_MS: Milliseconds = 350

const STATUS_OK = 200
const STATUS_CONFLICT = 409
const STATUS_OTHER_WORKER = 421
const MALFORMED = 400
const UNHEALTHY = [429, 503]

const ENDS: ReadonlySet<string> = new Set(["done", "failed", "stopped", "lapsed", "broken", "alone"])

/** The worker's words for a refused start, and ours. */
const REFUSALS = {fence: "superseded", old: "old", late: "late", room: "room", ticket: "ticket"} as const

/** A row is `[task, attempt, checkpoint, percent, gauge]`. */
function readRunning(row: unknown): RunningTask {
  const [task, attempt, checkpoint, percent, gauge] = asList(row)
  return {
    task: asText(task),
    attempt: asNumber(attempt),
    checkpoint: asText(checkpoint),
    percent: asNumber(percent),
    gauge: asNumber(gauge),
  }
}

/** A row is `[number, task, attempt, how, checkpoint]`. */
function readEnded(row: unknown): EndedTask {
  const [number, task, attempt, how, checkpoint] = asList(row)
  const word = asText(how)
  return {
    number: asNumber(number),
    task: asText(task),
    attempt: asNumber(attempt),
    end: ENDS.has(word) ? (word as RunEnd) : "lapsed",
    checkpoint: asText(checkpoint),
  }
}

function refusalOf(body: unknown): StartAnswer {
  const word = asText(asObject(body).Reason)
  const reason = Object.hasOwn(REFUSALS, word) ? REFUSALS[word as keyof typeof REFUSALS] : "busy"
  return {type: "refused", reason}
}

function readReport(body: unknown): ReportAnswer {
  const fields = asObject(body)
  return {
    type: "report",
    report: {
      clock: asNumber(fields.ServerTimeMs),
      bornAt: asNumber(fields.born),
      running: asList(fields.Running).map(readRunning),
      ended: asList(fields.Finished).map(readEnded),
    },
  }
}

/** Creates the port. */
export function workerCalls(caller: JsonCaller): WorkerCalls {
  async function post(
    target: WorkerTarget,
    path: string,
    body: unknown,
    timeout: Milliseconds,
  ): Promise<Result<JsonReply, CallFailed>> {
    return caller.call("POST", target.address, path, body, timeout, {
      "X-Lacewingstream-Expect-Instance": target.id,
    })
  }

  function unexpected(target: WorkerTarget, reply: JsonReply): CallFailed {
    return new CallFailed(target.address, `status ${reply.status}`, "unknown")
  }

  async function order(
    target: WorkerTarget,
    path: string,
    body: unknown,
  ): Promise<Result<CommandAnswer, CallFailed>> {
    const reply = await post(target, path, body, ORDER_TIMEOUT_MS)
    if (reply.isErr()) return err(reply.error)
    switch (reply.value.status) {
      case STATUS_OK:
        return ok("done")
      case STATUS_OTHER_WORKER:
        return ok("replaced")
      case STATUS_CONFLICT:
        return ok(asText(asObject(reply.value.body).Reason) === "fence" ? "superseded" : "refused")
      default:
        return err(unexpected(target, reply.value))
    }
  }

  return {
    async report(target, request) {
      const body = {
        FencingToken: request.term,
        Observed: request.acknowledged,
        ...(request.deadline === undefined ? {} : {DeadlineMs: request.deadline}),
        ...(request.wait > 0 ? {WaitMs: request.wait} : {}),
      }
      const reply = await post(target, "/api/hold", body, request.wait + REPORT_SLACK_MS)
      if (reply.isErr()) return err(reply.error)
      if (reply.value.status === STATUS_OK) return ok(readReport(reply.value.body))
      if (reply.value.status === STATUS_OTHER_WORKER) return ok({type: "replaced"})
      if (reply.value.status === STATUS_CONFLICT) return ok({type: "superseded"})
      return err(unexpected(target, reply.value))
    },
    async start(target, start) {
      const body = {
        Task: start.task,
        Attempt: start.attempt,
        Spec: start.payload,
        DeadlineMs: start.deadline,
        FencingToken: start.term,
        ...(start.ticket === "" ? {} : {Ticket: start.ticket}),
        ...(start.checkpoint === "" ? {} : {Checkpoint: start.checkpoint}),
      }
      const reply = await post(target, "/api/run-start", body, ORDER_TIMEOUT_MS)
      if (reply.isErr()) return err(reply.error)
      const {status} = reply.value
      if (status === STATUS_OK) return ok({type: "started"})
      if (status === STATUS_OTHER_WORKER) return ok({type: "replaced"})
      if (status === STATUS_CONFLICT) return ok(refusalOf(reply.value.body))
      if (status === MALFORMED) return ok({type: "refused", reason: "malformed"})
      if (UNHEALTHY.includes(status)) return ok({type: "refused", reason: "busy"})
      return err(unexpected(target, reply.value))
    },
    stop: (target, task, attempt, term) =>
      order(target, "/api/run-stop", {Task: task, Attempt: attempt, FencingToken: term}),
    throttle: (target, task, attempt, percent, term) =>
      order(target, "/api/pace", {Task: task, Attempt: attempt, Percent: percent, FencingToken: term}),
  }
}
