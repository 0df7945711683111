/**
 * Decodes the worker entries and the operator's configuration in the platform's store. Text that
 * lacks a required field decodes to undefined; optional fields that are missing get defaults. Others than the workers
 * may write worker entries, so that their values are also checked for their range.
 */
import {isIPv4} from "node:net"
import type {Resources} from "../core/resources.js"
import type {
  AdviceTerms,
  FleetConfiguration,
  Queue,
  Service,
  WorkerListing,
  Workspace,
} from "../pipelines/model.js"
import type {FleetReader} from "../pipelines/ports.js"
import type {JsonObject} from "./wire.js"
import {asBoolean, asArray, asNumber, asObject, asString, parseJson, readResources} from "./wire.js"

const WORKER_PREFIX = "servers/"
const CONFIGURATION_KEY = "op/config"
/** Used when the configuration sets no limit. */
const DEFAULT_BODY_LIMIT_BYTES = 262_144

/** The last element of `Labels` is the worker's rack. */
function rackOf(labels: readonly string[]): string {
  return labels.at(-1) ?? ""
}

const IP_ADDRESS_AND_PORT = /^([\d.]{7,15}):(\d{1,5})$/
const HIGHEST_PORT = 65_535
/** Above the capacity of any machine, and low enough that sums over a fleet stay exact. */
const MAX_AMOUNT = 1e9
/**
 * Limit on what is read from an entry, which takes a few hundred bytes for a worker. The leader stores it in its roster, of
 * which each part has to be shorter than a value of the store may be.
 */
const MAX_LISTING_BYTES = 8192
/** The year 2100, in milliseconds since the Unix epoch. */
const LATEST_BIRTH = Date.UTC(2100)

function isAddress(text: string): boolean {
  const [, host = "", port] = IP_ADDRESS_AND_PORT.exec(text) ?? []
  return isIPv4(host) && Number(port) > 0 && Number(port) <= HIGHEST_PORT
}

function isAmount(value: unknown): boolean {
  return value === undefined || (typeof value === "number" && value >= 0 && value <= MAX_AMOUNT)
}

function isBirth(value: unknown): value is number {
  return typeof value === "number" && Number.isInteger(value) && value > 0 && value < LATEST_BIRTH
}

/** Reads the capacity of a worker. A worker without accelerators may leave out their number. */
function readCapacity(value: unknown): Resources | undefined {
  const fields = asObject(value)
  if (fields.Cpu === undefined || fields.MemMb === undefined) return undefined
  return isAmount(fields.Cpu) && isAmount(fields.MemMb) && isAmount(fields.Gpu)
    ? readResources(fields)
    : undefined
}

function isString(value: unknown): value is string {
  return typeof value === "string"
}

function decodeWorker(key: string, value: string): WorkerListing | undefined {
  const fields = asObject(parseJson(value))
  const id = key.slice(WORKER_PREFIX.length)
  const {State: state, Zone: zone, Labels: labels, born} = fields
  const service = asString(fields.Service)
  const address = asString(fields.Address)
  // Despite its name, the field holds the worker's total capacity, including resources in use.
  const capacity = readCapacity(fields.FreeCapacity)
  if (id === "" || (state !== "ready" && state !== "draining") || service === "") return undefined
  if (!isAddress(address) || !capacity || !isBirth(born)) return undefined
  if (!isString(zone) || !Array.isArray(labels) || !labels.every(isString)) return undefined
  const listing = {
    id,
    service,
    address,
    dataCentre: zone,
    labels,
    rack: rackOf(labels),
    capacity,
    leaving: state === "draining",
    bornAt: born,
  }
  return Buffer.byteLength(JSON.stringify(listing)) <= MAX_LISTING_BYTES ? listing : undefined
}

function readAdvice(value: unknown): AdviceTerms | undefined {
  if (value === undefined || value === null) return undefined
  const fields = asObject(value)
  return {
    base: asNumber(fields.DecideMs),
    perWorker: asNumber(fields.EachMs),
    ticketLife: asNumber(fields.ValidMs),
  }
}

function readQueue(fields: JsonObject, hasWorkspaces: boolean): Queue {
  return {
    name: asString(fields.Name),
    host: asString(fields.Host),
    prefix: asString(fields.Prefix),
    service: asString(fields.Service),
    priority: asNumber(fields.Priority),
    attempts: Math.max(1, asNumber(fields.Attempts, 1)),
    slackFactor: asNumber(fields.SlackFactor, 1),
    latencyTarget: asNumber(fields.TargetLatencyMs),
    advice: readAdvice(fields.Advice),
    isPublic: !hasWorkspaces || asBoolean(fields.Public),
  }
}

function readService(fields: JsonObject): Service {
  return {
    name: asString(fields.Name),
    workersCheckFit: asBoolean(fields.Preconditions),
    standby: asBoolean(fields.Standby),
  }
}

/** Without a weight, a workspace has the share of one with weight 1. */
function readWorkspace(fields: JsonObject): Workspace {
  const weight = asNumber(fields.Weight, 1)
  return {
    name: asString(fields.Name),
    keys: asArray(fields.ApiKeys).filter(isString),
    weight: weight > 0 ? weight : 1,
    limit: readResources(fields.MaxCount),
  }
}

function decodeConfiguration(value: string): FleetConfiguration | undefined {
  const fields = asObject(parseJson(value))
  if (typeof fields.Version !== "number" || !Array.isArray(fields.Routes)) return undefined
  const hasWorkspaces = Array.isArray(fields.Tenants)
  return {
    version: fields.Version,
    queues: asArray(fields.Routes).map(route => readQueue(asObject(route), hasWorkspaces)),
    services: asArray(fields.Services).map(service => readService(asObject(service))),
    workspaces: asArray(fields.Tenants).map(workspace => readWorkspace(asObject(workspace))),
    bodyLimit: asNumber(asObject(fields.Limits).MaxBodyBytes, DEFAULT_BODY_LIMIT_BYTES),
  }
}

export const FLEET_READER: FleetReader = {
  workerPrefix: WORKER_PREFIX,
  configurationKey: CONFIGURATION_KEY,
  decodeWorker,
  decodeConfiguration,
}
