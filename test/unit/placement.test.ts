// Tests of the placement decisions: ledger, preemption, task queue, worker health and workload estimates.
import test from "ava"
import fc from "fast-check"
import {seededRandom} from "../../src/core/random.js"
import {fits} from "../../src/core/resources.js"
import type {Attempt} from "../../src/jobs/attempt.js"
import {chooseWorker} from "../../src/placement/choose.js"
import {applyLedgerStep, EMPTY_LEDGER, freeCapacityOf} from "../../src/placement/ledger.js"
import type {GroupLedger} from "../../src/placement/ledger.js"
import {
  estimateDemand,
  updateEstimate,
  INITIAL_ESTIMATE,
  findStragglers,
} from "../../src/placement/estimates.js"
import {placementPolicy} from "../../src/placement/policy.js"
import {choosePreemption} from "../../src/placement/preemption.js"
import {STARVATION_LIMIT_MS, taskQueue} from "../../src/placement/taskqueue.js"
import type {QueuedItem} from "../../src/placement/taskqueue.js"
import {admissionOf, INITIAL_HEALTH, recordOutcome, recordTest} from "../../src/placement/workerhealth.js"

const CAPACITY = {processors: 8, memoryMebibytes: 8192, accelerators: 2}

function attempt(name: string, processors: number, priority = 4): Attempt {
  return {
    attempt: name,
    job: name,
    task: 0,
    jobGroup: "j/0",
    team: "red",
    workload: "batch",
    kind: "batch",
    pool: "pool",
    priority,
    demand: {processors, memoryMebibytes: processors * 512, accelerators: 0},
    declaredRun: 0,
    restartable: true,
    checkpointable: true,
    checkpoint: "",
    payload: "",
    avoid: [],
  }
}

function ledgerOf(workers: number): GroupLedger {
  let ledger: GroupLedger = EMPTY_LEDGER
  for (let index = 0; index < workers; index += 1) {
    const worker = `w${index}`
    const description = {worker, rack: "r", dataCentre: "a", pool: "pool", capacity: CAPACITY}
    ledger = applyLedgerStep(ledger, {type: "worker-added", description})
    ledger = applyLedgerStep(ledger, {type: "worker-opened", worker, open: true})
  }
  return ledger
}

test("no order of grants, reservations and ends oversubscribes a worker", t => {
  const step = fc.record({
    kind: fc.constantFrom("grant", "reserve", "end"),
    size: fc.integer({min: 1, max: 8}),
    policy: fc.constantFrom("pack", "balance", "spread"),
  })
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      let ledger = ledgerOf(3)
      const names: string[] = []
      steps.forEach(({kind, size, policy}, index) => {
        const wanted = attempt(`a${index}`, size)
        const choice = chooseWorker(ledger, wanted, placementPolicy(policy))
        const name = names[index % Math.max(1, names.length)]
        if (kind === "end" && name !== undefined) {
          for (const worker of ledger.keys())
            ledger = applyLedgerStep(ledger, {type: "ended", worker, attempt: name})
        } else if (choice.isOk() && kind === "grant") {
          ledger = applyLedgerStep(ledger, {type: "granted", worker: choice.value.worker, attempt: wanted})
          names.push(wanted.attempt)
        } else if (choice.isOk()) {
          const reservation = {reservation: "g", attempt: wanted, expiresAt: 1, rank: 0}
          ledger = applyLedgerStep(ledger, {type: "reserved", worker: choice.value.worker, reservation})
        }
        for (const worker of ledger.values())
          t.true(fits({processors: 0, memoryMebibytes: 0, accelerators: 0}, freeCapacityOf(worker)))
      })
    }),
    {seed: 31, numRuns: 60},
  )
})

test("the ledger refuses a grant that exceeds the free capacity or goes to a closed worker", t => {
  const ledger = applyLedgerStep(ledgerOf(1), {type: "granted", worker: "w0", attempt: attempt("a", 6)})
  t.throws(() => applyLedgerStep(ledger, {type: "granted", worker: "w0", attempt: attempt("b", 3)}), {
    instanceOf: RangeError,
  })
  const closed = applyLedgerStep(ledger, {type: "worker-opened", worker: "w0", open: false})
  t.throws(() => applyLedgerStep(closed, {type: "granted", worker: "w0", attempt: attempt("c", 1)}), {
    instanceOf: RangeError,
  })
})

test("preemption chooses the cheapest lower-priority attempts and no more than needed", t => {
  let ledger = ledgerOf(1)
  for (const [name, size, priority] of [
    ["low", 2, 1],
    ["lower", 4, 1],
    ["high", 2, 7],
  ] as const) {
    ledger = applyLedgerStep(ledger, {type: "granted", worker: "w0", attempt: attempt(name, size, priority)})
  }
  const plan = choosePreemption(ledger, attempt("urgent", 2, 9), 8, new Set())
  t.deepEqual(plan?.victims, ["low"])
  t.is(choosePreemption(ledger, attempt("urgent", 2, 9), 0, new Set()), undefined)
})

interface Item extends QueuedItem {
  readonly key: string
}

function item(key: string, team: string, priority: number, enqueuedAt: number): Item {
  return {
    key,
    team,
    priority,
    pool: "pool",
    demand: {processors: 1, memoryMebibytes: 1, accelerators: 0},
    enqueuedAt,
  }
}

test("lanes are ordered by urgency, starvation, priority and then the smaller share", t => {
  const queue = taskQueue<Item>()
  const now = STARVATION_LIMIT_MS + 1000
  queue.add(item("rich", "rich", 4, now))
  queue.add(item("poor", "poor", 4, now))
  queue.add(item("high", "rich", 6, now))
  queue.add(item("old", "rich", 1, 0))
  queue.add(item("urgent", "rich", 9, now))
  const order = queue.lanes(now, team => (team === "rich" ? 0.8 : 0.1)).map(lane => [...lane.items.keys()][0])
  t.deepEqual(order, ["urgent", "old", "high", "poor", "rich"])
})

test("a worker that fails every attempt is excluded, tested after a back-off and readmitted", t => {
  let health = INITIAL_HEALTH
  for (let index = 0; index < 40; index += 1)
    health = recordOutcome(
      health,
      {worker: "good", job: `g${index}`, workload: "w", failed: false, at: 0},
      10,
    )
  for (const job of ["a", "b", "c"])
    health = recordOutcome(health, {worker: "bad", job, workload: "w", failed: true, at: 100}, 10)
  t.is(admissionOf(health, "bad", 200), "shut-out")
  t.is(admissionOf(health, "bad", 6000), "test")
  health = recordTest(health, "bad")
  t.is(admissionOf(health, "bad", 6001), "shut-out")
  health = recordOutcome(health, {worker: "bad", job: "d", workload: "w", failed: false, at: 6100}, 10)
  t.is(admissionOf(health, "bad", 6200), "open")
})

test("a job that fails on every worker excludes none, and few workers are excluded at once", t => {
  let health = INITIAL_HEALTH
  for (let round = 0; round < 6; round += 1) {
    for (let worker = 0; worker < 10; worker += 1)
      health = recordOutcome(
        health,
        {worker: `w${worker}`, job: "same", workload: "w", failed: true, at: 0},
        10,
      )
  }
  for (let worker = 0; worker < 10; worker += 1) t.is(admissionOf(health, `w${worker}`, 1), "open")
  let failing = INITIAL_HEALTH
  for (let worker = 0; worker < 10; worker += 1) {
    for (const job of ["a", "b", "c"])
      failing = recordOutcome(
        failing,
        {worker: `w${worker}`, job, workload: `x${worker}`, failed: true, at: 0},
        10,
      )
  }
  const excluded = Array.from({length: 10}, (_, worker) => admissionOf(failing, `w${worker}`, 1)).filter(
    state => state === "shut-out",
  )
  t.true(excluded.length <= 2)
})

test("memory use and run times are estimated, and memory is never below the declaration", t => {
  const declared = {processors: 1, memoryMebibytes: 1000, accelerators: 0}
  const random = seededRandom(1)
  let estimate = INITIAL_ESTIMATE
  for (let index = 0; index < 30; index += 1)
    estimate = updateEstimate(estimate, 900 + random.below(200), declared, 1500)
  t.true(estimateDemand(declared, estimate, CAPACITY).memoryMebibytes >= 1500)
  t.is(estimateDemand({...declared, memoryMebibytes: 8192}, estimate, CAPACITY).memoryMebibytes, 8192)
  t.deepEqual(
    findStragglers(
      [
        {attempt: "slow", ranFor: 9000},
        {attempt: "fine", ranFor: 1200},
      ],
      estimate,
    ),
    ["slow"],
  )
})
