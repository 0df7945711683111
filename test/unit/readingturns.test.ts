/** What an instance takes from its clients in one turn of the event loop, on real connections but without a clock. */
import {createServer} from "node:http"
import type {RequestListener} from "node:http"
import type {AddressInfo} from "node:net"
import {connect} from "node:net"
import type {Socket} from "node:net"
import test from "ava"
import type {ExecutionContext} from "ava"
import {createClientGuard} from "../../src/callers/guard.js"
import type {ClientGuard} from "../../src/callers/guard.js"
import {clientLimits} from "../../src/callers/limits.js"
import {chooseToRead, REQUEST_UNITS, TURN_UNITS} from "../../src/callers/readingorder.js"
import {systemClock} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"

const MACHINE = {memoryMebibytes: 600, descriptors: 3000}
const BODY_LIMIT = 262_144
const CLIENTS = 24
const PIECES = 40_000
const CHUNK = "1\r\nx\r\n"
const CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
/** The most that Node reads from a connection at once. */
const READ_BYTES = 65_536
const MOST_PIECES = TURN_UNITS + Math.ceil(READ_BYTES / CHUNK.length)

interface Served {
  readonly guard: ClientGuard
  readonly connectClient: (text: string) => Socket
}

function serve(t: ExecutionContext, handlerFor: (guard: ClientGuard) => RequestListener): Promise<Served> {
  const guard = createClientGuard(clientLimits(MACHINE), systemClock(), SILENT_LOGGER)
  const server = createServer(guard.options, guard.listener(handlerFor(guard)))
  guard.attach(server)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return new Promise(resolve =>
    server.listen(0, "127.0.0.1", () => {
      const {port} = server.address() as AddressInfo
      resolve({
        guard,
        connectClient(text) {
          const socket = connect(port, "127.0.0.1")
          socket.on("error", () => undefined)
          socket.write(text)
          t.teardown(() => socket.destroy())
          return socket
        },
      })
    }),
  )
}

/** Calls back at the end of each turn of the event loop. */
function atEachTurn(t: ExecutionContext, callback: () => void): void {
  let done = false
  t.teardown(() => (done = true))
  const next = (): void => {
    callback()
    if (!done) setImmediate(next)
  }
  setImmediate(next)
}

test("chunks of one byte from a crowd take no more of a turn than one read beside its units", async t => {
  let inTurn = 0
  let most = 0
  let complete = 0
  const {connectClient} = await serve(t, guard => (request, response) => {
    request.on("data", () => (inTurn += 1))
    void guard.bodies.read(request, BODY_LIMIT).then(outcome => {
      if (outcome.type === "read" && outcome.body.length === PIECES) complete += 1
      response.end()
    })
  })
  atEachTurn(t, () => {
    most = Math.max(most, inTurn)
    inTurn = 0
  })
  const text = `${CHUNKED_HEAD}${CHUNK.repeat(PIECES)}0\r\n\r\n`
  const crowd = Array.from({length: CLIENTS}, () => connectClient(text))
  await Promise.all(crowd.map(socket => new Promise(resolve => socket.once("data", resolve))))
  t.is(complete, CLIENTS)
  t.true(most <= MOST_PIECES, `${most} of ${MOST_PIECES}`)
})

test("bodies that nobody reads count as well", async t => {
  let inTurn = 0
  let most = 0
  const {guard, connectClient} = await serve(t, ({discard}) => (request, response) => {
    discard(request)
    request.on("data", () => (inTurn += 1))
    request.on("end", () => response.end())
  })
  atEachTurn(t, () => {
    most = Math.max(most, inTurn)
    inTurn = 0
  })
  const text = `${CHUNKED_HEAD.replace("POST", "GET")}${CHUNK.repeat(PIECES)}0\r\n\r\n`
  const crowd = Array.from({length: CLIENTS}, () => connectClient(text))
  await Promise.all(crowd.map(socket => new Promise(resolve => socket.once("data", resolve))))
  t.true(most <= MOST_PIECES, `${most} of ${MOST_PIECES}`)
  t.true((guard.counts().crowded_turns ?? 0) > 0)
})

test("requests sent ahead take no more of a turn than one read beside its units", async t => {
  let inTurn = 0
  let most = 0
  const {connectClient} = await serve(t, () => (request, response) => {
    inTurn += 1
    response.end(request.url)
  })
  atEachTurn(t, () => {
    most = Math.max(most, inTurn)
    inTurn = 0
  })
  const ahead = "GET / HTTP/1.1\r\nHost:a\r\n\r\n".repeat(17)
  const crowd = Array.from({length: 200}, () => connectClient(ahead))
  await Promise.all(
    crowd.map(
      socket =>
        new Promise<void>(resolve => {
          let answers = 0
          socket.on("data", chunk => {
            answers += chunk.toString().split("HTTP/1.1 200").length - 1
            if (answers === 17) resolve()
          })
        }),
    ),
  )
  const bound = TURN_UNITS / REQUEST_UNITS + 17
  t.true(most <= bound, `${most} of ${bound}`)
})

test("an ordinary request passes a crowd that connected before it", async t => {
  let pieces = 0
  const {connectClient} = await serve(t, guard => (request, response) => {
    request.on("data", () => (pieces += 1))
    void guard.bodies.read(request, BODY_LIMIT).then(() => response.end("done"))
  })
  const text = `${CHUNKED_HEAD}${CHUNK.repeat(PIECES)}`
  for (let index = 0; index < CLIENTS; index += 1) connectClient(text)
  while (pieces === 0) await new Promise(setImmediate)
  const ordinary = connectClient("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
  await new Promise(resolve => ordinary.once("data", resolve))
  t.true(pieces < (CLIENTS * PIECES) / 2, `${pieces} of ${CLIENTS * PIECES} pieces before it`)
})

test("the connection that has taken least is read first, among equals the oldest and the newest in turn", t => {
  const waiting = [
    {taken: 11_000, number: 1},
    {taken: 0, number: 2},
    {taken: 0, number: 4},
    {taken: 10, number: 3},
  ]
  const numbers = (newestFirst: boolean): number[] =>
    chooseToRead(waiting, 3, newestFirst).map(({number}) => number)
  t.deepEqual(numbers(false), [2, 4, 3])
  t.deepEqual(numbers(true), [4, 2, 3])
  t.deepEqual(chooseToRead([], 3, true), [])
})
