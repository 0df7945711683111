/**
 * Tests the platform's HTTP clients against servers that give scripted answers, and the HTTP server for callers with a
 * scripted intake.
 */
import {createServer} from "node:http"
import type {Server} from "node:http"
import type {AddressInfo} from "node:net"
import test from "ava"
import type {ExecutionContext} from "ava"
import {err, ok} from "neverthrow"
import {createClientGuard} from "../../src/callers/guard.js"
import {clientLimits} from "../../src/callers/limits.js"
import {systemClock} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {CallFailed, StoreUnavailable} from "../../src/core/errors.js"
import type {Authorization} from "../../src/pipelines/callers.js"
import type {FleetConfiguration} from "../../src/pipelines/model.js"
import type {Intake} from "../../src/planner/intake.js"
import {adviceCalls} from "../../src/platform/advicecalls.js"
import {createFrontend, createStatusServer} from "../../src/platform/frontend.js"
import type {FrontendPorts} from "../../src/platform/frontend.js"
import {jsonClient} from "../../src/platform/http.js"
import {keyValueStore} from "../../src/platform/kvstore.js"
import {workerCalls} from "../../src/platform/workercalls.js"
import {QUEUE} from "../support/fleet.js"

interface RecordedRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, unknown>>
  readonly body: unknown
}

interface ScriptedAnswer {
  readonly status: number
  readonly body?: unknown
}

async function bind(server: Server): Promise<string> {
  await new Promise<void>(resolve => {
    server.listen(0, "127.0.0.1", resolve)
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function close(server: Server): void {
  server.close()
  server.closeAllConnections()
}

/** Starts a server that records requests and gives the scripted answers in order. `reset` closes the connection. */
async function startScriptedServer(answers: readonly (ScriptedAnswer | "reset")[]) {
  const requests: RecordedRequest[] = []
  const remaining = [...answers]
  const server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on("data", (chunk: Buffer) => chunks.push(chunk))
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString()
      const {method = "", url = "", headers} = request
      requests.push({
        method,
        path: url,
        headers,
        body: text === "" ? undefined : (JSON.parse(text) as unknown),
      })
      const answer = remaining.shift()
      if (answer === undefined || answer === "reset") {
        request.socket.destroy()
        return
      }
      response.writeHead(answer.status, {"Content-Type": "application/json"})
      response.end(answer.body === undefined ? "" : JSON.stringify(answer.body))
    })
  })
  const address = await bind(server)
  return {address, requests, close: () => close(server)}
}

const START_ORDER = {
  task: "t.0.0.1",
  attempt: 1,
  payload: "",
  incarnation: 1,
  deadline: 605_000,
  term: 7,
  ticket: "",
  checkpoint: "",
  timeout: 5000,
}

/** Starts a worker that records what it is asked, with its incarnations numbered from 1, and a client for it. */
async function startRestartableWorker(t: ExecutionContext) {
  const requests: Readonly<Record<string, unknown>>[] = []
  let born = 1
  const server = createServer((request, response) => {
    request.setEncoding("utf8").on("data", (text: string) => {
      requests.push({...(JSON.parse(text) as object), path: request.url})
      response.end(JSON.stringify({ServerTimeMs: 1, born, Running: [], Finished: []}))
    })
  })
  const address = await bind(server)
  const clients = [jsonClient(), jsonClient(1)] as const
  t.teardown(async () => {
    close(server)
    for (const client of clients) await client.close()
  })
  return {
    target: {id: "worker", address},
    requests,
    calls: workerCalls(...clients),
    starts: () => requests.filter(({path}) => path === "/api/run-start"),
    async restart() {
      born += 1
      server.closeAllConnections()
      await new Promise(resolve => setTimeout(resolve, 50))
    },
  }
}

function encodeBase64(value: string): string {
  return Buffer.from(value).toString("base64")
}

test("the store's keys, pages, watches and transactions", async t => {
  const item = (key: string) => ({
    Key: key,
    Value: encodeBase64(`value of ${key}`),
    Revision: 9,
    Created: 9,
    Lease: 0,
  })
  const server = await startScriptedServer([
    {status: 200, body: {...item("a"), AsOf: 20}},
    {status: 404, body: {AsOf: 20}},
    {status: 200, body: {items: [item("p/1"), item("p/2")], HasMore: true, AsOf: 21}},
    {status: 200, body: {items: [item("p/3")], HasMore: false, AsOf: 22}},
    {status: 200, body: {events: [item("p/1"), {Key: "p/2", Revision: 30, Tombstone: true}], AsOf: 30}},
    {status: 410},
    {status: 200, body: {Revision: 31}},
    {status: 412, body: {items: [item("a"), {Key: "b", Value: "", Revision: 0}]}},
    {status: 503},
    {status: 429},
    "reset",
  ])
  const store = keyValueStore(jsonClient(), server.address)
  const transaction = {
    conditions: [{key: "a", revision: 3}],
    writes: [{key: "a", value: "é"}],
    removals: ["b"],
  }
  t.snapshot((await store.read("a"))._unsafeUnwrap())
  t.is((await store.read("b"))._unsafeUnwrap(), undefined)
  t.snapshot((await store.list("p/"))._unsafeUnwrap())
  t.snapshot((await store.watch("p/", 22, 500))._unsafeUnwrap())
  t.deepEqual((await store.watch("p/", 22, 500))._unsafeUnwrap(), {type: "history-lost"})
  t.deepEqual((await store.commit(transaction))._unsafeUnwrap(), {type: "committed", revision: 31})
  t.snapshot((await store.commit(transaction))._unsafeUnwrap())
  const certainties: string[] = []
  for (let call = 0; call < 3; call += 1) {
    const failed = (await store.commit(transaction))._unsafeUnwrapErr()
    t.true(failed instanceof StoreUnavailable)
    certainties.push(failed.certainty)
  }
  t.deepEqual(
    certainties,
    ["not-run", "not-run", "unknown"],
    "after a reset connection the outcome is unknown",
  )
  t.snapshot(server.requests.map(({method, path, body}) => ({method, path, body})))
  server.close()
})

test("a transaction that the store does not take is told from one that it could not answer", async t => {
  const statuses = [400, 403, 413, 408, 429, 503, 500]
  const server = await startScriptedServer(statuses.map(status => ({status})))
  const client = jsonClient()
  t.teardown(async () => {
    server.close()
    await client.close()
  })
  const store = keyValueStore(client, server.address)
  const answers: string[] = []
  for (const status of statuses) {
    const answer = await store.commit({conditions: [], writes: [{key: "a", value: "b"}], removals: []})
    answers.push(
      `${status}: ${answer.match(
        result => result.type,
        failure => failure.certainty,
      )}`,
    )
  }
  t.snapshot(answers)
})

test("a list of the store resumes at the page that failed, with time enough for a slow link", async t => {
  const page = (key: string, more: boolean) => ({
    status: 200,
    body: {items: [{Key: key, Value: "", Revision: 9}], HasMore: more, AsOf: 20},
  })
  const silent = new CallFailed("store:1", "no response before the timeout", "unknown")
  const answers = [page("p/1", true), silent, {status: 503, body: undefined}, page("p/2", false)]
  const calls: (readonly [path: string, timeout: number])[] = []
  const store = keyValueStore(
    {
      call(_method, _address, path, _body, timeout) {
        calls.push([path, timeout])
        const answer = answers.shift() ?? silent
        return Promise.resolve(answer instanceof CallFailed ? err(answer) : ok(answer))
      },
    },
    "store:1",
    1200,
  )
  const pages: number[] = []
  t.deepEqual(
    (await store.list("p/", items => pages.push(items)))._unsafeUnwrap().items.map(({key}) => key),
    ["p/1", "p/2"],
  )
  t.deepEqual(pages, [1], "the pages but the last are told as they come")
  t.snapshot(calls)
  t.true((await store.list("p/")).isErr(), "a store that stays silent is given up")
})

test("a worker's answers to reports and orders", async t => {
  const rows = {
    ServerTimeMs: 482_113,
    born: 77,
    Running: [["t.0.0.1", 2, "c1", 41, 1500]],
    Finished: [[58, "t.0.0.2", 1, "done", ""]],
  }
  const server = await startScriptedServer([
    {status: 200, body: rows},
    {status: 200, body: rows},
    {status: 409, body: {Reason: "fence"}},
    {status: 421},
    {status: 200, body: {ServerTimeMs: 1}},
    {status: 409, body: {Reason: "room"}},
    {status: 409, body: {Reason: "fence"}},
    {status: 503},
    {status: 421},
    {status: 200},
    {status: 409, body: {Reason: "fence"}},
    {status: 200},
  ])
  const calls = workerCalls(jsonClient(), jsonClient())
  const target = {id: "i-7f", address: server.address}
  const request = {term: 7, acknowledged: 57, incarnation: 77, deadline: 486_000, wait: 900}
  const first = {...request, acknowledged: 0, incarnation: 0, deadline: undefined, wait: 0}
  t.snapshot((await calls.report(target, first))._unsafeUnwrap())
  t.snapshot((await calls.report(target, request))._unsafeUnwrap())
  t.deepEqual((await calls.report(target, {...request, deadline: undefined, wait: 0}))._unsafeUnwrap(), {
    type: "superseded",
  })
  t.deepEqual((await calls.report(target, request))._unsafeUnwrap(), {type: "replaced"})
  const order = {
    task: "t.0.0.1",
    attempt: 2,
    payload: "p",
    incarnation: 77,
    deadline: 486_000,
    term: 7,
    ticket: "k",
    checkpoint: "c",
    timeout: 500,
  }
  const answers: unknown[] = []
  for (let call = 0; call < 5; call += 1)
    answers.push((await calls.start(target, {...order, ticket: call === 1 ? "" : "k"}))._unsafeUnwrap())
  t.snapshot(answers)
  t.is((await calls.stop(target, "t.0.0.1", 2, 7))._unsafeUnwrap(), "done")
  t.is((await calls.stop(target, "t.0.0.1", 2, 7))._unsafeUnwrap(), "superseded")
  t.is((await calls.throttle(target, "t.0.0.1", 2, 40, 7))._unsafeUnwrap(), "done")
  t.true(server.requests.every(({headers}) => headers["x-lacewingstream-expect-instance"] === "i-7f"))
  t.snapshot(server.requests.map(({path, body}) => ({path, body})))
  server.close()
})

test("a report with as many ends as a worker lists at a time may omit others", async t => {
  const rows = Array.from({length: 500}, (_, index) => [index + 1, `t.0.0.${index}`, 1, "done", ""])
  const server = await startScriptedServer(
    [rows, rows.slice(1)].map(Finished => ({
      status: 200,
      body: {ServerTimeMs: 1, born: 77, Running: [], Finished},
    })),
  )
  const clients = [jsonClient(), jsonClient()] as const
  t.teardown(async () => {
    server.close()
    for (const client of clients) await client.close()
  })
  const request = {term: 7, acknowledged: 0, incarnation: 0, deadline: undefined, wait: 0}
  const target = {id: "i-7f", address: server.address}
  const calls = workerCalls(...clients)
  const omitted: boolean[] = []
  for (let call = 0; call < 2; call += 1) {
    const answer = (await calls.report(target, request))._unsafeUnwrap()
    omitted.push(answer.type === "report" && answer.report.mayOmitEnds)
  }
  t.deepEqual(omitted, [true, false])
})

test("no end is acknowledged over a connection that may lead to a later incarnation of the worker", async t => {
  const worker = await startRestartableWorker(t)
  const {calls} = worker
  const report = async (incarnation: number): Promise<void> => {
    // The timeout follows the wait; the worker answers at once.
    const request = {term: 7, acknowledged: 57, incarnation, deadline: 486_000, wait: 10_000}
    t.true((await calls.report(worker.target, request)).isOk())
  }
  for (const incarnation of [0, 1, 1]) await report(incarnation)
  await worker.restart()
  for (const incarnation of [1, 1, 2]) await report(incarnation)
  const seen = worker.requests.map(({Observed, DeadlineMs, WaitMs}) => [Observed, DeadlineMs, WaitMs])
  const asked = [0, undefined, undefined]
  const full = [57, 486_000, 10_000]
  t.deepEqual(seen, [asked, full, full, asked, asked, full], "nor is a lease extended or a wait asked for")
})

// A worker that had restarted took a start order with a deadline on the clock of its former life, and ran the task for the
// longest lease while its leader had given it up after a short one and started it elsewhere.
test("a start order reaches only the incarnation of the worker that its deadline was chosen for", async t => {
  const worker = await startRestartableWorker(t)
  const {calls, target} = worker
  const started = await Promise.all([1, 2, 3].map(attempt => calls.start(target, {...START_ORDER, attempt})))
  for (const answer of started) t.deepEqual(answer._unsafeUnwrap(), {type: "started"})
  t.true(worker.starts().length === 3, "new connections of the same incarnation are used")
  await worker.restart()
  t.is((await calls.start(target, START_ORDER))._unsafeUnwrapErr().certainty, "not-run")
  const request = {term: 7, acknowledged: 0, incarnation: 1, deadline: undefined, wait: 0}
  t.true((await calls.report(target, request)).isOk(), "the connection leads to the later incarnation")
  t.is((await calls.start(target, START_ORDER))._unsafeUnwrapErr().certainty, "not-run")
  t.is(worker.starts().length, 3)
  t.true((await calls.start(target, {...START_ORDER, incarnation: 2})).isOk())
  t.is(worker.starts().length, 4)
})

test("a start order on a new connection to a silent worker is known not to have run", async t => {
  const silent = createServer(() => undefined)
  const address = await bind(silent)
  t.teardown(() => close(silent))
  const calls = workerCalls(jsonClient(), jsonClient(1))
  t.is(
    (await calls.start({id: "worker", address}, {...START_ORDER, timeout: 200}))._unsafeUnwrapErr().certainty,
    "not-run",
  )
})

test("a refused connection fails as not-run, a missing answer as unknown", async t => {
  const silent = createServer(() => undefined)
  const address = await bind(silent)
  t.teardown(() => {
    silent.closeAllConnections()
    silent.close()
  })
  const caller = jsonClient()
  // Long enough to connect on a computer under load. A timeout before the connection is established gives `not-run`.
  const unanswered = (await caller.call("POST", address, "/", {}, 3000))._unsafeUnwrapErr()
  t.is(unanswered.certainty, "unknown")
  silent.closeAllConnections()
  await new Promise(resolve => silent.close(resolve))
  const refused = (await caller.call("POST", address, "/", {}, 30_000))._unsafeUnwrapErr()
  t.true(refused instanceof CallFailed)
  t.is(refused.certainty, "not-run")
})

test("advice returns the allowed workers with their tickets", async t => {
  const server = await startScriptedServer([
    {
      status: 200,
      body: {
        Good: [
          ["i-1", "k1"],
          ["i-2", "k2"],
        ],
        ValidMs: 3000,
      },
    },
    {status: 429},
  ])
  const advice = adviceCalls(jsonClient(), server.address)
  t.deepEqual((await advice.ask("j.0.1", ["i-1", "i-2", "i-3"], 500))._unsafeUnwrap(), [
    {worker: "i-1", ticket: "k1"},
    {worker: "i-2", ticket: "k2"},
  ])
  t.true((await advice.ask("j.0.1", ["i-1"], 500)).isErr())
  server.close()
})

const ALLOWED: Authorization = {type: "allowed", caller: {workspace: undefined}}
const SERVES_ALL: FrontendPorts["authorizer"] = {
  check: () => ALLOWED,
  checkAgain: () => Promise.resolve(ALLOWED),
}

test("clients are answered by what the instance says of the job", async t => {
  const configuration: FleetConfiguration = {
    version: 1,
    queues: [QUEUE],
    services: [],
    workspaces: [],
    bodyLimit: 400,
  }
  const intake: Intake = {
    submit: ({id}) =>
      Promise.resolve(
        id.endsWith("1")
          ? {type: "stored"}
          : id.endsWith("2")
            ? {type: "refused", retryAfter: 2000}
            : {type: "unknown"},
      ),
    state: job =>
      Promise.resolve(
        job.endsWith("1")
          ? {type: "state", state: "running"}
          : job.endsWith("2")
            ? {type: "unknown-job"}
            : {type: "unavailable"},
      ),
    cancel: job =>
      Promise.resolve(job.endsWith("1") ? "cancelled" : job.endsWith("2") ? "unknown-job" : "unavailable"),
    pending: () => 12,
  }
  const held: {present: FleetConfiguration | undefined} = {present: undefined}
  const server = createFrontend({
    longestRecord: 2 ** 20,
    intake,
    authorizer: SERVES_ALL,
    configuration: () => held.present,
    wallClock: () => 0,
    log: SILENT_LOGGER,
    guard: createClientGuard(
      clientLimits({memoryMebibytes: 0, descriptors: 0}),
      systemClock(),
      SILENT_LOGGER,
    ),
    isDraining: () => false,
  })
  const address = await bind(server)
  const answers: unknown[] = []
  const ask = async (method: string, path: string, body?: unknown): Promise<void> => {
    const response = await fetch(`http://${address}${path}`, {
      method,
      headers: {"Content-Type": "application/json"},
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
    })
    answers.push([method, path, response.status, response.headers.get("retry-after"), await response.text()])
  }
  const job = {Spec: "", Pipeline: [{Count: 1}]}
  await ask("GET", "/checks/")
  held.present = {...configuration, queues: [{...QUEUE, host: "127.0.0.1"}]}
  for (const digit of ["1", "2", "3"]) {
    const path = `/checks/000000000000000${digit}`
    await ask("POST", path, job)
    await ask("GET", path)
    await ask("DELETE", path)
  }
  await ask("GET", "/checks/")
  await ask("POST", "/checks/0000000000000001", {Spec: "x".repeat(500), Pipeline: [{Count: 1}]})
  await ask("POST", "/checks/0000000000000001", {Pipeline: []})
  await ask("POST", "/checks/short", job)
  await ask("POST", "/other/0000000000000001", job)
  await ask("PUT", "/checks/0000000000000001", job)
  t.snapshot(answers)
  close(server)
})

test("readiness and metrics", async t => {
  let ready = false
  const server = createStatusServer(
    () => ready,
    () => "lacewing_leads 1\n",
  )
  const address = await bind(server)
  t.is((await fetch(`http://${address}/api/readyz`)).status, 503)
  ready = true
  t.is((await fetch(`http://${address}/api/readyz`)).status, 200)
  t.is(await (await fetch(`http://${address}/metrics`)).text(), "lacewing_leads 1\n")
  close(server)
})

test("a call without an answer closes the idle connections to the same address", async t => {
  let connections = 0
  let silent = false
  const server = createServer((_request, response) => {
    if (!silent) response.end("{}")
  })
  server.on("connection", () => (connections += 1))
  t.teardown(() => close(server))
  const address = await bind(server)
  const caller = jsonClient()
  const call = (timeout: number) => caller.call("GET", address, "/", undefined, timeout)
  await Promise.all([call(30_000), call(30_000), call(30_000)])
  t.is(connections, 3)
  silent = true
  t.true((await call(1000)).isErr())
  silent = false
  t.true((await call(30_000)).isOk())
  t.is(connections, 4, "the two idle connections are not reused")
})

test("a response that ends before its body is complete fails as unknown", async t => {
  const server = createServer((request, response) => {
    request.resume()
    response.writeHead(200, {"Content-Length": 100})
    response.write('{"half":')
    setTimeout(() => request.socket.destroy(), 20)
  })
  const address = await bind(server)
  t.teardown(() => close(server))
  const caller = jsonClient()
  t.teardown(() => caller.close())
  const answer = await caller.call("POST", address, "/", {}, 10_000)
  t.is(answer.isErr() ? answer.error.certainty : "answered", "unknown")
})
