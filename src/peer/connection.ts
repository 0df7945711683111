/** Opens connections to peers: the Connect protocol over HTTP/2, with pings that detect dead connections. */
import {readFileSync} from "node:fs"
import type {Transport} from "@connectrpc/connect"
import {createConnectTransport, Http2SessionManager} from "@connectrpc/connect-node"
import type {Milliseconds} from "../core/clock.js"

/** Paths of the files for mutual TLS between peers: certificate, private key and certificate authority. */
export interface PeerTls {
  readonly certificate: string
  readonly key: string
  readonly authority: string
}

export interface PeerConnection {
  readonly transport: Transport
  readonly session: Http2SessionManager
}

const PING_INTERVAL_MS: Milliseconds = 1000
const PING_TIMEOUT_MS: Milliseconds = 1000
const IDLE_TIMEOUT_MS: Milliseconds = 60_000

function sessionOptions(tls: PeerTls | undefined): object {
  if (!tls) return {}
  return {
    cert: readFileSync(tls.certificate),
    key: readFileSync(tls.key),
    ca: readFileSync(tls.authority),
  }
}

/** Prepares a connection. The first call opens it. */
export function openPeerConnection(address: string, tls: PeerTls | undefined): PeerConnection {
  const baseUrl = `${tls ? "https" : "http"}://${address}`
  const timeouts = {
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
    idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
  }
  const session = new Http2SessionManager(baseUrl, timeouts, sessionOptions(tls))
  const transport = createConnectTransport({baseUrl, httpVersion: "2", sessionManager: session})
  return {transport, session}
}
