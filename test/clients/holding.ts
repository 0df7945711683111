/** What holds for a process that a crowd presses: it lives within its machine, and an ordinary caller is served. */
import type {ExecutionContext} from "ava"
import {gather} from "./crowd.js"
import type {CrowdCase} from "./crowds.js"
import type {WatchedProcess} from "./watchedprocess.js"

export interface PressedProcess {
  /** Address on which it serves callers. */
  readonly callers: string
  readonly process: WatchedProcess
  /** Calls as an ordinary caller does; resolves to whether the answers were right. */
  readonly call: () => Promise<boolean>
}

export async function holdsAgainst(
  t: ExecutionContext,
  {callers, process, call}: PressedProcess,
  {size, script, manner}: Pick<CrowdCase, "size" | "script" | "manner">,
): Promise<void> {
  t.true(await call())
  const crowd = await gather(callers, size, script, manner)
  t.teardown(crowd.leave)
  await crowd.settled()
  t.log(process.usage())
  t.deepEqual(process.faults(), [], "while the crowd is connected")
  t.true(await call(), "beside the crowd")
  crowd.leave()
  t.true(await call(), "after the crowd")
  t.deepEqual(process.faults(), [])
}
