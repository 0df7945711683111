/** A small load tool: callers that send requests and jobs through the balancer and check what they are told. */
import {Agent, request as send} from "undici"
import type {Dispatcher} from "undici"
import {sleep} from "../src/core/clock.js"
import type {Clock, Milliseconds} from "../src/core/clock.js"
import type {Random} from "../src/core/random.js"

export type RequestClass = "short" | "long" | "receipt"

/** What a caller was told: `broken` is a connection that was cut, `wrong` an answer that is not its own or not whole. */
export type Told = "ran" | "not-run" | "unknown" | "broken" | "wrong" | "silent"

export interface AskedRequest {
  readonly id: string
  readonly key: string
  readonly kind: RequestClass
  readonly sentAt: Milliseconds
  told: Told
  took: Milliseconds
  detail: string
}

export interface AskedJob {
  readonly workload: string
  readonly kind: "batch" | "gang" | "service" | "once" | "urgent"
  readonly key: string
  readonly submittedAt: Milliseconds
  accepted: boolean
  job: string
  /** Result of each task, as the caller was told; empty while the job is open. */
  results: readonly string[]
  refusal: string
}

export interface LoadPorts {
  readonly clock: Clock
  readonly random: Random
  readonly address: string
}

export interface LoadClient {
  readonly ask: (
    kind: RequestClass,
    service: string,
    work: Milliseconds,
    deadline: Milliseconds,
  ) => Promise<AskedRequest>
  readonly submit: (kind: AskedJob["kind"], body: Readonly<Record<string, unknown>>) => Promise<AskedJob>
  /** Reads the job until it has ended or the limit has passed. */
  readonly follow: (job: AskedJob, limit: Milliseconds) => Promise<void>
  readonly cancel: (job: AskedJob) => Promise<void>
  readonly requests: () => readonly AskedRequest[]
  readonly jobs: () => readonly AskedJob[]
  readonly close: () => Promise<void>
}

const CONNECTIONS = 64
const SILENT_AFTER_MS: Milliseconds = 8000
const SUBMIT_ATTEMPTS = 12
const POLL_MS: Milliseconds = 250
const ANSWER_BYTES = 512

interface JobBody {
  readonly job?: string
  readonly state?: string
  readonly tasks?: readonly {readonly state: string}[]
  readonly title?: string
  readonly detail?: string
  readonly execution?: string
}

/** A UUID of version 7 from the wall clock and a seeded generator. */
export function newKey(clock: Clock, random: Random): string {
  const time = Math.floor(clock.wallClock()).toString(16).padStart(12, "0")
  const hex = (digits: number): string =>
    random
      .below(16 ** digits)
      .toString(16)
      .padStart(digits, "0")
  return `${time.slice(0, 8)}-${time.slice(8)}-7${hex(3)}-8${hex(3)}-${hex(6)}${hex(6)}`
}

/** Creates the callers. */
export function loadClient(ports: LoadPorts): LoadClient {
  const {clock, random} = ports
  const agent = new Agent({
    connections: CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: 2000,
    headersTimeout: 0,
    bodyTimeout: 0,
  })
  const requests: AskedRequest[] = []
  const jobs: AskedJob[] = []
  const base = `http://${ports.address}`

  function judge(asked: AskedRequest, reply: Dispatcher.ResponseData, text: string): Told {
    const execution = String(reply.headers["lacewing-execution"] ?? "")
    if (execution === "not-run" || execution === "unknown") {
      asked.detail = text.slice(0, 300)
      return execution
    }
    const whole = text.length === ANSWER_BYTES && text.includes(`"request":"${asked.id}"`)
    return whole || reply.headers["idempotency-replayed"] === "true" ? "ran" : "wrong"
  }

  async function ask(
    kind: RequestClass,
    service: string,
    work: Milliseconds,
    deadline: Milliseconds,
  ): Promise<AskedRequest> {
    const key = kind === "receipt" ? newKey(clock, random) : ""
    const id = newKey(clock, random)
    const asked: AskedRequest = {id, key, kind, sentAt: clock.now(), told: "silent", took: 0, detail: ""}
    requests.push(asked)
    const headers: Record<string, string> = {"request-id": id, prefer: `wait=${deadline / 1000}`}
    if (key !== "") headers["idempotency-key"] = `"${key}"`
    const path = kind === "receipt" ? "receipts" : kind === "long" ? "simulate" : "check"
    try {
      const reply = await send(`${base}/services/${service}/${path}?work=${work}&size=${ANSWER_BYTES}`, {
        dispatcher: agent,
        method: kind === "receipt" ? "POST" : "GET",
        headers,
        body: kind === "receipt" ? JSON.stringify({amount: 1}) : null,
        signal: AbortSignal.timeout(deadline + SILENT_AFTER_MS),
      })
      asked.told = judge(asked, reply, await reply.body.text())
    } catch (error) {
      asked.told = (error as Error).name === "TimeoutError" ? "silent" : "broken"
      asked.detail = String(error)
    }
    asked.took = clock.now() - asked.sentAt
    return asked
  }

  async function callJob(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body: string | null,
    key: string,
  ): Promise<{readonly status: number; readonly body: JobBody} | undefined> {
    try {
      const headers: Record<string, string> = {"content-type": "application/json"}
      if (key !== "") headers["idempotency-key"] = key
      const reply = await send(base + path, {
        dispatcher: agent,
        method,
        headers,
        body,
        signal: AbortSignal.timeout(SILENT_AFTER_MS),
      })
      return {status: reply.statusCode, body: (await reply.body.json()) as JobBody}
    } catch {
      return undefined
    }
  }

  async function submit(kind: AskedJob["kind"], body: Readonly<Record<string, unknown>>): Promise<AskedJob> {
    const key = newKey(clock, random)
    const workload = String(body.workload)
    const asked: AskedJob = {
      workload,
      kind,
      key,
      submittedAt: clock.now(),
      accepted: false,
      job: "",
      results: [],
      refusal: "",
    }
    jobs.push(asked)
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
      const reply = await callJob("POST", "/jobs", JSON.stringify(body), key)
      if (reply && (reply.status === 200 || reply.status === 202)) {
        asked.accepted = true
        asked.job = reply.body.job ?? ""
        return asked
      }
      if (reply && reply.status < 500) {
        asked.refusal = `${reply.status} ${reply.body.title ?? ""}: ${reply.body.detail ?? ""}`
        return asked
      }
      await sleep(clock, POLL_MS * 2)
    }
    asked.refusal = "no clear answer"
    return asked
  }

  async function follow(job: AskedJob, limit: Milliseconds): Promise<void> {
    const end = clock.now() + limit
    while (job.accepted && clock.now() < end) {
      const reply = await callJob("GET", `/jobs/${job.job}`, null, "")
      if (reply?.status === 200 && reply.body.state === "ended") {
        job.results = (reply.body.tasks ?? []).map(task => task.state)
        return
      }
      await sleep(clock, POLL_MS)
    }
  }

  return {
    ask,
    submit,
    follow,
    async cancel(job) {
      for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
        const reply = await callJob("DELETE", `/jobs/${job.job}`, null, "")
        if (reply?.status === 200) return
        await sleep(clock, POLL_MS)
      }
    },
    requests: () => requests,
    jobs: () => jobs,
    close: () => agent.destroy(),
  }
}
