/** Checks a caller's job request against the document and fills in defaults. Findings name the JSON member. */
import {createHash} from "node:crypto"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {describeResources, fits, scale} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {EnvironmentDocument, TeamDefinition, WorkloadDefinition} from "../document/model.js"
import type {JobSpecification} from "./job.js"

/** One thing wrong with a request, with a JSON pointer to it. */
export interface RequestFinding {
  readonly pointer: string
  readonly problem: string
}

type Body = Readonly<Record<string, unknown>>

const PAYLOAD_LIMIT = 4096
const LARGEST_PROCESSORS = 4096
const LARGEST_MEMORY_MEBIBYTES = 64 * 1024 * 1024
const LARGEST_ACCELERATORS = 1024
const LONGEST_RUN_MS = 30 * 24 * 3_600_000
const KNOWN_MEMBERS = new Set(["team", "workload", "tasks", "demand", "declaredRun", "priority", "payload"])

class Reader {
  readonly findings: RequestFinding[] = []

  constructor(private readonly body: Body) {}

  report(pointer: string, problem: string): void {
    this.findings.push({pointer, problem})
  }

  name(key: string): string {
    const value = this.body[key]
    if (typeof value === "string" && value !== "") return value
    this.report(`/${key}`, "A text that is not empty is expected.")
    return ""
  }

  number(
    from: Body,
    pointer: string,
    key: string,
    least: number,
    most: number,
    fallback: number | undefined,
  ): number {
    const value = from[key]
    if (value === undefined && fallback !== undefined) return fallback
    if (typeof value === "number" && value >= least && value <= most) return value
    this.report(`${pointer}/${key}`, `A number from ${least} to ${most} is expected.`)
    return least
  }

  integer(
    from: Body,
    pointer: string,
    key: string,
    least: number,
    most: number,
    fallback: number | undefined,
  ): number {
    const value = this.number(from, pointer, key, least, most, fallback)
    if (Number.isInteger(value)) return value
    this.report(`${pointer}/${key}`, "A whole number is expected.")
    return least
  }
}

function isBody(value: unknown): value is Body {
  return typeof value === "object" && value !== null && !Array.isArray(value)
}

function readDemand(reader: Reader, body: Body): Resources {
  const demand = isBody(body.demand) ? body.demand : {}
  if (!isBody(body.demand))
    reader.report("/demand", "An object with processors and memoryMebibytes is expected.")
  return {
    processors: reader.number(demand, "/demand", "processors", 0.01, LARGEST_PROCESSORS, undefined),
    memoryMebibytes: reader.number(
      demand,
      "/demand",
      "memoryMebibytes",
      1,
      LARGEST_MEMORY_MEBIBYTES,
      undefined,
    ),
    accelerators: reader.integer(demand, "/demand", "accelerators", 0, LARGEST_ACCELERATORS, 0),
  }
}

function checkQuota(
  reader: Reader,
  team: TeamDefinition,
  workload: WorkloadDefinition,
  demand: Resources,
  tasks: number,
): void {
  const together = workload.kind === "batch" ? demand : scale(demand, tasks)
  if (fits(together, team.quota)) return
  const need = describeResources(together)
  reader.report("/demand", `The team's quota of ${describeResources(team.quota)} can never hold ${need}.`)
}

function readPayload(reader: Reader, body: Body): string {
  const payload = body.payload ?? ""
  const text = typeof payload === "string" ? payload : JSON.stringify(payload)
  if (text.length > PAYLOAD_LIMIT) reader.report("/payload", `At most ${PAYLOAD_LIMIT} characters are taken.`)
  return text
}

/** Reads a request. `job` is the name that the job will have. */
export function readJobRequest(
  value: unknown,
  job: string,
  document: EnvironmentDocument,
  acceptedAt: number,
): Result<JobSpecification, readonly RequestFinding[]> {
  if (!isBody(value)) return err([{pointer: "", problem: "A JSON object is expected."}])
  const reader = new Reader(value)
  for (const key of Object.keys(value)) {
    if (!KNOWN_MEMBERS.has(key)) reader.report(`/${key}`, "The member is not known.")
  }
  const teamName = reader.name("team")
  const workloadName = reader.name("workload")
  const team = document.teams.get(teamName)
  const workload = document.workloads.get(workloadName)
  if (teamName !== "" && !team) reader.report("/team", `There is no team "${teamName.slice(0, 64)}".`)
  if (workloadName !== "" && !workload)
    reader.report("/workload", `There is no workload "${workloadName.slice(0, 64)}".`)
  const tasks = reader.integer(value, "", "tasks", 1, document.limits.maximumTasks, 1)
  const demand = readDemand(reader, value)
  const declaredRun = reader.number(value, "", "declaredRun", 0, LONGEST_RUN_MS, 0)
  const priority = reader.integer(value, "", "priority", 0, 9, workload?.priority ?? 0)
  const payload = readPayload(reader, value)
  if (workload && priority > workload.priority) {
    reader.report("/priority", `The workload allows priorities up to ${workload.priority}.`)
  }
  if (team && workload) checkQuota(reader, team, workload, demand, tasks)
  if (reader.findings.length > 0 || !workload) return err(reader.findings)
  const {kind, pool, restartable, checkpointable} = workload
  const requestDigest = createHash("sha256").update(JSON.stringify(value)).digest("hex").slice(0, 32)
  return ok({
    job,
    team: teamName,
    workload: workloadName,
    kind,
    pool,
    priority,
    restartable,
    checkpointable,
    demand,
    tasks,
    declaredRun,
    payload,
    acceptedAt,
    requestDigest,
  })
}
