/** The program that the platform starts for each instance. It runs until it receives a stop signal. */
import {randomBytes} from "node:crypto"
import pino from "pino"
import {createClientGuard} from "../callers/guard.js"
import {clientLimits} from "../callers/limits.js"
import {systemClock} from "../core/clock.js"
import type {Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import {formatFinding} from "../core/finding.js"
import {hash32} from "../core/hash.js"
import {seededRandom} from "../core/random.js"
import {fleetClients, fleetRoutes} from "../peer/fleet.js"
import {servePeers} from "../peer/server.js"
import {createFleetInstance} from "../planner/instance.js"
import {LEADER_KEY} from "../planner/records.js"
import {createFleetMetrics} from "../planner/metrics.js"
import {adviceCalls} from "../platform/advicecalls.js"
import {FLEET_READER} from "../platform/fleetreader.js"
import {createFrontend, createStatusServer} from "../platform/frontend.js"
import {jsonClient} from "../platform/http.js"
import {keyValueStore} from "../platform/kvstore.js"
import {listen} from "../platform/listen.js"
import {platformSettingsFile} from "../platform/settingsfile.js"
import {workerCalls} from "../platform/workercalls.js"
import {loadFleetSettings, seedAddresses} from "../settings/fleetsettings.js"
import type {FleetSettings} from "../settings/fleetsettings.js"
import {EXIT} from "./exitcodes.js"
import {processSignals} from "./signals.js"
import {closeServer, stopGracefully} from "./stopping.js"

/** Log lines are buffered up to this size before they are written. */
const LOG_BUFFER_BYTES = 4096
const LOG_FLUSH_MS: Milliseconds = 100
/** More than one connection to each worker, so that orders can be sent while a report waits for its answer. */
const WORKER_CONNECTIONS = 4
/** For reports that tell to which incarnation of the worker a new connection leads. */
const WORKER_IDENTITY_CONNECTIONS = 1
/** Enough that calls which wait for their timeout at a store that does not answer do not block calls made once it answers. */
const STORE_CONNECTIONS = 20
const PROBE_CONNECTIONS = 4
/** Longer than the slowest answer seen from a store (0.3 s). */
const PROBE_TIMEOUT_MS: Milliseconds = 450
const INCARNATION_BYTES = 8

async function run(settings: FleetSettings): Promise<void> {
  const destination = pino.destination({dest: 1, sync: false, minLength: LOG_BUFFER_BYTES})
  const fleetMetrics = createFleetMetrics()
  const log = fleetMetrics.wrapLogger(
    pino({level: settings.logLevel, base: {instance: settings.instance}}, destination),
  )
  setInterval(() => destination.flush(), LOG_FLUSH_MS).unref()
  const clock = systemClock()
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex")
  const storeCaller = jsonClient(STORE_CONNECTIONS)
  const workerCaller = jsonClient(WORKER_CONNECTIONS)
  const probe = keyValueStore(jsonClient(PROBE_CONNECTIONS), settings.storeAddress, PROBE_TIMEOUT_MS)
  const clients = fleetClients(undefined)
  const instance = createFleetInstance(
    {
      member: {
        name: settings.instance,
        address: settings.peerAddress,
        processors: settings.processors,
        linkMegabits: settings.linkMegabits,
      },
      incarnation,
      seeds: seedAddresses(settings),
      longestLease: settings.longestLease,
      withdrawalLimit: settings.withdrawalLimit,
      remoteFactor: settings.remoteFactor,
    },
    {
      clock,
      random: seededRandom(hash32(`${settings.instance}/${incarnation}`)),
      log,
      store: keyValueStore(storeCaller, settings.storeAddress),
      probeStore: () => probe.read(LEADER_KEY),
      reader: FLEET_READER,
      workers: workerCalls(workerCaller, jsonClient(WORKER_IDENTITY_CONNECTIONS)),
      advice: adviceCalls(storeCaller, settings.adviceAddress),
      clients,
    },
  )
  const guard = createClientGuard(clientLimits(settings), clock, log)
  const frontend = createFrontend({
    intake: instance.intake,
    authorizer: instance.authorizer,
    configuration: instance.configuration,
    wallClock: clock.wallClock,
    longestRecord: settings.longestStoredValue,
    log,
    guard,
    isDraining: instance.isDraining,
  })
  const metrics = (): string =>
    fleetMetrics.format({
      ...instance.counts(),
      ...guard.counts(),
      requests_in_hand: guard.openRequests(),
    })
  const status = createStatusServer(instance.isReady, metrics)
  await servePeers(fleetRoutes(instance.handlers), settings.peerAddress, undefined)
  await listen(frontend, settings.callerAddress)
  await listen(status, settings.statusAddress)
  if (settings.metricsAddress !== "")
    await listen(createStatusServer(instance.isReady, metrics), settings.metricsAddress)
  instance.start()
  log.info(
    {event: "started", callers: settings.callerAddress, uptime: process.uptime()},
    "the instance accepts requests",
  )

  const stop = async (): Promise<void> => {
    log.info({event: "stopping"}, "the instance is stopping")
    await stopGracefully(clock, settings.stopGrace, {
      drain: () => instance.drain(),
      countOpenRequests: guard.openRequests,
      closeListener: () => closeServer(frontend),
    })
    instance.stop()
    log.info({event: "stopped", inHand: guard.openRequests()}, "the instance has stopped")
    destination.flushSync()
    process.exit(EXIT.ok)
  }
  processSignals.handle({
    stop: () => void stop(),
    settingsChanged: () =>
      log.info({event: "settings-changed"}, "SIGHUP ignored: settings are read only at the start"),
  })
  process.on("uncaughtException", error => {
    log.error({event: "uncaught", reason: describeError(error), stack: error.stack}, "uncaught exception")
  })
  process.on("unhandledRejection", error => {
    log.error({event: "unhandled", reason: describeError(error)}, "unhandled promise rejection")
  })
}

const file = platformSettingsFile(process.env) ?? process.argv[2] ?? ""
const loaded = loadFleetSettings(file)
if (loaded.isErr()) {
  for (const finding of loaded.error) process.stderr.write(`${formatFinding(finding)}\n`)
  process.exit(EXIT.invalid)
}
run(loaded.value).catch((error: unknown) => {
  process.stderr.write(`The instance could not start: ${describeError(error)}\n`)
  process.exit(EXIT.unreachable)
})
