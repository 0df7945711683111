/** An entry instance as a process, pressed by clients that keep to no limit. */
import test from "ava"
import {freshKey} from "../support/sockets.js"
import {gather} from "./crowd.js"
import {crowdCases, MACHINE} from "./crowds.js"
import {CALLERS, startEntry} from "./entryprocess.js"
import type {Entry} from "./entryprocess.js"
import {untilAnswered} from "./ordinary.js"

/** Sends a request to a service, hands in a job and asks for its state, as an ordinary caller does. */
async function callAll({process}: Entry): Promise<boolean> {
  const plain = {method: "GET", headers: {}} as const
  await untilAnswered(`http://${CALLERS}/services/crease/check?work=0`, plain, process)
  const headers = {"idempotency-key": freshKey(), "content-type": "application/json"}
  const demand = {processors: 1, memoryMebibytes: 100}
  const body = JSON.stringify({team: "schools", workload: "packs", tasks: 1, payload: {run: 100}, demand})
  const accepted = await untilAnswered(`http://${CALLERS}/jobs`, {method: "POST", headers, body}, process)
  const {job} = JSON.parse(accepted) as {readonly job?: string}
  const answer = await untilAnswered(`http://${CALLERS}/jobs/${job}`, plain, process)
  return (JSON.parse(answer) as {readonly job?: string}).job === job
}

const FRONTENDS = [
  {name: "services", paths: {host: "a", withBody: "/services/crease/check?work=0", plain: "/status"}},
  {name: "jobs", paths: {host: "a", withBody: "/jobs", plain: "/services/crease/check?work=0"}},
]

for (const {name, paths} of FRONTENDS) {
  for (const {title, size, script} of crowdCases(paths)) {
    test.serial(`the interface to ${name} holds against ${title}`, async t => {
      const entry = await startEntry(MACHINE)
      t.teardown(entry.close)
      t.true(await callAll(entry))
      const crowd = await gather(CALLERS, size, script)
      t.teardown(crowd.leave)
      await crowd.settled()
      t.log(entry.process.usage())
      t.deepEqual(entry.process.faults(), [], "while the crowd is connected")
      t.true(await callAll(entry), "beside the crowd")
      crowd.leave()
      t.true(await callAll(entry), "after the crowd")
      t.deepEqual(entry.process.faults(), [])
    })
  }
}
