/**
 * Runs a request with an `Idempotency-Key` header at most once. The home of the key decides: a request with a new key
 * runs, a repeated one gets the first answer, and one whose key may have been used before the home's records begin is
 * answered `unknown` without being run.
 */
import {createHash} from "node:crypto"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import type {CallFailed} from "../core/errors.js"
import type {KeptAnswer, KeyVerdict} from "../routing/keyregistry.js"
import {issueTimeOf} from "../routing/keyregistry.js"
import {EXECUTION_HEADER, sendProblem} from "./problems.js"
import type {Execution, Problem} from "./problems.js"
import type {Exchange, Filter} from "./filter.js"

/** Access to the homes of idempotency keys. A home is the instance that stores the keys of a job group. */
export interface KeyHomes {
  readonly begin: (
    key: string,
    requestDigest: string,
    issuedAt: number,
    deadline: Milliseconds,
  ) => Promise<Result<KeyVerdict, CallFailed>>
  readonly complete: (key: string, execution: Execution, answer: KeptAnswer | undefined) => void
}

/** Methods that are not idempotent by definition and for which a key therefore counts. */
const KEYED_METHODS: ReadonlySet<string> = new Set(["POST", "PATCH"])

/** Digest by which the home recognizes a key that is reused for another request. */
function requestDigestOf(exchange: Exchange): string {
  const {method, path, body} = exchange
  return createHash("sha256").update(`${method} ${path}\n`).update(body).digest("base64url").slice(0, 22)
}

function problemFor(verdict: KeyVerdict): Problem {
  switch (verdict.type) {
    case "in-progress":
      return {
        status: 409,
        type: "key-in-progress",
        title: "The first request is in progress",
        detail: "Send the request again with the same key.",
        execution: "unknown",
        retryAfter: 1000,
      }
    case "mismatch":
      return {
        status: 422,
        type: "key-reused",
        title: "The key belongs to another request",
        detail: "Use a new key for a new request.",
        execution: "not-run",
      }
    case "unvouched":
      return {
        status: 503,
        type: "key-not-vouched",
        title: "The key is older than its home's records",
        detail: "Whether a request with this key has run is not known, so it was not run again.",
        execution: "unknown",
      }
    default:
      return {
        status: 503,
        type: "key-unknown",
        title: "The first request has no known outcome",
        detail: "It may have run, so it was not run again.",
        execution: "unknown",
      }
  }
}

function replay(exchange: Exchange, answer: KeptAnswer): void {
  const body = Buffer.from(answer.body, "base64")
  const headers: Record<string, string> = {
    "content-length": String(body.length),
    "request-id": exchange.id,
    [EXECUTION_HEADER]: "ran",
    "idempotency-replayed": "true",
  }
  if (answer.contentType !== "") headers["content-type"] = answer.contentType
  exchange.execution = "ran"
  exchange.outgoing.writeHead(answer.status, headers)
  exchange.outgoing.end(body)
}

/** Creates the filter. Requests without a key, and those of other methods than POST and PATCH, pass unchanged. */
export function idempotencyFilter(clock: Clock, homes: KeyHomes): Filter {
  return async (exchange, next) => {
    const header = exchange.incoming.headers["idempotency-key"]
    if (header === undefined || !KEYED_METHODS.has(exchange.method)) {
      await next()
      return
    }
    const answerWithProblem = (problem: Problem): void => {
      exchange.execution = problem.execution
      exchange.detail = problem.detail
      sendProblem(exchange.outgoing, exchange.id, problem)
    }
    const keyText = String(header).replace(/^"(.*)"$/, "$1")
    const issuedAt = issueTimeOf(keyText)
    if (issuedAt === undefined) {
      const detail = "Use a UUID of version 7 (RFC 9562), which contains the time of issue."
      answerWithProblem({
        status: 400,
        type: "malformed-key",
        title: "The idempotency key is malformed",
        detail,
        execution: "not-run",
      })
      return
    }
    const key = `${exchange.service}/${keyText.toLowerCase()}`
    const verdict = await homes.begin(
      key,
      requestDigestOf(exchange),
      issuedAt,
      exchange.deadlineAt - clock.now(),
    )
    if (verdict.isErr()) {
      const detail = "The home of the idempotency key did not answer, so the request was not run."
      answerWithProblem({
        status: 503,
        type: "key-home-unreachable",
        title: "The request was not run",
        detail,
        execution: "not-run",
        retryAfter: 1000,
      })
      return
    }
    if (verdict.value.type === "answered") {
      replay(exchange, verdict.value.answer)
      return
    }
    if (verdict.value.type !== "go") {
      answerWithProblem(problemFor(verdict.value))
      return
    }
    exchange.mustKeepAnswer = true
    try {
      await next()
    } finally {
      homes.complete(key, exchange.execution ?? "unknown", exchange.keptAnswer)
    }
  }
}
