/**
 * Crowds in threads of their own, so that the fakes of the platform, which the test's thread serves, answer as promptly
 * as without them.
 */
import {once} from "node:events"
import {Worker} from "node:worker_threads"
import type {Manner, Script} from "./crowd.js"
import type {CrowdCall} from "./crowdthread.js"

export interface CrowdApart {
  readonly settled: () => Promise<void>
  readonly leave: () => Promise<void>
}

interface CrowdThread {
  readonly call: (call: CrowdCall) => Promise<void>
  readonly end: () => Promise<void>
}

function startThread(): CrowdThread {
  const worker = new Worker(new URL("crowdthread.js", import.meta.url))
  return {
    async call(call) {
      worker.postMessage(call)
      await once(worker, "message")
    },
    async end() {
      await worker.terminate()
    },
  }
}

/** Gathers a crowd that stays until it is told to leave. */
export async function gatherApart(
  address: string,
  size: number,
  script: Script,
  manner: Manner = {},
): Promise<CrowdApart> {
  const thread = startThread()
  await thread.call({type: "gather", address, size, script, manner})
  let left: Promise<void> | undefined
  return {
    settled: () => thread.call({type: "settle"}),
    leave() {
      left ??= thread.call({type: "leave"}).then(thread.end)
      return left
    },
  }
}

/** Lets clients come and leave at once; resolves when the last one has left. */
export async function passByApart(
  address: string,
  counts: {readonly total: number; readonly together: number},
  script: Script,
): Promise<void> {
  const thread = startThread()
  await thread.call({type: "pass-by", address, ...counts, script})
  await thread.end()
}
