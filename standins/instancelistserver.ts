/** The stand-in of the platform's instance list: it shows changes only after a lag. */
import type {Clock, Milliseconds} from "../src/core/clock.js"
import type {ListedInstance} from "../src/platform/ports.js"
import {serveJson} from "./jsonserver.js"
import type {JsonServer} from "./jsonserver.js"

export interface InstanceListCore {
  readonly put: (entry: ListedInstance) => void
  readonly remove: (name: string) => void
  /** The list as it was one lag ago. */
  readonly read: () => readonly ListedInstance[]
  readonly setLag: (lag: Milliseconds) => void
  /** Shows every change so far at once. */
  readonly settle: () => void
}

/** Creates an empty list. */
export function instanceListCore(clock: Clock, firstLag: Milliseconds): InstanceListCore {
  const shown = new Map<string, ListedInstance>()
  let lag = firstLag
  const pending = new Set<() => void>()

  function later(change: () => void): void {
    pending.add(change)
    clock.after(lag, () => {
      if (pending.delete(change)) change()
    })
  }

  return {
    put: entry => later(() => shown.set(entry.name, entry)),
    remove: name => later(() => shown.delete(name)),
    read: () => [...shown.values()],
    setLag(value) {
      lag = value
    },
    settle() {
      for (const change of pending) change()
      pending.clear()
    },
  }
}

/** Serves a list over HTTP; port 0 takes a free one. */
export function serveInstanceList(core: InstanceListCore, port = 0): Promise<JsonServer> {
  return serveJson(() => ({status: 200, body: core.read()}), port)
}
