/**
 * Readers for untrusted JSON from the platform. A value of an unexpected type is replaced by a fallback, so that
 * malformed input never throws.
 */

export type JsonObject = Readonly<Record<string, unknown>>

export function asObject(value: unknown): JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value) ? (value as JsonObject) : {}
}

export function asArray(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as readonly unknown[]) : []
}

export function asString(value: unknown, fallback = ""): string {
  return typeof value === "string" ? value : fallback
}

export function asNumber(value: unknown, fallback = 0): number {
  return typeof value === "number" && Number.isFinite(value) ? value : fallback
}

export function asBoolean(value: unknown): boolean {
  return value === true
}

/** Parses JSON. Returns undefined when the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}

const MILLICORES_PER_CORE = 1000

/** Reads the resources of a task or a worker. The platform counts processors in thousandths of a core. */
export function readResources(value: unknown): {
  readonly processors: number
  readonly memoryMebibytes: number
  readonly accelerators: number
} {
  const fields = asObject(value)
  return {
    processors: asNumber(fields.Cpu) / MILLICORES_PER_CORE,
    memoryMebibytes: asNumber(fields.MemMb),
    accelerators: asNumber(fields.Gpu),
  }
}
