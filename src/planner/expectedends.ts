/**
 * When the tasks on a worker should end, by their progress and by what was learned of such tasks. Computed once in a
 * scheduling pass.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {requiredCapacity} from "../pipelines/placing.js"
import type {ExpectedRelease} from "../pipelines/waiting.js"
import {expectRemaining} from "../pipelines/waiting.js"
import type {LearnedRuns} from "./learnedruns.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"

export interface ExpectedEnds {
  /** Expected ends of the tasks on the worker, in their order. Tasks that last, and those of unknown length, never end. */
  readonly releasesOf: (worker: WorkerState) => readonly ExpectedRelease[]
  /** The same, but a task of unknown length may end at once. */
  readonly earliestReleasesOf: (worker: WorkerState) => readonly ExpectedRelease[]
  /** The expected run time of a task of the step on the worker; undefined while too little is known. */
  readonly runTimeOn: (run: StepRun, worker: WorkerState) => Milliseconds | undefined
  /** Called at the end of a pass. */
  readonly endPass: () => void
}

/** For a leader that has learned nothing. */
export const NO_EXPECTED_ENDS: ExpectedEnds = {
  releasesOf: () => [],
  earliestReleasesOf: () => [],
  runTimeOn: () => undefined,
  endPass: () => undefined,
}

export function createExpectedEnds(
  clock: Pick<Clock, "now">,
  {expectRunTimeOn}: Pick<LearnedRuns, "expectRunTimeOn">,
): ExpectedEnds {
  const releases = new Map<WorkerState, readonly ExpectedRelease[]>()
  const earliestReleases = new Map<WorkerState, readonly ExpectedRelease[]>()

  /** Infinite if nothing tells. */
  function expectEnd(assignment: Assignment, worker: WorkerState): Milliseconds {
    const {run, phase, confirmedAt, assignedAt, progressPercent, hasEarlierWork} = assignment
    if (run.step.lasting || phase === "starting") return Infinity
    const startedAt = confirmedAt ?? assignedAt
    const expected = expectRunTimeOn(run, worker)
    if (hasEarlierWork) return expected === undefined ? Infinity : expected * (1 - progressPercent / 100)
    return expectRemaining({
      elapsed: clock.now() - startedAt,
      progressPercent,
      elapsedAtProgress: Math.max(0, (worker.clock?.localTime ?? startedAt) - startedAt),
      expected,
    })
  }

  function expectEarliestEnd(assignment: Assignment, worker: WorkerState): Milliseconds {
    if (assignment.run.step.lasting) return Infinity
    const after = expectEnd(assignment, worker)
    return assignment.phase !== "running" || after === Infinity ? 0 : after
  }

  function listReleases(
    listed: Map<WorkerState, readonly ExpectedRelease[]>,
    worker: WorkerState,
    expect: (assignment: Assignment, worker: WorkerState) => Milliseconds,
  ): readonly ExpectedRelease[] {
    const known = listed.get(worker)
    if (known) return known
    const found = [...worker.assignments.values()]
      .map(assignment => ({
        after: expect(assignment, worker),
        capacity: requiredCapacity(assignment.run.step),
      }))
      .filter(({after}) => after !== Infinity)
      .sort((one, other) => one.after - other.after)
    listed.set(worker, found)
    return found
  }

  return {
    releasesOf: worker => listReleases(releases, worker, expectEnd),
    earliestReleasesOf: worker => listReleases(earliestReleases, worker, expectEarliestEnd),
    runTimeOn: expectRunTimeOn,
    endPass() {
      releases.clear()
      earliestReleases.clear()
    },
  }
}
