/**
 * The services whose workers may run tasks of a queue. The operator may send a queue to another service while its jobs
 * run, and a new leader knows only the present configuration. It has to look for the tasks of inherited jobs at the
 * workers of each service that an earlier leader may have used: the one that a job was accepted for, and those in the
 * record of the term. A leader therefore starts tasks at any other service only once the record names it.
 */
import type {PipelineJob} from "../pipelines/model.js"

/** By the name of a queue: services that its tasks may have been given to, besides those its jobs were accepted for. */
export type UsedServices = Readonly<Record<string, readonly string[]>>

export interface QueueServices {
  /** Adds what earlier leaders have recorded. */
  readonly addRecorded: (used: UsedServices) => void
  /** True if tasks of the job may start at the service. If not, the service is to be recorded. */
  readonly mayUse: (job: PipelineJob, service: string) => boolean
  /** The services whose workers may run tasks of the job. */
  readonly listUsed: (job: PipelineJob) => readonly string[]
  /** True if a service has to be recorded that is neither recorded nor being recorded. */
  readonly needsRecording: () => boolean
  /** Returns what a new record has to have, of the queues that are kept. */
  readonly beginRecording: (isKept: (queue: string) => boolean) => UsedServices
  /** The record is stored with the result of the latest `beginRecording`. */
  readonly confirmRecording: () => void
}

export function createQueueServices(): QueueServices {
  const used = new Map<string, Set<string>>()
  let recorded: UsedServices = {}
  let recording: UsedServices | undefined

  function add(queue: string, service: string): void {
    const services = used.get(queue) ?? new Set()
    used.set(queue, services.add(service))
  }

  function has(record: UsedServices | undefined, queue: string, service: string): boolean {
    return record?.[queue]?.includes(service) ?? false
  }

  return {
    addRecorded(earlier) {
      recorded = earlier
      for (const [queue, services] of Object.entries(earlier))
        for (const service of services) add(queue, service)
    },
    mayUse({queue}, service) {
      if (service === queue.service || has(recorded, queue.name, service)) return true
      add(queue.name, service)
      return false
    },
    listUsed: ({queue}) => [queue.service, ...(used.get(queue.name) ?? [])],
    needsRecording() {
      for (const [queue, services] of used)
        for (const service of services) if (!has(recording ?? recorded, queue, service)) return true
      return false
    },
    beginRecording(isKept) {
      for (const queue of used.keys()) if (!isKept(queue)) used.delete(queue)
      recording = Object.fromEntries([...used].map(([queue, services]) => [queue, [...services]]))
      return recording
    },
    confirmRecording() {
      recorded = recording ?? recorded
      recording = undefined
    },
  }
}
