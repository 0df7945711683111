/** Writes what was sent, answered and run into the record of a case. */
import {writeFileSync} from "node:fs"

export interface Recorder {
  readonly note: (event: string, details?: Readonly<Record<string, unknown>>) => void
  readonly save: () => void
}

export function createRecorder(file: string): Recorder {
  const lines: string[] = []
  const begun = performance.now()
  return {
    note(event, details = {}) {
      const seconds = ((performance.now() - begun) / 1000).toFixed(3)
      lines.push(`${seconds.padStart(8)} ${event} ${JSON.stringify(details)}`)
    },
    save() {
      writeFileSync(file, `${lines.join("\n")}\n`)
    },
  }
}
