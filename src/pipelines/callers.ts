/**
 * Who calls: the workspace that a key belongs to, whether a call on a queue is served, and which callers may see a job.
 * Any caller may put load on these decisions with keys of its own, so each takes one digest and no call to the store.
 */
import {createHmac, randomBytes} from "node:crypto"
import type {Milliseconds} from "../core/clock.js"
import type {PipelineJob, Queue, Workspace} from "./model.js"

/** A caller whose key, if it has any, has been checked. */
export interface Caller {
  /** Undefined for a caller without a known key. */
  readonly workspace: string | undefined
}

export const ANONYMOUS: Caller = {workspace: undefined}

export interface KeyTable {
  /** The name of the workspace to which the key belongs; undefined for a key that no workspace has. */
  readonly workspaceOf: (key: string) => string | undefined
}

const SECRET_BYTES = 32

/**
 * Creates the table of one configuration. Keys are looked up by a digest with a secret of its own, so that the time of a
 * look-up tells a caller nothing about the keys. Of several workspaces with the same key, the first one has it.
 */
export function createKeyTable(workspaces: readonly Workspace[]): KeyTable {
  const secret = randomBytes(SECRET_BYTES)
  const digest = (key: string): string => createHmac("sha256", secret).update(key).digest("base64")
  const names = new Map<string, string>()
  for (const {name, keys} of workspaces) {
    for (const key of keys) {
      const digested = digest(key)
      if (key !== "" && !names.has(digested)) names.set(digested, name)
    }
  }
  return {workspaceOf: key => names.get(digest(key))}
}

/** For how long an instance may rely on the last confirmation that its configuration is the newest. */
export interface ConfirmationLimits {
  /** For serving a call with a key, which may have been withdrawn since. */
  readonly serving: Milliseconds
  /** For denying a call with an unknown key, which may have been added since. */
  readonly denying: Milliseconds
}

/** The rest is for clocks of instances that run at different rates. */
const SERVING_SHARE = 0.9
/** Within 3 s, an accepted configuration is to be in force everywhere. */
const DENYING_LIMIT_MS: Milliseconds = 2500

/** `withdrawalLimit` is 0 where a withdrawn key may be served while the instance cannot know of the withdrawal. */
export function confirmationLimits(withdrawalLimit: Milliseconds): ConfirmationLimits {
  return {
    serving: withdrawalLimit > 0 ? withdrawalLimit * SERVING_SHARE : Infinity,
    denying: DENYING_LIMIT_MS,
  }
}

export type Authorization =
  | {readonly type: "allowed"; readonly caller: Caller}
  | {readonly type: "refused"; readonly reason: "unknown-key" | "unconfirmed"}

/**
 * Decides whether a call is served by the workspace of its key, which is undefined if the key is unknown or missing.
 * `age` is the time since the configuration was last known to be the newest. A queue that is public serves every call.
 */
export function authorize(
  queue: Pick<Queue, "isPublic">,
  workspace: string | undefined,
  age: Milliseconds,
  limits: ConfirmationLimits,
): Authorization {
  const isConfirmed = age <= limits.serving
  if (queue.isPublic !== false)
    return {type: "allowed", caller: {workspace: isConfirmed ? workspace : undefined}}
  if (workspace === undefined)
    return {type: "refused", reason: age <= limits.denying ? "unknown-key" : "unconfirmed"}
  return isConfirmed ? {type: "allowed", caller: {workspace}} : {type: "refused", reason: "unconfirmed"}
}

/** The workspace whose callers alone may see the job; undefined for a job that every caller may see. */
export function ownerOf({queue, workspace}: Pick<PipelineJob, "queue" | "workspace">): string | undefined {
  return queue.isPublic === false ? workspace : undefined
}

/** True if a submission comes from another workspace than the owner of the job that has its identity already. */
export function isForeign(owner: string | undefined, {workspace}: Pick<PipelineJob, "workspace">): boolean {
  return owner !== undefined && workspace !== undefined && owner !== workspace
}

export function maySee(owner: string | undefined, caller: Caller): boolean {
  return owner === undefined || owner === caller.workspace
}
