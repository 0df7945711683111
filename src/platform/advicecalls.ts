/** The advice port: asks the platform which workers may run a step. */
import {err, ok} from "neverthrow"
import {CallFailed} from "../core/errors.js"
import type {AdviceCalls} from "../pipelines/ports.js"
import type {JsonCaller} from "./http.js"
import {asList, asObject, asText} from "./wire.js"

const STATUS_OK = 200

/** Creates the port over the service's address. */
export function adviceCalls(caller: JsonCaller, address: string): AdviceCalls {
  return {
    async ask(step, workers, timeout) {
      const reply = await caller.call("POST", address, "/api/advise", {Step: step, Workers: workers}, timeout)
      if (reply.isErr()) return err(reply.error)
      if (reply.value.status !== STATUS_OK)
        return err(new CallFailed(address, `status ${reply.value.status}`, "not-run"))
      const rows = asList(asObject(reply.value.body).Good).map(asList)
      return ok(rows.map(([worker, ticket]) => ({worker: asText(worker), ticket: asText(ticket)})))
    },
  }
}
