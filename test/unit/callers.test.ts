/** Which calls are served, and whose a job is. */
import test from "ava"
import {
  authorize,
  confirmationLimits,
  createKeyTable,
  isForeign,
  maySee,
  ownerOf,
} from "../../src/pipelines/callers.js"
import type {Workspace} from "../../src/pipelines/model.js"
import {createAuthorizer} from "../../src/planner/authorizer.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import {jobOf, QUEUE} from "../support/fleet.js"

function workspaceOf(name: string, keys: readonly string[]): Workspace {
  return {name, keys, weight: 1, limit: {processors: 0, memoryMebibytes: 0, accelerators: 0}}
}

const WORKSPACES = [workspaceOf("red", ["r1", "r2", ""]), workspaceOf("blue", ["b1", "r2"])]

test("a key belongs to the first workspace that has it, and no key to none", t => {
  const table = createKeyTable(WORKSPACES)
  t.deepEqual(["r1", "r2", "b1", "", "R1", "r1 ", "__proto__", "x".repeat(10_000)].map(table.workspaceOf), [
    "red",
    "red",
    "blue",
    undefined,
    undefined,
    undefined,
    undefined,
    undefined,
  ])
})

test("calls by queue, key and age of the last confirmation, with and without a limit for withdrawn keys", t => {
  const rows: string[] = []
  for (const limit of [0, 5000, 1000])
    for (const isPublic of [true, false])
      for (const workspace of ["red", undefined])
        for (const age of [0, 1000, 2500, 2501, 4500, 4501, Infinity]) {
          const verdict = authorize({isPublic}, workspace, age, confirmationLimits(limit))
          const outcome = verdict.type === "allowed" ? `as ${verdict.caller.workspace}` : verdict.reason
          rows.push(`limit ${limit} ${isPublic ? "public" : "keyed"} ${workspace} ${age}: ${outcome}`)
        }
  t.snapshot(rows)
})

test("a job of a queue that is not public belongs to its workspace; other jobs to everyone", t => {
  const keyed = {...QUEUE, isPublic: false}
  const owned = jobOf(1, [{}], {queue: keyed, workspace: "red"})
  const open = jobOf(1, [{}], {queue: {...QUEUE, isPublic: true}, workspace: "red"})
  const early = jobOf(1, [{}], {queue: QUEUE})
  t.deepEqual([owned, open, early].map(ownerOf), ["red", undefined, undefined])
  const callers = ["red", "blue", undefined].map(workspace => ({workspace}))
  t.deepEqual(
    callers.map(caller => maySee("red", caller)),
    [true, false, false],
  )
  t.true(callers.every(caller => maySee(undefined, caller)))
  t.deepEqual(
    callers.map(caller => isForeign("red", caller)),
    [false, true, false],
  )
})

test("refusals are counted, and logged at most once a second for each reason, without the key", t => {
  const lines: object[] = []
  const write = (fields: object): void => void lines.push(fields)
  const clock = virtualClock(1000)
  let age = 0
  const authorizer = createAuthorizer({
    clock,
    log: {debug: write, info: write, warn: write, error: write},
    configuration: () => ({version: 7, queues: [], services: [], workspaces: WORKSPACES, bodyLimit: 1}),
    age: () => age,
    refresh: () => Promise.resolve(),
    withdrawalLimit: 5000,
  })
  const keyed = {...QUEUE, isPublic: false}
  for (let call = 0; call < 50; call += 1) authorizer.check(keyed, "secret-of-nobody")
  age = 4600
  for (let call = 0; call < 50; call += 1) authorizer.check(keyed, "r1")
  t.false(authorizer.isConfirmed())
  t.snapshot(lines)
  t.snapshot(authorizer.counts())
  t.false(JSON.stringify(lines).includes("secret-of-nobody"))
})
