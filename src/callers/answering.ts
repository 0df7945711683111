/**
 * Ends the answer to a request whose body may still be on its way. Closing a connection with bytes that were not read
 * resets it, and the client could lose the answer, so what arrives is dropped for a moment before the connection is closed.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Milliseconds} from "../core/clock.js"

const LINGER_MS: Milliseconds = 500
const LINGER_BYTES = 262_144
/** What a piece costs beside its bytes, so that little is read of a body in very small chunks. */
const PIECE_BYTES = 256

/** The rest of a body up to this length is dropped after an answer, so that the connection can be kept. */
const LONGEST_DROPPED_BODY = 262_144

/** Whether nothing of the request is to come, or so little that the connection can be kept. */
export function canKeepConnection({complete, headers}: IncomingMessage): boolean {
  if (complete) return true
  return (
    headers["transfer-encoding"] === undefined &&
    Number(headers["content-length"] ?? 0) <= LONGEST_DROPPED_BODY
  )
}

/** Writes the content, which is the whole body of the answer. Its head has been written with `Connection: close`. */
export function endAndClose(request: IncomingMessage, response: ServerResponse, content: string): void {
  response.write(content)
  let dropped = 0
  const end = (): void => {
    clearTimeout(timer)
    request.off("data", drop)
    response.end()
  }
  const drop = (chunk: Buffer): void => {
    dropped += chunk.length + PIECE_BYTES
    if (dropped > LINGER_BYTES) end()
  }
  const timer = setTimeout(end, LINGER_MS)
  request.on("data", drop)
  request.once("end", end)
  request.once("close", end)
}
