/** Decodes the platform's entries of workers and the operator's configuration. What cannot be read is left out. */
import type {AdviceTerms, FleetConfiguration, Queue, Service, WorkerListing} from "../pipelines/model.js"
import type {FleetReader} from "../pipelines/ports.js"
import type {WireObject} from "./wire.js"
import {asFlag, asList, asNumber, asObject, asText, parseJson, readResources} from "./wire.js"

const WORKER_PREFIX = "servers/"
const OPERATOR_PREFIX = "op/"
const CONFIGURATION_KEY = "op/config"
/** Used where the configuration gives no limit. */
const DEFAULT_BODY_LIMIT = 262_144

/** `Labels` holds the worker's kind and its rack, the rack last. */
function rackOf(labels: readonly string[]): string {
  return labels.at(-1) ?? ""
}

function decodeWorker(key: string, value: string): WorkerListing | undefined {
  const fields = asObject(parseJson(value))
  const state = fields.State
  const service = asText(fields.Service)
  const address = asText(fields.Address)
  if ((state !== "ready" && state !== "draining") || service === "" || !address.includes(":"))
    return undefined
  if (typeof fields.born !== "number" || !Array.isArray(fields.Labels)) return undefined
  const labels = asList(fields.Labels).map(label => asText(label))
  return {
    id: key.slice(WORKER_PREFIX.length),
    service,
    address,
    dataCentre: asText(fields.Zone),
    labels,
    rack: rackOf(labels),
    // Despite its name, the field holds all that the worker has, in use or not.
    capacity: readResources(fields.FreeCapacity),
    leaving: state === "draining",
    bornAt: fields.born,
  }
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

function readQueue(fields: WireObject): Queue {
  return {
    name: asText(fields.Name),
    host: asText(fields.Host),
    prefix: asText(fields.Prefix),
    service: asText(fields.Service),
    priority: asNumber(fields.Priority),
    attempts: Math.max(1, asNumber(fields.Attempts, 1)),
    slackFactor: asNumber(fields.SlackFactor, 1),
    latencyTarget: asNumber(fields.TargetLatencyMs),
    advice: readAdvice(fields.Advice),
  }
}

function readService(fields: WireObject): Service {
  return {
    name: asText(fields.Name),
    workersCheckFit: asFlag(fields.Preconditions),
    standby: asFlag(fields.Standby),
  }
}

function decodeConfiguration(value: string): FleetConfiguration | undefined {
  const fields = asObject(parseJson(value))
  if (typeof fields.Version !== "number" || !Array.isArray(fields.Routes)) return undefined
  return {
    version: fields.Version,
    queues: asList(fields.Routes).map(route => readQueue(asObject(route))),
    services: asList(fields.Services).map(service => readService(asObject(service))),
    bodyLimit: asNumber(asObject(fields.Limits).MaxBodyBytes, DEFAULT_BODY_LIMIT),
  }
}

export const FLEET_READER: FleetReader = {
  workerPrefix: WORKER_PREFIX,
  operatorPrefix: OPERATOR_PREFIX,
  configurationKey: CONFIGURATION_KEY,
  decodeWorker,
  decodeConfiguration,
}
