/**
 * The instances of the project, as processes of their own: built, configured and started as the deploy file says. They
 * are ended by the handles of the processes that were started here, and by nothing else.
 */
import {spawn} from "node:child_process"
import type {ChildProcess} from "node:child_process"
import {createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {findFreePort} from "./http.js"

const STOP_GRACE_S = 6
const ZONES = ["cascadia-a", "cascadia-b", "cascadia-c"]

export interface Instance {
  readonly name: string
  readonly callers: string
  readonly status: string
  readonly signal: (signal: NodeJS.Signals) => void
  /** Starts the process again after it was killed. */
  readonly restart: () => void
  /** The exit codes of processes that ended by themselves. */
  readonly ownEnds: () => readonly string[]
  readonly logFile: string
}

export interface Fleet {
  readonly instances: readonly Instance[]
  /** Kills all processes and removes their files. */
  readonly end: () => Promise<void>
}

export interface FleetOptions {
  /** The root of the repository. */
  readonly root: string
  readonly count: number
  readonly storeAddress: string
  readonly adviceAddress: string
}

type Fields = Readonly<Record<string, unknown>>

function readCommand(root: string): readonly string[] {
  const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8")
  const command = /^run = "(.*)"$/m.exec(deploy)?.[1]
  if (command === undefined) throw new Error("The deploy file has no run command.")
  return command.split(" ")
}

function readField(value: unknown, name: string): unknown {
  if (Array.isArray(value)) return value[Number(name)] as unknown
  return typeof value === "object" && value !== null ? (value as Fields)[name] : undefined
}

function formatField(value: unknown): string {
  if (Array.isArray(value)) return value.join(",")
  return typeof value === "string" || typeof value === "number" ? String(value) : ""
}

/** Fills in the template of the settings, whose placeholders are plain paths. */
function render(template: string, fields: Fields): string {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path: string) =>
    formatField(path.split(".").reduce<unknown>(readField, fields)),
  )
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const {root, count} = options
  const folder = mkdtempSync(join(tmpdir(), "lacewing-review-"))
  const [program = "", ...parameters] = readCommand(root)
  const template = readFileSync(join(root, "deploy/settings.ini"), "utf8")
  const ports = await Promise.all([1, 2, 3, 4, 5].map(() => findFreePort("127.0.20.1")))
  const [front, ready, control, peers, metrics] = ports
  const hosts = Array.from({length: count}, (_, index) => `127.0.20.${index + 1}`)
  const children = new Set<ChildProcess>()
  let isEnding = false

  function createInstance(host: string, index: number): Instance {
    const zone = ZONES[index % ZONES.length] ?? ""
    const name = `edge-${zone}-${Math.floor(index / ZONES.length) + 1}`
    const settings = render(template, {
      NodeName: name,
      Zone: zone,
      Ip: host,
      ListenAddrs: {Frontend: `${host}:${front}`, Readiness: `${host}:${ready}`},
      PortRange: [peers],
      Seeds: hosts.slice(0, 3).map(seed => `${seed}:${control}`),
      platform: {Address: options.storeAddress},
      Advice: options.adviceAddress,
      CloudApi: {Address: "127.0.20.100:1"},
      PolicyBounds: {HoldMaxMs: 10_000, GracePeriodS: STOP_GRACE_S},
      Limits: {CpuShare: 0.675, CpuCores: 1},
    }).replace(":9464", `:${metrics}`)
    const file = join(folder, `${name}.ini`)
    writeFileSync(file, settings)
    const logFile = join(folder, `${name}.log`)
    const ownEnds: string[] = []
    let child: ChildProcess | undefined

    function start(): void {
      const environment = {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        LACEWINGSTREAM_NODE_FILE: file,
      }
      const started = spawn(program === "node" ? process.execPath : program, parameters, {
        cwd: root,
        env: environment,
        stdio: ["ignore", "pipe", "pipe"],
      })
      child = started
      children.add(started)
      const log = createWriteStream(logFile, {flags: "a"})
      started.stdout.pipe(log, {end: false})
      started.stderr.pipe(log, {end: false})
      let wasSignalled = false
      started.once("exit", (code, signal) => {
        wasSignalled = signal === "SIGKILL"
        children.delete(started)
        if (!wasSignalled && !isEnding) ownEnds.push(`${name}: ${code ?? signal ?? "?"}`)
      })
    }

    start()
    return {
      name,
      callers: `${host}:${front}`,
      status: `${host}:${ready}`,
      signal: signal => void child?.kill(signal),
      restart: start,
      ownEnds: () => ownEnds,
      logFile,
    }
  }

  const instances = hosts.map(createInstance)
  return {
    instances,
    async end() {
      isEnding = true
      const ended = [...children].map(
        child =>
          new Promise<void>(resolve => {
            child.once("exit", () => {
              resolve()
            })
            child.kill("SIGKILL")
          }),
      )
      await Promise.all(ended)
      if (process.env.KEEP_LOGS === undefined) rmSync(folder, {recursive: true, force: true})
      else process.stderr.write(`logs: ${folder}\n`)
    },
  }
}
