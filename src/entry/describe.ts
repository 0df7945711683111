/** Builds the status of one instance from its controllers, with findings: sentences on what needs attention. */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {DocumentInForce, WaitingDocument} from "../controllers/configuration.js"
import type {HeldGroups} from "../controllers/heldgroups.js"
import type {Membership} from "../controllers/membership.js"
import type {Ownership} from "../controllers/ownership.js"
import type {RequestRouter} from "../controllers/requestrouter.js"
import type {StoreStatistics} from "../platform/guardedstore.js"
import type {Settings} from "../settings/settings.js"
import type {RequestRecord} from "./requestrecord.js"
import type {
  InstanceStatus,
  JobGroupStatus,
  MemberStatus,
  ServiceStatus,
  SlotStatus,
  WorkerGroupStatus,
  WorkerStatus,
} from "./status.js"

export interface DescribeInputs {
  readonly settings: Settings
  readonly clock: Clock
  readonly ownership: Ownership
  readonly membership: Membership
  readonly held: HeldGroups
  readonly routers: ReadonlyMap<string, RequestRouter>
  readonly record: RequestRecord
  readonly leaving: boolean
  readonly current: DocumentInForce | undefined
  readonly waiting: WaitingDocument | undefined
  readonly store: StoreStatistics
  /** Bytes sent to and received from peers. */
  readonly controlBytes: number
}

/** An accepted document must be in force on every instance, and every instance be heard, within this time. */
const ROLLOUT_LIMIT_MS: Milliseconds = 14_000

function describeWorkerGroups(held: HeldGroups): readonly WorkerGroupStatus[] {
  return [...held.workerGroups()].map(([group, {epoch, owner, lender}]) => {
    const workers: readonly WorkerStatus[] = [...owner.workers().ledger().values()].map(
      ({worker, isAcceptingWork: open, held: tasks, used, capacity}) => ({
        worker,
        open,
        tasks: tasks.size,
        usedProcessors: used.processors,
        processors: capacity.processors,
        usedMemoryMebibytes: used.memoryMebibytes,
        memoryMebibytes: capacity.memoryMebibytes,
        usedAccelerators: used.accelerators,
        accelerators: capacity.accelerators,
      }),
    )
    const slots: readonly SlotStatus[] = [...lender.ledger().values()].map(server => ({
      server: server.server,
      open: server.open,
      slots: server.slots,
      lent: [...server.loans.values()].reduce((sum, loan) => sum + loan.count, 0),
      inDoubt: server.inDoubt,
    }))
    return {
      group,
      epoch,
      settled: owner.workers().isSettled(),
      waiting: owner.freeCapacity().waiting,
      workers,
      slots,
    }
  })
}

function describeJobGroups(held: HeldGroups): readonly JobGroupStatus[] {
  return [...held.jobGroups()].map(([group, {epoch, home}]) => ({
    group,
    epoch,
    recovered: home.isRecovered(),
    ...home.counts(),
  }))
}

function describeServices(inputs: DescribeInputs): readonly ServiceStatus[] {
  return [...inputs.routers].map(([service, router]) => ({
    service,
    waiting: router.waiting(),
    slotsHeld: router.borrower().held(),
    ...inputs.record.countsOf(service),
  }))
}

function describeMembers(inputs: DescribeInputs): readonly MemberStatus[] {
  const {membership, clock} = inputs
  const self = membership.self()
  const {instance, dataCentre, status, documentNumber} = self
  const others = [...membership.table().values()].map(({member, lastHeardAt: heardAt}) => ({
    instance: member.instance,
    dataCentre: member.dataCentre,
    status: member.status,
    documentNumber: member.documentNumber,
    silentFor: clock.now() - heardAt,
  }))
  return [{instance, dataCentre, status, documentNumber, silentFor: 0}, ...others]
}

function describeFindings(inputs: DescribeInputs, members: readonly MemberStatus[]): readonly string[] {
  const {ownership, store, current, clock} = inputs
  const findings: string[] = []
  const reason = ownership.reasonNotToAct()
  if (reason !== undefined && !inputs.leaving)
    findings.push(`This instance may not act for its groups: ${reason}.`)
  if (store.open)
    findings.push(
      "The configuration store does not answer. Accepted work continues; new jobs and documents are refused.",
    )
  if (!current) findings.push("No document is in force.")
  if (inputs.waiting) {
    const {number, heldBecause} = inputs.waiting
    const reason = heldBecause === "" ? "other data centres apply it first" : heldBecause
    findings.push(`Document ${number} is accepted but not yet in force here: ${reason}.`)
  }
  const behind = members.filter(
    member => member.documentNumber < (current?.number ?? 0) && member.silentFor < ROLLOUT_LIMIT_MS,
  )
  const overdue = current !== undefined && clock.wallClock() > current.acceptedAt + ROLLOUT_LIMIT_MS
  if (overdue)
    for (const {instance, documentNumber} of behind)
      findings.push(`${instance} still uses document ${documentNumber} instead of ${current.number}.`)
  for (const {instance, silentFor} of members) {
    if (silentFor > ROLLOUT_LIMIT_MS)
      findings.push(`${instance} has not been heard for ${Math.round(silentFor / 1000)} s.`)
  }
  return findings
}

export function describeInstance(inputs: DescribeInputs): InstanceStatus {
  const {settings, ownership, leaving, current, store, controlBytes} = inputs
  const members = describeMembers(inputs)
  return {
    instance: settings.instance,
    dataCentre: settings.dataCentre,
    incarnation: ownership.incarnation(),
    mayAct: ownership.mayAct(),
    reasonNotToAct: ownership.reasonNotToAct() ?? "",
    successors: ownership.successors(),
    leaving,
    documentNumber: current?.number ?? 0,
    documentDigest: current?.digest ?? "",
    members,
    workerGroups: describeWorkerGroups(inputs.held),
    jobGroups: describeJobGroups(inputs.held),
    services: describeServices(inputs),
    store,
    controlBytes,
    findings: describeFindings(inputs, members),
  }
}
