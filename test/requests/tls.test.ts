import {readFileSync} from "node:fs"
import {join} from "node:path"
import {create} from "@bufbuild/protobuf"
import test from "ava"
import {Agent, request} from "undici"
import {systemClock} from "../../src/core/clock.js"
import {SILENT_LOGGER} from "../../src/core/logger.js"
import {peerClients} from "../../src/peer/client.js"
import {GossipMessageSchema} from "../../src/peer/generated/peer_pb.js"
import {startTrial} from "../../standins/trial.js"
import {SMALL_DEPLOYMENT} from "../support/sockets.js"

const FOLDER = join("test", "support", "certificates")
const FILES = {
  certificate: join(FOLDER, "instance.pem"),
  key: join(FOLDER, "instance.key"),
  authority: join(FOLDER, "authority.pem"),
}

test("with TLS, instances accept each other by mutual TLS only, and callers are served by HTTPS only", async t => {
  const environment = await startTrial(SMALL_DEPLOYMENT, 1, () => SILENT_LOGGER, FILES)
  t.teardown(environment.close)
  const first = await environment.startEntry("entry-1")
  const second = await environment.startEntry("entry-2")
  environment.list.settle()
  const clock = systemClock()
  // An instance lists its peer once it has answered the gossip, before the peer receives that answer: wait for both.
  const haveBothJoined = (): boolean => [first, second].every(entry => entry.status().members.length === 2)
  for (let attempt = 0; attempt < 300 && !haveBothJoined(); attempt += 1) {
    await new Promise<void>(resolve => clock.after(100, resolve))
  }
  t.is(first.status().members.length, 2)
  t.is(second.status().members.length, 2)

  const message = create(GossipMessageSchema, {sender: "stranger", senderIncarnation: "x"})
  const unauthenticated = peerClients(() => undefined, undefined)
  await t.throwsAsync(unauthenticated.reachAddress(first.peerAddress).gossip(message))
  unauthenticated.close()
  t.false(first.status().members.some(member => member.instance === "stranger"))

  const agent = new Agent({connect: {ca: readFileSync(FILES.authority)}})
  const reply = await request(`https://${first.callerAddress}/status`, {dispatcher: agent})
  t.is(reply.statusCode, 200)
  await reply.body.dump()
  await t.throwsAsync(request(`http://${first.callerAddress}/status`))
  await agent.destroy()
})
