/**
 * The request slots of the backend servers of one worker group, as their owner lends them: an immutable value
 * changed by steps. A slot is free, lent to one entry instance until a term ends, or in doubt: whoever held it is
 * gone, and a request may still be in hand at the server. In-doubt slots are lent again only when the server's own
 * count, or the longest deadline, proves them free.
 */
import type {Milliseconds} from "../core/clock.js"

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
  readonly open: boolean
  /** Instant since which the server has been open; a new one is given its slots little by little. */
  readonly openedAt: Milliseconds
  /** Borrower to its loan. */
  readonly loans: ReadonlyMap<string, Loan>
  readonly inDoubt: number
  /** Instant after which no borrower can start a request on an in-doubt slot any more. */
  readonly doubtSettledAt: Milliseconds
  /** Instant after which an in-doubt slot is free whatever the server says. */
  readonly doubtEndsAt: Milliseconds
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
  /** A server whose earlier loans are not known: all its slots are in doubt. */
  | {
      readonly type: "server-found"
      readonly description: ServerDescription
      readonly settledAt: Milliseconds
      readonly endsAt: Milliseconds
    }
  | {readonly type: "server-removed"; readonly server: string}
  | {
      readonly type: "server-opened"
      readonly server: string
      readonly open: boolean
      readonly at: Milliseconds
    }
  /** What a borrower says it holds of a server. */
  | {
      readonly type: "held"
      readonly server: string
      readonly borrower: string
      readonly count: number
      readonly expiresAt: Milliseconds
    }
  | {
      readonly type: "lent"
      readonly server: string
      readonly borrower: string
      readonly count: number
      readonly expiresAt: Milliseconds
    }
  /** A borrower gives slots back although requests may still be in hand at the server. */
  | {
      readonly type: "doubted"
      readonly server: string
      readonly borrower: string
      readonly count: number
      readonly at: Milliseconds
      readonly endsAt: Milliseconds
    }
  | {readonly type: "expired"; readonly at: Milliseconds; readonly endsAt: Milliseconds}
  /** The server's own count of requests in hand, asked for after the instant given. */
  | {
      readonly type: "counted"
      readonly server: string
      readonly inHand: number
      readonly askedAt: Milliseconds
    }

export const EMPTY_SLOTS: SlotLedger = new Map()

/** Span over which a server that has just opened is given its slots. */
export const WARM_UP_MS: Milliseconds = 3000

function lentCount(server: ServerSlots): number {
  let sum = 0
  for (const loan of server.loans.values()) sum += loan.count
  return sum
}

/** Slots that may be lent now. */
export function freeSlots(server: ServerSlots, now: Milliseconds): number {
  if (!server.open) return 0
  const warmth = Math.min(1, (now - server.openedAt) / WARM_UP_MS)
  const usable = Math.max(1, Math.floor(server.slots * warmth))
  return Math.max(0, usable - lentCount(server) - server.inDoubt)
}

function find(server: ServerDescription, step: Extract<SlotStep, {type: "server-found"}>): ServerSlots {
  return {
    ...server,
    open: false,
    openedAt: Number.NEGATIVE_INFINITY,
    loans: new Map(),
    inDoubt: server.slots,
    doubtSettledAt: step.settledAt,
    doubtEndsAt: step.endsAt,
  }
}

function withLoan(server: ServerSlots, borrower: string, loan: Loan): ServerSlots {
  const loans = new Map(server.loans)
  if (loan.count > 0) loans.set(borrower, loan)
  else loans.delete(borrower)
  return {...server, loans}
}

/** A borrower may name fewer slots than it was lent. More than that can only come out of the slots in doubt. */
function hold(server: ServerSlots, borrower: string, count: number, expiresAt: Milliseconds): ServerSlots {
  const known = server.loans.get(borrower)?.count ?? 0
  const regained = Math.max(0, Math.min(count - known, server.inDoubt))
  const held = Math.min(count, known + regained)
  return {...withLoan(server, borrower, {count: held, expiresAt}), inDoubt: server.inDoubt - regained}
}

function lend(server: ServerSlots, step: Extract<SlotStep, {type: "lent"}>): ServerSlots {
  const known = server.loans.get(step.borrower)?.count ?? 0
  if (lentCount(server) + server.inDoubt + step.count > server.slots) {
    throw new RangeError(`The server ${server.server} has no ${step.count} slots left to lend.`)
  }
  return withLoan(server, step.borrower, {count: known + step.count, expiresAt: step.expiresAt})
}

function expire(server: ServerSlots, at: Milliseconds, endsAt: Milliseconds): ServerSlots {
  let inDoubt = server.doubtEndsAt <= at ? 0 : server.inDoubt
  let lapsed = 0
  const loans = new Map(server.loans)
  for (const [borrower, loan] of server.loans) {
    if (loan.expiresAt > at) continue
    loans.delete(borrower)
    lapsed += loan.count
  }
  if (lapsed === 0 && inDoubt === server.inDoubt) return server
  if (lapsed === 0) return {...server, inDoubt}
  inDoubt += lapsed
  return {...server, loans, inDoubt, doubtSettledAt: Math.max(server.doubtSettledAt, at), doubtEndsAt: endsAt}
}

function doubt(server: ServerSlots, step: Extract<SlotStep, {type: "doubted"}>): ServerSlots {
  const loan = server.loans.get(step.borrower)
  if (!loan) return server
  const moved = Math.min(step.count, loan.count)
  const rest = withLoan(server, step.borrower, {...loan, count: loan.count - moved})
  return {
    ...rest,
    inDoubt: rest.inDoubt + moved,
    doubtSettledAt: Math.max(rest.doubtSettledAt, step.at),
    doubtEndsAt: step.endsAt,
  }
}

function count(server: ServerSlots, inHand: number, askedAt: Milliseconds): ServerSlots {
  if (askedAt < server.doubtSettledAt || server.inDoubt <= inHand) return server
  return {...server, inDoubt: inHand}
}

function changeServer(
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
      const server = known ? {...known, ...step.description} : find(step.description, step)
      return new Map(ledger).set(server.server, server)
    }
    case "server-removed": {
      const copy = new Map(ledger)
      copy.delete(step.server)
      return copy
    }
    case "server-opened":
      return changeServer(ledger, step.server, server =>
        server.open === step.open
          ? server
          : {...server, open: step.open, openedAt: step.open ? step.at : server.openedAt},
      )
    case "held":
      return changeServer(ledger, step.server, server =>
        hold(server, step.borrower, step.count, step.expiresAt),
      )
    case "lent":
      return changeServer(ledger, step.server, server => lend(server, step))
    case "doubted":
      return changeServer(ledger, step.server, server => doubt(server, step))
    case "counted":
      return changeServer(ledger, step.server, server => count(server, step.inHand, step.askedAt))
    case "expired": {
      const copy = new Map(ledger)
      for (const [name, server] of ledger) copy.set(name, expire(server, step.at, step.endsAt))
      return copy
    }
  }
}
