#!/usr/bin/env node
/** The command line: parses commands and options and calls the function that implements each command. */
import {userInfo} from "node:os"
import {Command, InvalidArgumentError} from "commander"
import {apiClient} from "./client.js"
import type {ApiClient} from "./client.js"
import {checkDocument, diffFiles, printHistory, promoteDocument, readFile, tryDocument} from "./documents.js"
import {runEntry} from "./entry.js"
import {EXIT} from "./exitcodes.js"
import type {ExitCode} from "./exitcodes.js"
import {checkFleetConfiguration, isFleetConfiguration} from "./fleetconfiguration.js"
import type {CheckOptions} from "./fleetconfiguration.js"
import {jsonClient} from "../platform/http.js"
import {keyValueStore} from "../platform/kvstore.js"
import {cancelJob, explainJob, showStatus, submitJob} from "./jobs.js"
import {PROCESS_OUTPUT} from "./output.js"
import {explainFromLog, writeReport} from "./logs.js"

interface RemoteOptions {
  readonly address: string
  readonly key?: string
  readonly json: boolean
}

interface PromoteFlags extends RemoteOptions {
  readonly trial?: string
  readonly asTrial: boolean
  readonly operator: string
  readonly base?: number
}

const DEFAULT_ADDRESS = "127.0.0.1:7300"
const KEY_VARIABLE = "LACEWINGSTREAM_OPERATOR_KEY"
// A reader such as `head` may close the pipe early, which is not a failure.
process.stdout.on("error", () => process.exit(EXIT.ok))

const output = PROCESS_OUTPUT

function createClient(options: RemoteOptions, address = options.address): ApiClient {
  return apiClient(address, options.key ?? process.env[KEY_VARIABLE] ?? "")
}

function parseWholeNumber(text: string): number {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError("Give a whole number of at least 0.")
  return Number(text)
}

function setExitCode(code: ExitCode): void {
  process.exitCode = code
}

function withRemoteOptions(command: Command): Command {
  return command
    .option("--address <host:port>", "address of an entry instance or the balancer", DEFAULT_ADDRESS)
    .option("--key <key>", `operator key; otherwise from ${KEY_VARIABLE}`)
    .option("--json", "print JSON", false)
}

const program = new Command("lacewingstream")
  .description(
    "A cluster scheduler for unlike workloads: routes requests and places batch, gang and service work.",
  )
  .version("0.1.0")
  .exitOverride(error => process.exit(error.exitCode === 0 ? EXIT.ok : EXIT.invalid))

program
  .command("entry")
  .description("run one entry instance until it receives a stop signal")
  .requiredOption("--settings <file>", "settings of the instance, in INI")
  .action(async (options: {readonly settings: string}) => {
    setExitCode(await runEntry(options.settings, output))
    setTimeout(() => process.exit(), 200).unref()
  })

program
  .command("check <document>")
  .description("check a configuration before it is sent and print every finding with its place")
  .option("--in-force <file>", "configuration in the platform's form to compare it with")
  .option("--store <host:port>", "store with the configuration in force and the workers")
  .option("--json", "print JSON", false)
  .action(async (document: string, options: CheckOptions & {readonly store?: string}) => {
    const text = readFile(document, output)
    const store = options.store === undefined ? undefined : keyValueStore(jsonClient(1), options.store)
    if (text === undefined) setExitCode(EXIT.invalid)
    else if (isFleetConfiguration(text))
      setExitCode(await checkFleetConfiguration(document, text, store, options, output))
    else setExitCode(checkDocument(document, options, output))
  })

program
  .command("diff <before> <after>")
  .description("print the keys that differ between two documents")
  .option("--json", "print JSON", false)
  .action((before: string, after: string, options: {readonly json: boolean}) =>
    setExitCode(diffFiles(before, after, options, output)),
  )

withRemoteOptions(
  program
    .command("try <document>")
    .description("show what a document would change in the running environment"),
).action(async (document: string, options: RemoteOptions) =>
  setExitCode(await tryDocument(document, createClient(options), options, output)),
)

withRemoteOptions(
  program.command("promote <document>").description("propose a document as the configuration"),
)
  .option("--trial <host:port>", "trial environment that must have accepted the same document")
  .option("--as-trial", "this is the trial environment", false)
  .option("--operator <name>", "who promotes it", userInfo().username)
  .option("--base <number>", "number of the document that the change started from", parseWholeNumber)
  .action(async (document: string, options: PromoteFlags) => {
    if (options.trial === undefined && !options.asTrial) {
      output.error("Name the trial environment with --trial, or say --as-trial.")
      setExitCode(EXIT.invalid)
      return
    }
    const trial = options.trial === undefined ? undefined : createClient(options, options.trial)
    setExitCode(await promoteDocument(document, createClient(options), trial, options, output))
  })

withRemoteOptions(
  program.command("history").description("list the accepted documents: who changed what"),
).action(async (options: RemoteOptions) =>
  setExitCode(await printHistory(createClient(options), options, output)),
)

withRemoteOptions(program.command("submit <file>").description("submit a job, as JSON"))
  .option("--idempotency-key <key>", "key that makes the command safe to repeat")
  .action(async (file: string, options: RemoteOptions & {readonly idempotencyKey?: string}) =>
    setExitCode(
      await submitJob(file, createClient(options), {json: options.json, key: options.idempotencyKey}, output),
    ),
  )

withRemoteOptions(
  program.command("status").description("show the state and the findings of an instance"),
).action(async (options: RemoteOptions) =>
  setExitCode(await showStatus(createClient(options), options, output)),
)

withRemoteOptions(
  program
    .command("explain <name>")
    .description("show why a job waits, or the decisions about a request in logs"),
)
  .option("--log <files...>", "decision logs to search instead of asking an instance")
  .action(async (name: string, options: RemoteOptions & {readonly log?: readonly string[]}) => {
    if (options.log) setExitCode(explainFromLog(name, options.log, options.json, output))
    else setExitCode(await explainJob(name, createClient(options), options, output))
  })

withRemoteOptions(program.command("cancel <job>").description("cancel a job")).action(
  async (job: string, options: RemoteOptions) =>
    setExitCode(await cancelJob(job, createClient(options), options, output)),
)

program
  .command("report <logs...>")
  .description("turn decision logs into an HTML report of the operating record")
  .requiredOption("--out <file>", "file to write")
  .action((logs: readonly string[], options: {readonly out: string}) =>
    setExitCode(writeReport(logs, options.out, output)),
  )

await program.parseAsync()
