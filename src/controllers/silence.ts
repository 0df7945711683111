/**
 * Finds connections to backend servers that have gone silent. HTTP/1.1 has no pings, so a request without any byte
 * of an answer is checked on a new connection: when the server says that it has fewer requests in hand than this
 * instance alone has sent it, the requests that have been silent longest are not in its hand, and their connections
 * are dead. The server is not blamed for that.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {BackendProbe} from "../platform/ports.js"

export interface SilenceWatch {
  /** Watches one request. `onSilent` is called at most once. */
  readonly watch: (server: string, address: string, onSilent: () => void) => WatchedRequest
  readonly found: () => number
}

export interface WatchedRequest {
  /** A byte of the answer has come. */
  readonly heard: () => void
  readonly done: () => void
}

export const SILENCE_MS: Milliseconds = 800
const CHECK_INTERVAL_MS: Milliseconds = 400

interface Watched {
  heardAt: Milliseconds
  readonly address: string
  readonly onSilent: () => void
}

/** Creates the watch of one entry instance. */
export function silenceWatch(clock: Clock, probe: BackendProbe): SilenceWatch {
  const servers = new Map<string, Set<Watched>>()
  const checking = new Set<string>()
  let found = 0

  function silentOf(server: string, at: Milliseconds): readonly Watched[] {
    const watched = [...(servers.get(server) ?? [])].filter(entry => at - entry.heardAt >= SILENCE_MS)
    return watched.sort((one, other) => one.heardAt - other.heardAt)
  }

  async function check(server: string): Promise<void> {
    const askedAt = clock.now()
    const address = silentOf(server, askedAt)[0]?.address
    if (address === undefined) return
    const before = new Set(servers.get(server))
    const health = await probe.health(address)
    if (health.isErr()) return
    const still = [...(servers.get(server) ?? [])].filter(entry => before.has(entry))
    const dead = Math.max(0, still.length - health.value.inHand)
    const silent = silentOf(server, askedAt).filter(entry => still.includes(entry))
    for (const entry of silent.slice(0, dead)) {
      servers.get(server)?.delete(entry)
      found += 1
      entry.onSilent()
    }
  }

  function schedule(server: string): void {
    if (checking.has(server)) return
    checking.add(server)
    clock.after(CHECK_INTERVAL_MS, () => {
      void check(server).finally(() => {
        checking.delete(server)
        if ((servers.get(server)?.size ?? 0) > 0) schedule(server)
      })
    })
  }

  return {
    watch(server, address, onSilent) {
      const entry: Watched = {heardAt: clock.now(), address, onSilent}
      const set = servers.get(server) ?? new Set<Watched>()
      servers.set(server, set.add(entry))
      schedule(server)
      return {
        heard() {
          entry.heardAt = clock.now()
        },
        done() {
          set.delete(entry)
        },
      }
    },
    found: () => found,
  }
}
