/** Clients of the peer service, one connection for each peer. */
import {createClient} from "@connectrpc/connect"
import type {Http2SessionManager} from "@connectrpc/connect-node"
import type {Milliseconds} from "../core/clock.js"
import type {PeerApi, PeerNetwork} from "./api.js"
import {openPeerConnection} from "./connection.js"
import type {PeerTls} from "./connection.js"
import {Peer} from "./generated/peer_pb.js"

export interface PeerClients extends PeerNetwork {
  readonly close: () => void
  /** Bytes are not visible through the transport; calls are counted by kind. */
  readonly calls: () => ReadonlyMap<string, number>
}

const SHORT_CALL_MS: Milliseconds = 1000
const PLACE_CALL_MS: Milliseconds = 4000
const FORWARD_CALL_MS: Milliseconds = 5000

interface Connection {
  readonly api: PeerApi
  readonly session: Http2SessionManager
}

/** Creates clients for peers. `addressOf` gives the current address of an instance. */
export function peerClients(
  addressOf: (instance: string) => string | undefined,
  tls: PeerTls | undefined,
): PeerClients {
  const connections = new Map<string, Connection>()
  const counts = new Map<string, number>()

  function open(address: string): Connection {
    const {transport, session} = openPeerConnection(address, tls)
    const client = createClient(Peer, transport)
    const counted = <Q, R>(
      name: string,
      timeoutMs: Milliseconds,
      call: (request: Q, options: {timeoutMs: number}) => Promise<R>,
    ) => {
      return (request: Q): Promise<R> => {
        counts.set(name, (counts.get(name) ?? 0) + 1)
        return call(request, {timeoutMs})
      }
    }
    const api: PeerApi = {
      gossip: counted("gossip", SHORT_CALL_MS, client.gossip),
      promise: counted("promise", SHORT_CALL_MS, client.promise),
      place: counted("place", PLACE_CALL_MS, client.place),
      abandon: counted("abandon", PLACE_CALL_MS, client.abandon),
      reportEnds: counted("report-ends", SHORT_CALL_MS, client.reportEnds),
      inventory: counted("inventory", SHORT_CALL_MS, client.inventory),
      lend: counted("lend", PLACE_CALL_MS, client.lend),
      holdings: counted("holdings", SHORT_CALL_MS, client.holdings),
      fetchDocument: counted("fetch-document", SHORT_CALL_MS, client.fetchDocument),
      forward: counted("forward", FORWARD_CALL_MS, client.forward),
      beginKey: counted("begin-key", SHORT_CALL_MS, client.beginKey),
      completeKey: counted("complete-key", SHORT_CALL_MS, client.completeKey),
      handOver: counted("hand-over", SHORT_CALL_MS, client.handOver),
    }
    return {api, session}
  }

  function reachAddress(address: string): PeerApi {
    const known = connections.get(address)
    if (known) return known.api
    const fresh = open(address)
    connections.set(address, fresh)
    return fresh.api
  }

  return {
    reachAddress,
    reach(instance) {
      const address = addressOf(instance)
      return address === undefined ? undefined : reachAddress(address)
    },
    calls: () => counts,
    close() {
      for (const connection of connections.values()) connection.session.abort()
      connections.clear()
    },
  }
}
