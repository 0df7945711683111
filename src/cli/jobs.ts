/** The commands on jobs (submit, explain, cancel) and the status command. */
import {randomUUID} from "node:crypto"
import {readFileSync} from "node:fs"
import type {InstanceStatus} from "../entry/status.js"
import {describeError} from "../core/errors.js"
import type {ApiClient, ApiReply} from "./client.js"
import {EXIT} from "./exitcodes.js"
import type {ExitCode} from "./exitcodes.js"
import {exitCodeFor, printProblem} from "./output.js"
import type {Output} from "./output.js"

export interface JobOptions {
  readonly json: boolean
}

interface JobView {
  readonly job: string
  readonly team: string
  readonly workload: string
  readonly state: string
  readonly execution: string
  readonly counts: Readonly<Record<string, number>>
  readonly tasks: readonly {
    readonly index: number
    readonly state: string
    readonly detail: string
    readonly worker: string
  }[]
  readonly explanation: readonly string[]
}

function printJob(reply: ApiReply, options: JobOptions, output: Output): void {
  if (options.json) {
    output.line(JSON.stringify(reply.body))
    return
  }
  const job = reply.body as unknown as JobView
  const counts = Object.entries(job.counts).map(([state, count]) => `${count} ${state}`)
  output.line(`${job.job}  ${job.workload} of ${job.team}: ${job.state}; ${counts.join(", ")}`)
  for (const reason of job.explanation) output.line(`  waits because ${reason}`)
}

async function printReply(
  reply: Awaited<ReturnType<ApiClient["call"]>>,
  options: JobOptions,
  output: Output,
): Promise<ExitCode> {
  if (reply.isErr()) {
    output.error(reply.error.message)
    return Promise.resolve(reply.error.certainty === "unknown" ? EXIT.unknown : EXIT.unreachable)
  }
  if (reply.value.status >= 400) printProblem(output, reply.value)
  else printJob(reply.value, options, output)
  return Promise.resolve(exitCodeFor(reply.value))
}

/** `submit FILE`: submits a job, as JSON. The idempotency key makes it safe to repeat the command. */
export async function submitJob(
  file: string,
  client: ApiClient,
  options: JobOptions & {readonly key?: string},
  output: Output,
): Promise<ExitCode> {
  try {
    const body: unknown = JSON.parse(readFileSync(file, "utf8"))
    return await printReply(
      await client.call("POST", "/jobs", body, options.key ?? randomUUID()),
      options,
      output,
    )
  } catch (error) {
    output.error(`${file}: ${describeError(error)}`)
    return EXIT.invalid
  }
}

/** `explain JOB`: prints the state of each task and why the job waits. */
export async function explainJob(
  job: string,
  client: ApiClient,
  options: JobOptions,
  output: Output,
): Promise<ExitCode> {
  const reply = await client.call("GET", `/jobs/${encodeURIComponent(job)}`)
  const code = await printReply(reply, options, output)
  if (options.json || reply.isErr() || reply.value.status >= 400) return code
  for (const task of (reply.value.body as unknown as JobView).tasks) {
    const place = task.worker === "" ? "" : ` on ${task.worker}`
    output.line(`  task ${task.index}: ${task.state}${place}${task.detail === "" ? "" : `, ${task.detail}`}`)
  }
  return code
}

export async function cancelJob(
  job: string,
  client: ApiClient,
  options: JobOptions,
  output: Output,
): Promise<ExitCode> {
  return printReply(await client.call("DELETE", `/jobs/${encodeURIComponent(job)}`), options, output)
}

function printStatus(status: InstanceStatus, output: Output): void {
  const permission = status.mayAct ? "may act" : `may not act: ${status.reasonNotToAct}`
  output.line(`${status.instance} in ${status.dataCentre}, document ${status.documentNumber}, ${permission}`)
  const oldestDocument = status.members.reduce(
    (least, member) => Math.min(least, member.documentNumber),
    status.documentNumber,
  )
  output.line(`  ${status.members.length} members; the oldest document in use is ${oldestDocument}`)
  for (const group of status.workerGroups) {
    const open = group.workers.filter(worker => worker.open).length
    const tasks = group.workers.reduce((sum, worker) => sum + worker.tasks, 0)
    output.line(
      `  ${group.group}  epoch ${group.epoch}  ${open} of ${group.workers.length} workers open  ${tasks} tasks  ${group.waiting} waiting`,
    )
  }
  for (const group of status.jobGroups) {
    output.line(
      `  ${group.group}  epoch ${group.epoch}  ${group.waiting} waiting  ${group.inFlight} in flight  ${group.jobs} jobs`,
    )
  }
  for (const service of status.services) {
    const {service: name, waiting, slotsHeld, asked, ran, notRun, unknown} = service
    output.line(
      `  ${name}  ${waiting} waiting  ${slotsHeld} slots  ${asked} asked  ${ran} ran  ${notRun} not run  ${unknown} unknown`,
    )
  }
  for (const finding of status.findings) output.line(`  ! ${finding}`)
}

/** `status`: prints the state that one instance reports. Exits with `refused` when the report has findings. */
export async function showStatus(client: ApiClient, options: JobOptions, output: Output): Promise<ExitCode> {
  const reply = await client.call("GET", "/status")
  if (reply.isErr()) {
    output.error(reply.error.message)
    return EXIT.unreachable
  }
  const status = reply.value.body as unknown as InstanceStatus
  if (options.json) output.line(JSON.stringify(status))
  else printStatus(status, output)
  return status.findings.length > 0 ? EXIT.refused : EXIT.ok
}
