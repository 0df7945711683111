/**
 * Creates the controllers of one entry instance and connects them to each other. Everything that uses a socket or a
 * clock is passed in, so that the daemon, a trial environment and a test under a virtual clock run the same code.
 */
import {create} from "@bufbuild/protobuf"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep, withTimeout} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {configurationController} from "../controllers/configuration.js"
import type {Configuration, DocumentInForce} from "../controllers/configuration.js"
import {groupOwner} from "../controllers/groupowner.js"
import {heldGroups, isJobGroup} from "../controllers/heldgroups.js"
import type {HeldGroups} from "../controllers/heldgroups.js"
import {instanceListController} from "../controllers/instancelist.js"
import type {InstanceListController} from "../controllers/instancelist.js"
import {createJobHome} from "../controllers/jobhome.js"
import type {Logger} from "../core/logger.js"
import {membershipController} from "../controllers/membership.js"
import type {Membership} from "../controllers/membership.js"
import {newIncarnation, ownershipController} from "../controllers/ownership.js"
import type {Ownership} from "../controllers/ownership.js"
import {createPlacementClient} from "../controllers/placementclient.js"
import type {GroupOwnerAddress} from "../controllers/placementclient.js"
import {requestRouter} from "../controllers/requestrouter.js"
import type {RequestRouter} from "../controllers/requestrouter.js"
import {slotLender} from "../controllers/slotlender.js"
import type {SlotLender} from "../controllers/slotlender.js"
import type {Slot} from "../controllers/slotborrower.js"
import type {EnvironmentDocument} from "../document/model.js"
import type {AttemptEnd} from "../jobs/attempt.js"
import {jobMemoryLimit} from "../jobs/footprint.js"
import type {Claim, MemberState} from "../membership/table.js"
import {callPeer} from "../peer/api.js"
import type {PeerApi, PeerNetwork} from "../peer/api.js"
import {endToMessage} from "../peer/convert.js"
import {HoldingsRequestSchema, ReportEndsRequestSchema} from "../peer/generated/peer_pb.js"
import {WeightedRandom} from "../placement/groupchoice.js"
import type {GuardedStore} from "../platform/guardedstore.js"
import {guardedStore} from "../platform/guardedstore.js"
import type {BackendProbe, InstanceList, Store, WorkerGateway} from "../platform/ports.js"
import {createJobCalls} from "./jobcalls.js"
import type {JobCalls} from "./jobcalls.js"
import {createPeerHandlers} from "./peerhandlers.js"
import {createRoutes} from "./routes.js"
import type {Routes} from "./routes.js"

export interface EntryCorePorts {
  readonly clock: Clock
  readonly random: Random
  readonly store: Store
  readonly list: InstanceList
  readonly gateway: WorkerGateway
  readonly probe: BackendProbe
  readonly log: Logger
  /** Calls the other instances. Calls that this instance makes to itself bypass it. */
  readonly peers: PeerNetwork
  /** Address at which peers call this instance. */
  readonly peerAddress: string
  readonly isLeaving: () => boolean
  /** Smoothed share of recent requests that did not run or whose outcome is unknown, sent to peers. */
  readonly failureShare: () => number
  /** Called when a request slot was returned to its owner: its connection is no longer needed. */
  readonly onSlotReturned: (slot: Slot) => void
  /** Called when a later process runs under this instance's name. */
  readonly onReplaced: () => void
}

export interface EntryCore {
  /** Handlers of the calls that peers make. */
  readonly handlers: PeerApi
  readonly store: GuardedStore
  readonly list: InstanceListController
  readonly membership: Membership
  readonly ownership: Ownership
  readonly configuration: Configuration
  /** Worker groups and job groups that this instance holds. */
  readonly held: HeldGroups
  readonly jobs: JobCalls
  readonly routes: Routes
  /** Request routers by service. */
  readonly routers: ReadonlyMap<string, RequestRouter>
  /** Calls any instance, this one included. */
  readonly network: PeerNetwork
  readonly document: () => EnvironmentDocument | undefined
  readonly jobGroupCount: () => number
  readonly start: () => Promise<void>
  readonly stop: () => void
}

export interface EntryIdentity {
  readonly instance: string
  readonly dataCentre: string
  /** How many instances should be ready to take over the groups of this one. */
  readonly successors: number
  /** Memory that the process may take; 0 if it is not known. */
  readonly memoryMebibytes: number
}

const MAX_BORROWERS_ASKED = 32
const MAX_HANDED_OVER_KEY_BYTES = 512 * 1024
const DEFAULT_LONGEST_DEADLINE_MS: Milliseconds = 60_000
/** Part of the memory for jobs that ended ones keep while others need it. */
const ENDED_SHARE_OF_JOBS = 0.5
const START_TIMEOUT_MS: Milliseconds = 5000
const FIRST_PEER_TIMEOUT_MS: Milliseconds = 1500
const FIRST_PEER_POLL_INTERVAL_MS: Milliseconds = 25

/** Creates the controllers and connects them. Nothing runs before `start`. */
export function createEntryCore(identity: EntryIdentity, ports: EntryCorePorts): EntryCore {
  const {clock, random, log} = ports
  const {instance, dataCentre} = identity
  const jobBytes = jobMemoryLimit(identity.memoryMebibytes)
  const store = guardedStore(ports.store, clock, random)
  const incarnation = newIncarnation(clock, random)
  const routers = new Map<string, RequestRouter>()
  const network: PeerNetwork = {
    reach: name => (name === instance ? handlers : ports.peers.reach(name)),
    reachAddress: ports.peers.reachAddress,
  }
  const list = instanceListController(instance, ports.list, clock, () => held.reconcile())

  function document(): EnvironmentDocument | undefined {
    return configuration.current()?.document
  }

  function jobGroupCount(): number {
    return document()?.jobGroups ?? 0
  }

  /** Worker groups in the instance list, and those with a stored holder, because the list may be out of date. */
  function workerGroupNames(): readonly string[] {
    const stored = [...ownership.view().groups.keys()].filter(group => !isJobGroup(group))
    return [...new Set([...list.workerGroups().keys(), ...stored])]
  }

  function allGroups(): readonly string[] {
    const jobs = Array.from({length: jobGroupCount()}, (_, index) => `j/${index}`)
    return [...workerGroupNames(), ...jobs]
  }

  function ownClaims(): readonly Claim[] {
    const claims: Claim[] = []
    for (const [group] of ownership.held()) {
      const epoch = ownership.epochOf(group)
      if (epoch !== undefined) claims.push({group, epoch, free: held.freeCapacityOf(group)})
    }
    return claims
  }

  function describeSelf(): MemberState {
    return {
      address: ports.peerAddress,
      dataCentre,
      status: ports.isLeaving() ? "leaving" : "active",
      documentNumber: configuration.current()?.number ?? 0,
      holderIncarnation: ownership.incarnation(),
      claims: ownClaims(),
      failureShare: ports.failureShare(),
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
    dataCentre,
    members: () => membership.active(),
    onChange: applyDocument,
  })

  /** Creates and removes request routers as the document says. Requests waiting for a removed service are shed. */
  function applyDocument(accepted: DocumentInForce): void {
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
      if (!found) throw new RangeError(`The document in force does not define the service ${service}.`)
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
      onReturned: ports.onSlotReturned,
    })
  }

  async function reportEnds(jobGroup: string, ends: readonly AttemptEnd[]): Promise<readonly string[]> {
    const holder = routes.holderOf(jobGroup)
    if (!holder) return []
    const request = create(ReportEndsRequestSchema, {jobGroup, ends: ends.map(endToMessage)})
    const reply = await callPeer(network, holder.instance, peer => peer.reportEnds(request))
    return reply.isOk() ? reply.value.acknowledged : []
  }

  /** Asks other instances which slots they have borrowed: a new owner does not know the loans of the former one. */
  function askBorrowers(group: string, epoch: number, lender: SlotLender): void {
    const members = membership.active().slice(0, MAX_BORROWERS_ASKED)
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

  function memoryOfJobs(): number {
    let sum = 0
    for (const {home} of held.jobGroups().values()) sum += home.counts().memory
    return sum
  }

  function epochIfCurrent(group: string, epoch: number): number | undefined {
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
        epoch: () => epochIfCurrent(group, epoch),
        policyOf: workload => document()?.workloads.get(workload)?.policy ?? "pack",
        reportEnds: (jobGroup, ends) => reportEnds(jobGroup, ends),
      }),
    createLender: (group, epoch) =>
      slotLender({
        clock,
        probe: ports.probe,
        log,
        epoch: () => epochIfCurrent(group, epoch),
        slotsOf: service => document()?.services.get(service)?.slots,
        longestDeadline: () => document()?.limits.maximumDeadline ?? DEFAULT_LONGEST_DEADLINE_MS,
      }),
    createHome: (group, epoch) => {
      const mayAct = (): boolean => ownership.epochOf(group) === epoch
      return createJobHome(group, epoch, {
        clock,
        random,
        store,
        log,
        client: createPlacementClient({jobGroup: group, epoch}, network, mayAct),
        choice: new WeightedRandom(),
        instance,
        document,
        groups: routes.workerGroups,
        groupNames: workerGroupNames,
        poolShape: list.poolShape,
        isLeaving: list.isLeaving,
        mayAct,
        storeIsReachable: () => !store.statistics().open,
        hasRoomForJob: bytes => memoryOfJobs() + bytes <= jobBytes,
        endedJobsLimit() {
          const endedBytes = jobBytes * ENDED_SHARE_OF_JOBS
          return memoryOfJobs() <= endedBytes ? Infinity : endedBytes / held.jobGroups().size
        },
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
    successorCount: identity.successors,
    members: () => membership.active(),
    incarnationOf: name => membership.table().get(name)?.member.holderIncarnation,
    listedPeerCount: () => list.peerAddresses().length,
    groups: allGroups,
    onAcquired(group, epoch) {
      held.acquire(group, epoch)
      membership.announce()
    },
    onReleasing: group => held.drain(group),
    onLost: group => held.lose(group),
    handOverState(group) {
      const lent = held.workerGroup(group)?.lender.loans() ?? []
      const keys = held.jobGroup(group)?.keys.exportJson(MAX_HANDED_OVER_KEY_BYTES) ?? ""
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
    existingGroups: list.emptyGroupCapacities,
  })

  const jobs = createJobCalls({
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

  const membership: Membership = membershipController(instance, incarnation, {
    clock,
    random,
    network,
    listedAddresses: list.peerAddresses,
    describeSelf,
  })

  const handlers: PeerApi = createPeerHandlers({
    membership,
    ownership,
    configuration,
    held,
    jobCalls: jobs,
    wallClock: clock.wallClock,
    holdingsOf,
  })

  /** Waits a limited time for news from a peer, because what the store says after a restart may be stale. */
  async function waitForFirstPeer(): Promise<void> {
    const timeoutAt = clock.now() + FIRST_PEER_TIMEOUT_MS
    while (list.peerAddresses().length > 0 && membership.table().size === 0 && clock.now() < timeoutAt) {
      await sleep(clock, FIRST_PEER_POLL_INTERVAL_MS)
    }
  }

  return {
    handlers,
    store,
    list,
    membership,
    ownership,
    configuration,
    held,
    jobs,
    routes,
    routers,
    network,
    document,
    jobGroupCount,
    async start() {
      await list.start()
      membership.start()
      await waitForFirstPeer()
      await withTimeout(clock, ownership.start(), START_TIMEOUT_MS, undefined)
      await withTimeout(clock, configuration.start(), START_TIMEOUT_MS, undefined)
    },
    stop() {
      list.stop()
      configuration.stop()
      ownership.stop()
      membership.stop()
      for (const router of routers.values()) router.close()
      for (const group of [...ownership.held().keys()]) held.lose(group)
    },
  }
}
