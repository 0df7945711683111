/** One entry instance with real loopback sockets before small fakes, for tests of the request path. */
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

export const SMALL: Deployment = {
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

export interface Bench {
  readonly environment: TrialEnvironment
  readonly address: string
  readonly ask: (path: string, options?: AskOptions) => Promise<Answer>
  readonly backend: (index: number) => BackendServer
  /** Requests that reached backend servers with the identity given. */
  readonly runsOf: (id: string) => number
  readonly runsOfKey: (key: string) => number
  readonly close: () => Promise<void>
}

export interface AskOptions {
  readonly method?: "GET" | "POST" | "PUT" | "DELETE"
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
  readonly address?: string
}

/** Starts the environment. Each test has its own, on free ports. */
export async function openBench(
  instances = 1,
  deployment: Deployment = SMALL,
  document = DOCUMENT,
): Promise<Bench> {
  const environment = await startTrial(deployment, 1, () => SILENT_LOGGER)
  for (let index = 1; index <= instances; index += 1) await environment.startEntry(`entry-${index}`)
  environment.list.settle()
  await environment.promote(document)
  await environment.untilReady(10_000)
  await untilServing(environment)
  const [entry] = environment.entries.values()
  const address = entry?.callerAddress ?? ""
  const agent = new Agent({connections: 64})

  return {
    environment,
    address,
    async ask(path, options = {}) {
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
    runsOf: id => environment.truth.requests().filter(run => run.request === id).length,
    runsOfKey: key => environment.truth.requests().filter(run => run.key.includes(key)).length,
    async close() {
      await agent.destroy()
      await environment.close()
    },
  }
}

/** Waits until a request is answered, so that a test begins with slots at hand. */
async function untilServing(environment: TrialEnvironment): Promise<void> {
  for (const entry of environment.entries.values()) {
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const reply = await request(`http://${entry.callerAddress}/services/crease/warm?work=0`)
      await reply.body.text()
      if (reply.statusCode === 200) break
      await sleep(systemClock(), 50)
    }
  }
}

/** Within this time something has to come back, also on a busy machine. */
const FIRST_ANSWER_MS = 30_000

/**
 * Sends raw bytes and gives all that comes back until the other side closes, or nothing more has come for `quiet`
 * milliseconds after the first bytes.
 */
export function sendRaw(address: string, text: string, quiet = 600): Promise<string> {
  const [host = "", port = "0"] = address.split(":")
  return new Promise(resolve => {
    const socket = connect(Number(port), host)
    let received = ""
    const finish = (): void => {
      socket.destroy()
      resolve(received)
    }
    let timer = setTimeout(finish, FIRST_ANSWER_MS)
    socket.on("data", part => {
      received += part.toString("utf8")
      clearTimeout(timer)
      timer = setTimeout(finish, quiet)
    })
    socket.on("error", () => undefined)
    socket.on("close", () => {
      clearTimeout(timer)
      resolve(received)
    })
    socket.write(text)
  })
}

/** A key of version 7 issued now. */
export function freshKey(issuedAt = Date.now()): string {
  const time = issuedAt.toString(16).padStart(12, "0")
  const rest = randomUUID().slice(15)
  return `${time.slice(0, 8)}-${time.slice(8)}-7${rest}`
}

export {OPERATOR_KEY}
