/** Counts the memory that accepted jobs take at the leader, and decides whether it has room for one more. */
import type {Logger} from "../core/logger.js"
import {mayAccept, isMemoryScarce} from "../pipelines/acceptance.js"
import {estimateMemory, MAX_ACCEPTED_BYTES} from "../pipelines/footprint.js"
import type {PipelineJob, Workspace} from "../pipelines/model.js"
import type {JobTable} from "./jobtable.js"

/** Memory that is kept for a job while its record is being written. */
export interface MemoryReservation {
  readonly workspace: string | undefined
  readonly bytes: number
}

export interface AcceptedMemory {
  /** Undefined, with a line in the log, if there is no room for the job. */
  readonly reserve: (job: PipelineJob) => MemoryReservation | undefined
  /** Called once the job is in the job table, or is not stored. */
  readonly release: (reservation: MemoryReservation) => void
}

export function createAcceptedMemory(
  log: Logger,
  jobs: Pick<JobTable, "active" | "memory">,
  listWorkspaces: () => readonly Workspace[],
): AcceptedMemory {
  const reservations = new Set<MemoryReservation>()

  function sumReserved(): number {
    let sum = 0
    for (const {bytes} of reservations) sum += bytes
    return sum
  }

  function sumOfWorkspace(name: string | undefined): number {
    let sum = 0
    for (const {job, memory} of jobs.active.values()) if (job.workspace === name) sum += memory
    for (const {workspace, bytes} of reservations) if (workspace === name) sum += bytes
    return sum
  }

  /** Jobs without a workspace have the part of one with an average weight. */
  function hasRoom({workspace: name}: PipelineJob, bytes: number, total: number): boolean {
    if (total + bytes > MAX_ACCEPTED_BYTES) return false
    const workspaces = listWorkspaces()
    const sums = {limit: MAX_ACCEPTED_BYTES, total}
    // Counting what one workspace has accepted takes time, so it is done only if it matters.
    if (workspaces.length === 0 || !isMemoryScarce(sums, bytes)) return true
    const sum = workspaces.reduce((weights, {weight}) => weights + weight, 0)
    const average = sum / workspaces.length
    const weight = workspaces.find(workspace => workspace.name === name)?.weight ?? average
    return mayAccept({...sums, ofWorkspace: sumOfWorkspace(name), weight, totalWeight: sum + average}, bytes)
  }

  return {
    reserve(job) {
      const bytes = estimateMemory(job)
      const accepted = jobs.memory() + sumReserved()
      if (!hasRoom(job, bytes, accepted)) {
        const {id, workspace} = job
        const ofWorkspace = workspace === undefined ? undefined : sumOfWorkspace(workspace)
        log.warn(
          {event: "job-over-capacity", job: id, memory: bytes, accepted, workspace, ofWorkspace},
          "job refused, since the leader could not hold it beside those accepted",
        )
        return undefined
      }
      const reservation = {workspace: job.workspace, bytes}
      reservations.add(reservation)
      return reservation
    },
    release: reservation => void reservations.delete(reservation),
  }
}
