/** Where groups are held, as this instance knows from its own records, from gossip and from the store. */
import type {Clock, Milliseconds} from "../core/clock.js"
import {add, NO_RESOURCES} from "../core/resources.js"
import type {Resources} from "../core/resources.js"
import type {GroupIndex} from "../placement/passplan.js"
import type {Claim, FreeCapacity, Member, MembershipTable} from "../membership/table.js"
import type {ReachableGroup} from "../controllers/dispatcher.js"
import {poolOfGroup} from "../controllers/instancelist.js"
import type {GroupOwnerAddress} from "../controllers/placementclient.js"
import type {LendingGroup} from "../controllers/slotborrower.js"

export interface RoutesPorts {
  readonly clock: Clock
  readonly table: () => MembershipTable
  readonly self: () => Member
  /** Claims of this instance, with free capacity as of now. */
  readonly ownClaims: () => readonly Claim[]
  /** Holder and epoch that the store named last. */
  readonly storedHolder: (group: string) => GroupOwnerAddress | undefined
  /** Worker groups that exist, with what their workers have in all. */
  readonly existingGroups: () => ReadonlyMap<string, FreeCapacity>
}

export interface Routes {
  readonly workerGroups: GroupIndex<ReachableGroup>
  readonly lendingGroups: (pool: string) => readonly LendingGroup[]
  readonly holderOf: (group: string) => GroupOwnerAddress | undefined
}

/** How long the index of groups is used before it is built anew. */
const CACHED_FOR_MS: Milliseconds = 25
/** With more groups than this the index is built less often, in proportion. */
const SMALL_FLEET_GROUPS = 100

interface Located {
  readonly claim: Claim
  readonly owner: GroupOwnerAddress
}

interface Index {
  readonly builtAt: Milliseconds
  readonly located: ReadonlyMap<string, Located>
  readonly byName: ReadonlyMap<string, ReachableGroup>
  readonly byPool: ReadonlyMap<string, readonly ReachableGroup[]>
  readonly fleet: Resources
}

const EMPTY_INDEX: Index = {
  builtAt: Number.NEGATIVE_INFINITY,
  located: new Map(),
  byName: new Map(),
  byPool: new Map(),
  fleet: NO_RESOURCES,
}

function newer(heard: GroupOwnerAddress, stored: GroupOwnerAddress | undefined): GroupOwnerAddress {
  return stored && stored.epoch > heard.epoch ? stored : heard
}

/** Creates the routes of one instance. */
export function routes(ports: RoutesPorts): Routes {
  let index = EMPTY_INDEX

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

  function describe(located: ReadonlyMap<string, Located>): ReadonlyMap<string, ReachableGroup> {
    const groups = new Map<string, ReachableGroup>()
    for (const [group, {claim, owner}] of located) {
      if (!claim.free) continue
      groups.set(group, {
        group,
        pool: poolOfGroup(group),
        free: claim.free,
        owner: newer(owner, ports.storedHolder(group)),
      })
    }
    for (const [group, free] of ports.existingGroups()) {
      const owner = groups.has(group) ? undefined : ports.storedHolder(group)
      if (owner) groups.set(group, {group, pool: poolOfGroup(group), free, owner})
    }
    return groups
  }

  function build(): Index {
    const located = locate()
    const byName = describe(located)
    const byPool = new Map<string, ReachableGroup[]>()
    let fleet = NO_RESOURCES
    for (const group of byName.values()) {
      const pool = byPool.get(group.pool) ?? []
      pool.push(group)
      byPool.set(group.pool, pool)
      const {
        totalProcessors: processors,
        totalMemoryMebibytes: memoryMebibytes,
        totalAccelerators: accelerators,
      } = group.free
      fleet = add(fleet, {processors, memoryMebibytes, accelerators})
    }
    return {builtAt: ports.clock.now(), located, byName, byPool, fleet}
  }

  function current(): Index {
    const keptFor = CACHED_FOR_MS * Math.max(1, index.byName.size / SMALL_FLEET_GROUPS)
    if (ports.clock.now() >= index.builtAt + keptFor) index = build()
    return index
  }

  return {
    workerGroups: {
      ofPool: pool => current().byPool.get(pool) ?? [],
      named: group => current().byName.get(group),
      fleet: () => current().fleet,
    },
    lendingGroups: pool =>
      (current().byPool.get(pool) ?? []).map(({group, owner, free}) => ({
        group,
        owner,
        idleSlots: free.idleSlots,
      })),
    holderOf(group) {
      const heard = current().located.get(group)?.owner
      const stored = ports.storedHolder(group)
      return heard ? newer(heard, stored) : stored
    },
  }
}
