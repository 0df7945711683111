/** Callers of a soak: they hand in jobs on kept connections, ask for states, cancel, and note every broken promise. */
import {Agent, request as httpRequest} from "node:http"
import type {Milliseconds} from "../../src/core/clock.js"
import type {Random} from "../../src/core/random.js"
import type {FakeWorkers} from "../support/fakeworkers.js"
import type {SoakInstance} from "./instances.js"
import {STEADY_KEY} from "./keys.js"
import type {SoakKeys} from "./keys.js"

export interface SoakJob {
  readonly id: string
  /** Tasks of each step; a step begins when the one before is done. */
  readonly steps: readonly number[]
  acceptedAt: Milliseconds | undefined
  /** An answer left open whether the job is stored. */
  doubtful: boolean
  cancelled: boolean
  /** The caller cancelled the job before its submission was answered, so that it may be unknown ever after. */
  left: boolean
  /** Starts of its tasks when the bound on a cancelling had passed; undefined unless the cancelling was answered. */
  startsBeforeBound: number | undefined
}

export interface Callers {
  readonly jobs: readonly SoakJob[]
  /** Hands in this many jobs at once. Resolves to the number of those that were accepted. */
  readonly burst: (count: number) => Promise<number>
  /** Hands in jobs until told to stop. */
  readonly run: () => void
  readonly stop: () => Promise<void>
  readonly close: () => void
  /** The state of a job as the instance tells it, or the status where it tells none. */
  readonly stateAt: (instance: SoakInstance, job: SoakJob) => Promise<string>
  readonly taskNames: (job: SoakJob) => readonly string[]
  /** How often tasks of the job have started. */
  readonly countStarts: (job: SoakJob) => number
}

interface Reply {
  readonly status: number
  readonly text: string
}

const HOST = "soak.example"
const PREFIX = "/checks/"
const PATIENCE_MS: Milliseconds = 3000
/** A connection that ends within this span of the request may have crossed with the end of the process. */
const CROSSING_MS: Milliseconds = 200
/** Requests this near to a kill or the end of a pause may break. */
const DISTURBED_MS: Milliseconds = 4000
/** An accepted job is known everywhere within this span, as the platform asks. */
const VISIBLE_MS: Milliseconds = 3000
const TRIES = 4
const CALLERS = 6
const CANCEL_SHARE = 0.1
/** Each of this many jobs is cancelled before its submission is answered. */
const LEAVING_EVERY = 8
const LEAVE_AFTER_MS: Milliseconds = 300
/** No task is started this long after its job's cancelling was answered, as the platform asks. */
const CANCEL_BOUND_MS: Milliseconds = 3000
/** A worker may carry an order out late, until the lease that comes with it has run out. */
const LATE_ORDER_MS: Milliseconds = 4000
const MOST_TASKS = 5
const ID_DIGITS = 16

export function createCallers(
  instances: readonly SoakInstance[],
  workers: FakeWorkers,
  random: Random,
  keys: SoakKeys,
  faults: string[],
): Callers {
  const jobs: SoakJob[] = []
  const agents = new Map<string, Agent>()
  let stopped = false
  let running: readonly Promise<void>[] = []

  function call(
    instance: SoakInstance,
    method: "GET" | "POST" | "DELETE",
    path: string,
    body: string,
    key = STEADY_KEY,
  ): Promise<Reply | undefined> {
    const agent = agents.get(instance.name) ?? new Agent({keepAlive: true, maxSockets: CALLERS})
    agents.set(instance.name, agent)
    const [host = "", port = ""] = instance.callers.split(":")
    const life = instance.life()
    const wasStopping = instance.phase() === "stopping"
    return new Promise(resolve => {
      let sentAt = Infinity
      const headers = {host: HOST, "x-lacewingstream-deadline-ms": String(PATIENCE_MS), "x-api-key": key}
      const calledAt = performance.now()
      const request = httpRequest({agent, method, host, port: Number(port), path, headers})
      const timer = setTimeout(() => request.destroy(new Error("patience")), PATIENCE_MS)
      const end = (reply: Reply | undefined): void => {
        clearTimeout(timer)
        const fault = reply && keys.findFault(key, calledAt, reply.status)
        if (fault !== undefined) faults.push(`${instance.name} ${fault}`)
        resolve(reply)
      }
      request.once("finish", () => {
        sentAt = performance.now()
      })
      request.once("error", error => {
        const now = performance.now()
        const calm = now - instance.disturbedAt() > DISTURBED_MS && instance.life() === life
        const planned = wasStopping || instance.phase() !== "running"
        if (planned && calm && error.message !== "patience" && now - sentAt > CROSSING_MS)
          faults.push(`${instance.name} cut ${method} ${path} off while it stopped: ${error.message}`)
        end(undefined)
      })
      request.once("response", response => {
        let text = ""
        response.setEncoding("utf8")
        response.on("data", (chunk: string) => (text += chunk))
        response.once("end", () => end({status: response.statusCode ?? 0, text}))
        response.once("error", () => end(undefined))
      })
      // A connection that goes away in the middle of an answer may show in no other event.
      request.once("close", () => end(undefined))
      request.end(body)
    })
  }

  function pickInstance(): SoakInstance {
    const found = instances[random.below(instances.length)]
    if (!found) throw new RangeError("A soak needs an instance.")
    return found
  }

  function taskNames(job: SoakJob): readonly string[] {
    return job.steps.flatMap((count, step) =>
      Array.from({length: count}, (_, index) => `${job.id}.0.${step}.${index}`),
    )
  }

  function bodyOf(job: SoakJob): string {
    return JSON.stringify({
      Spec: `payload of ${job.id}`,
      Pipeline: job.steps.map((count, step) => ({
        Count: count,
        Cpu: 1000,
        MemMb: 100,
        EstimateMs: 400,
        ...(step > 0 ? {After: [step - 1]} : {}),
      })),
    })
  }

  async function submit(job: SoakJob): Promise<void> {
    for (let attempt = 0; attempt < TRIES && !stopped; attempt += 1) {
      const reply = await call(pickInstance(), "POST", PREFIX + job.id, bodyOf(job))
      if (reply?.status === 200) {
        job.acceptedAt ??= performance.now()
        return
      }
      if (reply?.status !== 503) job.doubtful = true
      await pause(100 + random.below(600))
    }
  }

  function countStarts(job: SoakJob): number {
    const counts = workers.startCounts()
    return taskNames(job).reduce((sum, task) => sum + (counts.get(task) ?? 0), 0)
  }

  async function cancel(job: SoakJob): Promise<void> {
    job.cancelled = true
    for (let attempt = 0; attempt < TRIES && !stopped; attempt += 1) {
      const reply = await call(pickInstance(), "DELETE", PREFIX + job.id, "")
      if (reply?.status === 200 || reply?.status === 410) {
        const record = (): void => void (job.startsBeforeBound = countStarts(job))
        setTimeout(record, CANCEL_BOUND_MS + LATE_ORDER_MS).unref()
        return
      }
      await pause(300)
    }
  }

  /** Cancels the job while its submission is under way. */
  async function leave(job: SoakJob): Promise<void> {
    job.left = true
    await pause(LEAVE_AFTER_MS)
    await cancel(job)
  }

  async function stateAt(instance: SoakInstance, job: SoakJob): Promise<string> {
    const askedAt = performance.now()
    const known = job.acceptedAt !== undefined && askedAt - job.acceptedAt > VISIBLE_MS
    const reply = await call(instance, "GET", PREFIX + job.id, "")
    if (!reply) return "no answer"
    if (reply.status !== 200) {
      if (reply.status === 410 && known && !job.left) faults.push(`${instance.name} does not know ${job.id}`)
      return String(reply.status)
    }
    const state = String((JSON.parse(reply.text) as {readonly State?: unknown}).State)
    if (state === "completed" && taskNames(job).some(task => !workers.doneTasks().has(task)))
      faults.push(`${job.id} is shown as completed too early`)
    if (state === "failed" || (state === "cancelled" && !job.cancelled))
      faults.push(`${job.id} is shown as ${state} without cause`)
    return state
  }

  function createJob(): SoakJob {
    const id = Array.from({length: ID_DIGITS}, () => random.below(ID_DIGITS).toString(ID_DIGITS)).join("")
    const steps = Array.from({length: 1 + random.below(2)}, () => 1 + random.below(MOST_TASKS))
    const open = {acceptedAt: undefined, doubtful: false, startsBeforeBound: undefined}
    const job: SoakJob = {id, steps, ...open, cancelled: false, left: false}
    jobs.push(job)
    return job
  }

  async function useOne(): Promise<void> {
    const job = createJob()
    const isLeaving = jobs.length % LEAVING_EVERY === 0
    await Promise.all([submit(job), isLeaving ? leave(job) : undefined])
    if (job.acceptedAt === undefined) return
    if (random.next() < CANCEL_SHARE && !isLeaving) await cancel(job)
    await pause(random.below(900))
    await stateAt(pickInstance(), job)
    await call(pickInstance(), "GET", PREFIX, "", keys.pick())
  }

  async function use(): Promise<void> {
    while (!stopped) {
      await useOne()
      await pause(random.below(400))
    }
  }

  return {
    jobs,
    async burst(count) {
      const handedIn = Array.from({length: count}, createJob)
      await Promise.all(handedIn.map(submit))
      return handedIn.filter(job => job.acceptedAt !== undefined).length
    },
    run() {
      running = Array.from({length: CALLERS}, use)
    },
    async stop() {
      stopped = true
      await Promise.all(running)
    },
    close() {
      for (const agent of agents.values()) agent.destroy()
    },
    stateAt,
    taskNames,
    countStarts,
  }
}

export function pause(span: Milliseconds): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span))
}
