/**
 * Validates a job that a caller submits against the document and fills in defaults. Each finding points to the JSON
 * member that is wrong.
 */
import {createHash} from "node:crypto"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {describeResources, fits, scale} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {EnvironmentDocument, TeamDefinition, WorkloadDefinition} from "../document/model.js"
import type {JobSpecification} from "./job.js"

/** A fault in a request. The caller receives it in the answer. */
export interface RequestFinding {
  /** JSON pointer to the member that is wrong. */
  readonly pointer: string
  readonly problem: string
}

type JsonObject = Readonly<Record<string, unknown>>

const MAXIMUM_PAYLOAD_CHARACTERS = 4096
const MAXIMUM_FINDINGS = 20
const MAXIMUM_POINTER_CHARACTERS = 100
const MAXIMUM_PROCESSORS = 4096
const MAXIMUM_MEMORY_MEBIBYTES = 64 * 1024 * 1024
const MAXIMUM_ACCELERATORS = 1024
const MAXIMUM_RUN_MS = 30 * 24 * 3_600_000
const KNOWN_MEMBERS = new Set(["team", "workload", "tasks", "demand", "declaredRun", "priority", "payload"])

/** Reads members of a request and collects the findings. */
class RequestReader {
  readonly findings: RequestFinding[] = []

  constructor(private readonly body: JsonObject) {}

  /** Further findings than a caller reads at once are left out, since they would be many times as long as the request. */
  addFinding(pointer: string, problem: string): void {
    if (this.findings.length === MAXIMUM_FINDINGS) return
    this.findings.push({pointer: pointer.slice(0, MAXIMUM_POINTER_CHARACTERS), problem})
  }

  readName(key: string): string {
    const value = this.body[key]
    if (typeof value === "string" && value !== "") return value
    this.addFinding(`/${key}`, "A non-empty string is expected.")
    return ""
  }

  readNumber(
    from: JsonObject,
    pointer: string,
    key: string,
    minimum: number,
    maximum: number,
    fallback: number | undefined,
  ): number {
    const value = from[key]
    if (value === undefined && fallback !== undefined) return fallback
    if (typeof value === "number" && value >= minimum && value <= maximum) return value
    this.addFinding(`${pointer}/${key}`, `A number from ${minimum} to ${maximum} is expected.`)
    return minimum
  }

  readInteger(
    from: JsonObject,
    pointer: string,
    key: string,
    minimum: number,
    maximum: number,
    fallback: number | undefined,
  ): number {
    const value = this.readNumber(from, pointer, key, minimum, maximum, fallback)
    if (Number.isInteger(value)) return value
    this.addFinding(`${pointer}/${key}`, "An integer is expected.")
    return minimum
  }
}

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value)
}

function readDemand(reader: RequestReader, body: JsonObject): Resources {
  const demand = isJsonObject(body.demand) ? body.demand : {}
  if (!isJsonObject(body.demand))
    reader.addFinding("/demand", "An object with processors and memoryMebibytes is expected.")
  return {
    processors: reader.readNumber(demand, "/demand", "processors", 0.01, MAXIMUM_PROCESSORS, undefined),
    memoryMebibytes: reader.readNumber(
      demand,
      "/demand",
      "memoryMebibytes",
      1,
      MAXIMUM_MEMORY_MEBIBYTES,
      undefined,
    ),
    accelerators: reader.readInteger(demand, "/demand", "accelerators", 0, MAXIMUM_ACCELERATORS, 0),
  }
}

/**
 * Reports a job that the team's quota can never admit. Tasks of a batch job need not run at the same time, so only
 * one of them has to fit.
 */
function checkQuota(
  reader: RequestReader,
  team: TeamDefinition,
  workload: WorkloadDefinition,
  demand: Resources,
  tasks: number,
): void {
  const totalDemand = workload.kind === "batch" ? demand : scale(demand, tasks)
  if (fits(totalDemand, team.quota)) return
  const need = describeResources(totalDemand)
  reader.addFinding(
    "/demand",
    `The team's quota of ${describeResources(team.quota)} is too small for ${need}.`,
  )
}

function readPayload(reader: RequestReader, body: JsonObject): string {
  const payload = body.payload ?? ""
  const text = typeof payload === "string" ? payload : JSON.stringify(payload)
  if (text.length > MAXIMUM_PAYLOAD_CHARACTERS)
    reader.addFinding("/payload", `At most ${MAXIMUM_PAYLOAD_CHARACTERS} characters are allowed.`)
  return text
}

/** Reads and validates a request. `job` is the name of the new job. */
export function readJobRequest(
  value: unknown,
  job: string,
  document: EnvironmentDocument,
  acceptedAt: number,
): Result<JobSpecification, readonly RequestFinding[]> {
  if (!isJsonObject(value)) return err([{pointer: "", problem: "A JSON object is expected."}])
  const reader = new RequestReader(value)
  for (const key of Object.keys(value)) {
    if (!KNOWN_MEMBERS.has(key)) reader.addFinding(`/${key}`, "The member is not known.")
  }
  const teamName = reader.readName("team")
  const workloadName = reader.readName("workload")
  const team = document.teams.get(teamName)
  const workload = document.workloads.get(workloadName)
  if (teamName !== "" && !team) reader.addFinding("/team", `There is no team "${teamName.slice(0, 64)}".`)
  if (workloadName !== "" && !workload)
    reader.addFinding("/workload", `There is no workload "${workloadName.slice(0, 64)}".`)
  const tasks = reader.readInteger(value, "", "tasks", 1, document.limits.maximumTasks, 1)
  const demand = readDemand(reader, value)
  const declaredRun = reader.readNumber(value, "", "declaredRun", 0, MAXIMUM_RUN_MS, 0)
  const priority = reader.readInteger(value, "", "priority", 0, 9, workload?.priority ?? 0)
  const payload = readPayload(reader, value)
  if (workload && priority > workload.priority) {
    reader.addFinding("/priority", `The workload allows priorities up to ${workload.priority}.`)
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
