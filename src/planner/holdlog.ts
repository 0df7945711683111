/**
 * Logs which steps the limits of their workspaces hold. A workspace that sends many times what its limit admits has
 * hundreds of steps that wait in each pass, so each step is logged once for a reason, and no more than some in a second.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import type {HoldReason, WorkspaceUse} from "../pipelines/workspaceroom.js"
import type {HeldStep} from "./planningpass.js"
import type {StepRun} from "./state.js"

const MAXIMUM_LINES = 20
const INTERVAL_MS: Milliseconds = 1000

export interface HoldLog {
  readonly record: (held: readonly HeldStep[], uses: ReadonlyMap<string, WorkspaceUse>) => void
}

export function createHoldLog(clock: Pick<Clock, "now">, log: Logger): HoldLog {
  const logged = new WeakMap<StepRun, HoldReason>()
  let intervalBegan = -Infinity
  let lines = 0
  /** Steps that were not logged since the last line. */
  let omitted = 0

  function recordStep({run, reason}: HeldStep, uses: ReadonlyMap<string, WorkspaceUse>): void {
    if (logged.get(run) === reason) return
    logged.set(run, reason)
    if (lines >= MAXIMUM_LINES) {
      omitted += 1
      return
    }
    const {workspace = ""} = run.owner.job
    const {limit, occupied} = uses.get(workspace) ?? {}
    const {demand, gang} = run.step
    const waiting = run.waiting.size
    const fields = {
      event: "step-held",
      step: run.name,
      workspace,
      reason,
      waiting,
      gang,
      demand,
      occupied,
      limit,
    }
    const message = "the limit of its workspace lets no task of the step start"
    if (reason === "limit") log.info({...fields, omitted}, message)
    else log.warn({...fields, omitted}, `${message}, whatever else of it runs`)
    lines += 1
    omitted = 0
  }

  return {
    record(held, uses) {
      if (clock.now() - intervalBegan >= INTERVAL_MS) {
        intervalBegan = clock.now()
        lines = 0
      }
      for (const step of held) recordStep(step, uses)
    },
  }
}
