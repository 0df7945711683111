/** The ownership records in the platform's store: one per instance and one per group. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"

/** A period in which an instance may hold groups. A new one begins at each start and after each fencing. */
export interface Incarnation {
  readonly instance: string
  readonly incarnation: string
}

export type InstanceState = "active" | "released" | "fenced"

/**
 * The state of an instance, and the successors that may fence it before its grace period ends. Each renewal writes the
 * record again and so increases the version of its key.
 */
export interface InstanceRecord extends Incarnation {
  readonly state: InstanceState
  /** Instances that may fence this one, in any of their incarnations, once their promise to it has ended. */
  readonly successors: readonly string[]
  /** The instance that fenced this one; empty if it was not fenced. */
  readonly fencedBy: string
}

/** The one incarnation that may decide for a group. */
export interface GroupRecord {
  readonly group: string
  readonly holder: Incarnation
  readonly epoch: number
}

export const OWNERSHIP_PREFIX = "ownership/"
export const INSTANCE_PREFIX = `${OWNERSHIP_PREFIX}instances/`
export const GROUP_PREFIX = `${OWNERSHIP_PREFIX}groups/`

export function instanceKey(instance: string): string {
  return INSTANCE_PREFIX + instance
}

export function groupKey(group: string): string {
  return GROUP_PREFIX + group
}

export function sameIncarnation(one: Incarnation, other: Incarnation): boolean {
  return one.instance === other.instance && one.incarnation === other.incarnation
}

/** A value in the store that is not a valid record. */
export class MalformedRecord extends Error {
  constructor(key: string) {
    super(`The value stored at ${key} is not a valid ownership record.`)
  }
}

function parse(key: string, value: string): Result<Readonly<Record<string, unknown>>, MalformedRecord> {
  try {
    const parsed: unknown = JSON.parse(value)
    if (typeof parsed === "object" && parsed !== null) return ok(parsed as Readonly<Record<string, unknown>>)
  } catch {
    return err(new MalformedRecord(key))
  }
  return err(new MalformedRecord(key))
}

export function parseInstanceRecord(key: string, value: string): Result<InstanceRecord, MalformedRecord> {
  return parse(key, value).andThen((fields): Result<InstanceRecord, MalformedRecord> => {
    const {instance, incarnation, state, successors, fencedBy} = fields
    const valid =
      typeof instance === "string" &&
      typeof incarnation === "string" &&
      (state === "active" || state === "released" || state === "fenced") &&
      Array.isArray(successors) &&
      typeof fencedBy === "string"
    if (!valid) return err(new MalformedRecord(key))
    return ok({instance, incarnation, state, successors: successors.map(String), fencedBy})
  })
}

export function parseGroupRecord(key: string, value: string): Result<GroupRecord, MalformedRecord> {
  return parse(key, value).andThen((fields): Result<GroupRecord, MalformedRecord> => {
    const {group, epoch} = fields
    const holder = fields.holder as Partial<Incarnation> | undefined
    const valid =
      typeof group === "string" &&
      typeof epoch === "number" &&
      typeof holder?.instance === "string" &&
      typeof holder.incarnation === "string"
    if (!valid) return err(new MalformedRecord(key))
    const {instance = "", incarnation = ""} = holder
    return ok({group, epoch, holder: {instance, incarnation}})
  })
}
