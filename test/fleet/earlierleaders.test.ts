/** Which earlier leaders a new leader waits for, by what its claim and the record of the last term say. */
import test from "ava"
import {describeFormerTerm, findEarlierLeaders, NO_FORMER_TERM} from "../../src/planner/earlierleaders.js"
import type {FormerTerm, TermRecord} from "../../src/planner/records.js"
import {formatLeader, formatTerm, LEADER_KEY, TERM_KEY} from "../../src/planner/records.js"
import {readStoredWork} from "../../src/planner/storedwork.js"

const LEADER = {address: "entry:7000", processors: 1, claimedAt: 0, life: "life-1"}

function claimOf(name: string, revision: number, former: FormerTerm | undefined) {
  return {key: LEADER_KEY, revision, value: formatLeader({...LEADER, name, former})}
}

function recordOf(record: TermRecord) {
  return {key: TERM_KEY, revision: 1, value: formatTerm(record)}
}

test("a leader that fails before it has written its record leaves no doubt who led before it", t => {
  const first = claimOf("entry-1", 10, NO_FORMER_TERM)
  const second = claimOf("entry-2", 20, describeFormerTerm(first, undefined))
  const third = claimOf("entry-3", 30, describeFormerTerm(second, undefined))
  t.snapshot(findEarlierLeaders(readStoredWork([third])))
})

test("leaders that have stopped, by the record of the last term, are left out", t => {
  const earlier = [{name: "entry-0", term: 5, following: {names: ["entry-4"], missable: 0}}]
  const last = claimOf("entry-2", 20, {term: 10, leader: "entry-1", earlierLeaders: earlier})
  const record = recordOf({term: 20, earlierLeaders: earlier, followers: ["entry-1", "entry-3"]})
  const claim = claimOf("entry-3", 30, describeFormerTerm(last, record))
  const recordOfEarlierTerm = recordOf({term: 10, earlierLeaders: [], followers: ["entry-4"]})
  t.snapshot({
    claim: claim.value,
    found: findEarlierLeaders(readStoredWork([claim, record])),
    withoutRecord: findEarlierLeaders(readStoredWork([claim, recordOfEarlierTerm])),
  })
})

test("who may follow a leader is told by its own record, also when its successor has written none", t => {
  const first = claimOf("entry-1", 10, NO_FORMER_TERM)
  const second = claimOf("entry-2", 20, describeFormerTerm(first, undefined))
  const followers = ["entry-2", "entry-3", "entry-4", "entry-5"]
  // The first leader wrote it while the second one claimed.
  const record = recordOf({term: 10, earlierLeaders: [], followers})
  const third = claimOf("entry-3", 30, describeFormerTerm(second, record))
  t.snapshot(findEarlierLeaders(readStoredWork([third, record])))
})

test("which workers answer a leader is told by its own record, and carried on by those after it", t => {
  const first = claimOf("entry-1", 10, NO_FORMER_TERM)
  const firstRecord = recordOf({
    term: 10,
    earlierLeaders: [],
    followers: ["entry-2"],
    answeringWorkers: ["worker-1", "worker-2", "worker-3"],
  })
  const second = claimOf("entry-2", 20, describeFormerTerm(first, firstRecord))
  const found = findEarlierLeaders(readStoredWork([second, firstRecord]))
  const secondRecord = recordOf({
    term: 20,
    earlierLeaders: found,
    followers: ["entry-3"],
    answeringWorkers: ["worker-2", "worker-4"],
  })
  const third = claimOf("entry-3", 30, describeFormerTerm(second, secondRecord))
  t.snapshot([found, findEarlierLeaders(readStoredWork([third, secondRecord]))])
})

test("of an instance that has led twice only the later term counts", t => {
  const first = claimOf("entry-1", 10, NO_FORMER_TERM)
  const second = claimOf("entry-2", 20, describeFormerTerm(first, undefined))
  const third = claimOf("entry-1", 30, describeFormerTerm(second, undefined))
  const fourth = claimOf("entry-3", 40, describeFormerTerm(third, undefined))
  const found = findEarlierLeaders(readStoredWork([fourth]))
  t.deepEqual(
    found?.map(({name, term}) => [name, term]),
    [
      ["entry-2", 20],
      ["entry-1", 30],
    ],
  )
})

test("earlier leaders in records of earlier versions are known by their names only", t => {
  const former = {term: 20, leader: "entry-2", earlierLeaders: ["entry-0"]}
  const claim = {key: LEADER_KEY, revision: 30, value: JSON.stringify({...LEADER, name: "entry-3", former})}
  const record = {
    key: TERM_KEY,
    revision: 1,
    value: JSON.stringify({term: 20, earlierLeaders: ["entry-0"], followers: ["entry-3"]}),
  }
  t.snapshot([
    findEarlierLeaders(readStoredWork([claim])),
    findEarlierLeaders(readStoredWork([claim, record])),
  ])
})

test("the leaders before one whose claim names none, or whose key was lost, are not known", t => {
  const earlierVersion = claimOf("entry-1", 10, undefined)
  const second = claimOf("entry-2", 20, describeFormerTerm(earlierVersion, undefined))
  const roster = {key: "lacewing/roster", revision: 5, value: JSON.stringify([{id: "worker-1"}])}
  const first = claimOf("entry-3", 30, NO_FORMER_TERM)
  t.snapshot([
    findEarlierLeaders(readStoredWork([second])),
    findEarlierLeaders(readStoredWork([first, roster])),
    findEarlierLeaders(readStoredWork([first])),
  ])
})

// Records of several leaders of thousands of instances would have outgrown the store, so that nobody could have led.
test("the followers of earlier leaders are left out where a record would be too long, and those leaders count as acting", t => {
  const names = Array.from({length: 7000}, (_, index) => `edge-cascadia-a-${index}`)
  const earlierLeaders = Array.from({length: 15}, (_, index) => ({
    name: `leader-${index}`,
    term: index + 1,
    following: {names, missable: 1750},
    answering: {names: ["worker-1", "worker-2"], missable: 1},
  }))
  const record = recordOf({term: 20, earlierLeaders, followers: names})
  const claim = claimOf("entry-3", 30, {term: 20, leader: "entry-2", earlierLeaders})
  for (const {value} of [record, claim]) t.true(value.length < 2 ** 19, `${value.length} bytes`)
  const found = findEarlierLeaders(readStoredWork([claim, record])) ?? []
  t.is(found.length, 16)
  t.deepEqual(
    found.slice(0, 15).map(({following}) => following),
    Array.from({length: 15}, () => undefined),
  )
  t.is(found.at(-1)?.following?.names.length, 7000)
  t.true(
    found.slice(0, 15).every(({answering}) => answering?.names.length === 2),
    "the workers are kept",
  )
})
