/**
 * Refuses requests that this instance and a backend server could interpret differently (request smuggling, path
 * traversal), and requests that use an unsupported method or feature of HTTP.
 */
import {sendProblem} from "./problems.js"
import type {Filter} from "./filter.js"

const METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"])
const MAXIMUM_PATH_LENGTH = 4096

/** True if a backend server could resolve the path to another resource than the routed one. */
function isAmbiguous(path: string): boolean {
  const [pathname = ""] = path.split("?")
  if (/%2e|%2f|%5c|%00|\\/i.test(pathname)) return true
  return pathname.split("/").some(segment => segment === "." || segment === "..") || pathname.includes("//")
}

function hasUnsupportedFraming(headers: NodeJS.Dict<string | string[]>): boolean {
  const coding = headers["transfer-encoding"]
  if (coding === undefined) return false
  return headers["content-length"] !== undefined || String(coding).toLowerCase() !== "chunked"
}

export const validationFilter: Filter = async (exchange, next) => {
  const {outgoing, id, method, path, incoming} = exchange
  const refuse = (status: number, type: string, title: string, detail: string): void => {
    exchange.execution = "not-run"
    sendProblem(outgoing, id, {status, type, title, detail, execution: "not-run"})
  }
  if (!METHODS.has(method)) {
    refuse(501, "method-not-offered", "The method is not supported", `Use one of ${[...METHODS].join(", ")}.`)
    return
  }
  if (path.length > MAXIMUM_PATH_LENGTH || isAmbiguous(path)) {
    refuse(
      400,
      "ambiguous-path",
      "The path is ambiguous or too long",
      "Send a path without dot segments, empty segments or encoded separators.",
    )
    return
  }
  if (
    hasUnsupportedFraming(incoming.headers) ||
    incoming.headers.upgrade !== undefined ||
    incoming.headers.expect !== undefined
  ) {
    refuse(
      400,
      "unsupported-framing",
      "The framing of the request is not supported",
      "Send the body with content-length or chunked encoding, without the headers upgrade and expect.",
    )
    return
  }
  await next()
}
