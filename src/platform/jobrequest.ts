/** Decodes a job that a client hands in. Every fault is collected with its place. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {PipelineJob, Queue, Step} from "../pipelines/model.js"
import type {WireObject} from "./wire.js"
import {asFlag, asList, asNumber, asObject, asText, parseJson, readResources} from "./wire.js"

/** The longest payload in bytes, as the platform states it. */
const PAYLOAD_LIMIT = 4000
/** A bound on the tasks of a step and on occurrences, against requests that would fill the memory. */
const COUNT_LIMIT = 100_000

/** What the request line and the clock say of the job. */
export interface JobIdentity {
  readonly id: string
  readonly queue: Queue
  readonly acceptedAt: number
}

function wholeNumber(value: unknown, least: number): value is number {
  return typeof value === "number" && Number.isInteger(value) && value >= least && value <= COUNT_LIMIT
}

function readStep(fields: WireObject): Step {
  return {
    count: asNumber(fields.Count),
    demand: readResources(fields),
    estimate: asNumber(fields.EstimateMs),
    after: asList(fields.After).map(earlier => asNumber(earlier)),
    checkpointing: asFlag(fields.Checkpointing),
    gang: asFlag(fields.Gang),
    sameRack: asFlag(fields.SameRack),
    label: asText(fields.RequiredLabel),
    preferredRack: asText(fields.Affinity),
    perWorker: asNumber(fields.AntiAffinity),
    speculative: asFlag(fields.Speculative),
    lasting: asFlag(fields.LongRunning),
    image: asText(fields.Image),
    tailLimit: asNumber(fields.TargetMs),
    fills: asFlag(fields.Fills),
    mayMiss: asNumber(fields.MayMiss),
  }
}

function stepProblems(value: unknown, index: number): readonly string[] {
  const fields = asObject(value)
  const place = `Pipeline[${index}]`
  const problems: string[] = []
  if (!wholeNumber(fields.Count, 1)) problems.push(`${place}.Count is not a whole number of at least 1.`)
  for (const name of ["Cpu", "MemMb", "Gpu"]) {
    const demand = fields[name]
    if (demand !== undefined && !(typeof demand === "number" && demand >= 0))
      problems.push(`${place}.${name} is not a number of at least 0.`)
  }
  for (const earlier of asList(fields.After)) {
    if (!wholeNumber(earlier, 0) || earlier >= index)
      problems.push(`${place}.After names a step that is not an earlier one.`)
  }
  return problems
}

/** Reads the body of a submission. On failure the error lists every problem. */
export function readJobRequest(body: string, identity: JobIdentity): Result<PipelineJob, readonly string[]> {
  const fields = asObject(parseJson(body))
  const steps = asList(fields.Pipeline)
  const problems = steps.flatMap((step, index) => stepProblems(step, index))
  if (steps.length === 0) problems.push("Pipeline is not a list of at least one step.")
  const payload = asText(fields.Spec)
  if (Buffer.byteLength(payload) > PAYLOAD_LIMIT) problems.push(`Spec is longer than ${PAYLOAD_LIMIT} bytes.`)
  const repeats = asNumber(fields.RepeatCount)
  if (repeats !== 0 && !wholeNumber(repeats, 0)) problems.push("RepeatCount is not a whole number.")
  if (problems.length > 0) return err(problems)
  return ok({
    ...identity,
    payload,
    steps: steps.map(step => readStep(asObject(step))),
    occurrences: Math.max(1, repeats),
    firstDue: repeats > 0 ? asNumber(fields.StartAtMs) : 0,
    interval: asNumber(fields.IntervalMs),
  })
}
