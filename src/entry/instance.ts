/** Starts and stops one entry instance: its controllers, its server for peers and its server for callers. */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {backendClient} from "../controllers/backendclient.js"
import type {BackendClient} from "../controllers/backendclient.js"
import type {Logger} from "../core/logger.js"
import {silentConnectionDetector} from "../controllers/silence.js"
import {createClientGuard} from "../callers/guard.js"
import type {ClientGuard} from "../callers/guard.js"
import {clientLimits} from "../callers/limits.js"
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
import {createKeyHomes} from "./keyhomes.js"
import type {Metrics} from "./metrics.js"
import {createOperatorCalls} from "./operatorcalls.js"
import {createRequestRecord} from "./requestrecord.js"
import type {InstanceStatus} from "./status.js"
import {describeEffects} from "./whatif.js"

export interface EntryPorts {
  readonly clock: Clock
  readonly random: Random
  readonly store: Store
  readonly list: InstanceList
  readonly gateway: WorkerGateway
  readonly probe: BackendProbe
  readonly log: Logger
  readonly metrics: Metrics
  /** Called when a later process runs under this instance's name. */
  readonly onReplaced: () => void
}

export interface EntryInstance {
  readonly callerAddress: string
  readonly peerAddress: string
  readonly status: () => InstanceStatus
  /** Bytes that the peer server has sent and received. */
  readonly controlBytes: () => number
  /** Planned stop: hands all groups over to other instances and finishes open requests. */
  readonly stop: () => Promise<void>
  /** Stops at once without handing anything over, like a crash. */
  readonly kill: () => Promise<void>
}

/** Time for the load balancer to notice that the instance is leaving. */
const LOAD_BALANCER_NOTICE_MS: Milliseconds = 1500
/** Time for returned slots to reach their owners before the peer connections close. */
const SLOT_RETURN_WAIT_MS: Milliseconds = 50
const DEFAULT_DEADLINE_MS: Milliseconds = 5000
const DEFAULT_LONGEST_DEADLINE_MS: Milliseconds = 60_000
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024
const DEFAULT_MAX_OPEN_REQUESTS = 256

/** Creates the chain of filters that every request to a service passes through. */
function createFilterChain(
  core: EntryCore,
  clock: Clock,
  log: Logger,
  probe: BackendProbe,
  client: BackendClient,
  guard: ClientGuard,
) {
  const {document, network, routes, jobGroupCount, routers} = core
  const homes = createKeyHomes({clock, network, holderOf: routes.holderOf, jobGroups: jobGroupCount})
  return chain([
    validationFilter,
    deadlineFilter(clock, {
      defaultFor: service => document()?.services.get(service)?.deadline ?? DEFAULT_DEADLINE_MS,
      maximum: () => document()?.limits.maximumDeadline ?? DEFAULT_LONGEST_DEADLINE_MS,
    }),
    callerLimitFilter({
      perCaller: () => document()?.limits.openRequestsPerCaller ?? DEFAULT_MAX_OPEN_REQUESTS,
      perTeam: team => document()?.teams.get(team)?.openRequests,
    }),
    bodyFilter(clock, guard.bodies, () => document()?.limits.maximumBodyBytes ?? DEFAULT_MAX_BODY_BYTES),
    idempotencyFilter(clock, homes),
    forwardFilter({
      clock,
      log,
      client,
      silence: silentConnectionDetector(clock, probe),
      routerOf: service => routers.get(service),
    }),
  ])
}

/** Starts one entry instance. */
export async function startEntry(settings: Settings, ports: EntryPorts): Promise<EntryInstance> {
  const {clock, random, log} = ports
  const record = createRequestRecord(clock, ports.metrics)
  const backends = backendClient()
  const guard = createClientGuard(clientLimits(settings), clock, log)
  let leaving = false

  // The peer server listens before the core exists, because the core announces the server's address to peers.
  const peerServer = await servePeers(
    router => router.service(Peer, {...createDeferredPeerApi(() => core.handlers)}),
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
    onSlotReturned: backends.dropConnection,
    onReplaced: ports.onReplaced,
  })
  const runChain = createFilterChain(core, clock, log, ports.probe, backends, guard)

  async function serve(exchange: Exchange): Promise<void> {
    try {
      await runChain(exchange)
    } finally {
      record.addOutcome(exchange)
      const {id: request, service, method, execution, attempts, detail, startedAt} = exchange
      const took = clock.now() - startedAt
      log.info(
        {event: "request-ended", request, service, method, execution, attempts, detail, took},
        "request ended",
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
      operators: createOperatorCalls(core.configuration, next =>
        describeEffects(next, core.document(), core.held, core.list.poolShape),
      ),
      status,
      operatorKey: settings.operatorKey,
      serve,
      isLeaving: () => leaving,
      maxBodyBytes: () => core.document()?.limits.maximumBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      guard,
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
    log.info({event: "stopping"}, "planned stop started")
    core.membership.announce()
    const callerServerClosed = sleep(clock, LOAD_BALANCER_NOTICE_MS).then(() =>
      callerServer.close(settings.drainLimit),
    )
    await core.ownership.release()
    core.membership.announce()
    await callerServerClosed
    for (const router of core.routers.values()) router.close()
    await sleep(clock, SLOT_RETURN_WAIT_MS)
    core.stop()
    await closeAll()
    log.info({event: "stopped"}, "planned stop complete")
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

/** Forwards calls to handlers that are created later. A call that arrives before they exist fails. */
function createDeferredPeerApi(get: () => PeerApi): PeerApi {
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
