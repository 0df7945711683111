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

function numbers(cluster: Cluster): number[] {
  return cluster.instances
    .filter(node => !node.dead)
    .map(node => node.core.configuration.current()?.number ?? 0)
}

async function propose(cluster: Cluster, index: number, baseNumber: number, text: string, proposal: string) {
  const node = cluster.instances[index]
  if (!node) throw new RangeError("There is no such node.")
  const call = node.core.configuration.propose({text, baseNumber, operator: `operator-${index}`, proposal})
  let result: Awaited<typeof call> | undefined
  void call.then(value => {
    result = value
  })
  for (let turn = 0; turn < 100 && !result; turn += 1) await cluster.clock.advance(100)
  return result
}

test("an accepted document is in force everywhere within the bound, and numbers never go back", async t => {
  const cluster = await readyCluster({...SMALL, seed: 21})
  t.deepEqual(numbers(cluster), [1, 1, 1, 1])
  const accepted = await propose(cluster, 2, 1, TEXT.replace("weight = 2", "weight = 3"), "second")
  t.true(accepted?.isOk())
  const seen: number[][] = []
  for (let passed = 0; passed < 14_000; passed += 500) {
    await cluster.advance(500)
    seen.push(numbers(cluster))
  }
  t.deepEqual(seen.at(-1), [2, 2, 2, 2])
  for (const [index, row] of seen.entries()) {
    row.forEach((number, node) => t.true(number >= (seen[index - 1]?.[node] ?? 0)))
  }
  cluster.close()
})

test("of two operators who race one is told what the other changed", async t => {
  const cluster = await readyCluster({...SMALL, seed: 22})
  const both = await Promise.all([
    propose(cluster, 0, 1, TEXT.replace("weight = 2", "weight = 5"), "one"),
    propose(cluster, 1, 1, TEXT.replace("weight = 2", "weight = 6"), "other"),
  ])
  const accepted = both.filter(result => result?.isOk())
  t.is(accepted.length, 1)
  const refused = both.find(result => result?.isErr())
  t.is(refused?.isErr() ? refused.error.code : "", "document-overtaken")
  cluster.close()
})

test("a lost reply is settled, and an outage gets a clear not accepted", async t => {
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

test("a restarted instance takes the newest document from a peer while the store is away", async t => {
  const cluster = await readyCluster({...SMALL, seed: 24})
  await propose(cluster, 0, 1, TEXT.replace("weight = 2", "weight = 8"), "next")
  await cluster.advance(8000)
  cluster.faults.down = true
  const node = await cluster.start("late-entry")
  await cluster.advance(8000)
  t.is(node.core.configuration.current()?.number, 2)
  cluster.close()
})

test("a store that answers with an older document takes nobody back", async t => {
  const cluster = await readyCluster({...SMALL, seed: 26})
  const older = cluster.store.get("document/current")
  await propose(cluster, 0, 1, TEXT.replace("weight = 2", "weight = 9"), "newer")
  await cluster.advance(10_000)
  t.deepEqual(numbers(cluster), [2, 2, 2, 2])
  const now = cluster.store.get("document/current")
  cluster.store.compareAndSwap("document/current", now?.version ?? 0, older?.value ?? "")
  for (let passed = 0; passed < 14_000; passed += 100) {
    await cluster.advance(100)
    t.deepEqual(numbers(cluster), [2, 2, 2, 2])
  }
  cluster.close()
})

const STAGED = `${TEXT}[rollout]
first = b
hold = 10s
maximum_failure_share = 0.1
`

function numbersIn(cluster: Cluster, dataCentre: string): number[] {
  const nodes = cluster.instances.filter(node => node.core.membership.self().dataCentre === dataCentre)
  return nodes.map(node => node.core.configuration.current()?.number ?? 0)
}

test("a staged document takes force in the first data centre, and elsewhere after its hold", async t => {
  const cluster = await readyCluster({...SMALL, seed: 27})
  await propose(cluster, 0, 1, STAGED, "staged")
  await cluster.advance(5000)
  t.true(numbersIn(cluster, "b").every(number => number === 2))
  t.true([...numbersIn(cluster, "a"), ...numbersIn(cluster, "c")].every(number => number === 1))
  await cluster.advance(8000)
  t.deepEqual(numbers(cluster), [2, 2, 2, 2])
  cluster.close()
})

test("a staged document that makes the first data centre worse is held, with the reason, until a new one", async t => {
  const cluster = await readyCluster({...SMALL, seed: 28})
  await propose(cluster, 0, 1, STAGED, "staged")
  await cluster.advance(3000)
  for (const node of cluster.instances) cluster.failureShares.set(node.name, 0.4)
  await cluster.advance(20_000)
  t.true([...numbersIn(cluster, "a"), ...numbersIn(cluster, "c")].every(number => number === 1))
  const held = cluster.instances.map(node => node.core.configuration.waiting()?.heldBecause ?? "")
  t.true(held.some(reason => reason.includes("maximum_failure_share")))
  await propose(cluster, 0, 2, TEXT, "undone")
  await cluster.advance(10_000)
  t.deepEqual(numbers(cluster), [3, 3, 3, 3])
  cluster.close()
})

test("a document with findings changes nothing", async t => {
  const cluster = createCluster({...SMALL, seed: 25})
  await cluster.start()
  await cluster.advance(1000)
  const refused = await propose(cluster, 0, 0, "[environment]\nname =\n", "bad")
  t.is(refused?.isErr() ? refused.error.code : "", "document-rejected")
  t.is(cluster.instances[0]?.core.configuration.current(), undefined)
  cluster.close()
})
