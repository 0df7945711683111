/** Tests of the bundled daemon as the platform runs it: settings file, status endpoints and signals. */
import {spawn} from "node:child_process"
import type {ChildProcess} from "node:child_process"
import {EventEmitter} from "node:events"
import {mkdtempSync, readFileSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import test from "ava"
import {createSignals} from "../../src/cli/signals.js"
import {bundleDaemon} from "../support/bundle.js"

const folder = mkdtempSync(join(tmpdir(), "lacewingstream-daemon-"))
const program = join(folder, "lacewingstream.cjs")

test.before(() => bundleDaemon(program))

interface Ended {
  readonly code: number | null
  readonly output: string
}

function run(settings: string): {readonly child: ChildProcess; readonly ended: Promise<Ended>} {
  const file = join(mkdtempSync(join(folder, "run-")), "settings.ini")
  writeFileSync(file, settings)
  const child = spawn(process.execPath, [program, file], {stdio: ["ignore", "pipe", "pipe"]})
  let output = ""
  child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()))
  child.stderr.on("data", (chunk: Buffer) => (output += chunk.toString()))
  const ended = new Promise<Ended>(resolve => {
    child.once("close", code => resolve({code, output}))
  })
  return {child, ended}
}

/** A loopback address that no other process uses, so that the fixed ports are free. */
const HOST = `127.77.${(process.pid >> 8) & 255}.${process.pid & 255 || 1}`
const [CALLERS, STATUS, PEERS, STORE] = [7101, 7102, 7103, 7104]

test("missing settings make the daemon report every one of them and exit with code 2", async t => {
  const {ended} = run("[instance]\nname = entry-1\n[callers]\naddress = nowhere\n")
  const {code, output} = await ended
  t.is(code, 2)
  for (const place of ["[instance] data_centre", "[callers] address", "[platform] store"])
    t.true(output.includes(place), place)
})

test("without a store the daemon serves requests, is not ready, refuses jobs and stops on SIGTERM", async t => {
  const {child, ended} = run(
    [
      "[instance]\nname = entry-1\ndata_centre = a",
      `[callers]\naddress = ${HOST}:${CALLERS}`,
      `[status]\naddress = ${HOST}:${STATUS}`,
      `[peers]\naddress = ${HOST}:${PEERS}`,
      `[platform]\nstore = ${HOST}:${STORE}`,
      "",
    ].join("\n"),
  )
  const ready = async (): Promise<number> => {
    try {
      return (await fetch(`http://${HOST}:${STATUS}/api/readyz`)).status
    } catch {
      return 0
    }
  }
  while ((await ready()) === 0) await new Promise(resolve => setTimeout(resolve, 20))
  t.is(await ready(), 503)
  const job = await fetch(`http://${HOST}:${CALLERS}/checks/0000000000000001`, {method: "POST", body: "{}"})
  t.is(job.status, 503)
  t.truthy(job.headers.get("retry-after"))
  const metrics = await (await fetch(`http://${HOST}:${STATUS}/metrics`)).text()
  t.true(metrics.includes("lacewing_leads 0"))
  child.kill("SIGTERM")
  const {code, output} = await ended
  t.is(code, 0)
  t.true(output.includes('"event":"stopped"'))
})

test("the settings template contains every setting that the daemon needs", t => {
  const template = readFileSync("deploy/settings.ini", "utf8")
  for (const key of [
    "name",
    "data_centre",
    "address",
    "seeds",
    "store",
    "advice",
    "longest_lease",
    "stored_value",
    "stop_grace",
    "memory",
    "descriptors",
    "strict_withdrawal",
    "withdrawal_limit",
    "remote_factor",
  ])
    t.regex(template, new RegExp(`^${key} = `, "m"))
})

test("the deployed bundle has no call that sets a name for each function it creates", t => {
  t.false(readFileSync("deploy/system.toml", "utf8").includes("--keep-names"))
})

test("before the daemon serves, a stop signal exits with code 0 and a reload signal is ignored", t => {
  const source = new EventEmitter()
  const exits: number[] = []
  const signals = createSignals(source, code => exits.push(code))
  source.emit("SIGHUP")
  t.deepEqual(exits, [])
  source.emit("SIGTERM")
  t.deepEqual(exits, [0])
  const seen: string[] = []
  signals.handle({stop: () => seen.push("stop"), settingsChanged: () => seen.push("settings")})
  for (const signal of ["SIGHUP", "SIGTERM", "SIGTERM", "SIGINT"]) source.emit(signal)
  t.deepEqual(seen, ["settings", "stop"], "repeated stop signals are ignored")
  t.deepEqual(exits, [0])
})
