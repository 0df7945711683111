/** An ordinary caller: it sends one request at a time, and comes back when it was refused or cut off. */
import {Agent, request} from "undici"
import type {Milliseconds} from "../../src/core/clock.js"
import type {WatchedProcess} from "./watchedprocess.js"

/** Far more than any restart or eviction takes, so that only a process that hangs or is gone exceeds it. */
const ATTEMPTS = 100
const RETRY_MS: Milliseconds = 1000
const ANSWER_LIMIT_MS: Milliseconds = 30_000
const FIRST_ERROR_STATUS = 400
/** The addresses of the processes are not those of the certificate. */
const SECURE = new Agent({connect: {rejectUnauthorized: false}})

export interface OrdinaryRequest {
  readonly method: "GET" | "POST"
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
}

/** Repeats the request until it is answered with success. Resolves with the answer's body. */
export async function untilAnswered(
  url: string,
  options: OrdinaryRequest,
  process: WatchedProcess,
): Promise<string> {
  let last = ""
  for (let attempt = 0; attempt < ATTEMPTS && process.end() === undefined; attempt += 1) {
    try {
      const reply = await request(url, {
        ...options,
        ...(url.startsWith("https:") ? {dispatcher: SECURE} : {}),
        headersTimeout: ANSWER_LIMIT_MS,
        bodyTimeout: ANSWER_LIMIT_MS,
      })
      const text = await reply.body.text()
      if (reply.statusCode < FIRST_ERROR_STATUS) return text
      last = `${reply.statusCode} ${text}`
    } catch (error) {
      last = String(error)
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_MS))
  }
  throw new Error(`The request was not answered: ${last} ${process.end() ?? ""}`)
}
