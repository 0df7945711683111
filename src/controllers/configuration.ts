/**
 * Distributes the configuration documents that operators propose, and applies the newest one. A document is
 * accepted by a compare-and-swap in the store under the next number; the document that an instance applies is
 * the one in force there. The number in force never decreases within one process. On start, an instance loads
 * the newest document that the store or its peers have before it serves requests. A few instances watch the
 * store; the others see a higher document number in gossip and fetch the document from that member.
 */
import {create} from "@bufbuild/protobuf"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import {LacewingError, StoreUnavailable} from "../core/errors.js"
import {formatFinding} from "../core/finding.js"
import {rendezvousOrder} from "../core/hash.js"
import type {Random} from "../core/random.js"
import {documentDigest} from "../document/digest.js"
import type {EnvironmentDocument} from "../document/model.js"
import {readDocument} from "../document/read.js"
import type {Member} from "../membership/table.js"
import {callPeer} from "../peer/api.js"
import type {PeerNetwork} from "../peer/api.js"
import {FetchDocumentRequestSchema} from "../peer/generated/peer_pb.js"
import type {Store} from "../platform/ports.js"
import type {Logger} from "../core/logger.js"

/** An accepted document, in the format that is stored. */
export interface AcceptedDocument {
  readonly number: number
  readonly digest: string
  readonly text: string
  readonly acceptedBy: string
  /** Wall-clock time of acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number
  /** Identifier of the proposal. It shows whether a write whose reply was lost has taken effect. */
  readonly proposal: string
}

/** The document that this instance applies, with its parsed form. */
export interface DocumentInForce extends AcceptedDocument {
  readonly document: EnvironmentDocument
}

export interface Proposal {
  readonly text: string
  /** Number of the document that the proposal is based on; 0 for the first document. */
  readonly baseNumber: number
  readonly operator: string
  /** Identifier of the proposal; a repeated proposal with the same identifier is accepted only once. */
  readonly proposal: string
}

/** The document is invalid or changes an immutable key. */
export class DocumentRejected extends LacewingError {
  readonly code = "document-rejected"
  readonly findings: readonly string[]

  constructor(findings: readonly string[]) {
    super(`The document has ${findings.length} findings and was not accepted.`)
    this.findings = findings
  }
}

/** Another document was accepted after the one that the proposal is based on. */
export class DocumentOvertaken extends LacewingError {
  readonly code = "document-overtaken"
  readonly current: AcceptedDocument

  constructor(current: AcceptedDocument) {
    super(`Document ${current.number} by ${current.acceptedBy} was accepted in the meantime.`)
    this.current = current
  }
}

export type ProposalError = DocumentRejected | DocumentOvertaken | StoreUnavailable

export interface ConfigurationPorts {
  readonly clock: Clock
  readonly random: Random
  readonly store: Store
  readonly network: PeerNetwork
  readonly log: Logger
  readonly instance: string
  readonly dataCentre: string
  readonly members: () => readonly Member[]
  readonly onChange: (document: DocumentInForce) => void
}

/** A newer document that is not in force here yet, because of its staged rollout. */
export interface WaitingDocument {
  readonly number: number
  /** Why the document is held back after its hold period has ended; empty during the hold period. */
  readonly heldBecause: string
}

export interface Configuration {
  readonly start: () => Promise<void>
  readonly stop: () => void
  readonly current: () => DocumentInForce | undefined
  /** An accepted document that is not applied here yet, because its rollout starts in other data centres. */
  readonly waiting: () => WaitingDocument | undefined
  readonly propose: (proposal: Proposal) => Promise<Result<AcceptedDocument, ProposalError>>
  readonly history: () => Promise<Result<readonly AcceptedDocument[], StoreUnavailable>>
}

export const CURRENT_DOCUMENT_KEY = "document/current"
export const DOCUMENT_HISTORY_PREFIX = "document-history/"

/** Number of instances that watch the store for changes; the others learn of a new document by gossip. */
const WATCHER_COUNT = 3
const WATCH_TIMEOUT_MS: Milliseconds = 10_000
const POLL_INTERVAL_MS: Milliseconds = 500
const CONFIRMATION_ATTEMPTS = 5
const HISTORY_KEY_DIGITS = 9

function historyKey(number: number): string {
  return DOCUMENT_HISTORY_PREFIX + String(number).padStart(HISTORY_KEY_DIGITS, "0")
}

export function configurationController(ports: ConfigurationPorts): Configuration {
  const {clock, store, network, log} = ports
  let current: DocumentInForce | undefined
  let waitingDocument: DocumentInForce | undefined
  let isStopped = false

  function newestNumber(): number {
    return Math.max(current?.number ?? 0, waitingDocument?.number ?? 0)
  }

  function putInForce(next: DocumentInForce): void {
    current = next
    waitingDocument = undefined
    const {number, digest} = next
    log.info({event: "document-in-force", number, digest}, "document is in force")
    ports.onChange(next)
  }

  /**
   * True during the hold period in which only the first data centres of the rollout apply the document. An
   * instance that has no document yet applies it immediately.
   */
  function mustWait(next: DocumentInForce): boolean {
    const {first, hold} = next.document.rollout
    const isLaterDataCentre = current !== undefined && first.length > 0 && !first.includes(ports.dataCentre)
    return isLaterDataCentre && clock.wallClock() < next.acceptedAt + hold
  }

  /**
   * Applies a document, or keeps it waiting for its rollout, if its number is higher than all known numbers.
   */
  function adoptIfNewer(accepted: AcceptedDocument): void {
    if (accepted.number <= newestNumber()) return
    const document = readDocument(`document ${accepted.number}`, accepted.text)
    if (document.isErr()) {
      log.error({event: "document-unreadable", number: accepted.number}, "accepted document cannot be parsed")
      return
    }
    const next = {...accepted, document: document.value}
    if (!mustWait(next)) {
      putInForce(next)
      return
    }
    waitingDocument = next
    log.info({event: "document-waiting", number: next.number}, "document waits for its staged rollout")
  }

  /**
   * Why the rollout must not reach this data centre: an instance of the first data centres, running this
   * document or a newer one, has too high a share of unanswered requests. Empty if none has.
   */
  function holdReason(next: DocumentInForce): string {
    const {first, maximumFailureShare} = next.document.rollout
    const failingMember = ports
      .members()
      .filter(member => first.includes(member.dataCentre) && member.documentNumber >= next.number)
      .find(member => member.failureShare > maximumFailureShare)
    if (!failingMember) return ""
    const share = (failingMember.failureShare * 100).toFixed(0)
    return `${share} % of the requests at ${failingMember.instance} were not answered, more than maximum_failure_share`
  }

  /**
   * Puts the waiting document in force after its hold period, unless the failure share in the first data
   * centres is too high.
   */
  function applyWaitingDocument(): void {
    if (waitingDocument && !mustWait(waitingDocument) && holdReason(waitingDocument) === "")
      putInForce(waitingDocument)
  }

  function adoptSerialized(text: string): void {
    const parsed = JSON.parse(text) as AcceptedDocument
    adoptIfNewer(parsed)
  }

  async function readStore(): Promise<boolean> {
    const result = await store.get(CURRENT_DOCUMENT_KEY)
    if (result.isErr()) return false
    if (result.value) adoptSerialized(result.value.value)
    return true
  }

  async function fetchFrom(instance: string): Promise<void> {
    const reply = await callPeer(network, instance, peer =>
      peer.fetchDocument(create(FetchDocumentRequestSchema)),
    )
    if (reply.isOk() && reply.value.accepted !== "") adoptSerialized(reply.value.accepted)
  }

  function newestMember(): Member | undefined {
    const others = ports.members().filter(member => member.instance !== ports.instance)
    return others.reduce<Member | undefined>(
      (best, member) => (best && best.documentNumber >= member.documentNumber ? best : member),
      undefined,
    )
  }

  async function gossipLoop(): Promise<void> {
    while (!isStopped) {
      const newest = newestMember()
      if (newest && newest.documentNumber > newestNumber()) await fetchFrom(newest.instance)
      applyWaitingDocument()
      await sleep(clock, POLL_INTERVAL_MS)
    }
  }

  function isWatcher(): boolean {
    const names = ports.members().map(member => member.instance)
    return rendezvousOrder("document-watchers", names).slice(0, WATCHER_COUNT).includes(ports.instance)
  }

  async function watchLoop(): Promise<void> {
    let revision = 0
    while (!isStopped) {
      if (!isWatcher()) {
        await sleep(clock, POLL_INTERVAL_MS * (1 + ports.random.next()))
        continue
      }
      const result = await store.watch(CURRENT_DOCUMENT_KEY, revision, WATCH_TIMEOUT_MS)
      if (result.isErr()) {
        await sleep(clock, POLL_INTERVAL_MS * (1 + ports.random.next()))
        continue
      }
      revision = result.value.revision
      for (const {value} of result.value.changed) adoptSerialized(value)
    }
  }

  /**
   * After a write with unknown outcome: reads the store until it shows whether this proposal was accepted.
   */
  async function confirmAcceptance(
    accepted: AcceptedDocument,
  ): Promise<Result<AcceptedDocument, ProposalError>> {
    for (let attempt = 0; attempt < CONFIRMATION_ATTEMPTS; attempt += 1) {
      const found = await store.get(CURRENT_DOCUMENT_KEY)
      if (found.isOk() && found.value) {
        const stored = JSON.parse(found.value.value) as AcceptedDocument
        if (stored.proposal === accepted.proposal) return ok(accepted)
        if (stored.number >= accepted.number) return confirmInHistory(accepted, stored)
      }
      await sleep(clock, POLL_INTERVAL_MS)
    }
    return err(
      new StoreUnavailable(
        "it is not known yet whether the document was accepted; check the document history",
        "unknown",
      ),
    )
  }

  /** Checks in the history whether this proposal was accepted before `stored` replaced it. */
  async function confirmInHistory(
    accepted: AcceptedDocument,
    stored: AcceptedDocument,
  ): Promise<Result<AcceptedDocument, ProposalError>> {
    const found = await store.get(historyKey(accepted.number))
    const historyEntry =
      found.isOk() && found.value ? (JSON.parse(found.value.value) as AcceptedDocument) : undefined
    return historyEntry?.proposal === accepted.proposal ? ok(accepted) : err(new DocumentOvertaken(stored))
  }

  /**
   * Copies an accepted document into the history. Before a document is replaced it is copied again, so that
   * no accepted number is missing even if the copy after its acceptance failed.
   */
  async function writeHistory(accepted: AcceptedDocument): Promise<void> {
    await store.compareAndSwap(historyKey(accepted.number), 0, JSON.stringify(accepted))
  }

  async function propose(proposal: Proposal): Promise<Result<AcceptedDocument, ProposalError>> {
    const read = readDocument("document", proposal.text)
    if (read.isErr()) return err(new DocumentRejected(read.error.map(formatFinding)))
    const found = await store.get(CURRENT_DOCUMENT_KEY)
    if (found.isErr()) return err(found.error)
    const stored = found.value && (JSON.parse(found.value.value) as AcceptedDocument)
    if (stored?.proposal === proposal.proposal) return ok(stored)
    if (stored && stored.number !== proposal.baseNumber) return err(new DocumentOvertaken(stored))
    const immutableFindings = immutableKeyFindings(stored, read.value)
    if (immutableFindings.length > 0) return err(new DocumentRejected(immutableFindings))
    if (stored) await writeHistory(stored)
    const accepted: AcceptedDocument = {
      number: (stored?.number ?? 0) + 1,
      digest: documentDigest(proposal.text),
      text: proposal.text,
      acceptedBy: proposal.operator,
      acceptedAt: clock.wallClock(),
      proposal: proposal.proposal,
    }
    const result = await store.compareAndSwap(
      CURRENT_DOCUMENT_KEY,
      found.value?.version ?? 0,
      JSON.stringify(accepted),
    )
    if (result.isErr()) {
      if (result.error instanceof StoreUnavailable && result.error.certainty === "not-run")
        return err(result.error)
      return confirmAcceptance(accepted)
    }
    adoptIfNewer(accepted)
    await writeHistory(accepted)
    return ok(accepted)
  }

  return {
    async start() {
      for (;;) {
        const isStoreReadable = await readStore()
        const newest = newestMember()
        if (newest) await fetchFrom(newest.instance)
        if (isStoreReadable || current) break
        if (isStopped) return
        await sleep(clock, POLL_INTERVAL_MS)
      }
      void watchLoop()
      void gossipLoop()
    },
    stop() {
      isStopped = true
    },
    current: () => current,
    waiting() {
      if (!waitingDocument) return undefined
      const heldBecause = mustWait(waitingDocument) ? "" : holdReason(waitingDocument)
      return {number: waitingDocument.number, heldBecause}
    },
    propose,
    async history() {
      const historyEntries = await store.list(DOCUMENT_HISTORY_PREFIX)
      if (historyEntries.isErr()) return err(historyEntries.error)
      const documents = historyEntries.value.map(item => JSON.parse(item.value) as AcceptedDocument)
      if (current && !documents.some(document => document.number === current?.number)) documents.push(current)
      return ok(documents.sort((one, other) => one.number - other.number))
    },
  }
}

/** Checks the keys that must not change during the lifetime of the environment. */
function immutableKeyFindings(
  stored: AcceptedDocument | undefined,
  next: EnvironmentDocument,
): readonly string[] {
  if (!stored) return []
  const previous = readDocument("current document", stored.text)
  if (previous.isErr()) return []
  const findings: string[] = []
  if (previous.value.jobGroups !== next.jobGroups) {
    findings.push(
      `document: [environment] job_groups: The number of job groups is fixed. Keep ${previous.value.jobGroups}.`,
    )
  }
  if (previous.value.environment !== next.environment) {
    findings.push(`document: [environment] name: The name is fixed. Keep ${previous.value.environment}.`)
  }
  return findings
}
