/** A small deployment: the store, workers, instances and a client, with what all cases watch for. */
import {mkdtempSync, rmSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {createClient} from "./client.js"
import type {Client} from "./client.js"
import {createInstance} from "./instances.js"
import type {Instance} from "./instances.js"
import {parseFields, pickLoopbackBlock, textOf, wait} from "./network.js"
import {createRecorder} from "./record.js"
import type {Recorder} from "./record.js"
import {createStore} from "./store.js"
import type {Store} from "./store.js"
import {createWorker} from "./worker.js"
import type {Worker, WorkerEvents, WorkerOptions} from "./worker.js"

export interface QueueOptions {
  readonly name: string
  readonly prefix: string
  readonly service: string
}

export interface DeploymentOptions {
  /** The folder of the case, in which the record is written. */
  readonly folder: string
  readonly instances: number
  readonly workers: readonly Omit<WorkerOptions, "host" | "longestLease">[]
  readonly queues: readonly QueueOptions[]
  readonly events?: Partial<WorkerEvents>
}

export interface Deployment {
  readonly recorder: Recorder
  readonly store: Store
  readonly workers: readonly Worker[]
  readonly instances: readonly Instance[]
  readonly client: Client
  /** Writes a configuration as the operator does. */
  readonly configure: (queues: readonly QueueOptions[]) => void
  /** The instance that the store names as the leader. */
  readonly leader: () => Instance | undefined
  /** Pairs of runs of one task that overlapped on workers that were up. */
  readonly overlaps: () => readonly string[]
  readonly workerOf: (task: string) => Worker | undefined
}

/** `HoldMaxMs` and `GracePeriodS` of the deployments. */
const LONGEST_LEASE_MS = 10_000
const GRACE_SECONDS = 6
const HOST = "review.example"
const READY_LIMIT_MS = 15_000
const READY_POLL_MS = 100

export const TROUBLE = process.env.TROUBLE !== "0"

async function untilReady(instances: readonly Instance[], client: Client, path: string): Promise<boolean> {
  const until = performance.now() + READY_LIMIT_MS
  while (performance.now() < until) {
    const answers = await Promise.all(instances.map(instance => client.call(instance, "GET", path)))
    if (answers.every(({status}) => status === 200)) return true
    await wait(READY_POLL_MS)
  }
  return false
}

async function play(
  options: DeploymentOptions,
  temporary: string,
  recorder: Recorder,
  act: (deployment: Deployment) => Promise<boolean>,
): Promise<number> {
  const block = pickLoopbackBlock()
  const host = `${block}.200`
  const store = await createStore(host)
  const overlaps: string[] = []
  const workers: Worker[] = []
  const queuesOf = (queues: readonly QueueOptions[]): readonly object[] =>
    queues.map(({name, prefix, service}) => ({
      Name: name,
      Host: HOST,
      Prefix: prefix,
      Kind: "unsafe",
      TimeoutMs: 3000,
      TargetLatencyMs: 1000,
      Priority: 1,
      Service: service,
      Attempts: 3,
      SlackFactor: 2,
    }))
  let version = 3
  const configure = (queues: readonly QueueOptions[]): void => {
    version += 4
    const services = [...new Set(options.workers.map(({service}) => service))]
    const text = JSON.stringify({
      Version: version,
      Routes: queuesOf(queues),
      Services: services.map(Name => ({Name, Preconditions: false, Standby: false})),
      Limits: {MaxBodyBytes: 262_144},
    })
    store.put("op/config", text)
    recorder.note("configured", {version, queues})
  }
  configure(options.queues)

  const events: WorkerEvents = {
    onStart(worker, task, attempt) {
      for (const other of workers)
        if (other !== worker && other.isUp() && other.running().includes(task)) {
          overlaps.push(`${task} runs on ${other.id} and, as attempt ${attempt}, on ${worker.id}`)
          recorder.note("overlap", {task, first: other.id, second: worker.id})
        }
      options.events?.onStart?.(worker, task, attempt)
    },
    onEnd: (worker, task, attempt, how) => options.events?.onEnd?.(worker, task, attempt, how),
    onObserved(worker, task, attempt, how) {
      recorder.note("observed", {worker: worker.id, task, attempt, how})
      options.events?.onObserved?.(worker, task, attempt, how)
    },
  }
  for (const one of options.workers)
    workers.push(await createWorker({...one, host, longestLease: LONGEST_LEASE_MS}, store, recorder, events))

  const numbers = Array.from({length: options.instances}, (_, index) => index + 1)
  const bounds = {longestLease: LONGEST_LEASE_MS, graceSeconds: GRACE_SECONDS}
  const instances = numbers.map(number =>
    createInstance(block, number, temporary, store.address, numbers.slice(0, 3), bounds, recorder),
  )
  const client = createClient(HOST, recorder)
  try {
    for (const instance of instances) instance.start()
    const [first] = options.queues
    if (!first || !(await untilReady(instances, client, first.prefix))) {
      recorder.note("not-ready")
      return 2
    }
    const broken = await act({
      recorder,
      store,
      workers,
      instances,
      client,
      configure,
      leader() {
        const name = textOf(parseFields(store.get("lacewing/leader") ?? "").name)
        return instances.find(instance => instance.name === name)
      },
      overlaps: () => overlaps,
      workerOf: task => workers.find(worker => worker.running().includes(task)),
    })
    return broken ? 1 : 0
  } finally {
    await Promise.all(instances.map(instance => instance.retire()))
    for (const worker of workers) worker.close()
    store.close()
  }
}

/** Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(
  options: DeploymentOptions,
  act: (deployment: Deployment) => Promise<boolean>,
): Promise<never> {
  for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => process.exit(2))
  const temporary = mkdtempSync(join(tmpdir(), "review-"))
  const recorder = createRecorder(join(options.folder, "record.txt"))
  let code = 2
  try {
    code = await play(options, temporary, recorder, act)
  } catch (error) {
    recorder.note("failure", {error: error instanceof Error ? (error.stack ?? error.message) : String(error)})
  }
  recorder.note("result", {trouble: TROUBLE, code})
  recorder.save()
  if (process.env.KEEP_LOGS === undefined) rmSync(temporary, {recursive: true, force: true})
  else process.stdout.write(`${temporary}\n`)
  process.exit(code)
}

/** Sixteen hexadecimal digits. */
export function drawId(): string {
  return Array.from({length: 16}, () => Math.floor(Math.random() * 16).toString(16)).join("")
}
