/** The guard of a server for clients, on connections of this process. */
import {readFileSync} from "node:fs"
import {createServer as createPlainServer} from "node:http"
import type {RequestListener} from "node:http"
import {createServer} from "node:https"
import {connect} from "node:net"
import type {AddressInfo, Socket} from "node:net"
import {join} from "node:path"
import {Readable} from "node:stream"
import test from "ava"
import type {ExecutionContext} from "ava"
import {Agent, request} from "undici"
import {createClientGuard} from "../../src/callers/guard.js"
import type {ClientGuard} from "../../src/callers/guard.js"
import {clientLimits} from "../../src/callers/limits.js"
import type {ClientLimits} from "../../src/callers/limits.js"
import {systemClock} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"

const CERTIFICATES = join("test", "support", "certificates")
/** A machine on which no more than 16 connections fit. */
const TINY = {memoryMebibytes: 1, descriptors: 100}

test("connections count under the limit while their TLS handshake lasts", async t => {
  const limits = clientLimits(TINY)
  const guard = createClientGuard(limits, systemClock(), SILENT_LOGGER)
  const files = {
    cert: readFileSync(join(CERTIFICATES, "instance.pem")),
    key: readFileSync(join(CERTIFICATES, "instance.key")),
  }
  const server = createServer(
    {...guard.options, ...files},
    guard.listener((_incoming, outgoing) => outgoing.end("served")),
  )
  guard.attach(server, "tls")
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
  const {port} = server.address() as AddressInfo
  let closed = 0
  const silent = Array.from({length: 3 * limits.connections}, (): Socket => {
    const socket = connect(port, "127.0.0.1")
    socket.on("error", () => undefined)
    socket.on("close", () => (closed += 1))
    t.teardown(() => socket.destroy())
    return socket
  })
  while (closed < silent.length - limits.connections) await new Promise(setImmediate)
  t.is(guard.counts().client_connections, limits.connections)

  const agent = new Agent({connect: {rejectUnauthorized: false}})
  const reply = await request(`https://127.0.0.1:${port}/`, {dispatcher: agent})
  t.is(await reply.body.text(), "served")
  t.is(guard.counts().client_connections, limits.connections)
  for (const socket of silent) socket.destroy()
  await agent.destroy()
  while ((guard.counts().client_connections ?? 0) > 0) await new Promise(setImmediate)
  t.is(guard.openRequests(), 0)
})

interface Guarded {
  readonly guard: ClientGuard
  readonly port: number
}

async function serve(
  t: ExecutionContext,
  limits: ClientLimits,
  handlerFor: (guard: ClientGuard) => RequestListener,
): Promise<Guarded> {
  const guard = createClientGuard(limits, systemClock(), SILENT_LOGGER)
  const server = createPlainServer(guard.options, guard.listener(handlerFor(guard)))
  guard.attach(server)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
  return {guard, port: (server.address() as AddressInfo).port}
}

/** Sends the text and resolves with everything received until the connection is closed. */
function exchange(port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let received = ""
    const socket = connect(port, "127.0.0.1")
    socket.on("data", chunk => (received += chunk.toString()))
    socket.on("error", () => undefined)
    socket.on("close", () => resolve(received))
    socket.write(text)
  })
}

function requestWith(headers: string): string {
  return `GET / HTTP/1.1\r\nHost: a\r\n${headers}\r\n`
}

test("a head has a limit of lines, and those that wait have one of bytes together", async t => {
  const limits = clientLimits({memoryMebibytes: 210, descriptors: 2212})
  const {guard, port} = await serve(t, limits, () => (_incoming, outgoing) => void outgoing.end("served"))
  const lines = (count: number): string =>
    Array.from({length: count}, (_, index) => `h${index}:\r\n`).join("")
  const closing = "Connection: close\r\n"
  t.regex(await exchange(port, requestWith(lines(limits.headLines) + closing)), /^HTTP\/1.1 431 /)
  t.regex(await exchange(port, requestWith(lines(limits.headLines - 10) + closing)), /^HTTP\/1.1 200 /)
  t.is(guard.counts().refused_requests_ahead, undefined)

  const long = requestWith(`X-Long: ${"x".repeat(3000)}\r\n`)
  const several = await exchange(port, long.repeat(5) + requestWith(closing))
  t.is(several.split("HTTP/1.1 200").length - 1, 6)
  t.is(guard.counts().refused_requests_ahead, undefined)
  await exchange(port, long.repeat(8) + requestWith(closing))
  t.is(guard.counts().refused_requests_ahead, 1)
})

function* pieces(): Generator<Buffer> {
  for (let index = 0; index < 1000; index += 1) yield Buffer.alloc(2 ** 16)
}

test("a client that reads its answer at less than the pace is closed, though it reads all the time", async t => {
  const limits = {
    ...clientLimits({memoryMebibytes: 210, descriptors: 2212}),
    unreadTime: 1500,
    unreadBytes: 8 * 2 ** 20,
  }
  const {guard, port} = await serve(
    t,
    limits,
    () => (_incoming, outgoing) => void Readable.from(pieces()).pipe(outgoing),
  )
  const socket = connect(port, "127.0.0.1")
  socket.on("error", () => undefined)
  socket.pause()
  // Enough that the kernel tells the server of it.
  const reading = setInterval(() => void socket.read(), 25)
  t.teardown(() => {
    clearInterval(reading)
    socket.destroy()
  })
  socket.write(requestWith(""))
  while (guard.counts().refused_unread_answer === undefined)
    await new Promise(resolve => setTimeout(resolve, 50))
  t.is(guard.counts().client_connections, 0)
})

test("what becomes of a body counts until it is released", async t => {
  const limits = clientLimits({memoryMebibytes: 1, descriptors: 2212})
  const most = limits.bodyBytes - 8192
  const held: boolean[] = []
  const {guard, port} = await serve(t, limits, ({bodies}) => (incoming, outgoing) => {
    void bodies.read(incoming, 1000).then(outcome => {
      if (outcome.type === "read") {
        const isFirst = held.length === 0
        held.push(outcome.hold(isFirst ? most : 2 * 8192))
        if (!isFirst) outcome.release()
      }
      outgoing.end()
    })
  })
  const text = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
  await exchange(port, text)
  await exchange(port, text)
  t.deepEqual(held, [true, false])
  t.is(guard.counts().body_bytes, most)
  t.is(guard.counts().refused_no_room, 1)
})
