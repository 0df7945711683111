/**
 * The ownership records that one instance last read from the store. The view may be stale. It is used to find
 * the holder of a group and groups to claim; each write based on it is a compare-and-swap on the version that
 * was read.
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

function setIfNewer<T>(records: Map<string, Versioned<T>>, name: string, record: T, version: number): void {
  const known = records.get(name)
  if (!known || known.version < version) records.set(name, {record, version})
}

/** Merges values that were read from the store. Values that are not ownership records are ignored. */
export function mergeStored(view: OwnershipView, values: readonly StoredValue[]): OwnershipView {
  const instances = new Map(view.instances)
  const groups = new Map(view.groups)
  for (const {key, value, version} of values) {
    if (key.startsWith(INSTANCE_PREFIX)) {
      const record = parseInstanceRecord(key, value)
      if (record.isOk()) setIfNewer(instances, record.value.instance, record.value, version)
    }
    if (key.startsWith(GROUP_PREFIX)) {
      const record = parseGroupRecord(key, value)
      if (record.isOk()) setIfNewer(groups, record.value.group, record.value, version)
    }
  }
  return {instances, groups}
}

/**
 * True when the holder's record proves that the incarnation named by the group's record can no longer act.
 */
export function holderIsGone(view: OwnershipView, group: GroupRecord): boolean {
  const holder = view.instances.get(group.holder.instance)?.record
  if (!holder) return false
  return holder.state !== "active" || !sameIncarnation(holder, group.holder)
}

/** Group name to the instance that holds the group, for groups whose holder is not known to be gone. */
export function currentHolders(view: OwnershipView): ReadonlyMap<string, string> {
  const holders = new Map<string, string>()
  for (const [name, {record}] of view.groups) {
    if (!holderIsGone(view, record)) holders.set(name, record.holder.instance)
  }
  return holders
}
