/** The channel between a leader and a relay over a real connection: what is sent arrives unchanged, in both directions. */
import test from "ava"
import {createClient} from "@connectrpc/connect"
import {Relay} from "../../src/peer/generated/relay_pb.js"
import {openPeerConnection} from "../../src/peer/connection.js"
import {openRelayChannel, relayService} from "../../src/peer/relay.js"
import {servePeers} from "../../src/peer/server.js"
import type {AnswerBatch, ChannelSender, RelayedCall, RelayedResult} from "../../src/relay/channel.js"

const LOOPBACK = "127.0.0.1"
const TARGET = {id: "worker-1", address: "10.128.0.9:8080"}

const CALLS: readonly RelayedCall[] = [
  {
    id: 1,
    target: TARGET,
    order: {
      type: "report",
      request: {acknowledged: 57, incarnation: 1_786_089_696_053, deadline: 9000, wait: 400},
    },
  },
  {
    id: 2,
    target: TARGET,
    order: {type: "report", request: {acknowledged: 0, incarnation: 0, deadline: undefined, wait: 0}},
  },
  ...[3, 4].map((id): RelayedCall => {
    const order = {
      task: `5c0e7a21d94b36f8.0.0.${id}`,
      attempt: 2 ** 40,
      payload: "payload",
      incarnation: 1_786_089_696_053,
      deadline: 9000,
      ticket: "ticket",
      checkpoint: "",
      timeout: 150,
    }
    return {id, target: TARGET, order: {type: "start", order}}
  }),
  {id: 5, target: TARGET, order: {type: "stop", task: "5c0e7a21d94b36f8.0.0.3", attempt: 1}},
  {id: 6, target: TARGET, order: {type: "throttle", task: "5c0e7a21d94b36f8.0.0.3", attempt: 1, percent: 50}},
  {
    id: 7,
    target: TARGET,
    order: {type: "report", request: {acknowledged: 0, incarnation: 0, deadline: 1, wait: 0}},
  },
  {id: 8, target: TARGET, order: {type: "stop", task: "5c0e7a21d94b36f8.0.0.9", attempt: 1}},
]

const RESULTS: readonly RelayedResult[] = [
  {
    type: "report",
    answer: {
      type: "report",
      report: {
        clock: 482_113,
        bornAt: 1_786_089_696_053,
        running: [{task: "5c0e7a21d94b36f8.0.0.1", attempt: 2, checkpoint: "00", percent: 41, gauge: 1.5}],
        ended: [{number: 58, task: "5c0e7a21d94b36f8.0.0.2", attempt: 1, end: "done", checkpoint: ""}],
        mayOmitEnds: true,
      },
    },
  },
  {type: "report", answer: {type: "superseded"}},
  {type: "start", answer: {type: "started"}},
  {type: "start", answer: {type: "refused", reason: "room"}},
  {type: "command", answer: "done"},
  {type: "command", answer: "superseded"},
  {type: "failure", reason: "connection refused", isUnsent: true},
  {type: "failure", reason: "no answer", isUnsent: false},
]

/** A server whose channels record what they receive, and a connection to it. */
async function setUp() {
  const received: {readonly term: number; readonly calls: RelayedCall[]} = {term: 7, calls: []}
  const senders: ChannelSender[] = []
  let closed = 0
  const server = await servePeers(
    router =>
      router.service(
        Relay,
        relayService((term, sender) => {
          senders.push(sender)
          if (term !== received.term) sender.close()
          return {
            receive(calls) {
              received.calls.push(...calls)
              if (calls.length > 0)
                sender.send({
                  answers: calls.flatMap(({id}) => {
                    const result = RESULTS[id - 1]
                    return result ? [{id, result}] : []
                  }),
                  isLeaving: false,
                })
            },
            onClosed: () => void (closed += 1),
          }
        }),
      ),
    `${LOOPBACK}:0`,
    undefined,
  )
  const connection = openPeerConnection(server.address, undefined)
  return {server, connection, received, senders, countClosed: () => closed}
}

async function waitFor(condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < 300 && !condition(); turn += 1)
    await new Promise(resolve => setTimeout(resolve, 10))
  if (!condition()) throw new RangeError("The condition was not met within 3 s.")
}

test("calls and answers arrive as they were sent, and either end can close the channel", async t => {
  const {server, connection, received, senders, countClosed} = await setUp()
  const batches: AnswerBatch[] = []
  const reasons: string[] = []
  const listener = {
    onBatch: (batch: AnswerBatch) => void batches.push(batch),
    onClosed: (reason: string) => void reasons.push(reason),
  }
  const channel = openRelayChannel(connection.transport, 7, listener)
  channel.send(CALLS)
  await waitFor(() => batches.length > 0)
  t.like(received.calls, CALLS)
  t.like(
    batches.flatMap(({answers}) => answers.map(({result}) => result)),
    RESULTS,
  )
  senders[0]?.send({answers: [], isLeaving: true})
  await waitFor(() => batches.length > 1)
  t.true(batches[1]?.isLeaving)
  channel.close()
  await waitFor(() => countClosed() === 1 && reasons.length === 1)
  openRelayChannel(connection.transport, 8, listener)
  await waitFor(() => reasons.length === 2)
  t.is(reasons[1], "the relay has closed the channel")
  connection.session.abort()
  await server.close()
})

test("a message that cannot be understood ends at most its own channel", async t => {
  const {server, connection, received, countClosed} = await setUp()
  const client = createClient(Relay, connection.transport)
  const odd = [
    {term: 7, calls: [{id: 1, worker: "", address: "nowhere:99999999"}], payloads: []},
    {term: 7, calls: [{id: 2, order: {case: "start" as const, value: {payload: 4_000_000}}}]},
    {term: Number.NaN},
  ]
  async function* messages() {
    for (const message of odd) {
      yield await Promise.resolve(message)
    }
  }
  let replies = 0
  for await (const reply of client.carry(messages())) replies += reply.answers.length
  t.is(replies, 0)
  t.deepEqual(received.calls, [])
  await waitFor(() => countClosed() === 1)
  const batches: AnswerBatch[] = []
  const channel = openRelayChannel(connection.transport, 7, {
    onBatch: batch => void batches.push(batch),
    onClosed: () => undefined,
  })
  channel.send(CALLS)
  await waitFor(() => batches.length > 0)
  channel.close()
  connection.session.abort()
  await server.close()
  t.is(batches[0]?.answers.length, CALLS.length)
})
