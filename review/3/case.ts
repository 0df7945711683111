/**
 * A job is accepted while its queue belongs to one service. The operator then sends the queue to another service. While a
 * worker of the first service that runs a task of the job is cut off, the leader is killed.
 */
import {drawId, runCase, TROUBLE} from "../standins/deployment.js"
import {wait} from "../standins/network.js"

const WORK_MS = 14_000
const SETTLED_MS = 4000
const CUT_MS = 5500
const WATCHED_MS = 6000

const worker = (id: string, service: string) => ({
  id,
  service,
  capacity: {Cpu: 16_000, MemMb: 32_768, Gpu: 0},
  labels: ["a", "r1"],
  upFor: 600_000,
  workOf: () => WORK_MS,
})

await runCase(
  {
    folder: "review/3",
    instances: 3,
    workers: [
      ...["c1", "c2", "c3", "c4", "c5", "c6"].map(id => worker(id, "crease")),
      ...["g1", "g2"].map(id => worker(id, "glide")),
    ],
    queues: [{name: "packs", prefix: "/packs/", service: "crease"}],
  },
  async ({client, instances, configure, leader, workerOf, overlaps, recorder}) => {
    const id = drawId()
    const body = {Spec: "a pack", Pipeline: [{Count: 1, Cpu: 1000, MemMb: 500, EstimateMs: WORK_MS}]}
    if (!(await client.submit(instances, `/packs/${id}`, body))) throw new Error("The job was not accepted.")
    await wait(1000)
    const holder = workerOf(`${id}.0.0.0`)
    if (!holder) throw new Error("The task has not started.")
    configure([{name: "packs", prefix: "/packs/", service: "glide"}])
    await wait(SETTLED_MS)
    if (TROUBLE) {
      recorder.note("cut", {worker: holder.id})
      holder.link.setCut(true)
      const killed = leader()
      killed?.kill()
      await wait(3500)
      killed?.start()
      await wait(CUT_MS - 3500)
      recorder.note("healed", {worker: holder.id})
      holder.link.setCut(false)
    }
    await wait(WATCHED_MS)
    for (const instance of instances) await client.call(instance, "GET", `/packs/${id}`)
    return overlaps().length > 0
  },
)
