/**
 * Configuration documents in a simulated cluster: acceptance, distribution to all instances, staged rollout, and faults
 * of the store. The number of a document grows with each accepted one.
 */
import test from "ava"
import {createCluster, readyCluster, TEST_DOCUMENT} from "../support/cluster.js"
import type {Cluster} from "../support/cluster.js"

const SMALL = {
  instances: 4,
  racks: 2,
  workersPerRack: 1,
  capacity: {processors: 4, memoryMebibytes: 4096, accelerators: 0},
}
const TEXT = TEST_DOCUMENT.replace("JOB_GROUPS", "4")

/** The number of the document in force at each live instance; 0 if none is. */
function documentNumbers(cluster: Cluster): number[] {
  return cluster.instances
    .filter(instance => !instance.dead)
    .map(instance => instance.core.configuration.current()?.number ?? 0)
}

/** Proposes a document at the instance with this index and runs the clock until the result is known. */
async function propose(cluster: Cluster, index: number, baseNumber: number, text: string, proposal: string) {
  const instance = cluster.instances[index]
  if (!instance) throw new RangeError("There is no such instance.")
  const call = instance.core.configuration.propose({
    text,
    baseNumber,
    operator: `operator-${index}`,
    proposal,
  })
  let result: Awaited<typeof call> | undefined
  void call.then(value => {
    result = value
  })
  for (let turn = 0; turn < 100 && !result; turn += 1) await cluster.clock.advance(100)
  return result
}

test("an accepted document is in force at every instance within 14 s, and document numbers never decrease", async t => {
  const cluster = await readyCluster({...SMALL, seed: 21})
  t.deepEqual(documentNumbers(cluster), [1, 1, 1, 1])
  const accepted = await propose(cluster, 2, 1, TEXT.replace("weight = 2", "weight = 3"), "second")
  t.true(accepted?.isOk())
  const observed: number[][] = []
  for (let passed = 0; passed < 14_000; passed += 500) {
    await cluster.advance(500)
    observed.push(documentNumbers(cluster))
  }
  t.deepEqual(observed.at(-1), [2, 2, 2, 2])
  for (const [index, row] of observed.entries()) {
    row.forEach((number, instance) => t.true(number >= (observed[index - 1]?.[instance] ?? 0)))
  }
  cluster.close()
})

test("of two operators who propose a document at the same time, one is refused as overtaken", async t => {
  const cluster = await readyCluster({...SMALL, seed: 22})
  const results = await Promise.all([
    propose(cluster, 0, 1, TEXT.replace("weight = 2", "weight = 5"), "one"),
    propose(cluster, 1, 1, TEXT.replace("weight = 2", "weight = 6"), "other"),
  ])
  const accepted = results.filter(result => result?.isOk())
  t.is(accepted.length, 1)
  const refused = results.find(result => result?.isErr())
  t.is(refused?.isErr() ? refused.error.code : "", "document-overtaken")
  cluster.close()
})

test("a lost store reply does not lose an accepted document, and during a store outage a document is refused", async t => {
  const cluster = await readyCluster({...SMALL, seed: 23})
  cluster.faults.lostReplies = 2
  const accepted = await propose(cluster, 0, 1, TEXT.replace("weight = 2", "weight = 7"), "lost")
  t.true(accepted?.isOk())
  cluster.faults.lostReplies = 0
  cluster.faults.down = true
  await cluster.advance(3000)
  const refused = await propose(cluster, 1, 2, TEXT, "outage")
  t.true(refused?.isErr())
  t.is(refused?.isErr() ? refused.error.code : "", "store-unavailable")
  cluster.close()
})

test("an instance that starts during a store outage gets the newest document from a peer", async t => {
  const cluster = await readyCluster({...SMALL, seed: 24})
  await propose(cluster, 0, 1, TEXT.replace("weight = 2", "weight = 8"), "next")
  await cluster.advance(8000)
  cluster.faults.down = true
  const instance = await cluster.start("late-entry")
  await cluster.advance(8000)
  t.is(instance.core.configuration.current()?.number, 2)
  cluster.close()
})

test("a store that answers with an older document does not bring it back into force", async t => {
  const cluster = await readyCluster({...SMALL, seed: 26})
  const older = cluster.store.get("document/current")
  await propose(cluster, 0, 1, TEXT.replace("weight = 2", "weight = 9"), "newer")
  await cluster.advance(10_000)
  t.deepEqual(documentNumbers(cluster), [2, 2, 2, 2])
  const newest = cluster.store.get("document/current")
  cluster.store.compareAndSwap("document/current", newest?.version ?? 0, older?.value ?? "")
  for (let passed = 0; passed < 14_000; passed += 100) {
    await cluster.advance(100)
    t.deepEqual(documentNumbers(cluster), [2, 2, 2, 2])
  }
  cluster.close()
})

const STAGED = `${TEXT}[rollout]
first = b
hold = 10s
maximum_failure_share = 0.1
`

/** The number of the document in force at each instance of a data centre. */
function documentNumbersIn(cluster: Cluster, dataCentre: string): number[] {
  const instances = cluster.instances.filter(
    instance => instance.core.membership.self().dataCentre === dataCentre,
  )
  return instances.map(instance => instance.core.configuration.current()?.number ?? 0)
}

test("a staged document comes into force in the first data centre, and elsewhere after its hold time", async t => {
  const cluster = await readyCluster({...SMALL, seed: 27})
  await propose(cluster, 0, 1, STAGED, "staged")
  await cluster.advance(5000)
  t.true(documentNumbersIn(cluster, "b").every(number => number === 2))
  t.true(
    [...documentNumbersIn(cluster, "a"), ...documentNumbersIn(cluster, "c")].every(number => number === 1),
  )
  await cluster.advance(8000)
  t.deepEqual(documentNumbers(cluster), [2, 2, 2, 2])
  cluster.close()
})

test("a staged document that makes the first data centre worse is held back, with the reason, until a newer document", async t => {
  const cluster = await readyCluster({...SMALL, seed: 28})
  await propose(cluster, 0, 1, STAGED, "staged")
  await cluster.advance(3000)
  for (const instance of cluster.instances) cluster.failureShares.set(instance.name, 0.4)
  await cluster.advance(20_000)
  t.true(
    [...documentNumbersIn(cluster, "a"), ...documentNumbersIn(cluster, "c")].every(number => number === 1),
  )
  const held = cluster.instances.map(instance => instance.core.configuration.waiting()?.heldBecause ?? "")
  t.true(held.some(reason => reason.includes("maximum_failure_share")))
  await propose(cluster, 0, 2, TEXT, "undone")
  await cluster.advance(10_000)
  t.deepEqual(documentNumbers(cluster), [3, 3, 3, 3])
  cluster.close()
})

test("a document with errors is rejected and none comes into force", async t => {
  const cluster = createCluster({...SMALL, seed: 25})
  await cluster.start()
  await cluster.advance(1000)
  const refused = await propose(cluster, 0, 0, "[environment]\nname =\n", "bad")
  t.is(refused?.isErr() ? refused.error.code : "", "document-rejected")
  t.is(cluster.instances[0]?.core.configuration.current(), undefined)
  cluster.close()
})
