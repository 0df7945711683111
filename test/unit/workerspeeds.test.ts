/** Tests of learned speeds of workers: the comparison of ends, and a play in which placement follows them. */
import test from "ava"
import type {LearnedSpeed} from "../../src/pipelines/workerspeeds.js"
import {learnSpeeds, relativeSpeed, TYPICAL_SPEED} from "../../src/pipelines/workerspeeds.js"
import {exponential, seededRandom} from "../../src/core/random.js"
import type {Played, PlayedJob} from "../support/passplay.js"
import {playPasses} from "../support/passplay.js"

/** Workers of the given speeds run one task each of many steps, which differ by a factor of ten. */
function learnFrom(speeds: readonly number[], steps: number, seed = 1): readonly number[] {
  const random = seededRandom(seed)
  let learned: readonly LearnedSpeed[] = speeds.map(() => TYPICAL_SPEED)
  for (let step = 0; step < steps; step += 1) {
    const work = 100 * 10 ** random.next()
    learned = learnSpeeds(
      speeds.map((speed, index) => ({
        duration: (work * (0.85 + 0.3 * random.next())) / speed,
        speed: learned[index] ?? TYPICAL_SPEED,
      })),
    )
  }
  return learned.map(relativeSpeed)
}

test("slow workers are known after a few steps, though steps differ far more than workers", t => {
  const [first = 1, second = 1, third = 1, slow = 1] = learnFrom([1.2, 1.2, 1.2, 0.55], 4)
  for (const fast of [first, second, third]) t.true(slow / fast < 0.65, `${slow / fast}`)
})

test("speeds are found among workers of one speed too, and differ little", t => {
  const speeds = learnFrom([1, 1, 1, 1, 1], 30)
  t.true(Math.max(...speeds) / Math.min(...speeds) < 1.15)
})

test("a task of seven times the usual length does not make its worker slow, and a pair of tasks tells nothing", t => {
  const ends = [100, 110, 700, 90, 105].map(duration => ({duration, speed: TYPICAL_SPEED}))
  t.is(learnSpeeds(ends)[2], TYPICAL_SPEED)
  const pair = [100, 200].map(duration => ({duration, speed: TYPICAL_SPEED}))
  t.deepEqual(learnSpeeds(pair), [TYPICAL_SPEED, TYPICAL_SPEED])
})

test("a speed that changes is followed, and what is remembered is bounded", t => {
  let learned: readonly LearnedSpeed[] = Array.from({length: 4}, () => TYPICAL_SPEED)
  const run = (durations: readonly number[]): void => {
    learned = learnSpeeds(
      durations.map((duration, index) => ({duration, speed: learned[index] ?? TYPICAL_SPEED})),
    )
  }
  for (let step = 0; step < 60; step += 1) run([100, 100, 100, 200])
  t.true(relativeSpeed(learned[3] ?? TYPICAL_SPEED) < 0.6)
  t.is(learned[3]?.ends, 16)
  for (let step = 0; step < 60; step += 1) run([100, 100, 100, 100])
  t.true(Math.abs(relativeSpeed(learned[3] ?? TYPICAL_SPEED) - 1) < 0.1)
})

test("under load that leaves a third of the workers free, jobs end sooner once slow workers are known", t => {
  const random = seededRandom(3)
  let at = 0
  const jobs: readonly PlayedJob[] = Array.from({length: 200}, () => {
    at += exponential(random, 110)
    const demand = {processors: 4, memoryMebibytes: 10, accelerators: 0}
    return {at: Math.round(at), runTime: 150 + 300 * random.next(), steps: [{count: 4, demand}]}
  })
  const speeds = {"r1-0": 0.55, "r1-3": 0.55, "r1-6": 0.55}
  const play = (learns: boolean): Played =>
    playPasses({waits: false, remoteFactor: 1, racks: {r1: 12}, speeds, jobs, learns})
  const meanOf = ({times}: Played): number =>
    Math.round(times.reduce((sum, time) => sum + time, 0) / times.length)
  const learned = play(true)
  const [without, learning] = [meanOf(play(false)), meanOf(learned)]
  t.true(learning < without * 0.85)
  const reported = learned.lines.filter(({event}) => event === "worker-speed")
  t.deepEqual(reported.map(({worker, outcome}) => [worker, outcome]).sort(), [
    ["r1-0", "slow"],
    ["r1-3", "slow"],
    ["r1-6", "slow"],
  ])
  t.snapshot({without, learning})
})
