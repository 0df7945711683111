/**
 * The settings of an entry instance (see `src/entry`), read from an INI file. An instance that a platform starts and
 * stops has the settings in `fleetsettings.ts` instead.
 */
import {readFileSync} from "node:fs"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {address, decimal, duration, fieldReader, integer, list, oneOf, text} from "../core/fields.js"
import type {FieldReader} from "../core/fields.js"
import type {Finding} from "../core/finding.js"
import type {Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import {readIni} from "../core/inifile.js"

export interface TlsFiles {
  /** Path of the certificate file. */
  readonly certificate: string
  /** Path of the file with the private key. */
  readonly key: string
  /** Path of the certificate of the authority that signs the peers' certificates; empty for caller connections. */
  readonly authority: string
}

export interface Settings {
  readonly instance: string
  readonly dataCentre: string
  /** Address on which callers are served. */
  readonly callerAddress: string
  /** Address on which other instances are served. */
  readonly peerAddress: string
  /** Addresses of the store, in the order in which they are tried. */
  readonly storeAddresses: readonly string[]
  /** Address of the platform's list of instances. */
  readonly instanceListAddress: string
  /** Number of instances that may fence this one before its lease has expired. */
  readonly successors: number
  /** Longest time that open requests of callers may take when the instance stops. */
  readonly drainLimit: Milliseconds
  /** Memory that the process may take, in MiB; 0 if it is not known. */
  readonly memoryMebibytes: number
  /** File descriptors that the process may open; 0 if it is not known. */
  readonly descriptors: number
  readonly callerTls: TlsFiles | undefined
  readonly peerTls: TlsFiles | undefined
  /** Secret that operator calls must present. */
  readonly operatorKey: string
  readonly logLevel: "debug" | "info" | "warn" | "error"
  /** Address to which metrics are sent; empty to send none. */
  readonly metricsAddress: string
}

const MINIMUM_OPERATOR_KEY_LENGTH = 16
const MAX_AMOUNT = 1e9

function readTls(fields: FieldReader, section: string, needsAuthority: boolean): TlsFiles | undefined {
  const mode = fields.optional(section, "tls", oneOf("on", "off"), "off")
  if (mode === "off") return undefined
  return {
    certificate: fields.required(section, "certificate", text, ""),
    key: fields.required(section, "key", text, ""),
    authority: needsAuthority ? fields.required(section, "authority", text, "") : "",
  }
}

function readOperatorKey(fields: FieldReader): string {
  const key = fields.required("operators", "key", text, "x".repeat(MINIMUM_OPERATOR_KEY_LENGTH))
  if (key.length < MINIMUM_OPERATOR_KEY_LENGTH) {
    fields.report(
      "operators",
      "key",
      "The key is too short.",
      `Use at least ${MINIMUM_OPERATOR_KEY_LENGTH} characters.`,
    )
  }
  return key
}

/** Addresses separated by commas, at least one. */
const addressList = (value: string): ReturnType<typeof list> => {
  const items = list(value)
  if (items.isErr()) return items
  const invalid = items.value.find(item => address(item).isErr())
  if (items.value.length > 0 && invalid === undefined) return items
  return err({expected: "Give IP numbers and ports, separated by commas."})
}

/** Reads settings from INI text. On failure the error lists all findings. */
export function readSettings(file: string, content: string): Result<Settings, readonly Finding[]> {
  const ini = readIni(file, content)
  const fields = fieldReader(ini)
  const settings: Settings = {
    instance: fields.required("instance", "name", text, ""),
    dataCentre: fields.required("instance", "data_centre", text, ""),
    callerAddress: fields.required("callers", "address", address, ""),
    callerTls: readTls(fields, "callers", false),
    peerAddress: fields.required("peers", "address", address, ""),
    peerTls: readTls(fields, "peers", true),
    storeAddresses: fields.required("platform", "store", addressList, []),
    instanceListAddress: fields.required("platform", "instance_list", address, ""),
    successors: fields.optional("instance", "successors", integer(0, 3), 2),
    drainLimit: fields.optional("instance", "drain_limit", duration, 30_000),
    memoryMebibytes: fields.optional("limits", "memory", decimal(0, MAX_AMOUNT), 0),
    descriptors: fields.optional("limits", "descriptors", decimal(0, MAX_AMOUNT), 0),
    operatorKey: readOperatorKey(fields),
    logLevel: fields.optional("logs", "level", oneOf("debug", "info", "warn", "error"), "info"),
    metricsAddress: fields.optional("metrics", "address", address, ""),
  }
  const knownSections = new Set([
    "instance",
    "callers",
    "peers",
    "platform",
    "limits",
    "operators",
    "logs",
    "metrics",
  ])
  for (const section of ini.sections.keys()) {
    if (knownSections.has(section)) fields.rejectUnread(section)
    else
      fields.report(section, "", "The section is not known.", `Use one of: ${[...knownSections].join(", ")}.`)
  }
  const findings = fields.findings()
  return findings.length === 0 ? ok(settings) : err(findings)
}

/** Reads settings from a file. */
export function loadSettings(file: string): Result<Settings, readonly Finding[]> {
  try {
    return readSettings(file, readFileSync(file, "utf8"))
  } catch (error) {
    const problem = `The file cannot be read: ${describeError(error)}.`
    return err([{file, section: "", key: "", line: 0, problem, remedy: "Give the path of a settings file."}])
  }
}
