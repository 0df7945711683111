/**
 * Teams hand in schedules: a small job once a minute for a week. Without trouble, the same jobs run ten times each. All
 * are accepted, and nothing else happens.
 */
import {drawId, runCase, TROUBLE} from "../standins/deployment.js"
import {wait} from "../standins/network.js"

const TEAMS = 20
const MINUTES_OF_A_WEEK = 10_080
const FEW_TIMES = 10
const FIRST_DUE_MS = 8000
/** `finish_s`, many times over for a task of half a second. */
const WATCHED_MS = 45_000

const started = new Set<string>()

await runCase(
  {
    folder: "review/1",
    instances: 3,
    workers: ["w1", "w2", "w3"].map(id => ({
      id,
      service: "crease",
      capacity: {Cpu: 16_000, MemMb: 32_768, Gpu: 0},
      labels: ["a", "r1"],
      upFor: 600_000,
      workOf: () => 500,
    })),
    queues: [{name: "packs", prefix: "/packs/", service: "crease"}],
    events: {onStart: (_worker, task) => void started.add(task.split(".")[0] ?? "")},
  },
  async ({client, instances, workers, recorder}) => {
    const accepted: string[] = []
    for (let team = 0; team < TEAMS; team += 1) {
      const id = drawId()
      const isAccepted = await client.submit(instances, `/packs/${id}`, {
        Spec: `the schedule of team ${team}`,
        Pipeline: [{Count: 5, Cpu: 100, MemMb: 50, EstimateMs: 500}],
        RepeatCount: TROUBLE ? MINUTES_OF_A_WEEK : FEW_TIMES,
        StartAtMs: Date.now() + FIRST_DUE_MS,
        IntervalMs: 60_000,
      })
      if (isAccepted) accepted.push(id)
    }
    recorder.note("accepted", {count: accepted.length})
    await wait(WATCHED_MS)
    const first = accepted[0] ?? ""
    for (const instance of instances) await client.call(instance, "GET", `/packs/${first}`)
    const ends = instances.map(instance => ({name: instance.name, ends: instance.ownEnds()}))
    recorder.note("ended by themselves", {ends})
    if (accepted.length === 0) throw new Error("No job was accepted.")
    const waiting = accepted.filter(id => !started.has(id))
    const running = workers.flatMap(worker => worker.running())
    recorder.note("due and never started", {jobs: waiting.length, tasksOfOthersThatRun: running.length})
    return waiting.length > 0 && running.length === 0
  },
)
