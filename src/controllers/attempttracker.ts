/**
 * The attempts that a home has in flight: which were asked for, which run, and which are in doubt. An attempt stays
 * tracked until it is proved ended or proved never to start, so that its task is not started a second time.
 */
import type {Milliseconds} from "../core/clock.js"
import {add, NOTHING, subtract} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {Attempt} from "../jobs/attempt.js"

export type AttemptPhase = "asking" | "running" | "in-doubt" | "stopping"

/** A wish to end an attempt. */
export type StopRequest = "none" | "stop" | "checkpoint"

export interface TrackedAttempt {
  readonly attempt: Attempt
  readonly group: string
  /** Epoch of the owner that was asked. */
  readonly ownerEpoch: number
  readonly phase: AttemptPhase
  readonly worker: string
  readonly since: Milliseconds
  /** What the owner was asked for, and is asked for again until it has done it. */
  readonly stopRequest: StopRequest
}

export interface AttemptTracker {
  readonly track: (entry: TrackedAttempt) => void
  readonly update: (attempt: string, change: Partial<TrackedAttempt>) => void
  readonly remove: (attempt: string) => TrackedAttempt | undefined
  readonly get: (attempt: string) => TrackedAttempt | undefined
  readonly ofTask: (job: string, task: number) => TrackedAttempt | undefined
  readonly ofJob: (job: string) => readonly TrackedAttempt[]
  readonly all: () => IterableIterator<TrackedAttempt>
  readonly size: () => number
  /** What the team's tracked attempts take together. */
  readonly usageOf: (team: string) => Resources
}

function taskKey(job: string, task: number): string {
  return `${job}.${task}`
}

/** Creates an empty tracker. */
export function createAttemptTracker(): AttemptTracker {
  const entries = new Map<string, TrackedAttempt>()
  const byTask = new Map<string, string>()
  const byJob = new Map<string, Set<string>>()
  const usage = new Map<string, Resources>()

  function adjustUsage(attempt: Attempt, combine: (one: Resources, other: Resources) => Resources): void {
    usage.set(attempt.team, combine(usage.get(attempt.team) ?? NOTHING, attempt.demand))
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
    usageOf: team => usage.get(team) ?? NOTHING,
  }
}
