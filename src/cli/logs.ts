/** The commands that read decision logs: `explain --log` and `report`. */
import {readFileSync, writeFileSync} from "node:fs"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {describeError} from "../core/errors.js"
import {parseLog} from "../report/records.js"
import type {LogRecord} from "../report/records.js"
import {renderReport} from "../report/html.js"
import {summarize} from "../report/summary.js"
import {EXIT} from "./exitcodes.js"
import type {ExitCode} from "./exitcodes.js"
import type {Output} from "./output.js"

function readLogs(files: readonly string[]): Result<readonly LogRecord[], string> {
  const records: LogRecord[] = []
  for (const file of files) {
    try {
      for (const record of parseLog(readFileSync(file, "utf8"))) records.push(record)
    } catch (error) {
      return err(`${file}: ${describeError(error)}`)
    }
  }
  return ok(records.sort((one, other) => one.time - other.time))
}

const IDENTITY_FIELDS = ["request", "job", "attempt"] as const

/** Fields that are printed elsewhere on the line or that say nothing about a decision. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  "time",
  "event",
  "instance",
  "msg",
  "level",
  "pid",
  "hostname",
])

/** `explain NAME --log FILE...`: prints every decision about a request, job or attempt, sorted by time. */
export function explainFromLog(
  name: string,
  files: readonly string[],
  json: boolean,
  output: Output,
): ExitCode {
  const records = readLogs(files)
  if (records.isErr()) {
    output.error(records.error)
    return EXIT.invalid
  }
  const found = records.value.filter(record => IDENTITY_FIELDS.some(field => record[field] === name))
  for (const record of found) {
    if (json) output.line(JSON.stringify(record))
    else {
      const rest = Object.entries(record).filter(([field]) => !OMITTED_FIELDS.has(field))
      const {time, event, instance = "", msg = event} = record
      output.line(
        `${new Date(time).toISOString()} ${instance} ${msg}: ${JSON.stringify(Object.fromEntries(rest))}`,
      )
    }
  }
  if (found.length === 0) output.error(`The logs hold no record of ${name}.`)
  return found.length > 0 ? EXIT.ok : EXIT.refused
}

/** `report LOG... --out FILE`: writes an HTML report of the decision logs. */
export function writeReport(files: readonly string[], out: string, output: Output): ExitCode {
  const records = readLogs(files)
  if (records.isErr()) {
    output.error(records.error)
    return EXIT.invalid
  }
  const summary = summarize(records.value)
  writeFileSync(out, renderReport(summary))
  output.line(
    `${out}: ${summary.requests.total} requests, ${summary.tasks.started} task starts, ${summary.doubled.length} doubled`,
  )
  return EXIT.ok
}
