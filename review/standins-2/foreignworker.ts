/**
 * Case 6: a worker of another system, whose service the configuration does not name, has its entry among the workers. It
 * has seen higher fencing tokens than those of this system, so it refuses all calls with 409.
 */
import {playIdleCase} from "./idlecase.js"
import {hasTrouble, openRecord} from "./scene.js"
import {startWorker} from "./worker.js"

const FOREIGN_ID = process.env.FOREIGN_ID ?? "i-0dd0dd00"
const FOREIGN_TOKEN = 1_000_000

const record = openRecord()

await playIdleCase(record, async (store, note) => {
  if (!hasTrouble()) return
  await startWorker({
    id: FOREIGN_ID,
    host: "127.0.0.1",
    service: "another-systems-service",
    zone: "cascadia-b",
    rack: "r9-1",
    processors: 16,
    memoryMb: 32_768,
    seenToken: FOREIGN_TOKEN,
    durationOf: Number,
    onEvent: note,
    register: (id, entry) => {
      store.put(`servers/${id}`, JSON.stringify(entry))
      record.write(`entry servers/${id} of another writer: ${JSON.stringify(entry)}`)
    },
  })
})
