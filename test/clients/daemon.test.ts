/** The daemon as a process, pressed by clients that keep to no limit. */
import test from "ava"
import {gather} from "./crowd.js"
import {crowdCases, MACHINE} from "./crowds.js"
import {CALLERS, ROUTE_HOST, startDaemon} from "./daemonprocess.js"
import {handInAndAsk} from "./handin.js"

for (const {title, size, script, manner} of crowdCases({
  host: ROUTE_HOST,
  withBody: "/checks/ffffffffffffffff",
  plain: "/checks/",
})) {
  test.serial(`the daemon holds against ${title}`, async t => {
    const daemon = await startDaemon(MACHINE)
    t.teardown(daemon.close)
    const target = {callers: CALLERS, process: daemon.process}
    t.true(await handInAndAsk(target))
    const crowd = await gather(CALLERS, size, script, manner)
    t.teardown(crowd.leave)
    await crowd.settled()
    t.log(daemon.process.usage())
    t.deepEqual(daemon.process.faults(), [], "while the crowd is connected")
    t.true(await handInAndAsk(target), "beside the crowd")
    crowd.leave()
    t.true(await handInAndAsk(target), "after the crowd")
    t.deepEqual(daemon.process.faults(), [])
  })
}
