/** One instance: it serves callers and peers, follows the configuration, and plans while it leads. */
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {Random} from "../core/random.js"
import type {FleetClients, FleetHandlers, Member, PingAnswer, QueueLoad} from "../peer/fleet.js"
import type {FleetConfiguration} from "../pipelines/model.js"
import type {AdviceCalls, FleetReader, KeyValueStore, WorkerCalls} from "../pipelines/ports.js"
import type {AdviceRequester} from "./advicedispatcher.js"
import {createConfigurationHolder} from "./configurationholder.js"
import {followPrefix} from "./follow.js"
import {createIntake} from "./intake.js"
import type {Intake} from "./intake.js"
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
  /** A cheap call to the store that gives up soon, on connections of its own. */
  readonly probeStore: () => Promise<Result<unknown, unknown>>
  readonly reader: FleetReader
  readonly workers: WorkerCalls
  readonly advice: AdviceCalls
  readonly clients: FleetClients
}

export interface InstanceIdentity {
  readonly member: Member
  readonly life: string
  readonly seeds: readonly string[]
  readonly longestLease: Milliseconds
}

export interface FleetInstance {
  readonly intake: Intake
  readonly handlers: FleetHandlers
  readonly configuration: () => FleetConfiguration | undefined
  readonly isReady: () => boolean
  readonly isDraining: () => boolean
  readonly counts: () => Readonly<Record<string, number>>
  readonly start: () => void
  /** Hands the lead over and leaves the readiness checks; requests are still served. */
  readonly drain: () => Promise<void>
  readonly stop: () => void
}

/**
 * Leases of running tasks: long enough that work outlasts a change of leader, short enough that a dead worker's
 * tasks start again soon.
 */
const LEASE_LIFE_MS: Milliseconds = 3000
/** The longest that a watch of the configuration waits, so that a dead connection is noticed in time. */
const CONFIGURATION_WAIT_MS: Milliseconds = 1000
/** While the leader has answered within this span, its pings tell of new versions. */
const LEADER_HEARD_MS: Milliseconds = 1000
const HEARD_POLL_MS: Milliseconds = 100
const LOAD_RETRY_MS: Milliseconds = 100
/** Counts of waiting jobs are told for this long; the platform allows them to miss jobs of the last five seconds. */
const LOADS_LIFE_MS: Milliseconds = 4000
/** Without a leader for this span an instance tells the platform that it is not ready. */
const LEADERLESS_MS: Milliseconds = 3000

export function createFleetInstance(identity: InstanceIdentity, ports: InstancePorts): FleetInstance {
  const {clock, log, reader, clients, advice} = ports
  const health = watchStoreHealth(ports.store, clock, ports.probeStore)
  const {store} = health
  let planner: Planner | undefined
  /** What the leader last told of its queues. */
  let told: {readonly loads: readonly QueueLoad[]; readonly at: Milliseconds} | undefined
  let draining = false
  let stopped = false

  const configuration = createConfigurationHolder(reader, log, () => planner?.schedulePass())
  const leadership: Leadership = createLeadership({
    ...ports,
    store,
    self: identity.member,
    life: identity.life,
    seeds: identity.seeds,
    onLead: term => void lead(term),
    onLeaderAnswer(answer) {
      told = {loads: answer.queues, at: clock.now()}
      if (answer.configurationVersion > (configuration.current()?.version ?? 0)) void fetchConfiguration()
    },
    isStoreFailing: () => health.failingFor() > 0,
  })

  async function lead(term: number): Promise<void> {
    planner?.close()
    const created = createPlanner(
      term,
      {leaseDuration: Math.min(LEASE_LIFE_MS, identity.longestLease)},
      {
        ...ports,
        store,
        isStoreFailing: () => health.failingFor() > 0,
        isFollowed: leadership.isFollowed,
        isFollowedByAll: leadership.allFollow,
        adviceRequesters: askers,
        configuration: configuration.current,
        onSuperseded() {
          if (planner !== created) return
          planner = undefined
          leadership.superseded()
        },
      },
    )
    planner = created
    while (planner === created && !stopped) {
      if (await created.load()) return
      await sleep(clock, LOAD_RETRY_MS)
    }
  }

  async function ask(
    step: string,
    workers: readonly string[],
    timeout: Milliseconds,
  ): ReturnType<FleetHandlers["ask"]> {
    const answer = await advice.ask(step, workers, timeout)
    if (answer.isErr())
      log.warn({event: "advice-error", step, reason: answer.error.message}, "no advice was given")
    return answer.unwrapOr(undefined)
  }

  function askerOf(member: Member): AdviceRequester {
    if (member.name === identity.member.name) return {...member, requestAdvice: ask}
    return {
      ...member,
      async requestAdvice(step, workers, timeout) {
        const answer = await clients.reach(member.address).ask(step, workers, timeout)
        return answer.unwrapOr(undefined)
      },
    }
  }

  function askers(): readonly AdviceRequester[] {
    return leadership.members().map(askerOf)
  }

  /** Undefined when what is known is too old to be told. */
  function loads(): readonly QueueLoad[] | undefined {
    const own = planner?.loads()
    if (own) return own
    return told && clock.now() - told.at < LOADS_LIFE_MS ? told.loads : undefined
  }

  function answerPing(sender: Member): PingAnswer {
    leadership.noteMember(sender)
    const view = leadership.leader()
    return {
      leads: leadership.leads() && planner !== undefined,
      term: view?.term ?? 0,
      leader: view?.member,
      leaderAgeMs: Math.min(leadership.leaderAge(), 1e6),
      storeFailingMs: Math.min(health.failingFor(), 1e6),
      configurationVersion: configuration.current()?.version ?? 0,
      members: leadership.members(),
      queues: loads() ?? told?.loads ?? [],
    }
  }

  const handlers: FleetHandlers = {
    ping: answerPing,
    storeJob: async (record, alreadyStored) => planner?.storeJob(record, alreadyStored) ?? "not-leader",
    jobState: job => planner?.stateOf(job) ?? "",
    cancelJob: async job => planner?.cancel(job) ?? "not-stored",
    ask,
    takeOver: term => leadership.takeOver(term),
  }

  const intake = createIntake({
    clock,
    log,
    store,
    isStoreFailing: () => health.failingFor() > 0,
    clients,
    leadership,
    planner: () => planner,
    loads,
  })

  /** Followers learn of a new version from the leader's pings, so that one instance alone watches the store. */
  async function fetchConfiguration(): Promise<void> {
    const read = await store.read(reader.configurationKey)
    if (read.isOk() && read.value) configuration.onList([read.value])
  }

  function isLeaderHeard(): boolean {
    return (
      !leadership.leads() && leadership.leaderAge() < LEADER_HEARD_MS && configuration.current() !== undefined
    )
  }

  /** Watches the configuration while no leader does it for this instance. */
  async function follow(): Promise<void> {
    while (!stopped) {
      if (isLeaderHeard()) await sleep(clock, HEARD_POLL_MS)
      else
        await followPrefix(
          store,
          reader.operatorPrefix,
          {wait: CONFIGURATION_WAIT_MS, pause: 0},
          clock,
          {onList: configuration.onList, onChanges: configuration.onChanges},
          () => stopped || isLeaderHeard(),
        )
    }
  }

  return {
    intake,
    handlers,
    configuration: configuration.current,
    isReady() {
      if (draining || !configuration.current()) return false
      return planner !== undefined || leadership.leaderAge() < LEADERLESS_MS
    },
    isDraining: () => draining,
    counts: () => ({
      leads: leadership.leads() ? 1 : 0,
      members: leadership.members().length,
      ...planner?.counts(),
    }),
    start() {
      void follow()
      leadership.start()
    },
    async drain() {
      draining = true
      await leadership.handOver()
    },
    stop() {
      stopped = true
      leadership.stop()
      planner?.close()
    },
  }
}
