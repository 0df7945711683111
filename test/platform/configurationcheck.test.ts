/**
 * Tests of the check of a configuration before it is sent. Each finding is shown by one change to a configuration without
 * findings, and what differs from the configuration in force is told without any key of a workspace.
 */
import test from "ava"
import {err, ok} from "neverthrow"
import {checkFleetConfiguration} from "../../src/cli/fleetconfiguration.js"
import {StoreUnavailable} from "../../src/core/errors.js"
import type {KeyValueStore} from "../../src/pipelines/ports.js"
import type {WorkerListing} from "../../src/pipelines/model.js"
import {checkConfiguration} from "../../src/platform/configurationcheck.js"
import type {CheckContext} from "../../src/platform/configurationcheck.js"
import {diffConfigurations} from "../../src/platform/configurationchanges.js"
import {FLEET_READER} from "../../src/platform/fleetreader.js"
import {formatFinding} from "../../src/core/finding.js"
import {formatChange} from "../../src/document/diff.js"

const ROUTE = {
  Name: "checks",
  Host: "folds.example",
  Prefix: "/checks/",
  Service: "crease",
  Priority: 0,
  Attempts: 3,
  SlackFactor: 1.5,
  TargetLatencyMs: 250,
  TimeoutMs: 3000,
  Public: false,
}
const OPEN_ROUTE = {...ROUTE, Name: "boards", Prefix: "/boards/", Public: true}
const SERVICE = {Name: "crease", Preconditions: false, Standby: false}
const WORKSPACE = {Name: "guild", ApiKeys: ["secret-1"], Weight: 5, MaxCount: {Cpu: 1000, MemMb: 0, Gpu: 0}}
const LIMITS = {MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
const CONFIGURATION = {
  Version: 7,
  Routes: [ROUTE, OPEN_ROUTE],
  Services: [SERVICE],
  Tenants: [WORKSPACE],
  Limits: LIMITS,
}
const WORKER: WorkerListing = {
  id: "worker-1",
  service: "crease",
  address: "10.3.0.1:80",
  dataCentre: "a",
  labels: ["r1"],
  rack: "r1",
  capacity: {processors: 16, memoryMebibytes: 1000, accelerators: 0},
  leaving: false,
  bornAt: 1,
}
const WORKERS = {workers: [WORKER]}

function check(configuration: unknown, context: CheckContext = {}): readonly string[] {
  const text = typeof configuration === "string" ? configuration : JSON.stringify(configuration)
  return checkConfiguration("new.json", text, context).map(formatFinding)
}

/** Findings of the configuration with some fields replaced. */
function checkChanged(change: Partial<Record<keyof typeof CONFIGURATION, unknown>>, context?: CheckContext) {
  return check({...CONFIGURATION, ...change}, context)
}

test("a sound configuration has no findings, with and without workspaces", t => {
  t.deepEqual(check(CONFIGURATION, WORKERS), [])
  t.deepEqual(checkChanged({Tenants: undefined, Routes: [{...ROUTE, Public: undefined}]}, WORKERS), [])
})

test("malformed values are found with their place", t => {
  t.snapshot(check("{"))
  t.snapshot(check([]))
  t.snapshot(check({}))
  t.snapshot(
    checkChanged({
      Version: "7",
      Routes: [{...ROUTE, Host: "", Attempts: 0, Priority: 1.5, SlackFactor: "1", Advice: {DecideMs: -1}}, 3],
      Services: [SERVICE, SERVICE],
      Tenants: [{...WORKSPACE, Weight: 0, ApiKeys: [""], MaxCount: {Cpu: -1}}],
      Limits: {MaxBodyBytes: 0},
    }),
  )
})

test("entries that no call can reach are found", t => {
  const other = {...ROUTE, Name: "other"}
  t.snapshot(checkChanged({Routes: [ROUTE, OPEN_ROUTE, other]}))
  t.snapshot(checkChanged({Routes: [ROUTE, {...other, Prefix: "/checks/ab"}]}))
  t.snapshot(checkChanged({Routes: [{...ROUTE, Host: "folds.example:80", Prefix: "checks?"}]}))
  t.snapshot(checkChanged({Tenants: [WORKSPACE, {...WORKSPACE, Name: "club"}]}))
  t.snapshot(checkChanged({Tenants: [{...WORKSPACE, ApiKeys: []}]}))
})

test("queues without workers and services without queues are found", t => {
  t.snapshot(checkChanged({Routes: [{...ROUTE, Service: "glide"}]}))
  t.snapshot(checkChanged({Services: [{...SERVICE, Standby: true}]}))
  t.snapshot(checkChanged({}, {workers: []}))
})

test("limits that contradict each other are found", t => {
  t.snapshot(checkChanged({Limits: {...LIMITS, IdleTimeoutMs: 1000}}))
  t.snapshot(checkChanged({Routes: [{...ROUTE, TargetLatencyMs: 4000}]}))
  t.snapshot(checkChanged({Tenants: [{...WORKSPACE, MaxCount: {Gpu: 1}}]}, WORKERS))
  const inForce = FLEET_READER.decodeConfiguration(JSON.stringify(CONFIGURATION))
  t.snapshot(checkChanged({}, {inForce}))
  t.deepEqual(checkChanged({Version: 8}, {inForce}), [])
})

test("what differs from the configuration in force is told without keys", t => {
  const next = {
    ...CONFIGURATION,
    Version: 9,
    Routes: [OPEN_ROUTE, {...ROUTE, Priority: 1}],
    Services: [SERVICE, {...SERVICE, Name: "glide"}],
    Tenants: [{...WORKSPACE, ApiKeys: ["secret-2", "secret-3"], Weight: 6}],
  }
  const changes = diffConfigurations(JSON.stringify(CONFIGURATION), JSON.stringify(next)).map(formatChange)
  t.snapshot(changes)
  const told = [...changes, ...check({...next, Tenants: [WORKSPACE, {...WORKSPACE, Name: "club"}]})]
  t.false(told.some(line => line.includes("secret")))
  t.deepEqual(diffConfigurations(JSON.stringify(next), JSON.stringify(next)), [])
})

function storeOf(answers: Pick<KeyValueStore, "read" | "list">): KeyValueStore {
  const unused = (): never => {
    throw new Error("A check only reads.")
  }
  return {...answers, watch: unused, commit: unused}
}

test("the command compares with the store, and says so when the store cannot be read", async t => {
  const lines: string[] = []
  const output = {line: (text: string) => lines.push(text), error: (text: string) => lines.push(`! ${text}`)}
  const text = JSON.stringify({...CONFIGURATION, Version: 8})
  const item = {key: FLEET_READER.configurationKey, value: JSON.stringify(CONFIGURATION), revision: 1}
  const whole = storeOf({
    read: () => Promise.resolve(ok(item)),
    list: () => Promise.resolve(ok({items: [], revision: 1})),
  })
  const down = storeOf({
    read: () => Promise.resolve(err(new StoreUnavailable("no answer", "not-run"))),
    list: () => Promise.resolve(ok({items: [], revision: 1})),
  })
  const codes = [
    await checkFleetConfiguration("new.json", text, whole, {json: false}, output),
    await checkFleetConfiguration("new.json", text, down, {json: false}, output),
    await checkFleetConfiguration("new.json", text, undefined, {json: false}, output),
    await checkFleetConfiguration("new.json", text, undefined, {json: false, inForce: "absent"}, output),
  ]
  t.snapshot({codes, lines})
})
