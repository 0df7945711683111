/**
 * Chooses the writes of the leader's next transaction. The load that it answers: many small writes, which share
 * transactions because each has a cost, and a write that the store does not take, which must keep no other from being
 * stored. Writes of a rejected transaction are therefore tried one at a time.
 */
import type {Milliseconds} from "../core/clock.js"
import type {Transaction} from "../pipelines/ports.js"

/** The store rejects larger transactions. An entry is a condition, a write or a removal. */
const MAX_TRANSACTION_ENTRIES = 32
/** The condition on the leader key, part of every transaction. */
const LEADER_CONDITION_ENTRIES = 1
/** Limit on the values of several writes together, so that a transaction arrives before its timeout. */
const MAX_SHARED_BYTES = 256 * 2 ** 10
/** A write that the store has rejected by itself is tried again after this time, since its value may have changed. */
export const REJECTED_RETRY_MS: Milliseconds = 1000

/** What is written about one job, or one record of the leader. */
export interface LedgerWrite {
  /** Identifies the job or the record. At most one write of it is in flight. */
  readonly subject: string
  readonly transaction: Transaction
  readonly onCommitted: (revision: number) => void
  /** `actual` has the present revisions of the keys in the conditions, without absent keys. */
  readonly onConflict: (actual: ReadonlyMap<string, number>) => void
  readonly onFailed?: (certainty: "not-run" | "unknown") => void
  /** Called when the store does not take the write even by itself. */
  readonly onRejected?: () => void
}

export interface PendingWrite {
  readonly subject: string
  readonly prepare: () => LedgerWrite
}

/** The subjects of rejected transactions, each with the time from which its write is tried by itself. */
export type IsolatedWrites = ReadonlyMap<string, Milliseconds>

function countEntries({conditions, writes, removals}: Transaction): number {
  return conditions.length + writes.length + removals.length
}

function countBytes({writes}: Transaction): number {
  return writes.reduce((sum, {value}) => sum + Buffer.byteLength(value), 0)
}

/** Chooses an isolated write that is due, or else as many of the other writes, in their order, as share a transaction. */
export function chooseWrites(
  listPending: () => Iterable<PendingWrite>,
  isolated: IsolatedWrites,
  now: Milliseconds,
): readonly LedgerWrite[] {
  if (isolated.size > 0)
    for (const {subject, prepare} of listPending())
      if ((isolated.get(subject) ?? Infinity) <= now) return [prepare()]
  const chosen: LedgerWrite[] = []
  let entries = LEADER_CONDITION_ENTRIES
  let bytes = 0
  for (const {subject, prepare} of listPending()) {
    if (isolated.has(subject)) continue
    const write = prepare()
    entries += countEntries(write.transaction)
    bytes += countBytes(write.transaction)
    if (chosen.length > 0 && (entries > MAX_TRANSACTION_ENTRIES || bytes > MAX_SHARED_BYTES)) return chosen
    chosen.push(write)
  }
  return chosen
}
