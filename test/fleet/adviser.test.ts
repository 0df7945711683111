/** Calls for advice are spread over instances, and none is forgotten. */
import test from "ava"
import {virtualClock} from "../../src/core/virtualclock.js"
import {sleep} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import type {Permit} from "../../src/pipelines/ports.js"
import {createAdviser} from "../../src/planner/adviser.js"
import type {Asker, Question} from "../../src/planner/adviser.js"

function setUp(askers: number, duration: number, failing: () => boolean) {
  const clock = virtualClock()
  const answered: {readonly step: string; readonly at: number}[] = []
  const members = Array.from({length: askers}, (_, index): Asker => {
    return {
      name: `entry-${index}`,
      processors: 1,
      async ask(step): Promise<readonly Permit[] | undefined> {
        await sleep(clock, duration)
        return failing() ? undefined : [{worker: "w", ticket: step}]
      },
    }
  })
  const adviser = createAdviser(clock, SILENT_LOGGER, () => members)
  const ask = (step: string, rest: Partial<Question> = {}): void =>
    adviser.ask({
      step,
      workers: ["w"],
      priority: 0,
      duration,
      isWanted: () => true,
      onAnswer(permits) {
        if (permits) answered.push({step, at: clock.now()})
        else ask(step, rest)
      },
      ...rest,
    })
  return {clock, answered, ask}
}

test("a call that failed everywhere is made again without any other call", async t => {
  let failures = 4
  const {clock, answered, ask} = setUp(2, 30, () => (failures -= 1) >= 0)
  ask("step")
  await clock.advance(5000)
  t.deepEqual(
    answered.map(({step}) => step),
    ["step"],
  )
})

test("long calls leave an instance to short ones", async t => {
  const {clock, answered, ask} = setUp(4, 30, () => false)
  for (let index = 0; index < 8; index += 1) ask(`long-${index}`, {duration: 900, priority: 1})
  ask("short")
  await clock.advance(35)
  t.true(answered.some(({step}) => step === "short"))
})

test("short calls go to the strongest instance, long ones to the weakest", t => {
  const asked: string[] = []
  const members = [0.3, 1.3, 0.6].map((processors): Asker => {
    return {
      name: `processors ${processors}`,
      processors,
      ask(step) {
        asked.push(`${step} at ${processors}`)
        return new Promise(() => undefined)
      },
    }
  })
  const adviser = createAdviser(virtualClock(), SILENT_LOGGER, () => members)
  const question = {workers: ["w"], priority: 0, isWanted: () => true, onAnswer: () => undefined}
  adviser.ask({...question, step: "long", duration: 900})
  adviser.ask({...question, step: "short", duration: 30})
  t.deepEqual(asked, ["long at 0.3", "short at 1.3"])
})
