/**
 * One instance of the scheduler. It serves callers and other instances, keeps up with the configuration, and plans jobs
 * while it is the leader.
 */
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {Random} from "../core/random.js"
import type {FleetClients, FleetHandlers, Member, Ping, PingAnswer, QueueLoad} from "../peer/fleet.js"
import type {FleetConfiguration} from "../pipelines/model.js"
import type {AdviceCalls, FleetReader, KeyValueStore, WorkerCalls} from "../pipelines/ports.js"
import type {LeaderDuty} from "../pipelines/succession.js"
import {createAdviceCaller} from "./advicecaller.js"
import type {AdviceRequester} from "./advicedispatcher.js"
import {createAuthorizer} from "./authorizer.js"
import type {Authorizer} from "./authorizer.js"
import {createCallerStore} from "./callerstore.js"
import {createConfigurationHolder} from "./configurationholder.js"
import {createConfigurationUpdater} from "./configurationupdater.js"
import {createIntake} from "./intake.js"
import type {Intake} from "./intake.js"
import {createCarrier} from "../relay/carrier.js"
import {createLeadership} from "./leadership.js"
import type {Leadership} from "./leadership.js"
import {createPlanner} from "./planner.js"
import type {Planner} from "./planner.js"
import {watchStoreHealth} from "./storehealth.js"

export interface InstancePorts {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly store: KeyValueStore
  /** A cheap call to the store with a short timeout, on separate connections. */
  readonly probeStore: () => Promise<Result<unknown, unknown>>
  readonly reader: FleetReader
  readonly workers: WorkerCalls
  readonly advice: AdviceCalls
  readonly clients: FleetClients
}

export interface InstanceIdentity {
  readonly member: Member
  /** Identifies this process; differs after each restart. */
  readonly incarnation: string
  /** Addresses at which to look for other instances before any member is known. */
  readonly seeds: readonly string[]
  /** Upper limit for the leases of tasks. */
  readonly longestLease: Milliseconds
  /** After this time no call with a withdrawn key may succeed; 0 if there is no such limit. */
  readonly withdrawalLimit: Milliseconds
  /** How many times as long a task takes on another rack than its data, or than the other tasks of its step. */
  readonly remoteFactor: number
}

export interface FleetInstance {
  readonly intake: Intake
  readonly authorizer: Authorizer
  readonly handlers: FleetHandlers
  readonly configuration: () => FleetConfiguration | undefined
  /** The answer to the platform's readiness checks. */
  readonly isReady: () => boolean
  readonly isDraining: () => boolean
  /** Current gauge values for metrics. */
  readonly counts: () => Readonly<Record<string, number>>
  readonly start: () => void
  /** Hands over leadership and fails readiness checks from now on; requests are still served. */
  readonly drain: () => Promise<void>
  readonly stop: () => void
}

/**
 * Lease of a running task: long enough for tasks to survive a change of leader, short enough for the tasks of a dead
 * worker to restart soon.
 */
const LEASE_DURATION_MS: Milliseconds = 3000
const PLANNER_LOAD_RETRY_MS: Milliseconds = 100
/** A large configuration takes 0.4 s on a link of 7 Mbit/s that nothing else uses. */
const CONFIGURATION_TIMEOUT_MS: Milliseconds = 1500
/** Older counts of waiting jobs are not returned. The platform allows counts to miss jobs of the last five seconds. */
const MAX_LOADS_AGE_MS: Milliseconds = 4000
/** An instance that has had no leader for this long reports that it is not ready. */
const MAX_LEADERLESS_MS: Milliseconds = 3000

const NO_DUTY: LeaderDuty = {plannedFor: 0, openSteps: 0, unreportedWorkers: 0}

export function createFleetInstance(identity: InstanceIdentity, ports: InstancePorts): FleetInstance {
  const {clock, log, reader, clients, advice} = ports
  const storeHealth = watchStoreHealth(ports.store, clock, log, ports.probeStore)
  const {store} = storeHealth
  let planner: Planner | undefined
  /** The queue loads that the leader last reported, and the time up to which they count every stored job. */
  let leaderLoads: {readonly loads: readonly QueueLoad[]; readonly at: Milliseconds} | undefined
  let isDraining = false
  let isStopped = false

  const configuration = createConfigurationHolder(reader, log, () => planner?.schedulePass())
  const leadership: Leadership = createLeadership({
    ...ports,
    store,
    self: identity.member,
    incarnation: identity.incarnation,
    seeds: identity.seeds,
    onBecomeLeader: (term, confirmedAt) => void startPlanner(term, confirmedAt),
    onDeposed() {
      planner?.close()
      planner = undefined
    },
    onLeaderAnswer(answer, sentAt) {
      if (answer.queues) leaderLoads = {loads: answer.queues.loads, at: clock.now() - answer.queues.age}
      updater.recordLeaderVersion(answer.configurationVersion, answer.configurationAgeMs, sentAt)
    },
    isStoreFailing: () => storeHealth.failingFor() > 0,
    duty: () => planner?.duty() ?? NO_DUTY,
  })
  const updater = createConfigurationUpdater({
    clock,
    log,
    store,
    reader,
    holder: configuration,
    isLeader: leadership.isLeader,
    isStoreFailing: () => storeHealth.failingFor() > 0,
    async askLeader() {
      const leader = leadership.leader()
      if (!leader || leadership.isLeader()) return ""
      const answer = await clients.reach(leader.member.address).configuration(CONFIGURATION_TIMEOUT_MS)
      return answer.unwrapOr("")
    },
    withdrawalLimit: identity.withdrawalLimit,
  })
  const authorizer = createAuthorizer({
    clock,
    log,
    configuration: configuration.current,
    age: updater.age,
    refresh: updater.refresh,
    withdrawalLimit: identity.withdrawalLimit,
  })

  async function startPlanner(term: number, confirmedAt: Milliseconds): Promise<void> {
    planner?.close()
    const created = createPlanner(
      term,
      {
        leaseDuration: Math.min(LEASE_DURATION_MS, identity.longestLease),
        remoteFactor: identity.remoteFactor,
      },
      {
        ...ports,
        store,
        isStoreFailing: () => storeHealth.failingFor() > 0,
        self: identity.member.name,
        confirmedAt,
        knewLaterTermAt: leadership.knewLaterTermAt,
        adviceRequesters: askers,
        openChannel: ({address}, forTerm, listener) => clients.reach(address).openChannel(forTerm, listener),
        otherMembers: leadership.others,
        configuration: configuration.current,
        onSuperseded() {
          if (planner !== created) return
          planner = undefined
          leadership.stepDown()
        },
      },
    )
    planner = created
    while (planner === created && !isStopped) {
      if (await created.load()) return
      await sleep(clock, PLANNER_LOAD_RETRY_MS)
    }
  }

  const adviceCaller = createAdviceCaller(clock, log, advice, () => isDraining)

  function askerOf(member: Member): AdviceRequester {
    if (member.name === identity.member.name) return {...member, requestAdvice: adviceCaller.ask}
    return {
      ...member,
      async requestAdvice(question) {
        const answer = await clients.reach(member.address).ask(question)
        return answer.unwrapOr(undefined)
      },
    }
  }

  function askers(): readonly AdviceRequester[] {
    return leadership.members().map(askerOf)
  }

  /** Undefined if the latest loads are too old. */
  function loads(): readonly QueueLoad[] | undefined {
    const counted = planner?.loads()
    if (counted) return counted.age < MAX_LOADS_AGE_MS ? counted.loads : undefined
    return leaderLoads && clock.now() - leaderLoads.at < MAX_LOADS_AGE_MS ? leaderLoads.loads : undefined
  }

  function answerPing({sender, ledTerm, followedTerm, leaderClockMs, membersDigest}: Ping): PingAnswer {
    // An instance that announces its own lead does not follow this one.
    if (ledTerm > 0) leadership.recordAnnouncement(ledTerm, sender)
    else leadership.recordMember(sender)
    if (followedTerm === planner?.term) planner.recordFollower(sender.name, leaderClockMs)
    const view = leadership.leader()
    const list = leadership.isLeader() ? leadership.listForFollowers() : undefined
    return {
      leads: leadership.isLeader() && planner !== undefined,
      term: view?.term ?? 0,
      leader: view?.member,
      leaderAgeMs: Math.min(leadership.timeSinceLeaderHeard(), 1e6),
      storeFailingMs: Math.min(storeHealth.failingFor(), 1e6),
      configurationVersion: configuration.current()?.version ?? 0,
      configurationAgeMs: Math.min(updater.age(), 1e6),
      members: list?.digest === membersDigest ? undefined : list?.members,
      membersDigest: list?.digest ?? 0,
      fittest: membersDigest === 0 ? leadership.fittest() : [],
      queues: planner?.loads(),
      loadingMs: planner?.loadingFor() ?? 0,
      clockMs: clock.now(),
    }
  }

  const carrier = createCarrier({
    clock,
    log,
    workers: ports.workers,
    knownTerm: () => leadership.leader()?.term ?? 0,
  })

  const handlers: FleetHandlers = {
    ping: answerPing,
    storeJob: async (record, alreadyStored) => planner?.storeJob(record, alreadyStored) ?? "not-leader",
    jobState: (job, caller) => planner?.stateOf(job, caller) ?? "",
    cancelJob: async (job, alreadyStored, caller) =>
      planner?.cancel(job, alreadyStored, caller) ?? "not-stored",
    ask: adviceCaller.ask,
    takeOver: term => leadership.takeOver(term),
    configuration: configuration.text,
    acceptChannel: carrier.accept,
  }

  const callerStore = createCallerStore(store, clock, log)
  const intake = createIntake({
    clock,
    log,
    store: callerStore,
    isStoreFailing: () => storeHealth.failingFor() > 0,
    clients,
    leadership,
    planner: () => planner,
    loads,
  })

  return {
    intake,
    authorizer,
    handlers,
    configuration: configuration.current,
    isReady() {
      if (isDraining || !configuration.current() || !authorizer.isConfirmed()) return false
      return planner !== undefined || leadership.timeSinceLeaderAnswer() < MAX_LEADERLESS_MS
    },
    isDraining: () => isDraining,
    counts: () => ({
      leads: leadership.isLeader() ? 1 : 0,
      members: leadership.members().length,
      ...authorizer.counts(),
      advice_refused: adviceCaller.countBusy(),
      store_calls_refused: callerStore.refused(),
      ...planner?.counts(),
    }),
    start() {
      updater.start()
      leadership.start()
    },
    async drain() {
      isDraining = true
      carrier.drain()
      await leadership.handOver()
    },
    stop() {
      isStopped = true
      updater.stop()
      leadership.stop()
      planner?.close()
      carrier.stop()
    },
  }
}
