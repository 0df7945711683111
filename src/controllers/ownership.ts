/**
 * Decides which groups this instance holds. It claims groups whose holder is gone, hands over what exceeds its
 * even share, and hands over everything before a planned stop. Every change of holder is one conditional write of
 * the group's record with the next epoch.
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
  readonly successors: number
  /** Active members that are alive, this instance included. */
  readonly members: () => readonly LocatedMember[]
  /** The incarnation of a member, as last heard. */
  readonly incarnationOf: (instance: string) => string | undefined
  /** Number of other entry instances in the platform's list. */
  readonly listedPeers: () => number
  /** Every group that should have a holder. */
  readonly groups: () => readonly string[]
  readonly onAcquired: (group: string, epoch: number) => void
  /** Resolves when nothing more is decided for the group. It is handed over only after that. */
  readonly onReleasing: (group: string) => Promise<void>
  /** The group is lost at once: the right to act has ended. */
  readonly onLost: (group: string) => void
  /** What the new holder of a group should be told: gathered after the drain, sent after the change of holder. */
  readonly handOverState: (group: string) => HandOverState
  /** A later process runs under this instance's name: this one must stop. */
  readonly onReplaced: () => void
}

/** State that a planned hand-over passes on directly. Without it the new holder learns the same more slowly. */
export interface HandOverState {
  readonly lent: readonly {readonly borrower: string; readonly server: string; readonly count: number}[]
  readonly keys: Uint8Array
}

export interface Ownership {
  readonly start: () => Promise<void>
  /** The epoch under which this instance may decide for the group now, or undefined. */
  readonly epochOf: (group: string) => number | undefined
  readonly mayAct: () => boolean
  readonly reasonNotToAct: () => string | undefined
  readonly held: () => ReadonlyMap<string, number>
  readonly view: () => OwnershipView
  readonly incarnation: () => string
  /** Instances that may fence this one early. */
  readonly successors: () => readonly string[]
  readonly handlePromise: (holder: string, incarnation: string) => Milliseconds
  /** Reads the records again, because a peer has handed a group over. */
  readonly refresh: () => Promise<void>
  /** Hands over every group and releases the record. */
  readonly release: () => Promise<void>
  readonly stop: () => void
}

const TICK_MS: Milliseconds = 200
const WATCH_MS: Milliseconds = 10_000
const WATCH_PAUSE_MS: Milliseconds = 250
const FULL_READ_INTERVAL_MS: Milliseconds = 15_000
const CLAIM_STAGGER_MS: Milliseconds = 250
const SETTLING_MS: Milliseconds = 1500
const JOINING_MS: Milliseconds = 2000
const RELEASE_LIMIT_MS: Milliseconds = 3000

/** Creates a new incarnation name. Later ones compare as larger strings. */
export function newIncarnation(clock: Clock, random: Random): string {
  const started = Math.floor(clock.wallClock()).toString(36).padStart(9, "0")
  return `${started}-${random
    .below(36 ** 4)
    .toString(36)
    .padStart(4, "0")}`
}

/** Creates the controller. A fenced instance goes on under a new incarnation. */
export function ownershipController(
  instance: string,
  firstIncarnation: string,
  ports: OwnershipPorts,
): Ownership {
  const {clock, store, network, log} = ports
  const held = new Map<string, number>()
  const releasing = new Set<string>()
  const claiming = new Set<string>()
  const orphanSince = new Map<string, Milliseconds>()
  /**
   * Groups whose hand-over write failed, and the record version that it expected. Such a group is decided for again
   * only after a new claim, under the next epoch: the write may still take effect, and owners' memory was dropped.
   */
  const unsettled = new Map<string, number>()
  let view: OwnershipView = EMPTY_VIEW
  let self: Incarnation = {instance, incarnation: firstIncarnation}
  let keeper: LeaseKeeper = newKeeper()
  let stopped = false
  let leaving = false
  let moving = false
  let readAt: Milliseconds = Number.NEGATIVE_INFINITY
  let startedAt = clock.now()
  const guard = fencer(instance, {clock, store, log, onFenced: () => void readAll()})

  function newKeeper(): LeaseKeeper {
    return leaseKeeper(self, {
      clock,
      store,
      network,
      log,
      random: ports.random,
      wantedSuccessors,
      onEnded: reincarnate,
    })
  }

  /** Members that can hold groups: the store knows their incarnation as active. */
  function eligible(): readonly LocatedMember[] {
    return ports.members().filter(member => {
      if (member.instance === instance) return true
      const record = view.instances.get(member.instance)?.record
      return record?.state === "active" && record.incarnation === ports.incarnationOf(member.instance)
    })
  }

  function wantedSuccessors(current: readonly string[], silent: ReadonlySet<string>): readonly string[] {
    const place = {instance, dataCentre: ports.dataCentre}
    const candidates = eligible().filter(member => !silent.has(member.instance))
    return chooseSuccessors(place, candidates, current, ports.successors)
  }

  function loseAll(): void {
    for (const group of [...held.keys()]) {
      held.delete(group)
      ports.onLost(group)
    }
  }

  function reincarnate(cause: LeaseEnd): void {
    loseAll()
    if (cause === "replaced") {
      stopped = true
      ports.onReplaced()
    }
    if (stopped || leaving) return
    self = {instance, incarnation: newIncarnation(clock, ports.random)}
    keeper = newKeeper()
    void keeper.start()
  }

  function absorb(values: readonly StoredValue[]): void {
    view = mergeStored(view, values)
    guard.noteView(view)
    noticeOwnGroups()
  }

  /** Drops held groups that the store gives to another holder, and takes those that were handed over to us. */
  function noticeOwnGroups(): void {
    for (const [name, {record, version}] of view.groups) {
      if (unsettled.has(name) && unsettled.get(name) !== version) unsettled.delete(name)
      const ours = sameIncarnation(record.holder, self)
      const epoch = held.get(name)
      if (!ours && epoch !== undefined && record.epoch > epoch) {
        held.delete(name)
        ports.onLost(name)
      }
      if (ours && epoch === undefined && !releasing.has(name) && !unsettled.has(name) && !leaving)
        take(record)
    }
  }

  function take(record: GroupRecord): void {
    held.set(record.group, record.epoch)
    orphanSince.delete(record.group)
    log.info({event: "group-acquired", group: record.group, epoch: record.epoch}, "holds a group")
    ports.onAcquired(record.group, record.epoch)
  }

  async function readAll(): Promise<void> {
    readAt = clock.now()
    const values = await store.list(OWNERSHIP_PREFIX)
    if (values.isOk()) absorb(values.value)
  }

  async function watchLoop(): Promise<void> {
    let revision = 0
    while (!stopped) {
      const result = await store.watch(OWNERSHIP_PREFIX, revision, WATCH_MS)
      if (result.isOk()) {
        revision = result.value.revision
        absorb(result.value.changed)
        if (result.value.changed.length > 0) await sleep(clock, 20)
      } else {
        await sleep(clock, WATCH_PAUSE_MS * (1 + ports.random.next()))
      }
    }
  }

  async function claim(group: string, known: Versioned<GroupRecord> | undefined): Promise<void> {
    const record: GroupRecord = {group, holder: self, epoch: (known?.record.epoch ?? 0) + 1}
    const key = groupKey(group)
    const result = await store.compareAndSwap(key, known?.version ?? 0, JSON.stringify(record))
    if (result.isOk()) {
      absorb([{key, value: JSON.stringify(record), version: result.value}])
      return
    }
    const found = await store.get(key)
    if (found.isOk() && found.value) absorb([found.value])
  }

  /** Where this instance stands in the order of claimers decides how long it waits before it claims. */
  function claimDelay(group: string): Milliseconds {
    const members = eligible().map(member => member.instance)
    const position = claimOrder(group, currentHolders(view), members).indexOf(instance)
    return position < 0 ? CLAIM_STAGGER_MS * members.length : position * CLAIM_STAGGER_MS
  }

  /** A new instance first hears its peers, so that the first of several does not claim everything. */
  function isJoining(): boolean {
    return clock.now() < startedAt + JOINING_MS && ports.members().length < ports.listedPeers() + 1
  }

  /** Without a successor its groups would stay orphaned for the whole grace after its death. */
  function lacksSuccessor(): boolean {
    return ports.successors > 0 && keeper.lease().successors.length === 0 && eligible().length > 1
  }

  function claimOrphans(): void {
    if (leaving || !keeper.mayAct() || isJoining() || lacksSuccessor()) return
    let pending = 0
    for (const group of ports.groups()) {
      const known = view.groups.get(group)
      if (known && !holderIsGone(view, known.record) && !unsettled.has(group)) {
        orphanSince.delete(group)
        continue
      }
      const since = orphanSince.get(group) ?? clock.now()
      orphanSince.set(group, since)
      if (claiming.has(group) || clock.now() < since + claimDelay(group)) continue
      pending += 1
      if (pending > 4) return
      claiming.add(group)
      void claim(group, known).finally(() => claiming.delete(group))
    }
  }

  /** Asks for a sign of life before anything is given away. */
  async function answers(to: string): Promise<boolean> {
    const probe = create(HandOverRequestSchema, {from: instance})
    return (await callPeer(network, to, peer => peer.handOver(probe))).isOk()
  }

  /** Gives one group to another instance. The group's record names the new holder before it may decide. */
  async function handOver(group: string, to: string): Promise<boolean> {
    const known = view.groups.get(group)
    const incarnation = ports.incarnationOf(to)
    if (!known || incarnation === undefined || releasing.has(group)) return false
    releasing.add(group)
    if (!(await answers(to))) {
      releasing.delete(group)
      return false
    }
    await withTimeout(clock, ports.onReleasing(group), RELEASE_LIMIT_MS, undefined)
    const state = ports.handOverState(group)
    held.delete(group)
    ports.onLost(group)
    const record: GroupRecord = {group, holder: {instance: to, incarnation}, epoch: known.record.epoch + 1}
    const result = await store.compareAndSwap(groupKey(group), known.version, JSON.stringify(record))
    releasing.delete(group)
    if (result.isErr()) {
      unsettled.set(group, known.version)
      await readAll()
      return false
    }
    absorb([{key: groupKey(group), value: JSON.stringify(record), version: result.value}])
    log.info({event: "group-handed-over", group, to, epoch: record.epoch}, "handed over a group")
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
    if (moving || leaving || clock.now() < startedAt + SETTLING_MS || !keeper.mayAct()) return
    const members = eligible().map(member => member.instance)
    const move = nextMove(instance, currentHolders(view), members)
    if (!move || !held.has(move.group)) return
    moving = true
    await handOver(move.group, move.to).finally(() => {
      moving = false
    })
  }

  function tick(): void {
    if (stopped) return
    if (clock.now() > readAt + FULL_READ_INTERVAL_MS) void readAll()
    guard.sweep(view)
    claimOrphans()
    void rebalance()
    clock.after(TICK_MS, tick)
  }

  async function release(): Promise<void> {
    leaving = true
    const receivers = (): readonly string[] =>
      eligible()
        .map(member => member.instance)
        .filter(name => name !== instance)
    await Promise.all(
      [...held.keys()].map(async group => {
        const to = claimOrder(group, currentHolders(view), receivers())[0]
        if (to === undefined || !(await handOver(group, to))) {
          if (!held.has(group)) return
          await withTimeout(clock, ports.onReleasing(group), RELEASE_LIMIT_MS, undefined)
        }
      }),
    )
    loseAll()
    await keeper.release()
  }

  return {
    async start() {
      startedAt = clock.now()
      await readAll()
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
    handlePromise: (holder, incarnation) => guard.promise(holder, incarnation, view),
    refresh: readAll,
    release,
    stop() {
      stopped = true
      keeper.stop()
    },
  }
}
