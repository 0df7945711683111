/**
 * Whether this leader still led, by what the store has answered. A leader that is cut off from the store may go on for a
 * while, and then another one may lead without its knowledge. What only the leader can cause, such as a longer lease, is
 * therefore certain only up to the latest confirmation.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import type {KeyValueStore} from "../pipelines/ports.js"
import {LEADER_KEY} from "./records.js"

export interface Confirmation {
  /** When the latest call was sent whose answer proves that this instance still led. */
  readonly confirmedAt: () => Milliseconds
  /** Records that a call sent at the given time was answered by the store with this instance as the leader. */
  readonly record: (sentAt: Milliseconds) => void
  /** Reads the leader key, unless a read is under way. */
  readonly request: () => void
}

export interface ConfirmationPorts {
  readonly clock: Clock
  readonly store: KeyValueStore
  readonly term: number
  /** When the call was sent that made this instance the leader. */
  readonly confirmedAt: Milliseconds
  /** The latest confirmation by a commit. */
  readonly committedAt: () => Milliseconds
  readonly isClosed: () => boolean
  readonly onConfirmed: () => void
  readonly onSuperseded: () => void
}

export function createConfirmation(ports: ConfirmationPorts): Confirmation {
  const {clock, store, term, isClosed, onConfirmed, onSuperseded} = ports
  let {confirmedAt} = ports
  let isReading = false

  function record(sentAt: Milliseconds): void {
    confirmedAt = Math.max(confirmedAt, sentAt)
  }

  async function readLeaderKey(): Promise<void> {
    isReading = true
    const sentAt = clock.now()
    const read = await store.read(LEADER_KEY)
    isReading = false
    if (read.isErr() || isClosed()) return
    if (read.value?.revision !== term) {
      onSuperseded()
      return
    }
    record(sentAt)
    onConfirmed()
  }

  return {
    confirmedAt: () => Math.max(confirmedAt, ports.committedAt()),
    record,
    request() {
      if (!isReading) void readLeaderKey()
    },
  }
}
