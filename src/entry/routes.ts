/** Finds the holders of groups from this instance's own claims, from gossip and from the store. */
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
  /** Claims of this instance with their present free capacity. */
  readonly ownClaims: () => readonly Claim[]
  /** Holder and epoch last read from the store. */
  readonly storedHolder: (group: string) => GroupOwnerAddress | undefined
  /** Worker groups in the instance list, with the total capacity of their workers. */
  readonly existingGroups: () => ReadonlyMap<string, FreeCapacity>
}

export interface Routes {
  readonly workerGroups: GroupIndex<ReachableGroup>
  readonly lendingGroups: (pool: string) => readonly LendingGroup[]
  readonly holderOf: (group: string) => GroupOwnerAddress | undefined
}

/** How long the index of groups is used before it is rebuilt. */
const INDEX_TTL_MS: Milliseconds = 25
/** With more groups than this the index is kept longer, in proportion to their number. */
const MAX_GROUPS_AT_SHORTEST_TTL = 100

/** A claim with the instance that made it. */
interface LocatedGroup {
  readonly claim: Claim
  readonly owner: GroupOwnerAddress
}

interface RouteIndex {
  readonly builtAt: Milliseconds
  readonly located: ReadonlyMap<string, LocatedGroup>
  readonly byName: ReadonlyMap<string, ReachableGroup>
  readonly byPool: ReadonlyMap<string, readonly ReachableGroup[]>
  /** Total capacity of all groups. */
  readonly fleet: Resources
}

const EMPTY_INDEX: RouteIndex = {
  builtAt: Number.NEGATIVE_INFINITY,
  located: new Map(),
  byName: new Map(),
  byPool: new Map(),
  fleet: NO_RESOURCES,
}

function selectNewer(heard: GroupOwnerAddress, stored: GroupOwnerAddress | undefined): GroupOwnerAddress {
  return stored && stored.epoch > heard.epoch ? stored : heard
}

/** Creates the routes of one instance. */
export function createRoutes(ports: RoutesPorts): Routes {
  let index = EMPTY_INDEX

  /** Selects for each group the claim with the highest epoch. */
  function locateGroups(): ReadonlyMap<string, LocatedGroup> {
    const found = new Map<string, LocatedGroup>()
    const addClaim = (instance: string, claim: Claim): void => {
      const known = found.get(claim.group)
      if (known && known.owner.epoch >= claim.epoch) return
      found.set(claim.group, {claim, owner: {instance, epoch: claim.epoch}})
    }
    for (const claim of ports.ownClaims()) addClaim(ports.self().instance, claim)
    for (const {member} of ports.table().values())
      for (const claim of member.claims) addClaim(member.instance, claim)
    return found
  }

  function collectReachableGroups(
    located: ReadonlyMap<string, LocatedGroup>,
  ): ReadonlyMap<string, ReachableGroup> {
    const groups = new Map<string, ReachableGroup>()
    for (const [group, {claim, owner}] of located) {
      if (!claim.free) continue
      groups.set(group, {
        group,
        pool: poolOfGroup(group),
        free: claim.free,
        owner: selectNewer(owner, ports.storedHolder(group)),
      })
    }
    for (const [group, free] of ports.existingGroups()) {
      const owner = groups.has(group) ? undefined : ports.storedHolder(group)
      if (owner) groups.set(group, {group, pool: poolOfGroup(group), free, owner})
    }
    return groups
  }

  function buildIndex(): RouteIndex {
    const located = locateGroups()
    const byName = collectReachableGroups(located)
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

  function currentIndex(): RouteIndex {
    const timeToLive = INDEX_TTL_MS * Math.max(1, index.byName.size / MAX_GROUPS_AT_SHORTEST_TTL)
    if (ports.clock.now() >= index.builtAt + timeToLive) index = buildIndex()
    return index
  }

  return {
    workerGroups: {
      ofPool: pool => currentIndex().byPool.get(pool) ?? [],
      named: group => currentIndex().byName.get(group),
      fleet: () => currentIndex().fleet,
    },
    lendingGroups: pool =>
      (currentIndex().byPool.get(pool) ?? []).map(({group, owner, free}) => ({
        group,
        owner,
        idleSlots: free.idleSlots,
      })),
    holderOf(group) {
      const heard = currentIndex().located.get(group)?.owner
      const stored = ports.storedHolder(group)
      return heard ? selectNewer(heard, stored) : stored
    },
  }
}
