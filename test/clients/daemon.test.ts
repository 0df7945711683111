/** The daemon as a process, pressed by clients that keep to no limit. */
import test from "ava"
import {crowdCases, MACHINE} from "./crowds.js"
import {CALLERS, ROUTE_HOST, startDaemon} from "./daemonprocess.js"
import {handInAndAsk} from "./handin.js"
import {holdsAgainst} from "./holding.js"

const PATHS = {host: ROUTE_HOST, withBody: "/checks/ffffffffffffffff", plain: "/checks/"}

for (const crowd of crowdCases(PATHS)) {
  test.serial(`the daemon holds against ${crowd.title}`, async t => {
    const {process, close} = await startDaemon(MACHINE)
    t.teardown(close)
    const target = {callers: CALLERS, process}
    await holdsAgainst(t, {...target, call: () => handInAndAsk(target)}, crowd)
  })
}
