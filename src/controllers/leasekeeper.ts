/**
 * Maintains the lease of one incarnation, which is its right to decide for the groups that it holds. The
 * lease depends on the instance's own record in the store, which is renewed at intervals, and on promises of
 * the successors that the record names not to fence the instance. After a write whose reply was lost, the
 * record is read back before the next write.
 */
import {create} from "@bufbuild/protobuf"
import type {Clock, Milliseconds} from "../core/clock.js"
import {StoreUnavailable} from "../core/errors.js"
import type {Random} from "../core/random.js"
import {applyLeaseStep, mayAct, NO_LEASE, possibleSuccessors, reasonNotToAct} from "../ownership/lease.js"
import type {Lease, LeaseStep} from "../ownership/lease.js"
import {instanceKey, parseInstanceRecord} from "../ownership/record.js"
import type {Incarnation, InstanceRecord, InstanceState} from "../ownership/record.js"
import {PROMISE_INTERVAL_MS, PROMISE_TERM_MS, RENEWAL_INTERVAL_MS} from "../ownership/timing.js"
import {callPeer} from "../peer/api.js"
import type {PeerNetwork} from "../peer/api.js"
import {PromiseRequestSchema} from "../peer/generated/peer_pb.js"
import type {Store} from "../platform/ports.js"
import type {Logger} from "../core/logger.js"

export interface LeaseKeeperPorts {
  readonly clock: Clock
  readonly random: Random
  readonly store: Store
  readonly network: PeerNetwork
  readonly log: Logger
  /** Selects the successors that the record should name, without the silent instances. */
  readonly selectSuccessors: (current: readonly string[], silent: ReadonlySet<string>) => readonly string[]
  /** Called once when this incarnation has permanently lost its lease. */
  readonly onEnded: (cause: LeaseEnd) => void
}

/**
 * Why a lease ended: `fenced` by another instance, or `replaced` by a later incarnation under the same
 * instance name.
 */
export type LeaseEnd = "fenced" | "replaced"

export interface LeaseKeeper {
  readonly start: () => Promise<void>
  readonly mayAct: () => boolean
  readonly reasonNotToAct: () => string | undefined
  readonly lease: () => Lease
  /**
   * Marks the record as `released`, so that other instances can claim this incarnation's groups immediately.
   */
  readonly release: () => Promise<boolean>
  readonly stop: () => void
}

/** Time without an answer from a successor after which another instance is named in its place. */
const REPLACE_SUCCESSOR_AFTER_MS: Milliseconds = PROMISE_TERM_MS * 0.45
const TICK_INTERVAL_MS: Milliseconds = 100
/** Shortest time between renewals after a successor has refused a promise. */
const RENEWAL_AFTER_REFUSAL_MS: Milliseconds = 500
/** Time after which a silent instance is considered as a successor again. */
const FORGET_SILENCE_AFTER_MS: Milliseconds = 5000
const RELEASE_ATTEMPTS = 5

function hasSameNames(one: readonly string[], other: readonly string[]): boolean {
  return one.length === other.length && one.every(name => other.includes(name))
}

/** Creates the lease keeper of one incarnation. */
export function leaseKeeper(self: Incarnation, ports: LeaseKeeperPorts): LeaseKeeper {
  const {clock, store, network, log} = ports
  const key = instanceKey(self.instance)
  /** Instance name to the time of its last answer to a promise request. */
  const lastReplyAt = new Map<string, Milliseconds>()
  /** Instance name to the time of the earliest promise request that it has not answered. */
  const unansweredSince = new Map<string, Milliseconds>()
  let lease: Lease = NO_LEASE
  let isStopped = false
  let isWriting = false
  let lastRequestAt: Milliseconds = Number.NEGATIVE_INFINITY
  let lastRefusalAt: Milliseconds = Number.NEGATIVE_INFINITY

  function applyStep(step: LeaseStep): void {
    lease = applyLeaseStep(lease, step)
  }

  function endLease(cause: LeaseEnd): void {
    if (lease.ended) return
    applyStep({type: "ended"})
    isStopped = true
    log.warn({event: "lease-ended", cause}, "lease of this incarnation ended")
    ports.onEnded(cause)
  }

  /** Instances that have left promise requests unanswered for too long. */
  function silentInstances(): ReadonlySet<string> {
    const limit = clock.now() - REPLACE_SUCCESSOR_AFTER_MS
    return new Set([...unansweredSince].filter(([, since]) => since < limit).map(([name]) => name))
  }

  function candidateSuccessors(): readonly string[] {
    return ports.selectSuccessors(possibleSuccessors(lease), silentInstances())
  }

  /** Successors to name in the record. A new successor is named only if it has answered recently. */
  function respondingSuccessors(): readonly string[] {
    const limit = clock.now() - REPLACE_SUCCESSOR_AFTER_MS
    return candidateSuccessors().filter(
      name => lease.successors.includes(name) || (lastReplyAt.get(name) ?? limit) > limit,
    )
  }

  function buildRecord(successors: readonly string[], state: InstanceState): InstanceRecord {
    return {...self, state, successors, fencedBy: ""}
  }

  /** Applies a record that was read back as the outcome of the pending write, or ends the lease. */
  function applyStoredRecord(version: number, record: InstanceRecord): void {
    if (record.incarnation !== self.incarnation || record.state !== "active") {
      endLease(record.incarnation > self.incarnation ? "replaced" : "fenced")
      return
    }
    if (version === lease.version) return
    if (!lease.pending) applyStep({type: "write-sent", successors: record.successors, at: lease.renewedAt})
    applyStep({type: "write-confirmed", version, successors: record.successors})
  }

  async function readBack(): Promise<void> {
    const found = await store.get(key)
    if (found.isErr() || lease.ended) return
    if (!found.value) {
      if (lease.version > 0) endLease("fenced")
      return
    }
    const record = parseInstanceRecord(key, found.value.value)
    if (record.isOk()) applyStoredRecord(found.value.version, record.value)
  }

  async function writeRecord(successors: readonly string[]): Promise<void> {
    applyStep({type: "write-sent", successors, at: clock.now()})
    const value = JSON.stringify(buildRecord(successors, "active"))
    const result = await store.compareAndSwap(key, lease.version, value)
    if (lease.ended) return
    if (result.isOk()) {
      if (lease.pending) applyStep({type: "write-confirmed", version: result.value, successors})
      return
    }
    if (result.error instanceof StoreUnavailable) return
    await readBack()
  }

  async function renewIfDue(): Promise<void> {
    if (isWriting || isStopped) return
    const wantedSuccessors = respondingSuccessors()
    // A successor that has restarted gives a promise only for a record version newer than the first one it
    // has read.
    const wasRefused =
      lastRefusalAt > lease.renewedAt && clock.now() >= lease.renewedAt + RENEWAL_AFTER_REFUSAL_MS
    const isDue = wasRefused || clock.now() >= lease.renewedAt + RENEWAL_INTERVAL_MS
    if (!isDue && !lease.pending && hasSameNames(wantedSuccessors, lease.successors)) return
    isWriting = true
    requestPromises(true)
    if (lease.pending) await readBack()
    if (!lease.ended) await writeRecord(wantedSuccessors)
    isWriting = false
  }

  async function requestPromise(successor: string): Promise<void> {
    const sentAt = clock.now()
    const request = create(PromiseRequestSchema, {holder: self.instance, incarnation: self.incarnation})
    const reply = await callPeer(network, successor, peer => peer.promise(request))
    if (reply.isErr() || lease.ended) return
    lastReplyAt.set(successor, clock.now())
    unansweredSince.delete(successor)
    if (reply.value.granted) applyStep({type: "promised", successor, askedAt: sentAt, term: reply.value.term})
    else {
      applyStep({type: "promise-refused", successor})
      lastRefusalAt = clock.now()
    }
  }

  function requestPromises(isImmediate: boolean): void {
    const now = clock.now()
    if (!isImmediate && now < lastRequestAt + PROMISE_INTERVAL_MS) return
    lastRequestAt = now
    for (const [name, since] of unansweredSince)
      if (since < now - FORGET_SILENCE_AFTER_MS) unansweredSince.delete(name)
    for (const successor of new Set([...possibleSuccessors(lease), ...candidateSuccessors()])) {
      if (!unansweredSince.has(successor)) unansweredSince.set(successor, now)
      void requestPromise(successor)
    }
  }

  function tick(): void {
    if (isStopped) return
    requestPromises(false)
    void renewIfDue()
    clock.after(TICK_INTERVAL_MS, tick)
  }

  /**
   * Writes the first record of this incarnation. It replaces the record of an earlier incarnation under the
   * same instance name, which must have stopped before this one starts.
   */
  async function takeOverRecord(): Promise<boolean> {
    const found = await store.get(key)
    if (found.isErr()) return false
    const version = found.value?.version ?? 0
    const wantedSuccessors = ports.selectSuccessors([], new Set())
    const sentAt = clock.now()
    const result = await store.compareAndSwap(
      key,
      version,
      JSON.stringify(buildRecord(wantedSuccessors, "active")),
    )
    if (result.isErr()) return false
    applyStep({type: "write-sent", successors: wantedSuccessors, at: sentAt})
    applyStep({type: "write-confirmed", version: result.value, successors: wantedSuccessors})
    return true
  }

  async function release(): Promise<boolean> {
    const version = lease.version
    applyStep({type: "ended"})
    isStopped = true
    for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt += 1) {
      const found = await store.get(key)
      if (found.isErr()) continue
      const record = found.value && parseInstanceRecord(key, found.value.value)
      if (!found.value || !record?.isOk()) return false
      if (record.value.incarnation !== self.incarnation || record.value.state !== "active") return version > 0
      const value = JSON.stringify(buildRecord([], "released"))
      const result = await store.compareAndSwap(key, found.value.version, value)
      if (result.isOk()) return true
    }
    return false
  }

  return {
    async start() {
      while (!isStopped) {
        if (await takeOverRecord()) break
        await new Promise<void>(resolve =>
          clock.after(PROMISE_INTERVAL_MS * (0.5 + ports.random.next()), resolve),
        )
      }
      tick()
    },
    mayAct: () => mayAct(lease, clock.now()),
    reasonNotToAct: () => reasonNotToAct(lease, clock.now()),
    lease: () => lease,
    release,
    stop() {
      isStopped = true
    },
  }
}
