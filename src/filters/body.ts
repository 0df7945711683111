/**
 * Buffers the whole request body, within limits on size and time, before a slot of a backend server is acquired. A
 * slow caller therefore holds no slot, and a request that provably has not run can be sent again.
 */
import type {IncomingMessage} from "node:http"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sendProblem} from "./problems.js"
import type {Filter} from "./filter.js"

interface BodyRead {
  readonly type: "read"
  readonly body: Buffer
}

interface BodyRejected {
  readonly type: "too-large" | "too-slow" | "cut"
}

type ReadOutcome = BodyRead | BodyRejected

function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
  clock: Clock,
  timeout: Milliseconds,
): Promise<ReadOutcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    const finish = (outcome: ReadOutcome): void => {
      cancelTimeout()
      incoming.removeAllListeners("data")
      resolve(outcome)
    }
    const cancelTimeout = clock.after(timeout, () => finish({type: "too-slow"}))
    incoming.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length
      if (sizeBytes > limitBytes) finish({type: "too-large"})
      else chunks.push(chunk)
    })
    incoming.once("end", () => finish({type: "read", body: Buffer.concat(chunks)}))
    incoming.once("close", () => finish({type: "cut"}))
    incoming.once("error", () => finish({type: "cut"}))
  })
}

/** Creates the filter. The time limit for reading the body is the deadline of the request. */
export function bodyFilter(clock: Clock, maximumBytes: () => number): Filter {
  return async (exchange, next) => {
    const {incoming, outgoing, id} = exchange
    const contentLength = Number(incoming.headers["content-length"] ?? 0)
    const refuse = (status: number, type: string, title: string, detail: string): void => {
      exchange.execution = "not-run"
      outgoing.setHeader("connection", "close")
      sendProblem(outgoing, id, {status, type, title, detail, execution: "not-run"})
    }
    if (contentLength > maximumBytes()) {
      refuse(413, "body-too-large", "The body is too large", `The limit is ${maximumBytes()} bytes.`)
      return
    }
    const hasNoBody = contentLength === 0 && incoming.headers["transfer-encoding"] === undefined
    if (hasNoBody) {
      await next()
      return
    }
    const outcome = await readBody(incoming, maximumBytes(), clock, exchange.deadlineAt - clock.now())
    switch (outcome.type) {
      case "too-large":
        refuse(413, "body-too-large", "The body is too large", `The limit is ${maximumBytes()} bytes.`)
        return
      case "too-slow":
        refuse(408, "body-too-slow", "The body arrived too slowly", "It was not complete at the deadline.")
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
