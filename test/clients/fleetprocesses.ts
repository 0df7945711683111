/**
 * Starts the bundled daemon as a few processes on loopback addresses of their own, with one worker, against fakes of the
 * platform. The first process to claim the lead has it.
 */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import type {Clock, Milliseconds} from "../../src/core/clock.js"
import {systemClock} from "../../src/core/clock.js"
import {LEADER_KEY, parseLeader} from "../../src/planner/records.js"
import {serveStore, serveWorker} from "../soak/platformserver.js"
import {bundleDaemon} from "../support/bundle.js"
import {fakeStore} from "../support/fakestore.js"
import type {FakeStore} from "../support/fakestore.js"
import {fakeWorkers} from "../support/fakeworkers.js"
import {listingOf, STEP} from "../support/fleet.js"
import {BODY_LIMIT} from "./crowds.js"
import {startWatched} from "./watchedprocess.js"
import type {Machine, WatchedProcess} from "./watchedprocess.js"

const folder = mkdtempSync(join(tmpdir(), "lacewingstream-clients-"))
const program = join(folder, "lacewingstream.cjs")
export const ROUTE_HOST = "clients.example"
const TASK = {demand: STEP.demand, duration: 100}
/** The port for callers, for status and for peers, on addresses that no other process uses. */
const [CALLER_PORT, STATUS_PORT, PEER_PORT] = [7101, 7102, 7103]
const LAST_PART = `${(process.pid >> 8) & 255}.${process.pid & 255 || 1}`
const NETWORKS = ["127.79", "127.82", "127.83"]
const LEADER_POLL_MS: Milliseconds = 100
/** Far more than a change of the leader takes. */
const LEADER_POLLS = 600

let bundled: Promise<void> | undefined

export interface FleetProcess {
  readonly name: string
  /** Address on which it serves callers. */
  readonly callers: string
  readonly process: WatchedProcess
}

/** The leader as the store names it. */
export interface Lead {
  readonly leader: FleetProcess
  readonly term: number
}

export interface FleetOfProcesses {
  readonly instances: readonly FleetProcess[]
  readonly store: FakeStore
  /** Writes a configuration with this prefix of the queue and this limit on bodies. */
  readonly configure: (prefix: string, bodyLimit: number) => void
  /** The present lead, undefined while there is none. */
  readonly lead: () => Lead | undefined
  /** Resolves once an instance leads that is not among the given ones. */
  readonly untilLed: (except?: readonly FleetProcess[]) => Promise<Lead>
  readonly close: () => Promise<void>
}

function settingsText(name: string, host: string, seeds: readonly string[], machine: Machine): string[] {
  return [
    `[instance]\nname = ${name}\ndata_centre = a`,
    `[callers]\naddress = ${host}:${CALLER_PORT}`,
    `[status]\naddress = ${host}:${STATUS_PORT}`,
    `[peers]\naddress = ${host}:${PEER_PORT}\nseeds = ${seeds.join(",")}`,
    `[limits]\nmemory = ${machine.memoryMebibytes}\ndescriptors = ${machine.descriptors}`,
  ]
}

/** Starts as many daemons as there are machines. */
export async function startFleet(machines: readonly Machine[]): Promise<FleetOfProcesses> {
  bundled ??= bundleDaemon(program)
  await bundled
  const system = systemClock()
  let closed = false
  /** Timers of the fakes end with the daemons. */
  const clock: Clock = {
    ...system,
    after: (delay, callback) => system.after(delay, () => (closed ? undefined : callback())),
  }
  const hosts = machines.map((_, index) => `${NETWORKS[index]}.${LAST_PART}`)
  const store = fakeStore(clock)
  const workers = fakeWorkers(clock, () => TASK)
  let address = ""
  const worker = await serveWorker(hosts[0] ?? "", workers, () => address)
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
  let version = 0
  function configure(prefix: string, bodyLimit: number): void {
    version += 1
    store.put(
      "op/config",
      JSON.stringify({
        Version: version,
        Routes: [{Name: "checks", Host: ROUTE_HOST, Prefix: prefix, Service: "crease", Attempts: 3}],
        Services: [{Name: "crease"}],
        Limits: {MaxBodyBytes: bodyLimit},
      }),
    )
  }
  configure("/checks/", BODY_LIMIT)
  const seeds = hosts.map(host => `${host}:${PEER_PORT}`)
  const storeServers: Awaited<ReturnType<typeof serveStore>>[] = []
  const instances: FleetProcess[] = []
  for (const [index, machine] of machines.entries()) {
    const name = `entry-${index + 1}`
    const host = hosts[index] ?? ""
    const storeServer = await serveStore(host, store.portFor(name))
    storeServers.push(storeServer)
    const lines = settingsText(name, host, seeds, machine)
    const settings = join(mkdtempSync(join(folder, "run-")), "settings.ini")
    writeFileSync(settings, [...lines, `[platform]\nstore = ${storeServer.address}`, ""].join("\n"))
    instances.push({
      name,
      callers: `${host}:${CALLER_PORT}`,
      process: startWatched(machine, [program, settings]),
    })
  }

  function lead(): Lead | undefined {
    const item = store.get(LEADER_KEY)
    const name = item && parseLeader(item.value)?.name
    const leader = instances.find(instance => instance.name === name)
    return item && leader && {leader, term: item.revision}
  }

  return {
    instances,
    store,
    configure,
    lead,
    async untilLed(except = []) {
      for (let poll = 0; poll < LEADER_POLLS; poll += 1) {
        const found = lead()
        if (found && !except.includes(found.leader)) return found
        await new Promise(resolve => setTimeout(resolve, LEADER_POLL_MS))
      }
      throw new Error("No instance leads.")
    },
    async close() {
      closed = true
      await Promise.all(instances.map(instance => instance.process.stop()))
      for (const storeServer of storeServers) storeServer.close()
      worker.close()
    },
  }
}
