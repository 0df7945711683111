/**
 * A message queue with one handler, as in the actor model: messages are handled one at a time, in order, so that runs of
 * the handler never interleave. State that only the handler uses needs no other protection.
 */

export interface Mailbox<Message> {
  /** Adds a message to the queue. Has no effect after `close`. */
  readonly send: (message: Message) => void
  /** Number of queued messages, without the one that is being handled. */
  readonly depth: () => number
  /** Stops the mailbox and drops the queued messages. A handler that runs is not interrupted. */
  readonly close: () => void
}

/** Creates a mailbox. An error of the handler is passed to `onFailure`, and the next message is handled. */
export function mailbox<Message>(
  handle: (message: Message) => Promise<void> | void,
  onFailure: (error: unknown, message: Message) => void,
): Mailbox<Message> {
  const queue: Message[] = []
  let running = false
  let closed = false

  async function drain(): Promise<void> {
    running = true
    for (let message = queue.shift(); message !== undefined && !closed; message = queue.shift()) {
      try {
        await handle(message)
      } catch (error) {
        onFailure(error, message)
      }
    }
    running = false
  }

  return {
    send(message) {
      if (closed) return
      queue.push(message)
      if (!running) void drain()
    },
    depth: () => queue.length,
    close() {
      closed = true
      queue.length = 0
    },
  }
}
