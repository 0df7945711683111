/**
 * Buffers the whole request body, within limits on size and time, before a slot of a backend server is acquired. A
 * slow caller therefore holds no slot, and a request that provably has not run can be sent again.
 */
import type {BodyReader} from "../callers/bodyreader.js"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sendProblem} from "./problems.js"
import type {Filter} from "./filter.js"

/** Until bodies that stop halfway have given way. */
const NO_ROOM_RETRY_MS: Milliseconds = 1000

/** Creates the filter. The time limit for reading the body is the deadline of the request. */
export function bodyFilter(clock: Clock, bodies: BodyReader, maximumBytes: () => number): Filter {
  return async (exchange, next) => {
    const {incoming, outgoing, id} = exchange
    const contentLength = Number(incoming.headers["content-length"] ?? 0)
    const refuse = (
      status: number,
      type: string,
      title: string,
      detail: string,
      retryAfter?: Milliseconds,
    ): void => {
      exchange.execution = "not-run"
      outgoing.setHeader("connection", "close")
      const problem = {status, type, title, detail, execution: "not-run"} as const
      sendProblem(outgoing, id, retryAfter === undefined ? problem : {...problem, retryAfter})
    }
    const hasNoBody = contentLength === 0 && incoming.headers["transfer-encoding"] === undefined
    if (hasNoBody) {
      await next()
      return
    }
    const outcome = await bodies.read(incoming, maximumBytes(), exchange.deadlineAt - clock.now())
    switch (outcome.type) {
      case "too-large":
        refuse(413, "body-too-large", "The body is too large", `The limit is ${maximumBytes()} bytes.`)
        return
      case "too-slow":
        refuse(408, "body-too-slow", "The body arrived too slowly", "It was not complete at the deadline.")
        return
      case "no-room":
        refuse(
          503,
          "no-room-for-body",
          "There is no room for the body",
          "Send the request again.",
          NO_ROOM_RETRY_MS,
        )
        return
      case "cut":
        exchange.execution = "not-run"
        return
      case "read":
        exchange.body = outcome.body
        try {
          await next()
        } finally {
          outcome.release()
        }
    }
  }
}
