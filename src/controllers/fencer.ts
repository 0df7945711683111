/**
 * Gives promises to the holders that name this instance as a successor, and fences a holder once its promise has
 * ended without a new request: the holder's record is replaced by one that says `fenced`.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {VersionConflict} from "../core/errors.js"
import {
  applyPromiseStep,
  mayFenceAfterGracePeriod,
  mayFenceAsSuccessor,
  mayPromise,
  createPromises,
} from "../ownership/promises.js"
import type {Promises, PromiseStep} from "../ownership/promises.js"
import {instanceKey, parseInstanceRecord} from "../ownership/record.js"
import type {InstanceRecord} from "../ownership/record.js"
import {PROMISE_TERM_MS} from "../ownership/timing.js"
import type {Store} from "../platform/ports.js"
import type {Logger} from "../core/logger.js"
import type {OwnershipView, Versioned} from "./ownershipview.js"

export interface FencerPorts {
  readonly clock: Clock
  readonly store: Store
  readonly log: Logger
  /** Called after the store has taken the fenced record. */
  readonly onFenced: (instance: string) => void
}

export interface Fencer {
  /** Answers a holder: the term for which it will not be fenced, or 0. */
  readonly promise: (holder: string, incarnation: string, view: OwnershipView) => Milliseconds
  /** Notes which versions of the records were seen. Call it for every view, before promises are given on it. */
  readonly noteView: (view: OwnershipView) => void
  /** Fences what may be fenced. */
  readonly sweep: (view: OwnershipView) => void
}

/** Creates the fencer of one instance. It outlives incarnations, because promises do. */
export function fencer(self: string, ports: FencerPorts): Fencer {
  const {clock, store, log} = ports
  let promises: Promises = createPromises(clock.now())

  function apply(step: PromiseStep): void {
    promises = applyPromiseStep(promises, step)
  }

  /** Reads the record until it shows whether the fencing write can still take effect. */
  async function settle(holder: string): Promise<void> {
    const attempt = promises.fencingAttempts.get(holder)
    if (!attempt) return
    const found = await store.get(instanceKey(holder))
    if (found.isErr()) return
    const moved = (found.value?.version ?? 0) !== attempt.expectedVersion
    if (moved) {
      apply({type: "fencing-settled", holder})
      return
    }
    const stored = found.value && parseInstanceRecord(instanceKey(holder), found.value.value)
    if (stored?.isOk()) await write(holder, {record: stored.value, version: attempt.expectedVersion})
  }

  async function write(holder: string, known: Versioned<InstanceRecord>): Promise<void> {
    const record: InstanceRecord = {...known.record, state: "fenced", fencedBy: self}
    const result = await store.compareAndSwap(instanceKey(holder), known.version, JSON.stringify(record))
    if (result.isOk()) {
      apply({type: "fencing-settled", holder})
      log.warn({event: "fenced", holder, incarnation: record.incarnation}, "fenced an instance")
      ports.onFenced(holder)
      return
    }
    if (result.error instanceof VersionConflict) apply({type: "fencing-settled", holder})
  }

  function mayFence(holder: string, record: InstanceRecord): boolean {
    const now = clock.now()
    if (record.successors.includes(self) && mayFenceAsSuccessor(promises, holder, now)) return true
    return mayFenceAfterGracePeriod(promises, holder, now)
  }

  function noteView(view: OwnershipView): void {
    for (const [holder, known] of view.instances) {
      apply({type: "record-seen", holder, version: known.version, at: clock.now()})
    }
  }

  const busy = new Set<string>()

  function once(holder: string, work: () => Promise<void>): void {
    if (busy.has(holder)) return
    busy.add(holder)
    void work().finally(() => busy.delete(holder))
  }

  return {
    promise(holder, incarnation, view) {
      const known = view.instances.get(holder)
      if (known?.record.incarnation !== incarnation) return 0
      const {record, version} = known
      const read = {version, active: record.state === "active", namesSelf: record.successors.includes(self)}
      if (!mayPromise(promises, holder, read)) return 0
      apply({type: "promise-given", holder, at: clock.now()})
      return PROMISE_TERM_MS
    },
    noteView,
    sweep(view) {
      for (const [holder, known] of view.instances) {
        if (holder === self) continue
        if (promises.fencingAttempts.has(holder)) {
          once(holder, () => settle(holder))
          continue
        }
        if (known.record.state !== "active" || !mayFence(holder, known.record)) continue
        apply({type: "fencing-begun", attempt: {holder, expectedVersion: known.version}})
        once(holder, () => write(holder, known))
      }
    },
  }
}
