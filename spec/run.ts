/** `npm run model`: checks the specifications by seeded simulation, and with `--defects` that each defect is caught. */
import {spawnSync} from "node:child_process"
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {Command} from "commander"
import {DEFECTS} from "./defects.js"
import type {Defect} from "./defects.js"

interface Specification {
  readonly name: Defect["specification"]
  readonly invariants: readonly string[]
  readonly witnesses: readonly string[]
  readonly samples: number
  readonly steps: number
}

interface Outcome {
  readonly ok: boolean
  readonly samples: number
  readonly text: string
}

const SPECIFICATIONS: readonly Specification[] = [
  {
    name: "holder",
    invariants: ["oneHolder", "knowledgeIsOld", "noPromiseBesideFencing"],
    witnesses: ["actsThroughOutage", "isFenced"],
    samples: 1500,
    steps: 70,
  },
  {
    name: "tasks",
    invariants: ["neverInTwoPlaces", "startedOnce"],
    witnesses: ["restartedAfterRun"],
    samples: 3000,
    steps: 50,
  },
  {
    name: "relays",
    invariants: ["noEndIsLost"],
    witnesses: ["forgetsThroughBoth"],
    samples: 3000,
    steps: 40,
  },
  {
    name: "withdrawal",
    invariants: ["neverServedLate"],
    witnesses: ["stopsUnaware", "servesOnTheLeadersWord"],
    samples: 3000,
    steps: 50,
  },
  {
    name: "takeover",
    invariants: ["neverTwice"],
    witnesses: ["startsByWorkers", "actsUnconfirmed"],
    samples: 1500,
    steps: 100,
  },
]

const SEEDS: readonly string[] = ["1", "2"]
const DEFECT_SAMPLES = 20_000
const QUINT = join("node_modules", ".bin", "quint")

function simulate(
  file: string,
  specification: Specification,
  seed: string,
  samples: number,
  invariants: readonly string[],
): Outcome {
  const {steps, witnesses} = specification
  const words = [
    "run",
    file,
    "--backend=typescript",
    `--seed=${seed}`,
    `--max-samples=${samples}`,
    `--max-steps=${steps}`,
  ]
  const result = spawnSync(
    QUINT,
    [...words, "--invariants", ...invariants, "--witnesses", ...witnesses, "--verbosity=1"],
    {encoding: "utf8"},
  )
  const text = result.stdout + result.stderr
  const explored = /out of (\d+) explored/.exec(text)
  return {ok: result.status === 0, samples: Number(explored?.[1] ?? samples), text}
}

function checkAll(): boolean {
  let good = true
  for (const specification of SPECIFICATIONS) {
    for (const seed of SEEDS) {
      const file = join("spec", `${specification.name}.qnt`)
      const outcome = simulate(file, specification, seed, specification.samples, specification.invariants)
      good &&= outcome.ok
      const verdict = outcome.ok ? "no violation" : "VIOLATION"
      const {name, steps, invariants} = specification
      process.stdout.write(
        `${name}, seed ${seed}: ${verdict} of ${invariants.join(", ")} in ${outcome.samples} samples of ${steps} steps\n`,
      )
      for (const line of outcome.text.split("\n"))
        if (line.includes("was witnessed")) process.stdout.write(`  ${line}\n`)
      if (!outcome.ok) process.stdout.write(`${outcome.text}\n`)
    }
  }
  return good
}

function catchDefect(defect: Defect, folder: string): boolean {
  const specification = SPECIFICATIONS.find(entry => entry.name === defect.specification)
  const source = readFileSync(join("spec", `${defect.specification}.qnt`), "utf8")
  if (!specification || source.split(defect.find).length !== 2) {
    process.stdout.write(`NOT APPLIED  ${defect.name}: the line is not there exactly once\n`)
    return false
  }
  const file = join(folder, `${defect.specification}.qnt`)
  writeFileSync(
    file,
    source.replace(defect.find, () => defect.replace),
  )
  const outcome = simulate(file, specification, "1", DEFECT_SAMPLES, [defect.invariant])
  const caught = !outcome.ok && outcome.text.includes("nvariant violated")
  process.stdout.write(
    `${caught ? "caught" : "MISSED"}  ${defect.specification}, ${defect.invariant}: ${defect.name} (${outcome.samples} samples)\n`,
  )
  return caught
}

function catchAll(only: string): boolean {
  const folder = mkdtempSync(join(tmpdir(), "lacewingstream-spec-"))
  const wanted = DEFECTS.filter(defect => defect.name.includes(only))
  const results = wanted.map(defect => catchDefect(defect, folder))
  rmSync(folder, {recursive: true})
  process.stdout.write(`${results.filter(Boolean).length} of ${results.length} defects caught\n`)
  return results.every(Boolean)
}

const program = new Command("model")
  .description("Checks the specifications of the protocol.")
  .option("--defects", "put each known defect in and check that it is caught", false)
  .option("--only <text>", "only defects whose name contains the text", "")
  .parse()
const options = program.opts<{readonly defects: boolean; readonly only: string}>()
process.exitCode = (options.defects ? catchAll(options.only) : checkAll()) ? 0 : 1
