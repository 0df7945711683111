/** HTTP clients for the platform's instance list, the workers and the health checks of backend servers. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {CallFailed} from "../core/errors.js"
import type {Milliseconds} from "../core/clock.js"
import type {JsonClient} from "./http.js"
import type {
  BackendHealth,
  BackendProbe,
  InstanceList,
  ListedInstance,
  WorkerGateway,
  WorkerReport,
} from "./ports.js"

const LIST_TIMEOUT_MS: Milliseconds = 1500
const PROBE_TIMEOUT_MS: Milliseconds = 1000
const SYNC_TIMEOUT_MS: Milliseconds = 1500

/** Calls the address and returns the body of the reply. Any status but 200 is an error. */
async function callForBody<T>(
  client: JsonClient,
  method: "GET" | "POST",
  address: string,
  path: string,
  body: unknown,
  timeout: Milliseconds,
): Promise<Result<T, CallFailed>> {
  const reply = await client.call(method, address, path, body, timeout)
  if (reply.isErr()) return err(reply.error)
  if (reply.value.status !== 200)
    return err(new CallFailed(address, `status ${reply.value.status}`, "unknown"))
  return ok(reply.value.body as T)
}

export function httpInstanceList(client: JsonClient, address: string): InstanceList {
  return {
    read: () =>
      callForBody<readonly ListedInstance[]>(
        client,
        "GET",
        address,
        "/instances",
        undefined,
        LIST_TIMEOUT_MS,
      ),
  }
}

export function httpWorkerGateway(client: JsonClient): WorkerGateway {
  return {
    sync: (address, request) =>
      callForBody<WorkerReport>(client, "POST", address, "/sync", request, request.wait + SYNC_TIMEOUT_MS),
  }
}

export function httpBackendProbe(client: JsonClient): BackendProbe {
  return {
    health: address =>
      callForBody<BackendHealth>(client, "GET", address, "/.well-known/health", undefined, PROBE_TIMEOUT_MS),
  }
}
