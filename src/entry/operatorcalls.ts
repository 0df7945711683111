/**
 * Operators' calls on the configuration document: read the current one, list its history, try a document against the
 * running state, and propose a document.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {AcceptedDocument, Configuration, Proposal, ProposalError} from "../controllers/configuration.js"
import {DocumentOvertaken, DocumentRejected} from "../controllers/configuration.js"
import {problem} from "../controllers/jobresponses.js"
import type {JobResponse} from "../controllers/jobresponses.js"
import {formatFinding} from "../core/finding.js"
import {documentDigest} from "../document/digest.js"
import {diffDocuments, diffThreeWay} from "../document/diff.js"
import {readDocument} from "../document/read.js"
import type {EnvironmentDocument} from "../document/model.js"

export interface OperatorCalls {
  readonly current: () => Promise<JobResponse>
  readonly history: () => Promise<JobResponse>
  readonly propose: (body: unknown) => Promise<JobResponse>
  /** Reports the changes and effects that a document would have, without proposing it. */
  readonly tryDocument: (body: unknown) => Promise<JobResponse>
}

/** Describes what a document would change in the running state. */
export type DescribeEffects = (document: EnvironmentDocument) => readonly string[]

function summarizeDocument(document: AcceptedDocument): object {
  const {number, digest, acceptedBy, acceptedAt} = document
  return {number, digest, acceptedBy, acceptedAt: new Date(acceptedAt).toISOString()}
}

function readProposal(body: unknown): Result<Proposal, JobResponse> {
  const fields = (typeof body === "object" && body !== null ? body : {}) as Readonly<Record<string, unknown>>
  const {text, baseNumber, operator, proposal} = fields
  const valid =
    typeof text === "string" &&
    typeof baseNumber === "number" &&
    typeof operator === "string" &&
    operator !== "" &&
    typeof proposal === "string"
  if (valid) return ok({text, baseNumber, operator, proposal})
  return err(
    problem(
      400,
      "malformed-proposal",
      "The proposal is malformed",
      "The members text, baseNumber, operator and proposal are required.",
      "not-run",
    ),
  )
}

function readText(body: unknown): string | undefined {
  const text =
    typeof body === "object" && body !== null ? (body as {readonly text?: unknown}).text : undefined
  return typeof text === "string" ? text : undefined
}

/** Creates the operators' calls of one instance. */
export function createOperatorCalls(
  configuration: Configuration,
  describeEffects: DescribeEffects,
): OperatorCalls {
  async function readBaseText(number: number): Promise<string> {
    const history = await configuration.history()
    return history.isOk() ? (history.value.find(document => document.number === number)?.text ?? "") : ""
  }

  async function describeFailure(error: ProposalError, proposal: Proposal): Promise<JobResponse> {
    if (error instanceof DocumentRejected) {
      return problem(422, "document-rejected", "The document was not accepted", error.message, "not-run", {
        findings: error.findings,
      })
    }
    if (error instanceof DocumentOvertaken) {
      const changes = diffThreeWay(await readBaseText(proposal.baseNumber), error.current.text, proposal.text)
      return problem(
        409,
        "document-overtaken",
        "Another document was accepted first",
        error.message,
        "not-run",
        {
          current: summarizeDocument(error.current),
          changes,
        },
      )
    }
    const title =
      error.certainty === "not-run"
        ? "The document was not accepted"
        : "It is not yet known whether the document was accepted"
    return problem(503, "store-unavailable", title, error.message, error.certainty)
  }

  return {
    current() {
      const current = configuration.current()
      if (!current)
        return Promise.resolve(
          problem(404, "no-document", "No document is in force", "Propose a document first.", "not-run"),
        )
      return Promise.resolve({status: 200, body: {...summarizeDocument(current), text: current.text}})
    },
    async history() {
      const history = await configuration.history()
      if (history.isErr())
        return problem(
          503,
          "store-unavailable",
          "The history cannot be read at present",
          history.error.message,
          "not-run",
        )
      const documents = history.value.map((document, index) => {
        const previous = history.value[index - 1]?.text ?? ""
        return {...summarizeDocument(document), changes: diffDocuments(previous, document.text)}
      })
      return {status: 200, body: {documents}}
    },
    async propose(body) {
      const proposal = readProposal(body)
      if (proposal.isErr()) return proposal.error
      const accepted = await configuration.propose(proposal.value)
      return accepted.isOk()
        ? {status: 200, body: {accepted: summarizeDocument(accepted.value)}}
        : describeFailure(accepted.error, proposal.value)
    },
    tryDocument(body) {
      const text = readText(body)
      if (text === undefined)
        return Promise.resolve(
          problem(400, "malformed-trial", "The call is malformed", "The member text is required.", "not-run"),
        )
      const read = readDocument("document", text)
      if (read.isErr()) {
        const findings = read.error.map(formatFinding)
        return Promise.resolve(
          problem(
            422,
            "document-rejected",
            "The document has findings",
            `${findings.length} findings.`,
            "not-run",
            {findings},
          ),
        )
      }
      const changes = diffDocuments(configuration.current()?.text ?? "", text)
      return Promise.resolve({
        status: 200,
        body: {digest: documentDigest(text), changes, effects: describeEffects(read.value)},
      })
    },
  }
}
