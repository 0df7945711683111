/** Which headers pass between callers and backend servers. */
import type {IncomingHttpHeaders} from "node:http"

type Headers = Record<string, string | string[]>

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those that are set anew. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
])

const SET_ANEW_TOWARDS_SERVER: ReadonlySet<string> = new Set([
  "host",
  "content-length",
  "request-id",
  "forwarded",
  "prefer",
])

function listedInConnection(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const header = headers.connection ?? ""
  return new Set(header.split(",").map(name => name.trim().toLowerCase()))
}

function passing(headers: IncomingHttpHeaders, left: ReadonlySet<string>): Headers {
  const listed = listedInConnection(headers)
  const result: Headers = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || left.has(name) || listed.has(name)) continue
    result[name] = value
  }
  return result
}

/** Headers for the backend server, with the request's identity, its caller and the time that is left. */
export function headersForServer(
  headers: IncomingHttpHeaders,
  id: string,
  caller: string,
  secondsLeft: number,
): Headers {
  const result = passing(headers, SET_ANEW_TOWARDS_SERVER)
  result["request-id"] = id
  result.forwarded = caller.includes(":") ? `for="[${caller}]"` : `for=${caller}`
  result.prefer = `wait=${Math.max(0.001, secondsLeft).toFixed(3)}`
  return result
}

/** Headers for the caller. */
export function headersForCaller(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  id: string,
): Headers {
  const result = passing(headers, new Set(["lacewing-execution"]))
  result["request-id"] = id
  return result
}
