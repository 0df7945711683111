/**
 * Lends the request slots of the backend servers of one worker group to entry instances (the borrowers), for a
 * short term that they renew. It probes each server for its health and its number of requests in progress. A server
 * that is leaving, as it reports itself or as the instance list says, is closed at once: none of its slots is lent
 * any more.
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
  /** The epoch under which this instance may lend now; undefined when it may not. */
  readonly epoch: () => number | undefined
  /** Number of slots of each backend server of the service, from the document in force. */
  readonly slotsOf: (service: string) => number | undefined
  /** The longest that a request may take. */
  readonly longestDeadline: () => Milliseconds
}

/** Slots of one server that a borrower reports to hold. */
export interface Holding {
  readonly server: string
  readonly count: number
  /** Of these, the slots that are returned in doubt: a request may still be in progress at the server. */
  readonly doubtful: number
}

/** A borrower's request to renew its holdings and to borrow further slots. */
export interface LendOrder {
  readonly borrower: string
  readonly service: string
  readonly wanted: number
  readonly holdings: readonly Holding[]
  /** Increases with each request of a borrower, so that delayed ones are recognised. */
  readonly sequence: number
  /** How long the request may wait for a free slot. */
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
  /** True when other borrowers wait for slots of the service. */
  readonly contended: boolean
  /** Slots that one borrower may keep while others wait. */
  readonly share: number
  /** Servers whose slots are not lent any more. */
  readonly closed: readonly string[]
}

export interface KnownLoan {
  readonly borrower: string
  readonly server: string
  readonly count: number
}

export interface SlotLender {
  /** Resolves to undefined when a newer request superseded this one, or this instance may not lend now. */
  readonly lend: (order: LendOrder) => Promise<LendAnswer | undefined>
  readonly reconcile: (listed: readonly ListedInstance[]) => void
  /** Records loans that the former owner or a borrower reports. `complete` means that there are no others. */
  readonly adopt: (loans: readonly KnownLoan[], complete: boolean) => void
  readonly loans: () => readonly KnownLoan[]
  readonly idleSlots: () => number
  readonly ledger: () => SlotLedger
  readonly drain: () => void
  readonly close: () => void
}

const PROBE_INTERVAL_MS: Milliseconds = 1000
const SWEEP_INTERVAL_MS: Milliseconds = 100
const FAILED_PROBES_TO_CLOSE = 2

/** Stands for the borrower of in-doubt slots when loans are handed over to the next owner. */
const IN_DOUBT_BORROWER = ""

function loansOf(entry: ServerSlots): readonly KnownLoan[] {
  const {server, inDoubt} = entry
  const loans = [...entry.loans].map(([borrower, loan]) => ({borrower, server, count: loan.count}))
  return inDoubt > 0 ? [...loans, {borrower: IN_DOUBT_BORROWER, server, count: inDoubt}] : loans
}

interface WaitingOrder {
  readonly order: LendOrder
  readonly arrivedAt: Milliseconds
  readonly resolve: (answer: LendAnswer | undefined) => void
}

/** Creates the lender for one epoch of the group. */
export function slotLender(ports: SlotLenderPorts): SlotLender {
  const {clock, log} = ports
  const lastSequences = new Map<string, number>()
  const failedProbes = new Map<string, number>()
  const reportedLeaving = new Set<string>()
  const listedLeaving = new Set<string>()
  const probesInFlight = new Set<string>()
  const startedAt = clock.now()
  let ledger: SlotLedger = EMPTY_SLOTS
  let waitingOrders: readonly WaitingOrder[] = []
  let loansAdopted = false
  let draining = false
  let closed = false

  function apply(step: SlotStep): void {
    ledger = applySlotStep(ledger, step)
  }

  /**
   * True when all loans of former owners were handed over or have expired, so that the slots of a newly listed
   * server cannot be on loan from a former owner.
   */
  function areLoansKnown(): boolean {
    return loansAdopted || clock.now() > startedAt + allowForDrift(LOAN_TERM_MS)
  }

  function mayLend(): boolean {
    return !draining && !closed && ports.epoch() !== undefined
  }

  function loanExpiry(): Milliseconds {
    return clock.now() + allowForDrift(LOAN_TERM_MS)
  }

  /** Sets the borrower's loans to the holdings that it reports, and records those that are in doubt. */
  function recordHoldings(order: LendOrder): void {
    const heldCounts = new Map(order.holdings.map(holding => [holding.server, holding.count]))
    const at = clock.now()
    for (const server of ledger.values()) {
      const hasLoan = server.loans.has(order.borrower)
      const count = heldCounts.get(server.server) ?? 0
      if (!hasLoan && count === 0) continue
      apply({type: "held", server: server.server, borrower: order.borrower, count, expiresAt: loanExpiry()})
    }
    for (const {server, doubtful} of order.holdings) {
      if (doubtful === 0) continue
      const endsAt = at + ports.longestDeadline()
      apply({type: "doubted", server, borrower: order.borrower, count: doubtful, at, inDoubtUntil: endsAt})
    }
  }

  /** Servers of the service with free slots, in descending order of free slots. */
  function lendableServers(service: string): readonly ServerSlots[] {
    const now = clock.now()
    return [...ledger.values()]
      .filter(server => server.service === service && freeSlots(server, now) > 0)
      .sort(
        (one, other) => freeSlots(other, now) - freeSlots(one, now) || (one.server < other.server ? -1 : 1),
      )
  }

  /** Lends slots one at a time, each from the server with the most free slots at that point. */
  function grant(order: LendOrder, wanted: number): readonly LentSlots[] {
    const grants = new Map<string, LentSlots>()
    for (let given = 0; given < wanted; given += 1) {
      const server = lendableServers(order.service)[0]
      if (!server) break
      apply({
        type: "lent",
        server: server.server,
        borrower: order.borrower,
        count: 1,
        expiresAt: loanExpiry(),
      })
      const {address, dataCentre} = server
      const count = (grants.get(server.server)?.count ?? 0) + 1
      grants.set(server.server, {server: server.server, address, dataCentre, count})
    }
    return [...grants.values()]
  }

  /** Number of borrowers that hold or wait for slots of the service, at least 1. */
  function borrowersOf(service: string): number {
    const names = new Set(
      waitingOrders
        .filter(waiting => waiting.order.service === service)
        .map(waiting => waiting.order.borrower),
    )
    for (const server of ledger.values()) {
      if (server.service === service) for (const borrower of server.loans.keys()) names.add(borrower)
    }
    return Math.max(1, names.size)
  }

  function createAnswer(order: LendOrder, grants: readonly LentSlots[]): LendAnswer {
    const contended = waitingOrders.some(
      waiting => waiting.order.service === order.service && waiting.order.borrower !== order.borrower,
    )
    let totalSlots = 0
    const closedServers: string[] = []
    for (const server of ledger.values()) {
      if (server.service !== order.service) continue
      if (server.open) totalSlots += server.slots
      else closedServers.push(server.server)
    }
    return {
      grants,
      contended,
      share: Math.ceil(totalSlots / borrowersOf(order.service)),
      closed: closedServers,
    }
  }

  /** Answers waiting orders for which slots are free. While several wait for a service, each gets one slot at most. */
  function serveWaitingOrders(): void {
    const stillWaiting: WaitingOrder[] = []
    for (const waiting of waitingOrders) {
      const {order} = waiting
      const isCurrent = lastSequences.get(order.borrower) === order.sequence && mayLend()
      if (!isCurrent) {
        waiting.resolve(undefined)
        continue
      }
      const ordersForService = waitingOrders.filter(other => other.order.service === order.service).length
      const wanted = ordersForService > 1 ? 1 : order.wanted
      const grants = grant(order, wanted)
      if (grants.length > 0) waiting.resolve(createAnswer(order, grants))
      else if (clock.now() >= waiting.arrivedAt + order.wait) waiting.resolve(createAnswer(order, []))
      else stillWaiting.push(waiting)
    }
    waitingOrders = stillWaiting
  }

  function lend(order: LendOrder): Promise<LendAnswer | undefined> {
    if (!mayLend() || order.sequence <= (lastSequences.get(order.borrower) ?? 0))
      return Promise.resolve(undefined)
    lastSequences.set(order.borrower, order.sequence)
    recordHoldings(order)
    serveWaitingOrders()
    const isFirstInQueue = !waitingOrders.some(waiting => waiting.order.service === order.service)
    const grants = isFirstInQueue ? grant(order, order.wanted) : []
    if (grants.length > 0 || order.wanted === 0 || order.wait <= 0)
      return Promise.resolve(createAnswer(order, grants))
    return new Promise(resolve => {
      waitingOrders = [...waitingOrders, {order, arrivedAt: clock.now(), resolve}]
    })
  }

  /** A server is open from its first probe on, unless it is leaving or its last probes failed. */
  function setOpen(server: string): void {
    const failed = (failedProbes.get(server) ?? 0) >= FAILED_PROBES_TO_CLOSE
    const open =
      !reportedLeaving.has(server) && !listedLeaving.has(server) && !failed && failedProbes.has(server)
    const wasOpen = ledger.get(server)?.open
    apply({type: "server-opened", server, open, at: clock.now()})
    if (wasOpen !== undefined && wasOpen !== open)
      log.info({event: "backend-server", server, open}, "a backend server was opened or closed for loans")
  }

  async function probe(server: ServerSlots): Promise<void> {
    if (probesInFlight.has(server.server)) return
    probesInFlight.add(server.server)
    const askedAt = clock.now()
    const health = await ports.probe.health(server.address)
    probesInFlight.delete(server.server)
    if (closed) return
    if (health.isErr()) {
      failedProbes.set(server.server, (failedProbes.get(server.server) ?? 0) + 1)
    } else {
      failedProbes.set(server.server, 0)
      apply({type: "counted", server: server.server, inHand: health.value.inHand, askedAt})
      if (health.value.leaving) reportedLeaving.add(server.server)
      else reportedLeaving.delete(server.server)
    }
    setOpen(server.server)
    serveWaitingOrders()
  }

  /** Probes all servers; four times as often in the first two loan terms and while slots are in doubt. */
  function probeAll(): void {
    if (closed) return
    for (const server of ledger.values()) void probe(server)
    const isSettling =
      clock.now() < startedAt + 2 * LOAN_TERM_MS || [...ledger.values()].some(server => server.inDoubt > 0)
    clock.after(isSettling ? PROBE_INTERVAL_MS / 4 : PROBE_INTERVAL_MS, probeAll)
  }

  function sweep(): void {
    if (closed) return
    apply({type: "expired", at: clock.now(), inDoubtUntil: clock.now() + ports.longestDeadline()})
    serveWaitingOrders()
    clock.after(SWEEP_INTERVAL_MS, sweep)
  }

  function reconcile(listed: readonly ListedInstance[]): void {
    const names = new Set<string>()
    for (const entry of listed) {
      const slots = ports.slotsOf(entry.service)
      if (entry.backendAddress === "" || slots === undefined) continue
      names.add(entry.name)
      const {name: server, backendAddress: address, service, dataCentre} = entry
      const isKnown = ledger.has(server)
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
      if (!isKnown && areLoansKnown())
        apply({type: "counted", server, inHand: 0, askedAt: Number.POSITIVE_INFINITY})
      if (isKnown) setOpen(server)
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
        if (borrower === IN_DOUBT_BORROWER) inDoubt.set(server, count)
        else apply({type: "held", server, borrower, count, expiresAt: loanExpiry()})
      }
      if (!complete) return
      loansAdopted = true
      for (const {server} of ledger.values()) {
        apply({type: "counted", server, inHand: inDoubt.get(server) ?? 0, askedAt: Number.POSITIVE_INFINITY})
      }
      serveWaitingOrders()
    },
    loans: () => [...ledger.values()].flatMap(loansOf),
    idleSlots: () => [...ledger.values()].reduce((sum, server) => sum + freeSlots(server, clock.now()), 0),
    ledger: () => ledger,
    drain() {
      draining = true
      serveWaitingOrders()
    },
    close() {
      closed = true
      for (const waiting of waitingOrders) waiting.resolve(undefined)
      waitingOrders = []
    },
  }
}
