/**
 * Reads INI text together with the line number of each key. The `ini` library parses the values but reports no line
 * numbers, so a separate scan of the text collects them for findings.
 */
import {parse} from "ini"
import type {Finding} from "./finding.js"

export type Section = Readonly<Record<string, string>>

export interface IniFile {
  readonly file: string
  /** Keys and values by section name. Keys before the first heading are in the section with the empty name. */
  readonly sections: ReadonlyMap<string, Section>
  /** Returns the line of a key, or of the section's heading if the key is empty; 0 if it is absent. */
  readonly lineOf: (section: string, key: string) => number
  /** Lines that are not valid INI, duplicate keys and sections, and reserved key names. */
  readonly findings: readonly Finding[]
}

interface LineScan {
  /** Line numbers by the result of `locationKey`. */
  readonly lines: ReadonlyMap<string, number>
  readonly findings: readonly Finding[]
}

const HEADING = /^\[([^\]]+)\]$/
/** Names that would reach the prototype of an object instead of a key of its own. */
const RESERVED_KEYS = new Set(["__proto__", "constructor", "prototype"])

function locationKey(section: string, key: string): string {
  return `${section}\n${key}`
}

/** Collects the line number of each key and heading, and the findings about lines and names. */
function scanLines(file: string, text: string): LineScan {
  const lines = new Map<string, number>()
  const findings: Finding[] = []
  let section = ""
  const addFinding = (key: string, line: number, problem: string, remedy: string): void => {
    findings.push({file, section, key, line, problem, remedy})
  }
  text.split(/\r?\n/).forEach((raw, index) => {
    const line = index + 1
    const trimmed = raw.trim()
    if (trimmed === "" || trimmed.startsWith(";") || trimmed.startsWith("#")) return
    const heading = HEADING.exec(trimmed)
    if (heading) {
      section = heading[1] ?? ""
      if (lines.has(locationKey(section, "")))
        addFinding("", line, "The section is given twice.", "Join the two sections.")
      lines.set(locationKey(section, ""), line)
      return
    }
    const equals = trimmed.indexOf("=")
    if (equals <= 0) {
      addFinding("", line, `"${trimmed.slice(0, 40)}" is not a key with a value.`, "Write key = value.")
      return
    }
    const key = trimmed.slice(0, equals).trim()
    if (RESERVED_KEYS.has(key)) addFinding(key, line, "The key has a reserved name.", "Choose another name.")
    if (lines.has(locationKey(section, key)))
      addFinding(key, line, "The key is given twice.", "Keep one of the two lines.")
    lines.set(locationKey(section, key), line)
  })
  return {lines, findings}
}

function valueToText(value: unknown): string {
  if (typeof value === "string") return value
  if (typeof value === "boolean" || typeof value === "number") return String(value)
  return ""
}

/** Undoes the nesting that `ini` makes at dots in section names, so that `[service.crease]` is one section. */
function flattenSections(
  node: Readonly<Record<string, unknown>>,
  path: string,
  sections: Map<string, Record<string, string>>,
): void {
  for (const [key, value] of Object.entries(node)) {
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
      const name = path === "" ? key : `${path}.${key}`
      flattenSections(value as Readonly<Record<string, unknown>>, name, sections)
      continue
    }
    const section = sections.get(path) ?? {}
    section[key] = valueToText(value)
    sections.set(path, section)
  }
}

/** Reads INI text. Invalid lines are returned as findings rather than thrown. */
export function readIni(file: string, text: string): IniFile {
  const {lines, findings} = scanLines(file, text)
  const sections = new Map<string, Record<string, string>>()
  flattenSections(parse(text), "", sections)
  for (const location of lines.keys()) {
    const [section = "", key] = location.split("\n")
    if (key === "" && !sections.has(section)) sections.set(section, {})
  }
  return {file, sections, lineOf: (section, key) => lines.get(locationKey(section, key)) ?? 0, findings}
}
