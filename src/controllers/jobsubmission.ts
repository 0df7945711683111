/**
 * Handles submitted jobs: validates each request, recognizes a repeated one by its idempotency key, and responds once
 * the job is durable.
 */
import {createHash, randomUUID} from "node:crypto"
import type {Clock, Milliseconds} from "../core/clock.js"
import {withTimeout} from "../core/clock.js"
import {hash32} from "../core/hash.js"
import type {EnvironmentDocument} from "../document/model.js"
import {estimateJobMemory} from "../jobs/footprint.js"
import type {Job, JobSpecification} from "../jobs/job.js"
import {readJobRequest} from "../jobs/request.js"
import {explainInfeasibility} from "../placement/feasibility.js"
import type {PoolCapacity} from "../placement/feasibility.js"
import {invalidJob, problem} from "./jobresponses.js"
import type {JobResponse} from "./jobresponses.js"
import type {JobRegistry} from "./jobregistry.js"
import type {Logger} from "../core/logger.js"

export interface JobSubmissionPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly jobGroup: string
  readonly registry: JobRegistry
  readonly document: () => EnvironmentDocument | undefined
  readonly poolShape: (pool: string) => PoolCapacity | undefined
  readonly storeIsReachable: () => boolean
  /** Whether the instance has memory for a further job of this size. */
  readonly hasRoom: (bytes: number) => boolean
  readonly describe: (job: Job) => object
  /** Called when the job is durable and its tasks may be placed. */
  readonly onAccepted: (job: string) => void
}

/** If a job is not durable within this time, the response says that its outcome is unknown. */
const ACCEPT_WAIT_MS: Milliseconds = 3000
const NAME_PART_LENGTH = 24
/** When callers should come back where accepted jobs have to end first, each after another time. */
const OVER_CAPACITY_RETRY_SECONDS = 10
const RETRY_SPREAD_SECONDS = 10

function spreadRetry(job: string): number {
  return OVER_CAPACITY_RETRY_SECONDS + (hash32(job) % RETRY_SPREAD_SECONDS)
}

/**
 * Returns the name of a job: the index of its job group, by which any instance finds its home, and a part that is equal
 * for equal keys and random without a key.
 */
function jobNameFor(jobGroup: string, key: string): string {
  const index = jobGroup.slice(jobGroup.indexOf("/") + 1)
  const part =
    key === ""
      ? randomUUID().replaceAll("-", "").slice(0, NAME_PART_LENGTH)
      : createHash("sha256").update(key).digest("hex").slice(0, NAME_PART_LENGTH)
  return `${index}-${part}`
}

/** Creates the function that submits a job to one home. */
export function createJobSubmission(
  ports: JobSubmissionPorts,
): (key: string, body: unknown) => Promise<JobResponse> {
  const {clock, log, jobGroup, registry} = ports
  /** Writes of accepted jobs whose outcome is not known yet, by job name. */
  const pendingAcceptances = new Map<string, Promise<unknown>>()

  async function submit(key: string, body: unknown): Promise<JobResponse> {
    const document = ports.document()
    if (!document)
      return problem(
        503,
        "no-configuration",
        "No environment document is in force yet",
        "Try again soon.",
        "not-run",
      )
    const team =
      typeof body === "object" && body !== null ? String((body as {readonly team?: unknown}).team) : ""
    const name = jobNameFor(jobGroup, key === "" ? "" : `${team}\n${key}`)
    const read = readJobRequest(body, name, document, clock.wallClock())
    if (read.isErr()) return invalidJob(read.error)
    const specification = read.value
    const known = registry.get(name)
    if (known) return answerRepeatedRequest(known, specification)
    const impossibleBecause = explainInfeasibility(specification, ports.poolShape(specification.pool))
    if (impossibleBecause !== undefined)
      return problem(422, "never-runnable", "The job can never run", impossibleBecause, "not-run")
    if (!ports.storeIsReachable()) {
      const detail =
        "The platform's store does not answer, so the job cannot be made durable. Try again later."
      return problem(503, "store-unavailable", "The job was not accepted", detail, "not-run")
    }
    const memory = estimateJobMemory(specification)
    if (!ports.hasRoom(memory)) {
      log.warn(
        {event: "job-over-capacity", jobGroup, job: name, team: specification.team, memory},
        "job refused, since its home could not hold it beside those accepted",
      )
      const detail = "The job's home has no memory for a further job until others have ended."
      return problem(503, "over-capacity", "The job was not accepted", detail, "not-run", {
        retryAfter: spreadRetry(name),
      })
    }
    return accept(specification)
  }

  /** Responds to a request whose job is already known. */
  async function answerRepeatedRequest(known: Job, specification: JobSpecification): Promise<JobResponse> {
    const name = specification.job
    if (known.specification.requestDigest !== specification.requestDigest) {
      const detail = "The idempotency key belongs to a job with a different request."
      return problem(422, "key-reused", "The idempotency key was used before", detail, "not-run")
    }
    const durable = pendingAcceptances.get(name)
    if (durable) await withTimeout(clock, durable, ACCEPT_WAIT_MS, undefined)
    if (pendingAcceptances.has(name)) return acceptanceUnknown()
    return {status: 200, body: ports.describe(known)}
  }

  function acceptanceUnknown(): JobResponse {
    const detail = "It is not known yet whether the job was stored. Repeat the request with the same key."
    return problem(503, "acceptance-unknown", "The job may have been accepted", detail, "unknown")
  }

  async function accept(specification: JobSpecification): Promise<JobResponse> {
    const name = specification.job
    const durable = registry.record({type: "accepted", specification})
    pendingAcceptances.set(name, durable)
    const result = await withTimeout(clock, durable, ACCEPT_WAIT_MS, undefined)
    if (!result) {
      void durable.then(lateResult => {
        pendingAcceptances.delete(name)
        if (lateResult.isOk()) ports.onAccepted(name)
      })
      return acceptanceUnknown()
    }
    pendingAcceptances.delete(name)
    if (result.isErr()) return acceptanceUnknown()
    ports.onAccepted(name)
    const job = registry.get(name)
    log.info(
      {
        event: "job-accepted",
        jobGroup,
        job: name,
        team: specification.team,
        workload: specification.workload,
        tasks: specification.tasks,
      },
      "accepted a job",
    )
    return job ? {status: 202, body: ports.describe(job)} : acceptanceUnknown()
  }

  return submit
}
