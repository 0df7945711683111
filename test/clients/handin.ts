/** An ordinary caller of a daemon: it hands in a job and asks for its state. */
import {ROUTE_HOST} from "./fleetprocesses.js"
import {untilAnswered} from "./ordinary.js"
import type {WatchedProcess} from "./watchedprocess.js"

const STATES: ReadonlySet<unknown> = new Set(["queued", "running", "completed"])
const JOB = JSON.stringify({Spec: "s", Pipeline: [{Count: 1, Cpu: 1000, MemMb: 100, EstimateMs: 100}]})

let jobs = 0

export interface Target {
  readonly callers: string
  readonly process: WatchedProcess
}

/** Resolves to whether the job is in a state that it can be in. */
export async function handInAndAsk({callers, process}: Target, prefix = "/checks/"): Promise<boolean> {
  jobs += 1
  const id = jobs.toString(16).padStart(16, "0")
  const url = `http://${callers}${prefix}${id}`
  const headers = {host: ROUTE_HOST, "content-type": "application/json"}
  await untilAnswered(url, {method: "POST", headers, body: JOB}, process)
  const answer = await untilAnswered(url, {method: "GET", headers}, process)
  const {State: state} = JSON.parse(answer) as {readonly State?: unknown}
  return STATES.has(state)
}
