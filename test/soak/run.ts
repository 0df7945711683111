/**
 * Plays many seeds of the soak: `npm run soak -- [FIRST] [COUNT] [BESIDE] [BURST]`. Each seed that fails is printed. With
 * a burst, each seed plays an overload by so many jobs in place of faults in random order.
 */
import {mkdtempSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {bundleDaemon} from "../support/bundle.js"
import {soak} from "./soak.js"

const [first = 1, count = 50, beside = 4, burst = 0] = process.argv.slice(2).map(Number)
const folder = mkdtempSync(join(tmpdir(), "lacewingstream-soak-"))
const program = join(folder, "lacewingstream.cjs")
/** Seeds have loopback addresses of their own; those that end with 0 or 255 are left out. */
const HOSTS = 254
const SIZES = {instances: 5, workers: burst > 0 ? 16 : 5, span: 12_000, burst}

await bundleDaemon(program)
const seeds = Array.from({length: count}, (_, index) => first + index)
let failed = 0

async function play(): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const host = `127.79.${Math.floor(seed / HOSTS) % HOSTS}.${(seed % HOSTS) + 1}`
    const {faults, accepted, injected} = await soak({...SIZES, seed, host, program, folder})
    if (faults.length > 0) failed += 1
    const lines = faults.map(fault => `\n    ${fault}`).join("")
    process.stdout.write(`seed ${seed}: ${accepted} jobs, ${injected.length} faults injected${lines}\n`)
    if (faults.length > 0) process.stdout.write(`    injected: ${injected.join("; ")}\n`)
  }
}

await Promise.all(Array.from({length: beside}, play))
process.stdout.write(`${count - failed} passed, ${failed} failed; logs in ${folder}\n`)
process.exitCode = failed > 0 ? 1 : 0
