/**
 * Implements `WorkerCalls` over the workers' HTTP interface. Each call names the worker that it is meant for, so that
 * another worker that has taken over the address refuses it. A worker that has restarted keeps its name; its
 * incarnations are told apart by their connections, since none outlives the process that it leads to.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import {CallFailed} from "../core/errors.js"
import type {RunEnd} from "../pipelines/model.js"
import type {
  EndedTask,
  CommandAnswer,
  RunningTask,
  StartAnswer,
  WorkerCalls,
  WorkerReport,
  WorkerTarget,
} from "../pipelines/ports.js"
import type {Connection, JsonClient, JsonReply} from "./http.js"
import {asArray, asNumber, asObject, asString} from "./wire.js"

/**
 * Workers answer an order within a few milliseconds. When an order times out, its outcome is determined by asking
 * the worker again.
 */
const ORDER_TIMEOUT_MS: Milliseconds = 500
/** How much longer than the requested wait a report may take. */
const REPORT_SLACK_MS: Milliseconds = 350
const REPORT_PATH = "/api/hold"

const STATUS_OK = 200
const STATUS_CONFLICT = 409
const STATUS_MISDIRECTED_REQUEST = 421
const STATUS_BAD_REQUEST = 400
const BUSY_STATUSES = [429, 503]

/** A worker lists this many ends at a time. */
const MAX_LISTED_ENDS = 500
const RUN_ENDS: ReadonlySet<string> = new Set(["done", "failed", "stopped", "lapsed", "broken", "alone"])

/** Maps the reasons that a worker gives for a refused start to those of `StartAnswer`. */
const REFUSAL_REASONS = {
  fence: "superseded",
  old: "old",
  late: "late",
  room: "room",
  ticket: "ticket",
} as const

/** Decodes a row `[task, attempt, checkpoint, percent, gauge]`. */
function readRunning(row: unknown): RunningTask {
  const [task, attempt, checkpoint, percent, gauge] = asArray(row)
  return {
    task: asString(task),
    attempt: asNumber(attempt),
    checkpoint: asString(checkpoint),
    percent: asNumber(percent),
    gauge: asNumber(gauge),
  }
}

/** Decodes a row `[number, task, attempt, end, checkpoint]`. An unknown end is read as an expired lease. */
function readEnded(row: unknown): EndedTask {
  const [number, task, attempt, end, checkpoint] = asArray(row)
  const kind = asString(end)
  return {
    number: asNumber(number),
    task: asString(task),
    attempt: asNumber(attempt),
    end: RUN_ENDS.has(kind) ? (kind as RunEnd) : "lapsed",
    checkpoint: asString(checkpoint),
  }
}

function readRefusal(body: unknown): StartAnswer {
  const wireReason = asString(asObject(body).Reason)
  const reason = Object.hasOwn(REFUSAL_REASONS, wireReason)
    ? REFUSAL_REASONS[wireReason as keyof typeof REFUSAL_REASONS]
    : "busy"
  return {type: "refused", reason}
}

function readReport(body: unknown): WorkerReport {
  const fields = asObject(body)
  const ended = asArray(fields.Finished).map(readEnded)
  return {
    clock: asNumber(fields.ServerTimeMs),
    bornAt: asNumber(fields.born),
    running: asArray(fields.Running).map(readRunning),
    ended,
    mayOmitEnds: ended.length >= MAX_LISTED_ENDS,
  }
}

function headersFor(target: WorkerTarget): Readonly<Record<string, string>> {
  return {"X-Lacewingstream-Expect-Instance": target.id}
}

/**
 * Creates a client for all workers. Reports that only tell to which incarnation a new connection leads go through
 * `identityClient`, since such connections may occupy all those of `client`.
 */
export function workerCalls(client: JsonClient, identityClient: JsonClient): WorkerCalls {
  /** The incarnation of the worker that each connection leads to, where it is known. */
  const incarnations = new WeakMap<Connection, number>()
  /** Reads of a worker's incarnation that have not been sent yet, by worker. */
  const unsentReads = new Map<string, Promise<number | undefined>>()

  /** The present incarnation of the worker; undefined if the worker does not tell. */
  function readIncarnation(target: WorkerTarget, term: number): Promise<number | undefined> {
    const unsent = unsentReads.get(target.id)
    if (unsent) return unsent
    const forgetUnsent = (): void => {
      if (unsentReads.get(target.id) === read) unsentReads.delete(target.id)
    }
    const bodyFor = (): unknown => {
      forgetUnsent()
      return {FencingToken: term, Observed: 0}
    }
    const read = identityClient
      .post(target.address, REPORT_PATH, bodyFor, ORDER_TIMEOUT_MS, headersFor(target))
      .then(reply => {
        forgetUnsent()
        if (reply.isErr() || reply.value.status !== STATUS_OK) return undefined
        return asNumber(asObject(reply.value.body).born)
      })
    unsentReads.set(target.id, read)
    return read
  }

  /**
   * True if the connection leads to the given incarnation. A worker that is asked after the connection was established
   * and names this incarnation has not restarted since.
   */
  async function confirmIncarnation(
    connection: Connection,
    target: WorkerTarget,
    incarnation: number,
    term: number,
  ): Promise<boolean> {
    const isConfirmed = (await readIncarnation(target, term)) === incarnation
    if (isConfirmed) incarnations.set(connection, incarnation)
    return isConfirmed
  }

  function unexpectedStatus(target: WorkerTarget, reply: JsonReply): CallFailed {
    return new CallFailed(target.address, `status ${reply.status}`, "unknown")
  }

  async function sendOrder(
    target: WorkerTarget,
    path: string,
    body: unknown,
  ): Promise<Result<CommandAnswer, CallFailed>> {
    const reply = await client.call("POST", target.address, path, body, ORDER_TIMEOUT_MS, headersFor(target))
    if (reply.isErr()) return err(reply.error)
    switch (reply.value.status) {
      case STATUS_OK:
        return ok("done")
      case STATUS_MISDIRECTED_REQUEST:
        return ok("replaced")
      case STATUS_CONFLICT:
        return ok(asString(asObject(reply.value.body).Reason) === "fence" ? "superseded" : "refused")
      default:
        return err(unexpectedStatus(target, reply.value))
    }
  }

  return {
    async report(target, request) {
      let connection: Connection | undefined
      const bodyFor = (carrier: Connection): unknown => {
        connection = carrier
        // Over a connection that may lead to another incarnation, the worker is only asked who it is, without a wait.
        if (incarnations.get(carrier) !== request.incarnation)
          return {FencingToken: request.term, Observed: 0}
        return {
          FencingToken: request.term,
          Observed: request.acknowledged,
          ...(request.deadline === undefined ? {} : {DeadlineMs: request.deadline}),
          ...(request.wait > 0 ? {WaitMs: request.wait} : {}),
        }
      }
      const timeout = request.wait + REPORT_SLACK_MS
      const reply = await client.post(target.address, REPORT_PATH, bodyFor, timeout, headersFor(target))
      if (reply.isErr()) return err(reply.error)
      if (reply.value.status === STATUS_OK) {
        const report = readReport(reply.value.body)
        if (connection) incarnations.set(connection, report.bornAt)
        return ok({type: "report", report})
      }
      if (reply.value.status === STATUS_MISDIRECTED_REQUEST) return ok({type: "replaced"})
      if (reply.value.status === STATUS_CONFLICT) return ok({type: "superseded"})
      return err(unexpectedStatus(target, reply.value))
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
      const bodyFor = (connection: Connection): unknown => {
        const known = incarnations.get(connection)
        if (known !== undefined) return known === start.incarnation ? body : undefined
        return confirmIncarnation(connection, target, start.incarnation, start.term).then(isConfirmed =>
          isConfirmed ? body : undefined,
        )
      }
      const reply = await client.post(
        target.address,
        "/api/run-start",
        bodyFor,
        start.timeout,
        headersFor(target),
      )
      if (reply.isErr()) return err(reply.error)
      const {status} = reply.value
      if (status === STATUS_OK) return ok({type: "started"})
      if (status === STATUS_MISDIRECTED_REQUEST) return ok({type: "replaced"})
      if (status === STATUS_CONFLICT) return ok(readRefusal(reply.value.body))
      if (status === STATUS_BAD_REQUEST) return ok({type: "refused", reason: "malformed"})
      if (BUSY_STATUSES.includes(status)) return ok({type: "refused", reason: "busy"})
      return err(unexpectedStatus(target, reply.value))
    },
    stop: (target, task, attempt, term) =>
      sendOrder(target, "/api/run-stop", {Task: task, Attempt: attempt, FencingToken: term}),
    throttle: (target, task, attempt, percent, term) =>
      sendOrder(target, "/api/pace", {Task: task, Attempt: attempt, Percent: percent, FencingToken: term}),
  }
}
