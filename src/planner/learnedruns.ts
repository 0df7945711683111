/**
 * What the leader learns from tasks that end well: how long tasks of a queue's steps run, and how fast workers are. The
 * state is in memory, in `RunTimes` and with each worker, and a successor learns anew.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {PipelineJob} from "../pipelines/model.js"
import {createRunTimes} from "../pipelines/runtimes.js"
import type {LearnedSpeed} from "../pipelines/workerspeeds.js"
import {isSlow, learnSpeeds, relativeSpeed} from "../pipelines/workerspeeds.js"
import type {Assignment, StepRun, WorkerState} from "./state.js"

/** The ends of one step that are compared with each other. */
const MAXIMUM_COMPARED_ENDS = 128

/** A worker that was reported as slow is reported again above this speed, so that a borderline one is not all the time. */
const USUAL_SPEED = 0.85

export interface LearnedRuns {
  /** Called when a task has ended well, while it is still assigned. */
  readonly recordDone: (assignment: Assignment) => void
  /** Expected run time of a task on a typical worker near its data; undefined while too little is known. */
  readonly expectRunTime: (job: PipelineJob, stepIndex: number) => Milliseconds | undefined
  /** The same on this worker, and apart from its data if the worker is. */
  readonly expectRunTimeOn: (run: StepRun, worker: WorkerState) => Milliseconds | undefined
  /** Number of kinds of step whose run times are known. */
  readonly size: () => number
}

function runsApart(run: StepRun, worker: WorkerState): boolean {
  const {step, assignments} = run
  if (step.preferredRack !== "") return worker.listing.rack !== step.preferredRack
  return step.sameRack && [...assignments].some(other => other.worker.listing.rack !== worker.listing.rack)
}

export function createLearnedRuns(
  clock: Pick<Clock, "now">,
  log: Pick<Logger, "info">,
  remoteFactor: number,
): LearnedRuns {
  const runTimes = createRunTimes()
  /** Workers that were reported as slow. */
  const slowWorkers = new WeakSet<WorkerState>()

  function factorOn(run: StepRun, worker: WorkerState): number {
    return (runsApart(run, worker) ? remoteFactor : 1) / relativeSpeed(worker.speed)
  }

  function expectRunTime(job: PipelineJob, stepIndex: number): Milliseconds | undefined {
    return runTimes.expect(job.queue.name, stepIndex, job.steps[stepIndex]?.estimate ?? 0)
  }

  function setSpeed(worker: WorkerState, speed: LearnedSpeed): void {
    worker.speed = speed
    const wasSlow = slowWorkers.has(worker)
    if (wasSlow ? relativeSpeed(speed) < USUAL_SPEED : !isSlow(speed)) return
    if (wasSlow) slowWorkers.delete(worker)
    else slowWorkers.add(worker)
    const {id} = worker.listing
    const rounded = Math.round(relativeSpeed(speed) * 100) / 100
    log.info(
      {
        event: "worker-speed",
        worker: id,
        speed: rounded,
        ends: speed.ends,
        outcome: wasSlow ? "usual" : "slow",
      },
      "the learned speed of a worker is low, or no longer so",
    )
  }

  /** Compares the tasks of a step once all have ended. The members of a gang end together, whatever their workers. */
  function compareWorkers(run: StepRun, worker: WorkerState, duration: Milliseconds): void {
    const {step, comparedEnds, waiting, assignments} = run
    if (step.gang || step.count === 1) return
    if (comparedEnds.length < MAXIMUM_COMPARED_ENDS) comparedEnds.push({worker, duration})
    if (waiting.size > 0 || assignments.size > 1) return
    const learned = learnSpeeds(comparedEnds.map(ended => ({...ended, speed: ended.worker.speed})))
    comparedEnds.forEach((ended, index) => setSpeed(ended.worker, learned[index] ?? ended.worker.speed))
    comparedEnds.length = 0
  }

  return {
    recordDone(assignment) {
      const {run, worker, confirmedAt, hasEarlierWork, phase} = assignment
      const {step, stepIndex, owner} = run
      if (confirmedAt === undefined || hasEarlierWork || phase === "stopping") return
      if (step.lasting || step.fills) return
      const duration = clock.now() - confirmedAt
      runTimes.record({
        queue: owner.job.queue.name,
        stepIndex,
        tasks: step.count,
        estimate: step.estimate,
        duration: duration / factorOn(run, worker),
      })
      compareWorkers(run, worker, duration / (runsApart(run, worker) ? remoteFactor : 1))
    },
    expectRunTime,
    expectRunTimeOn(run, worker) {
      const near = expectRunTime(run.owner.job, run.stepIndex)
      return near === undefined ? undefined : near * factorOn(run, worker)
    },
    size: runTimes.size,
  }
}
