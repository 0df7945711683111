/**
 * Logs which workspaces go behind others because they want far more than their fair share. One line when it begins, which
 * is when it was not so for a while: shares are computed anew many times in a second.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {ExceededShare} from "./stepsharing.js"

/** A workspace that is within its share for this long and then beyond it gets another line. */
const PAUSE_MS: Milliseconds = 2000

export interface ShareLog {
  readonly record: (exceeded: readonly ExceededShare[]) => void
  /** The number of workspaces of the last pass that went behind others. */
  readonly count: () => number
}

export function createShareLog(clock: Pick<Clock, "now">, log: Logger): ShareLog {
  const lastSeen = new Map<string, Milliseconds>()
  let latest: ReadonlySet<string> = new Set()

  return {
    record(exceeded) {
      const now = clock.now()
      for (const [key, at] of lastSeen) if (now - at > PAUSE_MS) lastSeen.delete(key)
      for (const {service, priority, workspace, share, used, wanted} of exceeded) {
        const key = `${service}|${priority}|${workspace}`
        if (!lastSeen.has(key))
          log.info(
            {event: "share-exceeded", workspace, service, priority, share, used, wanted},
            "a workspace wants far more than its fair share, and goes behind others with the rest",
          )
        lastSeen.set(key, now)
      }
      latest = new Set(exceeded.map(({workspace}) => workspace))
    },
    count: () => latest.size,
  }
}
