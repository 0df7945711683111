/** Output of the command line: the streams it prints to, exit codes for replies, and the text of problem documents. */
import {EXIT} from "./exitcodes.js"
import type {ExitCode} from "./exitcodes.js"
import type {ApiReply} from "./client.js"

export interface Output {
  readonly line: (text: string) => void
  readonly error: (text: string) => void
}

export const PROCESS_OUTPUT: Output = {
  line: text => process.stdout.write(`${text}\n`),
  error: text => process.stderr.write(`${text}\n`),
}

/** Returns the exit code for a reply, by its status and, for 503, by whether the call may have taken effect. */
export function exitCodeFor(reply: ApiReply): ExitCode {
  if (reply.status < 400) return EXIT.ok
  if (reply.status === 503) return reply.body.execution === "unknown" ? EXIT.unknown : EXIT.unreachable
  return reply.status === 400 ? EXIT.invalid : EXIT.refused
}

function describeFinding(finding: unknown): string {
  if (typeof finding === "string") return finding
  const {pointer, problem} = finding as {readonly pointer?: string; readonly problem?: string}
  return `${pointer ?? ""}: ${problem ?? JSON.stringify(finding)}`
}

interface ThreeWayChange {
  readonly section: string
  readonly key: string
  readonly base?: string
  readonly theirs?: string
  readonly yours?: string
  readonly status: string
}

/** Prints a problem document with its findings and, after a conflict, the three-way differences. */
export function printProblem(output: Output, reply: ApiReply): void {
  const {title, detail, execution, findings, changes} = reply.body
  output.error(`${String(title)}: ${String(detail)} (${String(execution)})`)
  if (Array.isArray(findings)) for (const finding of findings) output.error(`  ${describeFinding(finding)}`)
  if (!Array.isArray(changes)) return
  for (const change of changes as readonly ThreeWayChange[]) {
    const {section, key, base = "-", theirs = "-", yours = "-", status} = change
    output.error(`  [${section}] ${key}: was ${base}, theirs ${theirs}, yours ${yours} (${status})`)
  }
}
