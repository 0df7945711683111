/** Requests to the advice service are distributed over the instances, and none is lost. */
import test from "ava"
import {virtualClock} from "../../src/core/virtualclock.js"
import {sleep} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import type {AdviceReply} from "../../src/peer/fleet.js"
import {createAdviceDispatcher} from "../../src/planner/advicedispatcher.js"
import type {AdviceRequester, AdviceRequest} from "../../src/planner/advicedispatcher.js"

function setUp(requesterCount: number, duration: number, isFailing: () => boolean) {
  const clock = virtualClock()
  const answered: {readonly step: string; readonly at: number}[] = []
  const requesters = Array.from({length: requesterCount}, (_, index): AdviceRequester => {
    return {
      name: `entry-${index}`,
      processors: 1,
      async requestAdvice({step}): Promise<AdviceReply> {
        await sleep(clock, duration)
        const permits = isFailing() ? undefined : [{worker: "w", ticket: step}]
        return {permits, busyMs: 0, serviceMs: duration}
      },
    }
  })
  const dispatcher = createAdviceDispatcher(clock, SILENT_LOGGER, () => requesters)
  const submit = (step: string, rest: Partial<AdviceRequest> = {}): void =>
    dispatcher.submit({
      step,
      workers: ["w"],
      priority: 0,
      duration,
      isWanted: () => true,
      onAnswer(permits) {
        if (permits) answered.push({step, at: clock.now()})
        else submit(step, rest)
      },
      ...rest,
    })
  return {clock, answered, submit}
}

test("a call that failed everywhere is repeated without a further request", async t => {
  let failures = 4
  const {clock, answered, submit} = setUp(2, 30, () => (failures -= 1) >= 0)
  submit("step")
  await clock.advance(5000)
  t.deepEqual(
    answered.map(({step}) => step),
    ["step"],
  )
})

test("long calls leave an instance free for short ones", async t => {
  const {clock, answered, submit} = setUp(4, 30, () => false)
  for (let index = 0; index < 8; index += 1) submit(`long-${index}`, {duration: 900, priority: 1})
  submit("short")
  await clock.advance(35)
  t.true(answered.some(({step}) => step === "short"))
})

test("short calls go to the most powerful instance, long ones to the least powerful", t => {
  const asked: string[] = []
  const members = [0.3, 1.3, 0.6].map((processors): AdviceRequester => {
    return {
      name: `processors ${processors}`,
      processors,
      requestAdvice({step}) {
        asked.push(`${step} at ${processors}`)
        return new Promise(() => undefined)
      },
    }
  })
  const dispatcher = createAdviceDispatcher(virtualClock(), SILENT_LOGGER, () => members)
  const request = {workers: ["w"], priority: 0, isWanted: () => true, onAnswer: () => undefined}
  dispatcher.submit({...request, step: "long", duration: 900})
  dispatcher.submit({...request, step: "short", duration: 30})
  t.deepEqual(asked, ["long at 0.3", "short at 1.3"])
})
