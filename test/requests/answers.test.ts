import test from "ava"
import {request} from "undici"
import {freshKey, startEntryFixture, sendRaw} from "../support/sockets.js"

test("an answer is complete, belongs to the caller's request and states that the work ran", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  const answers = await Promise.all(
    Array.from({length: 40}, async (_, index) => {
      const id = `request-${String(index).padStart(4, "0")}`
      return {
        id,
        answer: await fixture.send(`/check?work=${index % 7}&size=${100 + index}`, {
          headers: {"request-id": id},
        }),
      }
    }),
  )
  for (const [index, {id, answer}] of answers.entries()) {
    t.is(answer.status, 200)
    t.is(answer.headers["lacewing-execution"], "ran")
    t.is(answer.text.length, 100 + index)
    t.true(answer.text.includes(`"request":"${id}"`))
    t.is(fixture.countRuns(id), 1)
  }
  t.deepEqual(fixture.environment.truth.oversubscriptions(), [])
})

test("an answer that is cut off in the middle is never presented as complete", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  for (const server of [0, 1, 2]) fixture.backend(server).faults.resetMidBody = true
  await t.throwsAsync(
    fixture.send("/check?work=1&size=20000", {method: "POST", headers: {"request-id": "cut-answer-1"}}),
  )
  t.is(fixture.countRuns("cut-answer-1"), 1)
})

test("a server that dies after running a request that is not idempotent: the answer is unknown, with no retry", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  for (let index = 0; index < 20; index += 1) await fixture.send("/check?work=0")
  fixture.backend(0).faults.dieBeforeAnswer = true
  fixture.backend(1).faults.dieBeforeAnswer = true
  fixture.backend(2).faults.dieBeforeAnswer = true
  const posted = await fixture.send("/receipts?work=1", {
    method: "POST",
    body: "{}",
    headers: {"request-id": "post-once-1"},
  })
  t.is(posted.status, 502)
  t.is(posted.headers["lacewing-execution"], "unknown")
  t.is(fixture.countRuns("post-once-1"), 1)
  fixture.backend(0).faults.dieBeforeAnswer = false
  fixture.backend(1).faults.dieBeforeAnswer = false
  fixture.backend(2).faults.dieBeforeAnswer = false
})

test("an idempotent request whose backend server dies is answered by another one", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  for (let index = 0; index < 30; index += 1) await fixture.send("/check?work=0")
  fixture.backend(1).faults.dieBeforeAnswer = true
  const answers = await Promise.all(Array.from({length: 12}, () => fixture.send("/check?work=5")))
  const answeredCount = answers.filter(answer => answer.status === 200).length
  t.true(answeredCount >= 9, `${answeredCount} of 12 were answered`)
  for (const answer of answers)
    if (answer.status !== 200) t.is(answer.headers["lacewing-execution"], "unknown")
})

test("a request past its deadline is answered unknown, and one without time left is refused and not run", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  const late = await fixture.send("/check?work=2000", {
    headers: {prefer: "wait=0.3", "request-id": "late-answer-1"},
  })
  t.is(late.status, 504)
  t.is(late.headers["lacewing-execution"], "unknown")
  const expired = await fixture.send("/check", {headers: {prefer: "wait=0", "request-id": "expired-req-1"}})
  t.is(expired.status, 400)
  t.is(expired.headers["lacewing-execution"], "not-run")
  t.is(fixture.countRuns("expired-req-1"), 0)
})

test("a connection that goes silent is detected before the deadline, and its requests are answered after a retry", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  for (let round = 0; round < 5; round += 1)
    await Promise.all(Array.from({length: 10}, () => fixture.send("/check?work=5")))
  const silenced = Promise.all(
    Array.from({length: 3}, () => fixture.send("/check?work=300", {headers: {prefer: "wait=20"}})),
  )
  await new Promise(resolve => setTimeout(resolve, 100))
  for (const index of [0, 1, 2]) fixture.backend(index).silenceOpenConnections()
  const answers = await silenced
  for (const answer of answers) t.is(answer.status, 200, answer.text)
})

test("a keyed request runs once, and a repeated key gets the first answer", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  const key = freshKey()
  const options = {method: "POST" as const, body: "{}", headers: {"idempotency-key": `"${key}"`}}
  const first = await fixture.send("/receipts?work=5&size=200", options)
  const second = await fixture.send("/receipts?work=5&size=200", options)
  t.is(first.status, 200)
  t.is(second.text, first.text)
  t.is(second.headers["idempotency-replayed"], "true")
  t.is(fixture.countRunsOfKey(key), 1)
  const other = await fixture.send("/receipts?work=5&size=300", options)
  t.is(other.status, 422)
  t.is(fixture.countRunsOfKey(key), 1)
  const malformed = await fixture.send("/receipts", {method: "POST", headers: {"idempotency-key": "hello"}})
  t.is(malformed.status, 400)
})

test("two concurrent requests with the same key run once", async t => {
  const fixture = await startEntryFixture(2)
  t.teardown(fixture.close)
  const key = freshKey()
  const addresses = [...fixture.environment.entries.values()].map(entry => entry.callerAddress)
  const send = (address: string) =>
    fixture.send("/receipts?work=200", {
      method: "POST",
      body: "{}",
      headers: {"idempotency-key": key},
      address,
    })
  const answers = await Promise.all(addresses.map(send))
  t.is(fixture.countRunsOfKey(key), 1)
  t.deepEqual(answers.map(answer => answer.status).sort(), [200, 409])
})

test("a key older than its home's records is not run", async t => {
  const fixture = await startEntryFixture(2)
  t.teardown(fixture.close)
  const issued = freshKey()
  await fixture.environment.killEntry("entry-1")
  await new Promise(resolve => setTimeout(resolve, 5000))
  const [address = ""] = [...fixture.environment.entries.values()].map(entry => entry.callerAddress)
  const answers = await Promise.all(
    Array.from({length: 40}, (_, index) => {
      const key = issued.slice(0, -2) + String(index + 10)
      return fixture.send("/receipts?work=1", {
        method: "POST",
        body: "{}",
        headers: {"idempotency-key": key},
        address,
      })
    }),
  )
  const unknown = answers.filter(answer => answer.headers["lacewing-execution"] === "unknown")
  t.true(unknown.length > 0, "keys issued before the records of the new home begin are answered unknown")
  for (const answer of answers)
    t.true(["ran", "unknown"].includes(String(answer.headers["lacewing-execution"])))
})

test("a backend server that says it is leaving gets no new requests, even while the instance list still contains it", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  fixture.environment.list.setLag(60_000)
  fixture.backend(0).setLeaving(true)
  await new Promise(resolve => setTimeout(resolve, 3500))
  const before = fixture.backend(0).served()
  await Promise.all(Array.from({length: 60}, () => fixture.send("/check?work=5")))
  t.is(fixture.backend(0).served(), before)
})

test("backend servers never exceed their slots at peak load, and requests that are shed have not run", async t => {
  const fixture = await startEntryFixture(2)
  t.teardown(fixture.close)
  const addresses = [...fixture.environment.entries.values()].map(entry => entry.callerAddress)
  const ids = Array.from({length: 120}, (_, index) => `crest-request-${index}`)
  const answers = await Promise.all(
    ids.map((id, index) =>
      fixture.send("/check?work=150", {
        headers: {"request-id": id, prefer: "wait=1"},
        address: addresses[index % 2],
      }),
    ),
  )
  t.deepEqual(fixture.environment.truth.oversubscriptions(), [])
  answers.forEach((answer, index) => {
    const ran = fixture.countRuns(ids[index] ?? "")
    if (answer.headers["lacewing-execution"] === "not-run") t.is(ran, 0)
    if (answer.status === 200) t.is(ran, 1)
  })
  t.true(answers.some(answer => answer.status === 200))
})

test("a planned stop cuts off no request in flight, even if it is requested twice", async t => {
  const fixture = await startEntryFixture(2)
  t.teardown(fixture.close)
  const [first] = fixture.environment.entries.values()
  const before = fixture.environment.truth.requests().length
  const open = Promise.all(
    Array.from({length: 10}, () => fixture.send("/check?work=1200", {headers: {prefer: "wait=60"}})),
  )
  while (fixture.environment.truth.requests().length < before + 10)
    await new Promise(resolve => setTimeout(resolve, 10))
  const stops = Promise.all([first?.stop(), first?.stop()])
  for (const answer of await open) t.is(answer.status, 200)
  await stops
})

test("a caller that disconnects frees its slot", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  const controller = new AbortController()
  const pending = fixture.send("/check?work=5000", {signal: controller.signal, headers: {prefer: "wait=20"}})
  setTimeout(() => controller.abort(), 100)
  await t.throwsAsync(pending, {any: true})
  const answer = await fixture.send("/check?work=1")
  t.is(answer.status, 200)
})

/** Requests that are refused before they reach a backend server: a name, the raw text and the expected status line. */
const rejectedRequests: readonly (readonly [string, string, RegExp])[] = [
  [
    "length and chunked",
    "POST /services/crease/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    /^HTTP\/1\.1 400/,
  ],
  [
    "two lengths",
    "POST /services/crease/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    /^HTTP\/1\.1 400/,
  ],
  ["unusual method", "TRACE /services/crease/x HTTP/1.1\r\nHost: a\r\n\r\n", /^HTTP\/1\.1 (400|501)/],
  ["dot segments", "GET /services/crease/../glide/x HTTP/1.1\r\nHost: a\r\n\r\n", /^HTTP\/1\.1 400/],
  ["encoded separator", "GET /services/crease/a%2f..%2fb HTTP/1.1\r\nHost: a\r\n\r\n", /^HTTP\/1\.1 400/],
  [
    "headers too large",
    `GET /services/crease/x HTTP/1.1\r\nHost: a\r\nX: ${"y".repeat(20_000)}\r\n\r\n`,
    /^HTTP\/1\.1 431/,
  ],
  [
    "upgrade",
    "GET /services/crease/x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
    /^HTTP\/1\.1 400/,
  ],
  [
    "body too large",
    `POST /services/crease/x HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n`,
    /^HTTP\/1\.1 413/,
  ],
  ["unknown service", "GET /services/nothing/x HTTP/1.1\r\nHost: a\r\n\r\n", /^HTTP\/1\.1 404/],
]

test("requests that servers could read in two ways are refused and reach no backend server", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  const before = fixture.environment.truth.requests().length
  for (const [name, text, expected] of rejectedRequests)
    t.regex(await sendRaw(fixture.address, text), expected, name)
  t.is(fixture.environment.truth.requests().length, before)
})

test("a slow caller holds no slot, and requests above a team's limit of open requests are refused", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  const slow = sendRaw(
    fixture.address,
    "POST /services/crease/x HTTP/1.1\r\nHost: a\r\nPrefer: wait=0.4\r\nContent-Length: 50\r\n\r\nabc",
  )
  const answer = await fixture.send("/check?work=1")
  t.is(answer.status, 200)
  t.regex(await slow, /^HTTP\/1\.1 408/)
  const many = await Promise.all(
    Array.from({length: 6}, () => fixture.send("/check?work=2000", {headers: {"lacewing-team": "schools"}})),
  )
  t.is(many.filter(entry => entry.status === 429).length, 2)
})

test("job requests with faults are refused with the place of each fault", async t => {
  const fixture = await startEntryFixture()
  t.teardown(fixture.close)
  const send = async (body: string): Promise<unknown> => {
    const reply = await request(`http://${fixture.address}/jobs`, {
      method: "POST",
      body,
      headers: {"content-type": "application/json"},
    })
    return {status: reply.statusCode, body: await reply.body.json()}
  }
  t.snapshot(await send("not json"))
  t.snapshot(await send("[]"))
  t.snapshot(
    await send(
      JSON.stringify({team: "nobody", workload: "packs", tasks: 0, demand: {processors: -1}, color: "red"}),
    ),
  )
  t.snapshot(
    await send(
      JSON.stringify({team: "schools", workload: "packs", demand: {processors: 99, memoryMebibytes: 10}}),
    ),
  )
})
