/**
 * Error classes that modules return in `Result` values. Errors of calls also say whether the work may have been done.
 */

/** What is known after a failed call: the work was certainly not done, or it may have been done. */
export type Certainty = "not-run" | "unknown"

export abstract class LacewingError extends Error {
  abstract readonly code: string
}

/** The platform's store did not answer, or reported a failure. */
export class StoreUnavailable extends LacewingError {
  readonly code = "store-unavailable"
  /** `unknown` if a write may have taken effect. */
  readonly certainty: Certainty

  constructor(detail: string, certainty: Certainty) {
    super(`The configuration store did not complete the call: ${detail}.`)
    this.certainty = certainty
  }
}

/** A compare-and-swap failed because the key has another version than expected. */
export class VersionConflict extends LacewingError {
  readonly code = "version-conflict"
  readonly key: string
  /** The version that the key has. */
  readonly actual: number

  constructor(key: string, actual: number) {
    super(`The key ${key} is at version ${actual}, which is not the version expected.`)
    this.key = key
    this.actual = actual
  }
}

/** A call to a peer, a worker or a backend server failed. */
export class CallFailed extends LacewingError {
  readonly code = "call-failed"
  readonly certainty: Certainty

  constructor(target: string, detail: string, certainty: Certainty) {
    super(`The call to ${target} failed: ${detail}.`)
    this.certainty = certainty
  }
}

/** This instance holds no valid lease on the group that the operation concerns. */
export class NotHolder extends LacewingError {
  readonly code = "not-holder"

  constructor(group: string) {
    super(`This instance does not hold ${group} at present.`)
  }
}

/** Returns the message of any thrown value. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
