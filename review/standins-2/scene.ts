/** What the cases have in common: one service with its workers, a queue, instances, and a record of what was seen. */
import {appendFileSync, writeFileSync} from "node:fs"
import {join} from "node:path"
import {createClient} from "./client.js"
import type {Client, Queue} from "./client.js"
import {pause, send} from "./http.js"
import {startFleet} from "./instances.js"
import type {Fleet} from "./instances.js"
import {startStore} from "./store.js"
import type {Store} from "./store.js"
import {startWorker} from "./worker.js"
import type {Worker, WorkerEvent} from "./worker.js"

const HOST = "127.0.0.1"
const READY_LIMIT_MS = 15_000
const READY_POLL_MS = 100
/** A script runs for 120 s at most. */
const SCRIPT_LIMIT_MS = 110_000
/** Traffic starts this long after the machines do. */
const LEAD_MS = 12_000

export const EXIT = {held: 0, broken: 1, notRun: 2} as const

export interface SceneOptions {
  readonly instances: number
  readonly workers: number
  readonly processors: number
  /** Called once the store is up and before the instances start. */
  readonly prepare?: (store: Store) => void | Promise<void>
  readonly onEvent: (event: WorkerEvent) => void
  readonly onLapse?: (worker: string, at: number) => void
}

export interface Scene {
  readonly store: Store
  readonly workers: readonly Worker[]
  readonly fleet: Fleet
  readonly client: Client
  readonly queue: Queue
}

export interface Record {
  readonly write: (line: string) => void
}

/** The record of a case, in the folder that the script names. */
export function openRecord(): Record {
  const file = join(process.argv[2] ?? ".", "record.txt")
  writeFileSync(file, "")
  return {
    write(line) {
      appendFileSync(file, `${(performance.now() / 1000).toFixed(3)} ${line}\n`)
    },
  }
}

/** False where the script runs the case without its disruption. */
export function hasTrouble(): boolean {
  return process.env.TROUBLE !== "0"
}

const QUEUE: Queue = {host: "ficu95.example", prefix: "/lohu930/"}
const SERVICE = "huvo11a"

function configuration(): string {
  return JSON.stringify({
    Version: 7,
    Routes: [
      {
        Name: "r-ji9n73h",
        Host: QUEUE.host,
        Prefix: QUEUE.prefix,
        Kind: "unsafe",
        TimeoutMs: 3000,
        TargetLatencyMs: 250,
        Priority: 0,
        Service: SERVICE,
        Attempts: 3,
        SlackFactor: 1.5,
      },
    ],
    Services: [
      {
        Name: SERVICE,
        HealthPath: "/healthz",
        MaxConns: 64,
        Protocol: "h1",
        Tls: false,
        Preconditions: false,
        Standby: false,
      },
    ],
    Limits: {MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
  })
}

async function waitUntilReady(fleet: Fleet): Promise<boolean> {
  const until = performance.now() + READY_LIMIT_MS
  while (performance.now() < until) {
    const answers = await Promise.all(
      fleet.instances.map(({status}) => send("GET", status, "/api/readyz", {}, undefined, READY_POLL_MS * 5)),
    )
    if (answers.every(answer => answer?.status === 200)) return true
    await pause(READY_POLL_MS)
  }
  return false
}

/** Plays a case on a scene, and exits with its outcome. The spec of a job is the duration of its tasks. */
export async function playCase(
  options: SceneOptions,
  play: (scene: Scene) => Promise<boolean>,
): Promise<void> {
  process.exit(
    await playScene(options, play).catch((error: unknown) => {
      process.stderr.write(`The case could not run: ${String(error)}\n`)
      return EXIT.notRun
    }),
  )
}

async function playScene(options: SceneOptions, play: (scene: Scene) => Promise<boolean>): Promise<number> {
  const startedAt = performance.now()
  const store = await startStore(HOST)
  store.put("op/config", configuration())
  const workers: Worker[] = []
  for (let index = 0; index < options.workers; index += 1)
    workers.push(
      await startWorker({
        id: `i-7f3a91${index.toString(16).padStart(2, "0")}`,
        host: HOST,
        service: SERVICE,
        zone: "cascadia-a",
        rack: `r1-${index + 1}`,
        processors: options.processors,
        memoryMb: 32_768,
        seenToken: 0,
        durationOf: Number,
        onEvent: options.onEvent,
        onLapse: options.onLapse,
        register: (id, entry) => {
          store.put(`servers/${id}`, JSON.stringify(entry))
        },
      }),
    )
  await options.prepare?.(store)
  const fleet = await startFleet({
    root: process.cwd(),
    count: options.instances,
    storeAddress: store.address,
    adviceAddress: "127.0.0.1:1",
  })
  const limit = setTimeout(() => {
    process.stderr.write("The case took too long.\n")
    void fleet.end().then(() => process.exit(EXIT.notRun))
  }, SCRIPT_LIMIT_MS)
  for (const signal of ["SIGTERM", "SIGINT"] as const)
    process.once(signal, () => {
      void fleet.end().then(() => process.exit(EXIT.notRun))
    })
  let code: number = EXIT.notRun
  try {
    if (await waitUntilReady(fleet)) {
      await pause(Math.max(0, LEAD_MS - (performance.now() - startedAt)))
      const client = createClient(fleet.instances.map(({callers}) => callers))
      const held = await play({store, workers, fleet, client, queue: QUEUE})
      code = held ? EXIT.held : EXIT.broken
    }
  } finally {
    clearTimeout(limit)
    await fleet.end()
    for (const worker of workers) worker.close()
    store.close()
  }
  return code
}
