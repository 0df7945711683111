/** The command that checks a configuration in the platform's form, against the one in force and the workers. */
import type {Result} from "neverthrow"
import {err, ok} from "neverthrow"
import {formatFinding} from "../core/finding.js"
import {formatChange} from "../document/diff.js"
import {checkConfiguration} from "../platform/configurationcheck.js"
import type {CheckContext} from "../platform/configurationcheck.js"
import {diffConfigurations} from "../platform/configurationchanges.js"
import {FLEET_READER} from "../platform/fleetreader.js"
import type {KeyValueStore} from "../pipelines/ports.js"
import {readFile} from "./documents.js"
import type {OutputOptions} from "./documents.js"
import {EXIT} from "./exitcodes.js"
import type {ExitCode} from "./exitcodes.js"
import type {Output} from "./output.js"

/** What the store tells of the fleet. */
interface Fleet extends CheckContext {
  /** Text of the configuration in force; undefined if there is none. */
  readonly text: string | undefined
}

/** Reads the configuration in force and the workers. The error names what could not be read. */
async function readFleet(store: KeyValueStore): Promise<Result<Fleet, string>> {
  const {configurationKey, workerPrefix, decodeConfiguration, decodeWorker} = FLEET_READER
  const item = await store.read(configurationKey)
  if (item.isErr()) return err(`The configuration in force cannot be read: ${item.error.message}`)
  const entries = await store.list(workerPrefix)
  if (entries.isErr()) return err(`The workers cannot be read: ${entries.error.message}`)
  const text = item.value?.value
  const workers = entries.value.items.map(({key, value}) => decodeWorker(key, value))
  return ok({
    text,
    inForce: text === undefined ? undefined : decodeConfiguration(text),
    workers: workers.filter(worker => worker !== undefined),
  })
}

/** Prints the findings of a configuration and, where one in force is known, what differs from it. */
function printCheck(
  file: string,
  text: string,
  fleet: Fleet,
  options: OutputOptions,
  output: Output,
): ExitCode {
  const findings = checkConfiguration(file, text, fleet)
  const changes = fleet.text === undefined ? undefined : diffConfigurations(fleet.text, text)
  if (options.json) output.line(JSON.stringify({file, findings, changes}))
  else {
    for (const finding of findings) output.error(formatFinding(finding))
    for (const change of changes ?? []) output.line(formatChange(change))
    if (findings.length === 0) output.line(`${file}: no findings`)
    if (changes?.length === 0) output.line("no differences")
  }
  return findings.length > 0 ? EXIT.invalid : EXIT.ok
}

export interface CheckOptions extends OutputOptions {
  /** File with the configuration that is in force. */
  readonly inForce?: string
}

/** True for text in the platform's form; the project's own documents are INI. */
export function isFleetConfiguration(text: string): boolean {
  return text.trimStart().startsWith("{")
}

/** `check CONFIGURATION`: compares it with the fleet in the store, or with the configuration in a file, if given. */
export async function checkFleetConfiguration(
  file: string,
  text: string,
  store: KeyValueStore | undefined,
  options: CheckOptions,
  output: Output,
): Promise<ExitCode> {
  if (store) {
    const fleet = await readFleet(store)
    if (fleet.isOk()) return printCheck(file, text, fleet.value, options, output)
    output.error(fleet.error)
    return EXIT.unreachable
  }
  const inForce = options.inForce === undefined ? undefined : readFile(options.inForce, output)
  if (options.inForce !== undefined && inForce === undefined) return EXIT.invalid
  const decoded = inForce === undefined ? undefined : FLEET_READER.decodeConfiguration(inForce)
  return printCheck(file, text, {text: inForce, inForce: decoded}, options, output)
}
