/** Request routing: the slot ledger, admission, retry budget, outlier detection and the idempotency keys. */
import test from "ava"
import fc from "fast-check"
import {admissionQueue, maxSlotsForLongRequests} from "../../src/routing/admission.js"
import {keyRegistry, issueTimeOf} from "../../src/routing/keyregistry.js"
import {recordFailure, excludedServers} from "../../src/routing/outliers.js"
import type {ServerHealths} from "../../src/routing/outliers.js"
import {canRetry, newRetryBudget, recordFirstAttempt, recordRetry} from "../../src/routing/retrybudget.js"
import {applySlotStep, EMPTY_SLOTS, freeSlots, WARM_UP_MS} from "../../src/routing/slotledger.js"
import type {SlotLedger} from "../../src/routing/slotledger.js"

const SERVER = {server: "s", address: "a", service: "web", dataCentre: "a", slots: 8}

/** A ledger with one open server, past its warm-up, that has 8 free slots. */
function ledgerWithOpenServer(): SlotLedger {
  let ledger = applySlotStep(EMPTY_SLOTS, {
    type: "server-found",
    description: SERVER,
    loansEndAt: 0,
    inDoubtUntil: 100_000,
  })
  ledger = applySlotStep(ledger, {type: "counted", server: "s", inHand: 0, askedAt: 1})
  return applySlotStep(ledger, {type: "server-opened", server: "s", open: true, at: -WARM_UP_MS})
}

test("lent and in-doubt slots never add up to more than a server has", t => {
  const borrower = fc.constantFrom("one", "two", "three")
  const step = fc.oneof(
    fc.record({type: fc.constant("lent"), borrower, count: fc.integer({min: 1, max: 4})}),
    fc.record({type: fc.constant("held"), borrower, count: fc.nat({max: 9})}),
    fc.record({type: fc.constant("doubted"), borrower, count: fc.nat({max: 4})}),
    fc.record({type: fc.constant("expired"), borrower, count: fc.constant(0)}),
  )
  fc.assert(
    fc.property(fc.array(step, {maxLength: 50}), steps => {
      let ledger = ledgerWithOpenServer()
      steps.forEach(({type, borrower: name, count}, index) => {
        const now = index * 10
        const common = {
          server: "s",
          borrower: name,
          count,
          expiresAt: now + 45,
          at: now,
          inDoubtUntil: now + 10_000,
        }
        if (type === "lent" && freeSlots(ledger.get("s") as never, now) < count) return
        ledger = applySlotStep(ledger, {...common, type})
        const server = ledger.get("s")
        const lent = [...(server?.loans.values() ?? [])].reduce((sum, loan) => sum + loan.count, 0)
        t.true(lent + (server?.inDoubt ?? 0) <= 8)
      })
    }),
    {seed: 41, numRuns: 80},
  )
})

test("slots of a borrower that is gone are lent again only when the server's count proves them free", t => {
  let ledger = applySlotStep(ledgerWithOpenServer(), {
    type: "lent",
    server: "s",
    borrower: "gone",
    count: 8,
    expiresAt: 10,
  })
  ledger = applySlotStep(ledger, {type: "expired", at: 20, inDoubtUntil: 5000})
  const free = (): number => freeSlots(ledger.get("s") as never, 30)
  t.is(free(), 0)
  ledger = applySlotStep(ledger, {type: "counted", server: "s", inHand: 3, askedAt: 10})
  t.is(free(), 0, "a count from before the loans ended does not prove slots free")
  ledger = applySlotStep(ledger, {type: "counted", server: "s", inHand: 3, askedAt: 25})
  t.is(free(), 5)
  ledger = applySlotStep(ledger, {type: "expired", at: 5001, inDoubtUntil: 9000})
  t.is(free(), 8)
  t.throws(() => applySlotStep(ledger, {type: "lent", server: "s", borrower: "x", count: 9, expiresAt: 1}), {
    instanceOf: RangeError,
  })
})

test("long requests leave slots for short ones and are not starved by them", t => {
  const queue = admissionQueue()
  for (let index = 0; index < 20; index += 1) {
    queue.add({id: `l${index}`, lane: "long", urgency: 3, deadlineAt: 1000})
    queue.add({id: `s${index}`, lane: "short", urgency: 3, deadlineAt: 1000})
  }
  const served = Array.from({length: 10}, () => queue.next(true)?.id ?? "")
  t.is(served.filter(id => id.startsWith("l")).length, 2)
  t.true(
    queue.next(6 < maxSlotsForLongRequests(8))?.id.startsWith("s"),
    "long requests get at most three quarters of the slots",
  )
  t.is(queue.expire(2000).length, 29)
})

test("retries stay within a tenth of first attempts", t => {
  let budget = newRetryBudget(0.1)
  let retries = 0
  for (let index = 0; index < 1000; index += 1) {
    budget = recordFirstAttempt(budget)
    while (canRetry(budget)) {
      budget = recordRetry(budget)
      retries += 1
    }
  }
  t.true(retries <= 100)
  t.throws(() => recordRetry(budget), {instanceOf: RangeError})
})

test("if more than a third of the servers look bad, none is excluded", t => {
  let healths: ServerHealths = new Map()
  const servers = ["a", "b", "c", "d", "e", "f"]
  for (const server of servers.slice(0, 2))
    for (let index = 0; index < 4; index += 1) healths = recordFailure(healths, server, 0)
  t.is(excludedServers(healths, servers, 1).size, 2)
  for (let index = 0; index < 4; index += 1) healths = recordFailure(healths, "c", 0)
  t.is(excludedServers(healths, servers, 1).size, 0)
})

test("a request with a key runs once and then gets the stored answer, and one with an unknown older key does not run", t => {
  const registry = keyRegistry(10_000)
  const request = (key: string, passage: string, issuedAt = 20_000) => ({
    key,
    requestDigest: "d",
    issuedAt,
    deadline: 1000,
    passage,
  })
  t.is(registry.begin(request("k", "p1"), 20_000).type, "go")
  t.is(registry.begin(request("k", "p1"), 20_001).type, "go", "the same passage may ask again and still run")
  t.is(registry.begin(request("k", "p2"), 20_002).type, "in-progress")
  registry.complete("k", "ran", {status: 200, contentType: "", body: "eA=="})
  t.is(registry.begin(request("k", "p3"), 20_003).type, "answered")
  t.is(registry.begin(request("old", "p4", 9000), 20_004).type, "unvouched")
  const next = keyRegistry(30_000)
  next.importJson(registry.exportJson(1_000_000))
  t.is(next.begin(request("k", "p5"), 30_001).type, "answered")
  t.is(
    next.begin(request("new", "p6", 15_000), 30_002).type,
    "go",
    "a handed-over registry is complete from the same time as the one before",
  )
  t.is(issueTimeOf("not-a-key"), undefined)
})
