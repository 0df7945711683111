/** Parses the configuration document from INI text and collects all findings, each with its section, key and line. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {decimal, duration, fieldReader, integer, list, oneOf, text} from "../core/fields.js"
import type {FieldReader} from "../core/fields.js"
import type {Finding} from "../core/finding.js"
import {readIni} from "../core/inifile.js"
import type {
  EnvironmentDocument,
  Limits,
  Rollout,
  ServiceDefinition,
  TeamDefinition,
  WorkloadDefinition,
} from "./model.js"

const MEBIBYTES_PER_GIBIBYTE = 1024
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
/** Default of a quota that the document does not set, and the largest value that it may set. */
const UNLIMITED = 1_000_000_000
const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/

type SectionReader<T> = (fields: FieldReader, section: string, name: string) => T

function readService(fields: FieldReader, section: string, name: string): ServiceDefinition {
  return {
    name,
    pool: fields.required(section, "pool", text, ""),
    slots: fields.optional(section, "slots", integer(1, 1024), 8),
    connections: fields.optional(section, "connections", integer(1, 65_535), 64),
    queue: fields.optional(section, "queue", integer(0, 100_000), 500),
    deadline: fields.optional(section, "deadline", duration, 5000),
    shortUnder: fields.optional(section, "short_under", duration, 250),
    retryShare: fields.optional(section, "retry_share", decimal(0, 0.1), 0.1),
  }
}

function readWorkload(fields: FieldReader, section: string, name: string): WorkloadDefinition {
  const kind = fields.required(section, "kind", oneOf("batch", "gang", "service"), "batch")
  return {
    name,
    kind,
    pool: fields.required(section, "pool", text, ""),
    policy: fields.optional(
      section,
      "policy",
      oneOf("pack", "balance", "spread"),
      kind === "service" ? "spread" : "pack",
    ),
    priority: fields.optional(section, "priority", integer(0, 9), 4),
    restartable: fields.optional(section, "restartable", oneOf("yes", "no"), "yes") === "yes",
    checkpointable: fields.optional(section, "checkpointable", oneOf("yes", "no"), "no") === "yes",
    minimumAvailable: fields.optional(section, "minimum_available", integer(0, 10_000), 0),
  }
}

function readTeam(fields: FieldReader, section: string, name: string): TeamDefinition {
  return {
    name,
    weight: fields.optional(section, "weight", decimal(0.01, 1000), 1),
    quota: {
      processors: fields.optional(section, "processors", decimal(0, UNLIMITED), UNLIMITED),
      memoryMebibytes:
        fields.optional(section, "memory_gibibytes", decimal(0, UNLIMITED), UNLIMITED) *
        MEBIBYTES_PER_GIBIBYTE,
      accelerators: fields.optional(section, "accelerators", integer(0, UNLIMITED), UNLIMITED),
    },
    openRequests: fields.optional(section, "open_requests", integer(0, UNLIMITED), UNLIMITED),
  }
}

function readLimits(fields: FieldReader): Limits {
  const section = "limits"
  return {
    maximumBodyBytes: fields.optional(
      section,
      "maximum_body_bytes",
      integer(1, MAXIMUM_BODY_BYTES),
      1024 * 1024,
    ),
    maximumDeadline: fields.optional(section, "maximum_deadline", duration, 60_000),
    maximumTasks: fields.optional(section, "maximum_tasks", integer(1, 100_000), 1000),
    openRequestsPerCaller: fields.optional(section, "open_requests_per_caller", integer(1, UNLIMITED), 256),
  }
}

function readRollout(fields: FieldReader): Rollout {
  const section = "rollout"
  return {
    first: fields.optional(section, "first", list, []),
    hold: fields.optional(section, "hold", duration, 0),
    maximumFailureShare: fields.optional(section, "maximum_failure_share", decimal(0, 1), 0.05),
  }
}

/** Reads all sections `[kind.name]` of one kind. */
function readNamed<T>(
  fields: FieldReader,
  sections: readonly string[],
  kind: string,
  read: SectionReader<T>,
): ReadonlyMap<string, T> {
  const result = new Map<string, T>()
  for (const section of sections) {
    if (!section.startsWith(`${kind}.`)) continue
    const name = section.slice(kind.length + 1)
    if (!NAME_PATTERN.test(name)) {
      fields.report(
        section,
        "",
        `"${name}" is not a valid name.`,
        "Use lower-case letters, digits and hyphens.",
      )
    }
    result.set(name, read(fields, section, name))
    fields.rejectUnread(section)
  }
  return result
}

const PLAIN_SECTIONS = new Set(["environment", "limits", "rollout"])
const NAMED_KINDS = ["service", "workload", "team"]

function rejectUnknownSections(fields: FieldReader, sections: readonly string[]): void {
  for (const section of sections) {
    const known = PLAIN_SECTIONS.has(section) || NAMED_KINDS.some(kind => section.startsWith(`${kind}.`))
    if (known) continue
    const kinds = "[environment], [limits], [rollout], [service.NAME], [workload.NAME] or [team.NAME]"
    fields.report(section, "", "The section is not known.", `Use ${kinds}.`)
  }
}

function checkReferences(fields: FieldReader, document: EnvironmentDocument): void {
  if (document.dataCentres.length === 0) {
    fields.report(
      "environment",
      "data_centres",
      "No data centre is listed.",
      "List at least one, separated by commas.",
    )
  }
  if (document.teams.size === 0) {
    fields.report("team", "", "No team is defined.", "Add a [team.NAME] section.")
  }
  for (const dataCentre of document.rollout.first) {
    if (document.dataCentres.includes(dataCentre)) continue
    fields.report(
      "rollout",
      "first",
      `"${dataCentre}" is not a data centre of the environment.`,
      "Use a data centre that is listed in data_centres.",
    )
  }
  for (const service of document.services.values()) {
    if (service.connections < service.slots) {
      fields.report(
        `service.${service.name}`,
        "connections",
        "The number of connections is below the number of slots.",
        "Allow at least one connection for each slot.",
      )
    }
    if (service.deadline <= document.limits.maximumDeadline) continue
    const remedy = "Lower it, or raise maximum_deadline in [limits]."
    fields.report(`service.${service.name}`, "deadline", "The deadline is above maximum_deadline.", remedy)
  }
}

/** Reads and checks a document. The error lists all findings in the order of their lines. */
export function readDocument(file: string, content: string): Result<EnvironmentDocument, readonly Finding[]> {
  const ini = readIni(file, content)
  const fields = fieldReader(ini)
  const sections = [...ini.sections.keys()]
  rejectUnknownSections(fields, sections)
  const document: EnvironmentDocument = {
    environment: fields.required("environment", "name", text, ""),
    jobGroups: fields.optional("environment", "job_groups", integer(1, 4096), 16),
    packingWeight: fields.optional("environment", "packing_weight", decimal(0, 1), 0.5),
    dataCentres: fields.required("environment", "data_centres", list, []),
    services: readNamed(fields, sections, "service", readService),
    workloads: readNamed(fields, sections, "workload", readWorkload),
    teams: readNamed(fields, sections, "team", readTeam),
    limits: readLimits(fields),
    rollout: readRollout(fields),
  }
  for (const section of PLAIN_SECTIONS) fields.rejectUnread(section)
  checkReferences(fields, document)
  const findings = fields.findings()
  if (findings.length === 0) return ok(document)
  return err([...findings].sort((one, other) => one.line - other.line))
}
