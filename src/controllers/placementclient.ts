/** The client with which a home calls the owners of worker groups. It converts between values and peer messages. */
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

/** The owner of a worker group, as last known here. */
export interface GroupOwnerAddress {
  readonly instance: string
  readonly epoch: number
}

/** Identifies the calling home, so that owners can refuse a home of an earlier epoch. */
export interface HomeIdentity {
  readonly jobGroup: string
  readonly epoch: number
}

/** `start` needs no reservation; `reserve` makes one, `commit` starts the reserved attempts, `release` drops it. */
export type PlaceMode = "start" | "reserve" | "commit" | "release"

export interface PlaceCall {
  readonly group: string
  readonly owner: GroupOwnerAddress
  readonly mode: PlaceMode
  readonly attempts: readonly Attempt[]
  /** How long the owner may hold the attempts until there is free capacity. */
  readonly wait: Milliseconds
  /** Lower ranks go first. */
  readonly rank: number
  /** How long the attempts have waited at the home. */
  readonly waited: Milliseconds
  /** Name of the reservation; empty for mode `start`. */
  readonly reservation: string
}

/** An owner's answer for one attempt. */
export interface AttemptPlacement {
  readonly attempt: string
  readonly result: string
  readonly worker: string
  readonly reason: string
}

export interface PlaceReply {
  readonly placements: readonly AttemptPlacement[]
  readonly free: FreeCapacity | undefined
  readonly refusal: string
}

export interface InventoryReply {
  readonly refusal: string
  /** False while the owner may not know all attempts that run in its group. */
  readonly complete: boolean
  readonly running: readonly {readonly attempt: Attempt; readonly worker: string}[]
  readonly ended: readonly AttemptEnd[]
}

export interface AbandonReply {
  readonly refusal: string
  /** What the owner knows about each attempt, by name of the attempt. */
  readonly fates: ReadonlyMap<string, string>
}

export interface PlacementClient {
  readonly place: (call: PlaceCall) => Promise<Result<PlaceReply, CallFailed>>
  /** Has attempts stopped, with a checkpoint if asked for, and prevents that unknown ones start later. */
  readonly abandon: (
    group: string,
    owner: GroupOwnerAddress,
    attempts: readonly string[],
    checkpoint: boolean,
  ) => Promise<Result<AbandonReply, CallFailed>>
  /** Lists the attempts of the job group that run in the worker group, and ends not acknowledged yet. */
  readonly inventory: (group: string, owner: GroupOwnerAddress) => Promise<Result<InventoryReply, CallFailed>>
}

/** Creates the client of one home. `mayAct` is checked immediately before each call that may start an attempt. */
export function createPlacementClient(
  home: HomeIdentity,
  network: PeerNetwork,
  mayAct: () => boolean,
): PlacementClient {
  const identity = {jobGroup: home.jobGroup, homeEpoch: home.epoch}

  return {
    async place(call) {
      const {group, owner, mode, wait, rank, reservation} = call
      const waited = Math.round(call.waited)
      if (!mayAct())
        return err(new CallFailed(owner.instance, "this instance may not act at the moment", "not-run"))
      const attempts = call.attempts.map(attemptToMessage)
      const fields = {
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
      const request = create(PlaceRequestSchema, fields)
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
      const fields = {...identity, group, ownerEpoch: owner.epoch, attempts: [...attempts], checkpoint}
      const request = create(AbandonRequestSchema, fields)
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
          return err(
            new CallFailed(
              owner.instance,
              "malformed inventory: the lists of attempts and workers differ in length",
              "unknown",
            ),
          )
        const pairs = running.map((attempt, index) => ({
          attempt: attemptFromMessage(attempt),
          worker: runningWorkers[index] ?? "",
        }))
        return ok({refusal, complete, running: pairs, ended: ended.map(endFromMessage)})
      })
    },
  }
}
