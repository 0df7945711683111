/**
 * Runs entry instances against stand-ins of the platform on a virtual clock, and injects faults. After each step of the
 * clock it checks that no job group has two holders that may act on it.
 */
import {err, ok} from "neverthrow"
import {sleep, withTimeout} from "../../src/core/clock.js"
import type {Clock, Milliseconds} from "../../src/core/clock.js"
import {CallFailed} from "../../src/core/errors.js"
import {seededRandom} from "../../src/core/random.js"
import type {Resources} from "../../src/core/resources.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {VirtualClock} from "../../src/core/virtualclock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import type {Logger} from "../../src/core/logger.js"
import {createEntryCore} from "../../src/entry/core.js"
import type {EntryCore} from "../../src/entry/core.js"
import type {PeerApi, PeerNetwork} from "../../src/peer/api.js"
import type {BackendProbe, ListedInstance, Store, WorkerGateway} from "../../src/platform/ports.js"
import {instanceListCore} from "../../standins/instancelistserver.js"
import type {InstanceListCore} from "../../standins/instancelistserver.js"
import {storeCore} from "../../standins/storecore.js"
import type {StoreCore} from "../../standins/storecore.js"
import {directStore, noStoreFaults} from "../../standins/storefaults.js"
import type {StoreFaults} from "../../standins/storefaults.js"
import {doubledTasks, truthRecord} from "../../standins/truth.js"
import type {Truth} from "../../standins/truth.js"
import {workerCore} from "../../standins/workercore.js"
import type {WorkerCore} from "../../standins/workercore.js"

export interface ClusterOptions {
  readonly instances: number
  readonly racks: number
  readonly workersPerRack: number
  readonly capacity: Resources
  readonly seed: number
  readonly jobGroups?: number
  readonly document?: string
  readonly log?: Logger
}

export interface ClusterInstance {
  readonly name: string
  readonly core: EntryCore
  paused: boolean
  dead: boolean
}

export interface Cluster {
  readonly clock: VirtualClock
  readonly store: StoreCore
  readonly faults: StoreFaults
  readonly truth: Truth
  readonly list: InstanceListCore
  readonly instances: readonly ClusterInstance[]
  readonly workers: ReadonlyMap<string, WorkerCore>
  /** Workers that answer no calls. */
  readonly silentWorkers: Set<string>
  /** Pairs of instances that cannot reach each other, as `one|other` with the names in order. */
  readonly partitions: Set<string>
  /** The share of failed requests that each instance reports of itself. */
  readonly failureShares: Map<string, number>
  /** For each peer method, how many of the next calls take effect but lose their reply. */
  readonly peerRepliesToLose: Map<string, number>
  /** Called before each sync request to a worker. */
  beforeSync: (from: string, worker: string) => void
  readonly storeCalls: () => number
  readonly start: (name?: string) => Promise<ClusterInstance>
  readonly kill: (instance: ClusterInstance) => void
  readonly pause: (instance: ClusterInstance) => void
  readonly resume: (instance: ClusterInstance) => void
  /** Advances the clock in steps. After each it checks that no group has two holders that may act on it. */
  readonly advance: (span: Milliseconds) => Promise<void>
  /** Submits a job to the first live instance. */
  readonly submit: (body: object, key?: string) => Promise<{readonly status: number; readonly body: JobBody}>
  readonly get: (job: string) => Promise<JobBody>
  readonly cancel: (job: string) => Promise<JobBody>
  readonly violations: () => readonly string[]
  readonly liveInstances: () => readonly ClusterInstance[]
  readonly close: () => void
}

export interface JobBody {
  readonly job: string
  /** Absent in a problem document. */
  readonly state?: string
  readonly execution: string
  readonly tasks: readonly {readonly index: number; readonly state: string; readonly detail: string}[]
  readonly explanation: readonly string[]
  readonly type?: string
  readonly detail?: string
  readonly findings?: unknown
}

const CHECK_INTERVAL_MS: Milliseconds = 100
const PEER_LATENCY_MS: Milliseconds = 1
const PARTITION_TIMEOUT_MS: Milliseconds = 1000
const PEER_TIMEOUT_MS: Milliseconds = 4000
const CALL_LIMIT_MS: Milliseconds = 60_000

export const TEST_DOCUMENT = `[environment]
name = test
job_groups = JOB_GROUPS
data_centres = a, b, c
[workload.batch]
kind = batch
pool = pool
priority = 4
restartable = yes
checkpointable = yes
[workload.once]
kind = batch
pool = pool
priority = 4
restartable = no
[workload.gang]
kind = gang
pool = pool
priority = 5
restartable = yes
checkpointable = yes
[workload.service]
kind = service
pool = pool
priority = 6
restartable = yes
[workload.urgent]
kind = batch
pool = pool
priority = 9
restartable = yes
[team.red]
weight = 1
[team.blue]
weight = 1
[team.green]
weight = 2
[service.web]
pool = pool
slots = 8
`

const PEER_METHODS: readonly (keyof PeerApi)[] = [
  "gossip",
  "promise",
  "place",
  "abandon",
  "reportEnds",
  "inventory",
  "lend",
  "holdings",
  "fetchDocument",
  "forward",
  "beginKey",
  "completeKey",
  "handOver",
]

/** Wraps a clock so that timers that expire while the gate is closed fire when it opens. */
function createPausableClock(clock: Clock, gate: Gate): Clock {
  return {
    now: clock.now,
    wallClock: clock.wallClock,
    after: (delay, callback) => clock.after(delay, () => gate.run(callback)),
  }
}

/** Holds back callbacks and promises while it is closed, to simulate a paused process. */
interface Gate {
  readonly run: (callback: () => void) => void
  readonly pass: () => Promise<void>
  readonly setOpen: (open: boolean) => void
}

function createGate(): Gate {
  let open = true
  const held: (() => void)[] = []
  return {
    run(callback) {
      if (open) callback()
      else held.push(callback)
    },
    pass: () => (open ? Promise.resolve() : new Promise(resolve => held.push(resolve))),
    setOpen(value) {
      open = value
      if (open) for (const callback of held.splice(0)) callback()
    },
  }
}

/** Wraps a store so that the result of each call is held back while the gate is closed. */
function gateStore(store: Store, gate: Gate): Store {
  const after = async <T>(result: Promise<T>): Promise<T> => {
    const value = await result
    await gate.pass()
    return value
  }
  return {
    get: key => after(store.get(key)),
    list: prefix => after(store.list(prefix)),
    compareAndSwap: (key, version, value) => after(store.compareAndSwap(key, version, value)),
    remove: (key, version) => after(store.remove(key, version)),
    watch: (prefix, from, wait) => after(store.watch(prefix, from, wait)),
  }
}

function pairOf(one: string, other: string): string {
  return [one, other].sort().join("|")
}

/** Creates the stand-ins. Instances are started separately with `start`. */
export function createCluster(options: ClusterOptions): Cluster {
  const clock = virtualClock(1_000_000)
  const store = storeCore(clock)
  const faults = noStoreFaults()
  const truth = truthRecord()
  const list = instanceListCore(clock, 0)
  const workers = new Map<string, WorkerCore>()
  const byAddress = new Map<string, WorkerCore>()
  const silentWorkers = new Set<string>()
  const partitions = new Set<string>()
  const instances: (ClusterInstance & {readonly gate: Gate})[] = []
  const violations: string[] = []
  let storeCalls = 0
  let started = 0

  for (let rack = 0; rack < options.racks; rack += 1) {
    for (let index = 0; index < options.workersPerRack; index += 1) {
      const name = `worker-${rack + 1}-${index + 1}`
      const core = workerCore({name, capacity: options.capacity}, clock, truth, (rack * 7 + index) * 131)
      workers.set(name, core)
      byAddress.set(name, core)
      const entry: ListedInstance = {
        name,
        kind: "worker",
        status: "live",
        dataCentre: ["a", "b", "c"][rack % 3] ?? "a",
        address: name,
        rack: `r${rack + 1}`,
        pool: "pool",
        capacity: options.capacity,
        backendAddress: name,
        service: "web",
      }
      list.put(entry)
    }
  }
  list.settle()

  const cluster: Cluster = {
    clock,
    store,
    faults,
    truth,
    list,
    instances,
    workers,
    silentWorkers,
    partitions,
    failureShares: new Map<string, number>(),
    peerRepliesToLose: new Map<string, number>(),
    beforeSync: () => undefined,
    storeCalls: () => storeCalls,
    start,
    kill,
    pause,
    resume,
    advance,
    submit,
    get: job => call(core => core.jobs.get(job)),
    cancel: job => call(core => core.jobs.cancel(job)),
    violations: () => [...violations, ...truth.oversubscriptions(), ...doubledTasks(truth.tasks())],
    liveInstances: () => instances.filter(instance => !instance.dead && !instance.paused),
    close() {
      for (const instance of instances) if (!instance.dead) instance.core.stop()
      for (const worker of workers.values()) worker.close()
    },
  }

  function isDead(instance: ClusterInstance): boolean {
    return instance.dead
  }

  async function failWithTimeout(): Promise<never> {
    await sleep(clock, PARTITION_TIMEOUT_MS)
    throw new RangeError("The call timed out.")
  }

  function createPeerLink(from: string, gate: Gate, target: string): PeerApi {
    const invoke = async (method: keyof PeerApi, request: unknown): Promise<unknown> => {
      const late = Symbol("late")
      const reply = await withTimeout(clock, deliver(method, request), PEER_TIMEOUT_MS, late)
      await gate.pass()
      if (reply === late) throw new RangeError("The call timed out.")
      return reply
    }
    const deliver = async (method: keyof PeerApi, request: unknown): Promise<unknown> => {
      await sleep(clock, PEER_LATENCY_MS)
      const instance = instances.find(candidate => candidate.name === target && !candidate.dead)
      if (!instance) throw Object.assign(new RangeError("refused"), {cause: {code: "ECONNREFUSED"}})
      if (partitions.has(pairOf(from, target))) return failWithTimeout()
      await instance.gate.pass()
      if (isDead(instance)) return failWithTimeout()
      const run = instance.core.handlers[method] as (message: unknown) => Promise<unknown>
      const reply = await run(request)
      const lost = cluster.peerRepliesToLose.get(method) ?? 0
      if (lost > 0) {
        cluster.peerRepliesToLose.set(method, lost - 1)
        return failWithTimeout()
      }
      return partitions.has(pairOf(from, target)) || isDead(instance) ? failWithTimeout() : reply
    }
    const entries = PEER_METHODS.map(method => [method, (request: unknown) => invoke(method, request)])
    return Object.fromEntries(entries) as PeerApi
  }

  function createGateway(from: string, gate: Gate): WorkerGateway {
    return {
      async sync(address, request) {
        await sleep(clock, PEER_LATENCY_MS)
        cluster.beforeSync(from, address)
        await gate.pass()
        const worker = byAddress.get(address)
        if (!worker || silentWorkers.has(address)) {
          await sleep(clock, PARTITION_TIMEOUT_MS)
          return err(new CallFailed(address, "no answer", "unknown"))
        }
        const report = await worker.sync(request)
        await gate.pass()
        if (silentWorkers.has(address)) return err(new CallFailed(address, "no answer", "unknown"))
        return ok(report)
      },
    }
  }

  const probe: BackendProbe = {health: () => Promise.resolve(ok({inHand: 0, leaving: false}))}

  async function start(given?: string): Promise<ClusterInstance> {
    started += 1
    const name = given ?? `entry-${started}`
    const gate = createGate()
    const instanceClock = createPausableClock(clock, gate)
    const peers: PeerNetwork = {
      reach: target => createPeerLink(name, gate, target),
      reachAddress: target => createPeerLink(name, gate, target),
    }
    const base = directStore(store, faults, clock, name, () => {
      storeCalls += 1
    })
    const core = createEntryCore(
      {
        instance: name,
        dataCentre: ["a", "b", "c"][started % 3] ?? "a",
        successors: 2,
        memoryMebibytes: 0,
      },
      {
        clock: instanceClock,
        random: seededRandom(options.seed * 100 + started),
        store: gateStore(base, gate),
        list: {read: () => Promise.resolve(ok(list.read()))},
        gateway: createGateway(name, gate),
        probe,
        log: options.log ?? SILENT_LOGGER,
        peers,
        peerAddress: name,
        isLeaving: () => false,
        failureShare: () => cluster.failureShares.get(name) ?? 0,
        onSlotReturned: () => undefined,
        onReplaced: () => undefined,
      },
    )
    const instance = {name, core, gate, paused: false, dead: false}
    instances.push(instance)
    const noResources = {processors: 0, memoryMebibytes: 0, accelerators: 0}
    list.put({
      name,
      kind: "entry",
      status: "live",
      dataCentre: "a",
      address: name,
      rack: "",
      pool: "",
      capacity: noResources,
      backendAddress: "",
      service: "",
    })
    list.settle()
    void core.start()
    return Promise.resolve(instance)
  }

  function gateOf(instance: ClusterInstance): Gate | undefined {
    return instances.find(candidate => candidate === instance)?.gate
  }

  function kill(instance: ClusterInstance): void {
    instance.dead = true
    gateOf(instance)?.setOpen(false)
    list.remove(instance.name)
  }

  function pause(instance: ClusterInstance): void {
    instance.paused = true
    gateOf(instance)?.setOpen(false)
  }

  function resume(instance: ClusterInstance): void {
    instance.paused = false
    gateOf(instance)?.setOpen(true)
  }

  /** Records a violation for each group on which more than one instance may act. */
  function checkHolders(): void {
    const holders = new Map<string, string>()
    for (const instance of instances) {
      if (instance.dead) continue
      for (const group of instance.core.ownership.held().keys()) {
        if (instance.core.ownership.epochOf(group) === undefined) continue
        const other = holders.get(group)
        if (other !== undefined)
          violations.push(`${group} is held by ${other} and by ${instance.name} at ${clock.now()}`)
        holders.set(group, instance.name)
      }
    }
  }

  async function advance(span: Milliseconds): Promise<void> {
    for (let passed = 0; passed < span; passed += CHECK_INTERVAL_MS) {
      await clock.advance(Math.min(CHECK_INTERVAL_MS, span - passed))
      checkHolders()
    }
  }

  /** Advances the clock until the promise resolves. */
  async function runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let result: {readonly value: T} | undefined
    void promise.then(value => {
      result = {value}
    })
    for (let passed = 0; passed < CALL_LIMIT_MS && !result; passed += 20) await clock.advance(20)
    if (!result) throw new RangeError("The call did not end within 60 s.")
    return result.value
  }

  async function call(
    run: (core: EntryCore) => Promise<{readonly status: number; readonly body: object}>,
  ): Promise<JobBody> {
    const [instance] = cluster.liveInstances()
    if (!instance) throw new RangeError("No instance is alive.")
    return (await runUntilSettled(run(instance.core))).body as JobBody
  }

  async function submit(body: object, key = ""): Promise<{readonly status: number; readonly body: JobBody}> {
    const [instance] = cluster.liveInstances()
    if (!instance) throw new RangeError("No instance is alive.")
    const answer = await runUntilSettled(instance.core.jobs.submit({key, request: body}))
    return {status: answer.status, body: answer.body as JobBody}
  }

  return cluster
}

/** Starts all instances, proposes the document and advances the clock until every group has a holder that may act. */
export async function readyCluster(options: ClusterOptions): Promise<Cluster> {
  const cluster = createCluster(options)
  for (let index = 0; index < options.instances; index += 1) await cluster.start()
  await cluster.advance(1500)
  const text = (options.document ?? TEST_DOCUMENT).replace("JOB_GROUPS", String(options.jobGroups ?? 4))
  const [instance] = cluster.instances
  if (!instance) throw new RangeError("A cluster needs an instance.")
  void instance.core.configuration.propose({text, baseNumber: 0, operator: "test", proposal: "first"})
  await cluster.advance(8000)
  return cluster
}
