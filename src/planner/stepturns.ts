/**
 * Which waiting steps a scheduling pass handles when it cannot handle all. Most of the work goes to the most urgent
 * steps; the rest goes to those that were not handled for longest, so that each waiting step is handled in its turn.
 */
import type {OpenStep} from "./opensteps.js"
import type {StepRun} from "./state.js"
import type {WorkBudget} from "./passbudget.js"

/** Share of the work of a pass that is reserved for steps that the most urgent ones leave no time for. */
const TURNS_SHARE = 0.25

export interface StepTurns {
  /**
   * Handles the steps, which are in scheduling order, until the budget is spent. `isUrgent` is false for a step that is
   * handled ahead of more urgent ones. Returns whether all were handled.
   */
  readonly handle: (
    steps: readonly OpenStep[],
    budget: WorkBudget,
    handleStep: (open: OpenStep, isUrgent: boolean) => void,
  ) => boolean
}

/** Remembers between passes which steps were not handled for longest. */
export function createStepTurns(): StepTurns {
  /** Steps that wait for their turn, the one that was not handled for longest first. */
  const turns = new Set<StepRun>()

  return {
    handle(steps, budget, handleStep) {
      const keptForTurns = budget.left() * TURNS_SHARE
      let reached = 0
      for (const open of steps) {
        // At least one step is handled, however much work it is.
        if (reached > 0 && budget.left() <= keptForTurns) break
        handleStep(open, true)
        reached += 1
      }
      if (reached === steps.length) {
        turns.clear()
        return true
      }
      const unreached = new Map(steps.slice(reached).map(open => [open.run, open]))
      for (const run of turns) if (!unreached.has(run)) turns.delete(run)
      for (const run of unreached.keys()) turns.add(run)
      let taken = 0
      for (const run of [...turns]) {
        if (taken > 0 && budget.left() === 0) break
        const open = unreached.get(run)
        if (open) handleStep(open, false)
        turns.delete(run)
        taken += 1
      }
      return false
    },
  }
}
