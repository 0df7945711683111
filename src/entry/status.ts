/** Status that one instance reports to operators, as JSON and on the status page. */

export interface WorkerStatus {
  readonly worker: string
  /** Accepts new tasks. */
  readonly open: boolean
  readonly tasks: number
  readonly usedProcessors: number
  readonly processors: number
  readonly usedMemoryMebibytes: number
  readonly memoryMebibytes: number
  readonly usedAccelerators: number
  readonly accelerators: number
}

export interface WorkerGroupStatus {
  readonly group: string
  readonly epoch: number
  /** The owner knows of every worker what runs there. */
  readonly settled: boolean
  readonly waiting: number
  readonly workers: readonly WorkerStatus[]
  readonly slots: readonly SlotStatus[]
}

export interface SlotStatus {
  readonly server: string
  readonly open: boolean
  readonly slots: number
  readonly lent: number
  /** Slots of which it is unknown whether a request still uses them. */
  readonly inDoubt: number
}

export interface JobGroupStatus {
  readonly group: string
  readonly epoch: number
  readonly recovered: boolean
  readonly waiting: number
  readonly inFlight: number
  readonly jobs: number
}

export interface ServiceStatus {
  readonly service: string
  readonly waiting: number
  /** Slots borrowed from worker groups. */
  readonly slotsHeld: number
  /** Requests received. */
  readonly asked: number
  readonly ran: number
  readonly notRun: number
  readonly unknown: number
}

export interface MemberStatus {
  readonly instance: string
  readonly dataCentre: string
  readonly status: string
  readonly documentNumber: number
  /** Milliseconds since the member was last heard. */
  readonly silentFor: number
}

export interface InstanceStatus {
  readonly instance: string
  readonly dataCentre: string
  readonly incarnation: string
  readonly mayAct: boolean
  readonly reasonNotToAct: string
  /** Instances that may take over early when this one fails. */
  readonly successors: readonly string[]
  readonly leaving: boolean
  readonly documentNumber: number
  readonly documentDigest: string
  readonly members: readonly MemberStatus[]
  readonly workerGroups: readonly WorkerGroupStatus[]
  readonly jobGroups: readonly JobGroupStatus[]
  readonly services: readonly ServiceStatus[]
  readonly store: {
    readonly calls: number
    readonly failures: number
    /** Calls refused by this instance to protect the store. */
    readonly shed: number
    /** The store does not answer, so calls are refused except for probes. */
    readonly open: boolean
  }
  /** Bytes sent to and received from peers. */
  readonly controlBytes: number
  readonly findings: readonly string[]
}
