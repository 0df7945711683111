/** Traces of both deployments from fixed seeds: swings, stragglers, wrong sizes, urgent work. */
import type {Milliseconds} from "../src/core/clock.js"
import {exponential, seededRandom} from "../src/core/random.js"
import type {Resources} from "../src/core/resources.js"

export type TaskClass = "short" | "long" | "urgent"

export interface TraceTask {
  readonly id: number
  readonly team: string
  readonly taskClass: TaskClass
  readonly priority: number
  readonly pool: string
  readonly demand: Resources
  readonly arrivesAt: Milliseconds
  readonly run: Milliseconds
  readonly checkpointable: boolean
  /** True when it arrives during the swing's highest part. */
  readonly atCrest: boolean
}

export interface TraceWorker {
  readonly name: string
  readonly rack: string
  readonly pool: string
  readonly capacity: Resources
}

export interface Trace {
  readonly name: string
  readonly workers: readonly TraceWorker[]
  readonly tasks: readonly TraceTask[]
  readonly length: Milliseconds
  readonly packingWeight: number
}

export interface TraceShape {
  readonly name: string
  readonly workers: number
  readonly perRack: number
  readonly capacity: Resources
  readonly tasksPerSecond: number
  readonly crestFactor: number
  readonly shortRun: Milliseconds
  readonly longRun: Milliseconds
  readonly longShare: number
  readonly urgentShare: number
  readonly packingWeight: number
  readonly seconds: number
}

export const FOLDWIND_TRACE: TraceShape = {
  name: "foldwind",
  workers: 24,
  perRack: 5,
  capacity: {processors: 16, memoryMebibytes: 32 * 1024, accelerators: 0},
  tasksPerSecond: 60,
  crestFactor: 3,
  shortRun: 700,
  longRun: 12_000,
  longShare: 0.08,
  urgentShare: 0.02,
  packingWeight: 0.2,
  seconds: 120,
}

export const KORKKREIS_TRACE: TraceShape = {
  ...FOLDWIND_TRACE,
  name: "korkkreis",
  perRack: 4,
  capacity: {processors: 64, memoryMebibytes: 128 * 1024, accelerators: 0},
  tasksPerSecond: 180,
  crestFactor: 2.2,
  shortRun: 900,
  longRun: 15_000,
  longShare: 0.1,
  urgentShare: 0.01,
  packingWeight: 0.9,
}

const TEAMS = ["one", "two", "three", "four"]
const CRESTS: readonly (readonly [number, number])[] = [
  [0.25, 0.35],
  [0.6, 0.68],
]
const STRAGGLER_SHARE = 0.01
const STRAGGLER_FACTOR = 8

function isCrest(share: number): boolean {
  return CRESTS.some(([from, to]) => share >= from && share < to)
}

/** Makes a trace. With `withLong` false the long tasks are left out and all else stays. */
export function makeTrace(shape: TraceShape, seed: number, withLong = true): Trace {
  const random = seededRandom(seed)
  const tasks: TraceTask[] = []
  const length = shape.seconds * 1000
  let at = 0
  for (let id = 0; at < length; id += 1) {
    const crest = isCrest(at / length)
    at += exponential(random, 1000 / (shape.tasksPerSecond * (crest ? shape.crestFactor : 1)))
    const draw = random.next()
    const long = draw < shape.longShare
    const urgent = draw > 1 - shape.urgentShare
    const straggles = random.next() < STRAGGLER_SHARE
    const base = long ? shape.longRun : shape.shortRun
    const run = (0.5 + random.next()) * base * (straggles && !long ? STRAGGLER_FACTOR : 1)
    const processors = [1, 1, 2, 4][random.below(4)] ?? 1
    const memoryMebibytes = processors * 1024 * ([1, 1.5, 2, 3][random.below(4)] ?? 1)
    const team = TEAMS[random.below(TEAMS.length)] ?? "one"
    if (long && !withLong) continue
    tasks.push({
      id,
      team,
      taskClass: long ? "long" : urgent ? "urgent" : "short",
      priority: urgent ? 9 : long ? 3 : 5,
      pool: "pool",
      demand: {processors, memoryMebibytes, accelerators: 0},
      arrivesAt: at,
      run,
      checkpointable: long,
      atCrest: crest,
    })
  }
  const workers = Array.from({length: shape.workers}, (_, index) => ({
    name: `worker-${String(index + 1).padStart(5, "0")}`,
    rack: `rack-${Math.floor(index / shape.perRack) + 1}`,
    pool: "pool",
    capacity: shape.capacity,
  }))
  return {name: shape.name, workers, tasks, length, packingWeight: shape.packingWeight}
}
