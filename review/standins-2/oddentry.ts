/**
 * Case 8: among the workers' entries stands one of another writer, whose service the configuration does not name. A label
 * in it is long; the value stays under the store's limit of 1,048,576 bytes. Nothing listens at its address.
 */
import {findFreePort} from "./http.js"
import {playIdleCase} from "./idlecase.js"
import {hasTrouble, openRecord} from "./scene.js"

const LABEL_BYTES = 600_000
const ODD_KEY = "servers/i-0dd0dd00"

const record = openRecord()

await playIdleCase(record, async store => {
  if (!hasTrouble()) return
  const port = await findFreePort("127.0.0.1")
  const entry = JSON.stringify({
    Service: "another-systems-service",
    Address: `127.0.0.1:${port}`,
    Zone: "cascadia-b",
    Version: "v1",
    Capacity: 8,
    State: "ready",
    ColdRemainingMs: 0,
    FreeCapacity: {Cpu: 16000, MemMb: 32768, Gpu: 0},
    Labels: ["a", "x".repeat(LABEL_BYTES)],
    ServerTimeMs: 1000,
    Sequence: 1,
    born: Date.now(),
  })
  store.put(ODD_KEY, entry)
  record.write(`entry ${ODD_KEY} of another writer, ${entry.length} bytes`)
})
