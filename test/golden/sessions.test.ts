/**
 * Snapshot tests of whole sessions under a virtual clock: for each kind of work, the answer to the caller, the main
 * decisions in the log, and the violated rules, of which there must be none.
 */
import test from "ava"
import type {Logger} from "../../src/core/logger.js"
import {readyCluster} from "../support/cluster.js"
import type {Cluster} from "../support/cluster.js"

const RECORDED_EVENTS = new Set([
  "job-accepted",
  "placement",
  "preemption",
  "gang-committed",
  "attempt-ended",
  "straggler",
])
const RECORDED_FIELDS = [
  "jobGroup",
  "team",
  "workload",
  "tasks",
  "group",
  "groups",
  "task",
  "attempt",
  "worker",
  "victims",
  "result",
  "outcome",
  "next",
]

function createRecorder(lines: string[]): Logger {
  const recordEvent = (fields: object): void => {
    const record = fields as Readonly<Record<string, unknown>>
    const event = String(record.event)
    if (!RECORDED_EVENTS.has(event)) return
    const shown = RECORDED_FIELDS.filter(field => record[field] !== undefined).map(
      field => `${field}=${JSON.stringify(record[field])}`,
    )
    lines.push(`${event} ${shown.join(" ")}`)
  }
  return {debug: recordEvent, info: recordEvent, warn: recordEvent, error: recordEvent}
}

const CAPACITY = {processors: 8, memoryMebibytes: 8192, accelerators: 2}

async function runSession(seed: number, steps: (cluster: Cluster) => Promise<unknown>): Promise<unknown> {
  const lines: string[] = []
  const options = {
    instances: 3,
    racks: 2,
    workersPerRack: 2,
    capacity: CAPACITY,
    seed,
    jobGroups: 2,
    log: createRecorder(lines),
  }
  const cluster = await readyCluster(options)
  const answer = await steps(cluster)
  const violations = cluster.violations()
  cluster.close()
  return {answer, lines, violations}
}

function createJobRequest(
  workload: string,
  tasks: number,
  processors: number,
  run: number,
  team = "red",
): object {
  const demand = {processors, memoryMebibytes: processors * 512, accelerators: 0}
  return {team, workload, tasks, demand, payload: JSON.stringify({run})}
}

test("a batch job", async t => {
  t.snapshot(
    await runSession(51, async cluster => {
      const {body} = await cluster.submit(createJobRequest("batch", 5, 2, 800), "batch-key")
      await cluster.advance(4000)
      return cluster.get(body.job)
    }),
  )
})

test("a gang that waits until all of its tasks have room", async t => {
  t.snapshot(
    await runSession(52, async cluster => {
      await cluster.submit(createJobRequest("batch", 3, 6, 2500, "blue"), "filler-key")
      await cluster.advance(500)
      const {body} = await cluster.submit(createJobRequest("gang", 4, 4, 900), "gang-key")
      await cluster.advance(8000)
      return cluster.get(body.job)
    }),
  )
})

test("a service that is replaced when its worker restarts, and cancelled in the end", async t => {
  t.snapshot(
    await runSession(53, async cluster => {
      const {body} = await cluster.submit(createJobRequest("service", 3, 1, 0), "service-key")
      await cluster.advance(2000)
      const [first] = cluster.truth.tasks()
      cluster.workers.get(first?.worker ?? "")?.crash()
      await cluster.advance(4000)
      await cluster.cancel(body.job)
      await cluster.advance(3000)
      return cluster.get(body.job)
    }),
  )
})

test("a job that may run at most once and fails", async t => {
  t.snapshot(
    await runSession(54, async cluster => {
      const request = {...createJobRequest("once", 2, 1, 0), payload: JSON.stringify({fail: true})}
      const {body} = await cluster.submit(request, "once-key")
      await cluster.advance(4000)
      return cluster.get(body.job)
    }),
  )
})

test("urgent work on a full cell", async t => {
  t.snapshot(
    await runSession(55, async cluster => {
      const filler = await cluster.submit(createJobRequest("batch", 4, 8, 9000, "blue"), "full-key")
      await cluster.advance(3000)
      const {body} = await cluster.submit(createJobRequest("urgent", 1, 4, 500), "urgent-key")
      await cluster.advance(30_000)
      return [await cluster.get(body.job), await cluster.get(filler.body.job)]
    }),
  )
})

test("a cancellation tells what never started from what was stopped", async t => {
  t.snapshot(
    await runSession(56, async cluster => {
      const {body} = await cluster.submit(createJobRequest("batch", 6, 8, 9000), "cancel-key")
      await cluster.advance(1500)
      await cluster.cancel(body.job)
      await cluster.advance(2000)
      return cluster.get(body.job)
    }),
  )
})

test("a job that can never run is refused with what would have to change", async t => {
  t.snapshot(
    await runSession(57, async cluster => {
      const large = await cluster.submit(createJobRequest("batch", 1, 64, 100), "large-key")
      const wide = await cluster.submit(createJobRequest("gang", 40, 4, 100), "wide-key")
      return [large, wide]
    }),
  )
})
