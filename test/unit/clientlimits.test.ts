/** Decisions on what clients may hold of an instance, played without a network. */
import {createServer} from "node:http"
import type {IncomingMessage} from "node:http"
import type {AddressInfo} from "node:net"
import {connect} from "node:net"
import {PassThrough} from "node:stream"
import test from "ava"
import {chooseBodyToRefuse, createBodyBudget} from "../../src/callers/bodybudget.js"
import {createBodyReader} from "../../src/callers/bodyreader.js"
import type {BodyOutcome} from "../../src/callers/bodyreader.js"
import {chooseConnectionToClose} from "../../src/callers/crowding.js"
import {clientLimits} from "../../src/callers/limits.js"
import {systemClock} from "../../src/core/clock.js"

const BODY_LIMIT = 262_144

test("the smallest machine has room for hundreds of clients, the largest for more, and an unknown one for many", t => {
  t.snapshot({
    smallest: clientLimits({memoryMebibytes: 210, descriptors: 2212}),
    largest: clientLimits({memoryMebibytes: 602, descriptors: 3075}),
    unknown: clientLimits({memoryMebibytes: 0, descriptors: 0}),
    tiny: clientLimits({memoryMebibytes: 1, descriptors: 100}),
  })
})

test("a crowd of bodies that stop halfway gives way to each short body of an ordinary caller", t => {
  const budget = createBodyBudget(10 * BODY_LIMIT)
  let refused = 0
  for (let now = 0; now < 400; now += 1) {
    const body = budget.open(now, () => (refused += 1))
    t.true(body.grow(BODY_LIMIT, now + 0.5))
  }
  t.is(refused, 390)
  for (let now = 1000; now < 1100; now += 10) {
    const ordinary = budget.open(now, () => t.fail("an ordinary body gave way"))
    t.true(ordinary.grow(4096, now))
    t.true(ordinary.grow(8192, now + 2))
    ordinary.settle()
    ordinary.release()
  }
  t.true(budget.used() <= 10 * BODY_LIMIT)
})

test("a body that is being handled does not give way, and further ones are refused instead", t => {
  const budget = createBodyBudget(2 * BODY_LIMIT)
  const handled = [1, 2].map(() => budget.open(0, () => t.fail("a handled body gave way")))
  for (const body of handled) {
    t.true(body.grow(BODY_LIMIT, 0))
    body.settle()
  }
  const late = budget.open(10, () => t.fail("the asking body is refused by the result"))
  t.false(late.grow(4096, 10))
  late.release()
  handled[0]?.release()
  handled[0]?.release()
  t.is(budget.used(), BODY_LIMIT)
  t.true(budget.open(20, () => undefined).grow(4096, 20))
})

test("a body that is alone has room on any machine", t => {
  const budget = createBodyBudget(1000)
  const body = budget.open(0, () => undefined)
  t.true(body.grow(BODY_LIMIT, 0))
  body.release()
  t.is(budget.used(), 0)
})

test("the body that took most memory for the longest is chosen", t => {
  const bodies = [
    {name: "old and small", since: 0, bytes: 10, settled: false},
    {name: "young and large", since: 900, bytes: 2000, settled: false},
    {name: "handled", since: 0, bytes: 9000, settled: true},
    {name: "fresh", since: 1000, bytes: 9000, settled: false},
  ]
  t.is(chooseBodyToRefuse(bodies, 1000)?.name, "young and large")
  t.is(chooseBodyToRefuse(bodies.slice(0, 0), 1000), undefined)
})

test("a full instance closes silent connections first, then idle ones, and none with a request in hand", t => {
  const busy = {waitingSince: undefined, answered: false}
  const idle = {waitingSince: 1, answered: true}
  const idler = {waitingSince: 0, answered: true}
  const silent = {waitingSince: 5, answered: false}
  const fresh = {waitingSince: 9, answered: false}
  t.is(chooseConnectionToClose([busy, idle, fresh, silent, idler]), silent)
  t.is(chooseConnectionToClose([fresh, silent, idler]), silent)
  t.is(chooseConnectionToClose([busy, idle, idler]), idler)
  t.is(chooseConnectionToClose([busy]), undefined)
})

interface Sending {
  readonly stream: PassThrough
  readonly outcome: Promise<BodyOutcome>
}

function start(budget = createBodyBudget(10 * BODY_LIMIT), headers = {}, timeout?: number): Sending {
  const stream = Object.assign(new PassThrough(), {
    headers,
    socket: new PassThrough(),
  })
  const request = stream as unknown as IncomingMessage
  return {stream, outcome: createBodyReader(systemClock(), budget).read(request, BODY_LIMIT, timeout)}
}

test("bodies are read whole in any pieces, and refused above the limit, when late or cut", async t => {
  const budget = createBodyBudget(10 * BODY_LIMIT)
  const whole = start(budget)
  for (let index = 0; index < 5000; index += 1) whole.stream.write(Buffer.from([index % 256]))
  whole.stream.end()
  const read = await whole.outcome
  t.deepEqual(
    read.type === "read" && [...read.body],
    Array.from({length: 5000}, (_, index) => index % 256),
  )
  t.is(budget.used(), 8192, "held until it is released")
  if (read.type === "read") read.release()
  t.is(budget.used(), 0)

  const exact = start()
  exact.stream.end(Buffer.alloc(BODY_LIMIT))
  t.is((await exact.outcome).type, "read")
  const long = start(budget)
  long.stream.write(Buffer.alloc(BODY_LIMIT))
  long.stream.write(Buffer.alloc(1))
  t.is((await long.outcome).type, "too-large")
  t.is((await start(budget, {"content-length": String(BODY_LIMIT + 1)}).outcome).type, "too-large")
  t.is((await start(budget, {}, 5).outcome).type, "too-slow")
  const cut = start(budget)
  cut.stream.write("a")
  setImmediate(() => cut.stream.destroy())
  t.is((await cut.outcome).type, "cut")
  t.is(budget.used(), 0)
})

/** The most pieces of one byte that Node reads at once, and those that a body may have had before. */
const PIECES_READ_AT_ONCE = Math.ceil(65_536 / 6) + 500

test("bodies in chunks of one byte leave turns of the event loop to others", async t => {
  const size = 100_000
  const clients = 10
  const reader = createBodyReader(systemClock(), createBodyBudget(clients * BODY_LIMIT))
  let turns = 0
  let done = false
  const countTurns = (): void => {
    turns += 1
    if (!done) setImmediate(countTurns)
  }
  const lengths: number[] = []
  const allRead = new Promise<void>(resolve => {
    const server = createServer((request, response) => {
      if (turns === 0) countTurns()
      void reader.read(request, BODY_LIMIT).then(outcome => {
        lengths.push(outcome.type === "read" ? outcome.body.length : -1)
        response.end()
        if (lengths.length === clients) resolve()
      })
    })
    t.teardown(() => server.closeAllConnections())
    server.listen(0, "127.0.0.1", () => {
      const {port} = server.address() as AddressInfo
      for (let index = 0; index < clients; index += 1)
        connect(port, "127.0.0.1")
          .on("error", () => undefined)
          .write(
            `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${"1\r\nx\r\n".repeat(size)}0\r\n\r\n`,
          )
    })
    t.teardown(() => server.close())
  })
  await allRead
  done = true
  t.deepEqual(
    lengths,
    Array.from({length: clients}, () => size),
  )
  t.true(size * clients <= (turns + clients) * PIECES_READ_AT_ONCE, `${turns} turns`)
})

test("a body of an announced length takes one buffer of that length", async t => {
  const budget = createBodyBudget(10 * BODY_LIMIT)
  const announced = start(budget, {"content-length": "50000"})
  announced.stream.write(Buffer.alloc(10))
  await new Promise(setImmediate)
  t.is(budget.used(), 50_000)
  announced.stream.end(Buffer.alloc(49_990))
  const read = await announced.outcome
  t.is(read.type === "read" && read.body.length, 50_000)
  t.is(budget.used(), 50_000)
})
