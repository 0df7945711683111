/**
 * Three of five instances, the leader among them, and one of four workers are lost for good at the same moment, and three
 * new instances come. Watches a job of lasting tasks, which had been accepted before, and of which some ran on the lost worker.
 */
import {mkdtempSync, rmSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {call, serveJson} from "../standins-3/http.js"
import {prepareMachines} from "../standins-3/instances.js"
import type {Instance} from "../standins-3/instances.js"
import {createRecorder, sleep} from "../standins-3/record.js"
import {createStore} from "../standins-3/store.js"
import {startWorker} from "../standins-3/worker.js"
import type {Worker} from "../standins-3/worker.js"

const HOST = "a.example"
const JOB = "00000000000000a1"
const INSTANCES = 5
const WORKERS = 4
const TASKS = 4
/** A worker's entry is removed after three heartbeat intervals of silence. */
const ENTRY_REMOVED_MS = 4500
/**
 * The rule: for 3 s a lasting task doesn't run, from 6 s after its last run, though there is capacity for it twice over,
 * and the 3 s and the 4 s before them are calm. The disruption ends when the new instances are up and the entry is gone.
 */
const AFTER_LAST_RUN_MS = 6000
const CALM_MS = 4000
const NOT_RUNNING_MS = 3000
const WATCHED_MS = 30_000
const hasTrouble = process.env.TROUBLE !== "0"

interface Leader {
  readonly name: string
}

async function main(): Promise<number> {
  const recorder = createRecorder()
  const folder = mkdtempSync(join(tmpdir(), "review-13-"))
  const store = createStore()
  store.put("op/config", {
    Version: 1,
    Routes: [
      {
        Name: "board",
        Host: HOST,
        Prefix: "/board/",
        Service: "crease",
        Priority: 1,
        Attempts: 4,
        SlackFactor: 3,
        TargetLatencyMs: 2500,
      },
    ],
    Services: [{Name: "crease", Preconditions: false}],
    Limits: {MaxBodyBytes: 262_144},
  })
  const storeListener = await store.serve("127.0.0.1")
  const advice = await serveJson("127.0.0.1", () => ({status: 200, body: {Good: []}}))
  const workers = await Promise.all(
    Array.from({length: WORKERS}, (_, index) =>
      startWorker("127.0.0.1", store, {
        id: `i-00000000${index + 1}`,
        service: "crease",
        capacity: {Cpu: 16_000, MemMb: 32_768, Gpu: 0},
        rack: `r${index + 1}`,
        planOf: () => ({ms: 600_000, how: "done"}),
        onEvent: event => recorder.note(`worker ${event}`),
      }),
    ),
  )
  const machines = await prepareMachines(folder, storeListener.address, advice.address)
  const instances: Instance[] = []
  let broken = false
  try {
    instances.push(
      ...(await Promise.all(Array.from({length: INSTANCES}, (_, index) => machines.start(index + 1)))),
    )
    recorder.note(`${INSTANCES} instances are ready`)
    const job = {
      Spec: "board",
      Pipeline: [{Count: TASKS, Cpu: 4000, MemMb: 4096, EstimateMs: 340, AntiAffinity: 2, LongRunning: true}],
    }
    const submitted = await call(instances[0]?.callers ?? "", "POST", `/board/${JOB}`, {
      host: HOST,
      body: job,
      timeout: 3000,
    })
    recorder.note(`POST /board/${JOB} is answered ${submitted.status}`)
    if (submitted.status !== 200) return 2
    // Long enough for the leader to have recorded its followers.
    await sleep(6000)
    const lost = new Set<Worker>()
    const isRunning = (index: number): boolean =>
      workers.some(worker => !lost.has(worker) && worker.runningTasks().includes(`${JOB}.0.0.${index}`))
    const all = Array.from({length: TASKS}, (_, index) => index)
    if (!all.every(isRunning)) return 2
    const leader = (JSON.parse(store.get("lacewing/leader") ?? "{}") as Leader).name
    recorder.note(`${leader} leads, all ${TASKS} tasks run`)
    const lostAt = performance.now()
    if (hasTrouble) {
      const followers = instances.filter(({name}) => name !== leader)
      const gone = [...instances.filter(({name}) => name === leader), ...followers.slice(0, 2)]
      const victim = workers.find(worker => worker.runningTasks().length > 0)
      if (!victim) return 2
      lost.add(victim)
      victim.close()
      await Promise.all(gone.map(instance => instance.kill()))
      recorder.note(`lost for good: ${gone.map(({name}) => name).join(", ")} and worker ${victim.id}`)
      const added = await Promise.all([1, 2, 3].map(number => machines.start(INSTANCES + number)))
      instances.push(...added)
      recorder.note(`new instances are ready: ${added.map(({name}) => name).join(", ")}`)
      await sleep(Math.max(0, lostAt + ENTRY_REMOVED_MS - performance.now()))
      store.remove(`servers/${victim.id}`)
      recorder.note("the platform has removed the entry of the lost worker")
    }
    const calmSince = performance.now()
    const missingSince = new Map<number, number>()
    const reported = new Set<number>()
    while (performance.now() - calmSince < WATCHED_MS) {
      const now = performance.now()
      for (const index of all) {
        if (isRunning(index)) {
          if (reported.delete(index))
            recorder.note(`task ${index} runs again, ${Math.round(now - lostAt)} ms after the loss`)
          missingSince.delete(index)
          continue
        }
        const since =
          missingSince.get(index) ?? Math.max(now, lostAt + AFTER_LAST_RUN_MS, calmSince + CALM_MS)
        missingSince.set(index, since)
        if (now - since < NOT_RUNNING_MS || reported.has(index)) continue
        reported.add(index)
        broken = true
        recorder.note(`LOST: task ${index} has not run for 3 s, with room for it on the three other workers`)
      }
      await sleep(50)
    }
    const state = await call(instances.at(-1)?.callers ?? "", "GET", `/board/${JOB}`, {
      host: HOST,
      timeout: 3000,
    })
    recorder.note(`GET /board/${JOB} is answered ${state.status} ${JSON.stringify(state.body)}`)
    recorder.note(broken ? "the rule was broken" : "the rule held")
    return broken ? 1 : 0
  } finally {
    await Promise.all(instances.map(instance => instance.kill()))
    for (const worker of workers) worker.close()
    storeListener.close()
    advice.close()
    recorder.save(process.argv[2] ?? "record.txt")
    rmSync(folder, {recursive: true, force: true})
  }
}

main().then(
  code => process.exit(code),
  (error: unknown) => {
    process.stderr.write(`${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`)
    process.exit(2)
  },
)
