/** How the HTTP server for callers answers calls by their keys: before the body is read, and again with the answer. */
import {once} from "node:events"
import {request as sendRequest} from "node:http"
import type {IncomingMessage, Server} from "node:http"
import type {AddressInfo} from "node:net"
import test from "ava"
import {createClientGuard} from "../../src/callers/guard.js"
import {clientLimits} from "../../src/callers/limits.js"
import {systemClock} from "../../src/core/clock.js"
import type {ExecutionContext} from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {Caller} from "../../src/pipelines/callers.js"
import type {FleetConfiguration, PipelineJob} from "../../src/pipelines/model.js"
import {createAuthorizer} from "../../src/planner/authorizer.js"
import type {Intake} from "../../src/planner/intake.js"
import {createFrontend} from "../../src/platform/frontend.js"
import {FLEET_READER} from "../../src/platform/fleetreader.js"
import {QUEUE} from "../support/fleet.js"

const WITHDRAWAL_LIMIT_MS = 5000
const JOB_PATH = "/checks/00000000000000aa"
const JOB = JSON.stringify({Spec: "", Pipeline: [{Count: 1}]})

/** What an instance knows and answers, which a test changes. */
interface Scripted {
  age: Milliseconds
  keys: readonly string[]
  isConfigured: boolean
  /** Runs while the intake has a call in hand. */
  meanwhile: () => void
  /** What a new confirmation brings. */
  refresh: () => void
  answer: "stored" | "foreign"
}

/** Starts a frontend whose configuration is in the platform's form. */
async function startFrontend(t: ExecutionContext) {
  const submitted: PipelineJob[] = []
  const callers: (Caller | undefined)[] = []
  const logged: string[] = []
  const write = (fields: object): void => void logged.push(JSON.stringify(fields))
  const log = {debug: write, info: write, warn: write, error: write}
  const state: Scripted = {
    age: 0,
    keys: ["kept", "lost"],
    isConfigured: true,
    meanwhile: () => undefined,
    refresh: () => undefined,
    answer: "stored",
  }
  const configuration = (): FleetConfiguration | undefined =>
    state.isConfigured
      ? FLEET_READER.decodeConfiguration(
          JSON.stringify({
            Version: 1 + 2 - state.keys.length,
            Routes: [
              {...ROUTE, Name: "checks", Prefix: "/checks/"},
              {...ROUTE, Name: "open", Prefix: "/open/", Public: true},
            ],
            Services: [],
            Tenants: [{Name: "red", ApiKeys: state.keys}],
            Limits: {MaxBodyBytes: 10_000},
          }),
        )
      : undefined
  const intake: Intake = {
    submit(job) {
      submitted.push(job)
      state.meanwhile()
      return Promise.resolve({type: state.answer})
    },
    state(_job, caller) {
      callers.push(caller)
      state.meanwhile()
      return Promise.resolve(
        state.answer === "foreign" ? {type: "foreign"} : {type: "state", state: "running"},
      )
    },
    cancel(_job, caller) {
      callers.push(caller)
      state.meanwhile()
      return Promise.resolve(state.answer === "foreign" ? "foreign" : "cancelled")
    },
    pending() {
      state.meanwhile()
      return 3
    },
  }
  const clock = virtualClock(1000)
  const authorizer = createAuthorizer({
    clock,
    log,
    configuration,
    age: () => state.age,
    refresh() {
      state.refresh()
      return Promise.resolve()
    },
    withdrawalLimit: WITHDRAWAL_LIMIT_MS,
  })
  const server = createFrontend({
    intake,
    authorizer,
    configuration,
    wallClock: () => 0,
    longestRecord: 2 ** 20,
    log,
    guard: createClientGuard(clientLimits({memoryMebibytes: 0, descriptors: 0}), systemClock(), log),
    isDraining: () => false,
  })
  server.listen(0, "127.0.0.1")
  await once(server, "listening")
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  async function ask(method: string, path: string, key?: string): Promise<number> {
    const response = await fetch(`${address}${path}`, {
      method,
      headers: {"Content-Type": "application/json", ...(key === undefined ? {} : {"X-Api-Key": key})},
      ...(method === "POST" ? {body: JOB} : {}),
    })
    await response.text()
    return response.status
  }
  const askAll = async (key?: string): Promise<readonly number[]> => [
    await ask("POST", JOB_PATH, key),
    await ask("GET", JOB_PATH, key),
    await ask("DELETE", JOB_PATH, key),
    await ask("GET", "/checks/", key),
  ]
  return {server, state, submitted, callers, logged, ask, askAll}
}

const ROUTE = {Host: "127.0.0.1", Service: QUEUE.service}

/** Sends the head of a submission, and returns the response to it and the request, whose body may be sent. */
function sendHead(server: Server, key: string) {
  const request = sendRequest({
    host: "127.0.0.1",
    port: (server.address() as AddressInfo).port,
    method: "POST",
    path: JOB_PATH,
    headers: {"X-Api-Key": key, "Content-Length": JOB.length},
  })
  request.on("error", () => undefined)
  request.flushHeaders()
  const status = once(request, "response").then(([response]) => {
    const answer = response as IncomingMessage
    answer.resume()
    return answer.statusCode
  })
  return {request, status}
}

test("every call on a queue that is not public needs a known key; a missing queue comes first", async t => {
  const {state, submitted, callers, logged, ask, askAll} = await startFrontend(t)
  t.deepEqual(await askAll("kept"), [200, 200, 200, 200])
  t.is(submitted[0]?.workspace, "red")
  t.deepEqual(callers, [{workspace: "red"}, {workspace: "red"}])
  t.deepEqual(await askAll("wrong"), [401, 401, 401, 401])
  t.deepEqual(await askAll(), [401, 401, 401, 401])
  t.deepEqual(await askAll("kept, kept"), [401, 401, 401, 401])
  t.is(await ask("PUT", JOB_PATH, "wrong"), 401)
  t.is(await ask("PUT", JOB_PATH, "kept"), 405)
  t.is(await ask("POST", "/none/00000000000000aa", "kept"), 404)
  t.is(await ask("POST", "/none/00000000000000aa", "wrong"), 404)
  t.is(submitted.length, 1)
  state.isConfigured = false
  t.deepEqual(await askAll("wrong"), [503, 503, 503, 503])
  for (const key of ["kept", "wrong"]) t.false(logged.some(line => line.includes(`"${key}`)))
})

test("a public queue serves everyone, and knows the workspace of a known key", async t => {
  const {state, submitted, ask} = await startFrontend(t)
  t.is(await ask("POST", "/open/00000000000000aa"), 200)
  t.is(await ask("POST", "/open/00000000000000aa", "wrong"), 200)
  t.is(await ask("POST", "/open/00000000000000aa", "kept"), 200)
  state.age = Infinity
  t.is(await ask("POST", "/open/00000000000000aa", "kept"), 200)
  t.deepEqual(
    submitted.map(job => job.workspace),
    [undefined, undefined, "red", undefined],
  )
})

test("a call is refused with its head, before its body is read", async t => {
  const {server, state, submitted} = await startFrontend(t)
  t.is(await sendHead(server, "wrong").status, 401)
  state.age = 4600
  t.is(await sendHead(server, "kept").status, 503)
  t.is(submitted.length, 0)
})

test("a key that is withdrawn while the body is read has no job stored", async t => {
  const {server, state, submitted} = await startFrontend(t)
  for (const [change, expected] of [
    [() => (state.keys = ["kept"]), 401],
    [() => (state.age = 4600), 503],
  ] as const) {
    state.keys = ["kept", "lost"]
    const {request, status} = sendHead(server, "lost")
    await new Promise(resolve => setTimeout(resolve, 100))
    change()
    request.end(JOB)
    t.is(await status, expected)
  }
  t.is(submitted.length, 0)
})

test("an instance that cannot know of a withdrawal refuses all keyed calls, with a time to come back", async t => {
  const {server, state, askAll} = await startFrontend(t)
  state.age = 4500
  t.deepEqual(await askAll("kept"), [200, 200, 200, 200])
  state.age = 4501
  t.deepEqual(await askAll("kept"), [503, 503, 503, 503])
  t.deepEqual(await askAll("wrong"), [503, 503, 503, 503])
  const {port} = server.address() as AddressInfo
  const response = await fetch(`http://127.0.0.1:${port}${JOB_PATH}`, {headers: {"X-Api-Key": "kept"}})
  t.is(response.headers.get("retry-after"), "1")
})

test("a key that is withdrawn while a call is in hand gets no success; a stored job is not called refused", async t => {
  const {state, submitted, ask} = await startFrontend(t)
  const changes = [() => void (state.keys = ["kept"]), () => void (state.age = 4600)]
  for (const change of changes) {
    const statuses: number[] = []
    for (const [method, path] of [
      ["POST", JOB_PATH],
      ["GET", JOB_PATH],
      ["DELETE", JOB_PATH],
      ["GET", "/checks/"],
    ] as const) {
      state.age = 0
      state.keys = ["kept", "lost"]
      state.meanwhile = change
      statuses.push(await ask(method, path, "lost"))
    }
    t.deepEqual(statuses, [504, 503, 503, 503])
  }
  t.is(submitted.length, 2)
})

test("an answer that waited for the same outage as the confirmation is given once that has come", async t => {
  const {state, ask} = await startFrontend(t)
  state.meanwhile = () => void (state.age = 4600)
  state.refresh = () => void (state.age = 0)
  t.is(await ask("POST", JOB_PATH, "kept"), 200)
})

test("another workspace's job is neither shown nor cancelled nor taken for the caller's own", async t => {
  const {state, askAll} = await startFrontend(t)
  state.answer = "foreign"
  t.deepEqual((await askAll("kept")).slice(0, 3), [409, 403, 403])
})
