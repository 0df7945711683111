/** Answers that this system gives itself: problem details (RFC 9457) that say what is known of the work. */
import type {ServerResponse} from "node:http"
import type {Milliseconds} from "../core/clock.js"

/** What an answer says of the work that was asked for. */
export type Execution = "ran" | "not-run" | "unknown"

export const EXECUTION_HEADER = "lacewing-execution"

export interface Problem {
  readonly status: number
  /** Last part of the problem type. */
  readonly type: string
  readonly title: string
  readonly detail: string
  readonly execution: Execution
  readonly retryAfter?: Milliseconds
}

const PROBLEM_BASE = "urn:lacewingstream:problem:"

/** Sends a problem document, unless an answer has begun: then the connection is cut, so that nobody takes it as whole. */
export function sendProblem(outgoing: ServerResponse, id: string, problem: Problem): void {
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
    request: id,
  })
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(Buffer.byteLength(body)),
    [EXECUTION_HEADER]: execution,
  }
  if (id !== "") headers["request-id"] = id
  if (problem.retryAfter !== undefined) headers["retry-after"] = String(Math.ceil(problem.retryAfter / 1000))
  outgoing.writeHead(status, headers)
  outgoing.end(body)
}
