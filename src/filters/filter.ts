/**
 * The chain that a caller's request passes through. Each filter does one thing: it completes the exchange, answers
 * it, or passes it on to the next.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Milliseconds} from "../core/clock.js"
import type {KeptAnswer} from "../routing/keyregistry.js"
import type {Execution} from "./answers.js"

/** A caller's request on its way. Filters fill in what later ones need. */
export interface Exchange {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly service: string
  /** Path and query for the backend server. */
  readonly path: string
  readonly method: string
  readonly caller: string
  readonly startedAt: Milliseconds
  /** Ends when the caller has gone. */
  readonly gone: AbortSignal
  id: string
  deadlineAt: Milliseconds
  urgency: number
  body: Buffer
  team: string
  /** What the answer said of the work, for the log. */
  execution: Execution | undefined
  attempts: number
  /** Why the request did not run or has no known outcome, for the log. */
  detail: string
  /** True when the answer must be kept for a repeated idempotency key. */
  keepAnswer: boolean
  keptAnswer: KeptAnswer | undefined
}

export type Filter = (exchange: Exchange, next: () => Promise<void>) => Promise<void>

/** Joins filters into one. The last filter must answer. */
export function chain(filters: readonly Filter[]): (exchange: Exchange) => Promise<void> {
  return exchange => {
    const run = (index: number): Promise<void> => {
      const filter = filters[index]
      return filter ? filter(exchange, () => run(index + 1)) : Promise.resolve()
    }
    return run(0)
  }
}
