/**
 * Registry of idempotency keys, kept by the home of a job group. A request with a known key gets the stored answer
 * and is never run again. The registry is complete only for keys issued after a certain time: whether a request with
 * an older unknown key has run cannot be determined, and so it is not run.
 */
import type {Milliseconds} from "../core/clock.js"

export interface KeptAnswer {
  readonly status: number
  readonly contentType: string
  /** The body, base64. */
  readonly body: string
}

export type KeyState =
  /** `passage` identifies the one pass of the request through the cluster that may run it. */
  | {readonly type: "running"; readonly until: Milliseconds; readonly passage: string}
  | {readonly type: "answered"; readonly answer: KeptAnswer}
  | {readonly type: "unknown"}

export interface KeyEntry {
  readonly requestDigest: string
  /** Wall-clock time at which the caller issued the key. */
  readonly issuedAt: number
  readonly state: KeyState
}

/** The decision on a keyed request. */
export type KeyVerdict =
  /** The request may run. */
  | {readonly type: "go"}
  | {readonly type: "answered"; readonly answer: KeptAnswer}
  | {readonly type: "in-progress"}
  /** The key is unknown and older than the registry is complete for: the request may have run before. */
  | {readonly type: "unvouched"}
  /** The key was used before with a different request. */
  | {readonly type: "mismatch"}
  /** The request was started, and its outcome is not known. */
  | {readonly type: "unknown"}

/** A request with an idempotency key that asks for permission to run. */
export interface KeyedRequest {
  readonly key: string
  readonly requestDigest: string
  /** Wall-clock time at which the caller issued the key. */
  readonly issuedAt: number
  readonly deadline: Milliseconds
  readonly passage: string
}

export interface KeyRegistry {
  readonly begin: (request: KeyedRequest, now: number) => KeyVerdict
  readonly complete: (
    key: string,
    execution: "ran" | "not-run" | "unknown",
    answer: KeptAnswer | undefined,
  ) => void
  readonly size: () => number
  /** Serializes the newest entries up to `limit` bytes as JSON, for the next home. */
  readonly exportJson: (limit: number) => string
  readonly importJson: (text: string) => void
}

interface ExportedRegistry {
  /** Wall-clock time; all keys issued from then on are among the entries. */
  readonly vouchesFrom: number
  readonly entries: readonly (readonly [string, KeyEntry])[]
}

/** Largest tolerated difference between the wall clocks of a caller and of a home. */
export const CLOCK_SKEW_MS: Milliseconds = 5000

const MAX_ENTRIES = 50_000
const MAX_TOTAL_BYTES = 32 * 1024 * 1024
/** A request still counts as running this long after its deadline. */
const PROGRESS_MARGIN_MS: Milliseconds = 2000

/** Approximate memory use of an entry in bytes. */
function sizeOf(entry: KeyEntry): number {
  return 200 + (entry.state.type === "answered" ? entry.state.answer.body.length : 0)
}

/** Creates a registry that knows every key issued since `initialCompleteFrom`. All times are wall-clock times. */
export function keyRegistry(initialCompleteFrom: number): KeyRegistry {
  const entries = new Map<string, KeyEntry>()
  let completeFrom = initialCompleteFrom
  let bytes = 0

  function put(key: string, entry: KeyEntry): void {
    const known = entries.get(key)
    if (known) bytes -= sizeOf(known)
    entries.set(key, entry)
    bytes += sizeOf(entry)
  }

  /** Evicts the oldest entries beyond the limits. The registry is no longer complete for keys as old as those. */
  function evict(): void {
    while (entries.size > MAX_ENTRIES || bytes > MAX_TOTAL_BYTES) {
      const [key, entry] = entries.entries().next().value ?? []
      if (key === undefined || !entry) return
      entries.delete(key)
      bytes -= sizeOf(entry)
      completeFrom = Math.max(completeFrom, entry.issuedAt + CLOCK_SKEW_MS)
    }
  }

  function verdictOn(entry: KeyEntry, request: KeyedRequest, now: number): KeyVerdict {
    if (entry.requestDigest !== request.requestDigest) return {type: "mismatch"}
    const {state} = entry
    if (state.type === "running" && state.passage === request.passage) return {type: "go"}
    if (state.type === "answered") return {type: "answered", answer: state.answer}
    if (state.type === "running" && now < state.until) return {type: "in-progress"}
    return {type: "unknown"}
  }

  return {
    begin(request, now) {
      const {key, requestDigest, issuedAt, deadline, passage} = request
      const known = entries.get(key)
      if (known) return verdictOn(known, request, now)
      if (issuedAt < completeFrom) return {type: "unvouched"}
      const until = now + deadline + PROGRESS_MARGIN_MS
      put(key, {requestDigest, issuedAt, state: {type: "running", until, passage}})
      evict()
      return {type: "go"}
    },
    complete(key, execution, answer) {
      const known = entries.get(key)
      if (!known) return
      if (execution === "not-run") {
        entries.delete(key)
        bytes -= sizeOf(known)
        return
      }
      const state: KeyState = execution === "ran" && answer ? {type: "answered", answer} : {type: "unknown"}
      put(key, {...known, state})
      evict()
    },
    size: () => entries.size,
    exportJson(limit) {
      const chosen: (readonly [string, KeyEntry])[] = []
      let total = 0
      let from = completeFrom
      for (const pair of [...entries].reverse()) {
        total += sizeOf(pair[1])
        if (total > limit) {
          from = Math.max(from, pair[1].issuedAt + CLOCK_SKEW_MS)
          continue
        }
        chosen.push(pair)
      }
      const exported: ExportedRegistry = {vouchesFrom: from, entries: chosen.reverse()}
      return JSON.stringify(exported)
    },
    importJson(text) {
      const {vouchesFrom: from, entries: imported} = JSON.parse(text) as ExportedRegistry
      for (const [key, entry] of imported) if (!entries.has(key)) put(key, entry)
      completeFrom = Math.min(completeFrom, from)
      evict()
    },
  }
}

const UUID_VERSION_7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** The time encoded in a version 7 UUID (RFC 9562), in milliseconds since the Unix epoch. */
export function issueTimeOf(key: string): number | undefined {
  const match = UUID_VERSION_7.exec(key)
  return match ? Number.parseInt(`${match[1] ?? ""}${match[2] ?? ""}`, 16) : undefined
}
