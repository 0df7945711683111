/**
 * Which leaders of earlier terms may still extend leases, and who may still follow them. The claim of a leader names those
 * before it, in the same write that makes it the leader, so that its successor knows them even if it fails at once. The
 * record of the term, which it writes later, leaves out those that have stopped since, and names its own followers and
 * workers that answer it.
 */
import type {StoredItem} from "../pipelines/ports.js"
import {INSTANCE_SUPPORT, supportersOf, WORKER_SUPPORT} from "../pipelines/support.js"
import type {Supporters} from "../pipelines/support.js"
import type {EarlierLeader, FormerTerm, TermRecord} from "./records.js"
import {parseLeader, parseTerm} from "./records.js"
import type {StoredWork} from "./storedwork.js"

/** Undefined if the leaders are not known. */
type EarlierLeaders = readonly EarlierLeader[] | undefined

const NOBODY: Supporters = {names: [], missable: 0}

/** The term that the first claim of all replaces. */
export const NO_FORMER_TERM: FormerTerm = {term: 0, leader: undefined, earlierLeaders: []}

/** The leaders before a claim that replaced the given term, in the order of their terms. */
function listLeadersBefore(former: FormerTerm | undefined): EarlierLeaders {
  if (former?.term === 0) return []
  const {leader, earlierLeaders} = former ?? {}
  if (leader === undefined || !earlierLeaders) return undefined
  // An instance that has led again acts in its later term only.
  const others = earlierLeaders.filter(({name}) => name !== leader)
  return [...others, {name: leader, term: former?.term}]
}

/** Describes the present term for a claim that replaces it, from the leader key and the record of the term, if any. */
export function describeFormerTerm(leaderItem: StoredItem, termItem: StoredItem | undefined): FormerTerm {
  const leader = parseLeader(leaderItem.value)
  const record = termItem && parseTerm(termItem.value)
  const recorded = record?.term === leaderItem.revision ? record.earlierLeaders : undefined
  return {
    term: leaderItem.revision,
    leader: leader?.name,
    earlierLeaders: recorded ?? listLeadersBefore(leader?.former),
  }
}

/**
 * Adds who may support the leaders, by the last record that was written. Its writer knew who may support the leaders
 * before it. Those after it have written no record, so that nobody counts as their supporter.
 */
function addSupporters(leaders: readonly EarlierLeader[], record: TermRecord | undefined): EarlierLeaders {
  const complete = leaders.map((leader): EarlierLeader => {
    const {term} = leader
    if (term === undefined) return leader
    if (term > (record?.term ?? 0)) return {...leader, following: NOBODY}
    if (term !== record?.term) return leader
    const {followers, answeringWorkers} = record
    const following = supportersOf(followers, INSTANCE_SUPPORT)
    if (!answeringWorkers) return {...leader, following}
    return {...leader, following, answering: supportersOf(answeringWorkers, WORKER_SUPPORT)}
  })
  const writer = leaders.findIndex(({term}) => term !== undefined && term === record?.term)
  const before = writer < 0 ? undefined : record?.earlierLeaders
  if (!before) return complete
  const later = complete.slice(writer)
  return [...before.filter(({name}) => later.every(other => other.name !== name)), ...later]
}

/** Reads which leaders before the one that the stored work names may still act; undefined if they are not known. */
export function findEarlierLeaders({leader, roster, term: record}: StoredWork): EarlierLeaders {
  const former = leader?.former
  // Workers that nobody can have recorded show that the leader key was lost.
  if (former?.term === 0 && roster.some(({workers}) => workers.length > 0)) return undefined
  const leaders = listLeadersBefore(
    former && record?.term === former.term
      ? {...former, earlierLeaders: record.earlierLeaders ?? former.earlierLeaders}
      : former,
  )
  return leaders && addSupporters(leaders, record)
}
