/**
 * Decides which connections are read next when there is more to read than one turn of the event loop may take. The one
 * goes first that has taken least since its last answer, so that an ordinary caller, who sends little, is ahead of any
 * number of clients that keep the parser busy.
 *
 * Load that it answers: hundreds of clients that send their bodies in chunks of one byte, each of which costs a
 * microsecond or more.
 */

/** Work that an instance may take from all clients in one turn of the event loop, beside one read of a connection. */
export const TURN_UNITS = 2000
/** A piece of a body, however small. */
const PIECE_UNITS = 1
const BYTES_PER_UNIT = 4096
/** The head of a request. */
export const REQUEST_UNITS = 10

export interface ReadingShare {
  /** Units taken from the connection since its last answer. */
  readonly taken: number
  /** Counts the connections. */
  readonly number: number
}

export function unitsOfPiece(bytes: number): number {
  return PIECE_UNITS + bytes / BYTES_PER_UNIT
}

/**
 * Chooses up to `count` connections. Among equals, of which an ordinary caller who has just connected may be one, the
 * newest go first in every other turn, so that it neither waits for all that came before it nor for all that follow.
 */
export function chooseToRead<T extends ReadingShare>(
  waiting: readonly T[],
  count: number,
  newestFirst: boolean,
): readonly T[] {
  const direction = newestFirst ? -1 : 1
  return [...waiting]
    .sort((one, other) => one.taken - other.taken || direction * (one.number - other.number))
    .slice(0, count)
}
