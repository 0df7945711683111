/** Handles the calls of peers: converts messages to calls of the controllers, and their results to messages. */
import {create} from "@bufbuild/protobuf"
import type {Configuration} from "../controllers/configuration.js"
import type {GroupOwner, PlaceOrder, PlacementAnswer, Refusal} from "../controllers/groupowner.js"
import type {HeldGroups} from "../controllers/heldgroups.js"
import type {Membership} from "../controllers/membership.js"
import type {Ownership} from "../controllers/ownership.js"
import type {PeerApi} from "../peer/api.js"
import {
  attemptFromMessage,
  attemptToMessage,
  endFromMessage,
  endToMessage,
  freeCapacityToMessage,
} from "../peer/convert.js"
import {
  AbandonResponseSchema,
  BeginKeyResponseSchema,
  CompleteKeyResponseSchema,
  FetchDocumentResponseSchema,
  ForwardResponseSchema,
  HandOverResponseSchema,
  HoldingsResponseSchema,
  InventoryResponseSchema,
  KeptAnswerSchema,
  LendResponseSchema,
  PlaceResponseSchema,
  PromiseResponseSchema,
  ReportEndsResponseSchema,
} from "../peer/generated/peer_pb.js"
import type {
  BeginKeyRequest,
  HandOverRequest,
  LendRequest,
  PlaceRequest,
  PlaceResponse,
} from "../peer/generated/peer_pb.js"
import type {KeptAnswer, KeyVerdict} from "../routing/keyregistry.js"
import {LOAN_TERM_MS} from "../routing/timing.js"
import type {JobCalls} from "./jobcalls.js"

export interface PeerHandlerPorts {
  readonly membership: Membership
  readonly ownership: Ownership
  readonly configuration: Configuration
  readonly held: HeldGroups
  readonly jobCalls: JobCalls
  readonly wallClock: () => number
  /** Number of slots that this instance has borrowed from a worker group, by backend server. */
  readonly holdingsOf: (group: string) => ReadonlyMap<string, number>
}

/** How long after this instance acquired a job group the former home may still send the group's keys. */
const KEY_HAND_OVER_WAIT_MS = 400

const GROUP_NOT_HELD = "this instance does not hold the group now"

function isRefusal(answer: readonly PlacementAnswer[] | Refusal): answer is Refusal {
  return "refusal" in answer
}

function orderFromMessage(request: PlaceRequest): PlaceOrder & {readonly reservation: string} {
  const {ownerEpoch, jobGroup, homeEpoch, wait, rank, waited, reservation} = request
  return {
    ownerEpoch,
    jobGroup,
    homeEpoch,
    wait,
    rank,
    waited,
    reservation,
    attempts: request.attempts.map(attemptFromMessage),
  }
}

async function handlePlace(owner: GroupOwner, request: PlaceRequest): Promise<PlaceResponse> {
  const order = orderFromMessage(request)
  if (request.mode === "release") {
    owner.releaseReservation(request.reservation)
    return create(PlaceResponseSchema, {})
  }
  const answer =
    request.mode === "reserve"
      ? owner.reserve(order)
      : request.mode === "commit"
        ? await owner.commit(order)
        : await owner.place(order)
  if (isRefusal(answer)) return create(PlaceResponseSchema, {refusal: answer.refusal})
  return create(PlaceResponseSchema, {
    placements: answer.map(entry => ({...entry})),
    free: freeCapacityToMessage(owner.freeCapacity()),
  })
}

function keptAnswerToMessage(answer: KeptAnswer) {
  return create(KeptAnswerSchema, {...answer, body: Buffer.from(answer.body, "base64")})
}

function verdictToMessage(verdict: KeyVerdict) {
  const answer = verdict.type === "answered" ? keptAnswerToMessage(verdict.answer) : undefined
  return create(BeginKeyResponseSchema, {verdict: verdict.type, answer})
}

/** Creates the handlers of peer calls of one instance. */
export function createPeerHandlers(ports: PeerHandlerPorts): PeerApi {
  const {membership, ownership, configuration, held} = ports

  async function lend(request: LendRequest) {
    const group = held.workerGroup(request.group)
    if (!group || ownership.epochOf(request.group) !== request.ownerEpoch) {
      return create(LendResponseSchema, {refusal: GROUP_NOT_HELD})
    }
    const {borrower, service, wanted, wait} = request
    const holdings = request.uses.map(({server, held: count, doubtful}) => ({server, count, doubtful}))
    const order = {borrower, service, wanted, wait, holdings, sequence: Number(request.sequence)}
    const answer = await group.lender.lend(order)
    if (!answer) return create(LendResponseSchema, {refusal: GROUP_NOT_HELD})
    const {grants, contended, share, closed} = answer
    return create(LendResponseSchema, {
      grants: grants.map(entry => ({...entry})),
      contended,
      share,
      closed: [...closed],
      term: LOAN_TERM_MS,
    })
  }

  function beginKey(request: BeginKeyRequest): KeyVerdict | undefined {
    const group = held.jobGroup(request.jobGroup)
    if (!group || ownership.epochOf(request.jobGroup) === undefined) return undefined
    const now = ports.wallClock()
    const verdict = group.keys.begin(request, now)
    // The former home may still hand over its keys, so the peer is made to ask again.
    const mayReceiveKeys = verdict.type === "unvouched" && now < group.acquiredAt + KEY_HAND_OVER_WAIT_MS
    return mayReceiveKeys ? undefined : verdict
  }

  async function handOver(request: HandOverRequest): Promise<void> {
    if (request.group === "") return
    await ownership.refresh()
    const workerGroup = held.workerGroup(request.group)
    if (workerGroup?.epoch === request.epoch) workerGroup.lender.adopt(request.lent, true)
    const jobGroup = held.jobGroup(request.group)
    if (jobGroup?.epoch === request.epoch && request.keys.length > 0)
      jobGroup.keys.importJson(Buffer.from(request.keys).toString("utf8"))
    membership.announce()
  }

  return {
    gossip: request => Promise.resolve(membership.handleGossip(request)),
    promise(request) {
      const term = ownership.handlePromiseRequest(request.holder, request.incarnation)
      return Promise.resolve(
        create(PromiseResponseSchema, {
          granted: term > 0,
          term,
        }),
      )
    },
    place(request) {
      const group = held.workerGroup(request.group)
      if (!group) return Promise.resolve(create(PlaceResponseSchema, {refusal: GROUP_NOT_HELD}))
      return handlePlace(group.owner, request)
    },
    abandon(request) {
      const group = held.workerGroup(request.group)
      if (!group) return Promise.resolve(create(AbandonResponseSchema, {refusal: GROUP_NOT_HELD}))
      const {ownerEpoch, jobGroup, homeEpoch, attempts, checkpoint} = request
      const fates = group.owner.abandon(ownerEpoch, jobGroup, homeEpoch, attempts, checkpoint)
      if ("refusal" in fates) return Promise.resolve(create(AbandonResponseSchema, {refusal: fates.refusal}))
      return Promise.resolve(create(AbandonResponseSchema, {fates: fates.map(entry => ({...entry}))}))
    },
    inventory(request) {
      const group = held.workerGroup(request.group)
      if (!group) return Promise.resolve(create(InventoryResponseSchema, {refusal: GROUP_NOT_HELD}))
      const inventory = group.owner.inventory(request.ownerEpoch, request.jobGroup, request.homeEpoch)
      if ("refusal" in inventory)
        return Promise.resolve(create(InventoryResponseSchema, {refusal: inventory.refusal}))
      const {complete, running, ended} = inventory
      return Promise.resolve(
        create(InventoryResponseSchema, {
          complete,
          running: running.map(entry => attemptToMessage(entry.attempt)),
          runningWorkers: running.map(entry => entry.worker),
          ended: ended.map(endToMessage),
        }),
      )
    },
    async reportEnds(request) {
      const group = held.jobGroup(request.jobGroup)
      if (!group || ownership.epochOf(request.jobGroup) === undefined || !(await group.opened)) {
        return create(ReportEndsResponseSchema, {})
      }
      const acknowledged = await group.home.acceptEnds(request.ends.map(endFromMessage))
      return create(ReportEndsResponseSchema, {acknowledged: [...acknowledged]})
    },
    lend,
    holdings(request) {
      const uses = [...ports.holdingsOf(request.group)].map(([server, count]) => ({server, held: count}))
      return Promise.resolve(create(HoldingsResponseSchema, {uses}))
    },
    fetchDocument() {
      const current = configuration.current()
      if (!current) return Promise.resolve(create(FetchDocumentResponseSchema, {}))
      const {number, digest, text, acceptedBy, acceptedAt, proposal} = current
      const accepted = JSON.stringify({number, digest, text, acceptedBy, acceptedAt, proposal})
      return Promise.resolve(create(FetchDocumentResponseSchema, {number: BigInt(number), accepted}))
    },
    async forward(request) {
      const {jobGroup, operation, job, body} = request
      const parsed: unknown = body.length > 0 ? JSON.parse(Buffer.from(body).toString("utf8")) : undefined
      const answer = await ports.jobCalls.runLocally(jobGroup, operation, job, parsed)
      return create(ForwardResponseSchema, {
        status: answer.status,
        body: Buffer.from(JSON.stringify(answer.body)),
      })
    },
    beginKey(request) {
      const verdict = beginKey(request)
      return Promise.resolve(
        verdict ? verdictToMessage(verdict) : create(BeginKeyResponseSchema, {verdict: "elsewhere"}),
      )
    },
    completeKey(request) {
      const {answer, execution} = request
      const kept = answer && {
        status: answer.status,
        contentType: answer.contentType,
        body: Buffer.from(answer.body).toString("base64"),
      }
      const outcome = execution === "ran" || execution === "not-run" ? execution : "unknown"
      held.jobGroup(request.jobGroup)?.keys.complete(request.key, outcome, kept)
      return Promise.resolve(create(CompleteKeyResponseSchema))
    },
    async handOver(request) {
      await handOver(request)
      return create(HandOverResponseSchema)
    },
  }
}
