/**
 * The operations that every instance offers to callers: submit a job, return its state, cancel it, and count the jobs
 * that have not started. The instance forwards them to the leader if it can be reached and otherwise uses the store
 * directly, so that no answer depends on a single process.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep, withTimeout} from "../core/clock.js"
import {hash32} from "../core/hash.js"
import type {Logger} from "../core/logger.js"
import {FOREIGN_STATE} from "../peer/fleet.js"
import type {CancelAnswer, FleetClients, QueueLoad, StoreAnswer} from "../peer/fleet.js"
import {estimateMemory} from "../pipelines/footprint.js"
import {ANONYMOUS, isForeign, maySee, ownerOf} from "../pipelines/callers.js"
import type {Caller} from "../pipelines/callers.js"
import type {PipelineJob} from "../pipelines/model.js"
import type {StoredItem} from "../pipelines/ports.js"
import type {CallerStorePort} from "./callerstore.js"
import type {ShownState} from "./jobtable.js"
import type {Leadership} from "./leadership.js"
import type {Planner} from "./planner.js"
import {
  cancelKey,
  formatJob,
  formatWithdrawal,
  jobKey,
  LEADER_KEY,
  parseJob,
  parseProgress,
  progressKey,
  unstoredConditions,
} from "./records.js"

export type SubmitAnswer =
  | {readonly type: "stored"}
  /** Certainly not stored: the job will never run. */
  | {readonly type: "refused"; readonly retryAfter: Milliseconds}
  /** The job may or may not be stored; the caller may submit it again under the same name. */
  | {readonly type: "unknown"}
  /** Certainly not stored: another workspace has a job under this name. */
  | {readonly type: "foreign"}

export type StateAnswer =
  | {readonly type: "state"; readonly state: ShownState}
  | {readonly type: "unknown-job"}
  | {readonly type: "unavailable"}
  /** The job belongs to another workspace than the caller. */
  | {readonly type: "foreign"}
export type CancelOutcome = "cancelled" | "unknown-job" | "unavailable" | "foreign"

export interface Intake {
  readonly submit: (job: PipelineJob, clientTimeout: Milliseconds) => Promise<SubmitAnswer>
  readonly state: (job: string, caller?: Caller) => Promise<StateAnswer>
  readonly cancel: (job: string, caller?: Caller) => Promise<CancelOutcome>
  /** The number of jobs of a queue that have not started; undefined if there is no recent count. */
  readonly pending: (queue: string) => number | undefined
}

export interface IntakePorts {
  readonly clock: Clock
  readonly log: Logger
  readonly store: CallerStorePort
  /** True while calls of this instance to the store fail or are late. */
  readonly isStoreFailing: () => boolean
  readonly clients: FleetClients
  readonly leadership: Leadership
  readonly planner: () => Planner | undefined
  readonly loads: () => readonly QueueLoad[] | undefined
}

/** A leader that has not answered pings for this long is not called. */
const MAX_LEADER_SILENCE_MS: Milliseconds = 1000
/** If the leader has not answered within this time, the instance reads a job's state from the store. */
const STATE_READ_DELAY_MS: Milliseconds = 500
/** Limit for the leader's answer when the store gives none. Callers wait for about 3 s. */
const STATE_TIMEOUT_MS: Milliseconds = 2000
const CANCEL_TIMEOUT_MS: Milliseconds = 1000
/** If the leader has not answered within this time, the instance writes to the store itself. */
const DIRECT_WRITE_DELAY_MS: Milliseconds = 700
/** How long the store may take to answer a read before a direct write. A slow but working store answers within 0.35 s. */
const STORE_CHECK_MS: Milliseconds = 500
/** Part of the client timeout that is kept for returning the answer to the caller. */
const ANSWER_RESERVE_MS: Milliseconds = 200
const MIN_LEADER_TIMEOUT_MS: Milliseconds = 200
/** When a caller should retry after a refusal because of the store, whose outages last a few seconds. */
const RETRY_AFTER_MS: Milliseconds = 2000
/** The same where accepted jobs have to end first. */
const OVER_CAPACITY_RETRY_MS: Milliseconds = 10_000
/** Jobs that are refused together come back within this time after that one, not all at once. */
const RETRY_SPREAD_MS: Milliseconds = 10_000
/**
 * Limit on the memory that jobs stored by this instance without the leader take there, until the leader has stored one,
 * since only the leader knows how much it can still hold.
 */
const MAX_DIRECT_BYTES = 2 ** 20
/** How long a stored cancellation may take to reach the leader until it is answered as not acknowledged. */
const CANCEL_APPLY_LIMIT_MS: Milliseconds = 1500
const CANCEL_APPLY_RETRY_MS: Milliseconds = 100
/** Timeout of the notification that tells the leader about a job or a cancellation that is already stored. */
const NOTIFY_TIMEOUT_MS: Milliseconds = 1000

function describeState(state: ShownState | typeof FOREIGN_STATE): StateAnswer {
  return state === FOREIGN_STATE ? {type: "foreign"} : {type: "state", state}
}

/** The workspace whose callers alone may see the job, by what the store has of it. */
function findOwner(items: readonly StoredItem[], job: string): string | undefined {
  const record = items.find(({key}) => key === jobKey(job))
  const progress = items.find(({key}) => key === progressKey(job))
  const stored = record && parseJob(record.value)
  return (stored && ownerOf(stored)) ?? (progress && parseProgress(progress.value)?.owner)
}

function spreadRetry(job: string): Milliseconds {
  return OVER_CAPACITY_RETRY_MS + (hash32(job) % RETRY_SPREAD_MS)
}

export function createIntake(ports: IntakePorts): Intake {
  const {clock, log, store, clients, leadership, planner, loads} = ports
  /** Memory of the jobs that were stored without the leader since it last stored one. */
  let directBytes = 0

  function leaderAddress(): string | undefined {
    const leader = leadership.leader()
    if (!leader || leadership.isLeader() || leadership.timeSinceLeaderAnswer() > MAX_LEADER_SILENCE_MS)
      return undefined
    return leader.member.address
  }

  async function storeAtLeader(job: PipelineJob, clientTimeout: Milliseconds): Promise<StoreAnswer> {
    const localPlanner = planner()
    const record = formatJob(job)
    if (localPlanner) return localPlanner.storeJob(record, false)
    const address = leaderAddress()
    if (address === undefined) return "not-leader"
    const timeout = Math.max(MIN_LEADER_TIMEOUT_MS, clientTimeout - ANSWER_RESERVE_MS)
    const answer = await clients.reach(address).storeJob(record, false, timeout)
    if (answer.isOk()) return answer.value
    log.info(
      {event: "leader-call-failed", job: job.id, reason: answer.error.message},
      "submitting a job through the leader failed",
    )
    return answer.error.certainty === "not-run" ? "not-stored" : "unknown"
  }

  /** Notifies the leader of a job that is in the store, so that the leader does not have to discover it there. */
  function notifyLeader(record: string): void {
    const localPlanner = planner()
    const address = leaderAddress()
    if (localPlanner) void localPlanner.storeJob(record, true)
    else if (address !== undefined) void clients.reach(address).storeJob(record, true, NOTIFY_TIMEOUT_MS)
  }

  /**
   * A follower rarely calls the store, so it may not know that the store is down. A write would then leave it open
   * whether the job is stored; a read has no effect.
   */
  async function doesStoreAnswer(): Promise<boolean> {
    if (ports.isStoreFailing()) return false
    const read = await withTimeout(clock, store.read(LEADER_KEY), STORE_CHECK_MS, undefined)
    return read?.isOk() ?? false
  }

  /** Writes the job to the store without the leader. */
  async function storeDirectly(job: PipelineJob): Promise<StoreAnswer> {
    const memory = estimateMemory(job)
    if (directBytes + memory > MAX_DIRECT_BYTES) return "not-stored"
    if (!(await doesStoreAnswer())) return "not-stored"
    directBytes += memory
    const record = formatJob(job)
    const result = await store.commit({
      conditions: unstoredConditions(job.id),
      writes: [{key: jobKey(job.id), value: record}],
      removals: [],
    })
    if (result.isErr()) return result.error.certainty === "not-run" ? "not-stored" : "unknown"
    if (result.value.type === "rejected") {
      log.error(
        {event: "job-rejected", job: job.id, reason: result.value.reason},
        "the store does not take the record of a job",
      )
      return "not-stored"
    }
    log.info({event: "stored-directly", job: job.id}, "a job was stored without the leader")
    if (result.value.type === "committed") notifyLeader(record)
    else if (isForeign(findOwner(result.value.items, job.id), job)) return "foreign"
    return "stored"
  }

  /** Stores the job through the leader, and also directly if the leader is slow or has not stored it. */
  async function storeWithFallback(job: PipelineJob, clientTimeout: Milliseconds): Promise<StoreAnswer> {
    const atLeader = storeAtLeader(job, clientTimeout)
    const first = await withTimeout(clock, atLeader, DIRECT_WRITE_DELAY_MS, undefined)
    if (first === "stored") directBytes = 0
    if (first === "stored" || first === "over-capacity" || first === "foreign") return first
    const direct = await storeDirectly(job)
    if (direct === "stored" || direct === "foreign") return direct
    const last = first ?? (await atLeader)
    if (last === "stored") directBytes = 0
    if (last === "stored" || last === "foreign" || (last === "over-capacity" && direct !== "unknown"))
      return last
    return last === "unknown" || direct === "unknown" ? "unknown" : "not-stored"
  }

  async function submit(job: PipelineJob, clientTimeout: Milliseconds): Promise<SubmitAnswer> {
    const outcome = await storeWithFallback(job, clientTimeout)
    if (outcome === "stored") return {type: "stored"}
    if (outcome === "unknown" || outcome === "foreign") return {type: outcome}
    return {
      type: "refused",
      retryAfter: outcome === "over-capacity" ? spreadRetry(job.id) : RETRY_AFTER_MS,
    }
  }

  async function readStateFromStore(job: string, caller: Caller): Promise<StateAnswer> {
    const [stored, progress] = await Promise.all([store.read(jobKey(job)), store.read(progressKey(job))])
    if (stored.isErr() || progress.isErr()) return {type: "unavailable"}
    const record = progress.value && parseProgress(progress.value.value)
    if (record?.withdrawn) return {type: "unknown-job"}
    const items = [stored.value, progress.value].filter(item => item !== undefined)
    if (!maySee(findOwner(items, job), caller)) return {type: "foreign"}
    if (record?.outcome) return {type: "state", state: record.outcome}
    if (record) return {type: "state", state: "running"}
    if (stored.value) return {type: "state", state: "queued"}
    // The job may have ended between the two reads.
    const again = await store.read(progressKey(job))
    if (again.isErr()) return {type: "unavailable"}
    const late = again.value && parseProgress(again.value.value)
    if (!maySee(late?.owner, caller)) return {type: "foreign"}
    return late?.outcome && !late.withdrawn ? {type: "state", state: late.outcome} : {type: "unknown-job"}
  }

  async function state(job: string, caller = ANONYMOUS): Promise<StateAnswer> {
    const localPlanner = planner()
    const known = localPlanner?.stateOf(job, caller)
    if (known) return describeState(known)
    const address = localPlanner ? undefined : leaderAddress()
    if (address === undefined) return readStateFromStore(job, caller)
    const atLeader = readStateAtLeader(address, job, caller)
    const first = await withTimeout(clock, atLeader, STATE_READ_DELAY_MS, undefined)
    if (first) return first
    const stored = await readStateFromStore(job, caller)
    return stored.type === "unavailable" ? ((await atLeader) ?? stored) : stored
  }

  /** Undefined if the leader does not know the job or did not answer. */
  async function readStateAtLeader(
    address: string,
    job: string,
    caller: Caller,
  ): Promise<StateAnswer | undefined> {
    const answer = await clients.reach(address).jobState(job, caller, STATE_TIMEOUT_MS)
    if (answer.isErr() || answer.value === "") return undefined
    return describeState(answer.value as ShownState | typeof FOREIGN_STATE)
  }

  /** Without a caller, the cancellation is in the store already and only has to be applied. */
  async function cancelAtLeader(job: string, caller: Caller | undefined): Promise<CancelAnswer> {
    const alreadyStored = caller === undefined
    const localPlanner = planner()
    if (localPlanner)
      return withTimeout(
        clock,
        localPlanner.cancel(job, alreadyStored, caller),
        CANCEL_TIMEOUT_MS,
        "not-stored",
      )
    const address = leaderAddress()
    if (address === undefined) return "not-stored"
    const timeout = alreadyStored ? NOTIFY_TIMEOUT_MS : CANCEL_TIMEOUT_MS
    const answer = await clients.reach(address).cancelJob(job, alreadyStored, caller, timeout)
    return answer.unwrapOr("not-stored")
  }

  /**
   * True if the present leader applies the cancellation that the store has since the given revision: the leader has
   * said so, or it began later and reads the cancellation before it starts any task.
   */
  async function isCancelApplied(job: string, revision: number): Promise<boolean> {
    const term = leadership.leader()?.term
    const [answer, read] = await Promise.all([cancelAtLeader(job, undefined), store.read(LEADER_KEY)])
    if (read.isErr()) return false
    const presentTerm = read.value?.revision ?? 0
    if (presentTerm > revision) return true
    return presentTerm === term && (answer === "cancelled" || answer === "ended")
  }

  /**
   * Keeps a job that is not in the store from being stored, since its submission may still be under way: here, at another
   * instance, or in a write that the store carries out late.
   */
  async function withdraw(job: string, caller: Caller): Promise<CancelOutcome> {
    const result = await store.commit({
      conditions: unstoredConditions(job),
      writes: [{key: progressKey(job), value: formatWithdrawal(clock.wallClock())}],
      removals: [],
    })
    if (result.isErr() || result.value.type === "rejected") return "unavailable"
    if (result.value.type === "committed") {
      log.info(
        {event: "job-withdrawn", job},
        "a job was cancelled before it was stored and will not be stored",
      )
      return "unknown-job"
    }
    const progress = result.value.items.find(({key}) => key === progressKey(job))
    if (progress && parseProgress(progress.value)?.withdrawn) return "unknown-job"
    // The job has been stored meanwhile.
    return maySee(findOwner(result.value.items, job), caller) ? cancelStored(job) : "foreign"
  }

  /** Cancels the job by the store alone if the leader does not know it or did not answer. */
  async function cancelDirectly(job: string, caller: Caller): Promise<CancelOutcome> {
    const found = await readStateFromStore(job, caller)
    if (found.type === "unavailable" || found.type === "foreign") return found.type
    if (found.type === "unknown-job") return withdraw(job, caller)
    return found.state === "queued" || found.state === "running" ? cancelStored(job) : "cancelled"
  }

  /** Writes a cancel request to the store, and acknowledges it once the leader applies it. */
  async function cancelStored(job: string): Promise<CancelOutcome> {
    const result = await store.commit({
      conditions: [{key: cancelKey(job), revision: 0}],
      writes: [{key: cancelKey(job), value: ""}],
      removals: [],
    })
    if (result.isErr() || result.value.type === "rejected") return "unavailable"
    const revision =
      result.value.type === "committed"
        ? result.value.revision
        : Math.max(...result.value.items.map(item => item.revision))
    log.info({event: "cancel-stored-directly", job}, "a cancellation was stored without the leader")
    const giveUpAt = clock.now() + CANCEL_APPLY_LIMIT_MS
    while (clock.now() < giveUpAt) {
      if (await isCancelApplied(job, revision)) return "cancelled"
      await sleep(clock, CANCEL_APPLY_RETRY_MS)
    }
    return "unavailable"
  }

  async function cancel(job: string, caller = ANONYMOUS): Promise<CancelOutcome> {
    const answer = await cancelAtLeader(job, caller)
    if (answer === "cancelled" || answer === "ended") return "cancelled"
    return answer === "foreign" ? answer : cancelDirectly(job, caller)
  }

  return {
    submit,
    state,
    cancel,
    pending(queue) {
      const known = loads()
      return known && (known.find(load => load.queue === queue)?.pending ?? 0)
    },
  }
}
