/** Connections between instances whose machines lose power or network. */
import {once} from "node:events"
import {connect} from "node:net"
import {Worker} from "node:worker_threads"
import test from "ava"
import type {FleetHandlers} from "../../src/peer/fleet.js"
import {fleetClients, fleetRoutes, FOREIGN_STATE} from "../../src/peer/fleet.js"
import {openPeerConnection} from "../../src/peer/connection.js"
import {servePeers} from "../../src/peer/server.js"

const LOOPBACK = "127.0.0.1"
const CALL_TIMEOUT_MS = 6000
/** Connections that fill the queue of a listener which accepts none. */
const QUEUED_CONNECTIONS = 4

const HANDLERS: FleetHandlers = {
  ping: () => ({
    leads: false,
    term: 0,
    leader: undefined,
    leaderAgeMs: 0,
    storeFailingMs: 0,
    configurationVersion: 0,
    configurationAgeMs: 0,
    members: undefined,
    membersDigest: 0,
    fittest: [],
    queues: undefined,
    loadingMs: 0,
    clockMs: 0,
  }),
  storeJob: () => Promise.resolve("stored"),
  jobState: job => `state of ${job}`,
  cancelJob: () => Promise.resolve("cancelled"),
  ask: () => Promise.resolve({permits: undefined, busyMs: 0, serviceMs: 0}),
  takeOver: () => false,
  configuration: () => "",
  acceptChannel: () => ({receive: () => undefined, onClosed: () => undefined}),
}

/**
 * A relay for a separate thread. The thread is blocked, so that the listener accepts no connection, until the shared
 * word changes.
 */
const RELAY = `
const {connect, createServer} = require("node:net")
const {parentPort, workerData} = require("node:worker_threads")
const server = createServer(near => {
  const far = connect(workerData.target, "${LOOPBACK}")
  near.on("error", () => far.destroy())
  far.on("error", () => near.destroy())
  near.pipe(far).pipe(near)
})
server.listen({port: 0, host: "${LOOPBACK}", backlog: 1}, () => {
  parentPort.postMessage(server.address().port)
  setImmediate(() => Atomics.wait(workerData.word, 0, 0))
})
`

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(":") + 1))
}

test("an attempt to connect that gets no answer ends soon, and the next call opens a new connection", async t => {
  const server = await servePeers(fleetRoutes(HANDLERS), `${LOOPBACK}:0`, undefined)
  t.teardown(() => server.close())
  const word = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  const thread = new Worker(RELAY, {eval: true, workerData: {word, target: portOf(server.address)}})
  t.teardown(() => thread.terminate())
  const [port] = (await once(thread, "message")) as [number]
  const queued = Array.from({length: QUEUED_CONNECTIONS}, () => connect(port, LOOPBACK))
  for (const socket of queued) socket.on("error", () => undefined)
  t.teardown(() => queued.forEach(socket => socket.destroy()))
  await new Promise(resolve => setTimeout(resolve, 200))

  const clients = fleetClients(undefined)
  t.teardown(clients.close)
  const peer = clients.reach(`${LOOPBACK}:${port}`)
  const startedAt = performance.now()
  const failed = await peer.jobState("first", undefined, CALL_TIMEOUT_MS)
  t.true(failed.isErr())
  t.true(performance.now() - startedAt < CALL_TIMEOUT_MS / 2)

  Atomics.store(word, 0, 1)
  Atomics.notify(word, 0)
  for (const socket of queued) socket.destroy()
  t.is((await peer.jobState("second", undefined, CALL_TIMEOUT_MS))._unsafeUnwrap(), "state of second")
})

test.serial("a call made while a dead connection is being dropped causes no uncaught exception", async t => {
  const server = await servePeers(fleetRoutes(HANDLERS), `${LOOPBACK}:0`, undefined)
  t.teardown(() => server.close())
  const uncaught: unknown[] = []
  const record = (error: unknown): unknown => uncaught.push(error)
  process.prependListener("uncaughtException", record)
  t.teardown(() => process.off("uncaughtException", record))

  const {session} = openPeerConnection(server.address, undefined)
  t.teardown(() => session.abort())
  const first = await session.request("POST", "/first", {}, {})
  first.on("error", () => undefined)
  // As the library does when a ping gets no answer.
  first.session?.destroy(new Error("PING timed out"))
  const second = await session.request("POST", "/second", {}, {})
  second.on("error", () => undefined)
  t.not(second.session, first.session)
  const [headers] = (await once(second, "response")) as [Readonly<Record<string, unknown>>]
  t.is(headers[":status"], 404)
  await new Promise(resolve => setTimeout(resolve, 100))
  t.deepEqual(uncaught, [])
})

test("a call tells for whom it is made: a workspace, a caller without one, or nobody to be checked", async t => {
  const seen: unknown[] = []
  const handlers: FleetHandlers = {
    ...HANDLERS,
    jobState(job, caller) {
      seen.push([job, caller])
      return FOREIGN_STATE
    },
    cancelJob(job, alreadyStored, caller) {
      seen.push([job, alreadyStored, caller])
      return Promise.resolve("foreign")
    },
    storeJob: () => Promise.resolve("foreign"),
  }
  const server = await servePeers(fleetRoutes(handlers), `${LOOPBACK}:0`, undefined)
  t.teardown(() => server.close())
  const clients = fleetClients(undefined)
  t.teardown(() => clients.close())
  const peer = clients.reach(server.address)
  for (const caller of [{workspace: "red"}, {workspace: undefined}, undefined]) {
    t.is((await peer.jobState("one", caller, CALL_TIMEOUT_MS))._unsafeUnwrap(), FOREIGN_STATE)
    t.is((await peer.cancelJob("one", true, caller, CALL_TIMEOUT_MS))._unsafeUnwrap(), "foreign")
  }
  t.is((await peer.storeJob("", false, CALL_TIMEOUT_MS))._unsafeUnwrap(), "foreign")
  t.deepEqual(seen, [
    ["one", {workspace: "red"}],
    ["one", true, {workspace: "red"}],
    ["one", {workspace: undefined}],
    ["one", true, {workspace: undefined}],
    ["one", undefined],
    ["one", true, undefined],
  ])
})
