/** Jobs that a leader has accepted and cannot run yet keep to its memory, whatever their descriptions have in them. */
import test from "ava"
import {request} from "undici"
import {BODY_LIMIT} from "./crowds.js"
import {ROUTE_HOST, startFleet} from "./fleetprocesses.js"
import type {FleetProcess} from "./fleetprocesses.js"
import {handInAndAsk} from "./handin.js"
import type {Machine} from "./watchedprocess.js"

const MACHINE: Machine = {memoryMebibytes: 210, descriptors: 2212, heapMebibytes: 160}
const JOBS = 800
const TOGETHER = 8
/** More than the worker has, so that nothing of the job starts. */
const STEP = {Count: 1, Cpu: 9000, MemMb: 100}
/** What the rest of a body takes. */
const REST_BYTES = 1000

const KINDS = {
  "long lists of earlier steps": [
    STEP,
    {...STEP, After: Array.from({length: (BODY_LIMIT - REST_BYTES) / 2}, () => 0)},
  ],
  "long names of images": [{...STEP, Image: "i".repeat(BODY_LIMIT - REST_BYTES)}],
  "long labels": [{...STEP, RequiredLabel: "l".repeat(BODY_LIMIT - REST_BYTES)}],
  "long names of racks": [{...STEP, Affinity: "r".repeat(BODY_LIMIT - REST_BYTES)}],
}

/** Hands in jobs under names of their own, a few at a time, whatever the answers are. */
async function handInMany({callers, process}: FleetProcess, body: string): Promise<void> {
  let jobs = 0
  const caller = async (): Promise<void> => {
    while (jobs < JOBS && process.end() === undefined) {
      jobs += 1
      const url = `http://${callers}/checks/${jobs.toString(16).padStart(16, "a")}`
      const headers = {host: ROUTE_HOST, "content-type": "application/json"}
      const reply = await request(url, {method: "POST", headers, body}).catch(() => undefined)
      await reply?.body.dump()
    }
  }
  await Promise.all(Array.from({length: TOGETHER}, caller))
}

for (const [title, steps] of Object.entries(KINDS)) {
  test.serial(`accepted jobs with ${title} keep to the memory of the leader`, async t => {
    const fleet = await startFleet([MACHINE])
    t.teardown(fleet.close)
    const {leader} = await fleet.untilLed()
    t.true(await handInAndAsk(leader))
    await handInMany(leader, JSON.stringify({Spec: "s", Pipeline: steps}))
    t.log(leader.process.usage())
    t.deepEqual(leader.process.faults(), [])
  })
}
