/** Converts between the protobuf messages that peers exchange and the types used inside an instance. */
import {create} from "@bufbuild/protobuf"
import type {Resources} from "../core/resources.js"
import type {Attempt, AttemptEnd, AttemptOutcome} from "../jobs/attempt.js"
import type {WorkloadKind} from "../document/model.js"
import type {Claim, GossipEntry, FreeCapacity, MemberState} from "../membership/table.js"
import {
  AttemptEndSchema,
  AttemptSchema,
  DemandSchema,
  FreeCapacitySchema,
  GroupClaimSchema,
  MemberEntrySchema,
} from "./generated/peer_pb.js"
import type {
  Attempt as AttemptMessage,
  AttemptEnd as AttemptEndMessage,
  Demand as DemandMessage,
  FreeCapacity as FreeCapacityMessage,
  GroupClaim as GroupClaimMessage,
  MemberEntry as MemberEntryMessage,
} from "./generated/peer_pb.js"

export function demandToMessage(demand: Resources): DemandMessage {
  return create(DemandSchema, {...demand})
}

export function demandFromMessage(message: DemandMessage | undefined): Resources {
  return {
    processors: message?.processors ?? 0,
    memoryMebibytes: message?.memoryMebibytes ?? 0,
    accelerators: message?.accelerators ?? 0,
  }
}

export function attemptToMessage(attempt: Attempt): AttemptMessage {
  return create(AttemptSchema, {
    ...attempt,
    avoid: [...attempt.avoid],
    demand: demandToMessage(attempt.demand),
  })
}

const WORKLOAD_KINDS: ReadonlySet<string> = new Set<WorkloadKind>(["batch", "gang", "service"])

function isWorkloadKind(text: string): text is WorkloadKind {
  return WORKLOAD_KINDS.has(text)
}

export function attemptFromMessage(message: AttemptMessage): Attempt {
  const {attempt, job, task, jobGroup, team, workload, pool, priority, declaredRun} = message
  const {restartable, checkpointable, checkpoint, payload, avoid} = message
  const kind = isWorkloadKind(message.kind) ? message.kind : "batch"
  const demand = demandFromMessage(message.demand)
  const identity = {attempt, job, task, jobGroup, team, workload, kind, pool, priority, demand}
  return {...identity, declaredRun, restartable, checkpointable, checkpoint, payload, avoid}
}

export function endToMessage(end: AttemptEnd): AttemptEndMessage {
  const {ranFor, ...rest} = end
  return create(AttemptEndSchema, {...rest, ran: ranFor})
}

const ATTEMPT_OUTCOMES: ReadonlySet<string> = new Set<AttemptOutcome>([
  "succeeded",
  "failed",
  "stopped",
  "checkpointed",
  "lost",
  "never-started",
])

function isAttemptOutcome(text: string): text is AttemptOutcome {
  return ATTEMPT_OUTCOMES.has(text)
}

/**
 * Converts the end of an attempt. An outcome unknown to this version becomes `lost`, as the task may have
 * run.
 */
export function endFromMessage(message: AttemptEndMessage): AttemptEnd {
  const {attempt, job, task, jobGroup, worker, checkpoint, detail, ran, peakMemoryMebibytes} = message
  const outcome = isAttemptOutcome(message.outcome) ? message.outcome : "lost"
  return {attempt, job, task, jobGroup, worker, checkpoint, detail, outcome, ranFor: ran, peakMemoryMebibytes}
}

export function freeCapacityToMessage(free: FreeCapacity): FreeCapacityMessage {
  return create(FreeCapacitySchema, {...free})
}

export function freeCapacityFromMessage(message: FreeCapacityMessage): FreeCapacity {
  const {processors, memoryMebibytes, accelerators, idleSlots, waiting} = message
  const {largestProcessors, largestMemoryMebibytes, largestAccelerators} = message
  const {totalProcessors, totalMemoryMebibytes, totalAccelerators} = message
  const largestWorker = {largestProcessors, largestMemoryMebibytes, largestAccelerators}
  const total = {totalProcessors, totalMemoryMebibytes, totalAccelerators}
  return {processors, memoryMebibytes, accelerators, idleSlots, waiting, ...largestWorker, ...total}
}

function claimToMessage(claim: Claim): GroupClaimMessage {
  const free = claim.free ? freeCapacityToMessage(claim.free) : undefined
  return create(GroupClaimSchema, {group: claim.group, epoch: claim.epoch, free})
}

function claimFromMessage(message: GroupClaimMessage): Claim {
  return {
    group: message.group,
    epoch: message.epoch,
    free: message.free && freeCapacityFromMessage(message.free),
  }
}

export function entryToMessage(entry: GossipEntry): MemberEntryMessage {
  const {instance, incarnation, heartbeat, version, state} = entry
  const liveness = {instance, incarnation, heartbeat: BigInt(heartbeat), version: BigInt(version)}
  if (!state) return create(MemberEntrySchema, {...liveness, brief: true})
  const {address, dataCentre, status, failureShare, holderIncarnation} = state
  const documentNumber = BigInt(state.documentNumber)
  const claims = state.claims.map(claimToMessage)
  return create(MemberEntrySchema, {
    ...liveness,
    address,
    dataCentre,
    status,
    documentNumber,
    claims,
    failureShare,
    holderIncarnation,
  })
}

function stateFromMessage(message: MemberEntryMessage): MemberState {
  const {address, dataCentre, failureShare, holderIncarnation} = message
  const status = message.status === "leaving" ? "leaving" : "active"
  const documentNumber = Number(message.documentNumber)
  return {
    address,
    dataCentre,
    status,
    documentNumber,
    failureShare,
    holderIncarnation,
    claims: message.claims.map(claimFromMessage),
  }
}

export function entryFromMessage(message: MemberEntryMessage): GossipEntry {
  const {instance, incarnation} = message
  const state = message.brief ? undefined : stateFromMessage(message)
  return {
    instance,
    incarnation,
    heartbeat: Number(message.heartbeat),
    version: Number(message.version),
    state,
  }
}
