/**
 * The clock interface. Pure decision functions receive instants as arguments; controllers take a `Clock`, so that the
 * same controller runs on the monotonic clock of the process in a daemon and on a virtual clock in a test.
 */

/** An instant or a span in milliseconds. Instants are monotonic and comparable within one process only. */
export type Milliseconds = number

/** Cancels a scheduled callback. Calling it again has no effect. */
export type Cancel = () => void

export interface Clock {
  /** The current instant on a monotonic clock. */
  readonly now: () => Milliseconds
  /** The wall-clock time in milliseconds since the Unix epoch, for times that other processes or people read. */
  readonly wallClock: () => Milliseconds
  /** Runs a callback once after a delay. */
  readonly after: (delay: Milliseconds, callback: () => void) => Cancel
}

/** The clock of the running process. */
export function systemClock(): Clock {
  return {
    now: () => performance.now(),
    wallClock: () => Date.now(),
    after(delay, callback) {
      const timer = setTimeout(callback, Math.max(0, delay))
      return () => clearTimeout(timer)
    },
  }
}

/** Resolves after a delay on the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise(resolve => {
    clock.after(delay, resolve)
  })
}

/** Settles as the promise does, or resolves to the fallback if the delay ends first. */
export function withTimeout<T, F>(
  clock: Clock,
  promise: Promise<T>,
  delay: Milliseconds,
  fallback: F,
): Promise<T | F> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(delay, () => resolve(fallback))
    promise.then(
      value => {
        cancel()
        resolve(value)
      },
      (error: unknown) => {
        cancel()
        reject(error instanceof Error ? error : new Error(String(error)))
      },
    )
  })
}
