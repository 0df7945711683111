/**
 * Steps that wait for a place where their tasks run faster: on the rack of their data, or all on one rack. A scheduling
 * pass asks for each step that would otherwise start elsewhere whether a wait pays; `pipelines/waiting.ts` weighs it. A
 * waiting step holds nothing: capacity near its data goes to whoever comes first in scheduling order, and the step itself
 * starts elsewhere as soon as the wait no longer pays.
 *
 * Which steps wait is in the leader's memory. Without learned run times no step waits: what a successor does not know
 * costs no more than the gain.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {Resources} from "../core/resources.js"
import {add, dominantShare, NO_RESOURCES, scale} from "../core/resources.js"
import {criticalPathLength, LATE_FACTOR, latencyObjective} from "../pipelines/order.js"
import {createRackDemand} from "../pipelines/rackdemand.js"
import type {Crowd, WaitPrices, WaitVerdict} from "../pipelines/waiting.js"
import {
  boundWait,
  crowdingOf,
  costOfSlowerPlace,
  expectOpenings,
  LONGEST_WAIT_MS,
  weighWait,
} from "../pipelines/waiting.js"
import {requiredCapacity} from "../pipelines/placing.js"
import {countTasksByWorker} from "./candidates.js"
import type {ExpectedEnds} from "./expectedends.js"
import type {LearnedRuns} from "./learnedruns.js"
import type {OpenStep} from "./opensteps.js"
import type {StepRun, WorkerState} from "./state.js"

/** A rack on which the step runs faster, with the workers there that may run it. */
export interface BetterRack {
  readonly rack: string
  readonly workers: readonly WorkerState[]
}

/** A step of which some tasks would now start in a slower place. */
export interface SlowerStart {
  readonly open: OpenStep
  /** The number of tasks that may start. */
  readonly tasks: number
  /** How many of them have a place on a better rack now. */
  readonly startingNow: number
  readonly racks: readonly BetterRack[]
  readonly freeOn: (worker: WorkerState) => Resources
}

export interface NearWaits {
  /** False where all places are equal: for a step that prefers none, or if other racks are not slower. */
  readonly concerns: (run: StepRun) => boolean
  /** Called when a pass comes to a step that prefers a rack and may start. Its wait counts from the first time. */
  readonly recordTurn: (run: StepRun, usualCapacity: Resources) => void
  /** True if the tasks should wait. The answer holds for one pass. */
  readonly decide: (start: SlowerStart) => boolean
  /** True if the pass has decided that the step waits. */
  readonly isWaiting: (run: StepRun) => boolean
  /** How much of each worker of the rack is in demand from steps that wait for it; 1 stands for a whole worker. */
  readonly pressureOn: (rack: string) => number
  /** Called at the end of a pass. */
  readonly endPass: () => void
  readonly counts: () => Readonly<Record<string, number>>
}

/** For a fleet in which all racks are equal. */
export const NO_NEAR_WAITS: NearWaits = {
  concerns: () => false,
  recordTurn: () => undefined,
  decide: () => false,
  isWaiting: () => false,
  pressureOn: () => 0,
  endPass: () => undefined,
  counts: () => ({}),
}

/** What is known of a step that prefers a rack. */
interface Turn {
  readonly openedAt: Milliseconds
  /** When the wait began; undefined while the step does not wait. */
  waitsSince: Milliseconds | undefined
  /** The last pass that has decided that the step waits. */
  waitsInPass: number
  /** The step started elsewhere, or will. */
  isDeclined: boolean
}

const NO_CROWD: Crowd = {position: 1, load: 0}

interface ExpectedWait {
  readonly better: BetterRack | undefined
  readonly wait: Milliseconds
  readonly crowd: Crowd
}

/** Steps that wait for a rack, in the order of a pass. */
interface Claims {
  /** Number of steps. */
  steps: number
  demand: Resources
  share: number
}

export function createNearWaits(
  clock: Pick<Clock, "now">,
  log: Pick<Logger, "info">,
  remoteFactor: number,
  {expectRunTime}: Pick<LearnedRuns, "expectRunTime">,
  ends: Pick<ExpectedEnds, "releasesOf">,
): NearWaits {
  const rackDemand = createRackDemand()
  const turns = new Map<StepRun, Turn>()
  let pass = 1
  /** By rack, of the pass under way and of the last one. */
  let claims = new Map<string, Claims>()
  let lastClaims = new Map<string, Claims>()
  /** Work comes for a rack that holds the data of a step, but for no certain one if the tasks only have to be together. */
  function crowdOf({rack, workers}: BetterRack): Crowd {
    return {
      position: (claims.get(rack)?.steps ?? 0) + 1,
      load: workers.length === 0 ? 0 : rackDemand.rate(rack, clock.now()) / workers.length,
    }
  }

  /** The expected time until all of the tasks have room on one of the racks, after those that come first. */
  function expectWait({open, tasks, racks, freeOn}: SlowerStart, horizon: Milliseconds): ExpectedWait {
    const {step} = open.run
    const demand = requiredCapacity(step)
    const held = countTasksByWorker(open.run)
    const [first] = racks
    let shortest: ExpectedWait = {better: first, wait: Infinity, crowd: first ? crowdOf(first) : NO_CROWD}
    for (const better of racks) {
      const {rack, workers} = better
      const crowd = crowdOf(better)
      // Nobody waits for such a rack, so that its workers need no look.
      if (horizon <= 0 || crowdingOf(crowd) === Infinity) continue
      const ahead = Math.ceil(dominantShare(claims.get(rack)?.demand ?? NO_RESOURCES, demand))
      const places = workers.map(worker => ({
        free: freeOn(worker),
        limit: step.perWorker === 0 ? Infinity : step.perWorker - (held.get(worker) ?? 0),
        releases: ends.releasesOf(worker),
      }))
      const wait = expectOpenings(demand, ahead + tasks, places, horizon)
      if (wait < shortest.wait) shortest = {better, wait, crowd}
    }
    return shortest
  }

  /** The latency objective by learned run times, since that of the estimates may be off by a factor. */
  function pricesOf({run, rank, queue}: OpenStep, turn: Turn): WaitPrices | undefined {
    const {job} = run.owner
    const runTime = expectRunTime(job, run.stepIndex)
    if (runTime === undefined) return undefined
    const learned = {
      ...job,
      steps: job.steps.map((step, index) => ({
        ...step,
        estimate: expectRunTime(job, index) ?? step.estimate,
      })),
    }
    const objective = latencyObjective(learned, queue)
    const now = clock.now()
    return {
      runTime,
      remoteFactor,
      timeToEnd: criticalPathLength(learned, run.stepIndex),
      untilDue: rank.arrived + objective - now,
      untilTooLate: rank.arrived + LATE_FACTOR * objective - now,
      waited: now - (turn.waitsSince ?? now),
      sinceTurn: now - turn.openedAt,
    }
  }

  function claim({open, tasks, startingNow}: SlowerStart, {rack, workers}: BetterRack): void {
    const demand = requiredCapacity(open.run.step)
    const waiting = tasks - startingNow
    const capacity = workers[0]?.listing.capacity
    if (!capacity) return
    const claimed = claims.get(rack) ?? {steps: 0, demand: NO_RESOURCES, share: 0}
    claimed.steps += 1
    claimed.demand = add(claimed.demand, scale(demand, waiting))
    claimed.share += (waiting * dominantShare(demand, capacity)) / workers.length
    claims.set(rack, claimed)
  }

  function endWait(run: StepRun, turn: Turn, outcome: WaitVerdict | "near" | "left"): void {
    if (turn.waitsSince === undefined) return
    const took = Math.round(clock.now() - turn.waitsSince)
    turn.waitsSince = undefined
    log.info(
      {event: "wait-ended", step: run.name, outcome, took, waiting: run.waiting.size},
      outcome === "near"
        ? "all tasks of a step that waited have started in a better place"
        : "a step no longer waits for a better place",
    )
  }

  function decide(start: SlowerStart): boolean {
    const {open, tasks, startingNow} = start
    const {run, queue} = open
    const turn = turns.get(run)
    if (!turn || turn.isDeclined) return false
    const prices = pricesOf(open, turn)
    const bound = prices && boundWait(prices).bound
    const horizon = prices && bound ? Math.min(LONGEST_WAIT_MS, costOfSlowerPlace(prices)) : 0
    const {better, wait, crowd} = expectWait(start, horizon)
    const verdict = prices === undefined ? "unknown" : weighWait(wait, prices, crowd)
    const inputs = {
      step: run.name,
      queue: queue.name,
      rack: better?.rack,
      tasks,
      startingNow,
      // Undefined if it takes longer than the slower place costs.
      expected: wait === Infinity ? undefined : Math.round(wait),
      cost: prices && Math.round(costOfSlowerPlace(prices)),
      bound: bound === undefined ? undefined : Math.round(bound),
      ...crowd,
      load: Math.round(crowd.load * 100) / 100,
    }
    if (verdict === "pays") {
      if (better) claim(start, better)
      turn.waitsInPass = pass
      if (turn.waitsSince === undefined) {
        turn.waitsSince = clock.now()
        log.info({event: "wait-begun", ...inputs}, "a step waits for a place where its tasks run faster")
      }
      return true
    }
    turn.isDeclined = true
    if (turn.waitsSince !== undefined && verdict !== "unknown") endWait(run, turn, verdict)
    else
      log.info(
        {event: "wait-declined", ...inputs, outcome: verdict},
        "tasks start in a slower place, since a wait for a better one does not pay",
      )
    return false
  }

  return {
    concerns: ({step}) => remoteFactor > 1 && (step.preferredRack !== "" || step.sameRack),
    recordTurn(run, usualCapacity) {
      if (turns.has(run)) return
      const {step, owner, stepIndex, waiting} = run
      const runTime = expectRunTime(owner.job, stepIndex) ?? step.estimate
      const work = waiting.size * dominantShare(requiredCapacity(step), usualCapacity) * runTime
      if (step.preferredRack !== "") rackDemand.add(step.preferredRack, work, clock.now())
      turns.set(run, {openedAt: clock.now(), waitsSince: undefined, waitsInPass: 0, isDeclined: false})
    },
    decide,
    isWaiting: run => turns.get(run)?.waitsInPass === pass,
    pressureOn: rack => Math.max(claims.get(rack)?.share ?? 0, lastClaims.get(rack)?.share ?? 0),
    endPass() {
      for (const [run, turn] of turns) {
        const isOver = run.owner.progress.outcome !== undefined
        if (!isOver && run.waiting.size > 0) continue
        endWait(run, turn, isOver ? "left" : "near")
        turns.delete(run)
      }
      pass += 1
      lastClaims = claims
      claims = new Map()
    },
    counts: () => ({
      waiting_for_rack: [...turns.values()].filter(({waitsSince}) => waitsSince !== undefined).length,
    }),
  }
}
