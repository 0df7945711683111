/**
 * Compares two configurations in the platform's form, entry by entry, for an operator who is about to send one. Entries
 * are matched by name, so that their order does not matter. Keys of workspaces are secrets: only their numbers are told.
 */
import {diffSections} from "../document/diff.js"
import type {KeyChange, Sections} from "../document/diff.js"
import type {JsonObject} from "./wire.js"
import {asArray, asObject, asString, parseJson} from "./wire.js"

const LISTS = ["Routes", "Services", "Tenants"]
const KEYS_FIELD = "ApiKeys"

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value)
}

function formatFields(fields: JsonObject): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(fields)
      .filter(([key, value]) => key !== KEYS_FIELD && value !== undefined)
      .map(([key, value]) => [key, formatValue(value)]),
  )
}

function sectionsOf(configuration: JsonObject): Sections {
  const sections = new Map<string, Readonly<Record<string, string>>>()
  const scalars = Object.entries(configuration).filter(([key]) => !LISTS.includes(key) && key !== "Limits")
  sections.set("", formatFields(Object.fromEntries(scalars)))
  sections.set("Limits", formatFields(asObject(configuration.Limits)))
  for (const list of LISTS) {
    for (const value of asArray(configuration[list])) {
      const fields = asObject(value)
      sections.set(`${list}.${asString(fields.Name)}`, formatFields(fields))
    }
  }
  return sections
}

function keysByWorkspace(configuration: JsonObject): ReadonlyMap<string, ReadonlySet<unknown>> {
  const workspaces = asArray(configuration.Tenants).map(asObject)
  return new Map(
    workspaces.map(fields => [`Tenants.${asString(fields.Name)}`, new Set(asArray(fields[KEYS_FIELD]))]),
  )
}

const NO_KEYS: ReadonlySet<unknown> = new Set()

function countKeys(keys: ReadonlySet<unknown>): string {
  return keys.size === 1 ? "1 key" : `${keys.size} keys`
}

function diffKeys(before: JsonObject, after: JsonObject): readonly KeyChange[] {
  const [oldKeys, newKeys] = [keysByWorkspace(before), keysByWorkspace(after)]
  const changes: KeyChange[] = []
  for (const section of new Set([...oldKeys.keys(), ...newKeys.keys()])) {
    const [old, present] = [oldKeys.get(section) ?? NO_KEYS, newKeys.get(section) ?? NO_KEYS]
    const added = [...present].filter(key => !old.has(key)).length
    const withdrawn = [...old].filter(key => !present.has(key)).length
    if (added + withdrawn === 0) continue
    changes.push({
      section,
      key: KEYS_FIELD,
      before: countKeys(old),
      after: `${countKeys(present)}, ${added} added, ${withdrawn} withdrawn`,
    })
  }
  return changes
}

/** Returns what differs between the texts of two configurations, sorted by entry. */
export function diffConfigurations(before: string, after: string): readonly KeyChange[] {
  const [old, present] = [asObject(parseJson(before)), asObject(parseJson(after))]
  return [...diffSections(sectionsOf(old), sectionsOf(present)), ...diffKeys(old, present)]
}
