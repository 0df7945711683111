/** What one instance says of itself and of what it holds, for operators. */

export interface WorkerStatus {
  readonly worker: string
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
  readonly slotsHeld: number
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
  readonly silentFor: number
}

export interface InstanceStatus {
  readonly instance: string
  readonly dataCentre: string
  readonly incarnation: string
  readonly mayAct: boolean
  readonly reasonNotToAct: string
  /** Instances that may take over early when this one dies. */
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
    readonly shed: number
    readonly open: boolean
  }
  readonly controlBytes: number
  readonly findings: readonly string[]
}
