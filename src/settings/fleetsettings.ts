/**
 * The settings of an instance that a platform starts and stops. They are read from one INI file at start and again when
 * it changes.
 */
import {readFileSync} from "node:fs"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import {address, decimal, duration, fieldReader, integer, list, oneOf, text} from "../core/fields.js"
import type {FieldParser} from "../core/fields.js"
import type {Finding} from "../core/finding.js"
import {readIni} from "../core/inifile.js"

export interface FleetSettings {
  readonly instance: string
  readonly dataCentre: string
  /** Address on which callers are served. */
  readonly callerAddress: string
  readonly statusAddress: string
  /** Address on which other instances are served. */
  readonly peerAddress: string
  /** Additional address on which metrics are served; empty to serve them on the status address only. */
  readonly metricsAddress: string
  /** Addresses of some instances. Only the IP addresses are used, since all instances have the same peer port. */
  readonly seeds: readonly string[]
  readonly storeAddress: string
  /** Address of the advice service; empty if no queue needs advice. */
  readonly adviceAddress: string
  /** Address of the platform's machine service, empty if none. Not used at present. */
  readonly machinesAddress: string
  /** Longest lease that the workers grant. */
  readonly longestLease: Milliseconds
  /** Limit on the length of a value in the store, in bytes. */
  readonly longestStoredValue: number
  /** Time from the stop signal until the platform ends the process. */
  readonly stopGrace: Milliseconds
  /** Processors that the instance may use, scaled by their speed relative to a typical processor. */
  readonly processors: number
  /** Memory that the process may take, in MiB; 0 if it is not known. */
  readonly memoryMebibytes: number
  /** Megabits a second that the link of the machine carries; 0 if it is not known. */
  readonly linkMegabits: number
  /** File descriptors that the process may open; 0 if it is not known. */
  readonly descriptors: number
  /**
   * After this time no call with a withdrawn key may succeed anywhere; 0 where a withdrawn key may be honoured while
   * the instance cannot know.
   */
  readonly withdrawalLimit: Milliseconds
  /** How many times as long a task takes on another rack than its data, or than the other tasks of its step. */
  readonly remoteFactor: number
  readonly logLevel: "debug" | "info" | "warn" | "error"
}

const KNOWN_SECTIONS: ReadonlySet<string> = new Set([
  "instance",
  "callers",
  "status",
  "peers",
  "platform",
  "limits",
  "logs",
  "metrics",
  "keys",
  "placement",
])
/** Every known kind of worker grants a lease of this length. */
const DEFAULT_LONGEST_LEASE_MS: Milliseconds = 6000
const MAX_PROCESSORS = 1024
/** The limit of every known store. */
const DEFAULT_STORED_VALUE_BYTES = 2 ** 20
const MAX_STORED_VALUE_BYTES = 2 ** 30
const DEFAULT_STOP_GRACE_MS: Milliseconds = 6000
/** The shortest limit of the known platforms that have one. */
const DEFAULT_WITHDRAWAL_LIMIT_MS: Milliseconds = 5000
const MAX_AMOUNT = 1e9
const MAX_REMOTE_FACTOR = 1000

/** An empty text stands for the default, since not every platform fills in the limit. */
const storedValueLength: FieldParser<number> = value =>
  value === "" ? ok(DEFAULT_STORED_VALUE_BYTES) : integer(1, MAX_STORED_VALUE_BYTES)(value)

/** Accepts an empty text as the fallback, since a platform may have no such value. */
function ifGiven<T>(parser: FieldParser<T>, fallback: T): FieldParser<T> {
  return value => (value === "" ? ok(fallback) : parser(value))
}

const amount = ifGiven(decimal(0, MAX_AMOUNT), 0)
const factorIfGiven = ifGiven(decimal(0, MAX_REMOTE_FACTOR), 1)
const spanIfGiven: FieldParser<Milliseconds> = value =>
  value === "ms" ? ok(DEFAULT_WITHDRAWAL_LIMIT_MS) : duration(value)
const flag: FieldParser<boolean> = value =>
  ifGiven(oneOf("true", "false"), "false")(value).map(text => text === "true")

/** Accepts any text, including an empty one. */
const anyText = (value: string): Result<string, never> => ok(value)

/** Reads settings from INI text. On failure the error lists all findings. */
export function readFleetSettings(file: string, content: string): Result<FleetSettings, readonly Finding[]> {
  const ini = readIni(file, content)
  const fields = fieldReader(ini)
  const settings: FleetSettings = {
    instance: fields.required("instance", "name", text, ""),
    dataCentre: fields.required("instance", "data_centre", text, ""),
    callerAddress: fields.required("callers", "address", address, ""),
    statusAddress: fields.required("status", "address", address, ""),
    peerAddress: fields.required("peers", "address", address, ""),
    metricsAddress: fields.optional("metrics", "address", anyText, ""),
    seeds: fields.optional("peers", "seeds", list, []),
    storeAddress: fields.required("platform", "store", address, ""),
    adviceAddress: fields.optional("platform", "advice", anyText, ""),
    machinesAddress: fields.optional("platform", "machines", anyText, ""),
    longestLease: fields.optional("limits", "longest_lease", duration, DEFAULT_LONGEST_LEASE_MS),
    longestStoredValue: fields.optional(
      "limits",
      "stored_value",
      storedValueLength,
      DEFAULT_STORED_VALUE_BYTES,
    ),
    stopGrace: fields.optional("limits", "stop_grace", duration, DEFAULT_STOP_GRACE_MS),
    processors:
      fields.optional("limits", "processor_share", decimal(0, MAX_PROCESSORS), 1) *
      fields.optional("limits", "processor_speed", decimal(0, MAX_PROCESSORS), 1),
    memoryMebibytes: fields.optional("limits", "memory", amount, 0),
    linkMegabits: fields.optional("limits", "link", amount, 0),
    descriptors: fields.optional("limits", "descriptors", amount, 0),
    withdrawalLimit: fields.optional("keys", "strict_withdrawal", flag, false)
      ? fields.optional("keys", "withdrawal_limit", spanIfGiven, DEFAULT_WITHDRAWAL_LIMIT_MS)
      : 0,
    remoteFactor: Math.max(1, fields.optional("placement", "remote_factor", factorIfGiven, 1)),
    logLevel: fields.optional("logs", "level", oneOf("debug", "info", "warn", "error"), "info"),
  }
  for (const section of ini.sections.keys()) {
    if (!KNOWN_SECTIONS.has(section))
      fields.report(
        section,
        "",
        "The section is not known.",
        `Use one of: ${[...KNOWN_SECTIONS].join(", ")}.`,
      )
  }
  const findings = fields.findings()
  return findings.length === 0 ? ok(settings) : err(findings)
}

/** Reads settings from a file. */
export function loadFleetSettings(file: string): Result<FleetSettings, readonly Finding[]> {
  try {
    return readFleetSettings(file, readFileSync(file, "utf8"))
  } catch (error) {
    const problem = `The file cannot be read: ${describeError(error)}.`
    return err([{file, section: "", key: "", line: 0, problem, remedy: "Give the path of a settings file."}])
  }
}

/** Returns the peer addresses of the seeds: the IP address of each with this instance's own peer port. */
export function seedAddresses(settings: FleetSettings): readonly string[] {
  const port = settings.peerAddress.slice(settings.peerAddress.lastIndexOf(":"))
  return settings.seeds.map(seed => `${seed.slice(0, seed.lastIndexOf(":"))}${port}`)
}
