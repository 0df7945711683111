/**
 * Reads the body of a request into one buffer that grows within the body's share of the instance's memory. Chunks are
 * copied as they arrive, since each chunk that is kept costs a few hundred bytes, however small it is.
 */
import type {IncomingMessage} from "node:http"
import type {Clock, Milliseconds} from "../core/clock.js"
import type {BodyBudget} from "./bodybudget.js"
import {unitsOfPiece} from "./readingorder.js"
import {createReadingTurns} from "./turns.js"
import type {ReadingTurns} from "./turns.js"

export type BodyOutcome =
  /**
   * `release` has to be called once the request is answered. `hold` asks for as many bytes in all as the request takes
   * until then; if there is no room for them, the request has to be refused.
   */
  | {
      readonly type: "read"
      readonly body: Buffer
      readonly hold: (bytes: number) => boolean
      readonly release: () => void
    }
  /** Longer than the limit, announced or sent; no room among the bodies in hand; late; the connection has ended. */
  | {readonly type: "too-large" | "no-room" | "too-slow" | "cut"}

export interface BodyReader {
  /** Reads the body, for at most `timeout`. Has to be called in the same turn in which the request arrived. */
  readonly read: (request: IncomingMessage, limit: number, timeout?: Milliseconds) => Promise<BodyOutcome>
}

const FIRST_CAPACITY = 4096
const EMPTY = Buffer.alloc(0)

export function createBodyReader(
  clock: Pick<Clock, "now" | "after">,
  budget: BodyBudget,
  onRefused: (reason: "too-large" | "no-room" | "too-slow") => void = () => undefined,
  turns: Pick<ReadingTurns, "charge"> = createReadingTurns(),
): BodyReader {
  return {
    read: (request, limit, timeout) =>
      new Promise(resolve => {
        const announced = Number(request.headers["content-length"] ?? 0)
        if (announced > limit) {
          onRefused("too-large")
          resolve({type: "too-large"})
          return
        }
        let buffer: Buffer = EMPTY
        let length = 0
        let finished = false
        const share = budget.open(clock.now(), () => finish({type: "no-room"}))
        const cancelTimeout =
          timeout === undefined ? undefined : clock.after(timeout, () => finish({type: "too-slow"}))

        function finish(outcome: BodyOutcome): void {
          if (finished) return
          finished = true
          cancelTimeout?.()
          request.off("data", take)
          request.off("end", end)
          request.off("close", cut)
          buffer = EMPTY
          if (outcome.type !== "read") share.release()
          if (outcome.type !== "read" && outcome.type !== "cut") onRefused(outcome.type)
          resolve(outcome)
        }

        function take(chunk: Buffer): void {
          turns.charge(request.socket, unitsOfPiece(chunk.length))
          const needed = length + chunk.length
          if (needed > limit) {
            finish({type: "too-large"})
            return
          }
          if (needed > buffer.length) {
            // The buffers that a growing body leaves behind are in memory until the next collection of garbage.
            const expected = announced > 0 ? announced : Math.max(FIRST_CAPACITY, buffer.length * 2)
            const capacity = Math.min(limit, Math.max(needed, expected))
            if (!share.grow(capacity, clock.now())) {
              finish({type: "no-room"})
              return
            }
            const larger = Buffer.allocUnsafeSlow(capacity)
            buffer.copy(larger, 0, 0, length)
            buffer = larger
          }
          chunk.copy(buffer, length)
          length = needed
        }

        function end(): void {
          share.settle()
          const hold = (bytes: number): boolean => {
            const hasRoom = share.grow(bytes, clock.now())
            if (!hasRoom) onRefused("no-room")
            return hasRoom
          }
          finish({type: "read", body: buffer.subarray(0, length), hold, release: share.release})
        }

        function cut(): void {
          finish({type: "cut"})
        }

        request.on("data", take)
        request.once("end", end)
        request.once("close", cut)
        request.on("error", () => undefined)
      }),
  }
}
