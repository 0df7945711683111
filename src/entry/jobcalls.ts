/** Sends callers' job operations to the home of the job's group: this instance or a peer. */
import {create} from "@bufbuild/protobuf"
import type {Clock, Milliseconds} from "../core/clock.js"
import {sleep} from "../core/clock.js"
import {hash32} from "../core/hash.js"
import type {HeldGroups} from "../controllers/heldgroups.js"
import {problem} from "../controllers/jobresponses.js"
import type {JobResponse} from "../controllers/jobresponses.js"
import type {GroupOwnerAddress} from "../controllers/placementclient.js"
import {callPeer} from "../peer/api.js"
import type {PeerNetwork} from "../peer/api.js"
import {ForwardRequestSchema} from "../peer/generated/peer_pb.js"

export interface JobCallsPorts {
  readonly clock: Clock
  readonly network: PeerNetwork
  readonly instance: string
  readonly held: HeldGroups
  readonly epochOf: (group: string) => number | undefined
  readonly holderOf: (group: string) => GroupOwnerAddress | undefined
  readonly jobGroups: () => number
}

export interface JobSubmission {
  readonly key: string
  readonly request: unknown
}

export interface JobCalls {
  readonly submit: (submission: JobSubmission) => Promise<JobResponse>
  readonly get: (job: string) => Promise<JobResponse>
  readonly cancel: (job: string) => Promise<JobResponse>
  readonly list: (team: string) => Promise<JobResponse>
  /** Carries out an operation at this instance; answers 421 when it is not the home of the group. */
  readonly runLocally: (group: string, operation: string, job: string, body: unknown) => Promise<JobResponse>
}

const MISDIRECTED_STATUS = 421
const MAX_ATTEMPTS = 12
const RETRY_INTERVAL_MS: Milliseconds = 250

function jobGroupOfJob(job: string, count: number): string | undefined {
  const match = /^(\d+)-[0-9a-f]{1,64}$/.exec(job)
  return match && Number(match[1]) < count ? `j/${match[1] ?? ""}` : undefined
}

/** Returns the job group of a team. All jobs of a team have one home, which can sum up its quota locally. */
export function jobGroupOfTeam(team: string, count: number): string {
  return `j/${hash32(team) % count}`
}

function homeUnreachable(mayHaveBeenAccepted: boolean): JobResponse {
  const detail = "The home of the job's group is changing. Try again soon."
  return problem(
    503,
    "no-home",
    "The job's home cannot be reached",
    detail,
    mayHaveBeenAccepted ? "unknown" : "not-run",
  )
}

/** Creates the job operations of one instance. */
export function createJobCalls(ports: JobCallsPorts): JobCalls {
  async function runLocally(
    group: string,
    operation: string,
    job: string,
    body: unknown,
  ): Promise<JobResponse> {
    const held = ports.held.jobGroup(group)
    const misdirected = problem(
      MISDIRECTED_STATUS,
      "not-home",
      "This instance is not the job's home",
      "Send the call to the home of the job group.",
      "not-run",
    )
    if (!held || ports.epochOf(group) === undefined || !(await held.opened)) return misdirected
    const {home} = held
    switch (operation) {
      case "submit": {
        const submission = body as JobSubmission
        return home.submit(submission.key, submission.request)
      }
      case "get":
        return home.get(job)
      case "cancel":
        return home.cancel(job)
      case "list":
        return home.list(job)
      default:
        return misdirected
    }
  }

  /** Calls the holder known now once. `mayHaveArrived` says whether a peer may have carried out the call. */
  async function callHolderOnce(
    group: string,
    operation: string,
    job: string,
    body: unknown,
  ): Promise<{readonly answer: JobResponse | undefined; readonly mayHaveArrived: boolean}> {
    const holder = ports.holderOf(group)
    if (!holder) return {answer: undefined, mayHaveArrived: false}
    if (holder.instance === ports.instance) {
      const answer = await runLocally(group, operation, job, body)
      return {answer: answer.status === MISDIRECTED_STATUS ? undefined : answer, mayHaveArrived: false}
    }
    const encoded = body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body))
    const request = create(ForwardRequestSchema, {jobGroup: group, operation, job, body: encoded})
    const reply = await callPeer(ports.network, holder.instance, peer => peer.forward(request))
    if (reply.isErr()) return {answer: undefined, mayHaveArrived: reply.error.certainty !== "not-run"}
    if (reply.value.status === MISDIRECTED_STATUS) return {answer: undefined, mayHaveArrived: false}
    return {
      answer: {
        status: reply.value.status,
        body: JSON.parse(Buffer.from(reply.value.body).toString("utf8")) as object,
      },
      mayHaveArrived: true,
    }
  }

  /** Retries until the home answers. A submission without a key is not repeated once it may have been accepted. */
  async function callHome(
    group: string,
    operation: string,
    job: string,
    body: unknown,
    mayRepeat: boolean,
  ): Promise<JobResponse> {
    let mayHaveBeenAccepted = operation !== "submit"
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const {answer, mayHaveArrived} = await callHolderOnce(group, operation, job, body)
      if (answer) return answer
      mayHaveBeenAccepted ||= mayHaveArrived
      if (mayHaveArrived && !mayRepeat) {
        const detail =
          "The job's home did not answer. Without an idempotency key the request is not repeated."
        return problem(503, "acceptance-unknown", "The job may have been accepted", detail, "unknown")
      }
      await sleep(ports.clock, RETRY_INTERVAL_MS)
    }
    return homeUnreachable(mayHaveBeenAccepted)
  }

  function callByJobName(operation: string, job: string): Promise<JobResponse> {
    const group = jobGroupOfJob(job, ports.jobGroups())
    if (group === undefined) {
      return Promise.resolve(
        problem(404, "no-such-job", "There is no such job", "The name is not a valid job name.", "not-run"),
      )
    }
    return callHome(group, operation, job, undefined, true)
  }

  return {
    runLocally,
    submit(submission) {
      const {request, key} = submission
      const team =
        typeof request === "object" && request !== null
          ? (request as {readonly team?: unknown}).team
          : undefined
      const group = jobGroupOfTeam(typeof team === "string" ? team : "", ports.jobGroups())
      return callHome(group, "submit", "", submission, key !== "")
    },
    get: job => callByJobName("get", job),
    cancel: job => callByJobName("cancel", job),
    list: team => callHome(jobGroupOfTeam(team, ports.jobGroups()), "list", team, undefined, true),
  }
}
