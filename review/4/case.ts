/**
 * A worker loses power and starts again under its id while tasks are being given to it. Soon after, it is cut off for a
 * few seconds and runs on.
 */
import {drawId, runCase, TROUBLE} from "../standins/deployment.js"
import {wait} from "../standins/network.js"

const WORK_MS = 9000
const JOBS = 40
const JOB_EVERY_MS = 150
const DARK_MS = 1000
const CUT_AFTER_MS = 600
const CUT_MS = 5500
const WATCHED_MS = 14_000

await runCase(
  {
    folder: "review/4",
    instances: 3,
    workers: ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"].map(id => ({
      id,
      service: "crease",
      capacity: {Cpu: 16_000, MemMb: 32_768, Gpu: 0},
      labels: ["a", "r1"],
      upFor: 600_000,
      workOf: () => WORK_MS,
    })),
    queues: [{name: "packs", prefix: "/packs/", service: "crease"}],
  },
  async ({client, instances, workers, overlaps, recorder}) => {
    const step = {Count: 2, Cpu: 600, MemMb: 200, EstimateMs: WORK_MS}
    const handIn = async (): Promise<void> => {
      for (let job = 0; job < JOBS; job += 1) {
        void client.submit(instances, `/packs/${drawId()}`, {Spec: "a pack", Pipeline: [step]})
        await wait(JOB_EVERY_MS)
      }
    }
    const handedIn = handIn()
    await wait(1500)
    const [first] = workers
    if (TROUBLE && first) {
      first.crash()
      first.link.setCut(true)
      await wait(DARK_MS)
      first.link.setCut(false)
      await first.restart()
      await wait(CUT_AFTER_MS)
      recorder.note("cut", {worker: first.id, running: first.running()})
      first.link.setCut(true)
      await wait(CUT_MS)
      recorder.note("healed", {worker: first.id})
      first.link.setCut(false)
    }
    await handedIn
    await wait(WATCHED_MS)
    return overlaps().length > 0
  },
)
