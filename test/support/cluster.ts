/** Entry instances over the platform's stand-ins under a virtual clock, with faults, for tests of failures. */
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

export interface Node {
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
  readonly nodes: readonly Node[]
  readonly workers: ReadonlyMap<string, WorkerCore>
  /** Workers that answer nobody. */
  readonly silentWorkers: Set<string>
  /** Pairs of instances, as `one|other` in order of name, between which nothing passes. */
  readonly cuts: Set<string>
  /** Share of failed requests that an instance tells of itself. */
  readonly failureShares: Map<string, number>
  /** Calls between instances by name that are still to be carried out with their reply lost. */
  readonly lostPeerReplies: Map<string, number>
  /** Called before each order that reaches a worker. */
  beforeSync: (from: string, worker: string) => void
  readonly storeCalls: () => number
  readonly start: (name?: string) => Promise<Node>
  readonly kill: (node: Node) => void
  readonly pause: (node: Node) => void
  readonly resume: (node: Node) => void
  /** Moves time in steps and checks after each that no group has two holders that may act. */
  readonly advance: (span: Milliseconds) => Promise<void>
  /** Submits through a live node. */
  readonly submit: (body: object, key?: string) => Promise<{readonly status: number; readonly body: JobBody}>
  readonly get: (job: string) => Promise<JobBody>
  readonly cancel: (job: string) => Promise<JobBody>
  readonly violations: () => readonly string[]
  readonly live: () => readonly Node[]
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

const STEP_MS: Milliseconds = 100
const PEER_LATENCY_MS: Milliseconds = 1
const CUT_TIMEOUT_MS: Milliseconds = 1000
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

/** A clock whose timers wait while the node is paused. */
function pausable(clock: Clock, gate: Gate): Clock {
  return {
    now: clock.now,
    wallClock: clock.wallClock,
    after: (delay, callback) => clock.after(delay, () => gate.run(callback)),
  }
}

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

/** Passes each method of an object through a gate before its result is seen. */
function gated(store: Store, gate: Gate): Store {
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

/** Creates the stand-ins. Instances are started one by one. */
export function createCluster(options: ClusterOptions): Cluster {
  const clock = virtualClock(1_000_000)
  const store = storeCore(clock)
  const faults = noStoreFaults()
  const truth = truthRecord()
  const list = instanceListCore(clock, 0)
  const workers = new Map<string, WorkerCore>()
  const byAddress = new Map<string, WorkerCore>()
  const silentWorkers = new Set<string>()
  const cuts = new Set<string>()
  const nodes: (Node & {readonly gate: Gate})[] = []
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
    nodes,
    workers,
    silentWorkers,
    cuts,
    failureShares: new Map<string, number>(),
    lostPeerReplies: new Map<string, number>(),
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
    live: () => nodes.filter(node => !node.dead && !node.paused),
    close() {
      for (const node of nodes) if (!node.dead) node.core.stop()
      for (const worker of workers.values()) worker.close()
    },
  }

  function isDead(node: Node): boolean {
    return node.dead
  }

  async function timeOut(): Promise<never> {
    await sleep(clock, CUT_TIMEOUT_MS)
    throw new RangeError("The call timed out.")
  }

  function linkTo(from: string, gate: Gate, target: string): PeerApi {
    const invoke = async (method: keyof PeerApi, request: unknown): Promise<unknown> => {
      const late = Symbol("late")
      const reply = await withTimeout(clock, deliver(method, request), PEER_TIMEOUT_MS, late)
      await gate.pass()
      if (reply === late) throw new RangeError("The call timed out.")
      return reply
    }
    const deliver = async (method: keyof PeerApi, request: unknown): Promise<unknown> => {
      await sleep(clock, PEER_LATENCY_MS)
      const node = nodes.find(candidate => candidate.name === target && !candidate.dead)
      if (!node) throw Object.assign(new RangeError("refused"), {cause: {code: "ECONNREFUSED"}})
      if (cuts.has(pairOf(from, target))) return timeOut()
      await node.gate.pass()
      if (isDead(node)) return timeOut()
      const run = node.core.handlers[method] as (message: unknown) => Promise<unknown>
      const reply = await run(request)
      const lost = cluster.lostPeerReplies.get(method) ?? 0
      if (lost > 0) {
        cluster.lostPeerReplies.set(method, lost - 1)
        return timeOut()
      }
      return cuts.has(pairOf(from, target)) || isDead(node) ? timeOut() : reply
    }
    const entries = PEER_METHODS.map(method => [method, (request: unknown) => invoke(method, request)])
    return Object.fromEntries(entries) as PeerApi
  }

  function gatewayFor(from: string, gate: Gate): WorkerGateway {
    return {
      async sync(address, request) {
        await sleep(clock, PEER_LATENCY_MS)
        cluster.beforeSync(from, address)
        await gate.pass()
        const worker = byAddress.get(address)
        if (!worker || silentWorkers.has(address)) {
          await sleep(clock, CUT_TIMEOUT_MS)
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

  async function start(given?: string): Promise<Node> {
    started += 1
    const name = given ?? `entry-${started}`
    const gate = createGate()
    const own = pausable(clock, gate)
    const peers: PeerNetwork = {
      reach: target => linkTo(name, gate, target),
      reachAddress: target => linkTo(name, gate, target),
    }
    const base = directStore(store, faults, clock, name, () => {
      storeCalls += 1
    })
    const core = createEntryCore(
      {instance: name, dataCentre: ["a", "b", "c"][started % 3] ?? "a", successors: 2},
      {
        clock: own,
        random: seededRandom(options.seed * 100 + started),
        store: gated(base, gate),
        list: {read: () => Promise.resolve(ok(list.read()))},
        gateway: gatewayFor(name, gate),
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
    const node = {name, core, gate, paused: false, dead: false}
    nodes.push(node)
    const none = {processors: 0, memoryMebibytes: 0, accelerators: 0}
    list.put({
      name,
      kind: "entry",
      status: "live",
      dataCentre: "a",
      address: name,
      rack: "",
      pool: "",
      capacity: none,
      backendAddress: "",
      service: "",
    })
    list.settle()
    void core.start()
    return Promise.resolve(node)
  }

  function gateOf(node: Node): Gate | undefined {
    return nodes.find(candidate => candidate === node)?.gate
  }

  function kill(node: Node): void {
    node.dead = true
    gateOf(node)?.setOpen(false)
    list.remove(node.name)
  }

  function pause(node: Node): void {
    node.paused = true
    gateOf(node)?.setOpen(false)
  }

  function resume(node: Node): void {
    node.paused = false
    gateOf(node)?.setOpen(true)
  }

  /** An instance that may act on a group while another may act on it too. */
  function checkHolders(): void {
    const holders = new Map<string, string>()
    for (const node of nodes) {
      if (node.dead) continue
      for (const group of node.core.ownership.held().keys()) {
        if (node.core.ownership.epochOf(group) === undefined) continue
        const other = holders.get(group)
        if (other !== undefined)
          violations.push(`${group} is held by ${other} and by ${node.name} at ${clock.now()}`)
        holders.set(group, node.name)
      }
    }
  }

  async function advance(span: Milliseconds): Promise<void> {
    for (let passed = 0; passed < span; passed += STEP_MS) {
      await clock.advance(Math.min(STEP_MS, span - passed))
      checkHolders()
    }
  }

  /** Drives the clock until a call has ended. */
  async function drive<T>(promise: Promise<T>): Promise<T> {
    let result: {readonly value: T} | undefined
    void promise.then(value => {
      result = {value}
    })
    for (let passed = 0; passed < CALL_LIMIT_MS && !result; passed += 20) await clock.advance(20)
    if (!result) throw new RangeError("The call did not end within its limit.")
    return result.value
  }

  async function call(
    run: (core: EntryCore) => Promise<{readonly status: number; readonly body: object}>,
  ): Promise<JobBody> {
    const [node] = cluster.live()
    if (!node) throw new RangeError("No instance is alive.")
    return (await drive(run(node.core))).body as JobBody
  }

  async function submit(body: object, key = ""): Promise<{readonly status: number; readonly body: JobBody}> {
    const [node] = cluster.live()
    if (!node) throw new RangeError("No instance is alive.")
    const answer = await drive(node.core.jobs.submit({key, request: body}))
    return {status: answer.status, body: answer.body as JobBody}
  }

  return cluster
}

/** Starts all instances, promotes the document and waits until every group has a settled holder. */
export async function readyCluster(options: ClusterOptions): Promise<Cluster> {
  const cluster = createCluster(options)
  for (let index = 0; index < options.instances; index += 1) await cluster.start()
  await cluster.advance(1500)
  const text = (options.document ?? TEST_DOCUMENT).replace("JOB_GROUPS", String(options.jobGroups ?? 4))
  const [node] = cluster.nodes
  if (!node) throw new RangeError("A cluster needs an instance.")
  void node.core.configuration.propose({text, baseNumber: 0, operator: "test", proposal: "first"})
  await cluster.advance(8000)
  return cluster
}
