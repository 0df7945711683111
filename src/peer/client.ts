/** Clients of the peer service for calls between entry instances, with one connection per peer address. */
import {createClient} from "@connectrpc/connect"
import type {Milliseconds} from "../core/clock.js"
import type {PeerApi, PeerNetwork} from "./api.js"
import {openPeerConnection} from "./connection.js"
import type {PeerSession, PeerTls} from "./connection.js"
import {Peer} from "./generated/peer_pb.js"

export interface PeerClients extends PeerNetwork {
  readonly close: () => void
  /** Number of calls by method. The transport does not expose byte counts, so calls are counted instead. */
  readonly calls: () => ReadonlyMap<string, number>
}

const SHORT_CALL_MS: Milliseconds = 1000
const PLACE_CALL_MS: Milliseconds = 4000
const FORWARD_CALL_MS: Milliseconds = 5000

interface Connection {
  readonly api: PeerApi
  readonly session: PeerSession
}

/** Creates the clients. `addressOf` returns the current address of an instance. */
export function peerClients(
  addressOf: (instance: string) => string | undefined,
  tls: PeerTls | undefined,
): PeerClients {
  const connections = new Map<string, Connection>()
  const callCounts = new Map<string, number>()

  function openConnection(address: string): Connection {
    const {transport, session} = openPeerConnection(address, tls)
    const client = createClient(Peer, transport)
    const countedCall = <CallRequest, CallResponse>(
      name: string,
      timeoutMs: Milliseconds,
      call: (request: CallRequest, options: {timeoutMs: number}) => Promise<CallResponse>,
    ) => {
      return (request: CallRequest): Promise<CallResponse> => {
        callCounts.set(name, (callCounts.get(name) ?? 0) + 1)
        return call(request, {timeoutMs})
      }
    }
    const api: PeerApi = {
      gossip: countedCall("gossip", SHORT_CALL_MS, client.gossip),
      promise: countedCall("promise", SHORT_CALL_MS, client.promise),
      place: countedCall("place", PLACE_CALL_MS, client.place),
      abandon: countedCall("abandon", PLACE_CALL_MS, client.abandon),
      reportEnds: countedCall("report-ends", SHORT_CALL_MS, client.reportEnds),
      inventory: countedCall("inventory", SHORT_CALL_MS, client.inventory),
      lend: countedCall("lend", PLACE_CALL_MS, client.lend),
      holdings: countedCall("holdings", SHORT_CALL_MS, client.holdings),
      fetchDocument: countedCall("fetch-document", SHORT_CALL_MS, client.fetchDocument),
      forward: countedCall("forward", FORWARD_CALL_MS, client.forward),
      beginKey: countedCall("begin-key", SHORT_CALL_MS, client.beginKey),
      completeKey: countedCall("complete-key", SHORT_CALL_MS, client.completeKey),
      handOver: countedCall("hand-over", SHORT_CALL_MS, client.handOver),
    }
    return {api, session}
  }

  function reachAddress(address: string): PeerApi {
    const known = connections.get(address)
    if (known) return known.api
    const opened = openConnection(address)
    connections.set(address, opened)
    return opened.api
  }

  return {
    reachAddress,
    reach(instance) {
      const address = addressOf(instance)
      return address === undefined ? undefined : reachAddress(address)
    },
    calls: () => callCounts,
    close() {
      for (const connection of connections.values()) connection.session.abort()
      connections.clear()
    },
  }
}
