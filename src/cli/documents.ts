/** The commands on configuration documents: check, diff, try, promote, history. */
import {randomUUID} from "node:crypto"
import {readFileSync} from "node:fs"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {describeError} from "../core/errors.js"
import {formatFinding} from "../core/finding.js"
import {diffDocuments, formatChange} from "../document/diff.js"
import type {KeyChange} from "../document/diff.js"
import {documentDigest} from "../document/digest.js"
import {readDocument} from "../document/read.js"
import type {ApiClient} from "./client.js"
import {EXIT} from "./exitcodes.js"
import type {ExitCode} from "./exitcodes.js"
import {exitCodeFor, printProblem} from "./output.js"
import type {Output} from "./output.js"

export interface OutputOptions {
  readonly json: boolean
}

/** Returns the text of a file. When it cannot be read, prints an error and returns undefined. */
export function readFile(file: string, output: Output): string | undefined {
  try {
    return readFileSync(file, "utf8")
  } catch (error) {
    output.error(`${file}: the file cannot be read: ${describeError(error)}.`)
    return undefined
  }
}

/** `check DOCUMENT`: prints every finding of a document, or its digest when there are none. */
export function checkDocument(file: string, options: OutputOptions, output: Output): ExitCode {
  const content = readFile(file, output)
  if (content === undefined) return EXIT.invalid
  const read = readDocument(file, content)
  const findings = read.isErr() ? read.error : []
  const digest = documentDigest(content)
  if (options.json) output.line(JSON.stringify({file, digest, findings}))
  else if (findings.length > 0) for (const finding of findings) output.error(formatFinding(finding))
  else output.line(`${file}: no findings, digest ${digest}`)
  return findings.length > 0 ? EXIT.invalid : EXIT.ok
}

/** `diff BEFORE AFTER`: prints the keys that differ between two documents. */
export function diffFiles(before: string, after: string, options: OutputOptions, output: Output): ExitCode {
  const one = readFile(before, output)
  const other = readFile(after, output)
  if (one === undefined || other === undefined) return EXIT.invalid
  const changes = diffDocuments(one, other)
  if (options.json) output.line(JSON.stringify({changes}))
  else if (changes.length === 0) output.line("no differences")
  else for (const change of changes) output.line(formatChange(change))
  return EXIT.ok
}

/** `try DOCUMENT`: prints what the document would change in the running environment, without changing it. */
export async function tryDocument(
  file: string,
  client: ApiClient,
  options: OutputOptions,
  output: Output,
): Promise<ExitCode> {
  const content = readFile(file, output)
  if (content === undefined) return EXIT.invalid
  const reply = await client.call("POST", "/documents/trial", {text: content})
  if (reply.isErr()) {
    output.error(reply.error.message)
    return EXIT.unreachable
  }
  if (reply.value.status >= 400) {
    printProblem(output, reply.value)
    return exitCodeFor(reply.value)
  }
  const {changes, effects} = reply.value.body as {
    readonly changes: readonly KeyChange[]
    readonly effects: readonly string[]
  }
  if (options.json) output.line(JSON.stringify(reply.value.body))
  else {
    for (const change of changes) output.line(formatChange(change))
    for (const effect of effects) output.line(`! ${effect}`)
    if (changes.length === 0) output.line("no differences")
  }
  return EXIT.ok
}

export interface PromoteOptions extends OutputOptions {
  readonly operator: string
  /** Number of the document that the change is based on; the current one when absent. */
  readonly base?: number
}

interface HistoryEntry {
  readonly number: number
  readonly digest: string
  readonly acceptedBy: string
  readonly acceptedAt: string
  readonly changes: readonly KeyChange[]
}

async function readHistory(client: ApiClient): Promise<Result<readonly HistoryEntry[], string>> {
  const reply = await client.call("GET", "/documents")
  if (reply.isErr()) return err(reply.error.message)
  if (reply.value.status >= 400) return err(String(reply.value.body.detail))
  return ok((reply.value.body as {readonly documents: readonly HistoryEntry[]}).documents)
}

/** Returns true when the trial environment has accepted a document with the same digest. */
export async function wasAcceptedInTrial(
  trial: ApiClient,
  content: string,
): Promise<Result<boolean, string>> {
  const history = await readHistory(trial)
  const digest = documentDigest(content)
  return history.map(documents => documents.some(document => document.digest === digest))
}

async function readCurrentNumber(client: ApiClient): Promise<number> {
  const reply = await client.call("GET", "/documents/current")
  return reply.isOk() && typeof reply.value.body.number === "number" ? reply.value.body.number : 0
}

/** `promote DOCUMENT`: proposes the document. `trial` is the environment that must have accepted it before. */
export async function promoteDocument(
  file: string,
  client: ApiClient,
  trial: ApiClient | undefined,
  options: PromoteOptions,
  output: Output,
): Promise<ExitCode> {
  const content = readFile(file, output)
  if (content === undefined) return EXIT.invalid
  if (trial) {
    const tried = await wasAcceptedInTrial(trial, content)
    if (tried.isErr()) {
      output.error(`The history of the trial environment cannot be read: ${tried.error}`)
      return EXIT.unreachable
    }
    if (!tried.value) {
      output.error("The trial environment has not accepted this document: promote it there first.")
      return EXIT.refused
    }
  }
  const baseNumber = options.base ?? (await readCurrentNumber(client))
  const proposal = {text: content, baseNumber, operator: options.operator, proposal: randomUUID()}
  const reply = await client.call("POST", "/documents", proposal)
  if (reply.isErr()) {
    output.error(reply.error.message)
    return reply.error.certainty === "unknown" ? EXIT.unknown : EXIT.unreachable
  }
  if (reply.value.status >= 400) {
    printProblem(output, reply.value)
    return exitCodeFor(reply.value)
  }
  const accepted = reply.value.body.accepted as HistoryEntry
  if (options.json) output.line(JSON.stringify(accepted))
  else output.line(`accepted as document ${accepted.number}, digest ${accepted.digest}`)
  return EXIT.ok
}

/** `history`: prints the accepted documents, who accepted each and what it changed. */
export async function printHistory(
  client: ApiClient,
  options: OutputOptions,
  output: Output,
): Promise<ExitCode> {
  const history = await readHistory(client)
  if (history.isErr()) {
    output.error(history.error)
    return EXIT.unreachable
  }
  if (options.json) output.line(JSON.stringify(history.value))
  else {
    for (const {number, acceptedAt, acceptedBy, digest, changes} of history.value) {
      output.line(
        `${number}  ${acceptedAt}  ${acceptedBy}  ${digest.slice(0, 12)}  ${changes.length} changes`,
      )
      if (number > 1) for (const change of changes) output.line(`    ${formatChange(change)}`)
    }
  }
  return EXIT.ok
}
