/**
 * What one instance last read of the ownership records in the store. The view may lag: it serves to find whom to
 * ask and what to claim, and every write that follows from it names the version that it was based on.
 */
import {
  GROUP_PREFIX,
  INSTANCE_PREFIX,
  parseGroupRecord,
  parseInstanceRecord,
  sameIncarnation,
} from "../ownership/record.js"
import type {GroupRecord, InstanceRecord} from "../ownership/record.js"
import type {StoredValue} from "../platform/ports.js"

export interface Versioned<T> {
  readonly record: T
  readonly version: number
}

export interface OwnershipView {
  readonly instances: ReadonlyMap<string, Versioned<InstanceRecord>>
  readonly groups: ReadonlyMap<string, Versioned<GroupRecord>>
}

export const EMPTY_VIEW: OwnershipView = {instances: new Map(), groups: new Map()}

function place<T>(map: Map<string, Versioned<T>>, name: string, record: T, version: number): void {
  const known = map.get(name)
  if (!known || known.version < version) map.set(name, {record, version})
}

/** Merges values read from the store. Values that are no records of ownership are ignored. */
export function mergeStored(view: OwnershipView, values: readonly StoredValue[]): OwnershipView {
  const instances = new Map(view.instances)
  const groups = new Map(view.groups)
  for (const {key, value, version} of values) {
    if (key.startsWith(INSTANCE_PREFIX)) {
      const record = parseInstanceRecord(key, value)
      if (record.isOk()) place(instances, record.value.instance, record.value, version)
    }
    if (key.startsWith(GROUP_PREFIX)) {
      const record = parseGroupRecord(key, value)
      if (record.isOk()) place(groups, record.value.group, record.value, version)
    }
  }
  return {instances, groups}
}

/** True when the holder's record proves that this incarnation cannot act any more. */
export function holderIsGone(view: OwnershipView, group: GroupRecord): boolean {
  const holder = view.instances.get(group.holder.instance)?.record
  if (!holder) return false
  return holder.state !== "active" || !sameIncarnation(holder, group.holder)
}

/** Group name to the instance that holds it, for groups whose holder is not known to be gone. */
export function currentHolders(view: OwnershipView): ReadonlyMap<string, string> {
  const holders = new Map<string, string>()
  for (const [name, {record}] of view.groups) {
    if (!holderIsGone(view, record)) holders.set(name, record.holder.instance)
  }
  return holders
}
