/**
 * The limits on what clients may hold of an instance, from the memory and descriptors of its machine. No client that
 * sends one request at a time, of the size that the configuration allows, meets any of them.
 */
import type {Milliseconds} from "../core/clock.js"

/** What a process may use; 0 stands for an amount that is not known. */
export interface MachineSize {
  readonly memoryMebibytes: number
  readonly descriptors: number
}

export interface ClientLimits {
  /** Connections of clients at a time. */
  readonly connections: number
  /** Memory of all bodies that are being read or handled, in bytes. */
  readonly bodyBytes: number
  /** Requests of one connection that wait for the answer to an earlier one. */
  readonly requestsAhead: number
  /** Length of the head of a request, and of all heads of one connection that wait, in bytes. */
  readonly headBytes: number
  /** Header lines of a request. Each takes some hundred bytes once it is parsed, however short it is. */
  readonly headLines: number
  /** From the opening of a connection, or the first byte of a later request, to the end of the head. */
  readonly headTime: Milliseconds
  /** From the first byte of a request to its last. */
  readonly requestTime: Milliseconds
  /** While an answer waits to be read, its client has to read `unreadBytes` in each such time, or the rest. */
  readonly unreadTime: Milliseconds
  readonly unreadBytes: number
}

const BYTES_PER_MEBIBYTE = 2 ** 20
/** The platform reserves these for files. */
const RESERVED_DESCRIPTORS = 200
/** The rest is for the connections to workers, peers and the store. */
const CLIENT_SHARE_OF_DESCRIPTORS = 0.4
const CONNECTION_SHARE_OF_MEMORY = 0.16
/** A connection with its parser, a head of full length and an answer. */
const CONNECTION_BYTES = 40 * 1024
const BODY_SHARE_OF_MEMORY = 0.1
const MIN_CONNECTIONS = 16
/** Where the machine is not known. */
const DEFAULT_CONNECTIONS = 1000
const DEFAULT_BODY_BYTES = 64 * BYTES_PER_MEBIBYTE

const REQUESTS_AHEAD = 16
const HEAD_BYTES = 16 * 1024
const HEAD_LINES = 200
const HEAD_TIME_MS: Milliseconds = 20_000
const REQUEST_TIME_MS: Milliseconds = 300_000
const UNREAD_TIME_MS: Milliseconds = 30_000
/** Half a KiB a second, slower than any link. */
const UNREAD_BYTES = 16 * 1024

function connectionLimit({memoryMebibytes, descriptors}: MachineSize): number {
  const byDescriptors =
    descriptors > 0 ? (descriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE_OF_DESCRIPTORS : DEFAULT_CONNECTIONS
  const byMemory =
    memoryMebibytes > 0
      ? (memoryMebibytes * BYTES_PER_MEBIBYTE * CONNECTION_SHARE_OF_MEMORY) / CONNECTION_BYTES
      : DEFAULT_CONNECTIONS
  return Math.max(MIN_CONNECTIONS, Math.floor(Math.min(byDescriptors, byMemory)))
}

export function clientLimits(machine: MachineSize): ClientLimits {
  const {memoryMebibytes} = machine
  return {
    connections: connectionLimit(machine),
    bodyBytes:
      memoryMebibytes > 0
        ? Math.floor(memoryMebibytes * BYTES_PER_MEBIBYTE * BODY_SHARE_OF_MEMORY)
        : DEFAULT_BODY_BYTES,
    requestsAhead: REQUESTS_AHEAD,
    headBytes: HEAD_BYTES,
    headLines: HEAD_LINES,
    headTime: HEAD_TIME_MS,
    requestTime: REQUEST_TIME_MS,
    unreadTime: UNREAD_TIME_MS,
    unreadBytes: UNREAD_BYTES,
  }
}
