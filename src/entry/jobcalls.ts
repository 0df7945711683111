/** Takes callers' job operations to the home of their job group, here or at a peer. */
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
  /** Carries out an operation at this instance, if it is the home. */
  readonly local: (group: string, operation: string, job: string, body: unknown) => Promise<JobResponse>
}

const MISDIRECTED = 421
const ATTEMPTS = 12
const RETRY_MS: Milliseconds = 250

function jobGroupOfName(job: string, count: number): string | undefined {
  const match = /^(\d+)-[0-9a-f]{1,64}$/.exec(job)
  return match && Number(match[1]) < count ? `j/${match[1] ?? ""}` : undefined
}

/** The job group of a team: all its jobs have one home, so that its quota is a local sum. */
export function jobGroupOfTeam(team: string, count: number): string {
  return `j/${hash32(team) % count}`
}

function noHome(mayHaveTaken: boolean): JobResponse {
  const detail = "The home of the job's group is changing. Try again soon."
  return problem(
    503,
    "no-home",
    "The job's home cannot be reached",
    detail,
    mayHaveTaken ? "unknown" : "not-run",
  )
}

/** Creates the calls of one instance. */
export function jobCalls(ports: JobCallsPorts): JobCalls {
  async function local(group: string, operation: string, job: string, body: unknown): Promise<JobResponse> {
    const held = ports.held.jobGroup(group)
    const misdirected = problem(
      MISDIRECTED,
      "not-home",
      "This instance is not the job's home",
      "Ask the home.",
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

  /** One try at the holder known now. `sent` tells whether a peer may have taken the call. */
  async function tryOnce(
    group: string,
    operation: string,
    job: string,
    body: unknown,
  ): Promise<{readonly answer: JobResponse | undefined; readonly sent: boolean}> {
    const holder = ports.holderOf(group)
    if (!holder) return {answer: undefined, sent: false}
    if (holder.instance === ports.instance) {
      const answer = await local(group, operation, job, body)
      return {answer: answer.status === MISDIRECTED ? undefined : answer, sent: false}
    }
    const encoded = body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body))
    const request = create(ForwardRequestSchema, {jobGroup: group, operation, job, body: encoded})
    const reply = await callPeer(ports.network, holder.instance, peer => peer.forward(request))
    if (reply.isErr()) return {answer: undefined, sent: reply.error.certainty !== "not-run"}
    if (reply.value.status === MISDIRECTED) return {answer: undefined, sent: false}
    return {
      answer: {
        status: reply.value.status,
        body: JSON.parse(Buffer.from(reply.value.body).toString("utf8")) as object,
      },
      sent: true,
    }
  }

  /** Tries until the home answers. A submission without a key is not sent again once it may have been taken. */
  async function call(
    group: string,
    operation: string,
    job: string,
    body: unknown,
    repeatable: boolean,
  ): Promise<JobResponse> {
    let mayHaveTaken = operation !== "submit"
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const {answer, sent} = await tryOnce(group, operation, job, body)
      if (answer) return answer
      mayHaveTaken ||= sent
      if (sent && !repeatable) {
        const detail =
          "The job's home did not answer. Without an idempotency key the request is not repeated."
        return problem(503, "acceptance-unknown", "The job may have been accepted", detail, "unknown")
      }
      await sleep(ports.clock, RETRY_MS)
    }
    return noHome(mayHaveTaken)
  }

  function byName(operation: string, job: string): Promise<JobResponse> {
    const group = jobGroupOfName(job, ports.jobGroups())
    if (group === undefined) {
      return Promise.resolve(
        problem(404, "no-such-job", "There is no such job", "The name is not that of a job.", "not-run"),
      )
    }
    return call(group, operation, job, undefined, true)
  }

  return {
    local,
    submit(submission) {
      const {request, key} = submission
      const team =
        typeof request === "object" && request !== null
          ? (request as {readonly team?: unknown}).team
          : undefined
      const group = jobGroupOfTeam(typeof team === "string" ? team : "", ports.jobGroups())
      return call(group, "submit", "", submission, key !== "")
    },
    get: job => byName("get", job),
    cancel: job => byName("cancel", job),
    list: team => call(jobGroupOfTeam(team, ports.jobGroups()), "list", team, undefined, true),
  }
}
