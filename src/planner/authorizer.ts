/**
 * Checks the callers of this instance: when a call comes in and again before it is answered. Refusals are counted, and
 * logged at most once a second for each reason. Keys are neither logged nor kept.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {withTimeout} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import {authorize, confirmationLimits, createKeyTable} from "../pipelines/callers.js"
import type {Authorization, KeyTable} from "../pipelines/callers.js"
import type {FleetConfiguration, Queue} from "../pipelines/model.js"

export interface Authorizer {
  /** Checks a call that has come in. Without a key, `key` is empty. */
  readonly check: (queue: Queue, key: string) => Authorization
  /**
   * Checks an allowed call again before its answer is given. If the configuration has not been confirmed for too long, a
   * new confirmation is awaited for a moment, since the answer may have waited for the same outage to end.
   */
  readonly checkAgain: (queue: Queue, key: string) => Promise<Authorization>
  /** True while the instance serves calls with keys, if there are any. */
  readonly isConfirmed: () => boolean
  readonly counts: () => Readonly<Record<string, number>>
}

export interface AuthorizerPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly configuration: () => FleetConfiguration | undefined
  /** Time since the configuration was last known to be the newest. */
  readonly age: () => Milliseconds
  /** Asks the store for the newest configuration, unless it is being asked. */
  readonly refresh: () => Promise<void>
  readonly withdrawalLimit: Milliseconds
}

const LOG_INTERVAL_MS: Milliseconds = 1000
/** A slow but working store answers within 0.35 s. */
const REFRESH_TIMEOUT_MS: Milliseconds = 400
/** Upper bound of the age in log lines and metrics, for an instance that has no confirmation at all. */
const MAX_SHOWN_AGE_MS: Milliseconds = 1e6

type RefusalReason = "unknown-key" | "unconfirmed" | "withdrawn-meanwhile"

export function createAuthorizer(ports: AuthorizerPorts): Authorizer {
  const {clock, log, configuration, age} = ports
  const limits = confirmationLimits(ports.withdrawalLimit)
  const refusals: Record<RefusalReason, number> = {
    "unknown-key": 0,
    unconfirmed: 0,
    "withdrawn-meanwhile": 0,
  }
  const loggedAt = new Map<RefusalReason, Milliseconds>()
  let table: {readonly version: number; readonly keys: KeyTable} | undefined

  function workspaceOf(key: string): string | undefined {
    const current = configuration()
    if (!current || key === "") return undefined
    if (table?.version !== current.version)
      table = {version: current.version, keys: createKeyTable(current.workspaces)}
    return table.keys.workspaceOf(key)
  }

  function shownAge(): Milliseconds {
    return Math.round(Math.min(age(), MAX_SHOWN_AGE_MS))
  }

  function recordRefusal(queue: Queue, reason: RefusalReason): void {
    refusals[reason] += 1
    if (clock.now() - (loggedAt.get(reason) ?? -Infinity) < LOG_INTERVAL_MS) return
    loggedAt.set(reason, clock.now())
    const version = configuration()?.version ?? 0
    log.info(
      {event: "call-refused", queue: queue.name, reason, age: shownAge(), version, total: refusals[reason]},
      "call refused because of its key",
    )
  }

  function decide(queue: Queue, key: string): Authorization {
    return authorize(queue, workspaceOf(key), age(), limits)
  }

  return {
    check(queue, key) {
      const authorization = decide(queue, key)
      if (authorization.type === "refused") recordRefusal(queue, authorization.reason)
      return authorization
    },
    async checkAgain(queue, key) {
      let authorization = decide(queue, key)
      if (authorization.type === "refused" && authorization.reason === "unconfirmed") {
        await withTimeout(clock, ports.refresh(), REFRESH_TIMEOUT_MS, undefined)
        authorization = decide(queue, key)
      }
      if (authorization.type === "refused")
        recordRefusal(
          queue,
          authorization.reason === "unknown-key" ? "withdrawn-meanwhile" : authorization.reason,
        )
      return authorization
    },
    isConfirmed: () => (configuration()?.workspaces.length ?? 0) === 0 || age() <= limits.serving,
    counts: () => ({
      configuration_version: configuration()?.version ?? 0,
      configuration_age_ms: shownAge(),
      keyed_refused_unknown: refusals["unknown-key"],
      keyed_refused_unconfirmed: refusals.unconfirmed,
      keyed_refused_withdrawn: refusals["withdrawn-meanwhile"],
    }),
  }
}
