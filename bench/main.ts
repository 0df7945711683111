/** `npm run bench`: the benchmarks, side by side in one run, as text, JSON or an HTML report with plots. */
import {writeFileSync} from "node:fs"
import {Command} from "commander"
import {htmlPage} from "../src/report/html.js"
import {benchCapacity} from "./capacity.js"
import {benchPlacement} from "./placement.js"
import type {PlacementResults} from "./placement.js"
import {benchRequests} from "./requests.js"
import {benchTakeover} from "./takeover.js"
import {renderPlacement, textCapacity, textPlacement, textRequests, textTakeover} from "./render.js"

interface BenchOptions {
  readonly json: boolean
  readonly report?: string
}

const program = new Command("bench")
  .description("Runs the benchmarks.")
  .enablePositionalOptions()
  .passThroughOptions(false)

function output(options: BenchOptions, results: unknown, text: string, html: () => string): void {
  process.stdout.write(options.json ? `${JSON.stringify(results)}\n` : `${text}\n`)
  if (options.report !== undefined) writeFileSync(options.report, html())
}

function withOutput(command: Command): Command {
  return command
    .option("--json", "print JSON", false)
    .option("--report <file>", "write an HTML report with plots")
}

withOutput(
  program.command("placement", {isDefault: true}).description("waiting, packing and decision time on traces"),
).action((options: BenchOptions) => {
  const results: PlacementResults = benchPlacement()
  output(options, results, textPlacement(results), () => renderPlacement(results))
})

withOutput(
  program.command("requests").description("the request path of one instance, beside direct calls"),
).action(async (options: BenchOptions) => {
  const results = await benchRequests()
  output(options, results, textRequests(results), () =>
    htmlPage("Requests", `<pre>${textRequests(results)}</pre>`),
  )
  setTimeout(() => process.exit(), 100)
})

withOutput(
  program.command("capacity").description("slopes of each role and what they come to at the target size"),
).action(async (options: BenchOptions) => {
  const results = await benchCapacity()
  output(options, results, textCapacity(results), () =>
    htmlPage("Capacity", `<pre>${textCapacity(results)}</pre>`),
  )
})

withOutput(program.command("takeover").description("what a death costs, under a virtual clock")).action(
  async (options: BenchOptions) => {
    const results = await benchTakeover()
    output(options, results, textTakeover(results), () =>
      htmlPage("Takeover", `<pre>${textTakeover(results)}</pre>`),
    )
  },
)

await program.parseAsync()
