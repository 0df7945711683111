/** The daemon as a process, pressed by clients that keep to no limit. */
import test from "ava"
import {gather} from "./crowd.js"
import {crowdCases, MACHINE} from "./crowds.js"
import {CALLERS, ROUTE_HOST, startDaemon} from "./daemonprocess.js"
import type {Daemon} from "./daemonprocess.js"
import {untilAnswered} from "./ordinary.js"

let jobs = 0

/** Hands in a job and asks for its state, as an ordinary caller does. */
async function handInAndAsk({process}: Daemon): Promise<boolean> {
  jobs += 1
  const id = jobs.toString(16).padStart(16, "0")
  const url = `http://${CALLERS}/checks/${id}`
  const headers = {host: ROUTE_HOST, "content-type": "application/json"}
  const body = JSON.stringify({Spec: "s", Pipeline: [{Count: 1, Cpu: 1000, MemMb: 100, EstimateMs: 100}]})
  await untilAnswered(url, {method: "POST", headers, body}, process)
  const answer = await untilAnswered(url, {method: "GET", headers}, process)
  const {State: state} = JSON.parse(answer) as {readonly State?: unknown}
  return STATES.has(state)
}

const STATES: ReadonlySet<unknown> = new Set(["queued", "running", "completed"])

for (const {title, size, script} of crowdCases({
  host: ROUTE_HOST,
  withBody: "/checks/ffffffffffffffff",
  plain: "/checks/",
})) {
  test.serial(`the daemon holds against ${title}`, async t => {
    const daemon = await startDaemon(MACHINE)
    t.teardown(daemon.close)
    t.true(await handInAndAsk(daemon))
    const crowd = await gather(CALLERS, size, script)
    t.teardown(crowd.leave)
    await crowd.settled()
    t.log(daemon.process.usage())
    t.deepEqual(daemon.process.faults(), [], "while the crowd is connected")
    t.true(await handInAndAsk(daemon), "beside the crowd")
    crowd.leave()
    t.true(await handInAndAsk(daemon), "after the crowd")
    t.deepEqual(daemon.process.faults(), [])
  })
}
