/**
 * Ledger in which the owner of a worker group accounts for the request slots of its backend servers: an immutable
 * value changed by steps. A slot allows one concurrent request. It is free, lent to an entry instance (the borrower)
 * until the loan expires, or in doubt: its borrower is gone or gave it back, and the server may still be processing
 * a request on it. In-doubt slots are lent again only once the server's own count of requests, or the longest
 * deadline, proves that they are free.
 */
import type {Milliseconds} from "../core/clock.js"

/** Slots of a server lent to one borrower. */
export interface Loan {
  readonly count: number
  readonly expiresAt: Milliseconds
}

export interface ServerSlots {
  readonly server: string
  readonly address: string
  readonly service: string
  readonly dataCentre: string
  readonly slots: number
  /** True if the server accepts requests. */
  readonly open: boolean
  /** Instant at which the server last opened. Its slots become available gradually during the warm-up after it. */
  readonly openedAt: Milliseconds
  /** Loans by borrower. */
  readonly loans: ReadonlyMap<string, Loan>
  /** Number of in-doubt slots. */
  readonly inDoubt: number
  /** Instant at which the loans of all in-doubt slots have ended: no borrower starts a request on them after it. */
  readonly inDoubtLoansEndAt: Milliseconds
  /** Instant at which in-doubt slots become free whatever the server reports: every request on them has timed out. */
  readonly inDoubtUntil: Milliseconds
}

export type SlotLedger = ReadonlyMap<string, ServerSlots>

export interface ServerDescription {
  readonly server: string
  readonly address: string
  readonly service: string
  readonly dataCentre: string
  readonly slots: number
}

export type SlotStep =
  /** A server was listed. If it is new, its earlier loans are not known, and all its slots are in doubt. */
  | {
      readonly type: "server-found"
      readonly description: ServerDescription
      readonly loansEndAt: Milliseconds
      readonly inDoubtUntil: Milliseconds
    }
  | {readonly type: "server-removed"; readonly server: string}
  /** A server started or stopped accepting requests. */
  | {
      readonly type: "server-opened"
      readonly server: string
      readonly open: boolean
      readonly at: Milliseconds
    }
  /** A borrower reported how many slots of a server it holds. */
  | {
      readonly type: "held"
      readonly server: string
      readonly borrower: string
      readonly count: number
      readonly expiresAt: Milliseconds
    }
  /** Free slots were lent in addition to those the borrower has. */
  | {
      readonly type: "lent"
      readonly server: string
      readonly borrower: string
      readonly count: number
      readonly expiresAt: Milliseconds
    }
  /** A borrower gave slots back although the server may still be processing requests on them. */
  | {
      readonly type: "doubted"
      readonly server: string
      readonly borrower: string
      readonly count: number
      readonly at: Milliseconds
      readonly inDoubtUntil: Milliseconds
    }
  /** Ends the loans, and the doubt about slots, whose time is over. */
  | {readonly type: "expired"; readonly at: Milliseconds; readonly inDoubtUntil: Milliseconds}
  /** The server reported `inHand` requests in progress, in answer to a query sent at `askedAt`. */
  | {
      readonly type: "counted"
      readonly server: string
      readonly inHand: number
      readonly askedAt: Milliseconds
    }

export const EMPTY_SLOTS: SlotLedger = new Map()

/** Time over which the slots of a server that has just opened become available. */
export const WARM_UP_MS: Milliseconds = 3000

function lentCount(server: ServerSlots): number {
  let sum = 0
  for (const loan of server.loans.values()) sum += loan.count
  return sum
}

/** Number of slots that may be lent now. */
export function freeSlots(server: ServerSlots, now: Milliseconds): number {
  if (!server.open) return 0
  const warmUpShare = Math.min(1, (now - server.openedAt) / WARM_UP_MS)
  const usable = Math.max(1, Math.floor(server.slots * warmUpShare))
  return Math.max(0, usable - lentCount(server) - server.inDoubt)
}

function newServer(server: ServerDescription, step: Extract<SlotStep, {type: "server-found"}>): ServerSlots {
  return {
    ...server,
    open: false,
    openedAt: Number.NEGATIVE_INFINITY,
    loans: new Map(),
    inDoubt: server.slots,
    inDoubtLoansEndAt: step.loansEndAt,
    inDoubtUntil: step.inDoubtUntil,
  }
}

function withLoan(server: ServerSlots, borrower: string, loan: Loan): ServerSlots {
  const loans = new Map(server.loans)
  if (loan.count > 0) loans.set(borrower, loan)
  else loans.delete(borrower)
  return {...server, loans}
}

/** A borrower may report fewer slots than it was lent. More than that can only be slots that are in doubt here. */
function applyReportedLoan(
  server: ServerSlots,
  borrower: string,
  count: number,
  expiresAt: Milliseconds,
): ServerSlots {
  const known = server.loans.get(borrower)?.count ?? 0
  const regained = Math.max(0, Math.min(count - known, server.inDoubt))
  const held = Math.min(count, known + regained)
  return {...withLoan(server, borrower, {count: held, expiresAt}), inDoubt: server.inDoubt - regained}
}

function lend(server: ServerSlots, step: Extract<SlotStep, {type: "lent"}>): ServerSlots {
  const known = server.loans.get(step.borrower)?.count ?? 0
  if (lentCount(server) + server.inDoubt + step.count > server.slots) {
    throw new RangeError(`Backend server ${server.server} has fewer than ${step.count} free slots to lend.`)
  }
  return withLoan(server, step.borrower, {count: known + step.count, expiresAt: step.expiresAt})
}

function expire(server: ServerSlots, at: Milliseconds, endsAt: Milliseconds): ServerSlots {
  let inDoubt = server.inDoubtUntil <= at ? 0 : server.inDoubt
  let expiredSlots = 0
  const loans = new Map(server.loans)
  for (const [borrower, loan] of server.loans) {
    if (loan.expiresAt > at) continue
    loans.delete(borrower)
    expiredSlots += loan.count
  }
  if (expiredSlots === 0 && inDoubt === server.inDoubt) return server
  if (expiredSlots === 0) return {...server, inDoubt}
  inDoubt += expiredSlots
  return {
    ...server,
    loans,
    inDoubt,
    inDoubtLoansEndAt: Math.max(server.inDoubtLoansEndAt, at),
    inDoubtUntil: endsAt,
  }
}

function markInDoubt(server: ServerSlots, step: Extract<SlotStep, {type: "doubted"}>): ServerSlots {
  const loan = server.loans.get(step.borrower)
  if (!loan) return server
  const returned = Math.min(step.count, loan.count)
  const rest = withLoan(server, step.borrower, {...loan, count: loan.count - returned})
  return {
    ...rest,
    inDoubt: rest.inDoubt + returned,
    inDoubtLoansEndAt: Math.max(rest.inDoubtLoansEndAt, step.at),
    inDoubtUntil: step.inDoubtUntil,
  }
}

function applyServerCount(server: ServerSlots, inHand: number, askedAt: Milliseconds): ServerSlots {
  if (askedAt < server.inDoubtLoansEndAt || server.inDoubt <= inHand) return server
  return {...server, inDoubt: inHand}
}

function updateServer(
  ledger: SlotLedger,
  name: string,
  change: (server: ServerSlots) => ServerSlots,
): SlotLedger {
  const server = ledger.get(name)
  if (!server) return ledger
  const next = change(server)
  return next === server ? ledger : new Map(ledger).set(name, next)
}

/** Applies one step and returns the new value. */
export function applySlotStep(ledger: SlotLedger, step: SlotStep): SlotLedger {
  switch (step.type) {
    case "server-found": {
      const known = ledger.get(step.description.server)
      const server = known ? {...known, ...step.description} : newServer(step.description, step)
      return new Map(ledger).set(server.server, server)
    }
    case "server-removed": {
      const copy = new Map(ledger)
      copy.delete(step.server)
      return copy
    }
    case "server-opened":
      return updateServer(ledger, step.server, server =>
        server.open === step.open
          ? server
          : {...server, open: step.open, openedAt: step.open ? step.at : server.openedAt},
      )
    case "held":
      return updateServer(ledger, step.server, server =>
        applyReportedLoan(server, step.borrower, step.count, step.expiresAt),
      )
    case "lent":
      return updateServer(ledger, step.server, server => lend(server, step))
    case "doubted":
      return updateServer(ledger, step.server, server => markInDoubt(server, step))
    case "counted":
      return updateServer(ledger, step.server, server => applyServerCount(server, step.inHand, step.askedAt))
    case "expired": {
      const copy = new Map(ledger)
      for (const [name, server] of ledger) copy.set(name, expire(server, step.at, step.inDoubtUntil))
      return copy
    }
  }
}
