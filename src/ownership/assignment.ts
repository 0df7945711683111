/**
 * Assignment of groups to instances: which instance should claim a group without a holder, and which group a holder
 * with too many should hand over. Assignment is sticky: a group moves only if its holder is gone or holds more than
 * its even share.
 */
import {hash32, rendezvousOrder} from "../core/hash.js"

/** The instance that holds each group, by group name. Groups without a holder are absent. */
export type Holders = ReadonlyMap<string, string>

/** The part of the group name before the first slash. Each kind of group is balanced separately. */
export function groupKind(group: string): string {
  return group.slice(0, group.indexOf("/"))
}

function countGroupsByHolder(holders: Holders, kind: string): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const [group, holder] of holders) {
    if (groupKind(group) === kind) counts.set(holder, (counts.get(holder) ?? 0) + 1)
  }
  return counts
}

/**
 * The order in which instances should try to claim the group: those that hold the fewest groups of its kind first,
 * ties broken by rendezvous hashing.
 */
export function claimOrder(group: string, holders: Holders, members: readonly string[]): readonly string[] {
  const counts = countGroupsByHolder(holders, groupKind(group))
  const ranked = rendezvousOrder(group, members)
  const position = new Map(ranked.map((member, index) => [member, index]))
  return [...members].sort((one, other) => {
    const difference = (counts.get(one) ?? 0) - (counts.get(other) ?? 0)
    return difference || (position.get(one) ?? 0) - (position.get(other) ?? 0)
  })
}

/** A hand-over of a group to another instance. */
export interface Move {
  readonly group: string
  readonly to: string
}

/** The next group that the instance should hand over, if it holds more of a kind than its even share. */
export function nextMove(self: string, holders: Holders, members: readonly string[]): Move | undefined {
  const kinds = new Set([...holders.keys()].map(groupKind))
  for (const kind of kinds) {
    const counts = countGroupsByHolder(holders, kind)
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0)
    const share = Math.ceil(total / members.length)
    const shareRoundedDown = Math.floor(total / members.length)
    if ((counts.get(self) ?? 0) <= share) continue
    const receivers = members.filter(
      member => member !== self && (counts.get(member) ?? 0) < Math.max(1, shareRoundedDown),
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

/** An instance with the data centre where it runs. */
export interface LocatedMember {
  readonly instance: string
  readonly dataCentre: string
}

/**
 * Chooses the successors of an instance. Instances in data centres that are not used yet come first, so that a
 * successor survives the loss of a data centre; among equals, current successors are kept.
 */
export function chooseSuccessors(
  self: LocatedMember,
  members: readonly LocatedMember[],
  current: readonly string[],
  count: number,
): readonly string[] {
  const others = members.filter(member => member.instance !== self.instance)
  const order = rendezvousOrder(
    self.instance,
    others.map(member => member.instance),
  )
  const position = new Map(order.map((instance, index) => [instance, index]))
  const usedDataCentres = new Set([self.dataCentre])
  const chosen: string[] = []
  const cost = (member: LocatedMember): number =>
    (usedDataCentres.has(member.dataCentre) ? 2 * others.length : 0) +
    (current.includes(member.instance) ? 0 : others.length) +
    (position.get(member.instance) ?? 0)
  while (chosen.length < count) {
    const best = others
      .filter(member => !chosen.includes(member.instance))
      .sort((one, other) => cost(one) - cost(other))[0]
    if (!best) break
    chosen.push(best.instance)
    usedDataCentres.add(best.dataCentre)
  }
  return chosen
}
