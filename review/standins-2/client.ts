/**
 * A client of the system. It hands a job in under a name of its own, and again under that name at another instance after
 * an answer that leaves it open whether the job is stored, up to four times. Whoever is told to come back does so.
 */
import {randomBytes} from "node:crypto"
import {asObject, asText, pause, send} from "./http.js"
import type {Body} from "./http.js"

const DEADLINE_MS = 3000
const RETRIES = 4
const RETRY_PAUSE_MS = 300
const NAME_BYTES = 8

export interface Queue {
  readonly host: string
  readonly prefix: string
}

export interface Submission {
  readonly job: string
  /** The statuses of all tries; 0 where there was no answer. */
  readonly statuses: readonly number[]
  readonly isAccepted: boolean
  /** When the answer came. */
  readonly at: number
}

export interface Client {
  readonly submit: (queue: Queue, pipeline: readonly Body[], spec: string) => Promise<Submission>
  /** Hands a job in and leaves without an answer after the given time. The status is 0 if there was none by then. */
  readonly submitAndLeave: (
    queue: Queue,
    pipeline: readonly Body[],
    spec: string,
    patience: number,
  ) => Promise<{readonly job: string; readonly status: number}>
  /** Cancels the job at any instance. The status is 0 without an answer. */
  readonly cancel: (queue: Queue, job: string) => Promise<number>
  /** The state that is shown, or the status where none is; 0 without an answer. */
  readonly state: (queue: Queue, job: string) => Promise<string | number>
}

export function createClient(addresses: readonly string[]): Client {
  let turn = 0

  async function request(
    method: string,
    {host, prefix}: Queue,
    job: string,
    body: unknown,
    timeout = DEADLINE_MS,
  ): Promise<{readonly status: number; readonly body: unknown}> {
    turn += 1
    const address = addresses[turn % addresses.length] ?? ""
    const headers = {Host: host, "X-Lacewingstream-Deadline-Ms": String(DEADLINE_MS)}
    const reply = await send(method, address, `${prefix}${job}`, headers, body, timeout)
    return {status: reply?.status ?? 0, body: reply?.body}
  }

  return {
    async submit(queue, pipeline, spec) {
      const job = randomBytes(NAME_BYTES).toString("hex")
      const statuses: number[] = []
      for (let tries = 0; tries <= RETRIES; tries += 1) {
        if (tries > 0) await pause(RETRY_PAUSE_MS)
        const {status} = await request("POST", queue, job, {Spec: spec, Pipeline: pipeline})
        statuses.push(status)
        if (status >= 200 && status < 300) return {job, statuses, isAccepted: true, at: performance.now()}
      }
      return {job, statuses, isAccepted: false, at: performance.now()}
    },
    async submitAndLeave(queue, pipeline, spec, patience) {
      const job = randomBytes(NAME_BYTES).toString("hex")
      const {status} = await request("POST", queue, job, {Spec: spec, Pipeline: pipeline}, patience)
      return {job, status}
    },
    async cancel(queue, job) {
      const {status} = await request("DELETE", queue, job, undefined)
      return status
    },
    async state(queue, job) {
      const {status, body} = await request("GET", queue, job, undefined)
      return status === 200 ? asText(asObject(body).State) : status
    },
  }
}
