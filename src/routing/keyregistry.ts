/**
 * Idempotency keys that the home of a key group knows. A repeated key gets the first answer and never a second
 * run. A home vouches only for keys issued after it began to keep them: of an older key that it does not know, it
 * cannot say whether the request has run.
 */
import type {Milliseconds} from "../core/clock.js"

export interface KeptAnswer {
  readonly status: number
  readonly contentType: string
  /** The body, base64. */
  readonly body: string
}

export type KeyState =
  /** `passage` names the one passage of the request through the system that may run it. */
  | {readonly type: "running"; readonly until: Milliseconds; readonly passage: string}
  | {readonly type: "answered"; readonly answer: KeptAnswer}
  | {readonly type: "unknown"}

export interface KeyEntry {
  readonly requestDigest: string
  /** Wall-clock time at which the caller issued the key. */
  readonly issuedAt: number
  readonly state: KeyState
}

export type KeyVerdict =
  | {readonly type: "go"}
  | {readonly type: "answered"; readonly answer: KeptAnswer}
  | {readonly type: "in-progress"}
  | {readonly type: "unvouched"}
  | {readonly type: "mismatch"}
  | {readonly type: "unknown"}

/** A request with a key, as it asks whether it may run. */
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
  /** The registry as JSON text for the next home, the newest entries first as far as the bound allows. */
  readonly exportText: (limit: number) => string
  readonly importText: (text: string) => void
}

interface Exported {
  readonly vouchesFrom: number
  readonly entries: readonly (readonly [string, KeyEntry])[]
}

/** Largest difference between the wall clocks of a caller and of a home. */
export const CLOCK_SKEW_MS: Milliseconds = 5000

const KEPT_KEYS = 50_000
const KEPT_BYTES = 32 * 1024 * 1024
const PROGRESS_MARGIN_MS: Milliseconds = 2000

function sizeOf(entry: KeyEntry): number {
  return 200 + (entry.state.type === "answered" ? entry.state.answer.body.length : 0)
}

/** Creates a registry. `vouchesFrom` is the wall-clock time from which all keys are known; all times are wall clock. */
export function keyRegistry(vouchesFrom: number): KeyRegistry {
  const entries = new Map<string, KeyEntry>()
  let vouched = vouchesFrom
  let bytes = 0

  function put(key: string, entry: KeyEntry): void {
    const known = entries.get(key)
    if (known) bytes -= sizeOf(known)
    entries.set(key, entry)
    bytes += sizeOf(entry)
  }

  /** Drops the oldest entries beyond the bounds; keys as old as those are not vouched for any more. */
  function evict(): void {
    while (entries.size > KEPT_KEYS || bytes > KEPT_BYTES) {
      const [key, entry] = entries.entries().next().value ?? []
      if (key === undefined || !entry) return
      entries.delete(key)
      bytes -= sizeOf(entry)
      vouched = Math.max(vouched, entry.issuedAt + CLOCK_SKEW_MS)
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
      if (issuedAt < vouched) return {type: "unvouched"}
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
    exportText(limit) {
      const chosen: (readonly [string, KeyEntry])[] = []
      let total = 0
      let from = vouched
      for (const pair of [...entries].reverse()) {
        total += sizeOf(pair[1])
        if (total > limit) {
          from = Math.max(from, pair[1].issuedAt + CLOCK_SKEW_MS)
          continue
        }
        chosen.push(pair)
      }
      const exported: Exported = {vouchesFrom: from, entries: chosen.reverse()}
      return JSON.stringify(exported)
    },
    importText(text) {
      const {vouchesFrom: from, entries: imported} = JSON.parse(text) as Exported
      for (const [key, entry] of imported) if (!entries.has(key)) put(key, entry)
      vouched = Math.min(vouched, from)
      evict()
    },
  }
}

const VERSION_7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** The issue time that a UUID of version 7 (RFC 9562) carries, in milliseconds since the Unix epoch. */
export function issueTimeOf(key: string): number | undefined {
  const match = VERSION_7.exec(key)
  return match ? Number.parseInt(`${match[1] ?? ""}${match[2] ?? ""}`, 16) : undefined
}
