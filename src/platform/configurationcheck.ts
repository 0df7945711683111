/**
 * Checks a configuration in the platform's form before an operator sends it: values that are malformed, entries that no
 * call can reach, and limits that contradict each other. Each finding names its place. Keys of workspaces are secrets,
 * so no finding contains one.
 */
import type {Finding} from "../core/finding.js"
import type {FleetConfiguration, WorkerListing} from "../pipelines/model.js"
import {FLEET_READER} from "./fleetreader.js"
import type {JsonObject} from "./wire.js"
import {asArray, asNumber, asObject, asString, parseJson} from "./wire.js"

/** What a configuration is compared with, as far as it is known. */
export interface CheckContext {
  /** The configuration that is in force. */
  readonly inForce?: FleetConfiguration | undefined
  /** The workers that are registered. */
  readonly workers?: readonly WorkerListing[] | undefined
}

type Report = (section: string, key: string, problem: string, remedy: string) => void

/** A named entry of one of the lists, with its place. */
interface Entry {
  readonly section: string
  readonly name: string
  readonly fields: JsonObject
}

interface FieldRule {
  readonly isRequired: boolean
  readonly isValid: (value: unknown) => boolean
  readonly expected: string
}

function isAtLeast(least: number, value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value) && value >= least
}

function textRule(): FieldRule {
  return {
    isRequired: true,
    isValid: value => typeof value === "string" && value !== "",
    expected: "Give a text that is not empty.",
  }
}

function numberRule(least: number, isRequired: boolean): FieldRule {
  return {
    isRequired,
    isValid: value => isAtLeast(least, value),
    expected: `Give a number of at least ${least}.`,
  }
}

function positiveRule(isRequired: boolean): FieldRule {
  return {
    isRequired,
    isValid: value => isAtLeast(0, value) && value !== 0,
    expected: "Give a number above 0.",
  }
}

function wholeRule(least: number): FieldRule {
  return {
    isRequired: true,
    isValid: value => Number.isInteger(value) && isAtLeast(least, value),
    expected: `Give a whole number of at least ${least}.`,
  }
}

const FLAG: FieldRule = {
  isRequired: false,
  isValid: value => typeof value === "boolean",
  expected: "Give true or false.",
}
const KEYS: FieldRule = {
  isRequired: true,
  isValid: value =>
    Array.isArray(value) && value.every(element => typeof element === "string" && element !== ""),
  expected: "Give a list of texts that are not empty.",
}
const AMOUNTS: FieldRule = {
  isRequired: false,
  isValid: value =>
    Object.values(asObject(value)).every(amount => isAtLeast(0, amount)) && value === asObject(value),
  expected: "Give amounts of at least 0; 0 stands for no limit.",
}

type Rules = Readonly<Record<string, FieldRule>>

const ROUTE_RULES: Rules = {
  Name: textRule(),
  Host: textRule(),
  Prefix: textRule(),
  Service: textRule(),
  Priority: wholeRule(0),
  Attempts: wholeRule(1),
  SlackFactor: positiveRule(true),
  TargetLatencyMs: numberRule(0, true),
  TimeoutMs: positiveRule(false),
  Public: FLAG,
}
const ADVICE_RULES: Rules = {
  DecideMs: numberRule(0, true),
  EachMs: numberRule(0, true),
  ValidMs: positiveRule(true),
}
const SERVICE_RULES: Rules = {Name: textRule(), Preconditions: FLAG, Standby: FLAG}
const WORKSPACE_RULES: Rules = {
  Name: textRule(),
  ApiKeys: KEYS,
  Weight: positiveRule(false),
  MaxCount: AMOUNTS,
}
const LIMIT_RULES: Rules = {
  MaxHeaderBytes: positiveRule(false),
  MaxBodyBytes: positiveRule(false),
  HeaderTimeoutMs: positiveRule(false),
  IdleTimeoutMs: positiveRule(false),
}

function checkFields(section: string, fields: JsonObject, rules: Rules, report: Report): void {
  for (const [key, rule] of Object.entries(rules)) {
    const value = fields[key]
    if (value === undefined || value === null) {
      if (rule.isRequired) report(section, key, "The field is missing.", rule.expected)
    } else if (!rule.isValid(value)) report(section, key, "The value is not valid.", rule.expected)
  }
}

/** The entries of a list; an entry without a name is named by its position. */
function entriesOf(configuration: JsonObject, list: string): readonly Entry[] {
  return asArray(configuration[list]).map((value, index) => {
    const fields = asObject(value)
    const name = asString(fields.Name)
    return {section: `${list}.${name === "" ? index : name}`, name, fields}
  })
}

function checkUniqueNames(entries: readonly Entry[], report: Report): void {
  const seen = new Set<string>()
  for (const {section, name} of entries) {
    if (name !== "" && seen.has(name))
      report(section, "Name", "Another entry of the list has this name.", "Give each entry its own name.")
    seen.add(name)
  }
}

const JOB_NAME_START = /^[0-9a-f]{1,16}$/

function hasSameHost(one: Entry, other: Entry): boolean {
  return asString(one.fields.Host) === asString(other.fields.Host)
}

/** Routes that no call reaches, or that take calls of another route. A call goes to the longest prefix of its path. */
function checkRouteMatching(routes: readonly Entry[], report: Report): void {
  routes.forEach((route, index) => {
    const {section, fields} = route
    const host = asString(fields.Host)
    const prefix = asString(fields.Prefix)
    if (host.includes(":"))
      report(section, "Host", "No call matches, since the port is taken off its host.", "Leave out the port.")
    if (prefix !== "" && !prefix.startsWith("/"))
      report(section, "Prefix", "No path begins so.", "Begin the prefix with a slash.")
    if (prefix.includes("?"))
      report(section, "Prefix", "No path contains a question mark.", "Leave out the query.")
    if (prefix === "") return
    const same = routes
      .slice(0, index)
      .find(other => hasSameHost(route, other) && asString(other.fields.Prefix) === prefix)
    if (same)
      report(
        section,
        "Prefix",
        `${same.section} takes all calls with this host and prefix.`,
        "Remove one of the two, or give it another prefix.",
      )
    for (const other of routes) {
      const outer = asString(other.fields.Prefix)
      if (other === route || outer === "" || !hasSameHost(route, other) || !prefix.startsWith(outer)) continue
      if (JOB_NAME_START.test(prefix.slice(outer.length)))
        report(
          section,
          "Prefix",
          `The route takes calls for jobs of ${other.section} whose names begin so.`,
          "End both prefixes with a slash.",
        )
    }
  })
}

function checkServices(
  routes: readonly Entry[],
  services: readonly Entry[],
  workers: CheckContext["workers"],
  report: Report,
): void {
  const byName = new Map(services.map(service => [service.name, service]))
  for (const {section, fields} of routes) {
    const name = asString(fields.Service)
    if (name === "") continue
    const service = byName.get(name)
    if (!service) report(section, "Service", `There is no service ${name}.`, "Name a service of the list.")
    else if (service.fields.Standby === true)
      report(section, "Service", `The workers of ${name} are switched off.`, "End its standby.")
    else if (workers && !workers.some(worker => worker.service === name))
      report(
        section,
        "Service",
        `No worker of ${name} is registered.`,
        "Add workers, or name another service.",
      )
  }
  for (const {section, name, fields} of services) {
    if (name === "" || fields.Standby === true || routes.some(route => route.fields.Service === name))
      continue
    report(section, "Name", "No route sends jobs to the service.", "Add a route, or set Standby.")
  }
}

function checkKeys(workspaces: readonly Entry[], report: Report): void {
  const owners = new Map<unknown, Entry>()
  for (const workspace of workspaces) {
    const keys = asArray(workspace.fields.ApiKeys)
    if (Array.isArray(workspace.fields.ApiKeys) && keys.length === 0)
      report(
        workspace.section,
        "ApiKeys",
        "No call can carry a key of it.",
        "Add a key, or remove the entry.",
      )
    keys.forEach((key, position) => {
      const owner = owners.get(key)
      if (owner)
        report(
          workspace.section,
          `ApiKeys.${position}`,
          `${owner.section} has the same key, so that no call with it belongs to this entry.`,
          "Give each key to one entry.",
        )
      else owners.set(key, workspace)
    })
  }
}

function checkClosedRoutes(routes: readonly Entry[], workspaces: readonly Entry[], report: Report): void {
  if (workspaces.some(({fields}) => asArray(fields.ApiKeys).length > 0)) return
  for (const {section, fields} of routes) {
    if (fields.Public === true) continue
    report(
      section,
      "Public",
      "No call can reach the route, since there is no key.",
      "Add a key, or set Public.",
    )
  }
}

/** The largest amount that one worker has in the dimension. */
function largest(workers: readonly WorkerListing[], amountOf: (worker: WorkerListing) => number): number {
  return workers.reduce((most, worker) => Math.max(most, amountOf(worker)), 0)
}

function checkAmounts(workspaces: readonly Entry[], workers: readonly WorkerListing[], report: Report): void {
  const hasAccelerators = largest(workers, ({capacity}) => capacity.accelerators) > 0
  for (const {section, fields} of workspaces) {
    if (asNumber(asObject(fields.MaxCount).Gpu) > 0 && !hasAccelerators)
      report(section, "MaxCount", "No registered worker has accelerators.", "Set Gpu to 0.")
  }
}

function checkLimits(configuration: JsonObject, routes: readonly Entry[], report: Report): void {
  const limits = asObject(configuration.Limits)
  const header = asNumber(limits.HeaderTimeoutMs)
  const idle = asNumber(limits.IdleTimeoutMs)
  if (header > 0 && idle > 0 && header > idle)
    report(
      "Limits",
      "HeaderTimeoutMs",
      "A connection is closed as idle before the time for its header is over.",
      "Give a time of at most IdleTimeoutMs.",
    )
  for (const {section, fields} of routes) {
    const timeout = asNumber(fields.TimeoutMs)
    const target = asNumber(fields.TargetLatencyMs)
    if (timeout > 0 && target > timeout)
      report(
        section,
        "TargetLatencyMs",
        "Calls time out before their latency target.",
        "Give a time of at most TimeoutMs.",
      )
  }
}

/** Returns the findings about the text of a configuration; none if it may be sent. */
export function checkConfiguration(
  file: string,
  text: string,
  {inForce, workers}: CheckContext,
): readonly Finding[] {
  const findings: Finding[] = []
  const report: Report = (section, key, problem, remedy) =>
    findings.push({file, section, key, line: 0, problem, remedy})
  const value = parseJson(text)
  if (value === undefined || value !== asObject(value)) {
    report("", "", "The text is not a JSON object.", "Correct its syntax.")
    return findings
  }
  const configuration = asObject(value)
  const [routes = [], services = [], workspaces = []] = ["Routes", "Services", "Tenants"].map(list =>
    entriesOf(configuration, list),
  )
  const {Version: version} = configuration
  if (!Number.isInteger(version)) report("", "Version", "The version is not valid.", "Give a whole number.")
  else if (inForce && asNumber(version) <= inForce.version)
    report(
      "",
      "Version",
      `Version ${inForce.version} is in force, which a lower or equal one does not replace.`,
      "Give a higher number.",
    )
  for (const list of ["Routes", "Services"]) {
    if (!Array.isArray(configuration[list])) report("", list, "The list is missing.", "Add it.")
  }
  for (const [entries, rules] of [
    [routes, ROUTE_RULES],
    [services, SERVICE_RULES],
    [workspaces, WORKSPACE_RULES],
  ] as const) {
    for (const {section, fields} of entries) checkFields(section, fields, rules, report)
    checkUniqueNames(entries, report)
  }
  for (const {section, fields} of routes) {
    if (fields.Advice !== undefined && fields.Advice !== null)
      checkFields(`${section}.Advice`, asObject(fields.Advice), ADVICE_RULES, report)
  }
  checkFields("Limits", asObject(configuration.Limits), LIMIT_RULES, report)
  checkRouteMatching(routes, report)
  checkServices(routes, services, workers, report)
  if (configuration.Tenants !== undefined) {
    checkKeys(workspaces, report)
    checkClosedRoutes(routes, workspaces, report)
    if (workers) checkAmounts(workspaces, workers, report)
  }
  checkLimits(configuration, routes, report)
  if (findings.length === 0 && !FLEET_READER.decodeConfiguration(text))
    report("", "", "No instance can read the configuration.", "Compare it with the one in force.")
  return findings
}
