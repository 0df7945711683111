/**
 * A relay is an instance that carries the leader's calls to a share of the workers. Calls and answers travel in batches
 * over one channel for each relay, so that the leader has a few busy channels in place of a connection to each worker.
 */
import type {Member} from "../peer/fleet.js"
import type {
  CommandAnswer,
  ReportAnswer,
  ReportRequest,
  StartAnswer,
  StartRequest,
  WorkerTarget,
} from "../pipelines/ports.js"

/** One call to a worker. The term is that of the channel. */
export type RelayedOrder =
  | {readonly type: "report"; readonly request: Omit<ReportRequest, "term">}
  | {readonly type: "start"; readonly order: Omit<StartRequest, "term">}
  | {readonly type: "stop"; readonly task: string; readonly attempt: number}
  | {readonly type: "throttle"; readonly task: string; readonly attempt: number; readonly percent: number}

export interface RelayedCall {
  /** Chosen by the leader, and repeated in the answer. */
  readonly id: number
  readonly target: WorkerTarget
  readonly order: RelayedOrder
}

export type RelayedResult =
  | {readonly type: "report"; readonly answer: ReportAnswer}
  | {readonly type: "start"; readonly answer: StartAnswer}
  | {readonly type: "command"; readonly answer: CommandAnswer}
  /** With `isUnsent`, the call cannot have reached the worker. */
  | {readonly type: "failure"; readonly reason: string; readonly isUnsent: boolean}

export interface RelayedAnswer {
  readonly id: number
  readonly result: RelayedResult
}

/** What a relay sends at a time: answers, or none as a sign of life. */
export interface AnswerBatch {
  readonly answers: readonly RelayedAnswer[]
  /** The relay stops soon and should get no further calls. */
  readonly isLeaving: boolean
}

/** The leader's end of a channel. */
export interface RelayChannel {
  readonly send: (calls: readonly RelayedCall[]) => void
  readonly close: () => void
}

export interface ChannelListener {
  readonly onBatch: (batch: AnswerBatch) => void
  /** Called once, when the channel can carry nothing more. */
  readonly onClosed: (reason: string) => void
}

/** Opens a channel to an instance, for the calls of one term. */
export type OpenChannel = (member: Member, term: number, listener: ChannelListener) => RelayChannel

/** The relay's end of a channel. */
export interface ChannelReceiver {
  readonly receive: (calls: readonly RelayedCall[]) => void
  readonly onClosed: () => void
}

export interface ChannelSender {
  readonly send: (batch: AnswerBatch) => void
  readonly close: () => void
}

/** Accepts a channel that the leader of a term has opened. */
export type AcceptChannel = (term: number, sender: ChannelSender) => ChannelReceiver
