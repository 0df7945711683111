/**
 * The relay's side of the channels: makes the calls that the leader sends and returns the answers in batches. It decides
 * nothing, but it makes no calls of a leader once it knows of a later one, and none that have waited for it while its
 * process was stopped, since the leader has given the channel up by then.
 */
import type {Clock, Milliseconds} from "../core/clock.js"
import {describeError} from "../core/errors.js"
import type {CallFailed} from "../core/errors.js"
import type {Logger} from "../core/logger.js"
import type {WorkerCalls} from "../pipelines/ports.js"
import type {
  AcceptChannel,
  ChannelReceiver,
  ChannelSender,
  RelayedAnswer,
  RelayedCall,
  RelayedResult,
} from "./channel.js"

/** Answers are collected for this long. Each message has a cost at the leader. */
const BATCH_MS: Milliseconds = 8
/** A relay without answers shows this often that it is alive. */
const SIGN_OF_LIFE_MS: Milliseconds = 200
/** How long a leader waits for a sign of life before it suspects the relay. */
export const SILENCE_TIMEOUT_MS: Milliseconds = 600

export interface Carrier {
  readonly accept: AcceptChannel
  /** Tells the leader to send no further calls. Those that have come are still made. */
  readonly drain: () => void
  readonly stop: () => void
}

export interface CarrierPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly workers: WorkerCalls
  /** The highest term that this instance knows of. */
  readonly knownTerm: () => number
}

interface OpenChannel {
  readonly term: number
  readonly close: () => void
  readonly flush: () => void
}

function toFailure(failure: CallFailed): RelayedResult {
  return {type: "failure", reason: failure.message, isUnsent: failure.certainty === "not-run"}
}

export function createCarrier({clock, log, workers, knownTerm}: CarrierPorts): Carrier {
  const channels = new Set<OpenChannel>()
  let highestTerm = 0
  let isLeaving = false

  async function makeCall(term: number, {target, order}: RelayedCall): Promise<RelayedResult> {
    switch (order.type) {
      case "report": {
        const answer = await workers.report(target, {...order.request, term})
        return answer.isOk() ? {type: "report", answer: answer.value} : toFailure(answer.error)
      }
      case "start": {
        const answer = await workers.start(target, {...order.order, term})
        return answer.isOk() ? {type: "start", answer: answer.value} : toFailure(answer.error)
      }
      case "stop": {
        const answer = await workers.stop(target, order.task, order.attempt, term)
        return answer.isOk() ? {type: "command", answer: answer.value} : toFailure(answer.error)
      }
      case "throttle": {
        const answer = await workers.throttle(target, order.task, order.attempt, order.percent, term)
        return answer.isOk() ? {type: "command", answer: answer.value} : toFailure(answer.error)
      }
    }
  }

  function open(term: number, sender: ChannelSender): ChannelReceiver {
    let answers: RelayedAnswer[] = []
    let isFlushScheduled = false
    let sentAt = -Infinity
    let isOpen = true

    function flush(): void {
      isFlushScheduled = false
      if (!isOpen) return
      sender.send({answers, isLeaving})
      answers = []
      sentAt = clock.now()
    }

    function add(answer: RelayedAnswer): void {
      if (!isOpen) return
      answers.push(answer)
      if (isFlushScheduled) return
      isFlushScheduled = true
      clock.after(BATCH_MS, flush)
    }

    async function carry(call: RelayedCall): Promise<void> {
      try {
        add({id: call.id, result: await makeCall(term, call)})
      } catch (error) {
        add({id: call.id, result: {type: "failure", reason: describeError(error), isUnsent: false}})
      }
    }

    function showLife(dueAt: Milliseconds): void {
      if (!isOpen) return
      const now = clock.now()
      // Timers run before sockets are read, so that the channel closes before what has waited in its socket is read.
      if (now - dueAt > SILENCE_TIMEOUT_MS) {
        log.warn(
          {event: "relay-stopped", term, delay: Math.round(now - dueAt)},
          "the process was stopped for long",
        )
        channel.close()
        return
      }
      if (now - sentAt >= SIGN_OF_LIFE_MS) flush()
      clock.after(SIGN_OF_LIFE_MS, () => showLife(now + SIGN_OF_LIFE_MS))
    }

    const channel: OpenChannel = {
      term,
      flush,
      close() {
        if (!isOpen) return
        isOpen = false
        channels.delete(channel)
        sender.close()
      },
    }
    channels.add(channel)
    showLife(clock.now())
    return {
      receive(calls) {
        if (term < knownTerm()) channel.close()
        if (isOpen) for (const call of calls) void carry(call)
      },
      onClosed: channel.close,
    }
  }

  return {
    accept(term, sender) {
      highestTerm = Math.max(highestTerm, knownTerm())
      if (term < highestTerm || isLeaving) {
        log.info({event: "relay-refused", term, highestTerm, isLeaving}, "channel of a leader refused")
        sender.close()
        return {receive: () => undefined, onClosed: () => undefined}
      }
      if (term > highestTerm) {
        highestTerm = term
        for (const channel of [...channels]) if (channel.term < term) channel.close()
      }
      log.info({event: "relay-opened", term}, "this instance carries calls of the leader to workers")
      return open(term, sender)
    },
    drain() {
      isLeaving = true
      for (const channel of channels) channel.flush()
    },
    stop() {
      isLeaving = true
      for (const channel of [...channels]) channel.close()
    },
  }
}
