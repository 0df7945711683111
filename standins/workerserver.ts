/** A worker's stand-in as an HTTP service on loopback. */
import {sleep} from "../src/core/clock.js"
import type {Clock, Milliseconds} from "../src/core/clock.js"
import type {WorkerSync} from "../src/platform/ports.js"
import {serveJson} from "./jsonserver.js"
import type {JsonServer} from "./jsonserver.js"
import type {Truth} from "./truth.js"
import {workerCore} from "./workercore.js"
import type {WorkerCore, WorkerDefinition} from "./workercore.js"

export interface WorkerServer extends JsonServer {
  readonly core: WorkerCore
  /** Calls are not answered while this is set. */
  readonly setSilent: (silent: boolean) => void
}

const SILENT_FOR_MS: Milliseconds = 60_000

/** Starts the service; port 0 takes a free one. */
export async function serveWorker(
  definition: WorkerDefinition,
  clock: Clock,
  truth: Truth,
  clockOffset: Milliseconds,
  port = 0,
): Promise<WorkerServer> {
  const core = workerCore(definition, clock, truth, clockOffset)
  let silent = false
  const server = await serveJson(async (path, body) => {
    if (silent) {
      await sleep(clock, SILENT_FOR_MS)
      return undefined
    }
    if (path !== "/sync") return {status: 404, body: {}}
    return {status: 200, body: await core.sync(body as WorkerSync)}
  }, port)
  return {
    ...server,
    core,
    setSilent(value) {
      silent = value
    },
    async close() {
      core.close()
      await server.close()
    },
  }
}
