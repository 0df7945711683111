/**
 * Which jobs a leader accepts when its memory becomes scarce. The load that it answers: a workspace that hands in jobs far
 * faster than they are done, until the leader could hold no job of anybody else. Half of the memory is for whoever comes
 * first. The other half is divided among the workspaces by weight, and no workspace can take another's part.
 */

/** Part of the memory that is divided among the workspaces. */
const DIVIDED_SHARE = 0.5

export interface AcceptedMemory {
  /** Bytes that all accepted jobs may take. */
  readonly limit: number
  /** Bytes that all accepted jobs take. */
  readonly total: number
  /** Bytes that those of the job's workspace take. */
  readonly ofWorkspace: number
  /** The weight of the workspace, and of all together. */
  readonly weight: number
  readonly totalWeight: number
}

/** True if memory is so scarce that a workspace may be refused jobs. */
export function isMemoryScarce(
  {limit, total}: Pick<AcceptedMemory, "limit" | "total">,
  bytes: number,
): boolean {
  return total + bytes > limit * (1 - DIVIDED_SHARE)
}

/** True if the leader has room for a job that takes so many bytes. */
export function mayAccept(memory: AcceptedMemory, bytes: number): boolean {
  const {limit, ofWorkspace, weight, totalWeight} = memory
  if (!isMemoryScarce(memory, bytes)) return true
  return ofWorkspace + bytes <= (limit * DIVIDED_SHARE * weight) / totalWeight
}
