/** One entry instance with its sockets: the controllers, the server for peers and the server for callers. */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {backendClient} from "../controllers/backendclient.js"
import type {BackendClient} from "../controllers/backendclient.js"
import type {Logger} from "../core/logger.js"
import {silenceWatch} from "../controllers/silence.js"
import {bodyFilter} from "../filters/body.js"
import {callerLimitFilter} from "../filters/callerlimit.js"
import {deadlineFilter} from "../filters/deadline.js"
import {chain} from "../filters/filter.js"
import type {Exchange} from "../filters/filter.js"
import {forwardFilter} from "../filters/forward.js"
import {validationFilter} from "../filters/validation.js"
import {idempotencyFilter} from "../filters/idempotency.js"
import type {PeerApi} from "../peer/api.js"
import {peerClients} from "../peer/client.js"
import {Peer} from "../peer/generated/peer_pb.js"
import {servePeers} from "../peer/server.js"
import type {BackendProbe, InstanceList, Store, WorkerGateway} from "../platform/ports.js"
import type {Settings} from "../settings/settings.js"
import {serveCallers} from "./callerserver.js"
import type {CallerServer} from "./callerserver.js"
import {createEntryCore} from "./core.js"
import type {EntryCore} from "./core.js"
import {describeInstance} from "./describe.js"
import {keyHomes} from "./keyhomes.js"
import type {Metrics} from "./metrics.js"
import {operatorCalls} from "./operatorcalls.js"
import {requestRecord} from "./requestrecord.js"
import type {InstanceStatus} from "./status.js"
import {whatIf} from "./whatif.js"

export interface EntryPorts {
  readonly clock: Clock
  readonly random: Random
  readonly store: Store
  readonly list: InstanceList
  readonly gateway: WorkerGateway
  readonly probe: BackendProbe
  readonly log: Logger
  readonly metrics: Metrics
  /** A later process runs under this instance's name. */
  readonly onReplaced: () => void
}

export interface EntryInstance {
  readonly callerAddress: string
  readonly peerAddress: string
  readonly status: () => InstanceStatus
  readonly controlBytes: () => number
  /** The planned stop: hands everything over and finishes what is open. */
  readonly stop: () => Promise<void>
  /** Ends at once, as a crash would. */
  readonly kill: () => Promise<void>
}

/** Time for the balancer to notice that the instance leaves. */
const LINGER_MS: Milliseconds = 1500
const BORROWER_SETTLE_MS: Milliseconds = 50
const DEFAULT_DEADLINE_MS: Milliseconds = 5000
const DEFAULT_LONGEST_DEADLINE_MS: Milliseconds = 60_000
const DEFAULT_BODY_BYTES = 1024 * 1024
const DEFAULT_OPEN_REQUESTS = 256

/** The filters that a request passes through, in order. */
function requestChain(
  core: EntryCore,
  clock: Clock,
  log: Logger,
  probe: BackendProbe,
  client: BackendClient,
) {
  const {document, network, routes, jobGroupCount, routers} = core
  const homes = keyHomes({clock, network, holderOf: routes.holderOf, jobGroups: jobGroupCount})
  return chain([
    validationFilter,
    deadlineFilter(clock, {
      defaultFor: service => document()?.services.get(service)?.deadline ?? DEFAULT_DEADLINE_MS,
      maximum: () => document()?.limits.maximumDeadline ?? DEFAULT_LONGEST_DEADLINE_MS,
    }),
    callerLimitFilter({
      perCaller: () => document()?.limits.openRequestsPerCaller ?? DEFAULT_OPEN_REQUESTS,
      perTeam: team => document()?.teams.get(team)?.openRequests,
    }),
    bodyFilter(clock, () => document()?.limits.maximumBodyBytes ?? DEFAULT_BODY_BYTES),
    idempotencyFilter(clock, homes),
    forwardFilter({
      clock,
      log,
      client,
      silence: silenceWatch(clock, probe),
      routerOf: service => routers.get(service),
    }),
  ])
}

/** Starts one entry instance. */
export async function startEntry(settings: Settings, ports: EntryPorts): Promise<EntryInstance> {
  const {clock, random, log} = ports
  const record = requestRecord(clock, ports.metrics)
  const backends = backendClient()
  let leaving = false

  // The peer server listens before the core exists, because the core tells its address to others.
  const peerServer = await servePeers(
    router => router.service(Peer, {...lateApi(() => core.handlers)}),
    settings.peerAddress,
    settings.peerTls,
  )
  const clients = peerClients(name => core.membership.addressOf(name), settings.peerTls)
  const core: EntryCore = createEntryCore(settings, {
    clock,
    random,
    store: ports.store,
    list: ports.list,
    gateway: ports.gateway,
    probe: ports.probe,
    log,
    peers: clients,
    peerAddress: peerServer.address,
    isLeaving: () => leaving,
    failureShare: record.failureShare,
    onSlotReturned: backends.drop,
    onReplaced: ports.onReplaced,
  })
  const runChain = requestChain(core, clock, log, ports.probe, backends)

  async function serve(exchange: Exchange): Promise<void> {
    try {
      await runChain(exchange)
    } finally {
      record.note(exchange)
      const {id: request, service, method, execution, attempts, detail, startedAt} = exchange
      const took = clock.now() - startedAt
      log.info(
        {event: "request-ended", request, service, method, execution, attempts, detail, took},
        "a request ended",
      )
    }
  }

  function status(): InstanceStatus {
    const {ownership, membership, held, routers, configuration, store} = core
    return describeInstance({
      settings,
      clock,
      ownership,
      membership,
      held,
      routers,
      record,
      leaving,
      current: configuration.current(),
      waiting: configuration.waiting(),
      store: store.statistics(),
      controlBytes: peerServer.bytes(),
    })
  }

  await core.start()

  const callerServer: CallerServer = await serveCallers(
    {
      clock,
      jobs: core.jobs,
      operators: operatorCalls(core.configuration, next =>
        whatIf(next, core.document(), core.held, core.list.poolShape),
      ),
      status,
      operatorKey: settings.operatorKey,
      serve,
      isLeaving: () => leaving,
      largestBody: () => core.document()?.limits.maximumBodyBytes ?? DEFAULT_BODY_BYTES,
    },
    settings.callerAddress,
    settings.callerTls,
  )

  async function closeAll(): Promise<void> {
    clients.close()
    await backends.close()
    await peerServer.close()
    ports.metrics.close()
  }

  let stopping: Promise<void> | undefined

  async function drainAndStop(): Promise<void> {
    leaving = true
    log.info({event: "stopping"}, "a planned stop has begun")
    core.membership.announce()
    const callersDone = sleep(clock, LINGER_MS).then(() => callerServer.close(settings.drainLimit))
    await core.ownership.release()
    core.membership.announce()
    await callersDone
    for (const router of core.routers.values()) router.close()
    await sleep(clock, BORROWER_SETTLE_MS)
    core.stop()
    await closeAll()
    log.info({event: "stopped"}, "the planned stop is complete")
  }

  return {
    callerAddress: callerServer.address,
    peerAddress: peerServer.address,
    status,
    controlBytes: () => peerServer.bytes(),
    stop() {
      stopping ??= drainAndStop()
      return stopping
    },
    async kill() {
      const closed = callerServer.close(0)
      core.stop()
      await closeAll()
      await closed
    },
  }
}

/** Passes calls on to handlers that are created later. A call that comes before is refused. */
function lateApi(get: () => PeerApi): PeerApi {
  return {
    gossip: request => get().gossip(request),
    promise: request => get().promise(request),
    place: request => get().place(request),
    abandon: request => get().abandon(request),
    reportEnds: request => get().reportEnds(request),
    inventory: request => get().inventory(request),
    lend: request => get().lend(request),
    holdings: request => get().holdings(request),
    fetchDocument: request => get().fetchDocument(request),
    forward: request => get().forward(request),
    beginKey: request => get().beginKey(request),
    completeKey: request => get().completeKey(request),
    handOver: request => get().handOver(request),
  }
}
