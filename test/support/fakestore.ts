/** An in-memory `KeyValueStore` on a given clock. Tests inject faults, for all callers or for a single one. */
import {err, ok} from "neverthrow"
import {StoreUnavailable} from "../../src/core/errors.js"
import type {Clock, Milliseconds} from "../../src/core/clock.js"
import {sleep} from "../../src/core/clock.js"
import type {
  KeyChange,
  KeyValueStore,
  StoredItem,
  Transaction,
  TransactionResult,
} from "../../src/pipelines/ports.js"

/**
 * How the store behaves:
 * - `refusing`: calls fail at once without effect.
 * - `silent`: calls time out without effect.
 * - `losing`: reads work; writes take effect, but their answers are lost.
 * - `late`: reads work; writes time out and are applied seconds later if their conditions still hold.
 */
export type StoreMode = "up" | "refusing" | "silent" | "losing" | "late"

export interface FakeStore {
  readonly portFor: (caller: string) => KeyValueStore
  readonly setMode: (mode: StoreMode, caller?: string) => void
  /** Makes list calls fail, for all callers or for a single one, while reads of single keys still work. */
  readonly failLists: (failing: boolean, caller?: string) => void
  /** Leaves watch calls of the caller without an answer, while its other calls are served. */
  readonly silenceWatches: (silent: boolean, caller: string) => void
  /** Lets lists come in this many pages, each of which takes the given time. */
  readonly paginateLists: (pages: number, delay: Milliseconds) => void
  /** Lets watch calls of the caller end without changes, whatever its other calls get. */
  readonly deafenWatches: (caller: string) => void
  /** How long the store takes for each read of a single key and each commit, beside other delays. */
  readonly setLatency: (latency: Milliseconds) => void
  /** Delays the answers to the caller's commits, which take effect at once. */
  readonly delayCommits: (delay: Milliseconds, caller: string) => void
  readonly put: (key: string, value: string) => void
  readonly remove: (key: string) => void
  readonly get: (key: string) => StoredItem | undefined
  readonly keys: () => readonly string[]
  /** Discards the history of changes, so that watches from an earlier revision must read the list again. */
  readonly compact: () => void
  /** Number of transactions that were committed. */
  readonly commitCount: () => number
  /** Why transactions were rejected, which were too large. */
  readonly rejections: () => readonly string[]
}

const ANSWER_DELAY_MS: Milliseconds = 4
const TIMEOUT_MS: Milliseconds = 1200
/** The limits of the platform's store. */
const MAX_TRANSACTION_ENTRIES = 32
const MAX_VALUE_BYTES = 2 ** 20
const LATE_WRITE_DELAY_MS: Milliseconds = 3000

export function fakeStore(clock: Clock): FakeStore {
  const items = new Map<string, StoredItem>()
  let history: KeyChange[] = []
  let revision = 1
  let oldestRevision = 1
  let commitCount = 0
  const rejections: string[] = []
  let defaultMode: StoreMode = "up"
  let latency: Milliseconds = 0
  let listsFail = false
  let listPages = {count: 1, delay: 0}
  const callersWithoutLists = new Set<string>()
  const callersWithoutWatches = new Set<string>()
  const callersWithDeafWatches = new Set<string>()
  const commitDelayByCaller = new Map<string, Milliseconds>()
  const modeByCaller = new Map<string, StoreMode>()

  function write(key: string, value: string | undefined): void {
    if (value === undefined) items.delete(key)
    else items.set(key, {key, value, revision})
    history.push({key, value, revision})
  }

  /** Why the platform's store takes no such transaction; undefined if it does. */
  function findRejection({conditions, writes, removals}: Transaction): string | undefined {
    const entries = conditions.length + writes.length + removals.length
    if (entries > MAX_TRANSACTION_ENTRIES) return `${entries} entries`
    const tooLong = writes.find(({value}) => Buffer.byteLength(value) > MAX_VALUE_BYTES)
    return tooLong && `the value of ${tooLong.key} is too long`
  }

  function apply(transaction: Transaction): TransactionResult {
    const reason = findRejection(transaction)
    if (reason !== undefined) {
      rejections.push(reason)
      return {type: "rejected", reason}
    }
    const conditionsHold = transaction.conditions.every(
      ({key, revision: expected}) => (items.get(key)?.revision ?? 0) === expected,
    )
    if (!conditionsHold) {
      const current = transaction.conditions.map(({key}) => items.get(key)).filter(item => item !== undefined)
      return {type: "conflict", items: current}
    }
    revision += 1
    commitCount += 1
    for (const {key, value} of transaction.writes) write(key, value)
    for (const key of transaction.removals) if (items.has(key)) write(key, undefined)
    return {type: "committed", revision}
  }

  function itemsUnder(prefix: string): readonly StoredItem[] {
    return [...items.values()]
      .filter(({key}) => key.startsWith(prefix))
      .sort((one, other) => (one.key < other.key ? -1 : 1))
  }

  async function fail(mode: StoreMode) {
    await sleep(clock, mode === "refusing" ? ANSWER_DELAY_MS : TIMEOUT_MS)
    return err(new StoreUnavailable(mode, mode === "refusing" ? "not-run" : "unknown"))
  }

  function portFor(caller: string): KeyValueStore {
    const currentMode = (): StoreMode => modeByCaller.get(caller) ?? defaultMode
    const isReadable = (): boolean =>
      currentMode() === "up" || currentMode() === "losing" || currentMode() === "late"
    return {
      async read(key) {
        await sleep(clock, ANSWER_DELAY_MS + latency)
        return isReadable() ? ok(items.get(key)) : fail(currentMode())
      },
      async list(prefix, onPage) {
        await sleep(clock, ANSWER_DELAY_MS)
        for (let page = 1; page <= listPages.count && listPages.delay > 0; page += 1) {
          await sleep(clock, listPages.delay)
          if (page < listPages.count) onPage?.(page)
        }
        if (listsFail || callersWithoutLists.has(caller)) return fail("refusing")
        return isReadable() ? ok({items: itemsUnder(prefix), revision}) : fail(currentMode())
      },
      async watch(prefix, after, wait) {
        await sleep(clock, ANSWER_DELAY_MS)
        const endsAt = clock.now() + wait
        for (;;) {
          if (callersWithDeafWatches.has(caller)) {
            await sleep(clock, wait)
            return ok({type: "changes", changes: [], revision: after})
          }
          if (callersWithoutWatches.has(caller)) return fail("silent")
          if (!isReadable()) return fail(currentMode())
          if (after < oldestRevision) return ok({type: "history-lost"})
          const changes = history.filter(change => change.revision > after && change.key.startsWith(prefix))
          if (changes.length > 0 || clock.now() >= endsAt) return ok({type: "changes", changes, revision})
          await sleep(clock, 20)
        }
      },
      async commit(transaction) {
        await sleep(clock, ANSWER_DELAY_MS / 2 + latency)
        const mode = currentMode()
        if (mode === "refusing" || mode === "silent") return fail(mode)
        if (mode === "late") {
          clock.after(LATE_WRITE_DELAY_MS, () => apply(transaction))
          return fail(mode)
        }
        const result = apply(transaction)
        if (mode === "losing") return fail(mode)
        await sleep(clock, commitDelayByCaller.get(caller) ?? ANSWER_DELAY_MS / 2)
        return ok(result)
      },
    }
  }

  return {
    portFor,
    setMode(mode, caller) {
      if (caller === undefined) defaultMode = mode
      else if (mode === "up") modeByCaller.delete(caller)
      else modeByCaller.set(caller, mode)
    },
    setLatency(next) {
      latency = next
    },
    failLists(failing, caller) {
      if (caller === undefined) listsFail = failing
      else if (failing) callersWithoutLists.add(caller)
      else callersWithoutLists.delete(caller)
    },
    paginateLists(count, delay) {
      listPages = {count, delay}
    },
    silenceWatches(silent, caller) {
      if (silent) callersWithoutWatches.add(caller)
      else callersWithoutWatches.delete(caller)
    },
    deafenWatches: caller => void callersWithDeafWatches.add(caller),
    delayCommits: (delay, caller) => void commitDelayByCaller.set(caller, delay),
    put(key, value) {
      revision += 1
      write(key, value)
    },
    remove(key) {
      revision += 1
      write(key, undefined)
    },
    get: key => items.get(key),
    keys: () => [...items.keys()].sort(),
    compact() {
      history = []
      oldestRevision = revision + 1
      revision += 1
    },
    commitCount: () => commitCount,
    rejections: () => rejections,
  }
}
