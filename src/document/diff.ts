/** Differences between documents, key by key, and a three-way comparison for operators who raced. */
import {readIni} from "../core/inifile.js"
import type {IniFile} from "../core/inifile.js"

export interface KeyChange {
  readonly section: string
  readonly key: string
  readonly before: string | undefined
  readonly after: string | undefined
}

function valueOf(ini: IniFile, section: string, key: string): string | undefined {
  const values = ini.sections.get(section)
  return values && Object.hasOwn(values, key) ? values[key] : undefined
}

function keysOf(...files: readonly IniFile[]): readonly (readonly [string, string])[] {
  const keys = new Map<string, readonly [string, string]>()
  for (const ini of files) {
    for (const [section, values] of ini.sections) {
      for (const key of Object.keys(values)) keys.set(`${section}\n${key}`, [section, key])
    }
  }
  return [...keys.values()].sort((one, other) => (one.join("\n") < other.join("\n") ? -1 : 1))
}

/** The keys that differ between two texts, in the order of section and key. */
export function diffDocuments(before: string, after: string): readonly KeyChange[] {
  const old = readIni("before", before)
  const fresh = readIni("after", after)
  return keysOf(old, fresh)
    .map(([section, key]) => ({
      section,
      key,
      before: valueOf(old, section, key),
      after: valueOf(fresh, section, key),
    }))
    .filter(change => change.before !== change.after)
}

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

/** Compares two documents that started from the same base. Nothing is merged. */
export function diffThreeWay(base: string, theirs: string, yours: string): readonly ThreeWayChange[] {
  const files = [readIni("base", base), readIni("theirs", theirs), readIni("yours", yours)] as const
  const [first, second, third] = files
  return keysOf(...files)
    .map(([section, key]) => {
      const values = {
        base: valueOf(first, section, key),
        theirs: valueOf(second, section, key),
        yours: valueOf(third, section, key),
      }
      return {section, key, ...values, status: statusOf(values.base, values.theirs, values.yours)}
    })
    .filter(change => change.base !== change.theirs || change.base !== change.yours)
}

/** One line for a person. */
export function formatChange(change: KeyChange): string {
  const place = `[${change.section}] ${change.key}`
  if (change.before === undefined) return `+ ${place} = ${change.after ?? ""}`
  if (change.after === undefined) return `- ${place} = ${change.before}`
  return `~ ${place}: ${change.before} -> ${change.after}`
}
