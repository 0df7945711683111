/**
 * Keeps the configuration of an instance up to date. The leader watches it in the store, and its answers to pings name
 * the version and the time for which the leader has known it to be the newest, so that followers need no calls to the
 * store. An instance that has not learned for some time whether its configuration is the newest reads it itself,
 * whatever the reason: the leader is silent, cut off or late, or a call of its own has failed. If the store refuses it or
 * does not answer, it takes a newer version from the leader.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import {createElapsedTime} from "../core/elapsedtime.js"
import type {Logger} from "../core/logger.js"
import type {FleetReader, KeyValueStore} from "../pipelines/ports.js"
import type {ConfigurationHolder} from "./configurationholder.js"
import {watchPrefix} from "./prefixwatch.js"

export interface ConfigurationUpdaterPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly store: KeyValueStore
  readonly reader: FleetReader
  readonly holder: ConfigurationHolder
  readonly isLeader: () => boolean
  readonly isStoreFailing: () => boolean
  /** The text of the leader's configuration; empty if the leader did not answer. */
  readonly askLeader: () => Promise<string>
  /** After this time no call with a withdrawn key may succeed; 0 if there is no such limit. */
  readonly withdrawalLimit: Milliseconds
}

export interface ConfigurationUpdater {
  /**
   * How long ago the configuration of this instance was last known to be the newest, counted from when the call was sent
   * that told so. Suspensions count, and a process that has just started knows nothing.
   */
  readonly age: () => Milliseconds
  /** Reads the configuration in the store, unless that is under way. */
  readonly refresh: () => Promise<void>
  /** Takes the version and its age from the leader's answer to a ping that was sent at the given time. */
  readonly recordLeaderVersion: (version: number, age: Milliseconds, sentAt: Milliseconds) => void
  readonly start: () => void
  readonly stop: () => void
}

/**
 * An instance reads the configuration itself after this time. An accepted configuration is to be in force everywhere
 * within 3 s.
 */
const MAX_AGE_MS: Milliseconds = 1500
/** Share of the limit for withdrawn keys after which the same is done, so that a read has time for some tries. */
const MAX_AGE_SHARE = 0.3
/**
 * How long the store holds a watch call open. The age at the leader is up to twice as much, since the store may answer a
 * call early and the process may read the answer late. Followers ping up to 0.6 s apart, which adds to it.
 */
const WATCH_MS: Milliseconds = 250
const CHECK_INTERVAL_MS: Milliseconds = 100
/** Minimum time between two reads, since a large configuration takes a part of a slow link. */
const READ_INTERVAL_MS: Milliseconds = 300

export function createConfigurationUpdater(ports: ConfigurationUpdaterPorts): ConfigurationUpdater {
  const {clock, log, store, reader, holder, isLeader, withdrawalLimit} = ports
  const elapsed = createElapsedTime(clock)
  const maxAge = withdrawalLimit > 0 ? Math.min(MAX_AGE_MS, withdrawalLimit * MAX_AGE_SHARE) : MAX_AGE_MS
  let isStopped = false
  let confirmedAt = -Infinity
  let announcedVersion = 0
  let reading: Promise<void> | undefined
  let readStartedAt = -Infinity

  function currentVersion(): number {
    return holder.current()?.version ?? 0
  }

  function confirm(at: Milliseconds): void {
    confirmedAt = Math.max(confirmedAt, at)
  }

  function age(): Milliseconds {
    return elapsed.since(confirmedAt)
  }

  function shouldRead(): boolean {
    if (reading || clock.now() - readStartedAt < READ_INTERVAL_MS) return false
    // While the store fails, probes find out when it answers again.
    return announcedVersion > currentVersion() || (age() > maxAge && !ports.isStoreFailing())
  }

  function read(): Promise<void> {
    reading ??= readOnce().finally(() => {
      reading = undefined
    })
    return reading
  }

  async function readOnce(): Promise<void> {
    readStartedAt = clock.now()
    if (ports.isStoreFailing() || !(await readFromStore())) await readFromLeader()
  }

  async function readFromStore(): Promise<boolean> {
    const startedAt = clock.now()
    const result = await store.read(reader.configurationKey)
    if (result.isErr()) {
      log.info(
        {event: "configuration-read-failed", reason: result.error.message},
        "cannot read the configuration in the store",
      )
      return false
    }
    // What cannot be read may be newer than what is in force.
    if (holder.onList(result.value ? [result.value] : [])) confirm(startedAt)
    return true
  }

  /** Takes a newer version that the leader has named. */
  async function readFromLeader(): Promise<void> {
    if (announcedVersion <= currentVersion()) return
    const text = await ports.askLeader()
    if (text !== "") holder.apply(text)
  }

  async function checkAge(): Promise<void> {
    while (!isStopped) {
      if (shouldRead()) void read()
      await sleep(clock, CHECK_INTERVAL_MS)
    }
  }

  async function watchAsLeader(): Promise<void> {
    let isReadable = false
    while (!isStopped) {
      if (isLeader())
        await watchPrefix(
          store,
          reader.configurationKey,
          {wait: WATCH_MS, pause: 0},
          clock,
          {
            onList(items, sentAt) {
              isReadable = holder.onList(items)
              if (isReadable) confirm(sentAt)
            },
            onChanges(changes, sentAt) {
              isReadable = holder.onChanges(changes) ?? isReadable
              if (isReadable) confirm(sentAt)
            },
          },
          () => isStopped || !isLeader(),
        )
      await sleep(clock, CHECK_INTERVAL_MS)
    }
  }

  return {
    age,
    refresh: read,
    recordLeaderVersion(version, leaderAge, sentAt) {
      announcedVersion = Math.max(announcedVersion, version)
      if (version > 0 && version === currentVersion()) confirm(sentAt - leaderAge)
      if (shouldRead()) void read()
    },
    start() {
      void checkAge()
      void watchAsLeader()
    },
    stop() {
      isStopped = true
    },
  }
}
