/** What a script saw: lines with the seconds since its start, written to `record.txt`. */
import {writeFileSync} from "node:fs"

export interface Recorder {
  readonly note: (line: string) => void
  readonly seconds: () => number
  readonly save: (file: string) => void
}

export function createRecorder(): Recorder {
  const startedAt = performance.now()
  const lines: string[] = []
  const seconds = (): number => (performance.now() - startedAt) / 1000
  return {
    note: line => void lines.push(`${seconds().toFixed(3).padStart(8)} ${line}`),
    seconds,
    save: file => writeFileSync(file, `${lines.join("\n")}\n`),
  }
}

export function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
