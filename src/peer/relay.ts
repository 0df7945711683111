/** Client and server of the relay service: channels over which calls to workers travel in batches. */
import {Readable} from "node:stream"
import {createClient} from "@connectrpc/connect"
import type {ServiceImpl, Transport} from "@connectrpc/connect"
import {create} from "@bufbuild/protobuf"
import {describeError} from "../core/errors.js"
import type {RunEnd} from "../pipelines/model.js"
import type {CommandAnswer, ReportAnswer, StartAnswer} from "../pipelines/ports.js"
import type {
  AcceptChannel,
  AnswerBatch,
  ChannelListener,
  ChannelReceiver,
  RelayChannel,
  RelayedAnswer,
  RelayedCall,
  RelayedOrder,
  RelayedResult,
} from "../relay/channel.js"
import type {Answer, Call, CarryReply, CarryRequest} from "./generated/relay_pb.js"
import {AnswerSchema, CallSchema, CarryReplySchema, CarryRequestSchema, Relay} from "./generated/relay_pb.js"

/** Messages that are sent in the order in which they are pushed, as the library reads them. */
interface Outbox<T> {
  readonly push: (message: T) => void
  readonly end: () => void
  readonly messages: AsyncIterable<T>
}

function createOutbox<T>(): Outbox<T> {
  const stream = new Readable({objectMode: true, read: () => undefined})
  // Destroyed by the library when the channel is aborted; there is nothing to handle beyond that.
  stream.on("error", () => undefined)
  let hasEnded = false
  return {
    push(message) {
      if (!hasEnded) stream.push(message)
    },
    end() {
      if (!hasEnded) stream.push(null)
      hasEnded = true
    },
    messages: stream as AsyncIterable<T>,
  }
}

/** Replaces payloads by their position in a table, since the tasks of a step have the same one. */
function createPayloadTable(): {readonly indexOf: (payload: string) => number; readonly list: string[]} {
  const positions = new Map<string, number>()
  const list: string[] = []
  return {
    list,
    indexOf(payload) {
      const known = positions.get(payload)
      if (known !== undefined) return known
      positions.set(payload, list.length)
      return list.push(payload) - 1
    },
  }
}

function encodeOrder(order: RelayedOrder, indexOf: (payload: string) => number) {
  switch (order.type) {
    case "report": {
      const {acknowledged, incarnation, deadline, wait} = order.request
      return {case: "report" as const, value: {acknowledged, incarnation, deadline, waitMs: wait}}
    }
    case "start": {
      const {payload, timeout, ...rest} = order.order
      return {case: "start" as const, value: {...rest, payload: indexOf(payload), timeoutMs: timeout}}
    }
    case "stop":
      return {case: "stop" as const, value: {task: order.task, attempt: order.attempt}}
    case "throttle":
      return {
        case: "throttle" as const,
        value: {task: order.task, attempt: order.attempt, percent: order.percent},
      }
  }
}

function encodeCalls(term: number, calls: readonly RelayedCall[]): CarryRequest {
  const payloads = createPayloadTable()
  return create(CarryRequestSchema, {
    term,
    calls: calls.map(({id, target, order}) =>
      create(CallSchema, {
        id,
        worker: target.id,
        address: target.address,
        order: encodeOrder(order, payloads.indexOf),
      }),
    ),
    payloads: payloads.list,
  })
}

function decodeOrder({order}: Call, payloads: readonly string[]): RelayedOrder | undefined {
  switch (order.case) {
    case "report": {
      const {acknowledged, incarnation, deadline, waitMs: wait} = order.value
      return {type: "report", request: {acknowledged, incarnation, deadline, wait}}
    }
    case "start": {
      const {task, attempt, payload: index, incarnation, deadline, ticket, checkpoint} = order.value
      const payload = payloads[index]
      if (payload === undefined) return undefined
      const timeout = order.value.timeoutMs
      return {
        type: "start",
        order: {task, attempt, payload, incarnation, deadline, ticket, checkpoint, timeout},
      }
    }
    case "stop":
      return {type: "stop", task: order.value.task, attempt: order.value.attempt}
    case "throttle":
      return {
        type: "throttle",
        task: order.value.task,
        attempt: order.value.attempt,
        percent: order.value.percent,
      }
    case undefined:
      return undefined
  }
}

function decodeCalls(request: CarryRequest): readonly RelayedCall[] {
  return request.calls.flatMap(call => {
    const order = decodeOrder(call, request.payloads)
    return order ? [{id: call.id, target: {id: call.worker, address: call.address}, order}] : []
  })
}

/** The words for answers without further fields. A refused start has its reason after a colon. */
const REFUSED_START = "refused:"
const COMMAND_ANSWERS: ReadonlySet<string> = new Set(["done", "superseded", "replaced", "refused"])
const START_REASONS: ReadonlySet<string> = new Set([
  "superseded",
  "old",
  "late",
  "room",
  "ticket",
  "busy",
  "malformed",
])

type RefusalReason = Extract<StartAnswer, {type: "refused"}>["reason"]

function describeOutcome(answer: StartAnswer | ReportAnswer): string {
  return answer.type === "refused" ? `${REFUSED_START}${answer.reason}` : answer.type
}

function encodeAnswer({id, result}: RelayedAnswer): Answer {
  switch (result.type) {
    case "report": {
      const {answer} = result
      if (answer.type !== "report")
        return create(AnswerSchema, {id, result: {case: "outcome", value: answer.type}})
      const {clock, bornAt, running, ended, mayOmitEnds} = answer.report
      const value = {clock, bornAt, running: [...running], ended: [...ended], mayOmitEnds}
      return create(AnswerSchema, {id, result: {case: "report", value}})
    }
    case "start":
      return create(AnswerSchema, {id, result: {case: "outcome", value: describeOutcome(result.answer)}})
    case "command":
      return create(AnswerSchema, {id, result: {case: "outcome", value: result.answer}})
    case "failure": {
      const value = {reason: result.reason, notRun: result.isUnsent}
      return create(AnswerSchema, {id, result: {case: "failure", value}})
    }
  }
}

function decodeStartAnswer(outcome: string): StartAnswer | undefined {
  if (outcome === "started" || outcome === "replaced") return {type: outcome}
  const reason = outcome.slice(REFUSED_START.length)
  return outcome.startsWith(REFUSED_START) && START_REASONS.has(reason)
    ? {type: "refused", reason: reason as RefusalReason}
    : undefined
}

/** Decodes an answer by the type of the call that it belongs to. What does not fit counts as no answer. */
function decodeResult({result}: Answer, type: RelayedOrder["type"] | undefined): RelayedResult {
  if (result.case === "failure")
    return {type: "failure", reason: result.value.reason, isUnsent: result.value.notRun}
  if (result.case === "report" && type === "report") {
    const {clock, bornAt, running, mayOmitEnds} = result.value
    const ended = result.value.ended.map(one => ({...one, end: one.end as RunEnd}))
    const report = {clock, bornAt, running, ended, mayOmitEnds}
    return {type: "report", answer: {type: "report", report}}
  }
  const outcome = result.case === "outcome" ? result.value : ""
  if (type === "report" && (outcome === "superseded" || outcome === "replaced"))
    return {type: "report", answer: {type: outcome}}
  const started = type === "start" ? decodeStartAnswer(outcome) : undefined
  if (started) return {type: "start", answer: started}
  if ((type === "stop" || type === "throttle") && COMMAND_ANSWERS.has(outcome))
    return {type: "command", answer: outcome as CommandAnswer}
  return {type: "failure", reason: `answer of an unknown kind: ${outcome}`, isUnsent: false}
}

/** Opens a channel over the connection. It closes when the stream of answers ends. */
export function openRelayChannel(
  transport: Transport,
  term: number,
  listener: ChannelListener,
): RelayChannel {
  const client = createClient(Relay, transport)
  const outbox = createOutbox<CarryRequest>()
  const abort = new AbortController()
  /** The types of the calls that have no answer yet, by which answers are decoded. */
  const types = new Map<number, RelayedOrder["type"]>()

  function decodeBatch(reply: CarryReply): AnswerBatch {
    const answers = reply.answers.map(answer => {
      const result = decodeResult(answer, types.get(answer.id))
      types.delete(answer.id)
      return {id: answer.id, result}
    })
    return {answers, isLeaving: reply.leaving}
  }

  async function readAnswers(): Promise<void> {
    try {
      for await (const reply of client.carry(outbox.messages, {signal: abort.signal}))
        listener.onBatch(decodeBatch(reply))
      listener.onClosed("the relay has closed the channel")
    } catch (error) {
      listener.onClosed(describeError(error))
    }
  }

  outbox.push(encodeCalls(term, []))
  void readAnswers()
  return {
    send(calls) {
      for (const {id, order} of calls) types.set(id, order.type)
      outbox.push(encodeCalls(term, calls))
    },
    close() {
      outbox.end()
      abort.abort()
    },
  }
}

/** The implementation of the service by the given acceptor of channels. */
export function relayService(accept: AcceptChannel): ServiceImpl<typeof Relay> {
  return {
    async *carry(requests, context) {
      const outbox = createOutbox<CarryReply>()
      let receiver: ChannelReceiver | undefined

      async function readCalls(): Promise<void> {
        try {
          for await (const request of requests) {
            receiver ??= accept(request.term, {
              send: ({answers, isLeaving}) =>
                outbox.push(
                  create(CarryReplySchema, {answers: answers.map(encodeAnswer), leaving: isLeaving}),
                ),
              close: outbox.end,
            })
            receiver.receive(decodeCalls(request))
          }
        } catch {
          // The leader has gone or has given the channel up; its open calls need no answers.
        } finally {
          receiver?.onClosed()
          outbox.end()
        }
      }

      context.signal.addEventListener("abort", outbox.end)
      void readCalls()
      yield* outbox.messages
    },
  }
}
