/**
 * Controls which job groups and worker groups this instance holds. The holder of a group makes all scheduling
 * decisions for it. The controller claims groups whose holder has been fenced or has released its record,
 * hands over groups that exceed its even share, and hands over all groups before a planned stop. Every change
 * of holder is one compare-and-swap of the group's record in the store that increments the epoch.
 */
import {create} from "@bufbuild/protobuf"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep, withTimeout} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {chooseSuccessors, claimOrder, nextMove} from "../ownership/assignment.js"
import type {LocatedMember} from "../ownership/assignment.js"
import {groupKey, OWNERSHIP_PREFIX, sameIncarnation} from "../ownership/record.js"
import type {GroupRecord, Incarnation} from "../ownership/record.js"
import {callPeer} from "../peer/api.js"
import type {PeerNetwork} from "../peer/api.js"
import {HandOverRequestSchema} from "../peer/generated/peer_pb.js"
import type {Store, StoredValue} from "../platform/ports.js"
import {fencer} from "./fencer.js"
import {leaseKeeper} from "./leasekeeper.js"
import type {LeaseEnd, LeaseKeeper} from "./leasekeeper.js"
import type {Logger} from "../core/logger.js"
import {currentHolders, EMPTY_VIEW, holderIsGone, mergeStored} from "./ownershipview.js"
import type {OwnershipView, Versioned} from "./ownershipview.js"

export interface OwnershipPorts {
  readonly clock: Clock
  readonly random: Random
  readonly store: Store
  readonly network: PeerNetwork
  readonly log: Logger
  readonly dataCentre: string
  /** Number of successors that the instance's record should name. A successor may fence it early. */
  readonly successorCount: number
  /** Live members with status `active`, including this instance. */
  readonly members: () => readonly LocatedMember[]
  /** The holder incarnation that a member last announced by gossip. */
  readonly incarnationOf: (instance: string) => string | undefined
  /** Number of other entry instances in the platform's instance list. */
  readonly listedPeerCount: () => number
  /** All groups that should have a holder. */
  readonly groups: () => readonly string[]
  readonly onAcquired: (group: string, epoch: number) => void
  /** Drains the group before a hand-over; resolves once no more decisions are made for it. */
  readonly onReleasing: (group: string) => Promise<void>
  /** The instance no longer holds the group and must stop deciding for it immediately. */
  readonly onLost: (group: string) => void
  /**
   * State for the new holder of a group. It is collected after the drain and sent after the change of holder.
   */
  readonly handOverState: (group: string) => HandOverState
  /** A later process has started under the same instance name, so this process must stop. */
  readonly onReplaced: () => void
}

/**
 * State that a planned hand-over sends directly to the new holder. Without it the new holder obtains the same
 * state more slowly.
 */
export interface HandOverState {
  /** Slots of backend servers in the group that are lent to other instances. */
  readonly lent: readonly {readonly borrower: string; readonly server: string; readonly count: number}[]
  /** Encoded idempotency keys of a job group. */
  readonly keys: Uint8Array
}

export interface Ownership {
  readonly start: () => Promise<void>
  /** The epoch under which this instance may currently decide for the group, or undefined if it may not. */
  readonly epochOf: (group: string) => number | undefined
  readonly mayAct: () => boolean
  readonly reasonNotToAct: () => string | undefined
  /** Held groups with their epochs. */
  readonly held: () => ReadonlyMap<string, number>
  readonly view: () => OwnershipView
  readonly incarnation: () => string
  /** Instances that may fence this one before the grace period ends. */
  readonly successors: () => readonly string[]
  /** Answers a holder's request for a promise not to fence it: the term of the promise, or 0 if refused. */
  readonly handlePromiseRequest: (holder: string, incarnation: string) => Milliseconds
  /** Reads all records again, for example after a peer has handed over a group. */
  readonly refresh: () => Promise<void>
  /** Hands over all groups and marks the instance's record as released. */
  readonly release: () => Promise<void>
  readonly stop: () => void
}

const TICK_INTERVAL_MS: Milliseconds = 200
const WATCH_TIMEOUT_MS: Milliseconds = 10_000
const WATCH_RETRY_DELAY_MS: Milliseconds = 250
const FULL_READ_INTERVAL_MS: Milliseconds = 15_000
const CLAIM_STAGGER_MS: Milliseconds = 250
/** Time after the start before the first rebalancing. */
const REBALANCE_DELAY_MS: Milliseconds = 1500
/** Longest time after the start that a new instance waits for gossip from all listed peers. */
const JOIN_WAIT_MS: Milliseconds = 2000
const DRAIN_TIMEOUT_MS: Milliseconds = 3000

/** Creates an incarnation name. Names that are created later compare as larger strings. */
export function newIncarnation(clock: Clock, random: Random): string {
  const started = Math.floor(clock.wallClock()).toString(36).padStart(9, "0")
  return `${started}-${random
    .below(36 ** 4)
    .toString(36)
    .padStart(4, "0")}`
}

/** Creates the controller. An instance that is fenced continues under a new incarnation. */
export function ownershipController(
  instance: string,
  firstIncarnation: string,
  ports: OwnershipPorts,
): Ownership {
  const {clock, store, network, log} = ports
  const held = new Map<string, number>()
  const releasing = new Set<string>()
  const claiming = new Set<string>()
  const orphanedSince = new Map<string, Milliseconds>()
  /**
   * Groups whose hand-over write failed, with the record version that the write expected. The instance may
   * decide for such a group only after a new claim under the next epoch: the write may still take effect, and
   * the in-memory state of the group's owner has been discarded.
   */
  const unconfirmedHandOvers = new Map<string, number>()
  let view: OwnershipView = EMPTY_VIEW
  let self: Incarnation = {instance, incarnation: firstIncarnation}
  let keeper: LeaseKeeper = newKeeper()
  let isStopped = false
  let isLeaving = false
  let isRebalancing = false
  let lastFullReadAt: Milliseconds = Number.NEGATIVE_INFINITY
  let startedAt = clock.now()
  const instanceFencer = fencer(instance, {clock, store, log, onFenced: () => void readAllRecords()})

  function newKeeper(): LeaseKeeper {
    return leaseKeeper(self, {
      clock,
      store,
      network,
      log,
      random: ports.random,
      selectSuccessors,
      onEnded: handleLeaseEnd,
    })
  }

  /** Members that can hold groups: those whose announced incarnation is active in the store. */
  function eligibleHolders(): readonly LocatedMember[] {
    return ports.members().filter(member => {
      if (member.instance === instance) return true
      const record = view.instances.get(member.instance)?.record
      return record?.state === "active" && record.incarnation === ports.incarnationOf(member.instance)
    })
  }

  function selectSuccessors(current: readonly string[], silent: ReadonlySet<string>): readonly string[] {
    const location = {instance, dataCentre: ports.dataCentre}
    const candidates = eligibleHolders().filter(member => !silent.has(member.instance))
    return chooseSuccessors(location, candidates, current, ports.successorCount)
  }

  function loseAllGroups(): void {
    for (const group of [...held.keys()]) {
      held.delete(group)
      ports.onLost(group)
    }
  }

  function handleLeaseEnd(cause: LeaseEnd): void {
    loseAllGroups()
    if (cause === "replaced") {
      isStopped = true
      ports.onReplaced()
    }
    if (isStopped || isLeaving) return
    self = {instance, incarnation: newIncarnation(clock, ports.random)}
    keeper = newKeeper()
    void keeper.start()
  }

  function mergeRecords(values: readonly StoredValue[]): void {
    view = mergeStored(view, values)
    instanceFencer.recordVersions(view)
    reconcileHeldGroups()
  }

  /**
   * Drops held groups whose record names another holder under a later epoch, and acquires groups whose record
   * names this incarnation.
   */
  function reconcileHeldGroups(): void {
    for (const [name, {record, version}] of view.groups) {
      if (unconfirmedHandOvers.has(name) && unconfirmedHandOvers.get(name) !== version)
        unconfirmedHandOvers.delete(name)
      const isHolder = sameIncarnation(record.holder, self)
      const epoch = held.get(name)
      if (!isHolder && epoch !== undefined && record.epoch > epoch) {
        held.delete(name)
        ports.onLost(name)
      }
      if (
        isHolder &&
        epoch === undefined &&
        !releasing.has(name) &&
        !unconfirmedHandOvers.has(name) &&
        !isLeaving
      )
        acquire(record)
    }
  }

  function acquire(record: GroupRecord): void {
    held.set(record.group, record.epoch)
    orphanedSince.delete(record.group)
    log.info({event: "group-acquired", group: record.group, epoch: record.epoch}, "acquired group")
    ports.onAcquired(record.group, record.epoch)
  }

  async function readAllRecords(): Promise<void> {
    lastFullReadAt = clock.now()
    const values = await store.list(OWNERSHIP_PREFIX)
    if (values.isOk()) mergeRecords(values.value)
  }

  async function watchLoop(): Promise<void> {
    let revision = 0
    while (!isStopped) {
      const result = await store.watch(OWNERSHIP_PREFIX, revision, WATCH_TIMEOUT_MS)
      if (result.isOk()) {
        revision = result.value.revision
        mergeRecords(result.value.changed)
        if (result.value.changed.length > 0) await sleep(clock, 20)
      } else {
        await sleep(clock, WATCH_RETRY_DELAY_MS * (1 + ports.random.next()))
      }
    }
  }

  async function claim(group: string, known: Versioned<GroupRecord> | undefined): Promise<void> {
    const record: GroupRecord = {group, holder: self, epoch: (known?.record.epoch ?? 0) + 1}
    const key = groupKey(group)
    const result = await store.compareAndSwap(key, known?.version ?? 0, JSON.stringify(record))
    if (result.isOk()) {
      mergeRecords([{key, value: JSON.stringify(record), version: result.value}])
      return
    }
    const found = await store.get(key)
    if (found.isOk() && found.value) mergeRecords([found.value])
  }

  /**
   * Delay before claiming an orphaned group. It grows with this instance's position in the group's claim
   * order.
   */
  function claimDelay(group: string): Milliseconds {
    const members = eligibleHolders().map(member => member.instance)
    const position = claimOrder(group, currentHolders(view), members).indexOf(instance)
    return position < 0 ? CLAIM_STAGGER_MS * members.length : position * CLAIM_STAGGER_MS
  }

  /**
   * True while a new instance waits for gossip from its peers. Without this wait, the first of several
   * instances that start together would claim all groups.
   */
  function isJoining(): boolean {
    return clock.now() < startedAt + JOIN_WAIT_MS && ports.members().length < ports.listedPeerCount() + 1
  }

  /**
   * True when the instance should have a successor and has none. It claims no groups then: if it crashed,
   * they would stay orphaned for the whole grace period.
   */
  function lacksSuccessor(): boolean {
    return ports.successorCount > 0 && keeper.lease().successors.length === 0 && eligibleHolders().length > 1
  }

  function claimOrphans(): void {
    if (isLeaving || !keeper.mayAct() || isJoining() || lacksSuccessor()) return
    let startedClaims = 0
    for (const group of ports.groups()) {
      const known = view.groups.get(group)
      if (known && !holderIsGone(view, known.record) && !unconfirmedHandOvers.has(group)) {
        orphanedSince.delete(group)
        continue
      }
      const since = orphanedSince.get(group) ?? clock.now()
      orphanedSince.set(group, since)
      if (claiming.has(group) || clock.now() < since + claimDelay(group)) continue
      startedClaims += 1
      if (startedClaims > 4) return
      claiming.add(group)
      void claim(group, known).finally(() => claiming.delete(group))
    }
  }

  /** Checks with an empty hand-over request that the receiver answers, before a group is drained for it. */
  async function isReachable(to: string): Promise<boolean> {
    const probe = create(HandOverRequestSchema, {from: instance})
    return (await callPeer(network, to, peer => peer.handOver(probe))).isOk()
  }

  /**
   * Hands over one group to another instance. The new holder may decide for the group only once the group's
   * record names it.
   */
  async function handOver(group: string, to: string): Promise<boolean> {
    const known = view.groups.get(group)
    const incarnation = ports.incarnationOf(to)
    if (!known || incarnation === undefined || releasing.has(group)) return false
    releasing.add(group)
    if (!(await isReachable(to))) {
      releasing.delete(group)
      return false
    }
    await withTimeout(clock, ports.onReleasing(group), DRAIN_TIMEOUT_MS, undefined)
    const state = ports.handOverState(group)
    held.delete(group)
    ports.onLost(group)
    const record: GroupRecord = {group, holder: {instance: to, incarnation}, epoch: known.record.epoch + 1}
    const result = await store.compareAndSwap(groupKey(group), known.version, JSON.stringify(record))
    releasing.delete(group)
    if (result.isErr()) {
      unconfirmedHandOvers.set(group, known.version)
      await readAllRecords()
      return false
    }
    mergeRecords([{key: groupKey(group), value: JSON.stringify(record), version: result.value}])
    log.info({event: "group-handed-over", group, to, epoch: record.epoch}, "handed over group")
    const notice = create(HandOverRequestSchema, {
      group,
      epoch: record.epoch,
      from: instance,
      lent: [...state.lent],
      keys: state.keys,
    })
    await callPeer(network, to, peer => peer.handOver(notice))
    return true
  }

  async function rebalance(): Promise<void> {
    if (isRebalancing || isLeaving || clock.now() < startedAt + REBALANCE_DELAY_MS || !keeper.mayAct()) return
    const members = eligibleHolders().map(member => member.instance)
    const move = nextMove(instance, currentHolders(view), members)
    if (!move || !held.has(move.group)) return
    isRebalancing = true
    await handOver(move.group, move.to).finally(() => {
      isRebalancing = false
    })
  }

  function tick(): void {
    if (isStopped) return
    if (clock.now() > lastFullReadAt + FULL_READ_INTERVAL_MS) void readAllRecords()
    instanceFencer.fenceExpired(view)
    claimOrphans()
    void rebalance()
    clock.after(TICK_INTERVAL_MS, tick)
  }

  async function release(): Promise<void> {
    isLeaving = true
    const receivers = (): readonly string[] =>
      eligibleHolders()
        .map(member => member.instance)
        .filter(name => name !== instance)
    await Promise.all(
      [...held.keys()].map(async group => {
        const to = claimOrder(group, currentHolders(view), receivers())[0]
        if (to === undefined || !(await handOver(group, to))) {
          if (!held.has(group)) return
          await withTimeout(clock, ports.onReleasing(group), DRAIN_TIMEOUT_MS, undefined)
        }
      }),
    )
    loseAllGroups()
    await keeper.release()
  }

  return {
    async start() {
      startedAt = clock.now()
      await readAllRecords()
      await keeper.start()
      void watchLoop()
      tick()
    },
    epochOf: group => (keeper.mayAct() && !releasing.has(group) ? held.get(group) : undefined),
    mayAct: () => keeper.mayAct(),
    reasonNotToAct: () => keeper.reasonNotToAct(),
    held: () => held,
    view: () => view,
    incarnation: () => self.incarnation,
    successors: () => keeper.lease().successors,
    handlePromiseRequest: (holder, incarnation) => instanceFencer.grantPromise(holder, incarnation, view),
    refresh: readAllRecords,
    release,
    stop() {
      isStopped = true
      keeper.stop()
    },
  }
}
