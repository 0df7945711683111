/** Takes jobs in: checks each, recognizes a repeated one, and answers once it is durable. */
import {createHash, randomUUID} from "node:crypto"
import type {Clock, Milliseconds} from "../core/clock.js"
import {withTimeout} from "../core/clock.js"
import type {EnvironmentDocument} from "../document/model.js"
import type {Job, JobSpecification} from "../jobs/job.js"
import {readJobRequest} from "../jobs/request.js"
import {explainInfeasibility} from "../placement/feasibility.js"
import type {PoolCapacity} from "../placement/feasibility.js"
import {invalidJob, problem} from "./jobanswers.js"
import type {JobAnswer} from "./jobanswers.js"
import type {JobBook} from "./jobbook.js"
import type {Logger} from "../core/logger.js"

export interface JobIntakePorts {
  readonly clock: Clock
  readonly log: Logger
  readonly jobGroup: string
  readonly book: JobBook
  readonly document: () => EnvironmentDocument | undefined
  readonly poolShape: (pool: string) => PoolCapacity | undefined
  readonly storeIsReachable: () => boolean
  readonly describe: (job: Job) => object
  /** The job is durable and its tasks may be placed. */
  readonly onAccepted: (job: string) => void
}

const ACCEPT_WAIT_MS: Milliseconds = 3000
const KEY_LENGTH = 24

/** The name of a job: its group, so that any instance finds its home, and a part that is the same for equal keys. */
function nameFor(jobGroup: string, key: string): string {
  const index = jobGroup.slice(jobGroup.indexOf("/") + 1)
  const part =
    key === ""
      ? randomUUID().replaceAll("-", "").slice(0, KEY_LENGTH)
      : createHash("sha256").update(key).digest("hex").slice(0, KEY_LENGTH)
  return `${index}-${part}`
}

/** Creates the intake of one home. */
export function jobIntake(ports: JobIntakePorts): (key: string, body: unknown) => Promise<JobAnswer> {
  const {clock, log, jobGroup, book} = ports
  const accepting = new Map<string, Promise<unknown>>()

  async function submit(key: string, body: unknown): Promise<JobAnswer> {
    const document = ports.document()
    if (!document)
      return problem(503, "no-configuration", "No document is in force yet", "Try again soon.", "not-run")
    const team =
      typeof body === "object" && body !== null ? String((body as {readonly team?: unknown}).team) : ""
    const name = nameFor(jobGroup, key === "" ? "" : `${team}\n${key}`)
    const read = readJobRequest(body, name, document, clock.wallClock())
    if (read.isErr()) return invalidJob(read.error)
    const specification = read.value
    const known = book.get(name)
    if (known) return repeated(known, specification)
    const never = explainInfeasibility(specification, ports.poolShape(specification.pool))
    if (never !== undefined) return problem(422, "never-runnable", "The job can never run", never, "not-run")
    if (!ports.storeIsReachable()) {
      const detail =
        "The platform's store does not answer, so the job cannot be made durable. Try again later."
      return problem(503, "store-unavailable", "The job was not accepted", detail, "not-run")
    }
    return accept(specification)
  }

  async function repeated(known: Job, specification: JobSpecification): Promise<JobAnswer> {
    const name = specification.job
    if (known.specification.requestDigest !== specification.requestDigest) {
      const detail = "The idempotency key belongs to a job with a different request."
      return problem(422, "key-reused", "The idempotency key was used before", detail, "not-run")
    }
    const durable = accepting.get(name)
    if (durable) await withTimeout(clock, durable, ACCEPT_WAIT_MS, undefined)
    if (accepting.has(name)) return unclearAcceptance()
    return {status: 200, body: ports.describe(known)}
  }

  function unclearAcceptance(): JobAnswer {
    const detail = "Whether the job was written down is not known yet. Repeat the request with the same key."
    return problem(503, "acceptance-unknown", "The job may have been accepted", detail, "unknown")
  }

  async function accept(specification: JobSpecification): Promise<JobAnswer> {
    const name = specification.job
    const durable = book.record({type: "accepted", specification})
    accepting.set(name, durable)
    const result = await withTimeout(clock, durable, ACCEPT_WAIT_MS, undefined)
    if (!result) {
      void durable.then(late => {
        accepting.delete(name)
        if (late.isOk()) ports.onAccepted(name)
      })
      return unclearAcceptance()
    }
    accepting.delete(name)
    if (result.isErr()) return unclearAcceptance()
    ports.onAccepted(name)
    const job = book.get(name)
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
    return job ? {status: 202, body: ports.describe(job)} : unclearAcceptance()
  }

  return submit
}
