/** An entry instance as a process, pressed by clients that keep to no limit. */
import test from "ava"
import {callAll} from "./callall.js"
import {gather} from "./crowd.js"
import {crowdCases, MACHINE} from "./crowds.js"
import {CALLERS, startEntry} from "./entryprocess.js"

const FRONTENDS = [
  {name: "services", paths: {host: "a", withBody: "/services/crease/check?work=0", plain: "/status"}},
  {name: "jobs", paths: {host: "a", withBody: "/jobs", plain: "/services/crease/check?work=0"}},
]

for (const {name, paths} of FRONTENDS) {
  for (const {title, size, script, manner} of crowdCases(paths)) {
    test.serial(`the interface to ${name} holds against ${title}`, async t => {
      const entry = await startEntry(MACHINE)
      t.teardown(entry.close)
      t.true(await callAll(entry))
      const crowd = await gather(CALLERS, size, script, manner)
      t.teardown(crowd.leave)
      await crowd.settled()
      t.log(entry.process.usage())
      t.deepEqual(entry.process.faults(), [], "while the crowd is connected")
      t.true(await callAll(entry), "beside the crowd")
      crowd.leave()
      t.true(await callAll(entry), "after the crowd")
      t.deepEqual(entry.process.faults(), [])
    })
  }
}
