/**
 * One entry instance: the controllers, wired to each other and to the adapters. Everything that touches a socket or
 * a clock comes in from outside, so that a daemon, a trial environment and a test build it alike.
 */
import {create} from "@bufbuild/protobuf"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep, withTimeout} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {backendClient} from "../controllers/backendclient.js"
import {configurationController} from "../controllers/configuration.js"
import type {DocumentInForce} from "../controllers/configuration.js"
import {groupOwner} from "../controllers/groupowner.js"
import {heldGroups} from "../controllers/heldgroups.js"
import type {HeldGroups} from "../controllers/heldgroups.js"
import {instanceListController} from "../controllers/instancelist.js"
import {jobHome} from "../controllers/jobhome.js"
import type {Logger} from "../controllers/logger.js"
import {membershipController} from "../controllers/membership.js"
import type {Membership} from "../controllers/membership.js"
import {newIncarnation, ownershipController} from "../controllers/ownership.js"
import type {Ownership} from "../controllers/ownership.js"
import {placementClient} from "../controllers/placementclient.js"
import type {GroupOwnerAddress} from "../controllers/placementclient.js"
import {requestRouter} from "../controllers/requestrouter.js"
import type {RequestRouter} from "../controllers/requestrouter.js"
import {silenceWatch} from "../controllers/silence.js"
import {slotLender} from "../controllers/slotlender.js"
import type {SlotLender} from "../controllers/slotlender.js"
import type {EnvironmentDocument} from "../document/model.js"
import {bodyFilter} from "../filters/body.js"
import {callerLimitFilter} from "../filters/callerlimit.js"
import {deadlineFilter} from "../filters/deadline.js"
import {chain} from "../filters/filter.js"
import type {Exchange, Filter} from "../filters/filter.js"
import {forwardFilter} from "../filters/forward.js"
import {hygieneFilter} from "../filters/hygiene.js"
import {idempotencyFilter} from "../filters/idempotency.js"
import type {Claim, MemberState} from "../membership/table.js"
import {callPeer} from "../peer/api.js"
import type {PeerApi, PeerNetwork} from "../peer/api.js"
import {peerClients} from "../peer/client.js"
import {endToMessage} from "../peer/convert.js"
import {HoldingsRequestSchema, ReportEndsRequestSchema} from "../peer/generated/peer_pb.js"
import {servePeers} from "../peer/server.js"
import type {PeerServer} from "../peer/server.js"
import {BestOfDrawn} from "../placement/groupchoice.js"
import {guardedStore} from "../platform/guardedstore.js"
import type {BackendProbe, InstanceList, Store, WorkerGateway} from "../platform/ports.js"
import type {Settings} from "../settings/settings.js"
import {serveCallers} from "./callerserver.js"
import type {CallerServer} from "./callerserver.js"
import {describeInstance} from "./describe.js"
import type {InstanceStatus} from "./status.js"
import {jobCalls} from "./jobcalls.js"
import {keyHomes} from "./keyhomes.js"
import type {Metrics} from "./metrics.js"
import {operatorCalls} from "./operatorcalls.js"
import {peerHandlers} from "./peerhandlers.js"
import {requestRecord} from "./requestrecord.js"
import {routes as createRoutes} from "./routes.js"
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
  readonly storeCalls: () => number
  readonly controlBytes: () => number
  /** True once the instance may act and a document is in force. */
  readonly ready: () => boolean
  /** The planned stop: hands everything over and finishes what is open. */
  readonly stop: () => Promise<void>
  /** Ends at once, as a crash would. */
  readonly kill: () => Promise<void>
}

/** Time for the balancer to notice that the instance leaves. */
const LINGER_MS: Milliseconds = 1500
const HOLDINGS_ASKED = 32
const NO_DOCUMENT_DEADLINE_MS: Milliseconds = 60_000
const BORROWER_SETTLE_MS: Milliseconds = 50

/** Starts one entry instance. */
export async function startEntry(settings: Settings, ports: EntryPorts): Promise<EntryInstance> {
  const {clock, random, log} = ports
  const {instance, dataCentre} = settings
  const store = guardedStore(ports.store, clock, random)
  const incarnation = newIncarnation(clock, random)
  const routers = new Map<string, RequestRouter>()
  const record = requestRecord(clock, ports.metrics)
  let leaving = false

  const clients = peerClients(name => membership.addressOf(name), settings.peerTls)
  const network: PeerNetwork = {
    reach: name => (name === instance ? handlers : clients.reach(name)),
    reachAddress: clients.reachAddress,
  }
  const backends = backendClient()
  const silence = silenceWatch(clock, ports.probe)
  const list = instanceListController(instance, ports.list, clock, () => held.reconcile())

  function document(): EnvironmentDocument | undefined {
    return configuration.current()?.document
  }

  function jobGroupCount(): number {
    return document()?.jobGroups ?? 0
  }

  function allGroups(): readonly string[] {
    const jobs = Array.from({length: jobGroupCount()}, (_, index) => `j/${index}`)
    return [...list.workerGroups().keys(), ...jobs]
  }

  function ownClaims(): readonly Claim[] {
    const claims: Claim[] = []
    for (const [group] of ownership.held()) {
      const epoch = ownership.epochOf(group)
      if (epoch !== undefined) claims.push({group, epoch, free: held.freeOf(group)})
    }
    return claims
  }

  function describeSelf(): MemberState {
    return {
      address: peerServer.address,
      dataCentre,
      status: leaving ? "leaving" : "active",
      documentNumber: configuration.current()?.number ?? 0,
      claims: ownClaims(),
      failureShare: record.failureShare(),
    }
  }

  function storedHolder(group: string): GroupOwnerAddress | undefined {
    const known = ownership.view().groups.get(group)?.record
    return known && {instance: known.holder.instance, epoch: known.epoch}
  }

  const configuration = configurationController({
    clock,
    random,
    store,
    network,
    log,
    instance,
    members: () => membership.active(),
    onChange: adoptDocument,
  })

  /** Brings the request routers in line with the document. Requests that wait for a removed service are shed. */
  function adoptDocument(accepted: DocumentInForce): void {
    for (const name of accepted.document.services.keys())
      if (!routers.has(name)) routers.set(name, createRouter(name))
    for (const [name, router] of routers) {
      if (accepted.document.services.has(name)) continue
      router.close()
      routers.delete(name)
    }
    held.reconcile()
  }

  function createRouter(service: string): RequestRouter {
    const definition = () => {
      const found = document()?.services.get(service)
      if (!found) throw new RangeError(`The document names no service ${service}.`)
      return found
    }
    return requestRouter(service, {
      clock,
      random,
      network,
      log,
      instance,
      incarnation: () => ownership.incarnation(),
      dataCentre,
      definition,
      groups: () => routes.lendingGroups(document()?.services.get(service)?.pool ?? ""),
      onReturned: backends.drop,
    })
  }

  async function reportEnds(
    jobGroup: string,
    ends: Parameters<typeof endToMessage>[0][],
  ): Promise<readonly string[]> {
    const holder = routes.holderOf(jobGroup)
    if (!holder) return []
    const request = create(ReportEndsRequestSchema, {jobGroup, ends: ends.map(endToMessage)})
    const reply = await callPeer(network, holder.instance, peer => peer.reportEnds(request))
    return reply.isOk() ? reply.value.acknowledged : []
  }

  function askBorrowers(group: string, epoch: number, lender: SlotLender): void {
    const members = membership.active().slice(0, HOLDINGS_ASKED)
    const request = create(HoldingsRequestSchema, {group, ownerEpoch: epoch, owner: instance})
    for (const member of members) {
      void callPeer(network, member.instance, peer => peer.holdings(request)).then(reply => {
        if (reply.isErr()) return
        const loans = reply.value.uses.map(({server, held: count}) => ({
          borrower: member.instance,
          server,
          count,
        }))
        lender.adopt(loans, false)
      })
    }
  }

  function epochIf(group: string, epoch: number): number | undefined {
    return ownership.epochOf(group) === epoch ? epoch : undefined
  }

  const held: HeldGroups = heldGroups({
    wallClock: clock.wallClock,
    workersOf: group => list.workerGroups().get(group) ?? [],
    askBorrowers,
    createOwner: (group, epoch) =>
      groupOwner(group, {
        clock,
        random,
        gateway: ports.gateway,
        log,
        instance,
        epoch: () => epochIf(group, epoch),
        policyOf: workload => document()?.workloads.get(workload)?.policy ?? "pack",
        reportEnds: (jobGroup, ends) => reportEnds(jobGroup, [...ends]),
      }),
    createLender: (group, epoch) =>
      slotLender({
        clock,
        probe: ports.probe,
        log,
        epoch: () => epochIf(group, epoch),
        slotsOf: service => document()?.services.get(service)?.slots,
        longestDeadline: () => document()?.limits.maximumDeadline ?? NO_DOCUMENT_DEADLINE_MS,
      }),
    createHome: (group, epoch) => {
      const mayAct = (): boolean => ownership.epochOf(group) === epoch
      return jobHome(group, epoch, {
        clock,
        random,
        store,
        log,
        client: placementClient({jobGroup: group, epoch}, network, mayAct),
        choice: new BestOfDrawn(),
        instance,
        document,
        groups: () => routes.workerGroups(),
        groupNames: () => [...list.workerGroups().keys()],
        poolShape: list.poolShape,
        mayAct,
        storeIsReachable: () => !store.statistics().open,
      })
    },
  })

  const ownership: Ownership = ownershipController(instance, incarnation, {
    clock,
    random,
    store,
    network,
    log,
    dataCentre,
    successors: settings.successors,
    members: () => membership.active(),
    incarnationOf: name => membership.table().get(name)?.member.incarnation,
    listedPeers: () => list.peerAddresses().length,
    groups: allGroups,
    onAcquired(group, epoch) {
      held.acquire(group, epoch)
      membership.announce()
    },
    onReleasing: group => held.drain(group),
    onLost: group => held.lose(group),
    handOverState(group) {
      const lent = held.workerGroup(group)?.lender.loans() ?? []
      const keys = held.jobGroup(group)?.keys.exportText(512 * 1024) ?? ""
      return {lent, keys: Buffer.from(keys)}
    },
    onReplaced: ports.onReplaced,
  })

  const routes = createRoutes({
    clock,
    table: () => membership.table(),
    self: () => membership.self(),
    ownClaims,
    storedHolder,
    existingGroups: list.emptyGroups,
  })

  const jobs = jobCalls({
    clock,
    network,
    instance,
    held,
    epochOf: group => ownership.epochOf(group),
    holderOf: routes.holderOf,
    jobGroups: jobGroupCount,
  })

  function holdingsOf(group: string): ReadonlyMap<string, number> {
    const all = new Map<string, number>()
    for (const router of routers.values())
      for (const [server, count] of router.borrower().holdingsOf(group)) all.set(server, count)
    return all
  }

  // The server must listen before the handlers exist, because they need its address.
  const late: PeerApi = lateApi(() => handlers)
  const peerServer: PeerServer = await servePeers(late, settings.peerAddress, settings.peerTls)
  const membership: Membership = membershipController(instance, incarnation, {
    clock,
    random,
    network,
    listedAddresses: list.peerAddresses,
    describeSelf,
  })
  const handlers: PeerApi = peerHandlers({
    membership,
    ownership,
    configuration,
    held,
    jobCalls: jobs,
    wallClock: clock.wallClock,
    holdingsOf,
  })

  const limits = () => document()?.limits
  const filters: readonly Filter[] = [
    hygieneFilter,
    deadlineFilter(clock, {
      defaultFor: service => document()?.services.get(service)?.deadline ?? 5000,
      longest: () => limits()?.maximumDeadline ?? NO_DOCUMENT_DEADLINE_MS,
    }),
    callerLimitFilter({
      perCaller: () => limits()?.openRequestsPerCaller ?? 256,
      perTeam: team => document()?.teams.get(team)?.openRequests,
    }),
    bodyFilter(clock, () => limits()?.maximumBodyBytes ?? 1024 * 1024),
    idempotencyFilter(clock, keyHomes({clock, network, holderOf: routes.holderOf, jobGroups: jobGroupCount})),
    forwardFilter({clock, log, client: backends, silence, routerOf: service => routers.get(service)}),
  ]
  const runChain = chain(filters)

  async function serve(exchange: Exchange): Promise<void> {
    try {
      await runChain(exchange)
    } finally {
      record.note(exchange)
      const {id, service, method, execution, attempts, detail, startedAt} = exchange
      log.info(
        {
          event: "request-ended",
          request: id,
          service,
          method,
          execution,
          attempts,
          detail,
          took: clock.now() - startedAt,
        },
        "a request ended",
      )
    }
  }

  function status(): InstanceStatus {
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
      store: store.statistics(),
      controlBytes: peerServer.bytes(),
    })
  }

  await list.start()
  membership.start()
  await withTimeout(clock, ownership.start(), 5000, undefined)
  await withTimeout(clock, configuration.start(), 5000, undefined)

  const callerServer: CallerServer = await serveCallers(
    {
      clock,
      jobs,
      operators: operatorCalls(configuration, next => whatIf(next, document(), held, list.poolShape)),
      status,
      operatorKey: settings.operatorKey,
      serve,
      isLeaving: () => leaving,
      largestBody: () => limits()?.maximumBodyBytes ?? 1024 * 1024,
    },
    settings.callerAddress,
    settings.callerTls,
  )

  function stopControllers(): void {
    list.stop()
    configuration.stop()
    ownership.stop()
    membership.stop()
    for (const router of routers.values()) router.close()
    for (const group of ownership.held().keys()) held.lose(group)
  }

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
    membership.announce()
    const callersDone = sleep(clock, LINGER_MS).then(() => callerServer.close(settings.drainLimit))
    await ownership.release()
    membership.announce()
    await callersDone
    for (const router of routers.values()) router.close()
    await sleep(clock, BORROWER_SETTLE_MS)
    stopControllers()
    await closeAll()
    log.info({event: "stopped"}, "the planned stop is complete")
  }

  return {
    callerAddress: callerServer.address,
    peerAddress: peerServer.address,
    status,
    storeCalls: () => store.statistics().calls,
    controlBytes: () => peerServer.bytes(),
    ready: () => ownership.mayAct() && configuration.current() !== undefined,
    stop() {
      stopping ??= drainAndStop()
      return stopping
    },
    async kill() {
      const closed = callerServer.close(0)
      stopControllers()
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
