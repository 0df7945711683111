/** The crowds that both frontends are tested with, and the machine on which they must hold. */
import {announced, chunked, extendedChunks, manyHeaders, pipelined, unfinishedHead} from "./crowd.js"
import type {Manner, Script} from "./crowd.js"
import type {Machine} from "./watchedprocess.js"

/** Smaller than any machine of a deployment, so that small crowds suffice. */
export const MACHINE: Machine = {memoryMebibytes: 160, descriptors: 640, heapMebibytes: 80}

/** The limit on a body in the configurations of the tests, which is also the usual one. */
export const BODY_LIMIT = 262_144
const MEBIBYTE = 2 ** 20
const PIPELINED_BYTES = 4 * MEBIBYTE
const EXCESSIVE_BYTES = 16 * MEBIBYTE
const ANNOUNCED_BYTES = 1024 * MEBIBYTE
const LARGE_CHUNK_BYTES = 16_384
const SMALL_BODY_BYTES = BODY_LIMIT - LARGE_CHUNK_BYTES
/** A body that the users' trial had, in chunks of one byte. */
export const TRIAL_BODY_BYTES = 240_000
export const TRIAL_CROWD = 300
const EXTENSION_BYTES = 100
const EXTENDED_CHUNKS = 10_000
/** Just under the usual limit of 16 KiB on a head. */
const HEADER_LINES = 1900
/** As many as may wait on a connection, and one that is handled. */
const REQUESTS_TOGETHER = 17

export interface CrowdCase {
  readonly title: string
  readonly size: number
  readonly script: Script
  readonly manner?: Manner
}

/** Where a frontend takes a request with a body, and one without. */
export interface Paths {
  readonly host: string
  readonly withBody: string
  readonly plain: string
}

export function crowdCases({host, withBody, plain}: Paths): readonly CrowdCase[] {
  return [
    {
      title: "requests sent ahead, their answers unread",
      size: 100,
      script: pipelined(plain, host, PIPELINED_BYTES),
    },
    {
      title: "requests sent ahead without a host, their answers unread",
      size: 100,
      script: pipelined("/", undefined, PIPELINED_BYTES),
    },
    {
      title: "bodies in chunks of one byte that stop short of their end",
      size: 100,
      script: chunked(withBody, host, SMALL_BODY_BYTES, 1),
    },
    {
      title: "bodies in large chunks that stop short of their end",
      size: 400,
      script: chunked(withBody, host, BODY_LIMIT - LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES),
    },
    {
      title: "bodies announced far over the limit",
      size: 100,
      script: announced(withBody, host, ANNOUNCED_BYTES, EXCESSIVE_BYTES),
    },
    {
      title: "chunked bodies far over the limit",
      size: 100,
      script: chunked(withBody, host, EXCESSIVE_BYTES, LARGE_CHUNK_BYTES),
    },
    {
      title: "bodies far over the limit in chunks of one byte",
      size: 100,
      script: chunked(withBody, host, 2 * MEBIBYTE, 1),
    },
    {title: "heads without an end", size: 700, script: unfinishedHead(plain)},
    {
      title: "hundreds of bodies in chunks of one byte",
      size: TRIAL_CROWD,
      script: chunked(withBody, host, TRIAL_BODY_BYTES, 1),
    },
    {
      title: "chunks of one byte with extensions",
      size: 100,
      script: extendedChunks(withBody, host, EXTENDED_CHUNKS, EXTENSION_BYTES),
    },
    {
      title: "heads of many short lines",
      size: 100,
      script: manyHeaders(plain, host, HEADER_LINES, REQUESTS_TOGETHER),
    },
    {
      title: "a few requests sent ahead, their answers read one byte at a time",
      size: 100,
      script: manyHeaders(plain, host, 0, REQUESTS_TOGETHER),
      manner: {readsSlowly: true},
    },
  ]
}
