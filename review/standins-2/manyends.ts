/**
 * Case 7: the store is down for some seconds while many short tasks run. Ends of tasks can't be noted meanwhile, and each
 * worker lists 500 of them at a time. No task may start again after a run of it has ended as done, if that end is noted.
 */
import {hasTrouble, openRecord, playCase} from "./scene.js"
import {pause} from "./http.js"
import type {Submission} from "./client.js"

const JOBS = 100
const TASKS = 50
const TASK_MS = 750
/** Thousandths of a core of one task. */
const TASK_CPU = 100
const OUTAGE_AFTER_MS = 1000
const OUTAGE_MS = 4500
const FINISH_MS = 14_000
const BATCH = 10

interface DoneEnd {
  readonly worker: string
  readonly attempt: number
  readonly at: number
  /** When `Observed` reached the end; undefined before. */
  notedAt: number | undefined
}

const record = openRecord()
const doneEnds = new Map<string, DoneEnd[]>()
/** Starts after a run of the task had ended as done. */
const repeated: {readonly task: string; readonly attempt: number; readonly after: DoneEnd}[] = []
/** When the leases of workers lapsed, by worker. */
const lapses = new Map<string, readonly number[]>()
let starts = 0

/** An end is taken note of unless the worker's lease lapsed between the two. */
function isTakenNoteOf({worker, at, notedAt}: DoneEnd): boolean {
  if (notedAt === undefined) return false
  return !(lapses.get(worker) ?? []).some(lapsedAt => lapsedAt >= at && lapsedAt <= notedAt)
}

await playCase(
  {
    instances: 4,
    workers: 3,
    processors: 16,
    onLapse(worker, at) {
      record.write(`worker ${worker}: the lease has lapsed`)
      lapses.set(worker, [...(lapses.get(worker) ?? []), at])
    },
    onEvent({at, type, worker, task, attempt, how}) {
      record.write(`worker ${worker}: ${type} ${task} attempt ${attempt} ${how}`)
      const ends = doneEnds.get(task) ?? []
      if (type === "start") {
        starts += 1
        const [after] = ends
        if (after) repeated.push({task, attempt, after})
      } else if (type === "end" && how === "done") {
        doneEnds.set(task, [...ends, {worker, attempt, at, notedAt: undefined}])
      } else if (type === "noted")
        for (const end of ends) if (end.worker === worker && end.attempt === attempt) end.notedAt ??= at
    },
  },
  async ({store, workers, client, queue, fleet}) => {
    const pipeline = [{Count: TASKS, Cpu: TASK_CPU, MemMb: 50, EstimateMs: TASK_MS}]
    record.write(`each job: ${JSON.stringify(pipeline)}`)
    const submissions: Submission[] = []
    for (let index = 0; index < JOBS; index += BATCH) {
      const batch = Array.from({length: BATCH}, () => client.submit(queue, pipeline, String(TASK_MS)))
      submissions.push(...(await Promise.all(batch)))
    }
    for (const {job, statuses} of submissions) record.write(`job ${job}: answers ${statuses.join(", ")}`)
    await pause(OUTAGE_AFTER_MS)
    if (hasTrouble()) {
      record.write("the store is down")
      store.setOutage("busy")
      await pause(OUTAGE_MS)
      store.setOutage("none")
      record.write("the store answers again")
    }
    await pause(FINISH_MS)
    const accepted = submissions.filter(({isAccepted}) => isAccepted)
    let unfinished = 0
    for (const {job} of accepted) {
      const state = await client.state(queue, job)
      if (state !== "completed") unfinished += 1
      record.write(`job ${job}: state ${state}`)
    }
    const broken = repeated.filter(({after}) => isTakenNoteOf(after))
    for (const {task, attempt, after} of broken)
      record.write(
        `TWICE ${task}: attempt ${attempt} started after attempt ${after.attempt} had ended as done at ${after.worker}`,
      )
    const lapsed = [...lapses.values()].reduce((sum, times) => sum + times.length, 0)
    const most = workers.map(worker => worker.mostUnnoted()).join(", ")
    record.write(`most ends listed and not noted, by worker: ${most}; leases lapsed: ${lapsed}`)
    record.write(`ends by themselves: ${fleet.instances.flatMap(({ownEnds}) => ownEnds()).join(", ")}`)
    record.write(
      `${accepted.length} of ${JOBS} jobs accepted, ${unfinished} not completed, ${starts} starts for ` +
        `${accepted.length * TASKS} tasks, ${broken.length} starts after an end that was noted`,
    )
    if (accepted.length === 0) throw new Error("No job was accepted.")
    return broken.length === 0
  },
)
