/**
 * `npm run bench -- capacity`: slopes of each role, measured in one process with small fakes, and what they come to
 * at the target size. The page docs/CAPACITY.md is written from this table.
 */
import {setFlagsFromString} from "node:v8"
import {runInNewContext} from "node:vm"
import {systemClock} from "../src/core/clock.js"
import type {Attempt} from "../src/jobs/attempt.js"
import {truthRecord} from "../standins/truth.js"
import {workerCore} from "../standins/workercore.js"
import {attemptOf} from "./schedulers.js"
import type {TraceTask} from "./trace.js"
import {seededRandom} from "../src/core/random.js"
import {chooseEntries, recordExchange} from "../src/membership/gossip.js"
import type {PeerKnowledge} from "../src/membership/gossip.js"
import {gossipInterval, livenessOf, mergeEntries} from "../src/membership/table.js"
import type {Claim, GossipEntry, Member, MembershipTable} from "../src/membership/table.js"
import {entryToMessage} from "../src/peer/convert.js"
import {toBinary, create} from "@bufbuild/protobuf"
import {
  AttemptEndSchema,
  AttemptSchema,
  GossipMessageSchema,
  LendRequestSchema,
  PromiseRequestSchema,
} from "../src/peer/generated/peer_pb.js"
import {applyJobStep} from "../src/jobs/job.js"
import type {Job, JobSpecification} from "../src/jobs/job.js"
import {taskQueue} from "../src/placement/taskqueue.js"
import type {QueuedItem} from "../src/placement/taskqueue.js"
import {timeDecisions} from "./placement.js"

/** The target, from the users' letter. */
export const TARGET = {
  workers: 28_000,
  accelerators: 34_000,
  jobsPerDay: 150_000,
  startsPerSecond: 5100,
  tasksRunning: 110_000,
  teams: 250,
  dataCentres: 25,
  regions: 7,
  changesPerDay: 7200,
  restartsPerDay: 11_000,
  failuresPerDay: 200,
  processorShare: 0.025,
  memoryMebibytes: 256,
  bytesPerSecond: 12 * 1024,
} as const

/** Today's ratio: 8 entry instances for 34 workers. */
export const ENTRIES_AT_TARGET = Math.ceil((TARGET.workers * 8) / 34)

export interface MembershipRow {
  readonly members: number
  readonly bytesPerSecond: number
  readonly processorShare: number
  /** Largest age of what an instance knows of a live member, in seconds. */
  readonly oldest: number
  /** Live members that an instance suspects, on average. */
  readonly wronglySuspected: number
}

const SIMULATED_MS = 60_000

function claimsFor(index: number): readonly Claim[] {
  const free = {
    processors: 100 + (index % 50),
    memoryMebibytes: 8192,
    accelerators: 4,
    largestProcessors: 16,
    largestMemoryMebibytes: 8192,
    largestAccelerators: 2,
    idleSlots: 20,
    waiting: 0,
    totalProcessors: 320,
    totalMemoryMebibytes: 65_536,
    totalAccelerators: 8,
  }
  return [
    {group: `w/pool.rack-${index}`, epoch: 3, free},
    {group: `j/${index}`, epoch: 2, free: undefined},
  ]
}

function memberAt(index: number): Member {
  return {
    instance: `entry-${index}`,
    incarnation: "000000001-0001",
    heartbeat: 1,
    version: 1,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7400`,
    dataCentre: `dc-${index % 25}`,
    status: "active",
    documentNumber: 7,
    holderIncarnation: "000000001-0001",
    claims: claimsFor(index),
    failureShare: 0,
  }
}

interface SimulatedMember {
  self: Member
  table: MembershipTable
  readonly knowledge: Map<string, PeerKnowledge>
}

/** Gossip among members in one process, with one state change of each member every two seconds. */
export function simulateMembership(members: number): MembershipRow {
  const random = seededRandom(members)
  const all: SimulatedMember[] = Array.from({length: members}, (_, index) => ({
    self: memberAt(index),
    table: new Map(),
    knowledge: new Map(),
  }))
  const everyone: readonly GossipEntry[] = all.map(({self}) => ({...self, state: self}))
  for (const member of all) member.table = mergeEntries(new Map(), member.self.instance, everyone, 0)
  let bytes = 0
  let spent = 0
  let oldest = 0
  let suspected = 0
  const interval = gossipInterval(members)
  const rounds = SIMULATED_MS / interval

  function send(from: SimulatedMember, to: SimulatedMember, now: number): void {
    const started = performance.now()
    const entries = chooseEntries(from.self, from.table, from.knowledge.get(to.self.instance), random)
    const message = create(GossipMessageSchema, {
      sender: from.self.instance,
      senderIncarnation: from.self.incarnation,
      entries: entries.map(entryToMessage),
    })
    bytes += 2 * (toBinary(GossipMessageSchema, message).length + HEADER_BYTES)
    to.table = mergeEntries(to.table, to.self.instance, entries, now)
    const {incarnation} = to.self
    from.knowledge.set(
      to.self.instance,
      recordExchange(from.knowledge.get(to.self.instance), incarnation, entries),
    )
    to.knowledge.set(
      from.self.instance,
      recordExchange(to.knowledge.get(from.self.instance), from.self.incarnation, entries),
    )
    spent += performance.now() - started
  }

  for (let round = 1; round <= rounds; round += 1) {
    const now = round * interval
    for (const member of all) {
      const changed = (round + Number(member.self.instance.slice(6))) % (2000 / interval) === 0
      const version = member.self.version + (changed ? 1 : 0)
      member.self = {...member.self, heartbeat: member.self.heartbeat + 1, version}
    }
    for (const member of all) {
      const peer = all[random.below(members)]
      if (!peer || peer === member) continue
      send(member, peer, now)
      send(peer, member, now)
    }
  }
  for (const member of all) {
    for (const row of member.table.values()) {
      oldest = Math.max(oldest, SIMULATED_MS - row.lastHeardAt)
      if (livenessOf(row, SIMULATED_MS, members) === "suspected") suspected += 1
    }
  }
  const seconds = SIMULATED_MS / 1000
  return {
    members,
    bytesPerSecond: bytes / members / seconds,
    processorShare: spent / 1000 / members / seconds,
    oldest: oldest / 1000,
    wronglySuspected: suspected / members,
  }
}

/** Bytes that HTTP/2 and Connect add to a message, as a bound. */
const HEADER_BYTES = 120

function sizes() {
  const attempt = toBinary(
    AttemptSchema,
    create(AttemptSchema, {
      attempt: "7-942ac1070ad9205c445d1d53.12.3-1234",
      job: "7-942ac1070ad9205c445d1d53",
      team: "schools",
      jobGroup: "j/7",
      task: 12,
      kind: "batch",
      workload: "pattern-packs",
      pool: "crease",
      payload: "{}",
      demand: {processors: 2, memoryMebibytes: 2048},
    }),
  ).length
  const end = toBinary(
    AttemptEndSchema,
    create(AttemptEndSchema, {
      attempt: "7-942ac1070ad9205c445d1d53.12.3-1234",
      job: "7-942ac1070ad9205c445d1d53",
      task: 12,
      jobGroup: "j/7",
      outcome: "succeeded",
      worker: "crease-01",
      ran: 1.5,
    }),
  ).length
  const lend = toBinary(
    LendRequestSchema,
    create(LendRequestSchema, {
      group: "w/crease.rack-1",
      ownerEpoch: 3,
      borrower: "entry-1",
      service: "crease",
      wanted: 4,
      uses: [{server: "crease-01", held: 3}],
    }),
  ).length
  const promise = toBinary(
    PromiseRequestSchema,
    create(PromiseRequestSchema, {holder: "entry-1", incarnation: "000000001-0001"}),
  ).length
  return {attempt, end, lend, promise}
}

const TASKS_REPORTED = 20
const SAMPLE_TASK: TraceTask = {
  id: 1,
  team: "schools",
  taskClass: "long",
  priority: 5,
  pool: "crease",
  demand: {processors: 1, memoryMebibytes: 1024, accelerators: 0},
  arrivesAt: 0,
  run: 60_000,
  checkpointable: true,
  atCrest: false,
}
const WORKER = {name: "crease-01", capacity: {processors: 64, memoryMebibytes: 131_072, accelerators: 0}}

/** Bytes of one exchange with a worker that runs nothing, and what each running task adds. */
async function syncSizes(): Promise<{readonly idle: number; readonly perTask: number}> {
  const worker = workerCore(WORKER, systemClock(), truthRecord(), 0)
  const orders = {
    owner: "entry-1",
    epoch: 3,
    lease: 8000,
    stops: [],
    checkpoints: [],
    throttles: [],
    acknowledged: [],
    endedAfter: 0,
    wait: 0,
  }
  const exchange = async (boot: string, basis: number, starts: readonly Attempt[]) => {
    const request = {...orders, boot, basis, starts}
    const report = await worker.sync(request)
    return {report, bytes: JSON.stringify(request).length + JSON.stringify(report).length + 2 * HEADER_BYTES}
  }
  const first = await exchange("", -1, [])
  const idle = await exchange(first.report.boot, first.report.clock, [])
  const starts = Array.from({length: TASKS_REPORTED}, (_, index) => ({
    ...attemptOf(SAMPLE_TASK, index),
    job: "7-942ac1070ad9205c445d1d53",
    attempt: `7-942ac1070ad9205c445d1d53.${index}.3-1234`,
  }))
  await exchange(idle.report.boot, idle.report.clock, starts)
  const busy = await exchange(idle.report.boot, idle.report.clock, [])
  worker.close()
  return {idle: idle.bytes, perTask: (busy.bytes - idle.bytes) / TASKS_REPORTED}
}

/** Memory of one open job with ten tasks, and of one queued task, in bytes. */
function memorySlopes(): {readonly job: number; readonly queued: number; readonly member: number} {
  setFlagsFromString("--expose-gc")
  const collect = runInNewContext("gc") as () => void
  const specification = (index: number): JobSpecification => ({
    job: `7-${index}`,
    team: "schools",
    workload: "packs",
    kind: "batch",
    pool: "pool",
    priority: 4,
    restartable: true,
    checkpointable: true,
    demand: {processors: 1, memoryMebibytes: 512, accelerators: 0},
    tasks: 10,
    declaredRun: 0,
    payload: "{}",
    acceptedAt: 1,
    requestDigest: String(index),
  })
  const count = 4000
  collect()
  const before = process.memoryUsage().heapUsed
  const jobs: (Job | undefined)[] = []
  for (let index = 0; index < count; index += 1)
    jobs.push(applyJobStep(undefined, {type: "accepted", specification: specification(index)}))
  collect()
  const between = process.memoryUsage().heapUsed
  const queue = taskQueue<QueuedItem>()
  for (let index = 0; index < 10 * count; index += 1) {
    queue.add({
      key: `7-${index}.1`,
      team: "schools",
      priority: 4,
      pool: "pool",
      demand: {processors: 1, memoryMebibytes: 512, accelerators: 0},
      enqueuedAt: index,
    })
  }
  collect()
  const after = process.memoryUsage().heapUsed
  const members = Array.from({length: count}, (_, index) => memberAt(index))
  const entries = members.map(member => ({...member, state: member}))
  collect()
  const beforeTable = process.memoryUsage().heapUsed
  const copies: readonly GossipEntry[] = structuredClone(entries)
  const table = mergeEntries(new Map(), "self", copies, 0)
  collect()
  const afterTable = process.memoryUsage().heapUsed
  // The table, the jobs and the queue stay in use until here, so that they are not collected before.
  if (jobs.length + queue.size() + table.size < count) throw new RangeError("What is measured was lost.")
  return {
    job: (between - before) / count,
    queued: (after - between) / (10 * count),
    member: (afterTable - beforeTable) / count,
  }
}

export interface CapacityRow {
  readonly role: string
  readonly quantity: string
  readonly slope: string
  readonly atTarget: string
  readonly budget: string
  readonly met: "yes" | "no"
}

export interface CapacityResults {
  readonly membership: readonly MembershipRow[]
  readonly rows: readonly CapacityRow[]
}

const RENEWAL_SECONDS = 5
const RENEWAL_AT_TARGET_SECONDS = 60
const PROMISES_PER_SECOND = 2.5
const SUCCESSORS = 2
const SYNC_PER_WORKER_PER_SECOND = 1

function verdict(value: number, budget: number): "yes" | "no" {
  return value <= budget ? "yes" : "no"
}

/** Runs the benchmark. */
export async function benchCapacity(): Promise<CapacityResults> {
  const membership = [8, 64, 512].map(simulateMembership)
  const wire = sizes()
  const memory = memorySlopes()
  const sync = await syncSizes()
  const decision = timeDecisions(TARGET.workers, TARGET.tasksRunning)
  const perEntry = {
    workers: TARGET.workers / ENTRIES_AT_TARGET,
    running: TARGET.tasksRunning / ENTRIES_AT_TARGET,
    starts: TARGET.startsPerSecond / ENTRIES_AT_TARGET,
  }
  const largest = membership.at(-1)
  const gossipBytes = largest?.bytesPerSecond ?? 0
  const promiseBytes = 2 * SUCCESSORS * PROMISES_PER_SECOND * (wire.promise * 2 + 2 * HEADER_BYTES)
  const startBytes = 4 * perEntry.starts * (wire.attempt + wire.end + HEADER_BYTES)
  const syncBytes =
    perEntry.workers * SYNC_PER_WORKER_PER_SECOND * sync.idle + perEntry.running * sync.perTask
  const control = gossipBytes + promiseBytes + startBytes + syncBytes
  const decisionShare = (perEntry.starts * (decision.plan.p50 + decision.fit.p50)) / 1e6
  const renewals = ENTRIES_AT_TARGET / RENEWAL_SECONDS
  const rareRenewals = ENTRIES_AT_TARGET / RENEWAL_AT_TARGET_SECONDS
  const tableBytes = ENTRIES_AT_TARGET * memory.member
  const row = (
    role: string,
    quantity: string,
    slope: string,
    atTarget: string,
    budget: string,
    met: "yes" | "no",
  ): CapacityRow => ({role, quantity, slope, atTarget, budget, met})
  return {
    membership,
    rows: [
      row(
        "member",
        "gossip bytes",
        `${gossipBytes.toFixed(0)} B/s at ${largest?.members ?? 0} members, bounded by 12 entries a message`,
        `${gossipBytes.toFixed(0)} B/s`,
        "12288 B/s in all",
        verdict(gossipBytes, TARGET.bytesPerSecond),
      ),
      row(
        "member",
        "gossip processor time",
        `${((largest?.processorShare ?? 0) * 100).toFixed(3)} % of a core at ${largest?.members ?? 0}`,
        `${((largest?.processorShare ?? 0) * 100).toFixed(3)} %`,
        "2.5 % in all",
        verdict(largest?.processorShare ?? 0, TARGET.processorShare),
      ),
      row(
        "member",
        "table of all members",
        `${memory.member.toFixed(0)} B a member`,
        `${(tableBytes / 1024 / 1024).toFixed(1)} MiB`,
        "256 MiB",
        verdict(tableBytes / 1024 / 1024, TARGET.memoryMebibytes),
      ),
      row(
        "holder",
        "promise bytes",
        `${wire.promise + HEADER_BYTES} B a call`,
        `${promiseBytes.toFixed(0)} B/s`,
        "12288 B/s in all",
        verdict(promiseBytes, TARGET.bytesPerSecond),
      ),
      row(
        "store",
        "renewals, every 5 s as today",
        "0.2 writes/s an instance",
        `${renewals.toFixed(0)} writes/s`,
        "several hundred in all",
        verdict(renewals, 300),
      ),
      row(
        "store",
        "renewals, every 60 s",
        "0.017 writes/s an instance",
        `${rareRenewals.toFixed(0)} writes/s`,
        "several hundred in all",
        verdict(rareRenewals, 300),
      ),
      row(
        "store",
        "watches of ownership",
        "1 call an instance",
        `${ENTRIES_AT_TARGET} watches`,
        "2000 reads/s",
        verdict(ENTRIES_AT_TARGET, 2000),
      ),
      row(
        "owner",
        "worker exchanges",
        `${sync.idle} B/s a worker, ${sync.perTask.toFixed(0)} B/s a running task`,
        `${syncBytes.toFixed(0)} B/s`,
        "12288 B/s in all",
        verdict(syncBytes, TARGET.bytesPerSecond),
      ),
      row(
        "home and owner",
        "start and end messages",
        `${wire.attempt} B a start, ${wire.end} B an end`,
        `${startBytes.toFixed(0)} B/s`,
        "12288 B/s in all",
        verdict(startBytes, TARGET.bytesPerSecond),
      ),
      row(
        "home and owner",
        "decision time",
        `${decision.plan.p50.toFixed(1)} us a plan, ${decision.fit.p50.toFixed(1)} us a fit`,
        `${(decisionShare * 100).toFixed(4)} % of a core`,
        "2.5 % in all",
        verdict(decisionShare, TARGET.processorShare),
      ),
      row(
        "home",
        "open jobs",
        `${memory.job.toFixed(0)} B a job of ten tasks`,
        `${((memory.job * TARGET.jobsPerDay) / ENTRIES_AT_TARGET / 1024).toFixed(0)} KiB for a day's jobs`,
        "256 MiB",
        verdict((memory.job * TARGET.jobsPerDay) / ENTRIES_AT_TARGET / 1024 / 1024, TARGET.memoryMebibytes),
      ),
      row(
        "home",
        "queued tasks",
        `${memory.queued.toFixed(0)} B a task`,
        `${((memory.queued * 100_000) / 1024 / 1024).toFixed(1)} MiB for 100000 in one home`,
        "256 MiB",
        verdict((memory.queued * 100_000) / 1024 / 1024, TARGET.memoryMebibytes),
      ),
      row(
        "instance",
        "control bytes in all",
        "sum of the above",
        `${control.toFixed(0)} B/s`,
        "12288 B/s",
        verdict(control, TARGET.bytesPerSecond),
      ),
    ],
  }
}
