/** The thread of a crowd that is gathered apart: it does what the messages of the test ask for, one after another. */
import {parentPort} from "node:worker_threads"
import {gather, passBy} from "./crowd.js"
import type {Crowd, Manner, Script} from "./crowd.js"

export type CrowdCall =
  | {
      readonly type: "gather"
      readonly address: string
      readonly size: number
      readonly script: Script
      readonly manner: Manner
    }
  | {
      readonly type: "pass-by"
      readonly address: string
      readonly total: number
      readonly together: number
      readonly script: Script
    }
  | {readonly type: "settle" | "leave"}

/** Buffers arrive as plain arrays of bytes. */
function withBuffer(script: Script): Script {
  return {...script, part: Buffer.from(script.part)}
}

let crowd: Crowd | undefined

async function carryOut(call: CrowdCall): Promise<void> {
  switch (call.type) {
    case "gather":
      crowd = await gather(call.address, call.size, withBuffer(call.script), call.manner)
      return
    case "pass-by":
      await passBy(call.address, call, withBuffer(call.script))
      return
    case "settle":
      await crowd?.settled()
      return
    case "leave":
      crowd?.leave()
  }
}

parentPort?.on("message", (call: CrowdCall) => {
  void carryOut(call).then(() => parentPort?.postMessage("done"))
})
