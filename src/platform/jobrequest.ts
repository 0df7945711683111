/**
 * Decodes and validates a submitted job. Problems are collected up to a limit, each with the field that it concerns: a
 * body of the longest length can have so many that their description would be many times as long.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {estimateMemory, MAX_JOB_BYTES} from "../pipelines/footprint.js"
import type {PipelineJob, Queue, Step} from "../pipelines/model.js"
import type {JsonObject} from "./wire.js"
import {asBoolean, asArray, asNumber, asObject, asString, parseJson, readResources} from "./wire.js"

/** The longest payload that the platform allows. */
const PAYLOAD_LIMIT_BYTES = 4000
/** Limit on the name of a label, a rack or an image; the platform's own have some tens of characters. */
const MAX_NAME_LENGTH = 1000
/** Limit on the tasks of a step and on the occurrences of a job, so that a request cannot exhaust the memory. */
const MAX_COUNT = 100_000
/** More than anybody reads at once. */
const MAX_PROBLEMS = 20

/** The properties of a job that come from its path, its caller and the clock instead of the request body. */
export interface JobIdentity {
  readonly id: string
  readonly queue: Queue
  readonly acceptedAt: number
  readonly workspace?: string | undefined
}

function isWholeNumber(value: unknown, minimum: number): value is number {
  return typeof value === "number" && Number.isInteger(value) && value >= minimum && value <= MAX_COUNT
}

function readStep(fields: JsonObject): Step {
  return {
    count: asNumber(fields.Count),
    demand: readResources(fields),
    estimate: asNumber(fields.EstimateMs),
    after: [...new Set(asArray(fields.After).map(earlier => asNumber(earlier)))],
    checkpointing: asBoolean(fields.Checkpointing),
    gang: asBoolean(fields.Gang),
    sameRack: asBoolean(fields.SameRack),
    label: asString(fields.RequiredLabel),
    preferredRack: asString(fields.Affinity),
    perWorker: asNumber(fields.AntiAffinity),
    speculative: asBoolean(fields.Speculative),
    lasting: asBoolean(fields.LongRunning),
    image: asString(fields.Image),
    tailLimit: asNumber(fields.TargetMs),
    fills: asBoolean(fields.Fills),
    mayMiss: asNumber(fields.MayMiss),
  }
}

function* findStepProblems(value: unknown, index: number): Generator<string, void> {
  const fields = asObject(value)
  const field = `Pipeline[${index}]`
  if (!isWholeNumber(fields.Count, 1)) yield `${field}.Count is not a whole number of at least 1.`
  for (const name of ["Cpu", "MemMb", "Gpu"]) {
    const demand = fields[name]
    if (demand !== undefined && !(typeof demand === "number" && demand >= 0))
      yield `${field}.${name} is not a number of at least 0.`
  }
  for (const name of ["RequiredLabel", "Affinity", "Image"]) {
    if (asString(fields[name]).length > MAX_NAME_LENGTH)
      yield `${field}.${name} is longer than ${MAX_NAME_LENGTH} characters.`
  }
  for (const earlier of asArray(fields.After)) {
    if (!isWholeNumber(earlier, 0) || earlier >= index)
      yield `${field}.After names a step that is not an earlier one.`
  }
}

function* findProblems(fields: JsonObject): Generator<string, void> {
  const steps = asArray(fields.Pipeline)
  for (const [index, step] of steps.entries()) yield* findStepProblems(step, index)
  if (steps.length === 0) yield "Pipeline is not a list of at least one step."
  if (Buffer.byteLength(asString(fields.Spec)) > PAYLOAD_LIMIT_BYTES)
    yield `Spec is longer than ${PAYLOAD_LIMIT_BYTES} bytes.`
  const repeats = asNumber(fields.RepeatCount)
  if (repeats !== 0 && !isWholeNumber(repeats, 0)) yield "RepeatCount is not a whole number."
}

function listProblems(fields: JsonObject): readonly string[] {
  const problems: string[] = []
  for (const problem of findProblems(fields)) {
    if (problems.length === MAX_PROBLEMS) return [...problems, "There are more problems."]
    problems.push(problem)
  }
  return problems
}

/**
 * Decodes the request body of a submitted job, whose record may take up to `longestRecord` bytes. The error lists the
 * first problems.
 */
export function readJobRequest(
  body: string,
  identity: JobIdentity,
  longestRecord: number,
): Result<PipelineJob, readonly string[]> {
  const fields = asObject(parseJson(body))
  const steps = asArray(fields.Pipeline)
  const problems = listProblems(fields)
  if (problems.length > 0) return err(problems)
  const payload = asString(fields.Spec)
  const repeats = asNumber(fields.RepeatCount)
  const job = {
    ...identity,
    payload,
    steps: steps.map(step => readStep(asObject(step))),
    occurrences: Math.max(1, repeats),
    firstDue: repeats > 0 ? asNumber(fields.StartAtMs) : 0,
    interval: asNumber(fields.IntervalMs),
  }
  if (estimateMemory(job) > MAX_JOB_BYTES) return err(["Pipeline has too many steps or tasks for one job."])
  // The record names every field of each step, so it is longer than the request.
  const recordLength = Buffer.byteLength(JSON.stringify(job))
  if (recordLength > longestRecord)
    return err([`The job takes ${recordLength} bytes in the store, which is more than ${longestRecord}.`])
  return ok(job)
}
