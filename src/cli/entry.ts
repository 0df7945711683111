/** `entry --settings FILE`: runs one entry instance as a process. */
import pino from "pino"
import {systemClock} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import {formatFinding} from "../core/finding.js"
import {hash32} from "../core/hash.js"
import {seededRandom} from "../core/random.js"
import {startEntry} from "../entry/instance.js"
import {createMetrics} from "../entry/metrics.js"
import {jsonClient} from "../platform/http.js"
import {httpBackendProbe, httpInstanceList, httpWorkerGateway} from "../platform/httpplatform.js"
import {httpStore} from "../platform/httpstore.js"
import {loadSettings} from "../settings/settings.js"
import {EXIT} from "./exitcodes.js"
import type {ExitCode} from "./exitcodes.js"
import type {Output} from "./output.js"

const SECOND_INTERRUPT = 2

/** Resolves with the exit code once the instance has stopped. */
export async function runEntry(file: string, output: Output): Promise<ExitCode> {
  const loaded = loadSettings(file)
  if (loaded.isErr()) {
    for (const finding of loaded.error) output.error(formatFinding(finding))
    return EXIT.invalid
  }
  const settings = loaded.value
  const log = pino({level: settings.logLevel, base: {instance: settings.instance}})
  const caller = jsonClient()
  const clock = systemClock()
  let interrupts = 0

  return new Promise(resolve => {
    const finish = (code: ExitCode): void => {
      void caller.close()
      resolve(code)
    }
    startEntry(settings, {
      clock,
      random: seededRandom(hash32(`${settings.instance}/${process.pid}/${clock.wallClock()}`)),
      store: httpStore(caller, settings.storeAddresses),
      list: httpInstanceList(caller, settings.instanceListAddress),
      gateway: httpWorkerGateway(caller),
      probe: httpBackendProbe(caller),
      log,
      metrics: createMetrics(settings.metricsAddress, settings.instance),
      onReplaced: () => {
        log.error({event: "replaced"}, "stopped: a later process runs under the name of this instance")
        finish(EXIT.refused)
      },
    })
      .then(entry => {
        log.info(
          {event: "started", callers: entry.callerAddress, peers: entry.peerAddress},
          "the instance accepts requests",
        )
        const stop = (): void => {
          void entry.stop().then(() => finish(EXIT.ok))
        }
        process.on("SIGTERM", stop)
        process.on("SIGINT", () => {
          interrupts += 1
          if (interrupts < SECOND_INTERRUPT) stop()
          else void entry.kill().then(() => finish(EXIT.refused))
        })
      })
      .catch((error: unknown) => {
        output.error(`The instance could not start: ${describeError(error)}`)
        finish(EXIT.unreachable)
      })
  })
}
