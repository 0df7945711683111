/**
 * The filter chain that handles a caller's request to a service. Each filter has one concern: it sets fields of the
 * exchange and calls the next filter, or answers the request itself.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Milliseconds} from "../core/clock.js"
import type {KeptAnswer} from "../routing/keyregistry.js"
import type {Execution} from "./problems.js"

/** State of one request in the chain. Filters set the fields that later filters use. */
export interface Exchange {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly service: string
  /** Path and query to request from the backend server. */
  readonly path: string
  readonly method: string
  readonly caller: string
  readonly startedAt: Milliseconds
  /** Aborted when the caller's connection closes before the answer is complete. */
  readonly callerClosed: AbortSignal
  id: string
  deadlineAt: Milliseconds
  urgency: number
  body: Buffer
  team: string
  /** Whether the work has run, as the answer states it; recorded in metrics and in the log. */
  execution: Execution | undefined
  attempts: number
  /** For the log: why the request did not run or has no known outcome. */
  detail: string
  /** True if the answer must be stored for repeated requests with the same idempotency key. */
  mustKeepAnswer: boolean
  keptAnswer: KeptAnswer | undefined
}

export type Filter = (exchange: Exchange, next: () => Promise<void>) => Promise<void>

/** Composes filters into one handler. The last filter must answer. */
export function chain(filters: readonly Filter[]): (exchange: Exchange) => Promise<void> {
  return exchange => {
    const run = (index: number): Promise<void> => {
      const filter = filters[index]
      return filter ? filter(exchange, () => run(index + 1)) : Promise.resolve()
    }
    return run(0)
  }
}
