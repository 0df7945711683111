/** The instances under test: processes with the command and the settings template of the deploy file. */
import {spawn} from "node:child_process"
import type {ChildProcess} from "node:child_process"
import {createWriteStream, readFileSync, writeFileSync} from "node:fs"
import {join} from "node:path"
import type {Recorder} from "./record.js"

export interface Instance {
  readonly name: string
  readonly callers: string
  readonly start: () => void
  readonly kill: () => void
  /** How often the process has ended without a signal of the script. */
  readonly ownEnds: () => number
  readonly retire: () => Promise<void>
}

export interface Bounds {
  readonly longestLease: number
  readonly graceSeconds: number
}

const CALLER_PORT = 18149
const STATUS_PORT = 18141
const CONTROL_PORT = 18144
const PEER_PORT = 17380
const RESTART_MS = 500

function readCommand(): readonly string[] {
  const deploy = readFileSync("deploy/system.toml", "utf8")
  const command = /^run = "(.*)"$/m.exec(deploy)?.[1]
  if (command === undefined) throw new Error("deploy/system.toml has no command.")
  return command.split(" ")
}

function render(values: Readonly<Record<string, string>>): string {
  return readFileSync("deploy/settings.ini", "utf8").replace(
    /\{\{([^}]+)\}\}/g,
    (_, name: string) => values[name] ?? "",
  )
}

/** Prepares an instance; nothing runs before `start`. */
export function createInstance(
  block: string,
  number: number,
  folder: string,
  storeAddress: string,
  seeds: readonly number[],
  bounds: Bounds,
  recorder: Recorder,
): Instance {
  const name = `edge-${number}`
  const ip = `${block}.${number}`
  const settings = join(folder, `${name}.ini`)
  const callers = `${ip}:${CALLER_PORT}`
  const status = `${ip}:${STATUS_PORT}`
  const text = render({
    NodeName: name,
    Zone: "a",
    Ip: ip,
    "ListenAddrs.Frontend": callers,
    "ListenAddrs.Readiness": status,
    "PortRange.0": String(PEER_PORT),
    Seeds: seeds.map(seed => `${block}.${seed}:${CONTROL_PORT}`).join(","),
    "platform.Address": storeAddress,
    "PolicyBounds.HoldMaxMs": String(bounds.longestLease),
    "PolicyBounds.GracePeriodS": String(bounds.graceSeconds),
    "Limits.CpuShare": "0.675",
    "Limits.CpuCores": "1",
  })
  writeFileSync(settings, text)
  let child: ChildProcess | undefined
  let lives = 0
  let ownEnds = 0
  let isSignalled = false
  let isRetired = false

  function start(): void {
    if (child || isRetired) return
    const [program = "", ...given] = readCommand()
    lives += 1
    isSignalled = false
    const started = spawn(program === "node" ? process.execPath : program, given, {
      stdio: ["ignore", "pipe", "pipe"],
      env: {PATH: process.env.PATH, LACEWINGSTREAM_NODE_FILE: settings},
    })
    child = started
    const log = createWriteStream(join(folder, `${name}-${lives}.log`))
    started.stdout.pipe(log, {end: false})
    started.stderr.pipe(log, {end: false})
    recorder.note("instance-started", {name, life: lives})
    started.once("exit", (code, signal) => {
      if (child === started) child = undefined
      recorder.note("instance-ended", {name, life: lives, code, signal, byScript: isSignalled})
      if (isSignalled || isRetired) return
      ownEnds += 1
      // The platform starts a process again after a short delay.
      setTimeout(start, RESTART_MS)
    })
  }

  // Whatever ends the script, its processes end with it.
  process.once("exit", () => void child?.kill("SIGKILL"))

  return {
    name,
    callers,
    start,
    kill() {
      recorder.note("killed", {name})
      isSignalled = true
      child?.kill("SIGKILL")
    },
    ownEnds: () => ownEnds,
    async retire() {
      isRetired = true
      const last = child
      if (!last) return
      await new Promise<void>(resolve => {
        last.once("exit", () => resolve())
        last.kill("SIGKILL")
      })
    },
  }
}
