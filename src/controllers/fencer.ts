/**
 * Promises holders that name this instance as a successor not to fence them for one term, and fences a holder
 * whose promise has expired without a new request. To fence a holder is to replace its record in the store by
 * one with the state `fenced`. Other instances can then claim the holder's groups.
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
  /** Called after the store has confirmed the fenced record. */
  readonly onFenced: (instance: string) => void
}

export interface Fencer {
  /** Promises not to fence a holder, and returns the term of the promise, or 0 if it is refused. */
  readonly grantPromise: (holder: string, incarnation: string, view: OwnershipView) => Milliseconds
  /**
   * Records the versions of the holders' records. Call it for each view before promises are granted on that
   * view.
   */
  readonly recordVersions: (view: OwnershipView) => void
  /** Starts to fence each holder that may be fenced, and resolves earlier writes of unknown outcome. */
  readonly fenceExpired: (view: OwnershipView) => void
}

/**
 * Creates the fencer of one instance. It is kept when the instance continues under a new incarnation, because
 * its promises remain valid.
 */
export function fencer(self: string, ports: FencerPorts): Fencer {
  const {clock, store, log} = ports
  let promises: Promises = createPromises(clock.now())

  function applyStep(step: PromiseStep): void {
    promises = applyPromiseStep(promises, step)
  }

  /**
   * Reads the holder's record to find out whether a fencing write of unknown outcome can still take effect.
   * If the record has not changed, the write is repeated.
   */
  async function resolveUnknownWrite(holder: string): Promise<void> {
    const attempt = promises.fencingAttempts.get(holder)
    if (!attempt) return
    const found = await store.get(instanceKey(holder))
    if (found.isErr()) return
    const hasChanged = (found.value?.version ?? 0) !== attempt.expectedVersion
    if (hasChanged) {
      applyStep({type: "fencing-settled", holder})
      return
    }
    const stored = found.value && parseInstanceRecord(instanceKey(holder), found.value.value)
    if (stored?.isOk())
      await writeFencedRecord(holder, {record: stored.value, version: attempt.expectedVersion})
  }

  async function writeFencedRecord(holder: string, known: Versioned<InstanceRecord>): Promise<void> {
    const record: InstanceRecord = {...known.record, state: "fenced", fencedBy: self}
    const result = await store.compareAndSwap(instanceKey(holder), known.version, JSON.stringify(record))
    if (result.isOk()) {
      applyStep({type: "fencing-settled", holder})
      log.warn({event: "fenced", holder, incarnation: record.incarnation}, "fenced instance")
      ports.onFenced(holder)
      return
    }
    if (result.error instanceof VersionConflict) applyStep({type: "fencing-settled", holder})
  }

  function mayFence(holder: string, record: InstanceRecord): boolean {
    const now = clock.now()
    if (record.successors.includes(self) && mayFenceAsSuccessor(promises, holder, now)) return true
    return mayFenceAfterGracePeriod(promises, holder, now)
  }

  function recordVersions(view: OwnershipView): void {
    for (const [holder, known] of view.instances) {
      applyStep({type: "record-seen", holder, version: known.version, at: clock.now()})
    }
  }

  /** Holders with a read or write in progress. */
  const holdersInProgress = new Set<string>()

  function runExclusively(holder: string, operation: () => Promise<void>): void {
    if (holdersInProgress.has(holder)) return
    holdersInProgress.add(holder)
    void operation().finally(() => holdersInProgress.delete(holder))
  }

  return {
    grantPromise(holder, incarnation, view) {
      const known = view.instances.get(holder)
      if (known?.record.incarnation !== incarnation) return 0
      const {record, version} = known
      const readRecord = {
        version,
        active: record.state === "active",
        namesSelf: record.successors.includes(self),
      }
      if (!mayPromise(promises, holder, readRecord)) return 0
      applyStep({type: "promise-given", holder, at: clock.now()})
      return PROMISE_TERM_MS
    },
    recordVersions,
    fenceExpired(view) {
      for (const [holder, known] of view.instances) {
        if (holder === self) continue
        if (promises.fencingAttempts.has(holder)) {
          runExclusively(holder, () => resolveUnknownWrite(holder))
          continue
        }
        if (known.record.state !== "active" || !mayFence(holder, known.record)) continue
        applyStep({type: "fencing-begun", attempt: {holder, expectedVersion: known.version}})
        runExclusively(holder, () => writeFencedRecord(holder, known))
      }
    },
  }
}
