/**
 * Measures how much of a rack the tasks want that run faster there. The load that this answers: more work comes for the
 * data of one rack than the rack can do. Whoever waits there then takes the place of someone who comes later, and the
 * rack does no more work than without the wait; only while less comes than the rack can do does a wait use capacity that
 * would have been idle. The measure is a rate with exponential decay, so that it follows a change within seconds.
 */
import type {Milliseconds} from "../core/clock.js"

export interface RackDemand {
  /** Adds work for the rack, in milliseconds of a whole worker. */
  readonly add: (rack: string, work: number, now: Milliseconds) => void
  /** The work that comes for the rack in a span of time, as a multiple of the span: the workers that it keeps busy. */
  readonly rate: (rack: string, now: Milliseconds) => number
}

/** Long enough to see a short burst as what it is, short enough to notice a lasting change before a long queue. */
const DECAY_MS: Milliseconds = 1000
/** The racks that are kept, those for which work came last. */
const MAXIMUM_RACKS = 256

export function createRackDemand(): RackDemand {
  /** The rack for which work came last is at the end. */
  const racks = new Map<string, {readonly work: number; readonly at: Milliseconds}>()

  function decayed(rack: string, now: Milliseconds): number {
    const known = racks.get(rack)
    return known ? known.work * Math.exp((known.at - now) / DECAY_MS) : 0
  }

  return {
    add(rack, work, now) {
      const sum = decayed(rack, now) + work
      racks.delete(rack)
      racks.set(rack, {work: sum, at: now})
      for (const oldest of racks.keys()) {
        if (racks.size <= MAXIMUM_RACKS) break
        racks.delete(oldest)
      }
    },
    rate: (rack, now) => decayed(rack, now) / DECAY_MS,
  }
}
