/**
 * A task with a mailbox: messages are handled one at a time, in order. A task owns its state; others reach it
 * only by sending messages, so its handlers never interleave.
 */

export interface Mailbox<Message> {
  /** Queues a message for the task. */
  readonly send: (message: Message) => void
  /** Number of messages that wait, the one in hand excluded. */
  readonly depth: () => number
  /** Stops the task: messages still queued are dropped. */
  readonly close: () => void
}

/** Starts a task that handles messages one after another. A failing handler is reported and the task goes on. */
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
