/** Implements `AdviceCalls` over HTTP: asks the platform which of some workers may run a step of a job. */
import {err, ok} from "neverthrow"
import {CallFailed} from "../core/errors.js"
import type {AdviceCalls} from "../pipelines/ports.js"
import type {JsonClient} from "./http.js"
import {asArray, asObject, asString} from "./wire.js"

const STATUS_OK = 200

/** Creates a client for the advice service at the given address. */
export function adviceCalls(client: JsonClient, address: string): AdviceCalls {
  return {
    async ask(step, workers, timeout) {
      const reply = await client.call("POST", address, "/api/advise", {Step: step, Workers: workers}, timeout)
      if (reply.isErr()) return err(reply.error)
      if (reply.value.status !== STATUS_OK)
        return err(new CallFailed(address, `status ${reply.value.status}`, "not-run"))
      const rows = asArray(asObject(reply.value.body).Good).map(asArray)
      return ok(rows.map(([worker, ticket]) => ({worker: asString(worker), ticket: asString(ticket)})))
    },
  }
}
