/** Single requests that just keep to the limits are served, on the smallest machine of a deployment. */
import {connect} from "node:net"
import test from "ava"
import type {Milliseconds} from "../../src/core/clock.js"
import {freshKey} from "../support/sockets.js"
import {BODY_LIMIT} from "./crowds.js"
import {CALLERS as DAEMON, ROUTE_HOST, startDaemon} from "./daemonprocess.js"
import {CALLERS as ENTRY, startEntry} from "./entryprocess.js"
import {untilAnswered} from "./ordinary.js"
import type {Machine} from "./watchedprocess.js"

const SMALLEST: Machine = {memoryMebibytes: 210, descriptors: 2212, heapMebibytes: 160}
/** Under the usual limit of 16 KiB, with the other headers. */
const LONG_HEADER = `X-Long: ${"x".repeat(15_800)}\r\n`
const PAUSE_MS: Milliseconds = 700
const PAUSES = 3
const SMALL_BODY_BYTES = 2000

/** What is written, one part after another with a pause between. */
type Parts = readonly Buffer[]

function send(address: string, parts: Parts): Promise<string> {
  const [host = "", port = "0"] = address.split(":")
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host)
    let received = ""
    socket.on("data", chunk => {
      received += chunk.toString()
      if (received.includes("\r\n\r\n")) socket.destroy()
    })
    socket.once("error", reject)
    socket.once("close", () => resolve(received.split("\r\n")[0] ?? ""))
    const writeFrom = (index: number): void => {
      const part = parts[index]
      if (!part || socket.destroyed) return
      socket.write(part)
      setTimeout(() => writeFrom(index + 1), PAUSE_MS)
    }
    writeFrom(0)
  })
}

/** Lengthens a JSON text with spaces. */
function padded(text: string, length: number): string {
  return text.padEnd(length, " ")
}

function requestsOf(path: () => string, headers: () => string, body: string): Record<string, Parts> {
  const head = (lines: string): string => `POST ${path()} HTTP/1.1\r\n${headers()}${lines}\r\n`
  const long = padded(body, BODY_LIMIT)
  const short = padded(body, SMALL_BODY_BYTES)
  const inChunks = (text: string): string =>
    `${Array.from(text, character => `1\r\n${character}\r\n`).join("")}0\r\n\r\n`
  const share = Math.ceil(SMALL_BODY_BYTES / PAUSES)
  const slow = Array.from({length: PAUSES}, (_, index) => short.slice(index * share, (index + 1) * share))
  const announce = (text: string): string => head(`Content-Length: ${text.length}\r\n`)
  const chunkedHead = (): string => head("Transfer-Encoding: chunked\r\n")
  return {
    "a body of the longest length": [Buffer.from(announce(long) + long)],
    "a chunked body of the longest length": [
      Buffer.from(`${chunkedHead()}${long.length.toString(16)}\r\n${long}\r\n0\r\n\r\n`),
    ],
    "a body of the longest length in chunks of one byte": [Buffer.from(chunkedHead() + inChunks(long))],
    "a head of nearly the longest length": [
      Buffer.from(head(`${LONG_HEADER}Content-Length: ${body.length}\r\n`) + body),
    ],
    "a slow body": [announce(short), ...slow].map(part => Buffer.from(part)),
    "a slow head": [announce(short).slice(0, 20), announce(short).slice(20) + short].map(part =>
      Buffer.from(part),
    ),
  }
}

test.serial("the daemon serves single requests inside the limits", async t => {
  const daemon = await startDaemon(SMALLEST)
  t.teardown(daemon.close)
  const headers = {host: ROUTE_HOST}
  await untilAnswered(`http://${DAEMON}/checks/`, {method: "GET", headers}, daemon.process)
  let jobs = 0
  const path = (): string => `/checks/${(++jobs).toString(16).padStart(16, "0")}`
  const body = JSON.stringify({Spec: "s", Pipeline: [{Count: 1, Cpu: 1000, MemMb: 100, EstimateMs: 100}]})
  const requests = requestsOf(path, () => `Host: ${ROUTE_HOST}\r\n`, body)
  for (const [title, parts] of Object.entries(requests))
    t.is(await send(DAEMON, parts), "HTTP/1.1 200 OK", title)
  t.deepEqual(daemon.process.faults(), [])
})

test.serial("an entry instance serves single requests inside the limits", async t => {
  const entry = await startEntry(SMALLEST)
  t.teardown(entry.close)
  const service = "/services/crease/check?work=0"
  await untilAnswered(`http://${ENTRY}${service}`, {method: "GET", headers: {}}, entry.process)
  const demand = {processors: 1, memoryMebibytes: 100}
  const job = JSON.stringify({team: "schools", workload: "packs", tasks: 1, payload: {run: 100}, demand})
  const headers = (): string => `Host: a\r\nIdempotency-Key: "${freshKey()}"\r\n`
  for (const [title, parts] of Object.entries(requestsOf(() => service, headers, job)))
    t.is(await send(ENTRY, parts), "HTTP/1.1 200 OK", `${title} to a service`)
  for (const [title, parts] of Object.entries(requestsOf(() => "/jobs", headers, job)))
    t.is(await send(ENTRY, parts), "HTTP/1.1 202 Accepted", `${title} to the jobs`)
  t.deepEqual(entry.process.faults(), [])
})
