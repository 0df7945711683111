/** Responses to requests about jobs: JSON bodies and problem details (RFC 9457). */
import type {Job, Task} from "../jobs/job.js"
import {jobResultOf} from "../jobs/job.js"
import type {RequestFinding} from "../jobs/request.js"

export interface JobResponse {
  readonly status: number
  readonly body: object
}

/** A task as it appears in the response. */
export interface TaskDescription {
  readonly index: number
  readonly state: string
  readonly detail: string
  readonly worker: string
}

const PROBLEM_BASE = "urn:lacewingstream:problem:"

/** Builds a problem response. `execution` states whether it is certain that the requested work has not run. */
export function problem(
  status: number,
  type: string,
  title: string,
  detail: string,
  execution: "not-run" | "unknown",
  extra: object = {},
): JobResponse {
  return {status, body: {type: PROBLEM_BASE + type, title, status, detail, execution, ...extra}}
}

export function invalidJob(findings: readonly RequestFinding[]): JobResponse {
  const detail = `The request has ${findings.length} findings.`
  return problem(422, "invalid-job", "The job cannot be accepted", detail, "not-run", {findings})
}

export function noSuchJob(job: string): JobResponse {
  return problem(404, "no-such-job", "There is no such job", `No job named ${job} is known.`, "unknown")
}

/** The state of one task: its result, or the phase of its current attempt. */
export function taskState(task: Task, phase: string | undefined): string {
  if (task.result !== undefined) return task.result
  if (phase === "running") return "running"
  if (phase === "stopping") return "stopping"
  return phase === undefined ? "waiting" : "starting"
}

function countStates(tasks: readonly TaskDescription[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const {state} of tasks) counts[state] = (counts[state] ?? 0) + 1
  return counts
}

/** Builds the full description of a job. `explanation` holds the reasons why it waits. */
export function describeJob(
  job: Job,
  tasks: readonly TaskDescription[],
  explanation: readonly string[],
): object {
  const {specification} = job
  const result = jobResultOf(job)
  return {
    job: specification.job,
    team: specification.team,
    workload: specification.workload,
    kind: specification.kind,
    acceptedAt: new Date(specification.acceptedAt).toISOString(),
    state: result === "open" ? (job.cancelled ? "cancelling" : "open") : "ended",
    execution: result === "open" ? "unknown" : result,
    cancelled: job.cancelled,
    counts: countStates(tasks),
    tasks,
    explanation,
  }
}
