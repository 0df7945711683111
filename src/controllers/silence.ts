/**
 * Detects dead connections to backend servers. HTTP/1.1 has no pings, so when a request has received no byte
 * for some time, the server's health is requested on a new connection. If the server reports fewer requests
 * in progress than this instance alone has open there, the requests that have been silent longest are not
 * being processed, and their connections are dead, unless their responses are on the way or have arrived and are not
 * read yet. This is not counted as a failure of the server.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {BackendProbe} from "../platform/ports.js"

export interface SilentConnectionDetector {
  /** Watches one request. `onSilent` is called at most once, when its connection is found to be dead. */
  readonly watch: (server: string, address: string, onSilent: () => void) => WatchedRequest
  /** Number of dead connections detected so far. */
  readonly detectedCount: () => number
}

export interface WatchedRequest {
  /** Must be called whenever bytes of the response arrive. */
  readonly onBytesReceived: () => void
  readonly stop: () => void
}

/** Time without any byte after which a request counts as silent. */
export const SILENCE_TIMEOUT_MS: Milliseconds = 800
const CHECK_INTERVAL_MS: Milliseconds = 400
/** A response that the server has sent before it told of its health has this long to arrive, twice. */
const ARRIVAL_MS: Milliseconds = 50

interface WatchEntry {
  lastByteAt: Milliseconds
  readonly address: string
  readonly onSilent: () => void
}

/** Creates the detector of one entry instance. */
export function silentConnectionDetector(clock: Clock, probe: BackendProbe): SilentConnectionDetector {
  const watchedByServer = new Map<string, Set<WatchEntry>>()
  const serversBeingChecked = new Set<string>()
  let detectedCount = 0

  function silentRequests(server: string, now: Milliseconds): readonly WatchEntry[] {
    const silent = [...(watchedByServer.get(server) ?? [])].filter(
      entry => now - entry.lastByteAt >= SILENCE_TIMEOUT_MS,
    )
    return silent.sort((one, other) => one.lastByteAt - other.lastByteAt)
  }

  async function check(server: string): Promise<void> {
    const askedAt = clock.now()
    const address = silentRequests(server, askedAt)[0]?.address
    if (address === undefined) return
    const sentBefore = new Set(watchedByServer.get(server))
    const health = await probe.health(address)
    if (health.isErr()) return
    // A busy process runs expired timers before it reads sockets, so what has arrived is read after the first one.
    await sleep(clock, ARRIVAL_MS)
    await sleep(clock, ARRIVAL_MS)
    const stillOpen = [...(watchedByServer.get(server) ?? [])].filter(entry => sentBefore.has(entry))
    const deadCount = Math.max(0, stillOpen.length - health.value.inHand)
    const silent = silentRequests(server, askedAt).filter(entry => stillOpen.includes(entry))
    for (const entry of silent.slice(0, deadCount)) {
      watchedByServer.get(server)?.delete(entry)
      detectedCount += 1
      entry.onSilent()
    }
  }

  function scheduleCheck(server: string): void {
    if (serversBeingChecked.has(server)) return
    serversBeingChecked.add(server)
    clock.after(CHECK_INTERVAL_MS, () => {
      void check(server).finally(() => {
        serversBeingChecked.delete(server)
        if ((watchedByServer.get(server)?.size ?? 0) > 0) scheduleCheck(server)
      })
    })
  }

  return {
    watch(server, address, onSilent) {
      const entry: WatchEntry = {lastByteAt: clock.now(), address, onSilent}
      const serverEntries = watchedByServer.get(server) ?? new Set<WatchEntry>()
      watchedByServer.set(server, serverEntries.add(entry))
      scheduleCheck(server)
      return {
        onBytesReceived() {
          entry.lastByteAt = clock.now()
        },
        stop() {
          serverEntries.delete(entry)
        },
      }
    },
    detectedCount: () => detectedCount,
  }
}
