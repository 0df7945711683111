/** The settings of one entry instance, read from an INI file. */
import {readFileSync} from "node:fs"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {address, duration, fieldReader, integer, list, oneOf, text} from "../core/fields.js"
import type {FieldReader} from "../core/fields.js"
import type {Finding} from "../core/finding.js"
import type {Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import {readIni} from "../core/inifile.js"

export interface TlsFiles {
  readonly certificate: string
  readonly key: string
  /** Authority that signs the certificates of peers; empty where callers connect. */
  readonly authority: string
}

export interface Settings {
  readonly instance: string
  readonly dataCentre: string
  /** Address on which callers are served. */
  readonly callerAddress: string
  /** Address on which peers are served. */
  readonly peerAddress: string
  /** Addresses of the store, tried in order. */
  readonly storeAddresses: readonly string[]
  readonly instanceListAddress: string
  /** Instances that may fence this one early. */
  readonly successors: number
  readonly drainLimit: Milliseconds
  readonly callerTls: TlsFiles | undefined
  readonly peerTls: TlsFiles | undefined
  /** Key that operator calls must present. */
  readonly operatorKey: string
  readonly logLevel: "debug" | "info" | "warn" | "error"
  readonly metricsAddress: string
}

const MINIMUM_OPERATOR_KEY_LENGTH = 16

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

const addresses = (value: string): ReturnType<typeof list> => {
  const parts = list(value)
  if (parts.isErr()) return parts
  const wrong = parts.value.find(part => address(part).isErr())
  if (parts.value.length > 0 && wrong === undefined) return parts
  return err({expected: "Give IP numbers and ports, separated by commas."})
}

/** Reads settings from text. On failure the error lists every finding. */
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
    storeAddresses: fields.required("platform", "store", addresses, []),
    instanceListAddress: fields.required("platform", "instance_list", address, ""),
    successors: fields.optional("instance", "successors", integer(0, 3), 2),
    drainLimit: fields.optional("instance", "drain_limit", duration, 30_000),
    operatorKey: readOperatorKey(fields),
    logLevel: fields.optional("logs", "level", oneOf("debug", "info", "warn", "error"), "info"),
    metricsAddress: fields.optional("metrics", "address", address, ""),
  }
  const known = new Set(["instance", "callers", "peers", "platform", "operators", "logs", "metrics"])
  for (const section of ini.sections.keys()) {
    if (known.has(section)) fields.rejectUnread(section)
    else fields.report(section, "", "The section is not known.", `Use one of: ${[...known].join(", ")}.`)
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
