/**
 * Client and server of the fleet service, which connects the instances that run pipelines (jobs of several
 * steps). Protobuf messages are converted to the types declared here.
 */
import {Code, ConnectError, createClient} from "@connectrpc/connect"
import type {ConnectRouter} from "@connectrpc/connect"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import {CallFailed, describeError} from "../core/errors.js"
import type {PeerConnection, PeerTls} from "./connection.js"
import {openPeerConnection} from "./connection.js"
import type {Caller} from "../pipelines/callers.js"
import {Fleet, StoreOutcome} from "./generated/fleet_pb.js"
import {Relay} from "./generated/relay_pb.js"
import {openRelayChannel, relayService} from "./relay.js"
import type {AcceptChannel, ChannelListener, RelayChannel} from "../relay/channel.js"

export interface Member {
  readonly name: string
  readonly address: string
  /** Capacity that the instance may use, in processors of standard speed. */
  readonly processors: number
  /** Megabits a second that its link carries; 0 or undefined if that is not known. */
  readonly linkMegabits?: number
  /** It has been up and in touch with a leader for some seconds. */
  readonly isWarm?: boolean
}

/** Load of one queue. It is part of each ping answer, so that every instance can answer callers. */
export interface QueueLoad {
  readonly queue: string
  /** Accepted jobs without a started task. */
  readonly pending: number
  /** Delay after which a refused caller should retry; 0 while the queue accepts jobs. */
  readonly retryAfterMs: Milliseconds
}

export interface CountedLoads {
  readonly loads: readonly QueueLoad[]
  /** Every job that was stored longer ago than this is counted. */
  readonly age: Milliseconds
}

export interface Ping {
  readonly sender: Member
  /** The term in which the sender leads; 0 if it does not lead. */
  readonly ledTerm: number
  /** The term of the leader that the sender follows; 0 if it follows none. */
  readonly followedTerm: number
  /** `clockMs` of the latest answer that the sender has from this leader; 0 before the first one. */
  readonly leaderClockMs: Milliseconds
  /** The digest of the list of members that the sender has; 0 if it has none. */
  readonly membersDigest: number
}

export interface PingAnswer {
  readonly leads: boolean
  readonly term: number
  readonly leader: Member | undefined
  /** Time since the instance last received a message from the leader; 0 at the leader. */
  readonly leaderAgeMs: Milliseconds
  /** Time for which the instance's calls to the store have been failing; 0 while they succeed. */
  readonly storeFailingMs: Milliseconds
  readonly configurationVersion: number
  /** How long ago the instance last knew that no newer version exists. */
  readonly configurationAgeMs: Milliseconds
  /** The leader's list of members; undefined if the pinging instance has it already, and at other instances. */
  readonly members: readonly Member[] | undefined
  /** The digest of the leader's list of members; 0 at other instances. */
  readonly membersDigest: number
  /** The members most fit to lead that the instance knows of; only for a sender that has no list of members. */
  readonly fittest: readonly Member[]
  /** The counts of the instance as the leader; undefined when it has none. */
  readonly queues: CountedLoads | undefined
  /** How long the leader has come no further in reading its work; 0 once it has read it, or if it does not lead. */
  readonly loadingMs: Milliseconds
  /** The instance's monotonic clock when it answered. */
  readonly clockMs: Milliseconds
}

/**
 * `over-capacity`: not stored, since the leader could not hold the job beside those that it has accepted. `foreign`: not
 * stored, since another workspace has a job with this identity.
 */
export type StoreAnswer = "stored" | "not-stored" | "unknown" | "not-leader" | "over-capacity" | "foreign"
export type CancelAnswer = "cancelled" | "ended" | "unknown-job" | "not-stored" | "foreign"
/** The answer to a caller who asks for the state of a job of another workspace. */
export const FOREIGN_STATE = "foreign"

/** A permit of the advice service: the ticket with which a task of the step may start on the worker. */
export interface PermitRow {
  readonly worker: string
  readonly ticket: string
}

/** A call to the advice service that the leader asks another instance to make. */
export interface AdviceQuestion {
  readonly step: string
  readonly workers: readonly string[]
  readonly timeoutMs: Milliseconds
  /** How long the advice service is expected to work on the call. */
  readonly durationMs: Milliseconds
}

export interface AdviceReply {
  /** Undefined if the advice service gave no answer. */
  readonly permits: readonly PermitRow[] | undefined
  /** Not 0 if the instance has made no call, since its turn at the service is taken for about this long. */
  readonly busyMs: Milliseconds
  /** Time until the advice service answered, or until the instance gave up. */
  readonly serviceMs: Milliseconds
}

/** Implementation of the calls that an instance serves to its peers. */
export interface FleetHandlers {
  readonly ping: (ping: Ping) => PingAnswer
  /** Stores and plans a job. With `alreadyStored` the job is in the store already and is only planned. */
  readonly storeJob: (record: string, alreadyStored: boolean) => Promise<StoreAnswer>
  /** The state of a job; empty if the job is not known here. Without a caller, nobody's access is checked. */
  readonly jobState: (job: string, caller: Caller | undefined) => string
  /** Cancels a job. With `alreadyStored` the cancellation is in the store already and is only applied. */
  readonly cancelJob: (
    job: string,
    alreadyStored: boolean,
    caller: Caller | undefined,
  ) => Promise<CancelAnswer>
  /** Asks the advice service for permits of a step on the given workers. */
  readonly ask: (question: AdviceQuestion) => Promise<AdviceReply>
  /** Asks the instance to become leader after the leader of `term`; true if it accepts. */
  readonly takeOver: (term: number) => boolean
  /** The configuration in force as its text in the store; empty if there is none. */
  readonly configuration: () => string
  /** Accepts a channel over which a leader sends its calls to workers. */
  readonly acceptChannel: AcceptChannel
}

/**
 * The same calls over the network. A call that fails with certainty `not-run` was not executed by the peer.
 */
export interface FleetPeer {
  readonly ping: (ping: Ping, timeout: Milliseconds) => Promise<Result<PingAnswer, CallFailed>>
  readonly storeJob: (
    record: string,
    alreadyStored: boolean,
    timeout: Milliseconds,
  ) => Promise<Result<StoreAnswer, CallFailed>>
  readonly jobState: (
    job: string,
    caller: Caller | undefined,
    timeout: Milliseconds,
  ) => Promise<Result<string, CallFailed>>
  readonly cancelJob: (
    job: string,
    alreadyStored: boolean,
    caller: Caller | undefined,
    timeout: Milliseconds,
  ) => Promise<Result<CancelAnswer, CallFailed>>
  readonly ask: (question: AdviceQuestion) => Promise<Result<AdviceReply, CallFailed>>
  readonly takeOver: (term: number, timeout: Milliseconds) => Promise<Result<boolean, CallFailed>>
  readonly configuration: (timeout: Milliseconds) => Promise<Result<string, CallFailed>>
  /** Opens a channel over which the instance carries calls of this term to workers. */
  readonly openChannel: (term: number, listener: ChannelListener) => RelayChannel
}

export interface FleetClients {
  readonly reach: (address: string) => FleetPeer
  readonly close: () => void
}

/**
 * Added to the timeout of the call to the advice service, so that a late answer can still return to the
 * caller.
 */
const ASK_TIMEOUT_MARGIN_MS: Milliseconds = 200

const STORE_ANSWERS: Readonly<Record<StoreOutcome, StoreAnswer>> = {
  [StoreOutcome.UNSPECIFIED]: "unknown",
  [StoreOutcome.STORED]: "stored",
  [StoreOutcome.NOT_STORED]: "not-stored",
  [StoreOutcome.UNKNOWN]: "unknown",
  [StoreOutcome.NOT_LEADER]: "not-leader",
  [StoreOutcome.OVER_CAPACITY]: "over-capacity",
  [StoreOutcome.FOREIGN]: "foreign",
}

const STORE_OUTCOMES: Readonly<Record<StoreAnswer, StoreOutcome>> = {
  stored: StoreOutcome.STORED,
  "not-stored": StoreOutcome.NOT_STORED,
  unknown: StoreOutcome.UNKNOWN,
  "not-leader": StoreOutcome.NOT_LEADER,
  "over-capacity": StoreOutcome.OVER_CAPACITY,
  foreign: StoreOutcome.FOREIGN,
}

const CANCEL_ANSWERS: ReadonlySet<string> = new Set(["cancelled", "ended", "unknown-job", "foreign"])

/** The field of a call that names the caller: empty for a caller without a workspace, absent where none is checked. */
function formatCaller(caller: Caller | undefined): {readonly workspace?: string} {
  return caller ? {workspace: caller.workspace ?? ""} : {}
}

function parseCaller(workspace: string | undefined): Caller | undefined {
  return workspace === undefined ? undefined : {workspace: workspace === "" ? undefined : workspace}
}

function toCallFailed(address: string, error: unknown): CallFailed {
  const cause =
    error instanceof ConnectError ? (error.cause as {readonly code?: unknown} | undefined) : undefined
  const refused = cause?.code === "ECONNREFUSED"
  const unimplemented = error instanceof ConnectError && error.code === Code.Unimplemented
  return new CallFailed(address, describeError(error), refused || unimplemented ? "not-run" : "unknown")
}

function fleetPeer(address: string, connection: PeerConnection): FleetPeer {
  const client = createClient(Fleet, connection.transport)

  async function runCall<T>(call: () => Promise<T>): Promise<Result<T, CallFailed>> {
    try {
      return ok(await call())
    } catch (error) {
      return err(toCallFailed(address, error))
    }
  }

  return {
    ping: (ping, timeoutMs) =>
      runCall(async () => {
        const reply = await client.ping(ping, {timeoutMs})
        const {queues: loads, queuesAgeMs: age} = reply
        return {
          ...reply,
          // A leader's list has at least the leader.
          members: reply.members.length > 0 ? reply.members : undefined,
          leader: reply.leader && reply.leader.name !== "" ? reply.leader : undefined,
          queues: age === undefined ? undefined : {loads, age},
        }
      }),
    storeJob: (record, alreadyStored, timeoutMs) =>
      runCall(async () => {
        const {outcome} = await client.storeJob({record, alreadyStored}, {timeoutMs})
        return STORE_ANSWERS[outcome]
      }),
    jobState: (job, caller, timeoutMs) =>
      runCall(async () => (await client.jobState({job, ...formatCaller(caller)}, {timeoutMs})).state),
    cancelJob: (job, alreadyStored, caller, timeoutMs) =>
      runCall(async () => {
        const request = {job, alreadyStored, ...formatCaller(caller)}
        const {outcome} = await client.cancelJob(request, {timeoutMs})
        return CANCEL_ANSWERS.has(outcome) ? (outcome as CancelAnswer) : "not-stored"
      }),
    ask: question =>
      runCall(async () => {
        const request = {...question, workers: [...question.workers]}
        const reply = await client.ask(request, {timeoutMs: question.timeoutMs + ASK_TIMEOUT_MARGIN_MS})
        return {...reply, permits: reply.answered ? reply.permits : undefined}
      }),
    takeOver: (term, timeoutMs) => runCall(async () => (await client.takeOver({term}, {timeoutMs})).accepted),
    configuration: timeoutMs => runCall(async () => (await client.configuration({}, {timeoutMs})).value),
    openChannel: (term, listener) => openRelayChannel(connection.transport, term, listener),
  }
}

/** Creates the clients, with one connection per address. */
export function fleetClients(tls: PeerTls | undefined): FleetClients {
  const connections = new Map<string, {readonly peer: FleetPeer; readonly connection: PeerConnection}>()
  return {
    reach(address) {
      const known = connections.get(address)
      if (known) return known.peer
      const connection = openPeerConnection(address, tls)
      const peer = fleetPeer(address, connection)
      connections.set(address, {peer, connection})
      return peer
    },
    close() {
      for (const {connection} of connections.values()) connection.session.abort()
      connections.clear()
    },
  }
}

const NO_MEMBER: Member = {name: "", address: "", processors: 0}

/** Returns the routes that serve the handlers. */
export function fleetRoutes(handlers: FleetHandlers): (router: ConnectRouter) => void {
  return router => {
    router.service(Fleet, {
      ping(request) {
        const answer = handlers.ping({...request, sender: request.sender ?? NO_MEMBER})
        return {
          ...answer,
          leader: answer.leader ?? NO_MEMBER,
          leaderAgeMs: Math.round(answer.leaderAgeMs),
          storeFailingMs: Math.ceil(answer.storeFailingMs),
          loadingMs: Math.ceil(answer.loadingMs),
          configurationAgeMs: Math.ceil(answer.configurationAgeMs),
          members: [...(answer.members ?? [])],
          fittest: [...answer.fittest],
          queues: (answer.queues?.loads ?? []).map(queue => ({
            ...queue,
            retryAfterMs: Math.round(queue.retryAfterMs),
          })),
          queuesAgeMs: answer.queues && Math.ceil(answer.queues.age),
        }
      },
      async storeJob({record, alreadyStored}) {
        return {outcome: STORE_OUTCOMES[await handlers.storeJob(record, alreadyStored)]}
      },
      jobState: ({job, workspace}) => ({state: handlers.jobState(job, parseCaller(workspace))}),
      async cancelJob({job, alreadyStored, workspace}) {
        const outcome = await handlers.cancelJob(job, alreadyStored, parseCaller(workspace))
        return {outcome: outcome === "not-stored" ? "" : outcome}
      },
      async ask(question) {
        const {permits, busyMs, serviceMs} = await handlers.ask(question)
        return {
          answered: permits !== undefined,
          permits: [...(permits ?? [])],
          busyMs: Math.ceil(busyMs),
          serviceMs: Math.round(serviceMs),
        }
      },
      takeOver: ({term}) => ({accepted: handlers.takeOver(term)}),
      configuration: () => ({value: handlers.configuration()}),
    })
    router.service(Relay, relayService(handlers.acceptChannel))
  }
}
