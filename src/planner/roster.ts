/**
 * Records the leader's workers in the store, where a later leader finds all that may run tasks. A worker is given tasks only
 * once it is recorded. The record is written in parts, since the store limits the length of a value and a fleet has any
 * number of workers. A worker stays in its part, so that no moment leaves it out.
 */
import type {Ledger} from "./ledger.js"
import {formatRoster, rosterKey} from "./records.js"
import type {WorkerState} from "./state.js"

/** Even if all have the longest listing that is read from an entry, a part is shorter than a value of the store may be. */
const WORKERS_PER_PART = 100

export interface Roster {
  /** Puts a worker into the part in which an earlier leader has recorded it. */
  readonly addRecorded: (worker: WorkerState, part: number) => void
  /** Marks a worker that is new or has changed, to be recorded by the next `write`. */
  readonly add: (worker: WorkerState) => void
  /** Marks a worker that is gone, to be left out by the next `write`. */
  readonly remove: (worker: WorkerState) => void
  /** Writes the parts that have changed. */
  readonly write: () => void
}

interface Part {
  readonly key: string
  readonly workers: Set<WorkerState>
  hasChanged: boolean
}

/** Creates an empty roster. `onRecorded` is called when workers have been recorded. */
export function createRoster(ledger: Ledger, onRecorded: () => void): Roster {
  const parts = new Map<number, Part>()
  const partOf = new Map<WorkerState, Part>()

  function openPart(number: number): Part {
    const part = parts.get(number) ?? {key: rosterKey(number), workers: new Set(), hasChanged: false}
    parts.set(number, part)
    return part
  }

  function put(worker: WorkerState, part: Part): Part {
    part.workers.add(worker)
    partOf.set(worker, part)
    return part
  }

  function findRoom(): Part {
    for (const part of parts.values()) if (part.workers.size < WORKERS_PER_PART) return part
    let unused = 0
    while (parts.has(unused)) unused += 1
    return openPart(unused)
  }

  function writePart(part: Part): void {
    part.hasChanged = false
    const recorded = [...part.workers]
    ledger.writeRecord(part.key, formatRoster(recorded.map(({listing}) => listing)), () => {
      for (const worker of recorded) worker.isRecorded = true
      onRecorded()
    })
  }

  return {
    addRecorded(worker, part) {
      worker.isRecorded = true
      put(worker, openPart(part))
    },
    add(worker) {
      const part = partOf.get(worker) ?? put(worker, findRoom())
      part.hasChanged = true
    },
    remove(worker) {
      const part = partOf.get(worker)
      if (!part) return
      partOf.delete(worker)
      part.workers.delete(worker)
      part.hasChanged = true
    },
    write() {
      for (const part of parts.values()) if (part.hasChanged) writePart(part)
    },
  }
}
