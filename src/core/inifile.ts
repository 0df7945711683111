/**
 * INI text with the line of each key. The `ini` library decodes the values; a light pass over the same text
 * finds the lines, so that findings can name their place.
 */
import {parse} from "ini"
import type {Finding} from "./finding.js"

export type Section = Readonly<Record<string, string>>

export interface IniFile {
  readonly file: string
  /** Section name to its keys and values. Keys before the first section are under the empty name. */
  readonly sections: ReadonlyMap<string, Section>
  /** The line of a key, or of its section's heading when the key is empty; 0 when absent. */
  readonly lineOf: (section: string, key: string) => number
  /** Lines that are neither a heading, a key with a value, a comment nor blank; and keys given twice. */
  readonly findings: readonly Finding[]
}

interface Scan {
  readonly lines: ReadonlyMap<string, number>
  readonly findings: readonly Finding[]
}

const HEADING = /^\[([^\]]+)\]$/
const FORBIDDEN_NAMES = new Set(["__proto__", "constructor", "prototype"])

function placeKey(section: string, key: string): string {
  return `${section}\n${key}`
}

function scan(file: string, text: string): Scan {
  const lines = new Map<string, number>()
  const findings: Finding[] = []
  let section = ""
  const note = (key: string, line: number, problem: string, remedy: string): void => {
    findings.push({file, section, key, line, problem, remedy})
  }
  text.split(/\r?\n/).forEach((raw, index) => {
    const line = index + 1
    const trimmed = raw.trim()
    if (trimmed === "" || trimmed.startsWith(";") || trimmed.startsWith("#")) return
    const heading = HEADING.exec(trimmed)
    if (heading) {
      section = heading[1] ?? ""
      if (lines.has(placeKey(section, "")))
        note("", line, "The section is given twice.", "Join the two sections.")
      lines.set(placeKey(section, ""), line)
      return
    }
    const equals = trimmed.indexOf("=")
    if (equals <= 0) {
      note("", line, `"${trimmed.slice(0, 40)}" is not a key with a value.`, "Write key = value.")
      return
    }
    const key = trimmed.slice(0, equals).trim()
    if (FORBIDDEN_NAMES.has(key)) note(key, line, "The key has a reserved name.", "Choose another name.")
    if (lines.has(placeKey(section, key)))
      note(key, line, "The key is given twice.", "Keep one of the two lines.")
    lines.set(placeKey(section, key), line)
  })
  return {lines, findings}
}

function asText(value: unknown): string {
  if (typeof value === "string") return value
  if (typeof value === "boolean" || typeof value === "number") return String(value)
  return ""
}

/** Flattens what `ini` nests at dots in section names, so that `[service.crease]` stays one section. */
function collect(
  node: Readonly<Record<string, unknown>>,
  path: string,
  into: Map<string, Record<string, string>>,
): void {
  for (const [key, value] of Object.entries(node)) {
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
      const name = path === "" ? key : `${path}.${key}`
      collect(value as Readonly<Record<string, unknown>>, name, into)
      continue
    }
    const section = into.get(path) ?? {}
    section[key] = asText(value)
    into.set(path, section)
  }
}

/** Reads INI text. Never throws: what cannot be read becomes a finding. */
export function readIni(file: string, text: string): IniFile {
  const {lines, findings} = scan(file, text)
  const sections = new Map<string, Record<string, string>>()
  collect(parse(text), "", sections)
  for (const place of lines.keys()) {
    const [section = "", key] = place.split("\n")
    if (key === "" && !sections.has(section)) sections.set(section, {})
  }
  return {file, sections, lineOf: (section, key) => lines.get(placeKey(section, key)) ?? 0, findings}
}
