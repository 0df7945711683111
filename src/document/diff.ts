/**
 * Compares configuration documents key by key. The three-way comparison serves an operator whose proposal was
 * rejected because another operator changed the document in the meantime.
 */
import {readIni} from "../core/inifile.js"
import type {IniFile} from "../core/inifile.js"

/** The values of keys, by section. */
export type Sections = IniFile["sections"]

/** A key whose value differs; an undefined value means that the document does not set the key. */
export interface KeyChange {
  readonly section: string
  readonly key: string
  readonly before: string | undefined
  readonly after: string | undefined
}

function valueOf(sections: Sections, section: string, key: string): string | undefined {
  const values = sections.get(section)
  return values && Object.hasOwn(values, key) ? values[key] : undefined
}

function allKeys(...files: readonly Sections[]): readonly (readonly [string, string])[] {
  const keys = new Map<string, readonly [string, string]>()
  for (const sections of files) {
    for (const [section, values] of sections) {
      for (const key of Object.keys(values)) keys.set(`${section}\n${key}`, [section, key])
    }
  }
  return [...keys.values()].sort((one, other) => (one.join("\n") < other.join("\n") ? -1 : 1))
}

/** Returns the keys that differ, sorted by section and key. */
export function diffSections(before: Sections, after: Sections): readonly KeyChange[] {
  return allKeys(before, after)
    .map(([section, key]) => ({
      section,
      key,
      before: valueOf(before, section, key),
      after: valueOf(after, section, key),
    }))
    .filter(change => change.before !== change.after)
}

/** Returns the keys that differ between two texts, sorted by section and key. */
export function diffDocuments(before: string, after: string): readonly KeyChange[] {
  return diffSections(readIni("before", before).sections, readIni("after", after).sections)
}

/**
 * Which document changed a key: `theirs` is the document now in force, `yours` the rejected proposal; `conflict` means
 * that they changed it differently.
 */
export type ThreeWayStatus = "theirs" | "yours" | "both-same" | "conflict"

export interface ThreeWayChange {
  readonly section: string
  readonly key: string
  readonly base: string | undefined
  readonly theirs: string | undefined
  readonly yours: string | undefined
  readonly status: ThreeWayStatus
}

function statusOf(
  base: string | undefined,
  theirs: string | undefined,
  yours: string | undefined,
): ThreeWayStatus {
  if (theirs === yours) return "both-same"
  if (base === yours) return "theirs"
  if (base === theirs) return "yours"
  return "conflict"
}

/** Compares two documents that were derived from the same base. Does not merge them. */
export function diffThreeWay(base: string, theirs: string, yours: string): readonly ThreeWayChange[] {
  const files = [
    readIni("base", base).sections,
    readIni("theirs", theirs).sections,
    readIni("yours", yours).sections,
  ] as const
  const [baseFile, theirFile, yourFile] = files
  return allKeys(...files)
    .map(([section, key]) => {
      const values = {
        base: valueOf(baseFile, section, key),
        theirs: valueOf(theirFile, section, key),
        yours: valueOf(yourFile, section, key),
      }
      return {section, key, ...values, status: statusOf(values.base, values.theirs, values.yours)}
    })
    .filter(change => change.base !== change.theirs || change.base !== change.yours)
}

/** Formats a change as one line of text. */
export function formatChange(change: KeyChange): string {
  const place = `[${change.section}] ${change.key}`
  if (change.before === undefined) return `+ ${place} = ${change.after ?? ""}`
  if (change.after === undefined) return `- ${place} = ${change.before}`
  return `~ ${place}: ${change.before} -> ${change.after}`
}
