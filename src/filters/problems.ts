/**
 * Answers that the scheduler itself gives to a caller instead of a backend server's answer: problem details
 * (RFC 9457) that state whether the requested work has run.
 */
import type {ServerResponse} from "node:http"
import type {Milliseconds} from "../core/clock.js"

/** Whether the requested work has run, as stated in an answer. */
export type Execution = "ran" | "not-run" | "unknown"

export const EXECUTION_HEADER = "lacewing-execution"

export interface Problem {
  readonly status: number
  /** Last part of the problem type URI, after `PROBLEM_BASE`. */
  readonly type: string
  readonly title: string
  readonly detail: string
  readonly execution: Execution
  readonly retryAfter?: Milliseconds
}

const PROBLEM_BASE = "urn:lacewingstream:problem:"

/**
 * Sends a problem document. If the headers of another answer were already sent, closes the connection instead, so
 * that the caller does not take the truncated answer for a complete one.
 */
export function sendProblem(outgoing: ServerResponse, requestId: string, problem: Problem): void {
  if (outgoing.headersSent) {
    outgoing.destroy()
    return
  }
  const {status, title, detail, execution} = problem
  const body = JSON.stringify({
    type: PROBLEM_BASE + problem.type,
    title,
    status,
    detail,
    execution,
    request: requestId,
  })
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(Buffer.byteLength(body)),
    [EXECUTION_HEADER]: execution,
  }
  if (requestId !== "") headers["request-id"] = requestId
  if (problem.retryAfter !== undefined) headers["retry-after"] = String(Math.ceil(problem.retryAfter / 1000))
  outgoing.writeHead(status, headers)
  outgoing.end(body)
}
