/**
 * Which instance should claim a group that nobody holds, and which groups an overloaded holder should hand over.
 * Assignment is sticky: a group moves only when its holder is gone or holds more than its even share.
 */
import {hash32, rendezvousOrder} from "../core/hash.js"

/** Group name to the instance that holds it. Groups that nobody holds are absent. */
export type Holders = ReadonlyMap<string, string>

/** Groups are balanced kind by kind; the kind is the part of the name before the first slash. */
export function groupKind(group: string): string {
  return group.slice(0, group.indexOf("/"))
}

function countHeld(holders: Holders, kind: string): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const [group, holder] of holders) {
    if (groupKind(group) === kind) counts.set(holder, (counts.get(holder) ?? 0) + 1)
  }
  return counts
}

/** Instances in the order in which they should try to claim the group: the least loaded first. */
export function claimOrder(group: string, holders: Holders, members: readonly string[]): readonly string[] {
  const counts = countHeld(holders, groupKind(group))
  const ranked = rendezvousOrder(group, members)
  const position = new Map(ranked.map((member, index) => [member, index]))
  return [...members].sort((one, other) => {
    const difference = (counts.get(one) ?? 0) - (counts.get(other) ?? 0)
    return difference || (position.get(one) ?? 0) - (position.get(other) ?? 0)
  })
}

export interface Move {
  readonly group: string
  readonly to: string
}

/** The next group that the instance should hand over, if it holds more of a kind than its even share. */
export function nextMove(self: string, holders: Holders, members: readonly string[]): Move | undefined {
  const kinds = new Set([...holders.keys()].map(groupKind))
  for (const kind of kinds) {
    const counts = countHeld(holders, kind)
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0)
    const share = Math.ceil(total / members.length)
    const floor = Math.floor(total / members.length)
    if ((counts.get(self) ?? 0) <= share) continue
    const receivers = members.filter(
      member => member !== self && (counts.get(member) ?? 0) < Math.max(1, floor),
    )
    const to = receivers.sort(
      (one, other) =>
        (counts.get(one) ?? 0) - (counts.get(other) ?? 0) ||
        hash32(`${self}|${one}`) - hash32(`${self}|${other}`),
    )[0]
    const group = [...holders]
      .filter(([name, holder]) => holder === self && groupKind(name) === kind)
      .map(([name]) => name)
      .sort()[0]
    if (to !== undefined && group !== undefined) return {group, to}
  }
  return undefined
}

/** A member with the data centre where it runs. */
export interface PlacedMember {
  readonly instance: string
  readonly dataCentre: string
}

/**
 * Chooses successors for an instance: in other data centres first, so that the loss of one data centre leaves a
 * successor, and otherwise those that were successors already.
 */
export function chooseSuccessors(
  self: PlacedMember,
  members: readonly PlacedMember[],
  current: readonly string[],
  count: number,
): readonly string[] {
  const others = members.filter(member => member.instance !== self.instance)
  const order = rendezvousOrder(
    self.instance,
    others.map(member => member.instance),
  )
  const position = new Map(order.map((instance, index) => [instance, index]))
  const usedCentres = new Set([self.dataCentre])
  const chosen: string[] = []
  const cost = (member: PlacedMember): number =>
    (usedCentres.has(member.dataCentre) ? 2 * others.length : 0) +
    (current.includes(member.instance) ? 0 : others.length) +
    (position.get(member.instance) ?? 0)
  while (chosen.length < count) {
    const best = others
      .filter(member => !chosen.includes(member.instance))
      .sort((one, other) => cost(one) - cost(other))[0]
    if (!best) break
    chosen.push(best.instance)
    usedCentres.add(best.dataCentre)
  }
  return chosen
}
