/** How a home reaches the owners of worker groups: finds the current owner and turns replies into values. */
import {create} from "@bufbuild/protobuf"
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {CallFailed} from "../core/errors.js"
import type {Milliseconds} from "../core/clock.js"
import type {Attempt, AttemptEnd} from "../jobs/attempt.js"
import type {FreeCapacity} from "../membership/table.js"
import {callPeer} from "../peer/api.js"
import type {PeerNetwork} from "../peer/api.js"
import {
  attemptFromMessage,
  attemptToMessage,
  endFromMessage,
  freeCapacityFromMessage,
} from "../peer/convert.js"
import {AbandonRequestSchema, InventoryRequestSchema, PlaceRequestSchema} from "../peer/generated/peer_pb.js"

/** The owner of a worker group, as last heard. */
export interface GroupOwnerAddress {
  readonly instance: string
  readonly epoch: number
}

export interface HomeIdentity {
  readonly jobGroup: string
  readonly epoch: number
}

export type PlaceMode = "start" | "reserve" | "commit" | "release"

export interface PlaceCall {
  readonly group: string
  readonly owner: GroupOwnerAddress
  readonly mode: PlaceMode
  readonly attempts: readonly Attempt[]
  readonly wait: Milliseconds
  readonly rank: number
  /** How long the attempts have waited at the home. */
  readonly waited: Milliseconds
  readonly reservation: string
}

export interface PlacedAttempt {
  readonly attempt: string
  readonly result: string
  readonly worker: string
  readonly reason: string
}

export interface PlaceReply {
  readonly placements: readonly PlacedAttempt[]
  readonly free: FreeCapacity | undefined
  readonly refusal: string
}

export interface InventoryReply {
  readonly refusal: string
  readonly complete: boolean
  readonly running: readonly {readonly attempt: Attempt; readonly worker: string}[]
  readonly ended: readonly AttemptEnd[]
}

export interface FateReply {
  readonly refusal: string
  readonly fates: ReadonlyMap<string, string>
}

export interface PlacementClient {
  readonly place: (call: PlaceCall) => Promise<Result<PlaceReply, CallFailed>>
  readonly abandon: (
    group: string,
    owner: GroupOwnerAddress,
    attempts: readonly string[],
    checkpoint: boolean,
  ) => Promise<Result<FateReply, CallFailed>>
  readonly inventory: (group: string, owner: GroupOwnerAddress) => Promise<Result<InventoryReply, CallFailed>>
}

/** Creates the client of one home. `mayAct` is asked next to each call that can start something. */
export function placementClient(
  home: HomeIdentity,
  network: PeerNetwork,
  mayAct: () => boolean,
): PlacementClient {
  const identity = {jobGroup: home.jobGroup, homeEpoch: home.epoch}

  return {
    async place(call) {
      const {group, owner, mode, wait, rank, reservation} = call
      const waited = Math.round(call.waited)
      if (!mayAct()) return err(new CallFailed(owner.instance, "this instance may not act now", "not-run"))
      const attempts = call.attempts.map(attemptToMessage)
      const order = {
        ...identity,
        group,
        ownerEpoch: owner.epoch,
        mode,
        wait,
        rank,
        waited,
        reservation,
        attempts,
      }
      const request = create(PlaceRequestSchema, order)
      const reply = await callPeer(network, owner.instance, peer => peer.place(request))
      return reply.map(({placements, free, refusal}) => ({
        placements: placements.map(({attempt, result, worker, reason}) => ({
          attempt,
          result,
          worker,
          reason,
        })),
        free: free && freeCapacityFromMessage(free),
        refusal,
      }))
    },
    async abandon(group, owner, attempts, checkpoint) {
      const order = {...identity, group, ownerEpoch: owner.epoch, attempts: [...attempts], checkpoint}
      const request = create(AbandonRequestSchema, order)
      const reply = await callPeer(network, owner.instance, peer => peer.abandon(request))
      return reply.map(({fates, refusal}) => ({
        refusal,
        fates: new Map(fates.map(entry => [entry.attempt, entry.fate])),
      }))
    },
    async inventory(group, owner) {
      const request = create(InventoryRequestSchema, {...identity, group, ownerEpoch: owner.epoch})
      const reply = await callPeer(network, owner.instance, peer => peer.inventory(request))
      return reply.andThen(({refusal, complete, running, runningWorkers, ended}) => {
        if (running.length !== runningWorkers.length)
          return err(new CallFailed(owner.instance, "a malformed inventory", "unknown"))
        const pairs = running.map((attempt, index) => ({
          attempt: attemptFromMessage(attempt),
          worker: runningWorkers[index] ?? "",
        }))
        return ok({refusal, complete, running: pairs, ended: ended.map(endFromMessage)})
      })
    },
  }
}
