/** The guard of a server for clients, on connections of this process. */
import {readFileSync} from "node:fs"
import {createServer} from "node:https"
import {connect} from "node:net"
import type {AddressInfo, Socket} from "node:net"
import {join} from "node:path"
import test from "ava"
import {Agent, request} from "undici"
import {createClientGuard} from "../../src/callers/guard.js"
import {clientLimits} from "../../src/callers/limits.js"
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
