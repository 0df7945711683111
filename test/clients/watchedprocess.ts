/** A process under test on the machine that a test gives it: its memory and descriptors are watched from outside. */
import {spawn} from "node:child_process"
import {readdirSync, readFileSync} from "node:fs"
import type {Milliseconds} from "../../src/core/clock.js"

/** What the process may use, as the platform would state it. */
export interface Machine {
  readonly memoryMebibytes: number
  readonly descriptors: number
  readonly heapMebibytes: number
}

/** Descriptors that the platform reserves for files. */
const RESERVED_DESCRIPTORS = 200
const SAMPLE_MS: Milliseconds = 50
const KIBIBYTES_PER_MEBIBYTE = 1024
const LAST_OUTPUT_LENGTH = 2000
/** A process that has not ended by itself this long after the signal to stop hangs. */
const STOP_LIMIT_MS: Milliseconds = 20_000

export interface Usage {
  readonly peakMebibytes: number
  readonly peakDescriptors: number
}

export interface WatchedProcess {
  /** How the process ended, undefined while it runs. */
  readonly end: () => string | undefined
  readonly usage: () => Usage
  /** What the process has broken: it ended, or it used more than its machine has. */
  readonly faults: () => readonly string[]
  /** Asks for a planned stop. Resolves with how the process ended: "stopped", or a fault. */
  readonly terminate: () => Promise<string>
  readonly stop: () => Promise<void>
}

/** The highest resident memory so far; undefined once the process is gone. */
function readPeakMemory(pid: number): number | undefined {
  try {
    const found = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))
    return found ? Number(found[1]) / KIBIBYTES_PER_MEBIBYTE : undefined
  } catch {
    return undefined
  }
}

function countDescriptors(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length
  } catch {
    return 0
  }
}

/** Starts a program of Node.js with the heap of the machine. */
export function startWatched(machine: Machine, words: readonly string[]): WatchedProcess {
  const flags = [
    `--max-old-space-size=${machine.heapMebibytes}`,
    "--max-semi-space-size=8",
    "--v8-pool-size=1",
  ]
  const child = spawn(process.execPath, [...flags, ...words], {stdio: ["ignore", "pipe", "pipe"]})
  let output = ""
  let ended: string | undefined
  let peakMebibytes = 0
  let peakDescriptors = 0
  const keep = (chunk: Buffer): void => {
    output = (output + chunk.toString()).slice(-LAST_OUTPUT_LENGTH)
  }
  child.stdout.on("data", keep)
  child.stderr.on("data", keep)
  const gone = new Promise<string>(resolve => {
    child.once("close", (code, signal) => {
      ended = `ended by ${signal ?? `code ${code}`}: ${output}`
      resolve(code === 0 ? "stopped" : ended)
    })
  })

  function sample(): void {
    if (child.pid === undefined || ended !== undefined) return
    peakMebibytes = Math.max(peakMebibytes, readPeakMemory(child.pid) ?? 0)
    peakDescriptors = Math.max(peakDescriptors, countDescriptors(child.pid))
  }

  const timer = setInterval(sample, SAMPLE_MS)
  return {
    end: () => ended,
    usage() {
      sample()
      return {peakMebibytes, peakDescriptors}
    },
    faults() {
      sample()
      const faults: string[] = []
      if (ended !== undefined) faults.push(ended)
      if (peakMebibytes > machine.memoryMebibytes)
        faults.push(`memory: ${peakMebibytes.toFixed(0)} of ${machine.memoryMebibytes} MiB`)
      const usable = machine.descriptors - RESERVED_DESCRIPTORS
      if (peakDescriptors > usable) faults.push(`descriptors: ${peakDescriptors} of ${usable}`)
      return faults
    },
    async terminate() {
      if (ended === undefined) child.kill("SIGTERM")
      const limit = setTimeout(() => child.kill("SIGKILL"), STOP_LIMIT_MS)
      const end = await gone
      clearTimeout(limit)
      return end
    },
    async stop() {
      clearInterval(timer)
      if (ended === undefined) child.kill("SIGKILL")
      await gone
    },
  }
}
