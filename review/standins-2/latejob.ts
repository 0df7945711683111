/**
 * Case 9: while the store is silent for a second, two of five clients leave without an answer to their submission and cancel
 * the job. A job whose cancelling was answered with 2xx or 410 may not be at work when cancel_ms and StopGraceMs have passed
 * since.
 */
import {pause} from "./http.js"
import {hasTrouble, openRecord, playCase} from "./scene.js"

const JOBS = 60
const JOB_PAUSE_MS = 8
/** Of this many clients, `LEAVING` leave. */
const GROUP = 5
const LEAVING = 2
const PATIENCE_MS = 450
const OUTAGE_MS = 1000
const CANCEL_TRIES = 3
const TASK_MS = 40_000
const CANCEL_MS = 3000
const STOP_GRACE_MS = 900
const CONTACT_MS = 3000

const record = openRecord()
const running = new Set<string>()

await playCase(
  {
    instances: 4,
    workers: 3,
    processors: 16,
    onEvent({type, worker, task, attempt, how}) {
      record.write(`worker ${worker}: ${type} ${task} attempt ${attempt} ${how}`)
      const run = `${task} attempt ${attempt} at ${worker}`
      if (type === "start") running.add(run)
      else if (type === "end") running.delete(run)
    },
  },
  async ({store, client, queue}) => {
    const pipeline = [{Count: 1, Cpu: 500, MemMb: 100, EstimateMs: TASK_MS}]
    record.write(`each job: ${JSON.stringify(pipeline)}`)
    /** When the cancelling of a job was answered, by job. */
    const cancelledAt = new Map<string, number>()

    async function leaveAndCancel(): Promise<void> {
      const {job, status} = await client.submitAndLeave(queue, pipeline, String(TASK_MS), PATIENCE_MS)
      record.write(`job ${job}: submission answered with ${status}`)
      for (let tries = 0; tries < CANCEL_TRIES; tries += 1) {
        const answer = await client.cancel(queue, job)
        record.write(`job ${job}: cancelling answered with ${answer}`)
        if (answer !== 200 && answer !== 410) continue
        cancelledAt.set(job, performance.now())
        return
      }
    }

    async function stay(): Promise<void> {
      const {job, statuses} = await client.submit(queue, pipeline, String(TASK_MS))
      record.write(`job ${job}: answers ${statuses.join(", ")}`)
    }

    if (hasTrouble()) {
      record.write("the store is silent")
      store.setOutage("silent")
    }
    const outageEndsAt = performance.now() + OUTAGE_MS
    const calls: Promise<void>[] = []
    for (let index = 0; index < JOBS; index += 1) {
      calls.push(index % GROUP < LEAVING ? leaveAndCancel() : stay())
      await pause(JOB_PAUSE_MS)
    }
    await pause(outageEndsAt - performance.now())
    store.setOutage("none")
    record.write("the store answers")
    await Promise.all(calls)
    await pause(CONTACT_MS + CANCEL_MS + STOP_GRACE_MS)
    const broken = [...cancelledAt].filter(([job]) => [...running].some(run => run.startsWith(job)))
    for (const [job, at] of broken) {
      const writtenBy = store.writtenBy(`lacewing/work/job/${job}`)
      const sentAfter = writtenBy === undefined ? "" : `, ${Math.round(writtenBy - at)} ms after that`
      record.write(
        `UNASKED ${job}: at work though its cancelling was answered; the write that stored it came${sentAfter}`,
      )
    }
    record.write(`${cancelledAt.size} of ${JOBS} jobs cancelled, ${broken.length} of these at work`)
    if (cancelledAt.size === 0) throw new Error("No cancelling was answered.")
    return broken.length === 0
  },
)
