/**
 * Borrows request slots of one service from the owners of its worker groups. A request is started only on a slot
 * whose loan is valid at that instant. Slots in use are named with every renewal; idle ones are kept for a short
 * while, and given back at once when others wait for them or their server is closed.
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
  /** Requests that wait for a slot. */
  readonly waiting: () => number
  /** New idle slots can be used. */
  readonly onSlots: () => void
  /** The slot is given back: its connection is not needed any more. */
  readonly onReturned: (slot: Slot) => void
}

export interface SlotBorrower {
  /** Idle slots on which a request may be started now. */
  readonly idle: () => readonly Slot[]
  readonly take: (slot: Slot) => boolean
  /** The request on the slot has ended at the server, so that the slot can be used again. */
  readonly release: (slot: Slot) => void
  /** Nothing tells whether the request has ended at the server: the slot is not used again here. */
  readonly forfeit: (slot: Slot) => void
  readonly held: () => number
  readonly holdingsOf: (group: string) => ReadonlyMap<string, number>
  /** Asks for slots soon. */
  readonly wake: () => void
  readonly calls: () => number
  readonly close: () => void
}

const IDLE_KEPT_MS: Milliseconds = 2000
const WAIT_AT_OWNER_MS: Milliseconds = 200
const TICK_MS: Milliseconds = 100
const LARGEST_ASK = 16

interface HeldSlot extends Slot {
  busy: boolean
  /** A request may still be in hand at the server: the owner must be told before the slot is dropped. */
  doubtful: boolean
  usedAt: Milliseconds
}

interface GroupLoans {
  sequence: number
  calling: boolean
  renewedAt: Milliseconds
  validUntil: Milliseconds
  contended: boolean
  share: number
  readonly slots: Set<HeldSlot>
}

/** Creates the borrower of one service. */
export function slotBorrower(ports: SlotBorrowerPorts): SlotBorrower {
  const {clock} = ports
  const loans = new Map<string, GroupLoans>()
  const bySlot = new Map<string, HeldSlot>()
  let nextId = 1
  let calls = 0
  let closed = false
  let wakeWanted = false

  function loansOf(group: string): GroupLoans {
    const known = loans.get(group)
    if (known) return known
    const sequence = Math.floor(clock.wallClock())
    const fresh = {
      sequence,
      calling: false,
      renewedAt: 0,
      validUntil: 0,
      contended: false,
      share: 1,
      slots: new Set<HeldSlot>(),
    }
    loans.set(group, fresh)
    return fresh
  }

  function drop(slot: HeldSlot): void {
    loans.get(slot.group)?.slots.delete(slot)
    bySlot.delete(slot.id)
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

  function uses(
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

  /** Gives back idle slots that are not needed: none are waited for, and they were idle for long or others wait. */
  function trimIdle(group: GroupLoans): void {
    const keep = group.contended ? 0 : IDLE_KEPT_MS
    for (const slot of [...group.slots]) {
      const unused = !slot.busy && clock.now() >= slot.usedAt + keep
      const expired = !slot.busy && !isValid(group) && group.validUntil > 0 && !group.calling
      if (expired || (unused && ports.waiting() === 0)) drop(slot)
    }
  }

  function absorb(name: string, group: GroupLoans, reply: LendResponse, sentAt: Milliseconds): void {
    group.renewedAt = sentAt
    group.validUntil = sentAt + Math.min(reply.term, LOAN_TERM_MS) - LOAN_MARGIN_MS
    group.contended = reply.contended
    group.share = Math.max(1, reply.share)
    const shut = new Set(reply.closed)
    for (const slot of [...group.slots]) if (!slot.busy && shut.has(slot.server)) drop(slot)
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
        bySlot.set(slot.id, slot)
      }
    }
    if (reply.grants.length > 0) ports.onSlots()
  }

  async function call(target: LendingGroup, wanted: number): Promise<void> {
    const group = loansOf(target.group)
    if (group.calling) return
    group.calling = true
    group.sequence += 1
    trimIdle(group)
    const doubtful = [...group.slots].filter(slot => slot.doubtful)
    const sentAt = clock.now()
    const request = create(LendRequestSchema, {
      group: target.group,
      ownerEpoch: target.owner.epoch,
      borrower: ports.instance,
      borrowerIncarnation: ports.incarnation(),
      service: ports.service,
      wanted,
      uses: uses(group),
      sequence: BigInt(group.sequence),
      wait: wanted > 0 ? WAIT_AT_OWNER_MS : 0,
    })
    calls += 1
    const reply = await callPeer(ports.network, target.owner.instance, peer => peer.lend(request))
    group.calling = false
    if (closed) return
    if (reply.isOk() && reply.value.refusal === "") {
      doubtful.forEach(drop)
      absorb(target.group, group, reply.value, sentAt)
    }
    if (ports.waiting() > idleCount()) wake()
  }

  function needsRenewal(group: GroupLoans): boolean {
    return group.slots.size > 0 && clock.now() >= group.renewedAt + LOAN_RENEWAL_MS
  }

  function hasSurplus(group: GroupLoans): boolean {
    const idleHere = [...group.slots].filter(slot => !slot.busy)
    if ([...group.slots].some(slot => slot.doubtful)) return true
    if (ports.waiting() > 0) return false
    const keep = group.contended ? 0 : IDLE_KEPT_MS
    return idleHere.some(slot => clock.now() >= slot.usedAt + keep)
  }

  function round(): void {
    if (closed) return
    const targets = ports.groups()
    const needed = Math.max(0, ports.waiting() - idleCount())
    const free = shuffled(
      ports.random,
      targets.filter(target => !loansOf(target.group).calling),
    )
    free.sort((one, other) => Math.sign(other.idleSlots) - Math.sign(one.idleSlots))
    const asked = needed > 0 ? free.slice(0, Math.max(1, Math.min(free.length, needed))) : []
    const each = asked.length > 0 ? Math.min(LARGEST_ASK, Math.ceil(needed / asked.length)) : 0
    for (const target of asked) void call(target, each)
    for (const target of free) {
      if (asked.includes(target)) continue
      const group = loansOf(target.group)
      if (needsRenewal(group) || hasSurplus(group)) void call(target, 0)
    }
  }

  function wake(): void {
    if (wakeWanted || closed) return
    wakeWanted = true
    clock.after(0, () => {
      wakeWanted = false
      round()
    })
  }

  function tick(): void {
    if (closed) return
    for (const group of loans.values()) {
      if (group.validUntil > 0 && !isValid(group) && !group.calling) trimIdle(group)
    }
    round()
    clock.after(TICK_MS, tick)
  }

  tick()

  return {
    idle,
    take(slot) {
      const found = bySlot.get(slot.id)
      const group = loans.get(slot.group)
      if (!found || found.busy || !group || !isValid(group)) return false
      found.busy = true
      return true
    },
    release(slot) {
      const found = bySlot.get(slot.id)
      const group = loans.get(slot.group)
      if (!found || !group) return
      found.busy = false
      found.usedAt = clock.now()
      if (!isValid(group)) drop(found)
      else if (group.contended && group.slots.size > group.share) {
        drop(found)
        wake()
      } else ports.onSlots()
    },
    forfeit(slot) {
      const found = bySlot.get(slot.id)
      if (!found) return
      found.doubtful = true
      wake()
    },
    held: heldCount,
    holdingsOf(group) {
      const known = loans.get(group)
      return new Map(known ? uses(known).map(({server, held}) => [server, held]) : [])
    },
    wake,
    calls: () => calls,
    close() {
      closed = true
      for (const slot of [...bySlot.values()]) drop(slot)
    },
  }
}
