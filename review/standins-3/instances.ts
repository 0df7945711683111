/** The project's program as processes, started as the deploy file starts it, with settings like those of its template. */
import {spawn} from "node:child_process"
import type {ChildProcess} from "node:child_process"
import {createWriteStream, writeFileSync} from "node:fs"
import {createServer} from "node:net"
import {join} from "node:path"
import {call} from "./http.js"

export interface Instance {
  readonly name: string
  /** Where callers are served. */
  readonly callers: string
  readonly signal: (signal: NodeJS.Signals) => void
  readonly isReady: () => Promise<boolean>
  /** Gauges of the instance, by name; empty if it does not answer. */
  readonly gauges: () => Promise<ReadonlyMap<string, number>>
  /** Exit code or signal of a process that has ended; undefined while it runs. */
  readonly ended: () => string | undefined
  readonly kill: () => Promise<void>
}

/** The command of `deploy/system.toml`. */
const COMMAND = [
  "--max-old-space-size=160",
  "--max-semi-space-size=8",
  "--v8-pool-size=1",
  "target/lacewingstream.cjs",
]

function freePort(host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const probe = createServer()
    probe.once("error", reject)
    probe.listen(0, host, () => {
      const bound = probe.address()
      const port = typeof bound === "object" && bound ? bound.port : 0
      probe.close(() => resolve(port))
    })
  })
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

async function startOne(
  host: string,
  name: string,
  folder: string,
  seeds: readonly string[],
  own: string,
  store: string,
  advice: string,
): Promise<Instance> {
  const [callers, status] = await Promise.all([freePort(host), freePort(host)])
  const file = join(folder, `${name}.ini`)
  writeFileSync(
    file,
    [
      "[instance]",
      `name = ${name}`,
      "data_centre = a",
      "[callers]",
      `address = ${host}:${callers}`,
      "[status]",
      `address = ${host}:${status}`,
      "[peers]",
      `address = ${own}`,
      `seeds = ${seeds.join(",")}`,
      "[platform]",
      `store = ${store}`,
      `advice = ${advice}`,
      "[limits]",
      "longest_lease = 10000ms",
      "stored_value = 1048576",
      "stop_grace = 6s",
      "processor_share = 0.675",
      "processor_speed = 1",
      "memory = 350",
      "link = 1000",
      "descriptors = 4100",
      "[keys]",
      "strict_withdrawal = false",
      "[placement]",
      "remote_factor = 1.5",
      "",
    ].join("\n"),
  )
  const child: ChildProcess = spawn(process.execPath, [...COMMAND, file], {
    stdio: ["ignore", "pipe", "pipe"],
  })
  const log = createWriteStream(join(folder, `${name}.log`))
  child.stdout?.pipe(log, {end: false})
  child.stderr?.pipe(log, {end: false})
  let ended: string | undefined
  child.once("exit", (code, signal) => {
    ended = String(code ?? signal)
  })
  const statusAddress = `${host}:${status}`
  return {
    name,
    callers: `${host}:${callers}`,
    signal: signal => void child.kill(signal),
    isReady: async () => (await call(statusAddress, "GET", "/api/readyz", {timeout: 1000})).status === 200,
    async gauges() {
      const text = await fetch(`http://${statusAddress}/metrics`, {signal: AbortSignal.timeout(1000)})
        .then(response => response.text())
        .catch(() => "")
      const rows = text.split("\n").map(line => line.split(" "))
      return new Map(rows.map(([gauge = "", value]) => [gauge, Number(value)]))
    },
    ended: () => ended,
    async kill() {
      if (ended !== undefined) return
      const gone = new Promise(resolve => child.once("exit", resolve))
      child.kill("SIGKILL")
      await gone
    },
  }
}

export interface Machines {
  /** Starts an instance on the machine with this number, from 1, and waits until it is ready. */
  readonly start: (machine: number) => Promise<Instance>
}

const READY_POLL_MS = 100
const READY_POLLS = 150

/** Machines with loopback addresses of their own and the same ports. The first three are the seeds. */
export async function prepareMachines(folder: string, store: string, advice: string): Promise<Machines> {
  const hostOf = (machine: number): string => `127.0.0.${machine + 10}`
  const port = await freePort(hostOf(1))
  const seeds = [1, 2, 3].map(machine => `${hostOf(machine)}:${port}`)
  return {
    async start(machine) {
      const host = hostOf(machine)
      const name = `instance-${machine}`
      const instance = await startOne(host, name, folder, seeds, `${host}:${port}`, store, advice)
      for (let polls = 0; polls < READY_POLLS; polls += 1) {
        if (await instance.isReady()) return instance
        await sleep(READY_POLL_MS)
      }
      await instance.kill()
      throw new Error(`${name} is not ready after 15 s`)
    },
  }
}
