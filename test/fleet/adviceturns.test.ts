/** Calls to the advice service under a backlog after a takeover, over instances that differ. */
import test from "ava"
import {ok} from "neverthrow"
import {sleep} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {seededRandom} from "../../src/core/random.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {VirtualClock} from "../../src/core/virtualclock.js"
import {busyFor, chooseCallMaker, findNextCall, mayMakeLongCall} from "../../src/pipelines/adviceturns.js"
import type {AdviceCalls} from "../../src/pipelines/ports.js"
import {createAdviceCaller} from "../../src/planner/advicecaller.js"
import type {AdviceRequester} from "../../src/planner/advicedispatcher.js"
import {createAdviceDispatcher} from "../../src/planner/advicedispatcher.js"

const SHORT_MS = 65
const LONG_MS = 1650
const TURN = {takenUntil: 0, isStopping: false}

test("the most urgent call is made first, the oldest of equal ones, and long calls leave room for short ones", t => {
  const calls = [
    {priority: 1, duration: LONG_MS},
    {priority: 2, duration: SHORT_MS},
    {priority: 0, duration: SHORT_MS},
    {priority: 0, duration: SHORT_MS},
  ]
  t.is(findNextCall(calls, true), 2)
  t.is(findNextCall(calls.slice(0, 2), true), 0)
  t.is(findNextCall(calls.slice(0, 2), false), 1)
  t.is(findNextCall(calls.slice(0, 1), false), -1)
  t.deepEqual(
    [1, 2, 4, 41].map(
      instances =>
        Array.from({length: 50}, (_, long) => mayMakeLongCall(instances, long)).filter(Boolean).length,
    ),
    [1, 1, 3, 31],
  )
})

test("short calls go to the most powerful instance, long ones to the least powerful", t => {
  const makers = [0.3, 1.3, 0.6].map(processors => ({processors}))
  t.is(chooseCallMaker({priority: 0, duration: SHORT_MS}, makers)?.processors, 1.3)
  t.is(chooseCallMaker({priority: 0, duration: LONG_MS}, makers)?.processors, 0.3)
  t.is(chooseCallMaker({priority: 0, duration: LONG_MS}, makers.slice(3)), undefined)
})

test("an instance makes no call that would wait long behind another one, and none when it stops", t => {
  t.is(busyFor({...TURN, takenUntil: 1000}, SHORT_MS, 200), 800)
  t.is(busyFor({...TURN, takenUntil: 210}, SHORT_MS, 200), 0)
  t.is(busyFor({...TURN, takenUntil: 500}, LONG_MS, 200), 0)
  t.true(busyFor({...TURN, isStopping: true}, SHORT_MS, 200) > 0)
  t.is(busyFor({takenUntil: 1000, isStopping: true}, 0, 200), 0)
})

const INSTANCES = 41
/** Calls of the former leader that the service still works on at the takeover. */
const FORMER_CALLS = 29

/** The service of one instance: one call at a time, each to its end. */
function serviceFor(clock: VirtualClock, freeAt: number): AdviceCalls {
  let takenUntil = freeAt
  return {
    async ask(step, workers) {
      takenUntil = Math.max(takenUntil, clock.now()) + (step.startsWith("long") ? LONG_MS : SHORT_MS)
      await sleep(clock, takenUntil - clock.now())
      return ok(workers.map(worker => ({worker, ticket: step})))
    },
  }
}

interface Answer {
  readonly step: string
  readonly took: number
}

/** Plays a takeover at which urgent and long calls wait at once; more urgent ones come later. */
async function playTakeover(knowsTurns: boolean): Promise<readonly Answer[]> {
  const clock = virtualClock()
  const random = seededRandom(7)
  const answers: Answer[] = []
  const requesters = Array.from({length: INSTANCES}, (_, index): AdviceRequester => {
    const caller = createAdviceCaller(clock, SILENT_LOGGER, serviceFor(clock, 0), () => false)
    const durationMs = knowsTurns ? LONG_MS : 0
    // The former leader's calls have begun at different times.
    const beginFormer = (): void => {
      void caller.ask({step: `long former-${index}`, workers: ["w"], timeoutMs: 3000, durationMs})
    }
    if (index < FORMER_CALLS) clock.after(1 + random.next() * 900, beginFormer)
    return {
      name: `entry-${index}`,
      processors: index % 7 === 0 ? 1.35 : 0.243,
      requestAdvice: question => caller.ask({...question, durationMs: knowsTurns ? question.durationMs : 0}),
    }
  })
  await clock.advance(1000)
  const dispatcher = createAdviceDispatcher(clock, SILENT_LOGGER, () => requesters)
  function submit(step: string, priority: number, duration: number): void {
    const submittedAt = clock.now()
    dispatcher.submit({
      step,
      workers: ["w"],
      priority,
      duration,
      isWanted: () => true,
      onAnswer: () => void answers.push({step, took: clock.now() - submittedAt}),
    })
  }
  for (let index = 0; index < 110; index += 1) submit(`urgent-${index}`, 0, SHORT_MS)
  for (let index = 0; index < 30; index += 1) submit(`long-${index}`, 1, LONG_MS)
  for (let index = 0; index < 120; index += 1)
    clock.after(1000 + index * 20, () => submit(`later-${index}`, 0, SHORT_MS))
  await clock.advance(8000)
  return answers
}

function quantile(answers: readonly Answer[], prefix: string, share: number): number {
  const times = answers.filter(({step}) => step.startsWith(prefix)).map(({took}) => took)
  return Math.round(times.sort((one, other) => one - other)[Math.floor(times.length * share)] ?? Infinity)
}

test("urgent calls of a new leader wait for free instances, not behind calls of the former one", async t => {
  const answers = await playTakeover(true)
  t.is(answers.length, 260)
  t.log(
    ["urgent", "later", "long"].map(kind => [
      kind,
      quantile(answers, kind, 0.5),
      quantile(answers, kind, 0.99),
    ]),
  )
  t.true(quantile(answers, "urgent", 0.99) < 1000)
  t.true(quantile(answers, "later", 0.99) < 150)
  t.true(quantile(answers, "long", 0.99) < 4500)
})

test("without the turns that instances know, urgent calls wait for the calls of the former leader", async t => {
  const answers = await playTakeover(false)
  t.log(
    ["urgent", "later", "long"].map(kind => [
      kind,
      quantile(answers, kind, 0.5),
      quantile(answers, kind, 0.99),
    ]),
  )
  t.true(quantile(answers, "urgent", 0.99) > 1000)
})

test("an instance is free again as soon as the service has answered, and after a call that was not sent", async t => {
  const clock = virtualClock()
  const caller = createAdviceCaller(clock, SILENT_LOGGER, serviceFor(clock, 0), () => false)
  const ask = (step: string, durationMs: number) =>
    caller.ask({step, workers: ["w"], timeoutMs: 3000, durationMs})
  const first = ask("short", 900)
  await clock.advance(10)
  t.is((await ask("short", SHORT_MS)).busyMs, 890)
  t.is(caller.countBusy(), 1)
  await clock.advance(SHORT_MS)
  t.is((await first).permits?.length, 1)
  const next = ask("short", SHORT_MS)
  await clock.advance(SHORT_MS)
  t.is((await next).busyMs, 0)
})
