/** The instance list, the workers and the probes of backend servers over their HTTP interfaces. */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import {CallFailed} from "../core/errors.js"
import type {Milliseconds} from "../core/clock.js"
import type {JsonCaller} from "./http.js"
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

async function readBody<T>(
  caller: JsonCaller,
  method: "GET" | "POST",
  address: string,
  path: string,
  body: unknown,
  timeout: Milliseconds,
): Promise<Result<T, CallFailed>> {
  const reply = await caller.call(method, address, path, body, timeout)
  if (reply.isErr()) return err(reply.error)
  if (reply.value.status !== 200)
    return err(new CallFailed(address, `status ${reply.value.status}`, "unknown"))
  return ok(reply.value.body as T)
}

export function httpInstanceList(caller: JsonCaller, address: string): InstanceList {
  return {
    read: () =>
      readBody<readonly ListedInstance[]>(caller, "GET", address, "/instances", undefined, LIST_TIMEOUT_MS),
  }
}

export function httpWorkerGateway(caller: JsonCaller): WorkerGateway {
  return {
    sync: (address, request) =>
      readBody<WorkerReport>(caller, "POST", address, "/sync", request, request.wait + SYNC_TIMEOUT_MS),
  }
}

export function httpBackendProbe(caller: JsonCaller): BackendProbe {
  return {
    health: address =>
      readBody<BackendHealth>(caller, "GET", address, "/.well-known/health", undefined, PROBE_TIMEOUT_MS),
  }
}
