/**
 * Handles the signals of the daemon from the start of the process, because the runtime's default on SIGHUP would end it.
 * Before the daemon serves, SIGHUP is ignored, since the settings have not been read yet, and SIGTERM and SIGINT end the
 * process at once, since no request is open.
 */
import type {EventEmitter} from "node:events"
import {EXIT} from "./exitcodes.js"

export interface SignalHandlers {
  /** Called at most once, also when SIGTERM or SIGINT is repeated. */
  readonly stop: () => void
  readonly settingsChanged: () => void
}

export interface Signals {
  /** Sets the handlers; until then a stop signal ends the process. */
  readonly handle: (handlers: SignalHandlers) => void
}

/** Listens for signals of the source. */
export function createSignals(source: Pick<EventEmitter, "on">, exit: (code: number) => unknown): Signals {
  let activeHandlers: SignalHandlers | undefined
  let stopping = false

  function stop(): void {
    if (!activeHandlers) {
      exit(EXIT.ok)
      return
    }
    if (stopping) return
    stopping = true
    activeHandlers.stop()
  }

  source.on("SIGTERM", stop)
  source.on("SIGINT", stop)
  source.on("SIGHUP", () => activeHandlers?.settingsChanged())
  return {
    handle(handlers) {
      activeHandlers = handlers
    },
  }
}

/** Signals of this process. Listening starts when this module is loaded. */
export const processSignals = createSignals(process, code => process.exit(code))
