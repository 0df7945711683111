/**
 * Keeps the connections of clients within the limits of an instance: their number, the requests that they send ahead,
 * and answers that they do not read. Requests of one connection are handled one after another, so that a client which
 * reads no answer causes no further work.
 */
import type {IncomingMessage, RequestListener, Server, ServerOptions, ServerResponse} from "node:http"
import type {Socket} from "node:net"
import type {TlsOptions, TLSSocket} from "node:tls"
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Logger} from "../core/logger.js"
import {createBodyBudget} from "./bodybudget.js"
import {createBodyReader} from "./bodyreader.js"
import type {BodyReader} from "./bodyreader.js"
import {chooseConnectionToClose} from "./crowding.js"
import type {ClientLimits} from "./limits.js"
import {REQUEST_UNITS, TURN_UNITS, unitsOfPiece} from "./readingorder.js"
import {createReadingTurns} from "./turns.js"

/** Why a client was refused or its connection closed. */
export type RefusalReason =
  "connections" | "requests-ahead" | "unread-answer" | "too-large" | "no-room" | "too-slow"

export interface ClientGuard {
  /** Options for the server that is to be guarded, by TLS or without. */
  readonly options: ServerOptions & Pick<TlsOptions, "handshakeTimeout">
  /** Wraps the handler of the server's requests. */
  readonly listener: (handler: RequestListener) => RequestListener
  /** Watches the connections of the server. */
  readonly attach: (server: Server, security?: "plain" | "tls") => void
  readonly bodies: BodyReader
  /** Drops the body of a request that is not read. */
  readonly discard: (request: IncomingMessage) => void
  /** Number of requests that were read and have not been answered. */
  readonly openRequests: () => number
  /** Gauges and counters for the metrics. */
  readonly counts: () => Readonly<Record<string, number>>
}

interface Waiting {
  readonly request: IncomingMessage
  readonly response: ServerResponse
}

interface Connection {
  readonly socket: Socket
  waitingSince: Milliseconds | undefined
  answered: boolean
  /** A request is being received, handled or answered. */
  busy: boolean
  /** Requests that were sent ahead. */
  readonly queue: Waiting[]
  /** Bytes of answers that the client had taken when it was last seen to read fast enough, and when that was. */
  taken: number
  takenAt: Milliseconds
}

/** What a text takes beside its characters. */
const TEXT_BYTES = 24
const CHECK_INTERVAL_MS: Milliseconds = 1000
const TIMEOUT_CHECK_INTERVAL_MS: Milliseconds = 5000
const BAD_REQUEST = 400
const HEAD_TOO_LARGE = 431
const EXPECTATION_FAILED = 417

function clientOf({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress} ${remotePort}`
}

function hasBody({headers}: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0
}

/** What the head of a request takes while the request waits. */
function headBytesOf({url = "", rawHeaders}: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length + rawHeaders.length * TEXT_BYTES)
}

function answerEmpty(response: ServerResponse, status: number): void {
  response.writeHead(status, {Connection: "close", "Content-Length": 0})
  response.end()
}

export function createClientGuard(
  limits: ClientLimits,
  clock: Pick<Clock, "now" | "after">,
  log: Logger,
): ClientGuard {
  const connections = new Map<Socket, Connection>()
  /** Connections whose TLS handshake has not ended, by the client's address and port. */
  const handshakes = new Map<string, Socket>()
  const refusals = new Map<RefusalReason, number>()
  const unreported = new Map<RefusalReason, number>()
  const budget = createBodyBudget(limits.bodyBytes)
  let openRequests = 0
  /** Crowded turns that the log has told of. */
  let reportedTurns = 0

  function count(reason: RefusalReason): void {
    refusals.set(reason, (refusals.get(reason) ?? 0) + 1)
    unreported.set(reason, (unreported.get(reason) ?? 0) + 1)
  }

  const turns = createReadingTurns()
  const bodies = createBodyReader(clock, budget, count, turns)

  /** Drops what comes of a body that nobody reads, which would wait in pieces, each of which costs more than its bytes. */
  function discard(request: IncomingMessage): void {
    if (request.listenerCount("data") > 0) return
    request.on("data", (chunk: Buffer) => turns.charge(request.socket, unitsOfPiece(chunk.length)))
  }

  function close(connection: Connection, reason: RefusalReason): void {
    count(reason)
    connection.socket.destroy()
    forget(connection)
  }

  function forget(connection: Connection): void {
    if (!connections.delete(connection.socket)) return
    openRequests -= connection.queue.length + (connection.busy ? 1 : 0)
    connection.queue.length = 0
  }

  function keep(socket: Socket): void {
    const now = clock.now()
    const connection: Connection = {
      socket,
      waitingSince: now,
      answered: false,
      busy: false,
      queue: [],
      taken: 0,
      takenAt: now,
    }
    connections.set(socket, connection)
    socket.once("close", () => forget(connection))
  }

  /** Takes a new connection, if need be in the place of another one. Returns false if it is closed instead. */
  function accept(socket: Socket): boolean {
    if (connections.size >= limits.connections) {
      const victim = chooseConnectionToClose(connections.values())
      if (!victim) {
        count("connections")
        socket.destroy()
        return false
      }
      close(victim, "connections")
    }
    keep(socket)
    return true
  }

  function accepted(socket: Socket): void {
    if (accept(socket)) turns.add(socket)
  }

  /** A connection counts from its beginning: the handshake may never end. */
  function acceptHandshake(socket: Socket): void {
    if (!accept(socket)) return
    const client = clientOf(socket)
    handshakes.set(client, socket)
    socket.once("close", () => {
      if (handshakes.get(client) === socket) handshakes.delete(client)
    })
  }

  function endHandshake(secured: TLSSocket): void {
    const client = clientOf(secured)
    const socket = handshakes.get(client)
    const connection = socket && connections.get(socket)
    handshakes.delete(client)
    if (!connection) {
      secured.destroy()
      return
    }
    connections.delete(connection.socket)
    keep(secured)
    turns.add(secured)
  }

  function begin(connection: Connection, {request, response}: Waiting, handler: RequestListener): void {
    connection.busy = true
    connection.waitingSince = request.complete || !hasBody(request) ? undefined : clock.now()
    request.once("end", () => (connection.waitingSince = undefined))
    response.once("prefinish", () => {
      connection.waitingSince = clock.now()
      if (!request.complete) discard(request)
    })
    response.once("close", () => {
      if (!connections.has(connection.socket)) return
      connection.busy = false
      connection.answered ||= response.writableFinished
      if (response.writableFinished) turns.answered(connection.socket)
      connection.waitingSince = clock.now()
      openRequests -= 1
      const next = connection.queue.shift()
      if (next) begin(connection, next, handler)
    })
    // Node drops the lines beyond its limit, which may be those that tell of a body.
    if (request.rawHeaders.length >= 2 * limits.headLines) answerEmpty(response, HEAD_TOO_LARGE)
    else if (request.headers.host === undefined && request.httpVersion === "1.1")
      answerEmpty(response, BAD_REQUEST)
    else handler(request, response)
  }

  /** Whether the request may wait until those before it on its connection are answered. */
  function mayWait({queue}: Connection, request: IncomingMessage): boolean {
    if (hasBody(request) || queue.length >= limits.requestsAhead) return false
    const bytes = queue.reduce((sum, waiting) => sum + headBytesOf(waiting.request), headBytesOf(request))
    return bytes <= limits.headBytes
  }

  function take(handler: RequestListener, request: IncomingMessage, response: ServerResponse): void {
    const connection = connections.get(request.socket)
    // The parser goes on to the end of what it has read, also after the connection is closed.
    if (!connection || request.socket.destroyed) return
    turns.charge(request.socket, REQUEST_UNITS)
    if (connection.busy && !mayWait(connection, request)) {
      close(connection, "requests-ahead")
      // The requests stay in memory until their connection is closed, so no other is read before that.
      turns.charge(request.socket, TURN_UNITS)
      return
    }
    openRequests += 1
    if (connection.busy) connection.queue.push({request, response})
    else begin(connection, {request, response}, handler)
  }

  /** Closes connections whose client does not read, and reports what the limits have done. */
  function check(): void {
    const now = clock.now()
    for (const connection of [...connections.values()]) {
      const {socket} = connection
      const taken = socket.bytesWritten - socket.writableLength
      if (socket.writableLength === 0 || taken - connection.taken >= limits.unreadBytes) {
        connection.taken = taken
        connection.takenAt = now
      } else if (now - connection.takenAt >= limits.unreadTime) close(connection, "unread-answer")
    }
    const seen = {connections: connections.size, bodyBytes: budget.used(), openRequests}
    const crowdedTurns = turns.crowdedTurns()
    if (crowdedTurns > reportedTurns) {
      log.info(
        {event: "clients-held", turns: crowdedTurns - reportedTurns, ...seen},
        "clients sent more than is read in one turn of the event loop",
      )
      reportedTurns = crowdedTurns
    }
    if (unreported.size === 0) return
    log.warn(
      {event: "clients-refused", ...Object.fromEntries(unreported), ...seen},
      "clients outside the limits were refused",
    )
    unreported.clear()
  }

  return {
    options: {
      maxHeaderSize: limits.headBytes,
      headersTimeout: limits.headTime,
      requestTimeout: limits.requestTime,
      handshakeTimeout: limits.headTime,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      // Requests without the header have to count like others. They are answered with 400 here.
      requireHostHeader: false,
    },
    listener: handler => (request, response) => take(handler, request, response),
    attach(server, security = "plain") {
      if (security === "plain") server.on("connection", accepted)
      else server.on("connection", acceptHandshake).on("secureConnection", endHandshake)
      server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) =>
        take((_request, refused) => answerEmpty(refused, EXPECTATION_FAILED), request, response),
      )
      const timer = setInterval(check, CHECK_INTERVAL_MS)
      timer.unref()
      server.once("close", () => clearInterval(timer))
      server.maxHeadersCount = limits.headLines
    },
    bodies,
    discard,
    openRequests: () => openRequests,
    counts: () => ({
      client_connections: connections.size,
      body_bytes: budget.used(),
      crowded_turns: turns.crowdedTurns(),
      ...Object.fromEntries(
        [...refusals].map(([reason, total]) => [`refused_${reason.replaceAll("-", "_")}`, total]),
      ),
    }),
  }
}
