/**
 * Reads the whole request body before a slot is taken, within a bound of size and time. A slow caller therefore
 * holds no slot, and a request can be sent again if it is proved not to have run.
 */
import type {IncomingMessage} from "node:http"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sendProblem} from "./answers.js"
import type {Filter} from "./filter.js"

interface BodyRead {
  readonly type: "read"
  readonly body: Buffer
}

interface BodyRefused {
  readonly type: "too-large" | "too-slow" | "cut"
}

type ReadOutcome = BodyRead | BodyRefused

function read(
  incoming: IncomingMessage,
  limit: number,
  clock: Clock,
  time: Milliseconds,
): Promise<ReadOutcome> {
  return new Promise(resolve => {
    const parts: Buffer[] = []
    let size = 0
    const finish = (outcome: ReadOutcome): void => {
      cancel()
      incoming.removeAllListeners("data")
      resolve(outcome)
    }
    const cancel = clock.after(time, () => finish({type: "too-slow"}))
    incoming.on("data", (part: Buffer) => {
      size += part.length
      if (size > limit) finish({type: "too-large"})
      else parts.push(part)
    })
    incoming.once("end", () => finish({type: "read", body: Buffer.concat(parts)}))
    incoming.once("close", () => finish({type: "cut"}))
    incoming.once("error", () => finish({type: "cut"}))
  })
}

/** Creates the filter. */
export function bodyFilter(clock: Clock, largestBytes: () => number): Filter {
  return async (exchange, next) => {
    const {incoming, outgoing, id} = exchange
    const announced = Number(incoming.headers["content-length"] ?? 0)
    const refuse = (status: number, type: string, title: string, detail: string): void => {
      exchange.execution = "not-run"
      outgoing.setHeader("connection", "close")
      sendProblem(outgoing, id, {status, type, title, detail, execution: "not-run"})
    }
    if (announced > largestBytes()) {
      refuse(413, "body-too-large", "The body is too large", `At most ${largestBytes()} bytes are taken.`)
      return
    }
    const bodiless = announced === 0 && incoming.headers["transfer-encoding"] === undefined
    if (bodiless) {
      await next()
      return
    }
    const outcome = await read(incoming, largestBytes(), clock, exchange.deadlineAt - clock.now())
    switch (outcome.type) {
      case "too-large":
        refuse(413, "body-too-large", "The body is too large", `At most ${largestBytes()} bytes are taken.`)
        return
      case "too-slow":
        refuse(408, "body-too-slow", "The body came too slowly", "It was not whole at the deadline.")
        return
      case "cut":
        exchange.execution = "not-run"
        return
      case "read":
        exchange.body = outcome.body
        await next()
    }
  }
}
