/**
 * Lends the request slots of the backend servers of one worker group to entry instances, for a short term that
 * they renew. It probes each server for its health and its count of requests in hand; a server that says, or of
 * which the list says, that it leaves is closed at once: nothing of it is lent any more.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {allowForDrift} from "../ownership/timing.js"
import type {BackendProbe, ListedInstance} from "../platform/ports.js"
import {applySlotStep, EMPTY_SLOTS, freeSlots} from "../routing/slotledger.js"
import type {ServerSlots, SlotLedger, SlotStep} from "../routing/slotledger.js"
import {LOAN_TERM_MS} from "../routing/timing.js"
import type {Logger} from "../core/logger.js"

export interface SlotLenderPorts {
  readonly clock: Clock
  readonly probe: BackendProbe
  readonly log: Logger
  readonly epoch: () => number | undefined
  /** Slots of one backend server of the service, as the document says. */
  readonly slotsOf: (service: string) => number | undefined
  /** The longest that a request may take. */
  readonly longestDeadline: () => Milliseconds
}

export interface Holding {
  readonly server: string
  readonly count: number
  /** Of these, slots given back although a request may still be in hand. */
  readonly doubtful: number
}

export interface LendOrder {
  readonly borrower: string
  readonly service: string
  readonly wanted: number
  readonly holdings: readonly Holding[]
  readonly sequence: number
  readonly wait: Milliseconds
}

export interface LentSlots {
  readonly server: string
  readonly address: string
  readonly dataCentre: string
  readonly count: number
}

export interface LendAnswer {
  readonly grants: readonly LentSlots[]
  readonly contended: boolean
  readonly share: number
  readonly closed: readonly string[]
}

export interface KnownLoan {
  readonly borrower: string
  readonly server: string
  readonly count: number
}

export interface SlotLender {
  /** Undefined when the request is late or this instance may not lend now. */
  readonly lend: (order: LendOrder) => Promise<LendAnswer | undefined>
  readonly reconcile: (listed: readonly ListedInstance[]) => void
  /** Takes over what the former owner, or a borrower, says is lent. */
  readonly adopt: (loans: readonly KnownLoan[], complete: boolean) => void
  readonly loans: () => readonly KnownLoan[]
  readonly idleSlots: () => number
  readonly ledger: () => SlotLedger
  readonly drain: () => void
  readonly close: () => void
}

const PROBE_INTERVAL_MS: Milliseconds = 1000
const SWEEP_MS: Milliseconds = 100
const FAILED_PROBES_TO_CLOSE = 2

/** Borrower name under which slots in doubt are handed over. */
const IN_DOUBT = ""

function loansOf(entry: ServerSlots): readonly KnownLoan[] {
  const {server, inDoubt} = entry
  const loans = [...entry.loans].map(([borrower, loan]) => ({borrower, server, count: loan.count}))
  return inDoubt > 0 ? [...loans, {borrower: IN_DOUBT, server, count: inDoubt}] : loans
}

interface Waiter {
  readonly order: LendOrder
  readonly arrivedAt: Milliseconds
  readonly resolve: (answer: LendAnswer | undefined) => void
}

/** Creates the lender for one epoch of the group. */
export function slotLender(ports: SlotLenderPorts): SlotLender {
  const {clock, log} = ports
  const sequences = new Map<string, number>()
  const failedProbes = new Map<string, number>()
  const saysLeaving = new Set<string>()
  const listedLeaving = new Set<string>()
  const probing = new Set<string>()
  const startedAt = clock.now()
  let ledger: SlotLedger = EMPTY_SLOTS
  let waiters: readonly Waiter[] = []
  let adopted = false
  let draining = false
  let closed = false

  function apply(step: SlotStep): void {
    ledger = applySlotStep(ledger, step)
  }

  /** From then on a server that is new here cannot have been lent by a former owner. */
  function loansAreKnown(): boolean {
    return adopted || clock.now() > startedAt + allowForDrift(LOAN_TERM_MS)
  }

  function mayLend(): boolean {
    return !draining && !closed && ports.epoch() !== undefined
  }

  function loanEnd(): Milliseconds {
    return clock.now() + allowForDrift(LOAN_TERM_MS)
  }

  function takeHoldings(order: LendOrder): void {
    const named = new Map(order.holdings.map(holding => [holding.server, holding.count]))
    const at = clock.now()
    for (const server of ledger.values()) {
      const known = server.loans.has(order.borrower)
      const count = named.get(server.server) ?? 0
      if (!known && count === 0) continue
      apply({type: "held", server: server.server, borrower: order.borrower, count, expiresAt: loanEnd()})
    }
    for (const {server, doubtful} of order.holdings) {
      if (doubtful === 0) continue
      const endsAt = at + ports.longestDeadline()
      apply({type: "doubted", server, borrower: order.borrower, count: doubtful, at, inDoubtUntil: endsAt})
    }
  }

  /** Servers of the service with free slots, the one with the most first. */
  function candidates(service: string): readonly ServerSlots[] {
    const now = clock.now()
    return [...ledger.values()]
      .filter(server => server.service === service && freeSlots(server, now) > 0)
      .sort(
        (one, other) => freeSlots(other, now) - freeSlots(one, now) || (one.server < other.server ? -1 : 1),
      )
  }

  /** Lends slots one by one, each from the server that has the most left. */
  function grant(order: LendOrder, wanted: number): readonly LentSlots[] {
    const grants = new Map<string, LentSlots>()
    for (let given = 0; given < wanted; given += 1) {
      const server = candidates(order.service)[0]
      if (!server) break
      apply({type: "lent", server: server.server, borrower: order.borrower, count: 1, expiresAt: loanEnd()})
      const {address, dataCentre} = server
      const count = (grants.get(server.server)?.count ?? 0) + 1
      grants.set(server.server, {server: server.server, address, dataCentre, count})
    }
    return [...grants.values()]
  }

  function borrowersOf(service: string): number {
    const names = new Set(
      waiters.filter(waiter => waiter.order.service === service).map(waiter => waiter.order.borrower),
    )
    for (const server of ledger.values()) {
      if (server.service === service) for (const borrower of server.loans.keys()) names.add(borrower)
    }
    return Math.max(1, names.size)
  }

  function answer(order: LendOrder, grants: readonly LentSlots[]): LendAnswer {
    const contended = waiters.some(
      waiter => waiter.order.service === order.service && waiter.order.borrower !== order.borrower,
    )
    let total = 0
    const shut: string[] = []
    for (const server of ledger.values()) {
      if (server.service !== order.service) continue
      if (server.open) total += server.slots
      else shut.push(server.server)
    }
    return {grants, contended, share: Math.ceil(total / borrowersOf(order.service)), closed: shut}
  }

  function serveWaiters(): void {
    const still: Waiter[] = []
    for (const waiter of waiters) {
      const {order} = waiter
      const current = sequences.get(order.borrower) === order.sequence && mayLend()
      if (!current) {
        waiter.resolve(undefined)
        continue
      }
      const others = waiters.filter(other => other.order.service === order.service).length
      const wanted = others > 1 ? 1 : order.wanted
      const grants = grant(order, wanted)
      if (grants.length > 0) waiter.resolve(answer(order, grants))
      else if (clock.now() >= waiter.arrivedAt + order.wait) waiter.resolve(answer(order, []))
      else still.push(waiter)
    }
    waiters = still
  }

  function lend(order: LendOrder): Promise<LendAnswer | undefined> {
    if (!mayLend() || order.sequence <= (sequences.get(order.borrower) ?? 0))
      return Promise.resolve(undefined)
    sequences.set(order.borrower, order.sequence)
    takeHoldings(order)
    serveWaiters()
    const firstInLine = !waiters.some(waiter => waiter.order.service === order.service)
    const grants = firstInLine ? grant(order, order.wanted) : []
    if (grants.length > 0 || order.wanted === 0 || order.wait <= 0)
      return Promise.resolve(answer(order, grants))
    return new Promise(resolve => {
      waiters = [...waiters, {order, arrivedAt: clock.now(), resolve}]
    })
  }

  function setOpen(server: string): void {
    const failed = (failedProbes.get(server) ?? 0) >= FAILED_PROBES_TO_CLOSE
    const open = !saysLeaving.has(server) && !listedLeaving.has(server) && !failed && failedProbes.has(server)
    const before = ledger.get(server)?.open
    apply({type: "server-opened", server, open, at: clock.now()})
    if (before !== undefined && before !== open)
      log.info({event: "backend-server", server, open}, "a backend server opened or closed")
  }

  async function probe(server: ServerSlots): Promise<void> {
    if (probing.has(server.server)) return
    probing.add(server.server)
    const askedAt = clock.now()
    const health = await ports.probe.health(server.address)
    probing.delete(server.server)
    if (closed) return
    if (health.isErr()) {
      failedProbes.set(server.server, (failedProbes.get(server.server) ?? 0) + 1)
    } else {
      failedProbes.set(server.server, 0)
      apply({type: "counted", server: server.server, inHand: health.value.inHand, askedAt})
      if (health.value.leaving) saysLeaving.add(server.server)
      else saysLeaving.delete(server.server)
    }
    setOpen(server.server)
    serveWaiters()
  }

  function probeAll(): void {
    if (closed) return
    for (const server of ledger.values()) void probe(server)
    const unsettled =
      clock.now() < startedAt + 2 * LOAN_TERM_MS || [...ledger.values()].some(server => server.inDoubt > 0)
    clock.after(unsettled ? PROBE_INTERVAL_MS / 4 : PROBE_INTERVAL_MS, probeAll)
  }

  function sweep(): void {
    if (closed) return
    apply({type: "expired", at: clock.now(), inDoubtUntil: clock.now() + ports.longestDeadline()})
    serveWaiters()
    clock.after(SWEEP_MS, sweep)
  }

  function reconcile(listed: readonly ListedInstance[]): void {
    const names = new Set<string>()
    for (const entry of listed) {
      const slots = ports.slotsOf(entry.service)
      if (entry.backendAddress === "" || slots === undefined) continue
      names.add(entry.name)
      const {name: server, backendAddress: address, service, dataCentre} = entry
      const known = ledger.has(server)
      const settledAt = clock.now() + allowForDrift(LOAN_TERM_MS)
      const endsAt = clock.now() + ports.longestDeadline()
      apply({
        type: "server-found",
        description: {server, address, service, dataCentre, slots},
        loansEndAt: settledAt,
        inDoubtUntil: endsAt,
      })
      if (entry.status === "leaving") listedLeaving.add(server)
      else listedLeaving.delete(server)
      if (!known && loansAreKnown())
        apply({type: "counted", server, inHand: 0, askedAt: Number.POSITIVE_INFINITY})
      if (known) setOpen(server)
      else {
        const found = ledger.get(server)
        if (found) void probe(found)
      }
    }
    for (const server of ledger.keys()) {
      if (names.has(server)) continue
      listedLeaving.add(server)
      setOpen(server)
      const entry = ledger.get(server)
      if (entry?.loans.size === 0) apply({type: "server-removed", server})
    }
  }

  sweep()
  probeAll()

  return {
    lend,
    reconcile,
    adopt(loans, complete) {
      const inDoubt = new Map<string, number>()
      for (const {server, borrower, count} of loans) {
        if (borrower === IN_DOUBT) inDoubt.set(server, count)
        else apply({type: "held", server, borrower, count, expiresAt: loanEnd()})
      }
      if (!complete) return
      adopted = true
      for (const {server} of ledger.values()) {
        apply({type: "counted", server, inHand: inDoubt.get(server) ?? 0, askedAt: Number.POSITIVE_INFINITY})
      }
      serveWaiters()
    },
    loans: () => [...ledger.values()].flatMap(loansOf),
    idleSlots: () => [...ledger.values()].reduce((sum, server) => sum + freeSlots(server, clock.now()), 0),
    ledger: () => ledger,
    drain() {
      draining = true
      serveWaiters()
    },
    close() {
      closed = true
      for (const waiter of waiters) waiter.resolve(undefined)
      waiters = []
    },
  }
}
