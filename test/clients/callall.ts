/** An ordinary caller of an entry instance: it sends a request to a service, hands in a job and asks for its state. */
import {freshKey} from "../support/sockets.js"
import type {Entry} from "./entryprocess.js"
import {untilAnswered} from "./ordinary.js"

/** Resolves to whether the answers are those to the caller's own requests. */
export async function callAll({process, url}: Entry): Promise<boolean> {
  const plain = {method: "GET", headers: {}} as const
  await untilAnswered(`${url}/services/crease/check?work=0`, plain, process)
  const headers = {"idempotency-key": freshKey(), "content-type": "application/json"}
  const demand = {processors: 1, memoryMebibytes: 100}
  const body = JSON.stringify({team: "schools", workload: "packs", tasks: 1, payload: {run: 100}, demand})
  const accepted = await untilAnswered(`${url}/jobs`, {method: "POST", headers, body}, process)
  const {job} = JSON.parse(accepted) as {readonly job?: string}
  const answer = await untilAnswered(`${url}/jobs/${job}`, plain, process)
  return (JSON.parse(answer) as {readonly job?: string}).job === job
}
