/** The two deployments at today's size: data centres, pools of workers and their racks. */
import type {Resources} from "../src/core/resources.js"
import type {Milliseconds} from "../src/core/clock.js"

export interface PoolDefinition {
  readonly pool: string
  readonly service: string
  readonly workers: number
  readonly perRack: number
  readonly capacity: Resources
}

export interface JobMix {
  readonly batch: string
  readonly batchDemand: Resources
  readonly batchRun: Milliseconds
  readonly gang: string
  readonly gangDemand: Resources
  readonly gangTasks: number
  readonly gangRun: Milliseconds
  readonly service: string
  readonly serviceDemand: Resources
  readonly once: string
  readonly onceDemand: Resources
  readonly urgent: string
}

export interface Deployment {
  readonly name: string
  readonly document: string
  readonly dataCentres: readonly string[]
  readonly entryInstances: number
  readonly pools: readonly PoolDefinition[]
  readonly teams: readonly string[]
  /** Service and time of short requests, and of long ones. */
  readonly shortService: string
  readonly shortWork: Milliseconds
  readonly longService: string
  readonly longWork: Milliseconds
  readonly receiptService: string
  readonly jobs: JobMix
}

const GIBIBYTE = 1024

function resources(processors: number, gibibytes: number, accelerators: number): Resources {
  return {processors, memoryMebibytes: gibibytes * GIBIBYTE, accelerators}
}

export const FOLDWIND: Deployment = {
  name: "foldwind",
  document: "examples/foldwind.ini",
  dataCentres: ["cascadia-a", "cascadia-b", "cascadia-c"],
  entryInstances: 8,
  pools: [
    {pool: "crease", service: "crease", workers: 24, perRack: 5, capacity: resources(16, 32, 0)},
    {pool: "glide", service: "glide", workers: 10, perRack: 3, capacity: resources(64, 256, 8)},
  ],
  teams: ["schools", "libraries", "workshop"],
  shortService: "crease",
  shortWork: 8,
  longService: "glide",
  longWork: 400,
  receiptService: "crease",
  jobs: {
    batch: "pattern-packs",
    batchDemand: resources(2, 2, 0),
    batchRun: 700,
    gang: "simulations",
    gangDemand: resources(8, 16, 2),
    gangTasks: 6,
    gangRun: 1200,
    service: "boards",
    serviceDemand: resources(1, 1, 0),
    once: "single-flights",
    onceDemand: resources(4, 8, 1),
    urgent: "urgent-folds",
  },
}

export const KORKKREIS: Deployment = {
  name: "korkkreis",
  document: "examples/korkkreis.ini",
  dataCentres: ["wien", "graz", "linz", "salzburg"],
  entryInstances: 8,
  pools: [
    {pool: "rundgang", service: "rundgang", workers: 24, perRack: 4, capacity: resources(64, 128, 0)},
    {pool: "sortierwerk", service: "sortierwerk", workers: 9, perRack: 3, capacity: resources(32, 64, 8)},
  ],
  teams: ["parishes", "schools", "workshop"],
  shortService: "rundgang",
  shortWork: 6,
  longService: "sortierwerk",
  longWork: 600,
  receiptService: "sortierwerk",
  jobs: {
    batch: "pickup-plans",
    batchDemand: resources(4, 6, 0),
    batchRun: 800,
    gang: "lot-comparisons",
    gangDemand: resources(4, 8, 2),
    gangTasks: 6,
    gangRun: 1200,
    service: "tour-boards",
    serviceDemand: resources(2, 2, 0),
    once: "lot-sorting",
    onceDemand: resources(4, 8, 1),
    urgent: "urgent-plans",
  },
}

export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {foldwind: FOLDWIND, korkkreis: KORKKREIS}
