/** The daemons that a soak runs: real processes with settings files, ended by their ids only. */
import {spawn} from "node:child_process"
import type {ChildProcess} from "node:child_process"
import {createWriteStream, mkdirSync, writeFileSync} from "node:fs"
import {join} from "node:path"
import type {Milliseconds} from "../../src/core/clock.js"
import {pause} from "./callers.js"
import {WITHDRAWAL_LIMIT_MS} from "./keys.js"

export interface InstanceAddresses {
  readonly callers: string
  readonly status: string
  readonly peers: string
  readonly store: string
  readonly advice: string
  readonly seeds: readonly string[]
}

/** `stopping`: told to stop and not gone yet. */
export type InstancePhase = "running" | "stopping" | "gone"

export interface SoakInstance {
  readonly name: string
  readonly callers: string
  /** Counts the lives of the process. */
  readonly life: () => number
  readonly phase: () => InstancePhase
  /** When it was last killed or paused; requests near that time may break. */
  readonly disturbedAt: () => Milliseconds
  readonly start: () => void
  readonly kill: () => void
  readonly pause: (span: Milliseconds) => void
  /** Resolves when the present process has begun to write its log. */
  readonly serving: () => Promise<void>
  /** Asks for a planned stop. Resolves when the process is gone, also where a stop is under way. */
  readonly stop: () => Promise<void>
  /** A planned stop for good: nothing starts the instance again. */
  readonly retire: () => Promise<void>
  /** Ends the process at once and for good. */
  readonly destroy: () => Promise<void>
  readonly hangUp: () => void
}

/** A process that has not ended by itself this long after the signal to stop is a fault. */
const STOP_LIMIT_MS: Milliseconds = 20_000
const SERVING_POLL_MS: Milliseconds = 10

function settingsText(name: string, addresses: InstanceAddresses): string {
  return [
    `[instance]\nname = ${name}\ndata_centre = a`,
    `[callers]\naddress = ${addresses.callers}`,
    `[status]\naddress = ${addresses.status}`,
    `[peers]\naddress = ${addresses.peers}\nseeds = ${addresses.seeds.join(",")}`,
    `[platform]\nstore = ${addresses.store}\nadvice = ${addresses.advice}`,
    "[limits]\nlongest_lease = 10s\nstop_grace = 6s",
    `[keys]\nstrict_withdrawal = true\nwithdrawal_limit = ${WITHDRAWAL_LIMIT_MS}ms`,
    "",
  ].join("\n")
}

/** Prepares an instance; nothing runs before `start`. */
export function soakInstance(
  name: string,
  program: string,
  folder: string,
  addresses: InstanceAddresses,
  faults: string[],
): SoakInstance {
  mkdirSync(folder, {recursive: true})
  const settings = join(folder, `${name}.ini`)
  writeFileSync(settings, settingsText(name, addresses))
  let child: ChildProcess | undefined
  let life = 0
  let phase: InstancePhase = "gone"
  let disturbedAt = -Infinity
  let killed = false
  /** The process has begun to write its log. */
  let serves = false
  let retired = false
  const pauses = new Set<NodeJS.Timeout>()

  function start(): void {
    if (phase !== "gone" || retired) return
    life += 1
    killed = false
    phase = "running"
    const started = spawn(process.execPath, [program, settings], {stdio: ["ignore", "pipe", "pipe"]})
    child = started
    const log = createWriteStream(join(folder, `${name}-${life}.log`))
    started.stdout.pipe(log, {end: false})
    started.stderr.pipe(log, {end: false})
    const ownLife = life
    serves = false
    started.stdout.once("data", () => {
      if (child === started) serves = true
    })
    started.once("exit", (code, signal) => {
      // Before the runtime has loaded the program, signals have their usual effect.
      const early = !serves && phase === "stopping" && signal === "SIGTERM"
      if (!killed && code !== 0 && !early)
        faults.push(`${name} ended by itself in life ${ownLife}: ${code ?? signal}`)
      phase = "gone"
    })
    started.once("close", () => log.end())
  }

  function ended(): Promise<void> {
    const current = child
    if (!current || phase === "gone") return Promise.resolve()
    return new Promise(resolve => current.once("exit", () => resolve()))
  }

  async function stop(): Promise<void> {
    if (phase === "stopping") await ended()
    if (phase !== "running") return
    phase = "stopping"
    child?.kill("SIGTERM")
    const stopping = child
    const late = setTimeout(() => {
      faults.push(`${name} did not stop in time`)
      stopping?.kill("SIGKILL")
    }, STOP_LIMIT_MS)
    await ended()
    clearTimeout(late)
  }

  function kill(): void {
    if (phase === "gone") return
    killed = true
    disturbedAt = performance.now()
    child?.kill("SIGKILL")
  }

  return {
    name,
    callers: addresses.callers,
    life: () => life,
    phase: () => phase,
    disturbedAt: () => disturbedAt,
    start,
    kill,
    pause(span) {
      if (phase === "gone") return
      const paused = child
      disturbedAt = performance.now() + span
      paused?.kill("SIGSTOP")
      const timer = setTimeout(() => {
        pauses.delete(timer)
        paused?.kill("SIGCONT")
      }, span)
      pauses.add(timer)
    },
    async serving() {
      while (phase === "running" && !serves) await pause(SERVING_POLL_MS)
    },
    stop,
    retire() {
      retired = true
      return stop()
    },
    destroy() {
      retired = true
      for (const timer of pauses) clearTimeout(timer)
      kill()
      return ended()
    },
    hangUp() {
      if (serves) child?.kill("SIGHUP")
    },
  }
}
