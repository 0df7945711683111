/** Calls the home of an idempotency key: the holder of the key's job group, which is this instance or a peer. */
import {randomUUID} from "node:crypto"
import {create} from "@bufbuild/protobuf"
import {err, ok} from "neverthrow"
import {CallFailed} from "../core/errors.js"
import {hash32} from "../core/hash.js"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import type {GroupOwnerAddress} from "../controllers/placementclient.js"
import type {KeyHomes} from "../filters/idempotency.js"
import {callPeer} from "../peer/api.js"
import type {PeerNetwork} from "../peer/api.js"
import {BeginKeyRequestSchema, CompleteKeyRequestSchema, KeptAnswerSchema} from "../peer/generated/peer_pb.js"
import type {BeginKeyResponse} from "../peer/generated/peer_pb.js"
import type {KeptAnswer, KeyVerdict} from "../routing/keyregistry.js"

export interface KeyHomesPorts {
  readonly clock: Clock
  readonly network: PeerNetwork
  readonly holderOf: (group: string) => GroupOwnerAddress | undefined
  readonly jobGroups: () => number
}

/** Part of the deadline that is left for answering the caller. */
const RESPONSE_RESERVE_MS: Milliseconds = 300
const RETRY_INTERVAL_MS: Milliseconds = 150

function verdictFromMessage(reply: BeginKeyResponse): KeyVerdict | undefined {
  switch (reply.verdict) {
    case "answered": {
      const {status = 200, contentType = "", body = new Uint8Array()} = reply.answer ?? {}
      return {type: "answered", answer: {status, contentType, body: Buffer.from(body).toString("base64")}}
    }
    case "elsewhere":
      return undefined
    case "go":
    case "in-progress":
    case "unvouched":
    case "mismatch":
      return {type: reply.verdict}
    default:
      return {type: "unknown"}
  }
}

/** Creates the client with which one instance calls the homes of keys. */
export function createKeyHomes(ports: KeyHomesPorts): KeyHomes {
  const jobGroupOf = (key: string): string => `j/${hash32(key) % Math.max(1, ports.jobGroups())}`

  return {
    async begin(key, requestDigest, issuedAt, deadline) {
      const jobGroup = jobGroupOf(key)
      const request = create(BeginKeyRequestSchema, {
        jobGroup,
        key,
        requestDigest,
        issuedAt,
        deadline: Math.ceil(deadline),
        passage: randomUUID(),
      })
      const timeoutAt = ports.clock.now() + deadline - RESPONSE_RESERVE_MS
      do {
        const holder = ports.holderOf(jobGroup)
        if (holder) {
          const reply = await callPeer(ports.network, holder.instance, peer => peer.beginKey(request))
          const verdict = reply.isOk() ? verdictFromMessage(reply.value) : undefined
          if (verdict) return ok(verdict)
        }
        await sleep(ports.clock, RETRY_INTERVAL_MS)
      } while (ports.clock.now() < timeoutAt)
      return err(new CallFailed(jobGroup, "the home of the key does not answer", "not-run"))
    },
    complete(key, execution, answer: KeptAnswer | undefined) {
      const jobGroup = jobGroupOf(key)
      const holder = ports.holderOf(jobGroup)
      if (!holder) return
      const kept = answer && create(KeptAnswerSchema, {...answer, body: Buffer.from(answer.body, "base64")})
      const request = create(CompleteKeyRequestSchema, {jobGroup, key, execution, answer: kept})
      void callPeer(ports.network, holder.instance, peer => peer.completeKey(request))
    },
  }
}
