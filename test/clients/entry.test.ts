/** An entry instance as a process, pressed by clients that keep to no limit. */
import {randomUUID} from "node:crypto"
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import test from "ava"
import {systemClock} from "../../src/core/clock.js"
import {instanceListCore, serveInstanceList} from "../../standins/instancelistserver.js"
import {serveStore} from "../../standins/storeserver.js"
import {entryLine, OPERATOR_KEY, startPools} from "../../standins/trial.js"
import {truthRecord} from "../../standins/truth.js"
import {freshKey, SMALL_DEPLOYMENT} from "../support/sockets.js"
import {gather} from "./crowd.js"
import {BODY_LIMIT, crowdCases, MACHINE} from "./crowds.js"
import {untilAnswered} from "./ordinary.js"
import {startWatched} from "./watchedprocess.js"
import type {WatchedProcess} from "./watchedprocess.js"

const folder = mkdtempSync(join(tmpdir(), "lacewingstream-clients-"))
/** A loopback address that no other process uses, so that the fixed ports are free. */
const HOST = `127.80.${(process.pid >> 8) & 255}.${process.pid & 255 || 1}`
const CALLERS = `${HOST}:7101`
const PEERS = `${HOST}:7102`
const DOCUMENT = `[environment]
name = clients
job_groups = 16
data_centres = cascadia-a, cascadia-b, cascadia-c
[limits]
maximum_body_bytes = ${BODY_LIMIT}
[service.crease]
pool = crease
queue = 30
deadline = 3s
[team.schools]
open_requests = 4
[workload.packs]
kind = batch
pool = crease
`

interface Entry {
  readonly process: WatchedProcess
  readonly close: () => Promise<void>
}

/** Starts an instance that is alone in its environment, with a few workers. */
async function startEntry(): Promise<Entry> {
  const clock = systemClock()
  const store = await serveStore(clock)
  const list = instanceListCore(clock, 0)
  const listServer = await serveInstanceList(list)
  const hosts = await startPools(SMALL_DEPLOYMENT, clock, truthRecord())
  for (const line of hosts.listed) list.put(line)
  list.put(entryLine("entry-1", SMALL_DEPLOYMENT.dataCentres[0] ?? "", PEERS))
  list.settle()
  const settings = join(mkdtempSync(join(folder, "run-")), "settings.ini")
  writeFileSync(
    settings,
    [
      `[instance]\nname = entry-1\ndata_centre = ${SMALL_DEPLOYMENT.dataCentres[0]}`,
      `[callers]\naddress = ${CALLERS}`,
      `[peers]\naddress = ${PEERS}`,
      `[platform]\nstore = ${store.address}\ninstance_list = ${listServer.address}`,
      `[operators]\nkey = ${OPERATOR_KEY}`,
      `[limits]\nmemory = ${MACHINE.memoryMebibytes}\ndescriptors = ${MACHINE.descriptors}`,
      "",
    ].join("\n"),
  )
  const watched = startWatched(MACHINE, ["build/src/cli/main.js", "entry", "--settings", settings])
  const entry: Entry = {
    process: watched,
    async close() {
      await watched.stop()
      await Promise.all([...hosts.workers.values()].map(worker => worker.close()))
      await Promise.all([...hosts.backends.values()].map(backend => backend.close()))
      await listServer.close()
      await store.close()
    },
  }
  const proposal = {text: DOCUMENT, baseNumber: 0, operator: "test", proposal: randomUUID()}
  const headers = {authorization: `Bearer ${OPERATOR_KEY}`, "content-type": "application/json"}
  await untilAnswered(
    `http://${CALLERS}/documents`,
    {method: "POST", headers, body: JSON.stringify(proposal)},
    watched,
  )
  return entry
}

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
      const entry = await startEntry()
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
