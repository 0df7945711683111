/** Tests of waits for a rack on which tasks run faster: the pure decision, and plays of whole passes under load. */
import test from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import {exponential, seededRandom} from "../../src/core/random.js"
import {chooseWorkersForAdvice} from "../../src/pipelines/adviceselection.js"
import {createRunTimes} from "../../src/pipelines/runtimes.js"
import type {BetterPlace, WaitPrices} from "../../src/pipelines/waiting.js"
import {
  boundWait,
  crowdingOf,
  expectOpenings,
  expectRemaining,
  LONGEST_WAIT_MS,
  weighWait,
} from "../../src/pipelines/waiting.js"
import type {Step} from "../../src/pipelines/model.js"
import {QUEUE, STEP} from "../support/fleet.js"
import type {PassPlay, Played, PlayedJob} from "../support/passplay.js"
import {playPasses} from "../support/passplay.js"

const TASK = {processors: 4, memoryMebibytes: 10, accelerators: 0}

function placeOf(rest: Partial<BetterPlace> = {}): BetterPlace {
  return {free: {...TASK, processors: 0}, limit: Infinity, releases: [], ...rest}
}

function releaseOf(after: Milliseconds, processors = 4): BetterPlace["releases"][number] {
  return {after, capacity: {...TASK, processors}}
}

test("room is expected once enough of what runs has ended, and for one task after the other", t => {
  const places = [
    placeOf({releases: [releaseOf(100, 2), releaseOf(300, 2), releaseOf(900)]}),
    placeOf({releases: [releaseOf(200)]}),
  ]
  t.deepEqual(
    [1, 2, 3, 4].map(tasks => expectOpenings(TASK, tasks, places, 1000)),
    [200, 300, 900, Infinity],
  )
  t.is(expectOpenings(TASK, 3, places, 800), Infinity, "what lies beyond the horizon does not count")
  t.is(expectOpenings(TASK, 1, [placeOf({free: TASK})], 1000), 0)
  t.is(expectOpenings(TASK, 1, [placeOf({free: TASK, limit: 0})], 1000), Infinity)
  const promised = placeOf({free: {...TASK, processors: -4}, releases: [releaseOf(100), releaseOf(200)]})
  t.is(expectOpenings(TASK, 1, [promised], 1000), 200, "what is promised to others comes first")
})

const PRICES: WaitPrices = {
  runTime: 500,
  remoteFactor: 2,
  timeToEnd: 500,
  untilDue: 800,
  untilTooLate: 2400,
  waited: 0,
  sinceTurn: 0,
}

const ALONE = {position: 1, load: 0}

test("a wait pays that is shorter than what the slower place costs, within the objective and a total limit", t => {
  t.is(weighWait(200, PRICES, ALONE), "pays")
  t.is(weighWait(0, PRICES, ALONE), "pays")
  t.is(weighWait(400, PRICES, ALONE), "objective", "the job would be late near its data too")
  t.is(weighWait(600, {...PRICES, untilDue: 5000}, ALONE), "too-long")
  t.is(weighWait(Infinity, PRICES, ALONE), "no-prospect")
  t.is(weighWait(200, {...PRICES, remoteFactor: 1}, ALONE), "limit", "other racks are not slower")
  t.is(
    weighWait(100, {...PRICES, waited: 450, untilDue: 5000}, ALONE),
    "limit",
    "it has waited for nothing before",
  )
})

test("a wait ends before it puts an objective at risk that the slower place would meet", t => {
  t.deepEqual(boundWait({...PRICES, untilDue: 1100}), {bound: 300, by: "objective"})
  t.is(weighWait(250, {...PRICES, untilDue: 1100}, ALONE), "pays")
  t.is(weighWait(350, {...PRICES, untilDue: 1100}, ALONE), "objective")
  t.deepEqual(boundWait({...PRICES, untilDue: 490, untilTooLate: 1200}), {bound: 350, by: "objective"})
  t.deepEqual(boundWait({...PRICES, untilDue: -900, untilTooLate: 100}), {bound: 0, by: "objective"})
})

test("a wait costs those who come later, the more of them the more work comes for the rack", t => {
  t.deepEqual(
    [0, 1, 1.5].map(load => [1, 2, 3].map(position => crowdingOf({position, load}))),
    [
      [1, 1, 1],
      [1, 1.5, 2],
      [1, 1.75, 2.75],
    ],
  )
  t.true(Number.isFinite(crowdingOf({position: 1e6, load: 1.5})))
  t.is(crowdingOf({position: 1, load: 1.6}), Infinity)
  t.is(weighWait(250, PRICES, {position: 3, load: 0.2}), "pays")
  t.is(weighWait(250, PRICES, {position: 3, load: 1.2}), "crowded")
})

test("however slow other racks are, the wait of a step has a limit", t => {
  const slow = {...PRICES, runTime: 60_000, timeToEnd: 60_000, untilDue: 1e6, untilTooLate: 2e6}
  t.deepEqual(boundWait({...slow, sinceTurn: 100}), {bound: LONGEST_WAIT_MS - 100, by: "limit"})
  t.is(weighWait(1, {...slow, sinceTurn: LONGEST_WAIT_MS}, ALONE), "limit", "whatever it waited for")
})

test("the end of a task is expected by its progress, else by run times, else not at all", t => {
  const work = {elapsed: 300, progressPercent: 50, elapsedAtProgress: 200, expected: 2000}
  t.is(expectRemaining(work), 100)
  t.is(expectRemaining({...work, progressPercent: 2}), 1700, "too little progress tells nothing")
  t.is(expectRemaining({...work, progressPercent: 0, expected: undefined}), Infinity)
  t.is(expectRemaining({...work, progressPercent: 0, expected: 100}), 150, "a long task may take much longer")
})

function record(times: ReturnType<typeof createRunTimes>, duration: Milliseconds, estimate = 500): void {
  times.record({queue: "q", stepIndex: 0, tasks: 1, estimate, duration})
}

test("run times are learned: estimates off by a factor are corrected, and a tail of long tasks weighs little", t => {
  const times = createRunTimes()
  t.is(times.expect("q", 0, 500), undefined, "nothing is known")
  for (const estimate of [100, 200, 400, 800, 300, 600, 150, 500]) record(times, estimate * 3, estimate)
  t.is(Math.round(times.expect("q", 0, 1000) ?? 0), 3000, "estimates are a third of the run time")
  const wild = createRunTimes()
  for (const estimate of [50, 900, 120, 700, 80, 950, 60, 800, 100, 500]) record(wild, 500, estimate)
  t.is(Math.round(wild.expect("q", 0, 50) ?? 0), 500, "estimates tell nothing")
  const tail = createRunTimes()
  for (let index = 0; index < 60; index += 1) record(tail, index % 20 === 0 ? 3500 : 500)
  const expected = tail.expect("q", 0, 500) ?? 0
  t.true(expected >= 500 && expected < 600, `${expected}`)
})

test("learned run times follow a change, count wide steps like narrow ones, and are bounded", t => {
  const times = createRunTimes()
  for (let index = 0; index < 50; index += 1) record(times, 1000)
  for (let index = 0; index < 60; index += 1) record(times, 200)
  t.true((times.expect("q", 0, 500) ?? 0) < 300)
  for (let index = 0; index < 50; index += 1)
    times.record({queue: "q", stepIndex: 0, tasks: 50, estimate: 500, duration: 5000})
  t.true((times.expect("q", 0, 500) ?? 0) < 400, "one step with 50 tasks is one sample")
  for (let index = 0; index < 2000; index += 1)
    times.record({queue: `q${index}`, stepIndex: 0, tasks: 1, estimate: 500, duration: 500})
  t.is(times.size(), 512)
  t.is(times.expect("q", 0, 500), undefined)
})

/** A queue whose jobs have half their run time and 400 ms to spare. */
const CHECKS = {...QUEUE, latencyTarget: 400}

function jobAt(at: Milliseconds, runTime: Milliseconds, rest: Partial<Step> = {}): PlayedJob {
  return {
    at,
    runTime,
    queue: CHECKS,
    steps: [{demand: TASK, preferredRack: "r1", estimate: runTime, ...rest}],
  }
}

/** Jobs from which the run times are learned, long before the others. */
function lessons(runTime: Milliseconds): readonly PlayedJob[] {
  return Array.from({length: 6}, (_, index) => jobAt(index * 1000, runTime))
}

const LESSONS = 6
const LOAD_AT: Milliseconds = 12_000

function compare(play: Omit<PassPlay, "waits">): {readonly without: Played; readonly waiting: Played} {
  return {without: playPasses({...play, waits: false}), waiting: playPasses({...play, waits: true})}
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function loadOf({times}: Played): readonly Milliseconds[] {
  return times.slice(LESSONS)
}

function eventsOf({lines}: Played): readonly unknown[] {
  return lines.map(({event, outcome}) => [event, outcome].filter(Boolean).map(String).join(": "))
}

// Two workers hold the data of all jobs and have room for four tasks at once; the others are idle.
const ONE_RACK = {remoteFactor: 3, racks: {r1: 2, r2: 12}, showsProgress: true}

/**
 * Jobs of 300 ms in the mean, which come at random. The load is what comes for the rack as a share of what it can do.
 * Estimates are off by up to the given share, and one task in twenty runs seven times as long.
 */
function randomLoad(load: number, offBy: number, seed: number): readonly PlayedJob[] {
  const random = seededRandom(seed)
  let at = LOAD_AT
  return Array.from({length: 150}, () => {
    at += exponential(random, 300 / 4 / load)
    const usual = 120 + 240 * random.next()
    const runTime = Math.round(random.next() < 0.05 ? usual * 7 : usual)
    return jobAt(Math.round(at), runTime, {estimate: usual * (1 + offBy * (2 * random.next() - 1))})
  })
}

/** How the jobs fare: mean time, and the share that end within 1.5 times their run time and 400 ms more. */
function fare(jobs: readonly PlayedJob[], played: Played): {readonly mean: number; readonly inTime: number} {
  const times = loadOf(played)
  const inTime = times.filter((time, index) => time <= 1.5 * (jobs[index]?.runTime ?? 0) + 400).length
  return {mean: Math.round(meanOf(times)), inTime: Math.round((inTime / times.length) * 100) / 100}
}

function playLoad(load: number, offBy: number, rest: Partial<PassPlay> = {}) {
  const jobs = [1, 2, 3].flatMap(seed => randomLoad(load, offBy, seed).map(job => ({...job, seed})))
  const rows = [1, 2, 3].map(seed => {
    const own = jobs.filter(job => job.seed === seed)
    const {without, waiting} = compare({...ONE_RACK, ...rest, jobs: [...lessons(300), ...own]})
    return {
      without: fare(own, without),
      waiting: fare(own, waiting),
      waits: eventsOf(waiting).filter(event => event === "wait-begun").length,
    }
  })
  const mean = (pick: (row: (typeof rows)[number]) => number): number =>
    Math.round(meanOf(rows.map(pick)) * 100) / 100
  return {
    load,
    without: {mean: mean(row => row.without.mean), inTime: mean(row => row.without.inTime)},
    waiting: {mean: mean(row => row.waiting.mean), inTime: mean(row => row.waiting.inTime)},
    waits: mean(row => row.waits),
  }
}

test("callers have their jobs sooner while the rack can do the work that comes for it", t => {
  const rows = [0.5, 0.8, 1].map(load => playLoad(load, 0.9))
  for (const {load, without, waiting} of rows) {
    t.true(waiting.mean < without.mean, `load ${load}`)
    t.true(waiting.inTime >= without.inTime, `load ${load}`)
  }
  t.snapshot(rows)
})

test("where more comes for the rack than it can do, nobody waits for long", t => {
  const rows = [1.3, 2, 4].map(load => playLoad(load, 0.9))
  for (const {load, without, waiting} of rows) {
    t.true(waiting.mean < without.mean * 1.05, `load ${load}`)
    // The first jobs wait before the load is known to be lasting.
    t.true(waiting.inTime > without.inTime - 0.05, `load ${load}`)
  }
  t.snapshot(rows)
})

test("without reported progress the learned run times tell when the rack is free", t => {
  const {without, waiting} = playLoad(0.8, 0.9, {showsProgress: false})
  t.true(waiting.mean < without.mean)
  t.true(waiting.inTime >= without.inTime)
  t.snapshot(waiting)
})

/** Jobs that fill the rack at `LOAD_AT`, one task on each half of its two workers. */
function fillRack(runTime: Milliseconds, rest: Partial<Step> = {}): readonly PlayedJob[] {
  return [jobAt(LOAD_AT, runTime, {count: 4, ...rest})]
}

/** 100 ms before the tasks that fill the rack end, if they take 300 ms. */
const LAST = {at: LOAD_AT + 200}

test("a task waits for a rack that is full of short tasks, and not for one that is full of long ones", t => {
  const wanting = jobAt(LAST.at, 300)
  const short = playPasses({...ONE_RACK, waits: true, jobs: [...lessons(300), ...fillRack(300), wanting]})
  t.deepEqual(eventsOf(short), ["wait-begun", "wait-ended: near"])
  t.deepEqual([...(short.racks.at(-1) ?? [])], ["r1"])
  t.is(short.times.at(-1), 400, "100 ms of waiting and its run time near its data, in place of 900 ms")
  const queue = {...CHECKS, name: "long"}
  const long = [
    ...lessons(300),
    ...lessons(4000).map(job => ({...job, queue})),
    {...fillRack(4000)[0], queue},
  ]
  const declined = playPasses({...ONE_RACK, waits: true, jobs: [...long, wanting] as readonly PlayedJob[]})
  t.is(eventsOf(declined).at(-1), "wait-declined: crowded")
  t.is(declined.startDelays.at(-1), 0)
})

test("places that a part of the tasks takes now are not expected for the others", t => {
  const queue = {...CHECKS, name: "long"}
  const [filler] = fillRack(4000, {count: 2})
  const jobs = [...lessons(300), ...lessons(4000).map(job => ({...job, queue})), {...filler, queue}]
  const wanting = jobAt(LAST.at, 300, {count: 4})
  const played = playPasses({...ONE_RACK, waits: true, jobs: [...jobs, wanting] as readonly PlayedJob[]})
  t.is(eventsOf(played).at(-1), "wait-declined: crowded")
  t.is(played.startDelays.at(-1), 0)
})

test("a step stops waiting when the estimate worsens, and no wait is longer than its bound", t => {
  // What fills the rack runs seven times as long as usual, and reports no progress.
  const jobs = [...lessons(300), ...fillRack(2100, {estimate: 300}), jobAt(LAST.at, 300)]
  const played = playPasses({...ONE_RACK, waits: true, showsProgress: false, jobs})
  t.is(eventsOf(played)[0], "wait-begun")
  t.regex(String(eventsOf(played)[1]), /^wait-ended: (too-long|objective|limit|no-prospect)$/)
  t.true((played.startDelays.at(-1) ?? Infinity) <= 550)
  t.true((played.times.at(-1) ?? Infinity) <= 550 + 900)
})

test("a job whose objective is nearly over starts at once, wherever there is room", t => {
  // A late completion counts until 1.05 times 300 ms three times over: 45 ms more than the slower place takes.
  const queue = {...QUEUE, slackFactor: 1.05, latencyTarget: 0}
  const filler = {...fillRack(800)[0], queue: {...CHECKS, name: "other"}}
  const jobs = [...lessons(300).map(job => ({...job, queue})), filler, {...jobAt(LOAD_AT + 410, 300), queue}]
  const played = playPasses({...ONE_RACK, waits: true, jobs: jobs as readonly PlayedJob[]})
  t.is(eventsOf(played).at(-1), "wait-declined: objective")
  t.is(played.times.at(-1), 900)
})

test("a leader that has just taken over knows no run times, and nothing waits", t => {
  const played = playPasses({...ONE_RACK, waits: true, jobs: [...fillRack(300), jobAt(LAST.at, 300)]})
  t.deepEqual(eventsOf(played), ["wait-declined: unknown"])
  t.is(played.startDelays.at(-1), 0)
})

test("where other racks are not slower nothing changes", t => {
  const jobs = [...lessons(300), ...randomLoad(1, 0.9, 1)]
  const {without, waiting} = compare({...ONE_RACK, remoteFactor: 1, jobs})
  t.deepEqual(waiting, without)
})

test("tasks that run faster together wait for one rack, and run apart if that takes too long", t => {
  const demand = {...TASK, processors: 8}
  const gang = {gang: true, sameRack: true, preferredRack: "", count: 2, demand}
  const racks = {r1: 2, r2: 2}
  const together = Array.from({length: LESSONS}, (_, index) => jobAt(index * 1000, 300, gang))
  // One worker of each rack is in use.
  const play = (runTime: Milliseconds): Played =>
    playPasses({
      ...ONE_RACK,
      racks,
      waits: true,
      jobs: [
        ...together,
        jobAt(LOAD_AT, runTime, {demand, preferredRack: "r1"}),
        jobAt(LOAD_AT, runTime, {demand, preferredRack: "r2"}),
        jobAt(LOAD_AT + 450, 300, gang),
      ],
    })
  const short = play(600)
  t.deepEqual(eventsOf(short), ["wait-begun", "wait-ended: near"])
  t.is(short.racks.at(-1)?.size, 1)
  t.is(short.times.at(-1), 450)
  const long = play(5000)
  t.deepEqual(eventsOf(long), ["wait-declined: crowded"])
  t.is(long.racks.at(-1)?.size, 2)
  t.is(long.startDelays.at(-1), 0)
})

test("the workers of a rack leave while steps wait for it: the steps start elsewhere at once", t => {
  const jobs = [...lessons(300), ...fillRack(300), ...[0, 20, 40].map(after => jobAt(LAST.at + after, 300))]
  const leaveAt = LAST.at + 50
  const played = playPasses({
    ...ONE_RACK,
    waits: true,
    jobs,
    before(now, workers) {
      if (now !== leaveAt) return
      for (const worker of workers)
        if (worker.listing.rack === "r1") worker.listing = {...worker.listing, leaving: true}
    },
  })
  t.is(eventsOf(played).filter(event => event === "wait-begun").length, 3)
  t.is(eventsOf(played).filter(event => event === "wait-ended: no-prospect").length, 3)
  t.deepEqual(played.startDelays.slice(-3), [50, 30, 10])
})

test("steps that wait hold up nobody: others start at once elsewhere, and do not crowd the rack", t => {
  const others = [0, 10, 20, 100].map(after => jobAt(LAST.at + after, 300, {preferredRack: ""}))
  const jobs = [...lessons(300), ...fillRack(300), jobAt(LAST.at - 50, 300), ...others]
  const played = playPasses({...ONE_RACK, waits: true, jobs})
  t.deepEqual(played.startDelays.slice(-4), [0, 0, 0, 0])
  t.deepEqual(
    played.racks.slice(-4).map(racks => [...racks]),
    [["r2"], ["r2"], ["r2"], ["r2"]],
  )
  t.is(played.times.at(-5), 450)
})

test("nor do steps that wait hold up others while the service is busy", t => {
  const other = jobAt(LAST.at, 300, {preferredRack: ""})
  const jobs = [...lessons(300), ...fillRack(300), jobAt(LAST.at - 50, 300), other]
  const played = playPasses({...ONE_RACK, racks: {r1: 2, r2: 1}, waits: true, jobs})
  t.deepEqual(eventsOf(played), ["wait-begun", "wait-ended: near"])
  t.is(played.startDelays.at(-1), 0)
})

test("a call for advice names near workers, and leaves room for others that are free", t => {
  const candidate = (id: string, processors: number, isNear: boolean) => ({
    id,
    free: {...TASK, processors},
    held: 0,
    allowed: false,
    isNear,
  })
  const candidates = [
    ...Array.from({length: 20}, (_, index) => candidate(`far-${index}`, 8, false)),
    ...Array.from({length: 10}, (_, index) => candidate(`near-${index}`, index === 0 ? 8 : 0, true)),
  ]
  // A call names ten workers.
  const terms = {base: 100, perWorker: 6, ticketLife: 2000}
  const named = chooseWorkersForAdvice({...STEP, demand: TASK}, candidates, terms, false)
  t.is(named.length, 10)
  t.is(named[0], "near-0", "a near worker with room comes first")
  t.is(named.filter(id => id.startsWith("far-")).length, 4)
  t.is(named.filter(id => id.startsWith("near-")).length, 6)
})
