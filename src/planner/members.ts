/**
 * Tracks the other instances. The leader knows each follower from its pings and includes the list of all members in
 * its answers; a follower uses the list that the leader last sent.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {hash32} from "../core/hash.js"
import type {Member} from "../peer/fleet.js"

export interface Members {
  /**
   * The instances that are up. On the leader: those that have pinged recently, and itself. On a follower: the list that
   * the leader last sent.
   */
  readonly current: (isLeader: boolean) => readonly Member[]
  /** The members that the leader last sent. */
  readonly announced: () => readonly Member[]
  /**
   * On the leader: the other instances that are up. At the beginning of a term few have pinged, and those that the
   * former leader listed count too.
   */
  readonly others: (isNewTerm: boolean) => readonly Member[]
  /** Stores the members that the leader has sent. */
  readonly announce: (members: readonly Member[], digest: number) => void
  /** The digest of the list that the leader last sent; 0 before the first one. */
  readonly announcedDigest: () => number
  /** On the leader: the present list with its digest. */
  readonly listForFollowers: () => {readonly members: readonly Member[]; readonly digest: number}
  /** On the leader: records a ping of a follower. */
  readonly recordPing: (member: Member) => void
  /** Called when this instance takes over; no follower has pinged it yet. */
  readonly startTerm: () => void
  /** Addresses of other instances: the seeds and the announced members. */
  readonly addresses: () => readonly string[]
  /** Addresses of the instances to which the leader at the given address announces itself; the same on all instances. */
  readonly witnesses: (leaderAddress: string, isLeader: boolean) => readonly string[]
}

/** A member that has not pinged the leader for this long is left out. Members of a large fleet ping every 0.6 s. */
const MEMBER_TIMEOUT_MS: Milliseconds = 1500
/** How long the leader uses a list and its digest before it makes them anew, since a large fleet pings often. */
const LIST_LIFE_MS: Milliseconds = 100
/** Several, so that some of them are up while others restart. */
const WITNESSES = 5

export function createMembers(clock: Clock, self: Member, seeds: readonly string[]): Members {
  const seen = new Map<string, {readonly member: Member; readonly at: Milliseconds}>()
  let announced: readonly Member[] = []
  let announcedDigest = 0
  let listed: {readonly members: readonly Member[]; readonly digest: number} | undefined
  let listedAt = -Infinity

  function recentMembers(): readonly Member[] {
    const now = clock.now()
    return [...seen.values()].filter(({at}) => now - at < MEMBER_TIMEOUT_MS).map(({member}) => member)
  }

  function currentMembers(isLeader: boolean): readonly Member[] {
    return isLeader ? recentMembers().concat(self) : announced
  }

  function listForFollowers(): {readonly members: readonly Member[]; readonly digest: number} {
    if (listed && clock.now() - listedAt < LIST_LIFE_MS) return listed
    const members = currentMembers(true)
    const text = members
      .map(({name, address, processors, linkMegabits = 0, isWarm = false}) =>
        [name, address, processors, linkMegabits, isWarm].join(" "),
      )
      .sort()
      .join()
    // 0 means that an instance has no list.
    listed = {members, digest: Math.max(1, hash32(text))}
    listedAt = clock.now()
    return listed
  }

  return {
    current: currentMembers,
    announced: () => announced,
    others(isNewTerm) {
      const recent = recentMembers()
      if (!isNewTerm) return recent
      const names = new Set([self.name, ...recent.map(({name}) => name)])
      return recent.concat(announced.filter(({name}) => !names.has(name)))
    },
    announce(members, digest) {
      announced = members
      announcedDigest = digest
    },
    announcedDigest: () => announcedDigest,
    listForFollowers,
    recordPing(member) {
      if (member.name !== "" && member.name !== self.name) seen.set(member.name, {member, at: clock.now()})
    },
    startTerm() {
      seen.clear()
      listed = undefined
    },
    addresses() {
      const addresses = new Set<string>([...seeds, ...announced.map(({address}) => address)])
      addresses.delete(self.address)
      return [...addresses]
    },
    witnesses(leaderAddress, isLeader) {
      const addresses = new Set<string>([...seeds, ...currentMembers(isLeader).map(({address}) => address)])
      addresses.delete(leaderAddress)
      return [...addresses].sort().slice(0, WITNESSES)
    },
  }
}
