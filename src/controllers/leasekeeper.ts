/**
 * Keeps the instance's own record in the store and the promises of its successors, and thereby the right to act.
 * A write whose reply was lost is settled by reading the record back before the next write.
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
  /** The successors that the instance should name now, those that do not answer left out. */
  readonly wantedSuccessors: (current: readonly string[], silent: ReadonlySet<string>) => readonly string[]
  /** Called once when this incarnation has lost its right for good. */
  readonly onEnded: (cause: LeaseEnd) => void
}

/** `fenced` by a successor, or `replaced` by a later process of the same instance name. */
export type LeaseEnd = "fenced" | "replaced"

export interface LeaseKeeper {
  readonly start: () => Promise<void>
  readonly mayAct: () => boolean
  readonly reasonNotToAct: () => string | undefined
  readonly lease: () => Lease
  /** Writes `released`, so that the groups of this incarnation can be claimed at once. */
  readonly release: () => Promise<boolean>
  readonly stop: () => void
}

/** Silence of a successor after which another one is named in its place. */
const REPLACE_SUCCESSOR_AFTER_MS: Milliseconds = PROMISE_TERM_MS * 0.45
const TICK_MS: Milliseconds = 100
const RENEWAL_AFTER_REFUSAL_MS: Milliseconds = 500
const FORGET_SILENCE_AFTER_MS: Milliseconds = 5000
const RELEASE_ATTEMPTS = 5

function sameNames(one: readonly string[], other: readonly string[]): boolean {
  return one.length === other.length && one.every(name => other.includes(name))
}

/** Creates the keeper for one incarnation. */
export function leaseKeeper(self: Incarnation, ports: LeaseKeeperPorts): LeaseKeeper {
  const {clock, store, network, log} = ports
  const key = instanceKey(self.instance)
  const heardAt = new Map<string, Milliseconds>()
  /** Instance name to the instant of the first request for a promise that it has not answered. */
  const unansweredSince = new Map<string, Milliseconds>()
  let lease: Lease = NO_LEASE
  let stopped = false
  let writing = false
  let askedAt: Milliseconds = Number.NEGATIVE_INFINITY
  let refusedAt: Milliseconds = Number.NEGATIVE_INFINITY

  function apply(step: LeaseStep): void {
    lease = applyLeaseStep(lease, step)
  }

  function end(cause: LeaseEnd): void {
    if (lease.ended) return
    apply({type: "ended"})
    stopped = true
    log.warn({event: "lease-ended", cause}, "this incarnation has lost its right to act")
    ports.onEnded(cause)
  }

  /** Instances that were asked for a promise and have not answered for too long. */
  function silentInstances(): ReadonlySet<string> {
    const limit = clock.now() - REPLACE_SUCCESSOR_AFTER_MS
    return new Set([...unansweredSince].filter(([, since]) => since < limit).map(([name]) => name))
  }

  function candidates(): readonly string[] {
    return ports.wantedSuccessors(possibleSuccessors(lease), silentInstances())
  }

  /** Successors to name now: a new one is named only after it has answered. */
  function wantedSuccessors(): readonly string[] {
    const limit = clock.now() - REPLACE_SUCCESSOR_AFTER_MS
    return candidates().filter(
      name => lease.successors.includes(name) || (heardAt.get(name) ?? limit) > limit,
    )
  }

  function recordOf(successors: readonly string[], state: InstanceState): InstanceRecord {
    return {...self, state, successors, fencedBy: ""}
  }

  /** Takes a record that was read back as the outcome of the pending write. */
  function settle(version: number, record: InstanceRecord): void {
    if (record.incarnation !== self.incarnation || record.state !== "active") {
      end(record.incarnation > self.incarnation ? "replaced" : "fenced")
      return
    }
    if (version === lease.version) return
    if (!lease.pending) apply({type: "write-sent", successors: record.successors, at: lease.renewedAt})
    apply({type: "write-confirmed", version, successors: record.successors})
  }

  async function readBack(): Promise<void> {
    const found = await store.get(key)
    if (found.isErr() || lease.ended) return
    if (!found.value) {
      if (lease.version > 0) end("fenced")
      return
    }
    const record = parseInstanceRecord(key, found.value.value)
    if (record.isOk()) settle(found.value.version, record.value)
  }

  async function write(successors: readonly string[]): Promise<void> {
    apply({type: "write-sent", successors, at: clock.now()})
    const value = JSON.stringify(recordOf(successors, "active"))
    const result = await store.compareAndSwap(key, lease.version, value)
    if (lease.ended) return
    if (result.isOk()) {
      if (lease.pending) apply({type: "write-confirmed", version: result.value, successors})
      return
    }
    if (result.error instanceof StoreUnavailable) return
    await readBack()
  }

  async function keepRecord(): Promise<void> {
    if (writing || stopped) return
    const wanted = wantedSuccessors()
    // A successor that has restarted promises only on a version that is new to it.
    const refused = refusedAt > lease.renewedAt && clock.now() >= lease.renewedAt + RENEWAL_AFTER_REFUSAL_MS
    const due = refused || clock.now() >= lease.renewedAt + RENEWAL_INTERVAL_MS
    if (!due && !lease.pending && sameNames(wanted, lease.successors)) return
    writing = true
    askPromises(true)
    if (lease.pending) await readBack()
    if (!lease.ended) await write(wanted)
    writing = false
  }

  async function askPromise(successor: string): Promise<void> {
    const sentAt = clock.now()
    const request = create(PromiseRequestSchema, {holder: self.instance, incarnation: self.incarnation})
    const reply = await callPeer(network, successor, peer => peer.promise(request))
    if (reply.isErr() || lease.ended) return
    heardAt.set(successor, clock.now())
    unansweredSince.delete(successor)
    if (reply.value.granted) apply({type: "promised", successor, askedAt: sentAt, term: reply.value.term})
    else {
      apply({type: "promise-refused", successor})
      refusedAt = clock.now()
    }
  }

  function askPromises(atOnce: boolean): void {
    const now = clock.now()
    if (!atOnce && now < askedAt + PROMISE_INTERVAL_MS) return
    askedAt = now
    for (const [name, since] of unansweredSince)
      if (since < now - FORGET_SILENCE_AFTER_MS) unansweredSince.delete(name)
    for (const successor of new Set([...possibleSuccessors(lease), ...candidates()])) {
      if (!unansweredSince.has(successor)) unansweredSince.set(successor, now)
      void askPromise(successor)
    }
  }

  function tick(): void {
    if (stopped) return
    askPromises(false)
    void keepRecord()
    clock.after(TICK_MS, tick)
  }

  /** Takes over the record of an earlier incarnation of the same instance name, which has ended by contract. */
  async function begin(): Promise<boolean> {
    const found = await store.get(key)
    if (found.isErr()) return false
    const version = found.value?.version ?? 0
    const wanted = ports.wantedSuccessors([], new Set())
    const sentAt = clock.now()
    const result = await store.compareAndSwap(key, version, JSON.stringify(recordOf(wanted, "active")))
    if (result.isErr()) return false
    apply({type: "write-sent", successors: wanted, at: sentAt})
    apply({type: "write-confirmed", version: result.value, successors: wanted})
    return true
  }

  async function release(): Promise<boolean> {
    const version = lease.version
    apply({type: "ended"})
    stopped = true
    for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt += 1) {
      const found = await store.get(key)
      if (found.isErr()) continue
      const record = found.value && parseInstanceRecord(key, found.value.value)
      if (!found.value || !record?.isOk()) return false
      if (record.value.incarnation !== self.incarnation || record.value.state !== "active") return version > 0
      const value = JSON.stringify(recordOf([], "released"))
      const result = await store.compareAndSwap(key, found.value.version, value)
      if (result.isOk()) return true
    }
    return false
  }

  return {
    async start() {
      while (!stopped) {
        if (await begin()) break
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
      stopped = true
    },
  }
}
