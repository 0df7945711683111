/** Reading of untrusted JSON from the platform: each reader gives a fallback for a value of another type. */

export type WireObject = Readonly<Record<string, unknown>>

export function asObject(value: unknown): WireObject {
  return typeof value === "object" && value !== null && !Array.isArray(value) ? (value as WireObject) : {}
}

export function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as readonly unknown[]) : []
}

export function asText(value: unknown, fallback = ""): string {
  return typeof value === "string" ? value : fallback
}

export function asNumber(value: unknown, fallback = 0): number {
  return typeof value === "number" && Number.isFinite(value) ? value : fallback
}

export function asFlag(value: unknown): boolean {
  return value === true
}

/** Parses JSON. Undefined for text that is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}

const MILLICORES_PER_CORE = 1000

/** The platform counts processors in thousandths of a core. */
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
