/**
 * The calls between entry instances, as an interface that the network client, the server and the fake in
 * tests all implement.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {CallFailed, describeError} from "../core/errors.js"
import type {
  AbandonRequest,
  AbandonResponse,
  BeginKeyRequest,
  BeginKeyResponse,
  CompleteKeyRequest,
  CompleteKeyResponse,
  FetchDocumentRequest,
  FetchDocumentResponse,
  ForwardRequest,
  ForwardResponse,
  GossipMessage,
  HandOverRequest,
  HandOverResponse,
  HoldingsRequest,
  HoldingsResponse,
  InventoryRequest,
  InventoryResponse,
  LendRequest,
  LendResponse,
  PlaceRequest,
  PlaceResponse,
  PromiseRequest,
  PromiseResponse,
  ReportEndsRequest,
  ReportEndsResponse,
} from "./generated/peer_pb.js"

/** Methods reject when the call fails; `callPeer` converts the rejection to a `Result`. */
export interface PeerApi {
  readonly gossip: (request: GossipMessage) => Promise<GossipMessage>
  readonly promise: (request: PromiseRequest) => Promise<PromiseResponse>
  readonly place: (request: PlaceRequest) => Promise<PlaceResponse>
  readonly abandon: (request: AbandonRequest) => Promise<AbandonResponse>
  readonly reportEnds: (request: ReportEndsRequest) => Promise<ReportEndsResponse>
  readonly inventory: (request: InventoryRequest) => Promise<InventoryResponse>
  readonly lend: (request: LendRequest) => Promise<LendResponse>
  readonly holdings: (request: HoldingsRequest) => Promise<HoldingsResponse>
  readonly fetchDocument: (request: FetchDocumentRequest) => Promise<FetchDocumentResponse>
  readonly forward: (request: ForwardRequest) => Promise<ForwardResponse>
  readonly beginKey: (request: BeginKeyRequest) => Promise<BeginKeyResponse>
  readonly completeKey: (request: CompleteKeyRequest) => Promise<CompleteKeyResponse>
  readonly handOver: (request: HandOverRequest) => Promise<HandOverResponse>
}

/** Finds a peer by its instance name or, if its name is not known yet, by its address. */
export interface PeerNetwork {
  readonly reach: (instance: string) => PeerApi | undefined
  readonly reachAddress: (address: string) => PeerApi
}

/** True when the peer's address refused the connection, so that the call cannot have reached the peer. */
function wasRefused(error: unknown): boolean {
  const cause = (error as {readonly cause?: unknown} | undefined)?.cause
  return (cause as {readonly code?: unknown} | undefined)?.code === "ECONNREFUSED"
}

/**
 * Calls a peer and returns a failure as a value. It is `not-run` if the call cannot have reached the peer.
 */
export async function callPeer<T>(
  network: PeerNetwork,
  instance: string,
  call: (peer: PeerApi) => Promise<T>,
): Promise<Result<T, CallFailed>> {
  const peer = network.reach(instance)
  if (!peer) return err(new CallFailed(instance, "its address is not known", "not-run"))
  try {
    return ok(await call(peer))
  } catch (error) {
    return err(new CallFailed(instance, describeError(error), wasRefused(error) ? "not-run" : "unknown"))
  }
}
