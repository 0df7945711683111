/** What a job is estimated to take at the leader. */
import test from "ava"
import {estimateJobMemory, jobMemoryLimit} from "../../src/jobs/footprint.js"
import {descriptionMemory} from "../../src/pipelines/footprint.js"
import {STEP} from "../support/fleet.js"

test("lists and texts of any length count in what a job takes", t => {
  const plain = descriptionMemory({payload: "", steps: [STEP]})
  const length = 100_000
  const text = "x".repeat(length)
  t.is(
    descriptionMemory({payload: "", steps: [{...STEP, after: Array.from({length}, () => 0)}]}) - plain,
    8 * length,
  )
  for (const name of ["image", "label", "preferredRack"] as const)
    t.is(descriptionMemory({payload: "", steps: [{...STEP, [name]: text}]}) - plain, 2 * length, name)
})

test("jobs of an entry instance have a part of its memory, by their tasks and payloads", t => {
  t.true(estimateJobMemory({tasks: 1000, payload: ""}) > 100 * estimateJobMemory({tasks: 1, payload: ""}))
  t.is(
    estimateJobMemory({tasks: 1, payload: "p".repeat(4000)}) - estimateJobMemory({tasks: 1, payload: ""}),
    8000,
  )
  t.is(jobMemoryLimit(210), Math.floor(21 * 2 ** 20))
  t.is(jobMemoryLimit(0), 64 * 2 ** 20)
})
