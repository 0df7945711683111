/**
 * The store leaves some writes without an answer and carries them out late. Some clients leave before their deadline and
 * cancel the job that they do not know to be accepted. They are told that there is no such job.
 */
import {drawId, runCase, TROUBLE} from "../standins/deployment.js"
import type {Deployment} from "../standins/deployment.js"
import {wait} from "../standins/network.js"

const WORK_MS = 20_000
const JOBS = 24
const JOB_EVERY_MS = 150
const PREFIX = "/packs/"
const PATIENCE_MS = 450
const LATE_SHARE = 0.35
/** The last late write is carried out by then. */
const LATEST_WRITE_MS = 6000
/** `ContactMs`: the store is stable this long after its disruption. */
const CONTACT_MS = 3000
/** `cancel_ms` and `StopGraceMs`: by then nothing of a cancelled job may run. */
const GONE_AFTER_MS = 3000 + 900

async function act({client, instances, workers, store, recorder}: Deployment): Promise<boolean> {
  /** The jobs whose cancelling was acknowledged, with the time. */
  const acknowledged = new Map<string, number>()
  const step = {Count: 1, Cpu: 500, MemMb: 100, EstimateMs: WORK_MS}

  async function leave(path: string, number: number): Promise<void> {
    const instance = instances[number % instances.length]
    if (!instance) return
    const body = {Spec: "a pack", Pipeline: [step]}
    const {status} = await client.call(instance, "POST", path, body, PATIENCE_MS)
    if (status !== 0) return
    const answer = await client.call(instance, "DELETE", path)
    if ((answer.status >= 200 && answer.status < 300) || answer.status === 410)
      acknowledged.set(path.slice(PREFIX.length), performance.now())
  }

  if (TROUBLE) {
    recorder.note("late-writes-begin")
    store.setLateShare(LATE_SHARE)
  }
  const calls: Promise<void>[] = []
  for (let number = 0; number < JOBS; number += 1) {
    calls.push(leave(PREFIX + drawId(), number))
    await wait(JOB_EVERY_MS)
  }
  store.setLateShare(0)
  recorder.note("late-writes-end")
  await Promise.all(calls)
  await wait(LATEST_WRITE_MS + Math.max(CONTACT_MS, GONE_AFTER_MS))
  const running = workers.flatMap(worker => worker.running())
  const cancelled = [...acknowledged].map(([id, at]) => ({
    id,
    storedAfterAnswerMs: Math.round((store.createdAt(`lacewing/work/job/${id}`) ?? Infinity) - at),
  }))
  recorder.note("cancelled", {cancelled})
  // A write that the store had carried out before it answered the cancelling is left out.
  const broken = cancelled.filter(
    ({id, storedAfterAnswerMs}) => storedAfterAnswerMs > 0 && running.some(task => task.startsWith(id)),
  )
  recorder.note("cancelled and running", {broken})
  return broken.length > 0
}

await runCase(
  {
    folder: "review/4",
    instances: 3,
    workers: ["w1", "w2", "w3"].map(id => ({
      id,
      service: "crease",
      capacity: {Cpu: 16_000, MemMb: 32_768, Gpu: 0},
      labels: ["a", "r1"],
      upFor: 600_000,
      workOf: () => WORK_MS,
    })),
    queues: [{name: "packs", prefix: PREFIX, service: "crease"}],
  },
  act,
)
