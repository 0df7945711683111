/**
 * Typed access to the keys of INI sections. Each value is parsed by a `FieldParser`. An invalid value is recorded as a
 * finding with its location instead of thrown, so that one pass reports all problems of a file.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Finding} from "./finding.js"
import type {IniFile} from "./inifile.js"

/** The error of a parser. */
export interface Expectation {
  /** Tells the operator which values are valid, as a full sentence. */
  readonly expected: string
}

export type FieldParser<T> = (text: string) => Result<T, Expectation>

/** A text that is not empty. */
export const text: FieldParser<string> = value =>
  value === "" ? err({expected: "Give a value that is not empty."}) : ok(value)

/** A whole number from `min` to `max`. */
export function integer(min: number, max: number): FieldParser<number> {
  return value => {
    const number = Number(value)
    if (/^-?\d+$/.test(value) && number >= min && number <= max) return ok(number)
    return err({expected: `Give a whole number from ${min} to ${max}.`})
  }
}

/** A decimal number from `min` to `max`. */
export function decimal(min: number, max: number): FieldParser<number> {
  return value => {
    const number = Number(value)
    if (value !== "" && Number.isFinite(number) && number >= min && number <= max) return ok(number)
    return err({expected: `Give a number from ${min} to ${max}.`})
  }
}

/** One of a fixed set of words. */
export function oneOf<T extends string>(...words: readonly T[]): FieldParser<T> {
  return value => {
    const word = words.find(candidate => candidate === value)
    return word === undefined ? err({expected: `Give one of: ${words.join(", ")}.`}) : ok(word)
  }
}

/** A list of words separated by commas; empty items are dropped. */
export const list: FieldParser<readonly string[]> = value =>
  ok(
    value
      .split(",")
      .map(word => word.trim())
      .filter(word => word !== ""),
  )

/** An IP address with a port, such as `10.0.0.5:7400`. */
export const address: FieldParser<string> = value => {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(value)
  if (match && Number(match[2]) <= 65_535) return ok(value)
  return err({expected: "Give an IP number and a port, such as 10.0.0.5:7400."})
}

const UNIT_MS: Readonly<Record<string, number>> = {ms: 1, s: 1000, m: 60_000, h: 3_600_000}

/** A duration such as `250ms`, `2s`, `10m` or `1h`, returned in milliseconds. */
export const duration: FieldParser<number> = value => {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(value)
  const unit = match ? UNIT_MS[match[2] ?? ""] : undefined
  if (match && unit !== undefined) return ok(Number(match[1]) * unit)
  return err({expected: "Give a span such as 250ms, 2s, 10m or 1h."})
}

export interface FieldReader {
  /** Reads a key that must be present. The placeholder is returned where a finding is recorded. */
  readonly required: <T>(section: string, key: string, parser: FieldParser<T>, placeholder: T) => T
  /** Reads a key with a default, which is also returned for an invalid value. */
  readonly optional: <T>(section: string, key: string, parser: FieldParser<T>, fallback: T) => T
  /** Records a finding about a key. */
  readonly report: (section: string, key: string, problem: string, remedy: string) => void
  /** Records a finding for each key of the section that has not been read. */
  readonly rejectUnread: (section: string) => void
  /** The findings of the INI file itself and those recorded so far. */
  readonly findings: () => readonly Finding[]
}

/** Creates a reader over one INI file. */
export function fieldReader(ini: IniFile): FieldReader {
  const findings: Finding[] = [...ini.findings]
  const read = new Set<string>()

  function report(section: string, key: string, problem: string, remedy: string): void {
    findings.push({file: ini.file, section, key, line: ini.lineOf(section, key), problem, remedy})
  }

  function lookUp(section: string, key: string): string | undefined {
    read.add(`${section}\n${key}`)
    const values = ini.sections.get(section)
    return values && Object.hasOwn(values, key) ? values[key] : undefined
  }

  function parse<T>(section: string, key: string, value: string, parser: FieldParser<T>, fallback: T): T {
    const result = parser(value)
    if (result.isOk()) return result.value
    report(section, key, `"${value.slice(0, 60)}" is not a valid value.`, result.error.expected)
    return fallback
  }

  return {
    required(section, key, parser, placeholder) {
      const value = lookUp(section, key)
      if (value !== undefined) return parse(section, key, value, parser, placeholder)
      const hint = parser("")
      const expected = hint.isErr() ? hint.error.expected : "Add it."
      report(section, key, "The key is missing.", expected)
      return placeholder
    },
    optional(section, key, parser, fallback) {
      const value = lookUp(section, key)
      return value === undefined ? fallback : parse(section, key, value, parser, fallback)
    },
    report,
    rejectUnread(section) {
      for (const key of Object.keys(ini.sections.get(section) ?? {})) {
        if (!read.has(`${section}\n${key}`))
          report(section, key, "The key is not known.", "Remove it, or correct its name.")
      }
    },
    findings: () => findings,
  }
}
