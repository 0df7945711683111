/**
 * While the store is down, a worker ends and starts again under its id, as one of a smaller kind. Tasks wait for room all
 * the while.
 */
import {drawId, runCase, TROUBLE} from "../standins/deployment.js"
import type {Deployment} from "../standins/deployment.js"
import {wait} from "../standins/network.js"
import type {Worker} from "../standins/worker.js"

const WORK_MS = 4000
const JOBS = 30
const TASK_CPU = 2000
const LARGE = {Cpu: 16_000, MemMb: 32_768, Gpu: 0}
const SMALL = {Cpu: 8000, MemMb: 16_384, Gpu: 0}
const STORE_DOWN_MS = 4500
const CRASH_AFTER_MS = 300
const WORKER_DOWN_MS = 1500
const WATCHED_MS = 6000

const over: string[] = []

function check(worker: Worker, task: string): void {
  const used = worker.running().length * TASK_CPU
  if (used > worker.capacity().Cpu)
    over.push(`${task} brings ${worker.id} to ${used} of ${worker.capacity().Cpu}`)
}

async function act({client, instances, workers, store, recorder}: Deployment): Promise<boolean> {
  const step = {Count: 4, Cpu: TASK_CPU, MemMb: 500, EstimateMs: WORK_MS}
  const submitted = Array.from({length: JOBS}, () =>
    client.submit(instances, `/packs/${drawId()}`, {Spec: "a pack", Pipeline: [step]}),
  )
  await Promise.all(submitted)
  await wait(2000)
  const [first] = workers
  if (TROUBLE && first) {
    recorder.note("store-down")
    store.setDown(true)
    await wait(CRASH_AFTER_MS)
    first.crash()
    await wait(WORKER_DOWN_MS)
    await first.restart(SMALL)
    await wait(STORE_DOWN_MS - CRASH_AFTER_MS - WORKER_DOWN_MS)
    store.setDown(false)
    recorder.note("store-up")
  }
  await wait(WATCHED_MS)
  recorder.note("over", {over})
  return over.length > 0
}

await runCase(
  {
    folder: "review/5",
    instances: 3,
    workers: ["w1", "w2", "w3"].map(id => ({
      id,
      service: "crease",
      capacity: LARGE,
      labels: ["a", "r1"],
      upFor: 600_000,
      workOf: () => WORK_MS,
    })),
    queues: [{name: "packs", prefix: "/packs/", service: "crease"}],
    events: {onStart: check},
  },
  act,
)
