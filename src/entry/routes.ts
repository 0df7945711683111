/** Where groups are held, as this instance knows from its own records, from gossip and from the store. */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {Claim, FreeCapacity, Member, Table} from "../membership/table.js"
import type {ReachableGroup} from "../controllers/dispatcher.js"
import {poolOfGroup} from "../controllers/instancelist.js"
import type {GroupOwnerAddress} from "../controllers/placementclient.js"
import type {LendingGroup} from "../controllers/slotborrower.js"

export interface RoutesPorts {
  readonly clock: Clock
  readonly table: () => Table
  readonly self: () => Member
  /** Claims of this instance, with free capacity as of now. */
  readonly ownClaims: () => readonly Claim[]
  /** Holder and epoch that the store named last. */
  readonly storedHolder: (group: string) => GroupOwnerAddress | undefined
  /** Worker groups that exist, with what their workers have in all. */
  readonly existingGroups: () => ReadonlyMap<string, FreeCapacity>
}

export interface Routes {
  readonly workerGroups: () => readonly ReachableGroup[]
  readonly lendingGroups: (pool: string) => readonly LendingGroup[]
  readonly holderOf: (group: string) => GroupOwnerAddress | undefined
}

const CACHED_FOR_MS: Milliseconds = 25

interface Located {
  readonly claim: Claim
  readonly owner: GroupOwnerAddress
}

function newer(heard: GroupOwnerAddress, stored: GroupOwnerAddress | undefined): GroupOwnerAddress {
  return stored && stored.epoch > heard.epoch ? stored : heard
}

/** Creates the routes of one instance. */
export function routes(ports: RoutesPorts): Routes {
  let located: ReadonlyMap<string, Located> = new Map()
  let reachable: readonly ReachableGroup[] = []
  let builtAt: Milliseconds = Number.NEGATIVE_INFINITY

  function locate(): ReadonlyMap<string, Located> {
    const found = new Map<string, Located>()
    const consider = (instance: string, claim: Claim): void => {
      const known = found.get(claim.group)
      if (known && known.owner.epoch >= claim.epoch) return
      found.set(claim.group, {claim, owner: {instance, epoch: claim.epoch}})
    }
    for (const claim of ports.ownClaims()) consider(ports.self().instance, claim)
    for (const {member} of ports.table().values())
      for (const claim of member.claims) consider(member.instance, claim)
    return found
  }

  function rebuild(): void {
    if (ports.clock.now() < builtAt + CACHED_FOR_MS) return
    builtAt = ports.clock.now()
    located = locate()
    const groups: ReachableGroup[] = []
    for (const [group, {claim, owner}] of located) {
      if (claim.free)
        groups.push({
          group,
          pool: poolOfGroup(group),
          free: claim.free,
          owner: newer(owner, ports.storedHolder(group)),
        })
    }
    for (const [group, free] of ports.existingGroups()) {
      const owner = located.has(group) ? undefined : ports.storedHolder(group)
      if (owner) groups.push({group, pool: poolOfGroup(group), free, owner})
    }
    reachable = groups
  }

  return {
    workerGroups() {
      rebuild()
      return reachable
    },
    lendingGroups(pool) {
      rebuild()
      return reachable
        .filter(group => group.pool === pool)
        .map(group => ({group: group.group, owner: group.owner, idleSlots: group.free.idleSlots}))
    },
    holderOf(group) {
      rebuild()
      const heard = located.get(group)?.owner
      const stored = ports.storedHolder(group)
      return heard ? newer(heard, stored) : stored
    },
  }
}
