/**
 * The write-ahead log of one job group in the platform's store: numbered chunks of job steps, created in sequence, and
 * a snapshot that replaces the oldest chunks. A chunk is created only if its number is free, so only one of two
 * concurrent writers succeeds. A new holder of the group first writes a chunk of its own, which excludes the previous
 * holder: its next write finds the number taken.
 *
 * Steps that are appended close together share a chunk. If the reply to a write is lost, the chunk is read back to
 * learn whether it was stored.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import {NotHolder, StoreUnavailable, VersionConflict} from "../core/errors.js"
import type {Random} from "../core/random.js"
import type {JobStep} from "../jobs/job.js"
import type {Store} from "../platform/ports.js"

/** A chunk as it is stored. */
interface Chunk {
  /** Unique for each chunk: instance, epoch and a counter. */
  readonly writer: string
  readonly steps: readonly JobStep[]
}

/** The stored reference to the newest snapshot. */
interface Manifest {
  /** Number of the last chunk that the snapshot contains. */
  readonly through: number
  /** Name of the snapshot; empty if there is none. */
  readonly snapshot: string
  /** Number of entries in the store that the snapshot is split into. */
  readonly parts: number
}

export type JournalError = NotHolder | StoreUnavailable

export interface Journal {
  /** Reads all steps and excludes earlier writers. */
  readonly open: () => Promise<Result<readonly JobStep[], JournalError>>
  /** Resolves once the steps are durable, or with an error once this writer can certainly not write any more. */
  readonly append: (steps: readonly JobStep[]) => Promise<Result<void, NotHolder>>
  /**
   * Replaces the chunks written so far by a snapshot of the given steps. Resolves to false if this failed, or was not
   * tried because of a write in progress.
   */
  readonly compact: (steps: () => readonly JobStep[]) => Promise<boolean>
  readonly chunksSinceSnapshot: () => number
  readonly pendingAppends: () => number
  readonly close: () => void
}

/** Appends within this interval share a chunk. */
export const COMMIT_INTERVAL_MS: Milliseconds = 40
const MAX_CHUNK_CHARACTERS = 256 * 1024
const MAX_PART_CHARACTERS = 512 * 1024
const RETRY_DELAY_MS: Milliseconds = 250
const MAX_OPEN_ATTEMPTS = 20
/** Chunk numbers are padded with zeros, so that keys sort by number. */
const CHUNK_NUMBER_DIGITS = 10
const EMPTY_MANIFEST: Manifest = {through: 0, snapshot: "", parts: 0}

interface PendingAppend {
  readonly steps: readonly JobStep[]
  readonly size: number
  readonly resolve: (result: Result<void, NotHolder>) => void
}

/** Splits steps into parts whose JSON stays within a bound; a single step may exceed it. */
function splitBySize(steps: readonly JobStep[], bound: number): readonly (readonly JobStep[])[] {
  const parts: JobStep[][] = [[]]
  let size = 0
  for (const step of steps) {
    const length = JSON.stringify(step).length
    if (size > 0 && size + length > bound) {
      parts.push([])
      size = 0
    }
    parts.at(-1)?.push(step)
    size += length
  }
  return parts
}

/** Creates the journal of one job group for one holder. `writer` identifies the holder and its epoch. */
export function createJournal(
  group: string,
  writer: string,
  store: Store,
  clock: Clock,
  random: Random,
): Journal {
  const prefix = `journal/${group}/`
  const chunkPrefix = `${prefix}chunk/`
  const manifestKey = `${prefix}manifest`
  let manifest: Manifest = EMPTY_MANIFEST
  let manifestVersion = 0
  let nextNumber = 1
  let chunksWritten = 0
  let queue: PendingAppend[] = []
  let isCommitting = false
  let isCompacting = false
  /** True once another writer was found, or the journal was closed. */
  let isStopped = false

  function chunkKey(number: number): string {
    return chunkPrefix + String(number).padStart(CHUNK_NUMBER_DIGITS, "0")
  }

  function partKey(snapshot: string, part: number): string {
    return `${prefix}snapshot/${snapshot}/${part}`
  }

  /** Reads the steps of a snapshot; undefined if a later compaction has removed a part of it. */
  async function readSnapshot(
    source: Manifest,
  ): Promise<Result<readonly JobStep[] | undefined, StoreUnavailable>> {
    const steps: JobStep[] = []
    for (let part = 0; part < source.parts; part += 1) {
      const found = await store.get(partKey(source.snapshot, part))
      if (found.isErr()) return err(found.error)
      if (!found.value) return ok(undefined)
      steps.push(...(JSON.parse(found.value.value) as readonly JobStep[]))
    }
    return ok(steps)
  }

  /** Reads manifest, snapshot and chunks; undefined if a concurrent compaction requires the read to be repeated. */
  async function readAll(): Promise<Result<readonly JobStep[] | undefined, StoreUnavailable>> {
    const stored = await store.get(manifestKey)
    if (stored.isErr()) return err(stored.error)
    manifest = stored.value ? (JSON.parse(stored.value.value) as Manifest) : EMPTY_MANIFEST
    manifestVersion = stored.value?.version ?? 0
    const snapshot = await readSnapshot(manifest)
    if (snapshot.isErr() || !snapshot.value) return snapshot
    const chunks = await store.list(chunkPrefix)
    if (chunks.isErr()) return err(chunks.error)
    const steps = [...snapshot.value]
    nextNumber = manifest.through + 1
    for (const {key, value} of [...chunks.value].sort((one, other) => (one.key < other.key ? -1 : 1))) {
      const number = Number(key.slice(chunkPrefix.length))
      if (number <= manifest.through) continue
      if (number !== nextNumber) return ok(undefined)
      steps.push(...(JSON.parse(value) as Chunk).steps)
      nextNumber += 1
    }
    return ok(steps)
  }

  /** Creates a chunk. Resolves to true if this writer's chunk is stored, false if another writer has used the number. */
  async function createChunk(number: number, chunk: Chunk): Promise<Result<boolean, StoreUnavailable>> {
    const result = await store.compareAndSwap(chunkKey(number), 0, JSON.stringify(chunk))
    if (result.isOk()) return ok(true)
    if (!(result.error instanceof VersionConflict)) return err(result.error)
    const found = await store.get(chunkKey(number))
    if (found.isErr()) return err(found.error)
    return ok(found.value !== undefined && (JSON.parse(found.value.value) as Chunk).writer === chunk.writer)
  }

  function newChunk(steps: readonly JobStep[]): Chunk {
    chunksWritten += 1
    return {writer: `${writer}/${chunksWritten}`, steps}
  }

  async function open(): Promise<Result<readonly JobStep[], JournalError>> {
    const opening = newChunk([{type: "opened", job: ""}])
    for (let attempt = 0; attempt < MAX_OPEN_ATTEMPTS && !isStopped; attempt += 1) {
      const steps = await readAll()
      if (steps.isOk() && steps.value) {
        const created = await createChunk(nextNumber, opening)
        if (created.isOk() && created.value) {
          nextNumber += 1
          return ok(steps.value)
        }
      }
      await sleep(clock, RETRY_DELAY_MS * (0.5 + random.next()))
    }
    return isStopped
      ? err(new NotHolder(group))
      : err(new StoreUnavailable("the journal could not be opened", "not-run"))
  }

  function takeBatch(): readonly PendingAppend[] {
    const batch: PendingAppend[] = []
    let size = 0
    for (const entry of queue) {
      if (batch.length > 0 && size + entry.size >= MAX_CHUNK_CHARACTERS) break
      batch.push(entry)
      size += entry.size
    }
    queue = queue.slice(batch.length)
    return batch
  }

  function failAppends(entries: readonly PendingAppend[]): void {
    for (const entry of entries) entry.resolve(err(new NotHolder(group)))
  }

  /** Writes one batch and retries until its outcome is known, because the next number depends on it. */
  async function commitBatch(batch: readonly PendingAppend[]): Promise<void> {
    const chunk = newChunk(batch.flatMap(entry => entry.steps))
    let delay = RETRY_DELAY_MS
    while (!isStopped) {
      const created = await createChunk(nextNumber, chunk)
      if (created.isOk()) {
        if (!created.value) {
          isStopped = true
          break
        }
        nextNumber += 1
        for (const entry of batch) entry.resolve(ok(undefined))
        return
      }
      await sleep(clock, delay * (0.5 + random.next()))
      delay = Math.min(delay * 2, RETRY_DELAY_MS * 8)
    }
    failAppends(batch)
  }

  /** Writes queued appends until the queue is empty. Writes wait while a compaction runs. */
  async function commitLoop(): Promise<void> {
    if (isCommitting) return
    isCommitting = true
    while (queue.length > 0 && !isStopped) {
      await sleep(clock, COMMIT_INTERVAL_MS)
      if (isCompacting) continue
      const batch = takeBatch()
      if (batch.length > 0) await commitBatch(batch)
    }
    isCommitting = false
    if (isStopped) {
      failAppends(queue)
      queue = []
    }
  }

  async function writeParts(snapshot: string, parts: readonly (readonly JobStep[])[]): Promise<boolean> {
    for (const [index, part] of parts.entries()) {
      const written = await store.compareAndSwap(partKey(snapshot, index), 0, JSON.stringify(part))
      if (written.isErr()) return false
    }
    return true
  }

  /** Removes the chunks and the snapshot that the newest snapshot replaces. A later compaction removes chunks left over. */
  async function removeReplaced(previous: Manifest): Promise<void> {
    const chunks = await store.list(chunkPrefix)
    if (chunks.isErr()) return
    for (const {key, version} of chunks.value) {
      if (Number(key.slice(chunkPrefix.length)) <= manifest.through) await store.remove(key, version)
    }
    for (let part = 0; part < previous.parts; part += 1) {
      const found = await store.get(partKey(previous.snapshot, part))
      if (found.isOk() && found.value) await store.remove(found.value.key, found.value.version)
    }
  }

  async function compact(steps: () => readonly JobStep[]): Promise<boolean> {
    if (isCompacting || isCommitting || isStopped) return false
    isCompacting = true
    const through = nextNumber - 1
    const snapshot = `${writer}-${through}`
    const parts = splitBySize(steps(), MAX_PART_CHARACTERS)
    const previous = manifest
    const replacement: Manifest = {through, snapshot, parts: parts.length}
    let done = false
    if (await writeParts(snapshot, parts)) {
      const written = await store.compareAndSwap(manifestKey, manifestVersion, JSON.stringify(replacement))
      if (written.isOk()) {
        manifest = replacement
        manifestVersion = written.value
        done = true
      }
    }
    isCompacting = false
    if (done) await removeReplaced(previous)
    else await refreshManifest()
    return done
  }

  /** Reads the stored manifest after a compaction that failed or whose outcome is unknown. */
  async function refreshManifest(): Promise<void> {
    const stored = await store.get(manifestKey)
    if (stored.isErr() || !stored.value) return
    manifest = JSON.parse(stored.value.value) as Manifest
    manifestVersion = stored.value.version
  }

  return {
    open,
    append(steps) {
      if (isStopped) return Promise.resolve(err(new NotHolder(group)))
      if (steps.length === 0) return Promise.resolve(ok(undefined))
      return new Promise(resolve => {
        queue.push({steps, size: JSON.stringify(steps).length, resolve})
        void commitLoop()
      })
    },
    compact,
    chunksSinceSnapshot: () => nextNumber - 1 - manifest.through,
    pendingAppends: () => queue.length,
    close() {
      isStopped = true
    },
  }
}
