/** Starts the bundled daemon as a process that leads, with one worker, against fakes of the platform. */
import {ROUTE_HOST, startFleet} from "./fleetprocesses.js"
import type {Machine, WatchedProcess} from "./watchedprocess.js"

export {ROUTE_HOST}
/** The first process of a fleet has this address. */
export const CALLERS = `127.79.${(process.pid >> 8) & 255}.${process.pid & 255 || 1}:7101`

export interface Daemon {
  readonly process: WatchedProcess
  readonly close: () => Promise<void>
}

/** Starts a daemon that leads, with one worker. */
export async function startDaemon(machine: Machine): Promise<Daemon> {
  const {instances, close} = await startFleet([machine])
  const [daemon] = instances
  if (!daemon) throw new RangeError("There is no process.")
  return {process: daemon.process, close}
}
