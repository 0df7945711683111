/** Test fixture for the request path: entry instances on loopback sockets, in front of a small stand-in platform. */
import {randomUUID} from "node:crypto"
import {connect} from "node:net"
import {Agent, request} from "undici"
import {sleep, systemClock} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import type {BackendServer} from "../../standins/backendserver.js"
import {FOLDWIND} from "../../standins/deployments.js"
import type {Deployment} from "../../standins/deployments.js"
import {OPERATOR_KEY, startTrial} from "../../standins/trial.js"
import type {TrialEnvironment} from "../../standins/trial.js"

export const SMALL_DEPLOYMENT: Deployment = {
  ...FOLDWIND,
  entryInstances: 2,
  pools: [
    {
      pool: "crease",
      service: "crease",
      workers: 3,
      perRack: 3,
      capacity: {processors: 8, memoryMebibytes: 8192, accelerators: 0},
    },
  ],
}

export const DOCUMENT = `[environment]
name = sockets
job_groups = 16
data_centres = cascadia-a, cascadia-b, cascadia-c
[limits]
maximum_body_bytes = 10000
open_requests_per_caller = 40
[service.crease]
pool = crease
queue = 30
deadline = 3s
[team.schools]
open_requests = 4
[workload.packs]
kind = batch
pool = crease
`

export interface Answer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
}

export interface EntryFixture {
  readonly environment: TrialEnvironment
  readonly address: string
  readonly send: (path: string, options?: SendOptions) => Promise<Answer>
  readonly backend: (index: number) => BackendServer
  /** Number of requests with the given identity that reached a backend server. */
  readonly countRuns: (id: string) => number
  readonly countRunsOfKey: (key: string) => number
  readonly close: () => Promise<void>
}

export interface SendOptions {
  readonly method?: "GET" | "POST" | "PUT" | "DELETE"
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
  readonly address?: string
}

/** Starts an environment on free ports, so that each test can have its own. */
export async function startEntryFixture(
  instances = 1,
  deployment: Deployment = SMALL_DEPLOYMENT,
  document = DOCUMENT,
): Promise<EntryFixture> {
  const environment = await startTrial(deployment, 1, () => SILENT_LOGGER)
  for (let index = 1; index <= instances; index += 1) await environment.startEntry(`entry-${index}`)
  environment.list.settle()
  await environment.promote(document)
  await environment.untilReady(10_000)
  await waitUntilServing(environment)
  const [entry] = environment.entries.values()
  const address = entry?.callerAddress ?? ""
  const agent = new Agent({connections: 64})

  return {
    environment,
    address,
    async send(path, options = {}) {
      const {method = "GET", body, headers = {}, signal} = options
      const target = `http://${options.address ?? address}/services/crease${path}`
      const reply = await request(target, {dispatcher: agent, method, body: body ?? null, headers, signal})
      return {status: reply.statusCode, headers: reply.headers, text: await reply.body.text()}
    },
    backend(index) {
      const found = [...environment.backends.values()][index]
      if (!found) throw new RangeError(`There is no backend server ${index}.`)
      return found
    },
    countRuns: id => environment.truth.requests().filter(run => run.request === id).length,
    countRunsOfKey: key => environment.truth.requests().filter(run => run.key.includes(key)).length,
    async close() {
      await agent.destroy()
      await environment.close()
    },
  }
}

/** Waits until each entry instance answers a request, so that a test starts with slots granted. */
async function waitUntilServing(environment: TrialEnvironment): Promise<void> {
  for (const entry of environment.entries.values()) {
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const reply = await request(`http://${entry.callerAddress}/services/crease/warm?work=0`)
      await reply.body.text()
      if (reply.statusCode === 200) break
      await sleep(systemClock(), 50)
    }
  }
}

/** Time limit for the first bytes of an answer, long enough for a computer under load. */
const FIRST_ANSWER_TIMEOUT_MS = 30_000

/**
 * Sends raw bytes and resolves with everything received until the server closes the connection, or until nothing has
 * arrived for `quietMs` milliseconds after the first bytes.
 */
export function sendRaw(address: string, text: string, quietMs = 600): Promise<string> {
  const [host = "", port = "0"] = address.split(":")
  return new Promise(resolve => {
    const socket = connect(Number(port), host)
    let received = ""
    const finish = (): void => {
      socket.destroy()
      resolve(received)
    }
    let timer = setTimeout(finish, FIRST_ANSWER_TIMEOUT_MS)
    socket.on("data", part => {
      received += part.toString("utf8")
      clearTimeout(timer)
      timer = setTimeout(finish, quietMs)
    })
    socket.on("error", () => undefined)
    socket.on("close", () => {
      clearTimeout(timer)
      resolve(received)
    })
    socket.write(text)
  })
}

/** Creates an idempotency key: a UUID of version 7, issued now by default. */
export function freshKey(issuedAt = Date.now()): string {
  const time = issuedAt.toString(16).padStart(12, "0")
  const rest = randomUUID().slice(15)
  return `${time.slice(0, 8)}-${time.slice(8)}-7${rest}`
}

export {OPERATOR_KEY}
