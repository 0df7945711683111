/** The work behind requests to an entry instance whose callers leave, wait or do not read. */
import test from "ava"
import {callAll} from "./callall.js"
import {chunked, complete, gather, manyHeaders} from "./crowd.js"
import {passByApart} from "./apart.js"
import {BODY_LIMIT, MACHINE, TRIAL_BODY_BYTES, TRIAL_CROWD} from "./crowds.js"
import {CALLERS, DOCUMENT, startEntry} from "./entryprocess.js"
import {holdsAgainst} from "./holding.js"

const SERVICE = "/services/crease/check"
const DEMAND = {processors: 1, memoryMebibytes: 100}
const JOB = {team: "schools", workload: "packs", demand: DEMAND}
/** The usual limits on the tasks and the payload of a job. */
const MOST_TASKS = 1000
const LONGEST_PAYLOAD = 4000
/** As many as fit into a body of the longest length. */
const UNKNOWN_MEMBERS = 28_000
const SLOW_WORK_MS = 2000
/** Far more than the kernel keeps for a connection. */
const LONG_ANSWER_BYTES = 16 * 2 ** 20
/** More than the slots of all backend servers. */
const SLOW_READERS = 60

function padded(body: object): string {
  return JSON.stringify(body).padEnd(BODY_LIMIT, " ")
}

test.serial("requests to a service whose callers leave end with them", async t => {
  const entry = await startEntry(MACHINE)
  t.teardown(entry.close)
  t.true(await callAll(entry))
  await passByApart(
    CALLERS,
    {total: 2000, together: 100},
    complete(`${SERVICE}?work=${SLOW_WORK_MS}`, "a", padded({})),
  )
  t.true(await callAll(entry))
  t.log(entry.process.usage())
  t.deepEqual(entry.process.faults(), [])
})

test.serial("jobs whose callers leave while the store is away keep no memory", async t => {
  const entry = await startEntry(MACHINE)
  t.teardown(entry.close)
  t.true(await callAll(entry))
  entry.store.faults.down = true
  await passByApart(
    CALLERS,
    {total: 2000, together: 100},
    complete("/jobs", "a", padded({...JOB, tasks: MOST_TASKS, payload: "p".repeat(LONGEST_PAYLOAD)})),
  )
  t.deepEqual(entry.process.faults(), [], "while the store is away")
  entry.store.faults.down = false
  t.true(await callAll(entry))
  t.log(entry.process.usage())
  t.deepEqual(entry.process.faults(), [])
})

test.serial("very many jobs keep to the memory of an instance", async t => {
  const entry = await startEntry(MACHINE)
  t.teardown(entry.close)
  t.true(await callAll(entry))
  await passByApart(
    CALLERS,
    {total: 1000, together: 50},
    complete("/jobs", "a", JSON.stringify({...JOB, tasks: MOST_TASKS, payload: "p".repeat(LONGEST_PAYLOAD)})),
  )
  t.log(entry.process.usage())
  t.true(await callAll(entry))
  t.log(entry.process.usage())
  t.deepEqual(entry.process.faults(), [])
})

test.serial("jobs with very many unknown members keep to the memory of an instance", async t => {
  const entry = await startEntry(MACHINE)
  t.teardown(entry.close)
  const members = Array.from({length: UNKNOWN_MEMBERS}, (_, index) => `"${index.toString(36)}":0`)
  const crowd = {size: TRIAL_CROWD, script: complete("/jobs", "a", `{${members.join(",")}}`)}
  await holdsAgainst(t, {callers: CALLERS, process: entry.process, call: () => callAll(entry)}, crowd)
})

test.serial("answers that are read one byte at a time keep no slot of a backend server", async t => {
  const entry = await startEntry(MACHINE)
  t.teardown(entry.close)
  t.true(await callAll(entry))
  const path = `${SERVICE}?work=0&size=${LONG_ANSWER_BYTES}`
  const crowd = await gather(CALLERS, SLOW_READERS, manyHeaders(path, "a", 0, 1), {readsSlowly: true})
  t.teardown(crowd.leave)
  t.true(await callAll(entry), "beside the crowd")
  t.log(entry.process.usage())
  crowd.leave()
  t.true(await callAll(entry), "after the crowd")
  t.deepEqual(entry.process.faults(), [])
})

test.serial(
  "a pressed instance follows a change of the configuration, and stops when it is asked to",
  async t => {
    const entry = await startEntry(MACHINE)
    t.teardown(entry.close)
    t.true(await callAll(entry))
    const crowd = await gather(CALLERS, TRIAL_CROWD, chunked("/jobs", "a", TRIAL_BODY_BYTES, 1))
    t.teardown(crowd.leave)
    await entry.configure(DOCUMENT.replace("queue = 30", "queue = 40"), 1)
    t.true(await callAll(entry), "beside the crowd")
    t.deepEqual(entry.process.faults(), [])
    t.is(await entry.process.terminate(), "stopped")
    crowd.leave()
  },
)
