/**
 * Parses decision logs, which hold one JSON object a line. Skips lines that are not JSON or have no time and event, since
 * the output of a process may also hold other text.
 */

export interface LogRecord {
  readonly time: number
  readonly event: string
  readonly instance?: string
  readonly msg?: string
  readonly request?: string
  readonly service?: string
  readonly execution?: string
  readonly took?: number
  readonly attempts?: number
  readonly job?: string
  readonly task?: number
  readonly attempt?: string
  readonly worker?: string
  readonly result?: string
  readonly outcome?: string
  readonly waited?: number
  readonly workload?: string
  readonly lane?: string
  readonly waiting?: number
  readonly level?: number
  readonly pid?: number
  readonly hostname?: string
}

function isRecord(value: unknown): value is LogRecord {
  if (typeof value !== "object" || value === null) return false
  const {time, event} = value as Partial<LogRecord>
  return typeof time === "number" && typeof event === "string"
}

export function parseLog(text: string): readonly LogRecord[] {
  const records: LogRecord[] = []
  for (const line of text.split("\n")) {
    if (line === "") continue
    try {
      const value: unknown = JSON.parse(line)
      if (isRecord(value)) records.push(value)
    } catch {
      continue
    }
  }
  return records
}
