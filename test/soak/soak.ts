/**
 * One soak: a few daemons as processes, callers, a platform behind proxies, and faults in a random order from a seed.
 * It collects what callers and workers saw of broken promises. The order of the faults follows from the seed; how
 * they meet the work does not, since the processes run in real time.
 */
import {join} from "node:path"
import type {Clock, Milliseconds} from "../../src/core/clock.js"
import {systemClock} from "../../src/core/clock.js"
import type {Random} from "../../src/core/random.js"
import {seededRandom} from "../../src/core/random.js"
import type {WorkerListing} from "../../src/pipelines/model.js"
import {fakeStore} from "../support/fakestore.js"
import type {FakeStore} from "../support/fakestore.js"
import {fakeWorkers} from "../support/fakeworkers.js"
import type {FakeWorkers} from "../support/fakeworkers.js"
import {listingOf, STEP} from "../support/fleet.js"
import {createCallers, pause} from "./callers.js"
import type {Callers, SoakJob} from "./callers.js"
import {overload, watchWaits} from "./overload.js"
import {soakInstance} from "./instances.js"
import type {SoakInstance} from "./instances.js"
import {createSoakKeys} from "./keys.js"
import {serveAdvice, serveStore, serveWorker} from "./platformserver.js"
import type {SoakServer} from "./platformserver.js"
import {openProxy} from "./proxy.js"
import type {LinkFault, Proxy} from "./proxy.js"

export interface SoakOptions {
  readonly seed: number
  readonly host: string
  readonly program: string
  readonly folder: string
  readonly instances: number
  readonly workers: number
  /** How long faults are injected. */
  readonly span: Milliseconds
  /** Jobs of a burst that is played in place of the faults in random order; 0 for none. */
  readonly burst: number
}

export interface SoakOutcome {
  readonly faults: readonly string[]
  readonly accepted: number
  readonly injected: readonly string[]
}

interface World {
  readonly random: Random
  readonly store: FakeStore
  readonly workers: FakeWorkers
  readonly workerNames: readonly string[]
  readonly crash: (worker: string) => void
  /** Starts a worker again, which then writes its entry anew. */
  readonly restart: (worker: string) => void
  readonly instances: readonly SoakInstance[]
  readonly storeLinks: readonly Proxy[]
  readonly workerLinks: readonly Proxy[]
  readonly configure: () => void
}

/** After this span without faults all accepted work has to be done; leases of 10 s and a restart fit in it. */
const SETTLE_LIMIT_MS: Milliseconds = 90_000
const SETTLE_POLL_MS: Milliseconds = 500
const LONGEST_PAUSE_MS: Milliseconds = 2500
const LONGEST_FAULT_MS: Milliseconds = 3000
const LONGEST_GAP_MS: Milliseconds = 900
const LINK_FAULTS: readonly LinkFault[] = ["slow", "deaf", "mute", "silent", "refusing"]
const STORE_MODES = ["refusing", "silent", "losing", "late"] as const
const KILLS_TOGETHER = 3
/** From this long after the last fault no accepted job may wait with room for it, as the platform asks. */
const FINISH_MS: Milliseconds = 14_000
/** Each task of the soak's jobs needs one. */
const WORKER_PROCESSORS = 8
const LIMIT_A_WORKER = 2

/** Ports below those that the system gives to connections; each soak has a loopback address of its own. */
const [CALLER_PORT, STATUS_PORT, PEER_PORT] = [7100, 7200, 7300]

function pick<T>(random: Random, items: readonly T[]): T {
  const item = items[random.below(items.length)]
  if (item === undefined) throw new RangeError("There is nothing to pick from.")
  return item
}

function listingText({id, address, bornAt}: WorkerListing): string {
  return JSON.stringify({
    Service: "crease",
    Address: address,
    Zone: "a",
    State: "ready",
    Labels: ["a", "r1"],
    FreeCapacity: {Cpu: WORKER_PROCESSORS * 1000, MemMb: 10_000, Gpu: 4},
    born: bornAt,
    Id: id,
  })
}

/** The workspace may use few processors of a fleet under faults, so that its limit is often reached, and half in a burst. */
function limitOf({workers, burst}: SoakOptions): number {
  return burst > 0 ? (workers * WORKER_PROCESSORS) / 2 : workers * LIMIT_A_WORKER
}

function configurationText(version: number, keys: readonly string[], limit: number): string {
  const queue = {Host: "soak.example", Service: "crease", Attempts: 3, SlackFactor: 1.5, TargetLatencyMs: 250}
  return JSON.stringify({
    Version: version,
    Routes: [
      {...queue, Name: "checks", Prefix: "/checks/", Priority: 0},
      {...queue, Name: "versioned", Prefix: `/version-${version}/`, Priority: 1},
    ],
    Services: [{Name: "crease"}],
    Tenants: [{Name: "soak", ApiKeys: keys, MaxCount: {Cpu: limit * 1000, MemMb: 0, Gpu: 0}}],
    Limits: {MaxBodyBytes: 100_000},
  })
}

/** Injects one fault, which ends by itself. Gives its name. */
function inject(world: World): string {
  const {random, store, workers, instances, storeLinks, workerLinks} = world
  const instance = pick(random, instances)
  const span = 300 + random.below(LONGEST_FAULT_MS)
  const later = (act: () => void): void => void setTimeout(act, span)
  switch (random.below(11)) {
    case 0:
      instance.kill()
      later(instance.start)
      return `kill ${instance.name}`
    case 1:
      instance.pause(random.below(LONGEST_PAUSE_MS))
      return `pause ${instance.name}`
    case 2:
      void instance.stop().then(instance.start)
      return `stop ${instance.name}`
    case 3: {
      const together = instances.slice(0, 1 + random.below(KILLS_TOGETHER))
      for (const one of together) one.kill()
      later(() => together.forEach(one => one.start()))
      return `kill ${together.length} together`
    }
    case 4: {
      const mode = pick(random, STORE_MODES)
      store.setMode(mode)
      later(() => store.setMode("up"))
      return `store ${mode}`
    }
    case 5: {
      const mode = pick(random, STORE_MODES)
      store.setMode(mode, instance.name)
      later(() => store.setMode("up", instance.name))
      return `store ${mode} for ${instance.name}`
    }
    case 6: {
      const link = pick(random, [...storeLinks, ...workerLinks])
      const fault = pick(random, LINK_FAULTS)
      link.setFault(fault)
      later(() => link.setFault("none"))
      return `link ${fault}`
    }
    case 7:
      for (const link of [...storeLinks, ...workerLinks]) if (random.next() < 0.3) link.reset()
      return "reset connections"
    case 8: {
      const name = pick(random, world.workerNames)
      world.crash(name)
      later(() => world.restart(name))
      return `crash ${name}`
    }
    case 9:
      workers.delayOrders(0.1, random.next)
      later(() => workers.delayOrders(0, random.next))
      return "late orders"
    default:
      store.compact()
      world.configure()
      instance.hangUp()
      return "configuration, history lost, hang-up"
  }
}

/** Injects faults in random order for the given span, and waits for the end of the last one. */
async function injectMany(world: World, span: Milliseconds): Promise<readonly string[]> {
  const injected: string[] = []
  const until = performance.now() + span
  while (performance.now() < until) {
    await pause(world.random.below(LONGEST_GAP_MS))
    injected.push(inject(world))
  }
  await pause(LONGEST_FAULT_MS + 300)
  return injected
}

/** Waits until every accepted job has ended as every instance sees it. Gives those that have not. */
async function settle(world: World, callers: Callers): Promise<readonly string[]> {
  const until = performance.now() + SETTLE_LIMIT_MS
  const isOver = (job: SoakJob, state: string): boolean =>
    state === "completed" || state === "cancelled" || (job.left && state === "410")
  let open: readonly SoakJob[] = callers.jobs.filter(job => job.acceptedAt !== undefined)
  while (open.length > 0 && performance.now() < until) {
    for (const instance of world.instances) instance.start()
    const states = await Promise.all(
      open.map(async job => Promise.all(world.instances.map(instance => callers.stateAt(instance, job)))),
    )
    open = open.filter((job, index) => !(states[index] ?? []).every(state => isOver(job, state)))
    await pause(SETTLE_POLL_MS)
  }
  return open.map(job => `${job.id} was accepted and has not ended`)
}

/** Jobs that were surely refused never run, and nothing of a cancelled job runs in the end. */
function unwanted(workers: FakeWorkers, callers: Callers): readonly string[] {
  const found: string[] = []
  for (const job of callers.jobs) {
    const tasks = callers.taskNames(job)
    const refused = job.acceptedAt === undefined && !job.doubtful
    if (refused && tasks.some(task => workers.startCounts().has(task)))
      found.push(`${job.id} was refused and ran`)
    if (job.startsBeforeBound !== undefined && callers.countStarts(job) > job.startsBeforeBound)
      found.push(`${job.id} was cancelled and started later`)
    if (job.cancelled && tasks.some(task => workers.running().includes(task)))
      found.push(`${job.id} was cancelled and runs`)
  }
  return found
}

/** Plays one seed. */
export async function soak(options: SoakOptions): Promise<SoakOutcome> {
  const {host, seed, folder, program} = options
  const random = seededRandom(seed)
  let closed = false
  const system = systemClock()
  /** Timers of the fakes end with the soak. */
  const clock: Clock = {
    ...system,
    after: (delay, callback) => system.after(delay, () => (closed ? undefined : callback())),
  }
  const faults: string[] = []
  const limit = limitOf(options)
  const store = fakeStore(clock)
  const workers: FakeWorkers = fakeWorkers(clock, task => {
    const [job = "", , step = ""] = task.split(".")
    const known = callers.jobs.find(one => one.id === job)
    const before = Number(step) - 1
    for (let index = 0; index < (known?.steps[before] ?? 0); index += 1) {
      if (!workers.doneTasks().has(`${job}.0.${before}.${index}`))
        faults.push(`${task} began before its turn`)
    }
    if (workers.running().length + 1 > limit) faults.push(`${task} began above the limit of its workspace`)
    return {demand: STEP.demand, duration: 100 + random.below(700)}
  })

  const register = (name: string): void => store.put(`servers/${name}`, listingText(workers.listing(name)))
  const workerNames = Array.from({length: options.workers}, (_, index) => `worker-${index + 1}`)
  const closers: (() => void)[] = []
  const workerLinks: Proxy[] = []
  const workerServers = new Map<string, SoakServer>()
  for (const name of workerNames) {
    let address = ""
    const server = await serveWorker(host, workers, () => address)
    const link = await openProxy(host, server.address)
    address = link.address
    workerServers.set(name, server)
    workerLinks.push(link)
    closers.push(link.close, server.close)
    workers.addWorker(listingOf(name, {address}))
    register(name)
  }
  const keys = createSoakKeys(seededRandom(seed))
  let version = 0
  const configure = (): void => {
    version += 1 + random.below(3)
    store.put("op/config", configurationText(version, keys.replace(), limit))
  }
  configure()

  const advice = await serveAdvice(host)
  closers.push(advice.close)
  const names = Array.from({length: options.instances}, (_, index) => `entry-${index + 1}`)
  const peers = names.map((_, index) => `${host}:${PEER_PORT + index}`)
  const storeLinks: Proxy[] = []
  const instances: SoakInstance[] = []
  for (const [index, name] of names.entries()) {
    const server = await serveStore(host, store.portFor(name))
    const link = await openProxy(host, server.address)
    storeLinks.push(link)
    closers.push(link.close, server.close)
    const addresses = {
      callers: `${host}:${CALLER_PORT + index}`,
      status: `${host}:${STATUS_PORT + index}`,
      peers: peers[index] ?? "",
      store: link.address,
      advice: advice.address,
      seeds: peers.slice(0, 3),
    }
    instances.push(
      soakInstance(name, program, join(folder, `seed-${seed}-${options.burst}`), addresses, faults),
    )
  }

  const callers = createCallers(instances, workers, random, keys, faults)
  const crash = (worker: string): void => {
    workers.crash(worker)
    workerServers.get(worker)?.endConnections()
  }
  const restart = (worker: string): void => {
    workers.restart(worker)
    register(worker)
  }
  const links = {storeLinks, workerLinks}
  const world = {random, store, workers, workerNames, crash, restart, instances, ...links, configure}
  const injected: string[] = []
  const waits = watchWaits(workers, callers, limit, faults)
  try {
    for (const instance of instances) instance.start()
    await pause(1500)
    callers.run()
    if (options.burst > 0) injected.push(...(await overload(world, callers, waits, options.burst, faults)))
    else injected.push(...(await injectMany(world, options.span)))
    store.setMode("up")
    for (const name of names) store.setMode("up", name)
    for (const link of [...storeLinks, ...workerLinks]) link.setFault("none")
    await callers.stop()
    // Late orders are carried out within this time too.
    waits.watchFrom(performance.now() + FINISH_MS)
    faults.push(...(await settle(world, callers)))
    faults.push(...workers.violations(), ...unwanted(workers, callers))
    await Promise.all(instances.map(instance => instance.retire()))
  } finally {
    // A process that is left would keep the test run from ending.
    await Promise.all(instances.map(instance => instance.destroy()))
    closed = true
    waits.stop()
    callers.close()
    for (const close of closers) close()
  }
  const accepted = callers.jobs.filter(job => job.acceptedAt !== undefined).length
  return {faults, accepted, injected}
}
