/**
 * Plays a case in which one entry of another writer stands among those of the workers. Jobs are handed in on a calm system,
 * and the workers are idle, so each accepted job has to be started.
 */
import {pause} from "./http.js"
import {createIdleWatch} from "./idlewatch.js"
import {playCase} from "./scene.js"
import type {Record} from "./scene.js"
import type {Store} from "./store.js"
import type {WorkerEvent} from "./worker.js"

const JOBS = 15
/** No job is handed in later than this, so that the script ends in time. */
const TRAFFIC_LIMIT_MS = 45_000
const JOB_PAUSE_MS = 400
/** How long after the end of the traffic jobs are asked for. */
const FINISH_MS = 14_000
const TASK_MS = 750
const TASKS = 4
const TASK_CPU = 1500
const WORKERS = 6
const PROCESSORS = 16

/** `prepare` writes the entry before the instances start. */
export async function playIdleCase(
  record: Record,
  prepare: (store: Store, note: (event: WorkerEvent) => void) => void | Promise<void>,
): Promise<void> {
  const watch = createIdleWatch(TASKS, Math.floor((WORKERS * PROCESSORS * 1000) / TASK_CPU))

  function note(event: WorkerEvent): void {
    const {type, worker, task, attempt, how} = event
    record.write(`worker ${worker}: ${type} ${task} attempt ${attempt} ${how}`)
    watch.onEvent(event)
  }

  await playCase(
    {
      instances: 4,
      workers: WORKERS,
      processors: PROCESSORS,
      prepare: store => prepare(store, note),
      onEvent: note,
    },
    async ({client, queue, fleet, store}) => {
      const pipeline = [{Count: TASKS, Cpu: TASK_CPU, MemMb: 1000, EstimateMs: TASK_MS}]
      record.write(`each job: ${JSON.stringify(pipeline)}`)
      const accepted: string[] = []
      const until = performance.now() + TRAFFIC_LIMIT_MS
      for (let index = 0; index < JOBS && performance.now() < until; index += 1) {
        const {job, statuses, isAccepted} = await client.submit(queue, pipeline, String(TASK_MS))
        record.write(`job ${job}: answers ${statuses.join(", ")}`)
        if (isAccepted) {
          accepted.push(job)
          watch.accept(job)
        }
        await pause(JOB_PAUSE_MS)
      }
      await pause(FINISH_MS)
      const idle = await watch.findIdleJobs()
      let unfinished = 0
      for (const job of accepted) {
        const state = await client.state(queue, job)
        if (state !== "completed") unfinished += 1
        const [started, done] = [watch.countStarted(job), watch.countDone(job)]
        record.write(
          `job ${job}: state ${state}, ${started} of ${TASKS} tasks started, ${done} done` +
            (idle.includes(job) ? ", idle for 3 s" : ""),
        )
      }
      record.write(`most tasks running at once in these 3 s: ${watch.mostRunning()}`)
      record.write(`transactions at the store by status: ${JSON.stringify(store.transactions())}`)
      record.write(`ends by themselves: ${fleet.instances.flatMap(({ownEnds}) => ownEnds()).join(", ")}`)
      record.write(
        `${accepted.length} of ${JOBS} jobs accepted, ${unfinished} not completed, ${idle.length} idle for 3 s ` +
          "beside idle workers",
      )
      if (accepted.length === 0) throw new Error("No job was accepted.")
      return idle.length === 0
    },
  )
}
