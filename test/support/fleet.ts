/**
 * Runs complete instances on a virtual clock. The store, the workers and the advice service are in memory, and calls
 * between instances are function calls.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Milliseconds} from "../../src/core/clock.js"
import {sleep, withTimeout} from "../../src/core/clock.js"
import {CallFailed} from "../../src/core/errors.js"
import type {Logger} from "../../src/core/logger.js"
import {seededRandom} from "../../src/core/random.js"
import type {VirtualClock} from "../../src/core/virtualclock.js"
import {virtualClock} from "../../src/core/virtualclock.js"
import type {FleetClients, FleetHandlers, FleetPeer} from "../../src/peer/fleet.js"
import type {FleetConfiguration, PipelineJob, Queue, Step, WorkerListing} from "../../src/pipelines/model.js"
import type {AdviceCalls, FleetReader} from "../../src/pipelines/ports.js"
import {createFleetInstance} from "../../src/planner/instance.js"
import type {FleetInstance} from "../../src/planner/instance.js"
import {channelNetwork} from "./channels.js"
import {fakeStore} from "./fakestore.js"
import type {FakeStore} from "./fakestore.js"
import {fakeWorkers} from "./fakeworkers.js"
import type {FakeWorkers, TaskPlan} from "./fakeworkers.js"
import {createPauses} from "./pauses.js"

const PEER_LATENCY_MS: Milliseconds = 2
const CLIENT_TIMEOUT_MS: Milliseconds = 3000

export const QUEUE: Queue = {
  name: "checks",
  host: "example",
  prefix: "/checks/",
  service: "crease",
  priority: 0,
  attempts: 3,
  slackFactor: 1.5,
  latencyTarget: 250,
  advice: undefined,
}

export const STEP: Step = {
  count: 1,
  demand: {processors: 1, memoryMebibytes: 100, accelerators: 0},
  estimate: 500,
  after: [],
  checkpointing: false,
  gang: false,
  sameRack: false,
  label: "",
  preferredRack: "",
  perWorker: 0,
  speculative: false,
  lasting: false,
  image: "",
  tailLimit: 0,
  fills: false,
  mayMiss: 0,
}

/** Creates a job with the given steps. Its identity is the number in 16 hexadecimal digits. */
export function jobOf(
  number: number,
  steps: readonly Partial<Step>[],
  rest: Partial<PipelineJob> = {},
): PipelineJob {
  return {
    id: number.toString(16).padStart(16, "0"),
    queue: QUEUE,
    payload: `payload ${number}`,
    steps: steps.map(step => ({...STEP, ...step})),
    occurrences: 1,
    firstDue: 0,
    interval: 0,
    acceptedAt: 0,
    ...rest,
  }
}

export function listingOf(id: string, rest: Partial<WorkerListing> = {}): WorkerListing {
  return {
    id,
    service: "crease",
    address: `${id}:1`,
    dataCentre: "a",
    labels: ["a", "r1"],
    rack: "r1",
    capacity: {processors: 8, memoryMebibytes: 10_000, accelerators: 4},
    leaving: false,
    bornAt: 1,
    ...rest,
  }
}

/** An entry among those of the workers that cannot be read as one. */
export const ODD_ENTRY = "odd"

export const READER: FleetReader = {
  workerPrefix: "workers/",
  configurationKey: "operator/configuration",
  decodeWorker: (_key, value) => (value === ODD_ENTRY ? undefined : (JSON.parse(value) as WorkerListing)),
  decodeConfiguration: value => (JSON.parse(value) as FleetConfiguration | null) ?? undefined,
}

export interface FleetOptions {
  readonly instances?: number
  readonly workers?: number
  readonly queues?: readonly Queue[]
  /** The demand and duration of a task; by default 400 ms on one core. */
  readonly planOf?: (task: string) => TaskPlan
  /** Whether the advice service allows a worker to run a step; by default it always does. */
  readonly allows?: (step: string, worker: string) => boolean
  /** How long the advice service takes for a call that names this many workers; by default 30 ms. */
  readonly adviceTime?: (workers: number) => Milliseconds
  readonly seed?: number
  /** After this time no call with a withdrawn key may succeed; by default there is no such limit. */
  readonly withdrawalLimit?: Milliseconds
  /** How many times as long a task takes on another rack than its data; 1 by default. */
  readonly remoteFactor?: number
  /** The processors that each instance may use, by name; 1 by default. */
  readonly processors?: Readonly<Record<string, number>>
  /** Megabits a second that the link of each instance carries, by name; not known by default. */
  readonly links?: Readonly<Record<string, number>>
}

export interface LogLine {
  readonly instance: string
  readonly event: string
  readonly at: Milliseconds
  readonly fields: Readonly<Record<string, unknown>>
}

export interface TestFleet {
  readonly clock: VirtualClock
  readonly store: FakeStore
  readonly workers: FakeWorkers
  readonly logLines: readonly LogLine[]
  /** The running instances. */
  readonly names: () => readonly string[]
  readonly instance: (name: string) => FleetInstance
  readonly leader: () => string | undefined
  readonly kill: (name: string) => void
  /** Starts an instance, or restarts it after it was killed. */
  readonly start: (name: string) => void
  /** The machine is gone for good: the instance ends, and calls to it get no answer any more. */
  readonly remove: (name: string) => void
  /** Drops all calls between the two instances, in both directions. */
  readonly partition: (one: string, other: string) => void
  readonly healPartitions: () => void
  /** Stops the process of the instance, with all that it does and answers. */
  readonly pause: (name: string) => void
  /** The same for its machine, whose monotonic clock does not count that time. */
  readonly suspend: (name: string) => void
  readonly resume: (name: string) => void
  /** Keeps the calls and answers that the instance carries as a relay, as if its process was stopped. */
  readonly pauseRelay: (name: string) => void
  readonly resumeRelay: (name: string) => void
  /** Delays the answers of the current leader, whichever instance it is. */
  readonly delayLeader: (delay: Milliseconds) => void
  /** Lets calls of the instance to the advice service time out. */
  readonly cutAdvice: (name: string) => void
  readonly healAdvice: () => void
  readonly register: (listing: WorkerListing) => void
  readonly unregister: (worker: string) => void
  readonly configure: (configuration: Partial<FleetConfiguration>) => void
  /** Advances the clock until the promise resolves. Throws after 20 s. */
  readonly runUntilSettled: <T>(promise: Promise<T>) => Promise<T>
  readonly submit: (name: string, job: PipelineJob) => ReturnType<FleetInstance["intake"]["submit"]>
  /** The state of a job that the instance reports, or the type of its answer when it reports none. */
  readonly stateAt: (name: string, job: PipelineJob) => Promise<string>
}

interface Death {
  readonly promise: Promise<undefined>
  readonly happen: () => void
}

function createDeath(): Death {
  let happen = (): void => undefined
  const promise = new Promise<undefined>(resolve => {
    happen = () => resolve(undefined)
  })
  return {promise, happen}
}

const DEFAULT_PLAN: TaskPlan = {demand: STEP.demand, duration: 400}

export function testFleet(options: FleetOptions = {}): TestFleet {
  const clock = virtualClock(1000)
  const store = fakeStore(clock)
  const workers = fakeWorkers(clock, options.planOf ?? (() => DEFAULT_PLAN))
  const logLines: LogLine[] = []
  const running = new Map<string, FleetInstance>()
  const deaths = new Map<FleetInstance, Death>()
  const partitions = new Set<string>()
  const removed = new Set<string>()
  const pauses = createPauses(clock)
  let leaderDelay: Milliseconds = 0
  let incarnations = 0
  let version = 0

  function addressOf(name: string): string {
    return `${name}:7000`
  }

  function isPartitioned(one: string, other: string): boolean {
    if (removed.has(one) || removed.has(other)) return true
    return partitions.has(`${one} ${other}`) || partitions.has(`${other} ${one}`)
  }

  const channels = channelNetwork(clock, PEER_LATENCY_MS, isPartitioned)

  function logOf(instance: string): Logger {
    const write = (fields: object): void => {
      const {event, ...rest} = fields as {readonly event: string}
      logLines.push({instance, event, at: clock.now(), fields: rest})
    }
    return {debug: () => undefined, info: write, warn: write, error: write}
  }

  function clientsOf(caller: string): FleetClients {
    function reach(address: string): FleetPeer {
      const name = address.slice(0, address.indexOf(":"))
      async function call<T>(
        act: (handlers: FleetHandlers) => T | Promise<T>,
        timeout: Milliseconds,
      ): Promise<Result<T, CallFailed>> {
        await sleep(clock, PEER_LATENCY_MS)
        const target = running.get(name)
        if (isPartitioned(caller, name)) {
          await sleep(clock, timeout)
          return err(new CallFailed(address, "no answer", "unknown"))
        }
        if (!target) return err(new CallFailed(address, "connection refused", "not-run"))
        const delay = target.counts().leads === 1 ? leaderDelay : 0
        const arrived = pauses.hold(name, delay > 0 ? sleep(clock, delay) : Promise.resolve())
        const work = arrived.then(() => act(target.handlers))
        // Open calls to an instance end when its process does.
        const ended = Promise.race([work, deaths.get(target)?.promise])
        const answer = await pauses.hold(caller, withTimeout(clock, ended, timeout, undefined))
        if (answer === undefined || running.get(name) !== target)
          return err(new CallFailed(address, "no answer", "unknown"))
        return ok(answer)
      }
      return {
        ping: (ping, timeout) => call(handlers => handlers.ping(ping), timeout),
        storeJob: (record, stored, timeout) => call(handlers => handlers.storeJob(record, stored), timeout),
        jobState: (job, client, timeout) => call(handlers => handlers.jobState(job, client), timeout),
        cancelJob: (job, stored, client, timeout) =>
          call(handlers => handlers.cancelJob(job, stored, client), timeout),
        ask: question => call(handlers => handlers.ask(question), question.timeoutMs),
        takeOver: (term, timeout) => call(handlers => handlers.takeOver(term), timeout),
        configuration: timeout => call(handlers => handlers.configuration(), timeout),
        openChannel: (term, listener) =>
          channels.open({caller, name}, () => running.get(name)?.handlers.acceptChannel, term, listener),
      }
    }
    return {reach, close: () => undefined}
  }

  const withoutAdvice = new Set<string>()
  /** For each instance, when the advice service has handled its calls so far. */
  const adviceFreeAt = new Map<string, Milliseconds>()

  /** The advice service handles one call at a time for each instance. */
  function adviceOf(caller: string): AdviceCalls {
    return {
      async ask(step, workerNames, timeout) {
        const duration = options.adviceTime?.(workerNames.length) ?? 30
        const endsAt = Math.max(clock.now(), adviceFreeAt.get(caller) ?? 0) + duration
        const isCut = withoutAdvice.has(caller)
        if (!isCut) adviceFreeAt.set(caller, endsAt)
        await sleep(clock, isCut ? timeout : Math.min(timeout, endsAt - clock.now()))
        if (isCut || clock.now() < endsAt) return err(new CallFailed("advice", "no answer", "unknown"))
        const allowed = workerNames.filter(worker => options.allows?.(step, worker) ?? true)
        return ok(allowed.map(worker => ({worker, ticket: `${step}/${worker}`})))
      },
    }
  }

  const names = Array.from({length: options.instances ?? 3}, (_, index) => `entry-${index + 1}`)

  function start(name: string): void {
    incarnations += 1
    const instance = createFleetInstance(
      {
        member: {
          name,
          address: addressOf(name),
          processors: options.processors?.[name] ?? 1,
          linkMegabits: options.links?.[name] ?? 0,
        },
        incarnation: `life-${incarnations}`,
        seeds: names.map(addressOf),
        longestLease: 10_000,
        withdrawalLimit: options.withdrawalLimit ?? 0,
        remoteFactor: options.remoteFactor ?? 1,
      },
      {
        clock: pauses.clockOf(name),
        random: seededRandom((options.seed ?? 1) + incarnations),
        log: logOf(name),
        store: pauses.storeOf(name, store.portFor(name)),
        probeStore: () => pauses.hold(name, store.portFor(name).read("probe")),
        reader: READER,
        workers: pauses.workersOf(name, workers.callsFor(name)),
        advice: adviceOf(name),
        clients: clientsOf(name),
      },
    )
    running.set(name, instance)
    deaths.set(instance, createDeath())
    instance.start()
  }

  function register(listing: WorkerListing): void {
    store.put(`${READER.workerPrefix}${listing.id}`, JSON.stringify(listing))
  }

  function configure(configuration: Partial<FleetConfiguration>): void {
    version += 3
    const value: FleetConfiguration = {
      version,
      queues: options.queues ?? [QUEUE],
      services: [],
      workspaces: [],
      bodyLimit: 100_000,
      ...configuration,
    }
    store.put(READER.configurationKey, JSON.stringify(value))
  }

  configure({})
  for (let index = 1; index <= (options.workers ?? 4); index += 1) {
    const listing = listingOf(`worker-${index}`)
    workers.addWorker(listing)
    register(listing)
  }
  for (const name of names) start(name)

  function instance(name: string): FleetInstance {
    const found = running.get(name)
    if (!found) throw new RangeError(`The instance ${name} is not running.`)
    return found
  }

  function kill(name: string): void {
    instance(name).stop()
    deaths.get(instance(name))?.happen()
    running.delete(name)
    channels.endAll(name)
  }

  async function runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let result: {readonly value: T} | undefined
    void promise.then(value => {
      result = {value}
    })
    for (let turn = 0; turn < 2000 && !result; turn += 1) await clock.advance(10)
    if (!result) throw new RangeError("The call did not end within 20 s.")
    return result.value
  }

  return {
    clock,
    store,
    workers,
    logLines,
    names: () => [...running.keys()],
    instance,
    leader: () => [...running].find(([, one]) => one.counts().leads === 1)?.[0],
    kill,
    start,
    remove(name) {
      kill(name)
      removed.add(name)
    },
    partition: (one, other) => void partitions.add(`${one} ${other}`),
    healPartitions: () => partitions.clear(),
    pause: pauses.pause,
    suspend: pauses.suspend,
    resume: pauses.resume,
    pauseRelay: channels.pause,
    resumeRelay: channels.resume,
    delayLeader(delay) {
      leaderDelay = delay
    },
    cutAdvice: name => void withoutAdvice.add(name),
    healAdvice: () => withoutAdvice.clear(),
    register,
    unregister: worker => store.remove(`${READER.workerPrefix}${worker}`),
    configure,
    runUntilSettled,
    submit: (name, job) => runUntilSettled(instance(name).intake.submit(job, CLIENT_TIMEOUT_MS)),
    async stateAt(name, job) {
      const answer = await runUntilSettled(instance(name).intake.state(job.id))
      return answer.type === "state" ? answer.state : answer.type
    },
  }
}
