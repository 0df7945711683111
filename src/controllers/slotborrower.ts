/**
 * Borrows request slots of one service from the owners of its worker groups. A request is started only on a slot
 * whose loan is valid at that instant. Each renewal reports the slots that are held. Idle slots are kept for a
 * short while, and returned at once when other borrowers wait for slots or their server is closed.
 */
import {create} from "@bufbuild/protobuf"
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Random} from "../core/random.js"
import {shuffled} from "../core/random.js"
import {callPeer} from "../peer/api.js"
import type {PeerNetwork} from "../peer/api.js"
import {LendRequestSchema} from "../peer/generated/peer_pb.js"
import type {LendResponse} from "../peer/generated/peer_pb.js"
import {LOAN_MARGIN_MS, LOAN_RENEWAL_MS, LOAN_TERM_MS} from "../routing/timing.js"
import type {GroupOwnerAddress} from "./placementclient.js"

/** A worker group from whose owner slots can be borrowed. */
export interface LendingGroup {
  readonly group: string
  readonly owner: GroupOwnerAddress
  readonly idleSlots: number
}

export interface Slot {
  /** Unique over all services of the instance. */
  readonly id: string
  readonly group: string
  readonly server: string
  readonly address: string
  readonly dataCentre: string
}

export interface SlotBorrowerPorts {
  readonly clock: Clock
  readonly random: Random
  readonly network: PeerNetwork
  readonly instance: string
  readonly incarnation: () => string
  readonly service: string
  /** Groups that host servers of the service and whose owner is known. */
  readonly groups: () => readonly LendingGroup[]
  /** Number of requests that wait for a slot. */
  readonly waitingCount: () => number
  /** Called when slots have become idle. */
  readonly onSlotsAvailable: () => void
  /** Called when a slot is returned to its owner: its connection is not needed any more. */
  readonly onReturned: (slot: Slot) => void
}

export interface SlotBorrower {
  /** Idle slots on which a request may be started now. */
  readonly idle: () => readonly Slot[]
  /** Marks an idle slot as in use. Returns false when it is not usable any more. */
  readonly take: (slot: Slot) => boolean
  /** The request on the slot has ended at the server, so the slot can be used again. */
  readonly release: (slot: Slot) => void
  /** It is not known whether the request on the slot has ended at the server, so the slot is not used again here. */
  readonly markInDoubt: (slot: Slot) => void
  readonly held: () => number
  /** Number of slots held of each server of the group. */
  readonly holdingsOf: (group: string) => ReadonlyMap<string, number>
  /** Schedules a round of requests to the owners. */
  readonly wake: () => void
  /** Number of calls to owners so far. */
  readonly callCount: () => number
  readonly close: () => void
}

const IDLE_RETENTION_MS: Milliseconds = 2000
/** How long an owner may hold a request while it has no free slot. */
const OWNER_WAIT_MS: Milliseconds = 200
const TICK_INTERVAL_MS: Milliseconds = 100
const MAX_SLOTS_PER_REQUEST = 16

interface HeldSlot extends Slot {
  busy: boolean
  /** A request may still be in progress at the server: the owner must learn this before the slot is dropped. */
  doubtful: boolean
  usedAt: Milliseconds
}

interface GroupLoans {
  /** Increases with each call, so that the owner recognises delayed calls. */
  sequence: number
  calling: boolean
  renewedAt: Milliseconds
  /** Until then, requests may be started on the slots. */
  validUntil: Milliseconds
  /** True when other borrowers wait for slots of the service. */
  contended: boolean
  /** Slots that one borrower may keep while others wait. */
  share: number
  readonly slots: Set<HeldSlot>
}

/** Creates the borrower of one service. */
export function slotBorrower(ports: SlotBorrowerPorts): SlotBorrower {
  const {clock} = ports
  const loans = new Map<string, GroupLoans>()
  const slotsById = new Map<string, HeldSlot>()
  let nextId = 1
  let calls = 0
  let closed = false
  let isWakeScheduled = false

  function loansOf(group: string): GroupLoans {
    const existing = loans.get(group)
    if (existing) return existing
    const sequence = Math.floor(clock.wallClock())
    const created = {
      sequence,
      calling: false,
      renewedAt: 0,
      validUntil: 0,
      contended: false,
      share: 1,
      slots: new Set<HeldSlot>(),
    }
    loans.set(group, created)
    return created
  }

  function dropSlot(slot: HeldSlot): void {
    loans.get(slot.group)?.slots.delete(slot)
    slotsById.delete(slot.id)
    ports.onReturned(slot)
  }

  function isValid(group: GroupLoans): boolean {
    return clock.now() < group.validUntil
  }

  function idle(): readonly Slot[] {
    const found: Slot[] = []
    for (const group of loans.values()) {
      if (!isValid(group)) continue
      for (const slot of group.slots) if (!slot.busy) found.push(slot)
    }
    return found
  }

  function heldCount(): number {
    let sum = 0
    for (const group of loans.values()) sum += group.slots.size
    return sum
  }

  function idleCount(): number {
    return idle().length
  }

  /** Number of slots held, and of these in doubt, by server. */
  function countSlotUses(
    group: GroupLoans,
  ): {readonly server: string; readonly held: number; readonly doubtful: number}[] {
    const counts = new Map<string, {held: number; doubtful: number}>()
    for (const slot of group.slots) {
      const count = counts.get(slot.server) ?? {held: 0, doubtful: 0}
      count.held += 1
      if (slot.doubtful) count.doubtful += 1
      counts.set(slot.server, count)
    }
    return [...counts].map(([server, count]) => ({server, ...count}))
  }

  /**
   * Drops idle slots whose loan has expired. While no request waits, also drops those that have been idle beyond the
   * retention period, or all idle ones when other borrowers wait for slots.
   */
  function returnUnneededSlots(group: GroupLoans): void {
    const keep = group.contended ? 0 : IDLE_RETENTION_MS
    for (const slot of [...group.slots]) {
      const isUnused = !slot.busy && clock.now() >= slot.usedAt + keep
      const isExpired = !slot.busy && !isValid(group) && group.validUntil > 0 && !group.calling
      if (isExpired || (isUnused && ports.waitingCount() === 0)) dropSlot(slot)
    }
  }

  function applyReply(name: string, group: GroupLoans, reply: LendResponse, sentAt: Milliseconds): void {
    group.renewedAt = sentAt
    group.validUntil = sentAt + Math.min(reply.term, LOAN_TERM_MS) - LOAN_MARGIN_MS
    group.contended = reply.contended
    group.share = Math.max(1, reply.share)
    const closedServers = new Set(reply.closed)
    for (const slot of [...group.slots]) if (!slot.busy && closedServers.has(slot.server)) dropSlot(slot)
    for (const {server, address, dataCentre, count} of reply.grants) {
      for (let index = 0; index < count; index += 1) {
        const slot: HeldSlot = {
          id: `${ports.service}/${nextId}`,
          group: name,
          server,
          address,
          dataCentre,
          busy: false,
          doubtful: false,
          usedAt: clock.now(),
        }
        nextId += 1
        group.slots.add(slot)
        slotsById.set(slot.id, slot)
      }
    }
    if (reply.grants.length > 0) ports.onSlotsAvailable()
  }

  /** Renews the loans of the group, reports slots in doubt, and asks for further slots when `wanted` is above 0. */
  async function callOwner(target: LendingGroup, wanted: number): Promise<void> {
    const group = loansOf(target.group)
    if (group.calling) return
    group.calling = true
    group.sequence += 1
    returnUnneededSlots(group)
    const doubtful = [...group.slots].filter(slot => slot.doubtful)
    const sentAt = clock.now()
    const request = create(LendRequestSchema, {
      group: target.group,
      ownerEpoch: target.owner.epoch,
      borrower: ports.instance,
      borrowerIncarnation: ports.incarnation(),
      service: ports.service,
      wanted,
      uses: countSlotUses(group),
      sequence: BigInt(group.sequence),
      wait: wanted > 0 ? OWNER_WAIT_MS : 0,
    })
    calls += 1
    const reply = await callPeer(ports.network, target.owner.instance, peer => peer.lend(request))
    group.calling = false
    if (closed) return
    if (reply.isOk() && reply.value.refusal === "") {
      doubtful.forEach(dropSlot)
      applyReply(target.group, group, reply.value, sentAt)
    }
    if (ports.waitingCount() > idleCount()) wake()
  }

  function needsRenewal(group: GroupLoans): boolean {
    return group.slots.size > 0 && clock.now() >= group.renewedAt + LOAN_RENEWAL_MS
  }

  /** True when there are slots to return to the owner: in doubt, or idle and not needed. */
  function hasSurplus(group: GroupLoans): boolean {
    const idleHere = [...group.slots].filter(slot => !slot.busy)
    if ([...group.slots].some(slot => slot.doubtful)) return true
    if (ports.waitingCount() > 0) return false
    const keep = group.contended ? 0 : IDLE_RETENTION_MS
    return idleHere.some(slot => clock.now() >= slot.usedAt + keep)
  }

  /**
   * Spreads the number of slots that waiting requests lack over the owners, preferring those that advertise idle
   * slots, and calls the other owners when a renewal is due or slots are to be returned.
   */
  function requestSlots(): void {
    if (closed) return
    const targets = ports.groups()
    const needed = Math.max(0, ports.waitingCount() - idleCount())
    const availableTargets = shuffled(
      ports.random,
      targets.filter(target => !loansOf(target.group).calling),
    )
    availableTargets.sort((one, other) => Math.sign(other.idleSlots) - Math.sign(one.idleSlots))
    const askedTargets =
      needed > 0 ? availableTargets.slice(0, Math.max(1, Math.min(availableTargets.length, needed))) : []
    const slotsPerTarget =
      askedTargets.length > 0 ? Math.min(MAX_SLOTS_PER_REQUEST, Math.ceil(needed / askedTargets.length)) : 0
    for (const target of askedTargets) void callOwner(target, slotsPerTarget)
    for (const target of availableTargets) {
      if (askedTargets.includes(target)) continue
      const group = loansOf(target.group)
      if (needsRenewal(group) || hasSurplus(group)) void callOwner(target, 0)
    }
  }

  function wake(): void {
    if (isWakeScheduled || closed) return
    isWakeScheduled = true
    clock.after(0, () => {
      isWakeScheduled = false
      requestSlots()
    })
  }

  function tick(): void {
    if (closed) return
    for (const group of loans.values()) {
      if (group.validUntil > 0 && !isValid(group) && !group.calling) returnUnneededSlots(group)
    }
    requestSlots()
    clock.after(TICK_INTERVAL_MS, tick)
  }

  tick()

  return {
    idle,
    take(slot) {
      const found = slotsById.get(slot.id)
      const group = loans.get(slot.group)
      if (!found || found.busy || !group || !isValid(group)) return false
      found.busy = true
      return true
    },
    release(slot) {
      const found = slotsById.get(slot.id)
      const group = loans.get(slot.group)
      if (!found || !group) return
      found.busy = false
      found.usedAt = clock.now()
      if (!isValid(group)) dropSlot(found)
      else if (group.contended && group.slots.size > group.share) {
        dropSlot(found)
        wake()
      } else ports.onSlotsAvailable()
    },
    markInDoubt(slot) {
      const found = slotsById.get(slot.id)
      if (!found) return
      found.doubtful = true
      wake()
    },
    held: heldCount,
    holdingsOf(group) {
      const existing = loans.get(group)
      return new Map(existing ? countSlotUses(existing).map(({server, held}) => [server, held]) : [])
    },
    wake,
    callCount: () => calls,
    close() {
      closed = true
      for (const slot of [...slotsById.values()]) dropSlot(slot)
    },
  }
}
