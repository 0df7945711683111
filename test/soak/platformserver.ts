/** The platform on loopback for the soak: the store, the workers and advice over HTTP, from the fakes of the tests. */
import {createServer} from "node:http"
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Result} from "neverthrow"
import type {Milliseconds} from "../../src/core/clock.js"
import type {KeyValueStore, CommandAnswer, ReportAnswer, StartAnswer} from "../../src/pipelines/ports.js"
import type {FakeWorkers} from "../support/fakeworkers.js"
import {listenOn} from "./proxy.js"

interface Reply {
  readonly status: number
  readonly body?: unknown
}

type Body = Readonly<Record<string, unknown>>
type Handler = (path: string, query: URLSearchParams, body: Body, expected: string) => Promise<Reply | "none">

export interface SoakServer {
  readonly address: string
  /** Ends all open connections, as the end of the process behind them does. */
  readonly endConnections: () => void
  readonly close: () => void
}

const ADVICE_MS: Milliseconds = 20
const START_TIMEOUT_MS: Milliseconds = 500
const OK = 200
const NOT_FOUND = 404
const CONFLICT = 409
const GONE = 410
const CONDITION = 412
const TOO_LARGE = 413
const OTHER_WORKER = 421
const UNAVAILABLE = 503

async function readBody(request: IncomingMessage): Promise<Body> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const text = Buffer.concat(chunks).toString()
  return text === "" ? {} : (JSON.parse(text) as Body)
}

async function answer(handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? "", "http://platform")
  const expected = request.headers["x-lacewingstream-expect-instance"]
  const reply = await handler(
    url.pathname,
    url.searchParams,
    await readBody(request),
    typeof expected === "string" ? expected : "",
  )
  // A call whose fate the caller must not learn gets no answer.
  if (reply === "none") return
  response.writeHead(reply.status, {"Content-Type": "application/json"})
  response.end(reply.body === undefined ? "" : JSON.stringify(reply.body))
}

async function serve(host: string, handler: Handler): Promise<SoakServer> {
  const server = createServer((request, response) => {
    answer(handler, request, response).catch(() => request.socket.destroy())
  })
  const address = await listenOn(server, host)
  return {
    address,
    endConnections: () => server.closeAllConnections(),
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}

function encode(value: string): string {
  return Buffer.from(value).toString("base64")
}

function decode(value: unknown): string {
  return Buffer.from(String(value), "base64").toString()
}

interface WireItem {
  readonly key: string
  readonly value: string | undefined
  readonly revision: number
}

function item({key, value, revision}: WireItem): Body {
  return value === undefined
    ? {Key: key, Revision: revision, Tombstone: true}
    : {Key: key, Value: encode(value), Revision: revision, Lease: 0}
}

/** A store's failure: refused, or without an answer where it may have taken effect. */
function settle<T, E extends {readonly certainty: string}>(
  result: Result<T, E>,
  reply: (value: T) => Reply,
): Reply | "none" {
  if (result.isOk()) return reply(result.value)
  return result.error.certainty === "not-run" ? {status: UNAVAILABLE} : "none"
}

function list(value: unknown): readonly Body[] {
  return Array.isArray(value) ? (value as readonly Body[]) : []
}

/** Serves the store as one instance sees it. */
export function serveStore(host: string, store: KeyValueStore): Promise<SoakServer> {
  return serve(host, async (path, query, body) => {
    const prefix = query.get("Prefix") ?? ""
    if (path === "/api/kv-key")
      return settle(await store.read(query.get("Key") ?? ""), found =>
        found ? {status: OK, body: item(found)} : {status: NOT_FOUND},
      )
    if (path === "/api/kv-range")
      return settle(await store.list(prefix), listed => ({
        status: OK,
        body: {items: listed.items.map(item), HasMore: false, AsOf: listed.revision},
      }))
    if (path === "/api/kv-watch") {
      const watched = await store.watch(prefix, Number(query.get("After")), Number(query.get("WaitMs")))
      return settle(watched, seen =>
        seen.type === "history-lost"
          ? {status: GONE}
          : {status: OK, body: {events: seen.changes.map(item), AsOf: seen.revision}},
      )
    }
    const committed = await store.commit({
      conditions: list(body.Expected).map(({Key, Revision}) => ({
        key: String(Key),
        revision: Number(Revision),
      })),
      writes: list(body.Writes).map(({Key, Value}) => ({key: String(Key), value: decode(Value)})),
      removals: list(body.Remove).map(String),
    })
    return settle(committed, result => {
      if (result.type === "rejected") return {status: TOO_LARGE}
      return result.type === "committed"
        ? {status: OK, body: {Revision: result.revision}}
        : {status: CONDITION, body: {items: result.items.map(item)}}
    })
  })
}

function startReply(answered: StartAnswer): Reply {
  if (answered.type === "replaced") return {status: OTHER_WORKER}
  if (answered.type === "started") return {status: OK, body: {ServerTimeMs: 0}}
  const reason = answered.reason === "superseded" ? "fence" : answered.reason
  return {status: CONFLICT, body: {ServerTimeMs: 0, Reason: reason}}
}

function orderReply(answered: CommandAnswer): Reply {
  if (answered === "replaced") return {status: OTHER_WORKER}
  return answered === "done" ? {status: OK, body: {}} : {status: CONFLICT, body: {Reason: "fence"}}
}

function reportReply(answered: ReportAnswer): Reply {
  if (answered.type === "replaced") return {status: OTHER_WORKER}
  if (answered.type === "superseded") return {status: CONFLICT, body: {Reason: "fence"}}
  const {clock, bornAt, running, ended} = answered.report
  return {
    status: OK,
    body: {
      ServerTimeMs: clock,
      born: bornAt,
      Running: running.map(run => [run.task, run.attempt, run.checkpoint, run.percent, run.gauge]),
      Finished: ended.map(end => [end.number, end.task, end.attempt, end.end, end.checkpoint]),
    },
  }
}

/** Serves one worker. `addressOf` is the address under which the fakes know it. */
export function serveWorker(
  host: string,
  workers: FakeWorkers,
  addressOf: () => string,
): Promise<SoakServer> {
  const calls = workers.callsFor("http")
  const optionalNumber = (value: unknown): number | undefined =>
    typeof value === "number" ? value : undefined
  return serve(host, async (path, _query, body, expected) => {
    const target = {id: expected, address: addressOf()}
    const [task, attempt, term] = [String(body.Task), Number(body.Attempt), Number(body.FencingToken)]
    const unanswered = (): "none" => "none"
    if (path === "/api/hold") {
      const reported = await calls.report(target, {
        term,
        acknowledged: Number(body.Observed),
        incarnation: workers.listing(expected).bornAt,
        deadline: optionalNumber(body.DeadlineMs),
        wait: Number(body.WaitMs ?? 0),
      })
      return reported.match(reportReply, unanswered)
    }
    if (path === "/api/run-start") {
      const started = await calls.start(target, {
        task,
        attempt,
        payload: String(body.Spec),
        incarnation: workers.listing(expected).bornAt,
        deadline: Number(body.DeadlineMs),
        term,
        ticket: typeof body.Ticket === "string" ? body.Ticket : "",
        checkpoint: "",
        timeout: START_TIMEOUT_MS,
      })
      return started.match(startReply, unanswered)
    }
    if (path === "/api/run-stop")
      return (await calls.stop(target, task, attempt, term)).match(orderReply, unanswered)
    return (await calls.throttle(target, task, attempt, Number(body.Percent), term)).match(
      orderReply,
      unanswered,
    )
  })
}

/** Serves advice that allows every worker. */
export function serveAdvice(host: string): Promise<SoakServer> {
  return serve(host, async (_path, _query, body) => {
    await new Promise(resolve => setTimeout(resolve, ADVICE_MS))
    const names = Array.isArray(body.Workers) ? body.Workers.map(String) : []
    return {status: OK, body: {Good: names.map(worker => [worker, `ticket ${worker}`])}}
  })
}
