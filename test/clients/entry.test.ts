/** An entry instance as a process, pressed by clients that keep to no limit. */
import test from "ava"
import {callAll} from "./callall.js"
import {crowdCases, MACHINE} from "./crowds.js"
import {CALLERS, startEntry} from "./entryprocess.js"
import {holdsAgainst} from "./holding.js"

const FRONTENDS = [
  {name: "services", paths: {host: "a", withBody: "/services/crease/check?work=0", plain: "/status"}},
  {name: "jobs", paths: {host: "a", withBody: "/jobs", plain: "/services/crease/check?work=0"}},
]

for (const {name, paths} of FRONTENDS) {
  for (const crowd of crowdCases(paths)) {
    test.serial(`the interface to ${name} holds against ${crowd.title}`, async t => {
      const entry = await startEntry(MACHINE)
      t.teardown(entry.close)
      const {process} = entry
      await holdsAgainst(t, {callers: CALLERS, process, call: () => callAll(entry)}, crowd)
    })
  }
}
