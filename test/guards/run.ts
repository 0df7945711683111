/** `npm run guards [-- WORD]`: removes each guard from a copy of the build and checks that the test for it then fails. */
import {spawnSync} from "node:child_process"
import {cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join, resolve} from "node:path"
import {GUARDS} from "./guards.js"
import type {Guard} from "./guards.js"

type Verdict = "failed as it must" | "STILL PASSES" | "NOT APPLIED"

function prepare(): string {
  const folder = mkdtempSync(join(tmpdir(), "lacewingstream-guards-"))
  cpSync("build", join(folder, "build"), {recursive: true})
  cpSync("test/snapshots", join(folder, "test/snapshots"), {recursive: true})
  cpSync("examples", join(folder, "examples"), {recursive: true})
  cpSync("package.json", join(folder, "package.json"))
  symlinkSync(resolve("node_modules"), join(folder, "node_modules"))
  return folder
}

function tryGuard(guard: Guard, folder: string): Verdict {
  const file = join(folder, "build", "src", guard.file)
  const source = readFileSync(file, "utf8")
  if (!source.includes(guard.find)) return "NOT APPLIED"
  writeFileSync(
    file,
    source.replace(guard.find, () => guard.replace),
  )
  const ava = join("node_modules", ".bin", "ava")
  const words = [join("build", "test", guard.test), `--match=${guard.match}`, "--timeout=90s"]
  const result = spawnSync(ava, words, {cwd: folder, encoding: "utf8", timeout: 120_000})
  writeFileSync(file, source)
  return result.status === 0 ? "STILL PASSES" : "failed as it must"
}

const wanted = process.argv[2] ?? ""
const folder = prepare()
const verdicts = GUARDS.filter(guard => guard.name.includes(wanted)).map(guard => {
  const verdict = tryGuard(guard, folder)
  process.stdout.write(`${verdict.padEnd(18)} ${guard.name} (${guard.test}, ${guard.match})\n`)
  return verdict
})
rmSync(folder, {recursive: true})
const good = verdicts.filter(verdict => verdict === "failed as it must").length
process.stdout.write(`${good} of ${verdicts.length} guards are tested\n`)
process.exitCode = good === verdicts.length ? 0 : 1
