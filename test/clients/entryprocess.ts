/** Starts an entry instance as a process, alone in its environment, against stand-ins of the platform. */
import {randomUUID} from "node:crypto"
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {systemClock} from "../../src/core/clock.js"
import {instanceListCore, serveInstanceList} from "../../standins/instancelistserver.js"
import {serveStore} from "../../standins/storeserver.js"
import type {StoreServer} from "../../standins/storeserver.js"
import {entryLine, OPERATOR_KEY, startPools} from "../../standins/trial.js"
import {truthRecord} from "../../standins/truth.js"
import {SMALL_DEPLOYMENT} from "../support/sockets.js"
import {BODY_LIMIT} from "./crowds.js"
import {untilAnswered} from "./ordinary.js"
import {startWatched} from "./watchedprocess.js"
import type {Machine, WatchedProcess} from "./watchedprocess.js"

const folder = mkdtempSync(join(tmpdir(), "lacewingstream-clients-"))
/** A loopback address that no other process uses, so that the fixed ports are free. */
const HOST = `127.80.${(process.pid >> 8) & 255}.${process.pid & 255 || 1}`
export const CALLERS = `${HOST}:7101`
const PEERS = `${HOST}:7102`
const CERTIFICATES = join("test", "support", "certificates")
const TLS = `tls = on\ncertificate = ${join(CERTIFICATES, "instance.pem")}\nkey = ${join(CERTIFICATES, "instance.key")}`
export const DOCUMENT = `[environment]
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

export interface Entry {
  readonly process: WatchedProcess
  /** Where callers send their requests. */
  readonly url: string
  readonly store: StoreServer
  /** Proposes a configuration on the basis of the given one; resolves once it is accepted. */
  readonly configure: (text: string, baseNumber: number) => Promise<void>
  readonly close: () => Promise<void>
}

/** Starts an instance that is alone in its environment, with a few workers. */
export async function startEntry(machine: Machine, tls = false): Promise<Entry> {
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
      ...(tls ? [TLS] : []),
      `[peers]\naddress = ${PEERS}`,
      `[platform]\nstore = ${store.address}\ninstance_list = ${listServer.address}`,
      `[operators]\nkey = ${OPERATOR_KEY}`,
      `[limits]\nmemory = ${machine.memoryMebibytes}\ndescriptors = ${machine.descriptors}`,
      "",
    ].join("\n"),
  )
  const watched = startWatched(machine, ["build/src/cli/main.js", "entry", "--settings", settings])
  const url = `${tls ? "https" : "http"}://${CALLERS}`
  async function configure(text: string, baseNumber: number): Promise<void> {
    const proposal = {text, baseNumber, operator: "test", proposal: randomUUID()}
    const headers = {authorization: `Bearer ${OPERATOR_KEY}`, "content-type": "application/json"}
    await untilAnswered(
      `${url}/documents`,
      {method: "POST", headers, body: JSON.stringify(proposal)},
      watched,
    )
  }

  await configure(DOCUMENT, 0)
  return {
    process: watched,
    url,
    store,
    configure,
    async close() {
      await watched.stop()
      await Promise.all([...hosts.workers.values()].map(worker => worker.close()))
      await Promise.all([...hosts.backends.values()].map(backend => backend.close()))
      await listServer.close()
      await store.close()
    },
  }
}
