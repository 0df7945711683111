/** Tests the decoding of worker entries, configurations, jobs and settings, including malformed input. */
import test from "ava"
import fastCheck from "fast-check"
import {findQueue} from "../../src/pipelines/model.js"
import {FLEET_READER} from "../../src/platform/fleetreader.js"
import {readJobRequest} from "../../src/platform/jobrequest.js"
import {readFleetSettings, seedAddresses} from "../../src/settings/fleetsettings.js"
import {QUEUE} from "../support/fleet.js"

const ENTRY = {
  Service: "crease-1",
  Address: "10.128.0.9:8080",
  Zone: "cascadia-a",
  Version: "v1",
  Capacity: 8,
  State: "ready",
  ColdRemainingMs: 0,
  FreeCapacity: {Cpu: 16_000, MemMb: 32_768},
  Labels: ["a", "r1-3"],
  ServerTimeMs: 482_113,
  Sequence: 4,
  born: 1_786_089_696_053,
}

const CONFIGURATION = {
  Version: 7,
  Routes: [
    {
      Name: "r-1",
      Host: "a.example",
      Prefix: "/checks/",
      Kind: "unsafe",
      TimeoutMs: 3000,
      TargetLatencyMs: 250,
      Priority: 0,
      Service: "crease-1",
      Attempts: 3,
      SlackFactor: 1.5,
      Advice: {DecideMs: 31.4, EachMs: 0.32, ValidMs: 2000},
    },
    {Name: "r-2", Host: "a.example", Prefix: "/checks/deep/", Service: "glide-1"},
  ],
  Services: [{Name: "crease-1", HealthPath: "/healthz", Preconditions: false, Standby: false}],
  Limits: {MaxBodyBytes: 1000},
}

const JOB = {
  Spec: "text",
  Pipeline: [
    {Count: 4, Cpu: 500, MemMb: 256, EstimateMs: 900, Affinity: "r1-3"},
    {Count: 2, Cpu: 2000, MemMb: 1024, Gpu: 2, After: [0], Checkpointing: true, Gang: true, AntiAffinity: 1},
  ],
}

const LONGEST_RECORD = 2 ** 20
const IDENTITY = {id: "5c0e7a21d94b36f8", queue: QUEUE, acceptedAt: 1000}

test("an entry of a worker, a configuration and a job become the project's types", t => {
  t.snapshot(FLEET_READER.decodeWorker("servers/i-7f", JSON.stringify(ENTRY)))
  t.snapshot(FLEET_READER.decodeConfiguration(JSON.stringify(CONFIGURATION)))
  t.snapshot(readJobRequest(JSON.stringify(JOB), IDENTITY, LONGEST_RECORD)._unsafeUnwrap())
})

test("a job that no leader could hold is refused with the reason", t => {
  const steps = Array.from({length: 3}, () => ({Count: 100_000}))
  t.deepEqual(
    readJobRequest(JSON.stringify({Spec: "", Pipeline: steps}), IDENTITY, LONGEST_RECORD)._unsafeUnwrapErr(),
    ["Pipeline has too many steps or tasks for one job."],
  )
  t.true(
    readJobRequest(JSON.stringify({Spec: "", Pipeline: steps.slice(1)}), IDENTITY, LONGEST_RECORD).isErr(),
  )
  t.true(
    readJobRequest(JSON.stringify({Spec: "", Pipeline: steps.slice(2)}), IDENTITY, LONGEST_RECORD).isOk(),
  )
})

// The store did not take the record, and with it failed what other callers submitted.
test("a job whose record would be longer than the store takes is refused with the reason", t => {
  const body = JSON.stringify({Spec: "", Pipeline: Array.from({length: 4000}, () => ({Count: 1}))})
  t.true(body.length < 50_000)
  const problems = readJobRequest(body, IDENTITY, LONGEST_RECORD)._unsafeUnwrapErr()
  t.regex(problems.join(" "), /^The job takes \d+ bytes in the store, which is more than 1048576\.$/)
  t.true(readJobRequest(body, IDENTITY, 2 * LONGEST_RECORD).isOk())
})

test("a repeated job has its occurrences and due times", t => {
  const body = JSON.stringify({...JOB, RepeatCount: 3, StartAtMs: 5000, IntervalMs: 700})
  const {occurrences, firstDue, interval} = readJobRequest(body, IDENTITY, LONGEST_RECORD)._unsafeUnwrap()
  t.deepEqual({occurrences, firstDue, interval}, {occurrences: 3, firstDue: 5000, interval: 700})
})

test("every problem of a job is told with its place", t => {
  const body = JSON.stringify({
    Spec: "x".repeat(4001),
    Pipeline: [
      {Count: 0, Cpu: -1},
      {Count: 1, After: [1]},
    ],
    RepeatCount: 0.5,
  })
  t.snapshot(readJobRequest(body, IDENTITY, LONGEST_RECORD)._unsafeUnwrapErr())
  t.true(readJobRequest("not json", IDENTITY, LONGEST_RECORD).isErr())
})

test("a malformed worker entry decodes to undefined", t => {
  const malformed = [
    "",
    "[]",
    "{",
    JSON.stringify({...ENTRY, State: "resting"}),
    JSON.stringify({...ENTRY, Service: 5}),
    JSON.stringify({...ENTRY, Address: "nowhere"}),
    JSON.stringify({...ENTRY, Labels: "a"}),
    JSON.stringify({...ENTRY, born: "now"}),
  ]
  for (const value of malformed) t.is(FLEET_READER.decodeWorker("servers/i-7f", value), undefined, value)
})

test("an entry with a value out of range names no worker", t => {
  const nested = `${"[".repeat(100_000)}${"]".repeat(100_000)}`
  const entries = [
    ...[99_999, 65_536, 0, -1, 80.5, "abc", ""].map(port => ({...ENTRY, Address: `10.128.0.9:${port}`})),
    ...[":80", ":80:80", "10.128.0.9", "10.128.0.999:80", "worker.example:80", "10.128.0.9:8080 "].map(
      Address => ({...ENTRY, Address}),
    ),
    ...[-5, 1e300, Number.MAX_VALUE, "16000", null, [1]].flatMap(amount => [
      {...ENTRY, FreeCapacity: {...ENTRY.FreeCapacity, Cpu: amount}},
      {...ENTRY, FreeCapacity: {...ENTRY.FreeCapacity, MemMb: amount}},
      {...ENTRY, FreeCapacity: {...ENTRY.FreeCapacity, Gpu: amount}},
    ]),
    ...[-1, 0, 0.5, 1e300, Number.MAX_SAFE_INTEGER, null].map(born => ({...ENTRY, born})),
    ...[5, {}, []].map(Zone => ({...ENTRY, Zone})),
    {...ENTRY, FreeCapacity: "much"},
    {...ENTRY, Labels: ["a", 5]},
    {...ENTRY, Labels: [["a"]]},
  ].map(entry => JSON.stringify(entry))
  const texts = [
    ...entries,
    nested,
    JSON.stringify(ENTRY)
      .replace('"Capacity":8', `"Capacity":${nested}`)
      .replace('"born":', '"born":1e999,"b":'),
    JSON.stringify(ENTRY).replace('"Cpu":16000', '"Cpu":1e999'),
  ]
  for (const text of texts)
    t.is(FLEET_READER.decodeWorker("servers/i-7f", text), undefined, text.slice(0, 300))
  t.is(FLEET_READER.decodeWorker("servers/", JSON.stringify(ENTRY)), undefined)
  const valid = JSON.stringify(ENTRY).replace('"Capacity":8', `"Capacity":${nested}`)
  t.is(FLEET_READER.decodeWorker("servers/i-7f", valid)?.address, ENTRY.Address)
})

// An entry of 600 KB made the roster longer than the store takes, and then no accepted job was started.
test("an entry from which more would be stored than a worker takes names no worker", t => {
  const read = (labels: readonly string[]) =>
    FLEET_READER.decodeWorker("servers/i-7f", JSON.stringify({...ENTRY, Labels: labels}))
  t.is(read(["a", "x".repeat(600_000)]), undefined)
  t.is(read(Array.from({length: 3000}, (_, index) => `r${index}`)), undefined)
  t.is(read(["a", "\u0001".repeat(1500)]), undefined, "a control character takes six bytes in the store")
  t.is(read(["a", "x".repeat(300)])?.rack.length, 300)
})

test("input that is nested deeply, or has numbers out of range, is refused and never throws", t => {
  const nested = `${"[".repeat(100_000)}${"]".repeat(100_000)}`
  const deepStep = JSON.stringify(JOB).replace('"Cpu":500', `"Cpu":${nested}`)
  t.true(readJobRequest(deepStep, IDENTITY, LONGEST_RECORD).isErr())
  t.true(readJobRequest(nested, IDENTITY, LONGEST_RECORD).isErr())
  t.true(
    readJobRequest(
      JSON.stringify(JOB).replace('"Count":4', '"Count":1e999'),
      IDENTITY,
      LONGEST_RECORD,
    ).isErr(),
  )
  t.is(FLEET_READER.decodeConfiguration(nested), undefined)
  const deepRoute = JSON.stringify(CONFIGURATION).replace('"Priority":0', `"Priority":${nested}`)
  t.is(FLEET_READER.decodeConfiguration(deepRoute)?.queues[0]?.priority, 0)
})

test("a request belongs to the queue with the longest matching prefix", t => {
  const configuration = FLEET_READER.decodeConfiguration(JSON.stringify(CONFIGURATION))
  if (!configuration) throw new RangeError("The configuration cannot be read.")
  t.is(findQueue(configuration, "a.example", "/checks/deep/5c0e")?.name, "r-2")
  t.is(findQueue(configuration, "a.example", "/checks/5c0e")?.name, "r-1")
  t.is(findQueue(configuration, "b.example", "/checks/5c0e"), undefined)
  t.is(findQueue(configuration, "a.example", "/other/5c0e"), undefined)
})

test("decoders do not throw on malformed input", t => {
  const mutated = (value: object) =>
    fastCheck.tuple(fastCheck.nat(), fastCheck.string()).map(([place, text]) => {
      const whole = JSON.stringify(value)
      const cut = place % whole.length
      return whole.slice(0, cut) + text + whole.slice(cut + (place % 7))
    })
  const arbitrary = fastCheck.oneof(
    fastCheck.string(),
    fastCheck.json(),
    mutated(ENTRY),
    mutated(CONFIGURATION),
    mutated(JOB),
  )
  t.notThrows(() =>
    fastCheck.assert(
      fastCheck.property(arbitrary, text => {
        FLEET_READER.decodeWorker("servers/x", text)
        FLEET_READER.decodeConfiguration(text)
        const job = readJobRequest(text, IDENTITY, LONGEST_RECORD)
        return job.isErr() || job.value.steps.every(step => step.count >= 1 && step.demand.processors >= 0)
      }),
      {seed: 7, numRuns: 3000},
    ),
  )
})

const SETTINGS = `[instance]
name = entry-1
data_centre = a
[callers]
address = 10.1.0.30:8149
[status]
address = 10.1.0.30:8141
[peers]
address = 10.1.0.30:7380
seeds = 10.1.0.30:8144,10.2.0.34:8144
[platform]
store = 10.200.1.7:8142
advice =
[limits]
longest_lease = 10000ms
`

test("settings are read, and each finding has its place", t => {
  const settings = readFleetSettings("a.ini", SETTINGS)._unsafeUnwrap()
  t.deepEqual(seedAddresses(settings), ["10.1.0.30:7380", "10.2.0.34:7380"])
  t.is(settings.longestLease, 10_000)
  t.is(settings.longestStoredValue, 2 ** 20)
  const smaller = readFleetSettings("a.ini", `${SETTINGS}stored_value = 65536\n`)._unsafeUnwrap()
  t.is(smaller.longestStoredValue, 65_536)
  const unknown = readFleetSettings("a.ini", `${SETTINGS}stored_value =\n`)._unsafeUnwrap()
  t.is(unknown.longestStoredValue, 2 ** 20)
  const malformed = readFleetSettings(
    "a.ini",
    SETTINGS.replace("10.200.1.7:8142", "store").replace("[status]\n", "[state]\n"),
  )
  t.snapshot(malformed._unsafeUnwrapErr())
})

test("workspaces are read with their keys, weights and limits, and close the queues that are not public", t => {
  const [route = {}] = CONFIGURATION.Routes
  const decoded = FLEET_READER.decodeConfiguration(
    JSON.stringify({
      ...CONFIGURATION,
      Routes: [route, {...route, Public: true}],
      Tenants: [
        {Name: "guild", ApiKeys: ["k-1", 7, "k-2"], Weight: 25, MaxCount: {Cpu: 1500, MemMb: 100, Gpu: 2}},
        {Name: "club", ApiKeys: "k-3", Weight: -1},
      ],
    }),
  )
  t.deepEqual(
    decoded?.queues.map(queue => queue.isPublic),
    [false, true],
  )
  t.snapshot(decoded?.workspaces)
})

test("settings of keys and placement are optional, and may be filled in without a value", t => {
  const limits = `${SETTINGS}memory = 210\ndescriptors = 3075\n`
  const strict =
    "[keys]\nstrict_withdrawal = true\nwithdrawal_limit = 4000ms\n[placement]\nremote_factor = 1.5\n"
  const empty = "[keys]\nstrict_withdrawal =\nwithdrawal_limit = ms\n[placement]\nremote_factor =\n"
  const read = [limits + strict, limits + strict.replace("true", "false"), SETTINGS + empty, SETTINGS].map(
    text => {
      const {memoryMebibytes, descriptors, withdrawalLimit, remoteFactor} = readFleetSettings(
        "a.ini",
        text,
      )._unsafeUnwrap()
      return {memoryMebibytes, descriptors, withdrawalLimit, remoteFactor}
    },
  )
  t.deepEqual(read, [
    {memoryMebibytes: 210, descriptors: 3075, withdrawalLimit: 4000, remoteFactor: 1.5},
    {memoryMebibytes: 210, descriptors: 3075, withdrawalLimit: 0, remoteFactor: 1.5},
    {memoryMebibytes: 0, descriptors: 0, withdrawalLimit: 0, remoteFactor: 1},
    {memoryMebibytes: 0, descriptors: 0, withdrawalLimit: 0, remoteFactor: 1},
  ])
})

test("of very many problems only the first are described", t => {
  const references = JSON.stringify([{Count: 1, After: Array.from({length: 100_000}, () => 9)}])
  const steps = JSON.stringify(Array.from({length: 50_000}, () => ({})))
  for (const pipeline of [references, steps]) {
    const problems = readJobRequest(`{"Pipeline":${pipeline}}`, IDENTITY, LONGEST_RECORD)._unsafeUnwrapErr()
    t.is(problems.length, 21)
    t.is(problems.at(-1), "There are more problems.")
  }
})

test("names of any length, and steps that are named many times, do not make a job large", t => {
  const step = {Count: 1}
  const long = "x".repeat(200_000)
  for (const name of ["RequiredLabel", "Affinity", "Image"]) {
    const body = JSON.stringify({Pipeline: [{...step, [name]: long}]})
    t.deepEqual(readJobRequest(body, IDENTITY, LONGEST_RECORD)._unsafeUnwrapErr(), [
      `Pipeline[0].${name} is longer than 1000 characters.`,
    ])
  }
  const After = Array.from({length: 100_000}, () => 0)
  const job = readJobRequest(JSON.stringify({Pipeline: [step, {...step, After}]}), IDENTITY, LONGEST_RECORD)
  t.deepEqual(job._unsafeUnwrap().steps[1]?.after, [0])
})
