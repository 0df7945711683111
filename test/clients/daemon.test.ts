/** The daemon as a process, pressed by clients that keep to no limit. */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import test from "ava"
import type {Clock} from "../../src/core/clock.js"
import {systemClock} from "../../src/core/clock.js"
import {serveStore, serveWorker} from "../soak/platformserver.js"
import {bundleDaemon} from "../support/bundle.js"
import {fakeStore} from "../support/fakestore.js"
import {fakeWorkers} from "../support/fakeworkers.js"
import {listingOf, STEP} from "../support/fleet.js"
import {gather} from "./crowd.js"
import {BODY_LIMIT, crowdCases, MACHINE} from "./crowds.js"
import {untilAnswered} from "./ordinary.js"
import {startWatched} from "./watchedprocess.js"
import type {WatchedProcess} from "./watchedprocess.js"

const folder = mkdtempSync(join(tmpdir(), "lacewingstream-clients-"))
const program = join(folder, "lacewingstream.cjs")
/** A loopback address that no other process uses, so that the fixed ports are free. */
const HOST = `127.79.${(process.pid >> 8) & 255}.${process.pid & 255 || 1}`
const CALLERS = `${HOST}:7101`
const ROUTE_HOST = "clients.example"
const TASK = {demand: STEP.demand, duration: 100}
let jobs = 0

test.before(() => bundleDaemon(program))

interface Daemon {
  readonly process: WatchedProcess
  readonly close: () => Promise<void>
}

/** Starts a daemon that leads, with one worker. */
async function startDaemon(): Promise<Daemon> {
  const system = systemClock()
  let closed = false
  /** Timers of the fakes end with the daemon. */
  const clock: Clock = {
    ...system,
    after: (delay, callback) => system.after(delay, () => (closed ? undefined : callback())),
  }
  const store = fakeStore(clock)
  const workers = fakeWorkers(clock, () => TASK)
  let address = ""
  const worker = await serveWorker(HOST, workers, () => address)
  address = worker.address
  workers.addWorker(listingOf("worker-1", {address}))
  store.put(
    "servers/worker-1",
    JSON.stringify({
      Service: "crease",
      Address: address,
      Zone: "a",
      State: "ready",
      Labels: ["a", "r1"],
      FreeCapacity: {Cpu: 8000, MemMb: 10_000, Gpu: 0},
      born: workers.listing("worker-1").bornAt,
    }),
  )
  store.put(
    "op/config",
    JSON.stringify({
      Version: 1,
      Routes: [{Name: "checks", Host: ROUTE_HOST, Prefix: "/checks/", Service: "crease", Attempts: 3}],
      Services: [{Name: "crease"}],
      Limits: {MaxBodyBytes: BODY_LIMIT},
    }),
  )
  const storeServer = await serveStore(HOST, store.portFor("entry-1"))
  const settings = join(mkdtempSync(join(folder, "run-")), "settings.ini")
  writeFileSync(
    settings,
    [
      "[instance]\nname = entry-1\ndata_centre = a",
      `[callers]\naddress = ${CALLERS}`,
      `[status]\naddress = ${HOST}:7102`,
      `[peers]\naddress = ${HOST}:7103`,
      `[platform]\nstore = ${storeServer.address}`,
      `[limits]\nmemory = ${MACHINE.memoryMebibytes}\ndescriptors = ${MACHINE.descriptors}`,
      "",
    ].join("\n"),
  )
  const watched = startWatched(MACHINE, [program, settings])
  return {
    process: watched,
    async close() {
      closed = true
      await watched.stop()
      storeServer.close()
      worker.close()
    },
  }
}

/** Hands in a job and asks for its state, as an ordinary caller does. */
async function handInAndAsk({process}: Daemon): Promise<boolean> {
  jobs += 1
  const id = jobs.toString(16).padStart(16, "0")
  const url = `http://${CALLERS}/checks/${id}`
  const headers = {host: ROUTE_HOST, "content-type": "application/json"}
  const body = JSON.stringify({Spec: "s", Pipeline: [{Count: 1, Cpu: 1000, MemMb: 100, EstimateMs: 100}]})
  await untilAnswered(url, {method: "POST", headers, body}, process)
  const answer = await untilAnswered(url, {method: "GET", headers}, process)
  const {State: state} = JSON.parse(answer) as {readonly State?: unknown}
  return STATES.has(state)
}

const STATES: ReadonlySet<unknown> = new Set(["queued", "running", "completed"])

for (const {title, size, script} of crowdCases({
  host: ROUTE_HOST,
  withBody: "/checks/ffffffffffffffff",
  plain: "/checks/",
})) {
  test.serial(`the daemon holds against ${title}`, async t => {
    const daemon = await startDaemon()
    t.teardown(daemon.close)
    t.true(await handInAndAsk(daemon))
    const crowd = await gather(CALLERS, size, script)
    t.teardown(crowd.leave)
    await crowd.settled()
    t.log(daemon.process.usage())
    t.deepEqual(daemon.process.faults(), [], "while the crowd is connected")
    t.true(await handInAndAsk(daemon), "beside the crowd")
    crowd.leave()
    t.true(await handInAndAsk(daemon), "after the crowd")
    t.deepEqual(daemon.process.faults(), [])
  })
}
