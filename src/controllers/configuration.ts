/**
 * Keeps the newest accepted configuration document. The number in force never goes down in one process; on start
 * an instance takes the newest that the store or any of its peers knows before it serves. Changes reach most
 * instances by gossip: a member that runs a higher number is asked for the document.
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

/** An accepted document as it is stored. */
export interface AcceptedDocument {
  readonly number: number
  readonly digest: string
  readonly text: string
  readonly acceptedBy: string
  /** Wall-clock time of acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number
  /** Identity of the proposal, by which a lost reply is settled. */
  readonly proposal: string
}

export interface DocumentInForce extends AcceptedDocument {
  readonly document: EnvironmentDocument
}

export interface Proposal {
  readonly text: string
  /** Number that the operator looked at; 0 for the first document. */
  readonly baseNumber: number
  readonly operator: string
  readonly proposal: string
}

/** The document cannot be accepted as it is. */
export class DocumentRejected extends LacewingError {
  readonly code = "document-rejected"
  readonly findings: readonly string[]

  constructor(findings: readonly string[]) {
    super(`The document has ${findings.length} findings and was not accepted.`)
    this.findings = findings
  }
}

/** Another operator's document was accepted since the one that this proposal was based on. */
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

export interface WaitingDocument {
  readonly number: number
  /** Why it is held back although its time has come; empty while its time has not come. */
  readonly heldBecause: string
}

export interface Configuration {
  readonly start: () => Promise<void>
  readonly stop: () => void
  readonly current: () => DocumentInForce | undefined
  /** An accepted document that takes force here later, because other data centres go first. */
  readonly waiting: () => WaitingDocument | undefined
  readonly propose: (proposal: Proposal) => Promise<Result<AcceptedDocument, ProposalError>>
  readonly history: () => Promise<Result<readonly AcceptedDocument[], StoreUnavailable>>
}

export const CURRENT_DOCUMENT_KEY = "document/current"
export const DOCUMENT_HISTORY_PREFIX = "document-history/"

/** Instances that watch the store for changes; the rest learn by gossip. */
const WATCHERS = 3
const WATCH_MS: Milliseconds = 10_000
const IDLE_MS: Milliseconds = 500
const SETTLE_ATTEMPTS = 5
const NUMBER_WIDTH = 9

function historyKey(number: number): string {
  return DOCUMENT_HISTORY_PREFIX + String(number).padStart(NUMBER_WIDTH, "0")
}

/** Creates the controller. */
export function configurationController(ports: ConfigurationPorts): Configuration {
  const {clock, store, network, log} = ports
  let current: DocumentInForce | undefined
  let pending: DocumentInForce | undefined
  let stopped = false

  function newestNumber(): number {
    return Math.max(current?.number ?? 0, pending?.number ?? 0)
  }

  function putInForce(next: DocumentInForce): void {
    current = next
    pending = undefined
    const {number, digest} = next
    log.info({event: "document-in-force", number, digest}, "a document is in force")
    ports.onChange(next)
  }

  /** True while other data centres run the document first. An instance without any document takes it at once. */
  function goesLater(next: DocumentInForce): boolean {
    const {first, hold} = next.document.rollout
    const later = current !== undefined && first.length > 0 && !first.includes(ports.dataCentre)
    return later && clock.wallClock() < next.acceptedAt + hold
  }

  /** Takes a document if its number is higher than every one known here. */
  function adopt(accepted: AcceptedDocument): void {
    if (accepted.number <= newestNumber()) return
    const document = readDocument(`document ${accepted.number}`, accepted.text)
    if (document.isErr()) {
      log.error(
        {event: "document-unreadable", number: accepted.number},
        "an accepted document cannot be read",
      )
      return
    }
    const next = {...accepted, document: document.value}
    if (!goesLater(next)) {
      putInForce(next)
      return
    }
    pending = next
    log.info({event: "document-waiting", number: next.number}, "a document takes force here later")
  }

  /** Why the data centres that went first speak against the document; empty when they do not. */
  function objection(next: DocumentInForce): string {
    const {first, maximumFailureShare} = next.document.rollout
    const worse = ports
      .members()
      .filter(member => first.includes(member.dataCentre) && member.documentNumber >= next.number)
      .find(member => member.failureShare > maximumFailureShare)
    if (!worse) return ""
    const share = (worse.failureShare * 100).toFixed(0)
    return `${share} % of the requests at ${worse.instance} were not answered, more than maximum_failure_share`
  }

  /** Puts a waiting document in force once its time has come, unless the first data centres are worse for it. */
  function releaseWaiting(): void {
    if (pending && !goesLater(pending) && objection(pending) === "") putInForce(pending)
  }

  function adoptText(text: string): void {
    const parsed = JSON.parse(text) as AcceptedDocument
    adopt(parsed)
  }

  async function readStore(): Promise<boolean> {
    const found = await store.get(CURRENT_DOCUMENT_KEY)
    if (found.isErr()) return false
    if (found.value) adoptText(found.value.value)
    return true
  }

  async function fetchFrom(instance: string): Promise<void> {
    const reply = await callPeer(network, instance, peer =>
      peer.fetchDocument(create(FetchDocumentRequestSchema)),
    )
    if (reply.isOk() && reply.value.accepted !== "") adoptText(reply.value.accepted)
  }

  function newestMember(): Member | undefined {
    const others = ports.members().filter(member => member.instance !== ports.instance)
    return others.reduce<Member | undefined>(
      (best, member) => (best && best.documentNumber >= member.documentNumber ? best : member),
      undefined,
    )
  }

  async function gossipLoop(): Promise<void> {
    while (!stopped) {
      const newest = newestMember()
      if (newest && newest.documentNumber > newestNumber()) await fetchFrom(newest.instance)
      releaseWaiting()
      await sleep(clock, IDLE_MS)
    }
  }

  function isWatcher(): boolean {
    const names = ports.members().map(member => member.instance)
    return rendezvousOrder("document-watchers", names).slice(0, WATCHERS).includes(ports.instance)
  }

  async function watchLoop(): Promise<void> {
    let revision = 0
    while (!stopped) {
      if (!isWatcher()) {
        await sleep(clock, IDLE_MS * (1 + ports.random.next()))
        continue
      }
      const result = await store.watch(CURRENT_DOCUMENT_KEY, revision, WATCH_MS)
      if (result.isErr()) {
        await sleep(clock, IDLE_MS * (1 + ports.random.next()))
        continue
      }
      revision = result.value.revision
      for (const {value} of result.value.changed) adoptText(value)
    }
  }

  /** After a write of unknown fate: reads until the stored proposal tells whether it was ours. */
  async function settle(accepted: AcceptedDocument): Promise<Result<AcceptedDocument, ProposalError>> {
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt += 1) {
      const found = await store.get(CURRENT_DOCUMENT_KEY)
      if (found.isOk() && found.value) {
        const stored = JSON.parse(found.value.value) as AcceptedDocument
        if (stored.proposal === accepted.proposal) return ok(accepted)
        if (stored.number >= accepted.number) return settleInHistory(accepted, stored)
      }
      await sleep(clock, IDLE_MS)
    }
    return err(
      new StoreUnavailable(
        "whether the document was accepted is not known yet; ask for the history",
        "unknown",
      ),
    )
  }

  async function settleInHistory(
    accepted: AcceptedDocument,
    stored: AcceptedDocument,
  ): Promise<Result<AcceptedDocument, ProposalError>> {
    const found = await store.get(historyKey(accepted.number))
    const kept = found.isOk() && found.value ? (JSON.parse(found.value.value) as AcceptedDocument) : undefined
    return kept?.proposal === accepted.proposal ? ok(accepted) : err(new DocumentOvertaken(stored))
  }

  /** Copies the current document into the history before it is replaced, so that no accepted number is lost. */
  async function keepHistory(accepted: AcceptedDocument): Promise<void> {
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
    const fixed = fixedKeyFindings(stored, read.value)
    if (fixed.length > 0) return err(new DocumentRejected(fixed))
    if (stored) await keepHistory(stored)
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
      return settle(accepted)
    }
    adopt(accepted)
    await keepHistory(accepted)
    return ok(accepted)
  }

  return {
    async start() {
      for (;;) {
        const readable = await readStore()
        const newest = newestMember()
        if (newest) await fetchFrom(newest.instance)
        if (readable || current) break
        if (stopped) return
        await sleep(clock, IDLE_MS)
      }
      void watchLoop()
      void gossipLoop()
    },
    stop() {
      stopped = true
    },
    current: () => current,
    waiting() {
      if (!pending) return undefined
      const heldBecause = goesLater(pending) ? "" : objection(pending)
      return {number: pending.number, heldBecause}
    },
    propose,
    async history() {
      const kept = await store.list(DOCUMENT_HISTORY_PREFIX)
      if (kept.isErr()) return err(kept.error)
      const documents = kept.value.map(item => JSON.parse(item.value) as AcceptedDocument)
      if (current && !documents.some(document => document.number === current?.number)) documents.push(current)
      return ok(documents.sort((one, other) => one.number - other.number))
    },
  }
}

/** Keys that cannot change while the environment exists. */
function fixedKeyFindings(
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
