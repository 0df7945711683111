/**
 * Tracks the attempts that a home has in flight: requested, running, in doubt or stopping. An attempt stays tracked
 * until it is confirmed that it has ended or will never start, so that its task is not started a second time.
 */
import type {Milliseconds} from "../core/clock.js"
import {add, NO_RESOURCES, subtract} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"

/** `asking`: an owner has been asked to start the attempt and has not answered. */
export type AttemptPhase = "asking" | "running" | "in-doubt" | "stopping"

/** How the home wants an attempt to end, if at all. */
export type StopRequest = "none" | "stop" | "checkpoint"

export interface TrackedAttempt {
  readonly attempt: Attempt
  /** Worker group; empty if none has been chosen. */
  readonly group: string
  /** Epoch of the owner that was asked to start the attempt, or was last seen to run it. */
  readonly ownerEpoch: number
  readonly phase: AttemptPhase
  /** Empty while not known. */
  readonly worker: string
  /** When the attempt was requested or, later, when it was first seen to run. */
  readonly since: Milliseconds
  /** What the owner was asked to do; the request is repeated until it has been done. */
  readonly stopRequest: StopRequest
}

export interface AttemptTracker {
  /** Adds an entry, or replaces that of the same attempt. */
  readonly track: (entry: TrackedAttempt) => void
  readonly update: (attempt: string, change: Partial<TrackedAttempt>) => void
  readonly remove: (attempt: string) => TrackedAttempt | undefined
  readonly get: (attempt: string) => TrackedAttempt | undefined
  readonly ofTask: (job: string, task: number) => TrackedAttempt | undefined
  readonly ofJob: (job: string) => readonly TrackedAttempt[]
  readonly all: () => IterableIterator<TrackedAttempt>
  readonly size: () => number
  /** Total demand of the team's tracked attempts. */
  readonly usageOf: (team: string) => Resources
}

function taskKey(job: string, task: number): string {
  return `${job}.${task}`
}

export function createAttemptTracker(): AttemptTracker {
  const entries = new Map<string, TrackedAttempt>()
  const byTask = new Map<string, string>()
  const byJob = new Map<string, Set<string>>()
  const usage = new Map<string, Resources>()

  function adjustUsage(attempt: Attempt, combine: (one: Resources, other: Resources) => Resources): void {
    usage.set(attempt.team, combine(usage.get(attempt.team) ?? NO_RESOURCES, attempt.demand))
  }

  function remove(name: string): TrackedAttempt | undefined {
    const entry = entries.get(name)
    if (!entry) return undefined
    const {attempt} = entry
    entries.delete(name)
    if (byTask.get(taskKey(attempt.job, attempt.task)) === name)
      byTask.delete(taskKey(attempt.job, attempt.task))
    const names = byJob.get(attempt.job)
    names?.delete(name)
    if (names?.size === 0) byJob.delete(attempt.job)
    adjustUsage(attempt, subtract)
    return entry
  }

  return {
    track(entry) {
      const {attempt} = entry
      remove(attempt.attempt)
      entries.set(attempt.attempt, entry)
      byTask.set(taskKey(attempt.job, attempt.task), attempt.attempt)
      const names = byJob.get(attempt.job) ?? new Set<string>()
      byJob.set(attempt.job, names.add(attempt.attempt))
      adjustUsage(attempt, add)
    },
    update(name, change) {
      const entry = entries.get(name)
      if (entry) entries.set(name, {...entry, ...change})
    },
    remove,
    get: name => entries.get(name),
    ofTask: (job, task) => entries.get(byTask.get(taskKey(job, task)) ?? ""),
    ofJob: job => [...(byJob.get(job) ?? [])].flatMap(name => entries.get(name) ?? []),
    all: () => entries.values(),
    size: () => entries.size,
    usageOf: team => usage.get(team) ?? NO_RESOURCES,
  }
}
