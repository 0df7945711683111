/**
 * Opens connections to peers: the Connect protocol over HTTP/2, with pings that detect dead connections and a timeout
 * for attempts to connect.
 */
import {readFileSync} from "node:fs"
import type {Http2Session} from "node:http2"
import {connect as connectTcp, isIP} from "node:net"
import type {Socket} from "node:net"
import {connect as connectTls} from "node:tls"
import type {ConnectionOptions} from "node:tls"
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
  readonly session: PeerSession
}

/** The HTTP/2 session of a connection, which is opened again after a failure. */
export type PeerSession = Pick<
  Http2SessionManager,
  "authority" | "request" | "notifyResponseByteRead" | "abort"
>

const PING_INTERVAL_MS: Milliseconds = 1000
const PING_TIMEOUT_MS: Milliseconds = 1000
const IDLE_TIMEOUT_MS: Milliseconds = 60_000
/**
 * A machine without power refuses no connection, and TCP goes on trying for minutes at growing intervals. All calls to
 * the address wait for one attempt, so an attempt must end soon, but not before the first repetition after 1 s.
 */
const CONNECT_TIMEOUT_MS: Milliseconds = 1250

type TlsOptions = Pick<ConnectionOptions, "cert" | "key" | "ca">

function tlsOptions(tls: PeerTls): TlsOptions {
  return {
    cert: readFileSync(tls.certificate),
    key: readFileSync(tls.key),
    ca: readFileSync(tls.authority),
  }
}

/** Destroys the socket unless it emits the event before the timeout. */
function limitConnecting(socket: Socket, event: "connect" | "secureConnect"): void {
  let isConnected = false
  const fail = (): void => {
    if (!isConnected)
      socket.destroy(Object.assign(new Error("no connection before the timeout"), {code: "ETIMEDOUT"}))
  }
  // The extra turn of the event loop lets a process that was busy see a connection that was established meanwhile.
  const timer = setTimeout(() => setImmediate(fail), CONNECT_TIMEOUT_MS)
  socket.once(event, () => {
    isConnected = true
    clearTimeout(timer)
  })
  socket.once("close", () => clearTimeout(timer))
}

function openSocket(host: string, port: number, tls: TlsOptions | undefined): Socket {
  if (!tls) {
    const socket = connectTcp({host, port})
    limitConnecting(socket, "connect")
    return socket
  }
  const servername = isIP(host) === 0 ? host : ""
  const socket = connectTls({...tls, host, port, servername, ALPNProtocols: ["h2"]})
  limitConnecting(socket, "secureConnect")
  return socket
}

/**
 * Wraps the session manager of the library. When a ping times out, it destroys the session, whose error event follows
 * when the socket has closed. A call in between makes it open another session and remove its listener from this one,
 * and the event would become an uncaught exception.
 */
function peerSession(manager: Http2SessionManager): PeerSession {
  const guarded = new WeakSet<Http2Session>()

  function ignoreErrors(session: Http2Session | undefined): void {
    if (!session || guarded.has(session)) return
    guarded.add(session)
    session.on("error", () => undefined)
  }

  return {
    authority: manager.authority,
    async request(method, path, headers, options) {
      const stream = await manager.request(method, path, headers, options)
      ignoreErrors(stream.session)
      return stream
    },
    notifyResponseByteRead: stream => manager.notifyResponseByteRead(stream),
    abort: () => manager.abort(),
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
  const separator = address.lastIndexOf(":")
  const host = address.slice(0, separator)
  const port = Number(address.slice(separator + 1))
  const tlsFiles = tls && tlsOptions(tls)
  const manager = new Http2SessionManager(baseUrl, timeouts, {
    createConnection: () => openSocket(host, port, tlsFiles),
  })
  const session = peerSession(manager)
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "2",
    sessionManager: session,
    // Answers are short, and compressing those of many followers would be a large share of a leader's work.
    acceptCompression: [],
  })
  return {transport, session}
}
