/** An entry instance that serves callers by TLS, pressed by clients that keep to no limit. */
import test from "ava"
import {callAll} from "./callall.js"
import {SILENCE} from "./crowd.js"
import {crowdCases, MACHINE} from "./crowds.js"
import type {CrowdCase} from "./crowds.js"
import {CALLERS, startEntry} from "./entryprocess.js"
import {holdsAgainst} from "./holding.js"

const CASES: readonly CrowdCase[] = [
  {title: "connections without a handshake", size: 700, script: SILENCE},
  {title: "connections without a request", size: 700, script: SILENCE, manner: {tls: true}},
  ...crowdCases({host: "a", withBody: "/services/crease/check?work=0", plain: "/status"}).map(one => ({
    ...one,
    manner: {...one.manner, tls: true},
  })),
]

/** Listed in KNOWN-RED.txt, where CI passes over them. */
const KNOWN_RED: ReadonlySet<string> = new Set([
  "requests sent ahead, their answers unread",
  "requests sent ahead without a host, their answers unread",
  "bodies in large chunks that stop short of their end",
])

for (const crowd of CASES) {
  const run = KNOWN_RED.has(crowd.title) && process.env.CI === "true" ? test.serial.skip : test.serial
  run(`the interface by TLS holds against ${crowd.title}`, async t => {
    const entry = await startEntry(MACHINE, true)
    t.teardown(entry.close)
    await holdsAgainst(t, {callers: CALLERS, process: entry.process, call: () => callAll(entry)}, crowd)
  })
}
