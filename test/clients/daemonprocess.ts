/** Starts the bundled daemon as a process that leads, with one worker, against fakes of the platform. */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import type {Clock} from "../../src/core/clock.js"
import {systemClock} from "../../src/core/clock.js"
import {serveStore, serveWorker} from "../soak/platformserver.js"
import {bundleDaemon} from "../support/bundle.js"
import {fakeStore} from "../support/fakestore.js"
import {fakeWorkers} from "../support/fakeworkers.js"
import {listingOf, STEP} from "../support/fleet.js"
import {BODY_LIMIT} from "./crowds.js"
import {startWatched} from "./watchedprocess.js"
import type {Machine, WatchedProcess} from "./watchedprocess.js"

const folder = mkdtempSync(join(tmpdir(), "lacewingstream-clients-"))
const program = join(folder, "lacewingstream.cjs")
/** A loopback address that no other process uses, so that the fixed ports are free. */
const HOST = `127.79.${(process.pid >> 8) & 255}.${process.pid & 255 || 1}`
export const CALLERS = `${HOST}:7101`
export const ROUTE_HOST = "clients.example"
const TASK = {demand: STEP.demand, duration: 100}

let bundled: Promise<void> | undefined

export interface Daemon {
  readonly process: WatchedProcess
  readonly close: () => Promise<void>
}

/** Starts a daemon that leads, with one worker. */
export async function startDaemon(machine: Machine): Promise<Daemon> {
  bundled ??= bundleDaemon(program)
  await bundled
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
      `[limits]\nmemory = ${machine.memoryMebibytes}\ndescriptors = ${machine.descriptors}`,
      "",
    ].join("\n"),
  )
  const watched = startWatched(machine, [program, settings])
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
