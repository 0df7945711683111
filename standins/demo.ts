/** `npm run demo`: a trial environment under a bounded load, with a crash and a planned stop, and its verdict. */
import {writeFileSync} from "node:fs"
import {Command, InvalidArgumentError} from "commander"
import pino from "pino"
import {sleep} from "../src/core/clock.js"
import type {Milliseconds} from "../src/core/clock.js"
import {exponential, seededRandom} from "../src/core/random.js"
import type {Random} from "../src/core/random.js"
import {DEPLOYMENTS} from "./deployments.js"
import type {Deployment} from "./deployments.js"
import {loadClient} from "./load.js"
import type {AskedJob, LoadClient} from "./load.js"
import {shippedDocument, startTrial} from "./trial.js"
import type {TrialEnvironment} from "./trial.js"
import {judge} from "./verdict.js"
import type {Verdict} from "./verdict.js"

interface DemoOptions {
  readonly environment: string
  readonly seed: number
  readonly json: boolean
  readonly rolling: boolean
  readonly log?: string
}

interface Measures {
  readonly startedIn: Milliseconds
  readonly packing: number
  readonly storeCallsPerSecond: number
  readonly storeWritesPerSecond: number
  readonly controlBytesPerSecond: number
}

const LOAD_MS: Milliseconds = 14_000
const CREST_FROM_MS: Milliseconds = 5000
const CREST_TO_MS: Milliseconds = 7000
const KILL_AT_MS: Milliseconds = 4000
const STOP_AT_MS: Milliseconds = 8000
const REQUESTS_PER_SECOND = 120
const CREST_FACTOR = 6
const JOBS_PER_SECOND = 5
const FOLLOW_MS: Milliseconds = 12_000
const READY_WITHIN_MS: Milliseconds = 10_000
const DEADLINE_MS: Milliseconds = 3000
const REPLACEMENT_PAUSE_MS: Milliseconds = 300

function requestKind(random: Random): "short" | "long" | "receipt" {
  const draw = random.next()
  if (draw < 0.82) return "short"
  return draw < 0.92 ? "receipt" : "long"
}

function askOne(client: LoadClient, deployment: Deployment, random: Random): Promise<unknown> {
  const kind = requestKind(random)
  if (kind === "long") return client.ask(kind, deployment.longService, deployment.longWork, DEADLINE_MS * 2)
  const service = kind === "receipt" ? deployment.receiptService : deployment.shortService
  return client.ask(kind, service, deployment.shortWork, DEADLINE_MS)
}

function jobBody(
  deployment: Deployment,
  kind: AskedJob["kind"],
  random: Random,
): Readonly<Record<string, unknown>> {
  const {jobs, teams} = deployment
  const team = teams[random.below(teams.length)]
  const run = Math.round(jobs.batchRun * (random.next() < 0.03 ? 4 : 0.5 + random.next()))
  const payload = JSON.stringify({run})
  switch (kind) {
    case "batch":
      return {
        team,
        workload: jobs.batch,
        tasks: 1 + random.below(6),
        demand: jobs.batchDemand,
        declaredRun: jobs.batchRun,
        payload,
      }
    case "gang":
      return {
        team,
        workload: jobs.gang,
        tasks: jobs.gangTasks,
        demand: jobs.gangDemand,
        payload: JSON.stringify({run: jobs.gangRun}),
      }
    case "service":
      return {team, workload: jobs.service, tasks: 3, demand: jobs.serviceDemand}
    case "once":
      return {team, workload: jobs.once, tasks: 1 + random.below(3), demand: jobs.onceDemand, payload}
    case "urgent":
      return {
        team,
        workload: jobs.urgent,
        tasks: 1,
        demand: jobs.batchDemand,
        payload: JSON.stringify({run: 300}),
      }
  }
}

function jobKind(random: Random): AskedJob["kind"] {
  const draw = random.next()
  if (draw < 0.5) return "batch"
  if (draw < 0.65) return "gang"
  if (draw < 0.72) return "service"
  return draw < 0.9 ? "once" : "urgent"
}

async function requestLoad(client: LoadClient, environment: TrialEnvironment, random: Random): Promise<void> {
  const {clock, deployment} = environment
  const startedAt = clock.now()
  const open: Promise<unknown>[] = []
  for (;;) {
    const at = clock.now() - startedAt
    if (at >= LOAD_MS) break
    const crest = at >= CREST_FROM_MS && at < CREST_TO_MS
    await sleep(clock, exponential(random, 1000 / (REQUESTS_PER_SECOND * (crest ? CREST_FACTOR : 1))))
    open.push(askOne(client, deployment, random))
  }
  await Promise.all(open)
}

async function jobLoad(client: LoadClient, environment: TrialEnvironment, random: Random): Promise<void> {
  const {clock, deployment} = environment
  const startedAt = clock.now()
  const followed: Promise<void>[] = []
  while (clock.now() - startedAt < LOAD_MS) {
    await sleep(clock, exponential(random, 1000 / JOBS_PER_SECOND))
    const kind = jobKind(random)
    followed.push(runJob(client, environment, kind, jobBody(deployment, kind, random)))
  }
  await Promise.all(followed)
}

/** Submits a job and follows it to its end. Long-lived services are cancelled after a while. */
async function runJob(
  client: LoadClient,
  environment: TrialEnvironment,
  kind: AskedJob["kind"],
  body: Readonly<Record<string, unknown>>,
): Promise<void> {
  const job = await client.submit(kind, body)
  if (!job.accepted) return
  if (kind === "service") {
    await sleep(environment.clock, LOAD_MS / 2)
    await client.cancel(job)
  }
  await client.follow(job, FOLLOW_MS + LOAD_MS)
}

/** Replaces all instances one after another, each by a new one that is started first. */
async function replaceAll(environment: TrialEnvironment): Promise<void> {
  const names = [...environment.entries.keys()]
  for (const [index, name] of names.entries()) {
    await environment.startEntry(`next-${index + 1}`)
    await sleep(environment.clock, REPLACEMENT_PAUSE_MS)
    await environment.stopEntry(name)
  }
}

async function disturb(environment: TrialEnvironment): Promise<void> {
  await sleep(environment.clock, KILL_AT_MS)
  await environment.killEntry("entry-3")
  await sleep(environment.clock, STOP_AT_MS - KILL_AT_MS)
  await environment.stopEntry("entry-6")
}

/** Mean share of used processors on the workers that are in use. */
async function samplePacking(environment: TrialEnvironment, isDone: () => boolean): Promise<number> {
  let sum = 0
  let samples = 0
  while (!isDone()) {
    await sleep(environment.clock, 200)
    for (const [name, worker] of environment.workers) {
      const used = worker.core.used().processors
      const pool = environment.deployment.pools.find(entry => name.startsWith(entry.pool))
      if (used <= 0 || !pool) continue
      sum += used / pool.capacity.processors
      samples += 1
    }
  }
  return samples > 0 ? sum / samples : 0
}

async function startInstances(environment: TrialEnvironment): Promise<Milliseconds> {
  const startedAt = environment.clock.now()
  const names = Array.from(
    {length: environment.deployment.entryInstances},
    (_, index) => `entry-${index + 1}`,
  )
  await Promise.all(names.map(environment.startEntry))
  environment.list.settle()
  await environment.promote(shippedDocument(environment.deployment))
  if (!(await environment.untilReady(READY_WITHIN_MS)))
    throw new RangeError("The trial environment did not become ready in time.")
  return environment.clock.now() - startedAt
}

async function run(
  environment: TrialEnvironment,
  seed: number,
  rolling: boolean,
): Promise<{readonly verdict: Verdict; readonly measures: Measures}> {
  const {clock} = environment
  const startedIn = await startInstances(environment)
  const client = loadClient({clock, random: seededRandom(seed), address: environment.balancer.address})
  const startedAt = clock.now()
  const callsBefore = environment.store.calls()
  const writesBefore = environment.store.core.writes()
  const bytesBefore = new Map([...environment.entries].map(([name, entry]) => [name, entry.controlBytes()]))
  let done = false
  const packing = samplePacking(environment, () => done)
  await Promise.all([
    requestLoad(client, environment, seededRandom(seed + 1)),
    jobLoad(client, environment, seededRandom(seed + 2)),
    rolling ? replaceAll(environment) : disturb(environment),
  ])
  done = true
  const seconds = (clock.now() - startedAt) / 1000
  const bytes = [...environment.entries].map(
    ([name, entry]) => entry.controlBytes() - (bytesBefore.get(name) ?? 0),
  )
  const measures = {
    startedIn,
    packing: await packing,
    storeCallsPerSecond: (environment.store.calls() - callsBefore) / seconds,
    storeWritesPerSecond: (environment.store.core.writes() - writesBefore) / seconds,
    controlBytesPerSecond: bytes.reduce((sum, count) => sum + count, 0) / bytes.length / seconds,
  }
  const verdict = judge(environment.truth, client.requests(), client.jobs())
  await client.close()
  return {verdict, measures}
}

function pad(value: string | number, width: number): string {
  const text = typeof value === "number" ? value.toFixed(0) : value
  return typeof value === "number" ? text.padStart(width) : text.padEnd(width)
}

function printTable(options: DemoOptions, verdict: Verdict, measures: Measures): void {
  const line = (...cells: readonly (string | number)[]): string =>
    cells.map((cell, index) => pad(cell, index === 0 ? 18 : 10)).join("")
  const out: string[] = [`lacewingstream demo: ${options.environment}, seed ${options.seed}`, ""]
  out.push(line("class", "     asked", "  answered", "   not run", "   unknown", "  p50 ms", "    p99 ms"))
  for (const row of verdict.rows)
    out.push(line(row.kind, row.asked, row.answered, row.notRun, row.unknown, row.p50, row.p99))
  out.push(
    "",
    "p50 and p99: of requests the time to the whole answer, of jobs the wait for the first start",
    "",
  )
  const findings: readonly (readonly [string, readonly string[]])[] = [
    ["doubled", verdict.doubled],
    ["lost", verdict.lost],
    ["oversubscribed", verdict.oversubscribed],
    ["untrue not run", verdict.untrue],
    ["wrong answers", verdict.wrongAnswers],
  ]
  for (const [name, list] of findings) {
    out.push(`${pad(name, 28)}${list.length}`)
    for (const text of list.slice(0, 5)) out.push(`  ${text}`)
  }
  out.push(`${pad("started and ready in", 28)}${(measures.startedIn / 1000).toFixed(1)} s`)
  out.push(`${pad("packing of workers in use", 28)}${(measures.packing * 100).toFixed(0)} %`)
  out.push(
    `${pad("store calls a second", 28)}${measures.storeCallsPerSecond.toFixed(1)} (${measures.storeWritesPerSecond.toFixed(1)} writes)`,
  )
  out.push(
    `${pad("control bytes a second", 28)}${measures.controlBytesPerSecond.toFixed(0)} for each instance, under load`,
  )
  process.stdout.write(`${out.join("\n")}\n`)
}

function seedArgument(text: string): number {
  const seed = Number(text)
  if (!Number.isInteger(seed) || seed < 0)
    throw new InvalidArgumentError("Give a whole number of at least 0.")
  return seed
}

async function main(): Promise<void> {
  const program = new Command("demo")
    .description("Runs a trial environment under load and judges it by the stand-ins' own record.")
    .option("--environment <name>", "foldwind or korkkreis", "foldwind")
    .option("--seed <number>", "seed of the load", seedArgument, 1)
    .option("--json", "print JSON", false)
    .option("--rolling", "replace all instances in turn, instead of a crash and a stop", false)
    .option("--log <file>", "write the decision log to a file")
    .parse()
  const options = program.opts<DemoOptions>()
  const deployment = DEPLOYMENTS[options.environment]
  if (!deployment)
    program.error(
      `There is no environment "${options.environment}": use ${Object.keys(DEPLOYMENTS).join(" or ")}.`,
    )
  else process.exitCode = await runDemo(options, deployment)
}

async function runDemo(options: DemoOptions, deployment: Deployment): Promise<number> {
  const destination =
    options.log === undefined ? undefined : pino.destination({dest: options.log, sync: false})
  const log = destination ? pino({level: "info"}, destination) : pino({level: "silent"})
  const environment = await startTrial(deployment, options.seed, instance => log.child({instance}))
  try {
    const {verdict, measures} = await run(environment, options.seed, options.rolling)
    if (options.json)
      process.stdout.write(
        `${JSON.stringify({environment: options.environment, seed: options.seed, verdict, measures})}\n`,
      )
    else printTable(options, verdict, measures)
    const faults = [
      verdict.doubled,
      verdict.lost,
      verdict.oversubscribed,
      verdict.untrue,
      verdict.wrongAnswers,
    ]
    return faults.some(list => list.length > 0) ? 1 : 0
  } finally {
    await environment.close()
  }
}

void main()
  .catch((error: unknown) => {
    writeFileSync(2, `${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`)
    process.exitCode = 3
  })
  .finally(() => {
    setTimeout(() => process.exit(), 500).unref()
  })
