/** Selects the headers that are forwarded between callers and backend servers. */
import type {IncomingHttpHeaders} from "node:http"

type Headers = Record<string, string | string[]>

/** Headers that apply to one connection only (RFC 9110, section 7.6.1), and `Expect`, which is not forwarded. */
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

/** Headers of the caller's request that are set anew on the request to the backend server. */
const REPLACED_FOR_SERVER: ReadonlySet<string> = new Set([
  "host",
  "content-length",
  "request-id",
  "forwarded",
  "prefer",
])

/** Names of the headers that `Connection` declares as hop-by-hop. */
function connectionOptions(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const header = headers.connection ?? ""
  return new Set(header.split(",").map(name => name.trim().toLowerCase()))
}

function endToEndHeaders(headers: IncomingHttpHeaders, excluded: ReadonlySet<string>): Headers {
  const options = connectionOptions(headers)
  const result: Headers = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || excluded.has(name) || options.has(name)) continue
    result[name] = value
  }
  return result
}

/** Headers for the backend server, including the request id, the caller's address and the time left to the deadline. */
export function headersForServer(
  headers: IncomingHttpHeaders,
  id: string,
  caller: string,
  secondsLeft: number,
): Headers {
  const result = endToEndHeaders(headers, REPLACED_FOR_SERVER)
  result["request-id"] = id
  result.forwarded = caller.includes(":") ? `for="[${caller}]"` : `for=${caller}`
  result.prefer = `wait=${Math.max(0.001, secondsLeft).toFixed(3)}`
  return result
}

/** Headers for the caller. The execution header is left out, because the forward filter sets it itself. */
export function headersForCaller(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  id: string,
): Headers {
  const result = endToEndHeaders(headers, new Set(["lacewing-execution"]))
  result["request-id"] = id
  return result
}
