/** Places the tasks of a step, or lets it wait where tasks would start in a slower place; see `nearwaits.ts`. */
import {placeTasks} from "../pipelines/placing.js"
import type {WorkerOption} from "../pipelines/placing.js"
import {findAllowedWorkers} from "./candidates.js"
import type {BetterRack, NearWaits} from "./nearwaits.js"
import type {OpenStep} from "./opensteps.js"
import {PLACING_WORK} from "./passbudget.js"
import type {WorkBudget} from "./passbudget.js"
import type {WorkerState} from "./state.js"
import type {WorkerGroup} from "./workerindex.js"

/** The racks on which the step would run faster, with their workers on which it is known to be allowed. */
function listBetterRacks(open: OpenStep, {workers}: WorkerGroup): readonly BetterRack[] {
  const {step} = open.run
  const byRack = new Map<string, WorkerState[]>()
  if (step.preferredRack !== "") byRack.set(step.preferredRack, [])
  for (const worker of findAllowedWorkers(open, workers)) {
    const {rack} = worker.listing
    const listed = byRack.get(rack)
    if (listed) listed.push(worker)
    else if (step.preferredRack === "") byRack.set(rack, [worker])
  }
  return [...byRack].map(([rack, listed]) => ({rack, workers: listed}))
}

/**
 * Chooses workers for the tasks. Where some would start on a slower rack and a wait for a better one pays, only those are
 * placed now that find room there.
 */
export function placeOrWait(
  open: OpenStep,
  wanted: number,
  options: readonly WorkerOption[],
  group: WorkerGroup,
  toOption: (worker: WorkerState) => WorkerOption,
  waits: NearWaits,
  budget: WorkBudget,
): readonly string[] {
  const {step} = open.run
  const chosen = placeTasks(step, wanted, options)
  if (chosen.length === 0 || !waits.concerns(open.run)) return chosen
  const rackOf = new Map(options.map(({id, rack}) => [id, rack]))
  const racks = new Set(chosen.map(id => rackOf.get(id)))
  const isBest =
    step.preferredRack === "" ? racks.size === 1 : [...racks].every(rack => rack === step.preferredRack)
  if (isBest) return chosen
  const near = step.preferredRack === "" ? [] : options.filter(({rack}) => step.preferredRack === rack)
  const startsNear = placeTasks(step, wanted, near)
  const better = listBetterRacks(open, group)
  budget.spend(better.reduce((sum, {workers}) => sum + workers.length * PLACING_WORK, 0))
  const start = {
    open,
    tasks: wanted,
    startingNow: startsNear.length,
    racks: better,
    freeOn: (worker: WorkerState) => toOption(worker).free,
  }
  return waits.decide(start) ? startsNear : chosen
}
