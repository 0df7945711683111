/**
 * Serves calls from peers with the Connect protocol over HTTP/2, in plain text or with mutual TLS, and counts
 * the bytes of this traffic.
 */
import {readFileSync} from "node:fs"
import {createSecureServer, createServer} from "node:http2"
import type {Http2SecureServer, Http2Server, ServerHttp2Session} from "node:http2"
import type {Socket} from "node:net"
import type {ConnectRouter} from "@connectrpc/connect"
import {connectNodeAdapter} from "@connectrpc/connect-node"
import {listen} from "../platform/listen.js"
import type {PeerTls} from "./connection.js"

export interface PeerServer {
  /** The address that the server listens on. */
  readonly address: string
  /** Total bytes received and sent on all connections. */
  readonly bytes: () => number
  readonly close: () => Promise<void>
}

/** Registers the services of a server. */
export type PeerRoutes = (router: ConnectRouter) => void

function createListener(routes: PeerRoutes, tls: PeerTls | undefined): Http2Server | Http2SecureServer {
  const handler = connectNodeAdapter({routes, acceptCompression: []})
  if (!tls) return createServer(handler)
  const files = {
    cert: readFileSync(tls.certificate),
    key: readFileSync(tls.key),
    ca: readFileSync(tls.authority),
  }
  return createSecureServer({...files, requestCert: true, rejectUnauthorized: true}, handler)
}

/** Starts a server on `host:port`. Port 0 selects a free port. */
export async function servePeers(
  routes: PeerRoutes,
  listenAddress: string,
  tls: PeerTls | undefined,
): Promise<PeerServer> {
  const server = createListener(routes, tls)
  const sockets = new Set<Socket>()
  const sessions = new Set<ServerHttp2Session>()
  let closedBytes = 0

  server.on("connection", (socket: Socket) => {
    sockets.add(socket)
    socket.on("error", () => socket.destroy())
    socket.on("close", () => {
      sockets.delete(socket)
      closedBytes += socket.bytesRead + socket.bytesWritten
    })
  })
  server.on("session", session => {
    sessions.add(session)
    session.on("error", () => session.destroy())
    session.on("close", () => sessions.delete(session))
  })

  function bytes(): number {
    let total = closedBytes
    for (const socket of sockets) total += socket.bytesRead + socket.bytesWritten
    return total
  }

  async function close(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      server.close(() => resolve())
    })
    for (const session of sessions) session.destroy()
    for (const socket of sockets) socket.destroy()
    await closed
  }

  const address = await listen(server, listenAddress)
  return {address, bytes, close}
}
