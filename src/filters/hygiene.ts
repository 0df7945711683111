/** Refuses requests that servers could read in more than one way, and those that ask for what is not offered. */
import {sendProblem} from "./answers.js"
import type {Filter} from "./filter.js"

const METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"])
const LARGEST_PATH = 4096

/** A path that a backend server could resolve to something else than what was routed. */
function isAmbiguous(path: string): boolean {
  const [plain = ""] = path.split("?")
  if (/%2e|%2f|%5c|%00|\\/i.test(plain)) return true
  return plain.split("/").some(part => part === "." || part === "..") || plain.includes("//")
}

function wrongFraming(headers: NodeJS.Dict<string | string[]>): boolean {
  const coding = headers["transfer-encoding"]
  if (coding === undefined) return false
  return headers["content-length"] !== undefined || String(coding).toLowerCase() !== "chunked"
}

export const hygieneFilter: Filter = async (exchange, next) => {
  const {outgoing, id, method, path, incoming} = exchange
  const refuse = (status: number, type: string, title: string, detail: string): void => {
    exchange.execution = "not-run"
    sendProblem(outgoing, id, {status, type, title, detail, execution: "not-run"})
  }
  if (!METHODS.has(method)) {
    refuse(501, "method-not-offered", "The method is not offered", `Use one of ${[...METHODS].join(", ")}.`)
    return
  }
  if (path.length > LARGEST_PATH || isAmbiguous(path)) {
    refuse(
      400,
      "ambiguous-path",
      "The path is not plain",
      "Send a path without dot segments, empty segments or encoded separators.",
    )
    return
  }
  if (
    wrongFraming(incoming.headers) ||
    incoming.headers.upgrade !== undefined ||
    incoming.headers.expect !== undefined
  ) {
    refuse(
      400,
      "unsupported-framing",
      "The request's framing is not taken",
      "Send a body by content-length or chunked, without upgrade or expect.",
    )
    return
  }
  await next()
}
