/** A trial environment in one process: the platform's stand-ins and the entry instances, on loopback ports. */
import {readFileSync} from "node:fs"
import {randomUUID} from "node:crypto"
import {request} from "undici"
import {sleep, systemClock} from "../src/core/clock.js"
import type {Clock, Milliseconds} from "../src/core/clock.js"
import {seededRandom} from "../src/core/random.js"
import type {Logger} from "../src/core/logger.js"
import {startEntry} from "../src/entry/instance.js"
import type {EntryInstance} from "../src/entry/instance.js"
import {createMetrics} from "../src/entry/metrics.js"
import {jsonClient} from "../src/platform/http.js"
import {httpBackendProbe, httpInstanceList, httpWorkerGateway} from "../src/platform/httpplatform.js"
import {httpStore} from "../src/platform/httpstore.js"
import type {ListedInstance} from "../src/platform/ports.js"
import {readSettings} from "../src/settings/settings.js"
import {formatFinding} from "../src/core/finding.js"
import {serveBackend} from "./backendserver.js"
import type {BackendServer} from "./backendserver.js"
import {serveBalancer} from "./balancer.js"
import type {Balancer} from "./balancer.js"
import type {Deployment, PoolDefinition} from "./deployments.js"
import {instanceListCore, serveInstanceList} from "./instancelistserver.js"
import type {InstanceListCore} from "./instancelistserver.js"
import type {JsonServer} from "./jsonserver.js"
import {serveStore} from "./storeserver.js"
import type {StoreServer} from "./storeserver.js"
import {truthRecord} from "./truth.js"
import type {Truth} from "./truth.js"
import {serveWorker} from "./workerserver.js"
import type {WorkerServer} from "./workerserver.js"

export interface TrialEnvironment {
  readonly deployment: Deployment
  readonly clock: Clock
  readonly truth: Truth
  readonly store: StoreServer
  readonly list: InstanceListCore
  readonly listAddress: string
  readonly balancer: Balancer
  readonly workers: ReadonlyMap<string, WorkerServer>
  readonly backends: ReadonlyMap<string, BackendServer>
  readonly entries: ReadonlyMap<string, EntryInstance>
  readonly startEntry: (name: string) => Promise<EntryInstance>
  readonly killEntry: (name: string) => Promise<void>
  readonly stopEntry: (name: string) => Promise<void>
  readonly promote: (text: string) => Promise<void>
  /** Resolves when every instance may act, every group has a holder and every worker was heard. */
  readonly untilReady: (limit: Milliseconds) => Promise<boolean>
  readonly close: () => Promise<void>
}

export const OPERATOR_KEY = "trial-operator-key-0001"
const LIST_LAG_MS: Milliseconds = 1000
const WORKER_CLOCK_STEP_MS: Milliseconds = 977
const READY_POLL_MS: Milliseconds = 50

/** Files for TLS towards callers and between instances. */
export interface TrialTls {
  readonly certificate: string
  readonly key: string
  readonly authority: string
}

function tlsLines(tls: TrialTls | undefined, withAuthority: boolean): string {
  if (!tls) return ""
  const lines = `tls = on\ncertificate = ${tls.certificate}\nkey = ${tls.key}\n`
  return withAuthority ? `${lines}authority = ${tls.authority}\n` : lines
}

function settingsFor(
  name: string,
  dataCentre: string,
  store: string,
  list: string,
  tls: TrialTls | undefined,
): string {
  return `[instance]
name = ${name}
data_centre = ${dataCentre}
[callers]
address = 127.0.0.1:0
${tlsLines(tls, false)}[peers]
address = 127.0.0.1:0
${tlsLines(tls, true)}[platform]
store = ${store}
instance_list = ${list}
[operators]
key = ${OPERATOR_KEY}
`
}

export interface Hosts {
  readonly workers: Map<string, WorkerServer>
  readonly backends: Map<string, BackendServer>
  readonly listed: ListedInstance[]
}

async function startPool(
  deployment: Deployment,
  pool: PoolDefinition,
  clock: Clock,
  truth: Truth,
  hosts: Hosts,
): Promise<void> {
  for (let index = 0; index < pool.workers; index += 1) {
    const rack = Math.floor(index / pool.perRack)
    const name = `${pool.pool}-${String(index + 1).padStart(2, "0")}`
    const dataCentre = deployment.dataCentres[rack % deployment.dataCentres.length] ?? ""
    const worker = await serveWorker(
      {name, capacity: pool.capacity},
      clock,
      truth,
      index * WORKER_CLOCK_STEP_MS,
    )
    const backend = await serveBackend({name, slots: 8, connections: 64}, clock, truth)
    hosts.workers.set(name, worker)
    hosts.backends.set(name, backend)
    hosts.listed.push({
      name,
      kind: "worker",
      status: "live",
      dataCentre,
      address: worker.address,
      rack: `rack-${rack + 1}`,
      pool: pool.pool,
      capacity: pool.capacity,
      backendAddress: backend.address,
      service: pool.service,
    })
  }
}

/** The line of an entry instance in the instance list. */
export function entryLine(name: string, dataCentre: string, address: string): ListedInstance {
  const capacity = {processors: 0, memoryMebibytes: 0, accelerators: 0}
  return {
    name,
    kind: "entry",
    status: "live",
    dataCentre,
    address,
    rack: "",
    pool: "",
    capacity,
    backendAddress: "",
    service: "",
  }
}

/** Starts the workers and backend servers of every pool. */
export async function startPools(deployment: Deployment, clock: Clock, truth: Truth): Promise<Hosts> {
  const hosts: Hosts = {workers: new Map(), backends: new Map(), listed: []}
  for (const pool of deployment.pools) await startPool(deployment, pool, clock, truth, hosts)
  return hosts
}

/** Starts the stand-ins. Entry instances are started by the caller. */
export async function startTrial(
  deployment: Deployment,
  seed: number,
  logFor: (instance: string) => Logger,
  tls?: TrialTls,
): Promise<TrialEnvironment> {
  const clock = systemClock()
  const truth = truthRecord()
  const store = await serveStore(clock)
  const list = instanceListCore(clock, LIST_LAG_MS)
  const listServer: JsonServer = await serveInstanceList(list)
  const balancer = await serveBalancer(clock)
  const hosts = await startPools(deployment, clock, truth)
  for (const entry of hosts.listed) list.put(entry)
  list.settle()
  const entries = new Map<string, EntryInstance>()
  const callers = new Map<string, ReturnType<typeof jsonClient>>()
  let started = 0

  function refreshBalancer(): void {
    balancer.setTargets([...entries.values()].map(entry => entry.callerAddress))
  }

  async function start(name: string): Promise<EntryInstance> {
    const dataCentre = deployment.dataCentres[started % deployment.dataCentres.length] ?? ""
    started += 1
    const settings = readSettings(
      `${name}.ini`,
      settingsFor(name, dataCentre, store.address, listServer.address, tls),
    )
    if (settings.isErr()) throw new RangeError(settings.error.map(formatFinding).join("\n"))
    const caller = jsonClient()
    callers.set(name, caller)
    const entry = await startEntry(settings.value, {
      clock,
      random: seededRandom(seed * 1000 + started),
      store: httpStore(caller, settings.value.storeAddresses),
      list: httpInstanceList(caller, settings.value.instanceListAddress),
      gateway: httpWorkerGateway(caller),
      probe: httpBackendProbe(caller),
      log: logFor(name),
      metrics: createMetrics("", name),
      onReplaced: () => undefined,
    })
    entries.set(name, entry)
    list.put(entryLine(name, dataCentre, entry.peerAddress))
    refreshBalancer()
    return entry
  }

  async function end(name: string, stop: (entry: EntryInstance) => Promise<void>): Promise<void> {
    const entry = entries.get(name)
    if (!entry) return
    await stop(entry)
    entries.delete(name)
    list.remove(name)
    refreshBalancer()
    await callers.get(name)?.close()
  }

  async function promote(text: string): Promise<void> {
    const [entry] = entries.values()
    const address = entry?.callerAddress ?? ""
    const headers = {authorization: `Bearer ${OPERATOR_KEY}`, "content-type": "application/json"}
    const current = await request(`http://${address}/documents/current`, {headers})
    const body = (await current.body.json()) as {readonly number?: number}
    const proposal = {text, baseNumber: body.number ?? 0, operator: "trial", proposal: randomUUID()}
    const reply = await request(`http://${address}/documents`, {
      method: "POST",
      headers,
      body: JSON.stringify(proposal),
    })
    const answer = await reply.body.text()
    if (reply.statusCode !== 200) throw new RangeError(`The document was not accepted: ${answer}`)
  }

  function isReady(): boolean {
    const statuses = [...entries.values()].map(entry => entry.status())
    const workerGroups = new Set(
      statuses.flatMap(status =>
        status.workerGroups.filter(group => group.settled).map(group => group.group),
      ),
    )
    const jobGroups = new Set(
      statuses.flatMap(status => status.jobGroups.filter(group => group.recovered).map(group => group.group)),
    )
    const racks = new Set(hosts.listed.map(entry => `${entry.pool}.${entry.rack}`))
    const documents = new Set(statuses.map(status => status.documentNumber))
    const others = Math.min(1, entries.size - 1)
    return (
      statuses.every(status => status.mayAct && status.successors.length >= others) &&
      workerGroups.size === racks.size &&
      jobGroups.size === 16 &&
      documents.size === 1
    )
  }

  async function untilReady(limit: Milliseconds): Promise<boolean> {
    const end = clock.now() + limit
    while (clock.now() < end) {
      if (isReady()) return true
      await sleep(clock, READY_POLL_MS)
    }
    return isReady()
  }

  return {
    deployment,
    clock,
    truth,
    store,
    list,
    listAddress: listServer.address,
    balancer,
    workers: hosts.workers,
    backends: hosts.backends,
    entries,
    startEntry: start,
    killEntry: name => end(name, entry => entry.kill()),
    stopEntry: name => end(name, entry => entry.stop()),
    promote,
    untilReady,
    async close() {
      await balancer.close()
      await Promise.all([...entries.values()].map(entry => entry.kill()))
      await Promise.all([...callers.values()].map(caller => caller.close()))
      await Promise.all([...hosts.workers.values()].map(worker => worker.close()))
      await Promise.all([...hosts.backends.values()].map(backend => backend.close()))
      await listServer.close()
      await store.close()
    },
  }
}

/** The deployment's document as it ships. */
export function shippedDocument(deployment: Deployment): string {
  return readFileSync(deployment.document, "utf8")
}
